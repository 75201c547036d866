//! The decision logic of a daemon, without I/O.
//!
//! Time and random numbers are arguments, so that tests can replay each decision, measure it and
//! compare it with a naive implementation; docs/DESIGN.md, "The control library".

pub mod admission;
pub mod adoption;
pub mod announcement;
pub mod cold;
pub mod directory;
pub mod evacuation;
pub mod export_planner;
pub mod feed;
pub mod home_regions;
pub mod links;
pub mod membership;
pub mod once;
pub mod parts;
pub mod placement;
pub mod quarantine;
pub mod reach;
pub mod registry;
pub mod retry;
pub mod rollout;
pub mod shortage;
pub mod software_history;
pub mod spill;
pub mod store_sync;
pub mod stream;
pub mod stream_origins;
pub mod target_limits;
pub mod unsettled_streams;

mod calls;
mod control;
mod counts;
mod digest;
mod dump;
mod event;
mod record_time;

pub use announcement::Replacement;
pub use calls::{Call, Phase};
pub use control::{Control, Identity};
pub use counts::{Counts, StateCounts};
pub use digest::{
    DomainSize, Echo, Freshness, LeavingIncarnation, PeerDigest, TargetLoad, TargetUpdate,
    VersionAnnouncement, VmEntry, VmRole, VmState,
};
pub use dump::{
    CallDump, Dump, LimitDump, LimitedTargetDump, PeerDump, QuarantineDump, QueueDump, StoreDump,
    TargetDump,
};
pub use event::{
    AbandonReason, Action, Actions, Arrival, AttemptOutcome, Detour, Dispatch, Event, Export,
    Fetch, FetchOutcome, FetchPlan, NamedLimit, Order, OrderKind, ResponseEnd, RouteOptions,
    RunningCalls, TargetNotice, TargetReport, Usage,
};
