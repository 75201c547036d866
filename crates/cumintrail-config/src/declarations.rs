//! The declarations of operators: client accounts, shared material, presets, models, services,
//! targets and stores.

use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_types::{
    AccountKey, Bytes, Digest, DomainKey, ModelKey, Moment, RequestRate, ServiceKey, Tokens,
    Urgency, WeightVersion,
};
use derive_more::{AsRef, Display};

/// Describes what is declared once for the whole deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Deployment {
    /// The length of a prefix block.
    pub block_tokens: Tokens,
    /// The number of bytes of prompt text that count as one token.
    pub bytes_per_token: u32,
    /// The preset that the first `apply` puts in force.
    pub first_preset: Arc<str>,
    /// The number of targets that may load weights concurrently without slowing each other down.
    pub load_slots: u8,
    /// The retention of an idempotency record; a call with an older key is refused.
    pub record_retention: Duration,
    /// The time limit of a call that specifies no deadline.
    pub default_deadline: Duration,
    /// The failure domains whose targets get no calls; a platform's operator may add others.
    pub evacuated_domains: Vec<Arc<str>>,
    /// Limits on the requests and connections of callers of relayed calls.
    pub callers: CallerLimits,
}

/// Limits the requests and connections of callers of relayed calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest request head, in bytes.
    pub head_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// The longest time from the first byte of a request to the end of its head.
    pub head_timeout: Duration,
    /// The longest time that a connection may wait for its next request.
    pub idle_timeout: Duration,
}

/// Declares a client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Its name, unique in the deployment.
    pub name: Arc<str>,
    /// Digests of its API keys; the keys themselves are never declared.
    pub key_digests: Vec<Digest>,
    /// Its weight relative to other accounts when calls wait for slots.
    pub weight: u32,
    /// The most calls that it may have in flight in the whole deployment.
    pub concurrency: u32,
    /// Its limit of requests per second in the whole deployment.
    pub requests_per_second: u32,
    /// Its limit of prompt and output tokens per second in the whole deployment.
    pub tokens_per_second: u32,
    /// Its urgency, which takes precedence over the urgency of a route.
    pub urgency: Option<Urgency>,
    /// Whether it shares no cached prompt state with other accounts.
    pub isolated: bool,
    /// The regions to which its relayed calls are restricted; empty for no restriction.
    pub allowed_regions: Vec<Arc<str>>,
    /// Whether the account was removed; its key stays valid.
    pub retired: bool,
}

/// Declares text with which many prompts of an account begin.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Material {
    /// Its name.
    pub name: Arc<str>,
    /// The account whose prompts begin with it.
    pub account: AccountKey,
    /// The model whose engines read it.
    pub model: ModelKey,
    /// The digest of its text, which the object store holds as `material/{digest}`.
    pub digest: Digest,
}

/// Declares a preset; exactly one is in force.
#[derive(Debug, Clone, PartialEq)]
pub struct Preset {
    /// Its name.
    pub name: Arc<str>,
    /// The cost of one second until the first token.
    pub first_token_weight: f64,
    /// The cost of one second of engine time spent on recomputing prompt state.
    pub recompute_weight: f64,
    /// The cost of one second of link time.
    pub link_weight: f64,
    /// The cost of one megabyte of requests and responses that crosses failure domains, in seconds
    /// until the first token; zero if traffic between domains has no price.
    pub domain_traffic_weight: f64,
    /// Whether engines preload shared material.
    pub warm_material: bool,
    /// The number of calls of one model or service that may wait for a slot in one daemon.
    pub queue: usize,
}

/// Declares a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Model {
    /// Its name, as callers specify it.
    pub name: Arc<str>,
    /// The name that engines and registries use for its weights; equals `name` unless declared.
    pub weights_name: Arc<str>,
    /// The weight version that new calls use.
    pub version: WeightVersion,
    /// The size of KV cache per token.
    pub state_bytes_per_token: Bytes,
    /// The longest expected time between two output tokens.
    pub token_gap: Duration,
    /// The number of prompt and output tokens that fit into the memory of one engine.
    pub memory_tokens: Tokens,
    /// The number of connections that one engine accepts from all daemons.
    pub connections: u32,
    /// What its engines take after they start.
    pub cold_start: Option<ColdStart>,
    /// Where its engines state their instance; see [`Service::identity_path`].
    pub identity_path: Option<AbsolutePath>,
}

/// Declares a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Its name, as in `/services/{name}/`.
    pub name: Arc<str>,
    /// The HTTP methods whose calls are safe to repeat.
    pub repeatable: Vec<Arc<str>>,
    /// The longest time a call may take.
    pub timeout: Duration,
    /// The number of connections that one replica accepts from all daemons.
    pub connections: u32,
    /// What its replicas take after they start.
    pub cold_start: Option<ColdStart>,
    /// The path of a request to which replicas respond with the name of their instance, where a
    /// registry lists no starts of processes and the path is not the usual one.
    pub identity_path: Option<AbsolutePath>,
}

/// A path of requests, from the root.
#[derive(Debug, Clone, PartialEq, Eq, AsRef)]
#[as_ref(str)]
pub struct AbsolutePath(Arc<str>);

/// A text that is no path of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("a path begins with `/` and has no spaces")]
pub struct InvalidPath;

impl FromStr for AbsolutePath {
    type Err = InvalidPath;

    fn from_str(text: &str) -> Result<Self, InvalidPath> {
        let is_valid = text.starts_with('/') && text.bytes().all(|byte| byte.is_ascii_graphic());
        if is_valid { Ok(Self(text.into())) } else { Err(InvalidPath) }
    }
}

/// Declares what targets take for a time after they start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdStart {
    /// How long a target stays cold if it does not state that itself.
    pub period: Duration,
    /// The requests a second that a cold target takes from all daemons together.
    pub rate: RequestRate,
}

/// Identifies what a target serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TargetKind {
    /// A model engine.
    Engine(ModelKey),
    /// A replica of a plain service.
    Service(ServiceKey),
}

/// Declares a target and its capacity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Its name; where a registry lists targets, it distinguishes incarnations of a process.
    pub name: Arc<str>,
    /// The name by which the target identifies itself.
    pub instance: Arc<str>,
    /// What it serves.
    pub kind: TargetKind,
    /// The address at which it accepts connections.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainKey,
    /// The number of calls that it executes concurrently.
    pub slots: u32,
    /// The number of prompt tokens that it prefills per second.
    pub prefill_tokens_per_second: u32,
    /// The receive bandwidth of its link, in bytes per second.
    pub link_bytes_per_second: Bytes,
    /// Whether it refuses orders with an outdated fencing number.
    pub checks_fencing: bool,
    /// Whether it gets no new calls because a registry lists it as leaving.
    pub leaving: bool,
    /// The weight version that a registry lists for it.
    pub version: Option<WeightVersion>,
    /// The version of its software that a registry lists for it.
    pub software: Option<Arc<str>>,
    /// Until when it is cold, if a registry states that; a past time means that it is warm.
    pub cold_until: Option<Moment>,
    /// Whether the target was removed from the declarations; its key stays valid.
    pub retired: bool,
}

/// Declares a store of KV cache blocks or prompt parts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Store {
    /// Its name.
    pub name: Arc<str>,
    /// The address at which it accepts connections.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainKey,
    /// The send bandwidth of its link, in bytes per second.
    pub link_bytes_per_second: Bytes,
    /// The delay before the first byte of each transfer.
    pub transfer_delay: Duration,
    /// The read bandwidth of its disk, in bytes per second.
    pub disk_bytes_per_second: Bytes,
    /// The number of bytes that it can store.
    pub capacity: Bytes,
    /// Whether it stores prompt parts, which it frees on request only, instead of sealed blocks.
    pub stores_parts: bool,
    /// The number of requests for changes that it keeps waiting at once, from all daemons.
    pub waiting_readers: u32,
    /// Whether the store was removed from the declarations; its key stays valid.
    pub retired: bool,
}
