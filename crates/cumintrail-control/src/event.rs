//! The events that a daemon passes to its control state and the actions that it gets back.

mod call;
mod target;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::Snapshot;
use cumintrail_types::{
    AttemptNumber, BlockKey, CallKey, Incarnation, Moment, Refusal, Sealed, StoreKey, TargetKey,
    Tier,
};
use smallvec::SmallVec;

pub use self::call::{
    AbandonReason, Arrival, AttemptOutcome, Detour, Dispatch, Fetch, FetchOutcome, FetchPlan,
    ResponseEnd, RouteOptions, Usage,
};
pub use self::target::{
    Export, NamedLimit, Order, OrderKind, RunningCalls, TargetNotice, TargetReport,
};
use crate::announcement::{AnnouncementReport, BeginOnReplaced};
use crate::cold::ColdChange;
use crate::digest::{PeerDigest, VmEntry};
use crate::evacuation::{EvacuationChange, EvacuationPage};
use crate::feed::ReaderAssignment;
use crate::parts::{PartsUpdate, StoredPart};
use crate::quarantine::{ContentKey, QuarantineChange};
use crate::reach::{Check, CheckedTargets, ReachChange, ReachScope};
use crate::rollout::{LeaseRequest, LeaseRow, OrderOutcome};
use crate::software_history::{HistoryRequest, HistoryRow};
use crate::spill::SpillChange;
use crate::store_sync::{StoreRead, StoreResponse};
use crate::target_limits::LimitChange;

/// The actions that one event leads to; stored inline up to four, which covers most events.
pub type Actions = SmallVec<[Action; 4]>;

/// Describes one input of the control state.
#[derive(Debug, Clone)]
pub enum Event {
    /// A higher generation of the configuration was adopted.
    Configured(Arc<Snapshot>),
    /// An authenticated call arrived.
    Arrived(Arrival),
    /// The caller closed its connection.
    CallerDisconnected {
        /// The call.
        call: CallKey,
    },
    /// The block fetches of a dispatch ended or timed out.
    FetchesEnded {
        /// The call that the blocks were fetched for.
        call: CallKey,
        /// The target that imported them.
        target: TargetKey,
        /// How each fetch ended.
        outcomes: SmallVec<[(StoreKey, BlockKey, FetchOutcome); 4]>,
        /// The time from the start of the fetches to the end of the last one.
        elapsed: Duration,
    },
    /// The first event of a resumable stream is about to be passed on.
    ProcessIdentified {
        /// The call.
        call: CallKey,
        /// The name of the process that sent it.
        process: Arc<str>,
    },
    /// The first token of an attempt arrived.
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
    /// The end of a response showed whether its target crashed; sent before the attempt's end.
    ResponseEnded {
        /// The call.
        call: CallKey,
        /// What it showed.
        end: ResponseEnd,
    },
    /// A target accepted no connection after the connection of a call broke.
    TargetUnreachable {
        /// The target.
        target: TargetKey,
    },
    /// A check whether targets accept connections ended.
    ReachChecked {
        /// What the targets belong to.
        scope: ReachScope,
        /// The targets that did.
        reached: CheckedTargets,
    },
    /// An operator requested that calls with some content be sent to targets again.
    LiftQuarantine {
        /// The content.
        content: ContentKey,
    },
    /// A target responded to a probe with a report.
    TargetReported {
        /// The target.
        target: TargetKey,
        /// Its report; it may describe an earlier state of the target.
        report: TargetReport,
    },
    /// A target responded to a probe without a report, as plain services may.
    TargetResponded {
        /// The target.
        target: TargetKey,
    },
    /// An operator requested that a target receive no new calls.
    DrainTarget {
        /// The target.
        target: TargetKey,
    },
    /// The head of a target's response had a notice about the target.
    TargetNoticed {
        /// The target.
        target: TargetKey,
        /// The notice.
        notice: TargetNotice,
    },
    /// The head of a target's response named a limit, or named none although the target had one when
    /// the request was sent.
    LimitNamed {
        /// The target.
        target: TargetKey,
        /// The limit.
        limit: NamedLimit,
        /// When the request was sent.
        sent: Moment,
    },
    /// A target did not respond to a probe or refused a connection.
    TargetSilent {
        /// The target.
        target: TargetKey,
    },
    /// A target's cache events were received; they may be delayed and have gaps.
    CacheChanged {
        /// The target.
        target: TargetKey,
        /// The incarnation of the target that the events belong to.
        incarnation: Incarnation,
        /// Whether events before these were lost.
        gap: bool,
        /// Blocks that the target has cached.
        stored: Vec<BlockKey>,
        /// Blocks that the target has evicted.
        evicted: Vec<BlockKey>,
    },
    /// An export ended.
    Exported {
        /// The export as it was ordered.
        export: Export,
        /// The seal of the written block and its tier; `None` if the export failed.
        sealed: Option<(Sealed, Tier)>,
    },
    /// A store responded to a read.
    StoreResponded {
        /// The store.
        store: StoreKey,
        /// The id of the read, from `Action::ReadStore`.
        read_id: u32,
        /// The listing or the changes that were read.
        response: StoreResponse,
    },
    /// A store did not respond to a read.
    StoreSilent {
        /// The store.
        store: StoreKey,
        /// The id of the read, from `Action::ReadStore`.
        read_id: u32,
    },
    /// The parts in a managed store, or their changes, were read.
    PartsRead {
        /// The store.
        store: StoreKey,
        /// When the request was sent.
        sent: Moment,
        /// The parts and changes that were read.
        update: PartsUpdate,
    },
    /// A reader confirmed that the lists of parts in stores were current as of some moments.
    PartsConfirmed {
        /// The stores.
        stores: Vec<(StoreKey, Moment)>,
        /// A moment, and the milliseconds on the clock of targets and stores then.
        clock: Option<(Moment, u64)>,
    },
    /// The platform responded to a read of the operators' declarations.
    PlatformResponded {
        /// When the request was sent.
        sent: Moment,
        /// The era of the platform's store.
        era: u64,
    },
    /// The platform did not respond to several reads of the operators' declarations in a row.
    PlatformSilent {
        /// When the last of them was sent.
        sent: Moment,
    },
    /// The operators' declarations were read as a whole, or rows of evacuations in them changed.
    EvacuationsRead(EvacuationPage),
    /// The registry's entries were confirmed.
    RegistryConfirmed {
        /// The moment as of which they are current.
        as_of: Moment,
        /// How long after that moment they still count as current.
        max_age: Duration,
    },
    /// A block that was to be freed may still be in its store.
    FreeFailed {
        /// The store.
        store: StoreKey,
        /// The write that was to be freed.
        sealed: Sealed,
    },
    /// A VM list was received from the platform or from a peer.
    VmListReceived {
        /// The sequence number of the list; a list with a lower number never brings a VM back.
        sequence: u64,
        /// The VMs.
        vms: Vec<VmEntry>,
    },
    /// A read of the platform's VM list ended.
    VmListRead {
        /// The sequence number of the list; `None` if the platform did not respond.
        sequence: Option<u64>,
    },
    /// A read of the committed generation ended.
    GenerationRead {
        /// Whether the platform responded and the generation that it returned is in force.
        succeeded: bool,
    },
    /// A peer sent its digest.
    PeerDigest(Box<PeerDigest>),
    /// A peer did not accept a digest.
    PeerSilent {
        /// The peer's address.
        address: SocketAddr,
    },
    /// The row of the lease was read.
    LeaseRead {
        /// The row; `None` if the table has none.
        row: Option<LeaseRow>,
        /// The era of the table.
        era: u64,
    },
    /// The table responded to a write of the lease's row.
    LeaseWritten {
        /// A moment before the request was sent, from which the lease counts.
        sent: Moment,
        /// Whether the condition of the write was met, so that it took effect.
        committed: bool,
        /// The version of the row, from tables whose versions do not grow by one with each write.
        version: Option<u64>,
        /// The era of the table in which the response was sent.
        era: u64,
    },
    /// A read or write of the lease got no response; a write may have taken effect.
    LeaseFailed,
    /// The row of recent software versions was read.
    SoftwareHistoryRead(HistoryRow),
    /// That row has content that cannot be read.
    SoftwareHistoryDamaged {
        /// Its version.
        row_version: u64,
    },
    /// A write of that row ended.
    SoftwareHistoryWritten {
        /// The version that it gave the row; `None` if another daemon wrote it before, or if the
        /// outcome is unknown.
        row_version: Option<u64>,
    },
    /// An order to a target ended.
    OrderEnded {
        /// The target.
        target: TargetKey,
        /// How it ended.
        outcome: OrderOutcome,
    },
    /// The daemon is about to stop: it still accepts calls that the stop interrupts without harm, but
    /// sends no more orders to targets and leaves these to its peers.
    StopAnnounced {
        /// When calls that are still open are refused.
        end: Moment,
    },
    /// The daemon is stopping: it refuses new calls from now on.
    Stopping,
    /// A periodic timer fired.
    Tick,
}

/// Describes one thing for the traffic threads or the background thread to do.
#[derive(Debug, Clone)]
pub enum Action {
    /// Run an attempt of a call.
    Dispatch(Box<Dispatch>),
    /// Send a call to a peer.
    Detour(Detour),
    /// Check which targets accept a connection.
    CheckReach {
        /// What they belong to.
        scope: ReachScope,
        /// The connections to open.
        check: Check,
    },
    /// Log that this daemon is partitioned from the targets of a model or service, or reaches half
    /// of them again.
    ReportReach {
        /// The name of the model or service.
        name: Arc<str>,
        /// The change.
        change: ReachChange,
    },
    /// Log that this daemon reaches no target in a failure domain, or reaches half of them again.
    ReportDomainReach {
        /// The name of the failure domain.
        domain: Arc<str>,
        /// The change.
        change: ReachChange,
        /// The attempts that were abandoned.
        abandoned: usize,
    },
    /// End an attempt before its response, so that the call can go elsewhere.
    Abandon {
        /// The call.
        call: CallKey,
        /// The attempt.
        attempt: AttemptNumber,
        /// Why it ends.
        reason: AbandonReason,
    },
    /// Log that calls for a model or service begin or cease to be held back or refused because
    /// capacity is scarce.
    ReportShortage {
        /// The name of the model or service.
        name: Arc<str>,
        /// Whether the period has ended.
        has_ended: bool,
        /// Calls that were held back in the period so far.
        held: u64,
        /// Calls that were refused in the period so far.
        refused: u64,
    },
    /// Respond to a call with a refusal.
    Refuse {
        /// The call.
        call: CallKey,
        /// The refusal.
        refusal: Refusal,
    },
    /// Follow these readers, or read the platform and the stores if there are none.
    AssignReaders(ReaderAssignment),
    /// Stop an attempt whose response is no longer needed.
    Cancel {
        /// The call.
        call: CallKey,
        /// The attempt.
        attempt: AttemptNumber,
        /// Where it runs.
        target: TargetKey,
    },
    /// Request the report and cache events of a target.
    Probe(TargetKey),
    /// Order a target to write a block to a store.
    Export(Export),
    /// Free one write of a block in a store.
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
        /// The epoch of the store, which changes when its process restarts.
        epoch: u64,
        /// The parts.
        parts: Vec<StoredPart>,
        /// The moment from which the request must no longer be sent.
        not_after: Moment,
    },
    /// Read the listing or the changes of a store.
    ReadStore {
        /// The store.
        store: StoreKey,
        /// The id of the read, which its event repeats.
        read_id: u32,
        /// What to read.
        read: StoreRead,
    },
    /// Read the committed generation from the platform.
    ReadGeneration,
    /// Read the VM list from the platform.
    ReadVmList,
    /// Request the newer VM list of a peer.
    GetVmList {
        /// The peer's address.
        from: SocketAddr,
    },
    /// Log and count a decision about content under which targets crash.
    ReportQuarantine(QuarantineChange),
    /// Log when a weight version was announced.
    ReportAnnouncement(AnnouncementReport),
    /// Log and count a call that begins on replaced weights.
    ReportBegin(BeginOnReplaced),
    /// Log a change of the limit of a target.
    ReportLimit(LimitChange),
    /// Log that a failure domain was evacuated or is no longer.
    ReportEvacuation(EvacuationChange),
    /// Log a change of the share of calls that leave their failure domain.
    ReportSpill(SpillChange),
    /// Log that a target turned cold or warm.
    ReportCold(ColdChange),
    /// Preload shared material: run its prompt on a target without output.
    PreloadPrompt {
        /// The target.
        target: TargetKey,
        /// The index in the snapshot's materials.
        material: usize,
    },
    /// Read or write the row of the lease under which orders are sent.
    Lease(LeaseRequest),
    /// Read or write the row of recent software versions.
    SoftwareHistory(HistoryRequest),
    /// Send an order to a target.
    Order(Order),
    /// Send a digest to a peer.
    SendDigest {
        /// The peer's operator address.
        to: SocketAddr,
        /// The digest.
        digest: Box<PeerDigest>,
    },
}
