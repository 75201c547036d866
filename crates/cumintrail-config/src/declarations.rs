//! What operators declare: client accounts, shared material, presets, services, targets and
//! stores.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_types::{
    AccountKey, Bytes, Digest, DomainKey, ModelKey, ServiceKey, Tokens, Urgency, WeightVersion,
};

/// Holds what is declared once for the whole deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Deployment {
    /// The length of a kept piece of prompt state.
    pub block_tokens: Tokens,
    /// Bytes of prompt text counted as one token.
    pub bytes_per_token: u32,
    /// The preset that the first `apply` puts in force.
    pub first_preset: Arc<str>,
    /// Targets that may load weights at once before loads slow each other down.
    pub load_slots: u8,
    /// How long an idempotency record is kept; an older key is refused.
    pub record_retention: Duration,
    /// The longest time a call may take when it names no deadline.
    pub default_deadline: Duration,
    /// What a caller of relayed calls may send, and how long it may take.
    pub callers: CallerLimits,
}

/// Limits what a caller of relayed calls may send, and how long it may take or stay idle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The longest head of a request, in bytes.
    pub head_bytes: usize,
    /// The longest body of a request, in bytes.
    pub body_bytes: usize,
    /// The time from the first byte of a request to the end of its head.
    pub head_timeout: Duration,
    /// The time that a connection may wait for its next request.
    pub idle_timeout: Duration,
}

/// Declares a client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Its name, unique in the deployment.
    pub name: Arc<str>,
    /// Digests of its API keys; the keys themselves are never declared.
    pub key_digests: Vec<Digest>,
    /// Its weight when slots are scarce.
    pub weight: u32,
    /// Its calls in flight in the whole deployment.
    pub concurrency: u32,
    /// Its requests a second in the whole deployment.
    pub requests_per_second: u32,
    /// Its prompt and answer tokens a second in the whole deployment.
    pub tokens_per_second: u32,
    /// Its rank among accounts, which goes before that of a route.
    pub urgency: Option<Urgency>,
    /// Whether its prompt state is shared with no other account.
    pub isolated: bool,
    /// Whether the account was removed; its key stays valid.
    pub retired: bool,
}

/// Declares text that many prompts of an account start from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Material {
    /// Its name.
    pub name: Arc<str>,
    /// The account whose prompts start from it.
    pub account: AccountKey,
    /// The model it is read by.
    pub model: ModelKey,
    /// The digest of its text, which lies in the object store as `material/{digest}`.
    pub digest: Digest,
}

/// Declares a preset; exactly one is in force.
#[derive(Debug, Clone, PartialEq)]
pub struct Preset {
    /// Its name.
    pub name: Arc<str>,
    /// The price of a second until the first token.
    pub first_token_weight: f64,
    /// The price of a second of engine time spent on recomputing prompt state.
    pub recompute_weight: f64,
    /// The price of a second of link time.
    pub link_weight: f64,
    /// Whether shared material is loaded ahead.
    pub warm_material: bool,
    /// Calls that may wait for a slot in one daemon.
    pub queue: usize,
}

/// Declares a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Model {
    /// Its name, as callers give it.
    pub name: Arc<str>,
    /// The name of its weights where engines and operators use another one.
    pub weights_name: Arc<str>,
    /// The weight version that new calls use.
    pub version: WeightVersion,
    /// The size of kept state per token.
    pub state_bytes_per_token: Bytes,
    /// The longest expected time between two tokens of an answer.
    pub token_gap: Duration,
    /// The prompt and answer tokens that one engine has memory for.
    pub memory_tokens: Tokens,
    /// Connections that one engine takes from all callers.
    pub connections: u32,
}

/// Declares a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Its name, as in `/services/{name}/`.
    pub name: Arc<str>,
    /// Methods whose calls are safe to repeat.
    pub repeatable: Vec<Arc<str>>,
    /// The longest time a call may take.
    pub timeout: Duration,
    /// Connections that one replica takes from all callers.
    pub connections: u32,
}

/// Tells what a target serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TargetKind {
    /// A model engine.
    Engine(ModelKey),
    /// A replica of a plain service.
    Service(ServiceKey),
}

/// Declares a target and its traits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Its name, which tells runs of a replaced process apart where a registry names them.
    pub name: Arc<str>,
    /// The name that the target itself answers to.
    pub instance: Arc<str>,
    /// What it serves.
    pub kind: TargetKind,
    /// Where it is reached.
    pub address: SocketAddr,
    /// The failure domain it stands in.
    pub domain: DomainKey,
    /// Calls it runs at once.
    pub slots: u32,
    /// Prompt tokens it computes a second.
    pub prefill_tokens_per_second: u32,
    /// What its link takes in, in bytes a second.
    pub link_bytes_per_second: Bytes,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Whether it gets no new work, since a registry has it as leaving.
    pub leaving: bool,
    /// The weight version that a registry has for it.
    pub version: Option<WeightVersion>,
    /// Whether the target was removed from the declarations; its key stays valid.
    pub retired: bool,
}

/// Declares a store VM of kept KV cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Store {
    /// Its name.
    pub name: Arc<str>,
    /// Where it is reached.
    pub address: SocketAddr,
    /// The failure domain it stands in.
    pub domain: DomainKey,
    /// What its link gives out, in bytes a second.
    pub link_bytes_per_second: Bytes,
    /// How long each transfer waits before its bytes flow.
    pub transfer_delay: Duration,
    /// What its disk gives out, in bytes a second.
    pub disk_bytes_per_second: Bytes,
    /// The kept state it has room for.
    pub capacity: Bytes,
    /// Whether it keeps parts of prompts that are freed by order only, in place of sealed blocks.
    pub stores_parts: bool,
    /// Requests for changes that it holds at once, from all daemons.
    pub waiting_readers: u32,
    /// Whether the store was removed from the declarations; its key stays valid.
    pub retired: bool,
}
