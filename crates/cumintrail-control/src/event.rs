//! What a daemon tells its control state, and what that orders in return.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::{Snapshot, TargetKind};
use cumintrail_types::{
    AccountKey, AttemptNumber, BlockKey, CallClass, CallKey, FencingNumber, Incarnation, Moment,
    Refusal, Sealed, StoreKey, TargetKey, Tier, Tokens, Urgency, WeightVersion, WriteId,
};
use smallvec::SmallVec;

use crate::digest::{PeerDigest, VmEntry};
use crate::parts::{PartPlans, PartsHeard, StoredPart};
use crate::rollout::{LeaseRequest, LeaseRow, OrderOutcome};
use crate::store_sync::{StoreRead, StoreResponse};

/// The orders that one event leads to; most lead to few.
pub type Actions = SmallVec<[Action; 4]>;

/// Tells the control state what happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// A higher generation was adopted.
    Configured(Arc<Snapshot>),
    /// An authenticated call wants to run.
    Arrived(Arrival),
    /// The caller closed its connection.
    CallerGone {
        /// The call.
        call: CallKey,
    },
    /// The fetches of a dispatch ended or were given up.
    Fetched {
        /// The call that the blocks were fetched for.
        call: CallKey,
        /// The target that imported them.
        target: TargetKey,
        /// How each fetch ended.
        outcomes: SmallVec<[(StoreKey, BlockKey, FetchOutcome); 4]>,
        /// How long all of them took.
        took: Duration,
    },
    /// The first token of an answer arrived.
    FirstToken {
        /// The call.
        call: CallKey,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The call.
        call: CallKey,
        /// The attempt.
        attempt: AttemptNumber,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// A target answered a probe.
    TargetReported {
        /// The target.
        target: TargetKey,
        /// Its report, which may lag.
        report: TargetReport,
    },
    /// A target answered a probe but gives no report, as plain services may.
    TargetAnswered {
        /// The target.
        target: TargetKey,
    },
    /// An operator wants a target to get no new work.
    DrainTarget {
        /// The target.
        target: TargetKey,
    },
    /// A target did not answer a probe or refused a connection.
    TargetSilent {
        /// The target.
        target: TargetKey,
    },
    /// A target told of blocks that it now holds or has evicted; may be late and have gaps.
    CacheChanged {
        /// The target.
        target: TargetKey,
        /// The run of the target's process that the events belong to.
        incarnation: Incarnation,
        /// Whether events before these were lost.
        gap: bool,
        /// Blocks now held.
        stored: Vec<BlockKey>,
        /// Blocks no longer held.
        evicted: Vec<BlockKey>,
    },
    /// An export ended; nothing if it failed.
    Exported {
        /// The order that it answers.
        export: Export,
        /// The seal of the written block.
        sealed: Option<(Sealed, Tier)>,
    },
    /// A store answered a read.
    StoreAnswered {
        /// The store.
        store: StoreKey,
        /// The number of the read.
        ticket: u32,
        /// Its answer.
        answer: StoreResponse,
    },
    /// A store did not answer a read.
    StoreSilent {
        /// The store.
        store: StoreKey,
        /// The number of the read.
        ticket: u32,
    },
    /// A managed store told what it holds or what changed there.
    PartsHeard {
        /// The store.
        store: StoreKey,
        /// When it was asked.
        asked: Moment,
        /// What it told.
        heard: PartsHeard,
    },
    /// The platform answered a question about what operators declare.
    PlatformAnswered {
        /// When it was asked.
        asked: Moment,
    },
    /// A block may still be in its store although it was to be freed.
    FreeFailed {
        /// The store.
        store: StoreKey,
        /// The write.
        sealed: Sealed,
    },
    /// The platform's VM list was read.
    VmsListed {
        /// The list's sequence number; an older list never revives a VM.
        sequence: u64,
        /// The VMs.
        vms: Vec<VmEntry>,
    },
    /// A read of the VM list ended.
    VmsRead {
        /// The number of the list, or nothing if the platform did not answer.
        sequence: Option<u64>,
    },
    /// A read of the accepted generation ended.
    HeadRead {
        /// Whether the platform answered and what it told is in force.
        answered: bool,
    },
    /// A peer sent its digest.
    PeerDigest(PeerDigest),
    /// A peer did not take a digest.
    PeerSilent {
        /// The peer's address.
        address: SocketAddr,
    },
    /// The lease's row was read.
    LeaseRead {
        /// The row, if there is one.
        row: Option<LeaseRow>,
    },
    /// A write of the lease's row was answered.
    LeaseWritten {
        /// Read before the request was sent.
        asked: Moment,
        /// Whether the condition held.
        committed: bool,
        /// The row's version, where it does not grow by one with each write.
        version: Option<u64>,
    },
    /// An exchange about the lease was not answered; a write may have taken effect.
    LeaseFailed,
    /// An order to a target ended.
    OrderEnded {
        /// The target.
        target: TargetKey,
        /// How.
        outcome: OrderOutcome,
    },
    /// The daemon is about to stop: it still takes calls, but others are to give orders.
    StopAnnounced,
    /// The daemon was asked to stop: no new work from now on.
    Stopping,
    /// Time passed.
    Tick,
}

/// Orders traffic threads or the background thread to act.
#[derive(Debug, Clone)]
pub enum Action {
    /// Run an attempt of a call.
    Dispatch(Dispatch),
    /// Answer a call with a refusal.
    Refuse {
        /// The call.
        call: CallKey,
        /// The refusal.
        refusal: Refusal,
    },
    /// Share what stores allow among this many daemons, this one included.
    ShareStores {
        /// The daemons.
        daemons: usize,
    },
    /// Stop an attempt whose answer nobody waits for.
    Cancel {
        /// The call.
        call: CallKey,
        /// The attempt.
        attempt: AttemptNumber,
        /// Where it runs.
        target: TargetKey,
    },
    /// Ask a target for its report and cache events.
    Probe(TargetKey),
    /// Let a target write a block to a store.
    Export(Export),
    /// Free a block of a store.
    Free {
        /// The store.
        store: StoreKey,
        /// The exact write to free.
        sealed: Sealed,
    },
    /// Free parts of a managed store.
    FreeParts {
        /// The store.
        store: StoreKey,
        /// The run of its process that holds them.
        epoch: u64,
        /// The parts.
        parts: Vec<StoredPart>,
        /// The moment from which on the order may not be sent any more.
        not_after: Moment,
    },
    /// Read what a store holds.
    ReadStore {
        /// The store.
        store: StoreKey,
        /// The number of the read.
        ticket: u32,
        /// What to read.
        read: StoreRead,
    },
    /// Read the accepted generation.
    ReadHead,
    /// Read the VM list.
    ReadVms,
    /// Ask a peer for its newer VM list.
    AskVms {
        /// The peer's address.
        from: SocketAddr,
    },
    /// Load shared material ahead: run its prompt with no answer on a target.
    Warm {
        /// The target.
        target: TargetKey,
        /// The index in the snapshot's materials.
        material: usize,
    },
    /// Exchange with the table about the lease for orders.
    Lease(LeaseRequest),
    /// Send an order to a target.
    Order(Order),
    /// Send a digest to a peer.
    SendDigest {
        /// The peer's operator address.
        to: SocketAddr,
        /// The digest.
        digest: PeerDigest,
    },
}

/// Describes a call that wants to run.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The call.
    pub call: CallKey,
    /// The client account that pays for it.
    pub account: AccountKey,
    /// How it may be repeated.
    pub class: CallClass,
    /// What it needs.
    pub kind: TargetKind,
    /// The weight version that `pieces` were computed for.
    pub version: WeightVersion,
    /// The block keys of the prompt's full pieces, in order.
    pub pieces: Arc<[BlockKey]>,
    /// The length of the prompt.
    pub prompt: Tokens,
    /// The longest answer asked for.
    pub max_answer: Tokens,
    /// When the call is given up.
    pub deadline: Moment,
    /// What its route says of it.
    pub terms: Terms,
}

/// Holds what a route says of a call; the default leaves everything to the daemon.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Terms {
    /// Its rank.
    pub urgency: Urgency,
    /// The targets that it may run at, if the route limits them.
    pub attempts: Option<u8>,
    /// The root of the names of its parts; nothing for a prompt that is not given as parts.
    pub root: Option<BlockKey>,
    /// The prompt tokens up to and with each piece; empty for pieces of the declared length.
    pub ends: Arc<[Tokens]>,
    /// The time within which the answer is to begin, if the route names one.
    pub objective: Option<Duration>,
}

impl Terms {
    /// Returns the length of the parts that a prompt shares with others: all but its last one.
    pub fn shared(&self) -> Tokens {
        self.ends.len().checked_sub(2).map_or(Tokens(0), |last| self.ends[last])
    }
}

/// Orders one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// The call.
    pub call: CallKey,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// Where to run it.
    pub target: TargetKey,
    /// The weight version that the call is pinned to.
    pub version: WeightVersion,
    /// What to import first.
    pub plan: FetchPlan,
    /// When the first token is expected, from the order on.
    pub first_token: Duration,
    /// What managed stores deliver and take of a prompt that is given as parts.
    pub parts: PartPlans,
}

/// Tells which kept blocks to import before an attempt, and how long that may take.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FetchPlan {
    /// The blocks, in prompt order.
    pub fetches: SmallVec<[Fetch; 4]>,
    /// When importing is given up for recomputing.
    pub within: Duration,
}

/// Names one block to import.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fetch {
    /// The store to read from.
    pub store: StoreKey,
    /// The exact write to read.
    pub sealed: Sealed,
}

/// Tells how a fetch ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchOutcome {
    /// The engine staged the block and its digest matches the seal.
    Imported,
    /// The store no longer has that write of the block.
    Missing,
    /// The bytes do not match the seal.
    Mismatch,
    /// The fetch failed or ran out of time.
    Failed,
}

/// Tells how an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No byte of the call left this daemon.
    NotSent,
    /// The answer is complete.
    Answered(Usage),
    /// The target refused before running the call, and says so.
    RefusedByTarget {
        /// Whether it refuses because it is leaving.
        leaving: bool,
    },
    /// The attempt broke after bytes were sent.
    Failed {
        /// Tokens already passed to the caller.
        answered: Tokens,
    },
    /// The traffic thread has answered the call itself; the attempt needs no successor.
    Settled,
}

/// Counts what an answer cost.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Prompt tokens whose state was in the engine's memory.
    pub cached: Tokens,
    /// Prompt tokens whose state was imported for this call.
    pub imported: Tokens,
    /// Tokens of the answer.
    pub answer: Tokens,
}

impl Usage {
    /// Returns the prompt tokens that were computed again.
    pub const fn recomputed(&self) -> Tokens {
        self.prompt.saturating_sub(self.cached).saturating_sub(self.imported)
    }
}

/// Holds what a target tells of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetReport {
    /// The run of its process.
    pub incarnation: Incarnation,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// The weight version that new calls get; zero for plain services.
    pub version: WeightVersion,
    /// Whether weights are being loaded.
    pub loading: bool,
    /// Calls running.
    pub running: u32,
    /// Calls waiting.
    pub waiting: u32,
    /// Prompt tokens still to compute for the calls waiting and running.
    pub prefill_backlog: Tokens,
}

/// Orders a target to write a block to a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Export {
    /// The target that holds the block.
    pub target: TargetKey,
    /// The store to write to.
    pub store: StoreKey,
    /// The block.
    pub key: BlockKey,
    /// The id that this write will have.
    pub write_id: WriteId,
}

/// Changes what a target has loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Order {
    /// The target.
    pub target: TargetKey,
    /// The number of the lease under which the order is sent.
    pub fencing: FencingNumber,
    /// What to do.
    pub kind: OrderKind,
    /// What becomes of calls that run when the order arrives.
    pub running: Running,
    /// The moment from which on it may not be sent any more.
    pub not_after: Moment,
}

/// Tells what becomes of calls that run when weights are loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Running {
    /// They end first.
    Finish,
    /// They go on with the new weights.
    Continue,
}

/// Names the change that an order asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderKind {
    /// Load a weight version and use it for new calls.
    Load(WeightVersion),
}
