//! What events and actions state about targets.

use std::time::Duration;

use cumintrail_types::{
    BlockKey, FencingNumber, Incarnation, Moment, RequestRate, StoreKey, TargetKey, Tokens,
    WeightVersion, WriteId,
};

/// Describes the state that a target reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetReport {
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// Whether it accepts no new calls, for good.
    pub leaving: bool,
    /// The weight version that new calls run on; zero for plain services.
    pub version: WeightVersion,
    /// Whether weights are being loaded.
    pub loading: bool,
    /// Calls running.
    pub running: u32,
    /// Calls waiting.
    pub waiting: u32,
    /// Prompt tokens still to compute for the waiting and running calls.
    pub prefill_backlog: Tokens,
}

/// Describes the state of a target that the head of a response carries beside that of the call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetNotice {
    /// Whether this incarnation of the target accepts no new calls, for good.
    pub leaving: bool,
    /// How long the target wants no requests from this daemon.
    pub quiet_for: Option<Duration>,
}

/// Describes what the head of a response says about a limit of the requests that its target takes
/// from all daemons together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum NamedLimit {
    /// It names no limit.
    #[default]
    None,
    /// It names this limit.
    Rate(RequestRate),
    /// It names a limit that is no number of requests a second.
    Unreadable,
}

/// Orders a target to write a block to a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Export {
    /// The target that has the block cached.
    pub target: TargetKey,
    /// The store to write to.
    pub store: StoreKey,
    /// The block.
    pub key: BlockKey,
    /// The id of this write.
    pub write_id: WriteId,
}

/// Describes an order that changes what a target has loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Order {
    /// The target.
    pub target: TargetKey,
    /// The fencing number of the lease under which the order is sent.
    pub fencing: FencingNumber,
    /// What to do.
    pub kind: OrderKind,
    /// How to treat calls that are running when the order arrives.
    pub running_calls: RunningCalls,
    /// The moment from which it must no longer be sent.
    pub not_after: Moment,
}

/// Selects how running calls are treated when weights are loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunningCalls {
    /// Running calls finish before the load.
    Finish,
    /// Running calls continue on the new weights.
    Continue,
}

/// Describes the change that an order requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderKind {
    /// Load a weight version and use it for new calls.
    Load(WeightVersion),
}
