//! The control state of one daemon and its event handler.

mod announcements;
mod arrivals;
mod attempts;
mod blocks;
mod cold;
mod description;
mod detours;
mod digests;
mod domain_reach;
mod evacuations;
mod home_regions;
mod limits;
mod maintenance;
mod managed;
mod preloading;
mod probes;
mod quarantines;
mod reads;
mod rollouts;
mod shortage;
mod software;
mod spillover;
mod state;
mod stop;
mod stores;
mod unknown_origins;
mod unsent;
mod waiting;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::{Snapshot, TargetKind};
use cumintrail_types::{
    Arena, CallKey, Digest, Generation, Incarnation, Moment, Sealed, StoreKey, TargetKey, Tier,
    WeightVersion,
};
use rand::SeedableRng;
use rand::rngs::StdRng;

use self::evacuations::EvacuationState;
use self::limits::LimitState;
use self::managed::ManagedStores;
use self::reads::PlatformReads;
use self::shortage::ShortageState;
use self::spillover::SpillState;
use self::state::{StoreState, TargetState};
use crate::admission::Admission;
use crate::announcement::AnnouncedVersions;
use crate::cold::ColdTolerance;
use crate::directory::Directory;
use crate::export_planner::ExportPlanner;
use crate::feed::ReaderAssignment;
use crate::home_regions::Regions;
use crate::links::Links;
use crate::membership::Membership;
use crate::parts::PartIndex;
use crate::placement::{CheapestPlacer, Placer};
use crate::quarantine::Quarantine;
use crate::reach::{Reach, ReachScope};
use crate::retry::{RetryBudget, RetryPolicy};
use crate::rollout::Rollout;
use crate::software_history::SoftwareHistory;
use crate::stream_origins::StreamOrigins;
use crate::unsettled_streams::UnsettledStreams;
use crate::{Actions, Call, Event, TargetLoad};

/// The time without an event from which on a daemon counts as suspended: ticks come far more often.
const MIN_SUSPENSION: Duration = Duration::from_secs(2);

/// Identifies a daemon and sets its intervals.
#[derive(Debug, Clone)]
pub struct Identity {
    /// The VM's name.
    pub vm: Arc<str>,
    /// The VM's failure domain.
    pub domain: Arc<str>,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The operator address at which peers reach it.
    pub address: SocketAddr,
    /// The base interval between probes of a target.
    pub probe_interval: Duration,
    /// The interval between digests to peers.
    pub digest_interval: Duration,
    /// The processor share of the VM, in thousandths of a core; zero if unknown.
    pub processor_share: u16,
}

/// Owns all control state of one daemon and runs on one thread.
#[derive(Debug)]
pub struct Control<P = CheapestPlacer> {
    placer: P,
    identity: Identity,
    rng: StdRng,
    snapshot: Option<Arc<Snapshot>>,
    targets: Arena<TargetKey, TargetState>,
    stores: Arena<StoreKey, StoreState>,
    calls: HashMap<CallKey, Call>,
    admission: Admission,
    directory: Directory,
    links: Links,
    part_index: PartIndex,
    /// The loads in each peer's last digest, with the time at which it was received.
    peer_loads: HashMap<SocketAddr, (Moment, Vec<TargetLoad>)>,
    managed_stores: ManagedStores,
    export_planner: ExportPlanner,
    membership: Membership,
    rollout: Rollout,
    next_rollout: Moment,
    next_preload: Moment,
    /// The incarnation and version that each target preloaded a material on, by its content digest.
    preloaded: HashMap<(TargetKey, Digest), (Incarnation, WeightVersion)>,
    retry_policy: RetryPolicy,
    /// The retry budget of each model and plain service.
    retry_budgets: HashMap<TargetKind, RetryBudget>,
    /// Calls that wait for the end of a retry backoff, with that end.
    backing_off: Vec<(Moment, CallKey)>,
    platform_reads: Option<PlatformReads>,
    next_digest: Moment,
    last_digest: Moment,
    next_expiry: Moment,
    /// The declared targets by address.
    targets_by_address: HashMap<SocketAddr, TargetKey>,
    /// Blocks exported since the last digest.
    newly_stored: Vec<(SocketAddr, Sealed, Tier)>,
    /// The smoothed time from the first token of a response to its end.
    streaming_time: Duration,
    announced_versions: AnnouncedVersions,
    /// When the last event was handled.
    last_event: Moment,
    /// When this daemon last handled an event after a time without any, in which it was suspended.
    resumed_at: Moment,
    stream_origins: StreamOrigins,
    software_history: SoftwareHistory,
    /// The interval at which targets write their entries of the registry.
    heartbeat_interval: Duration,
    unsettled_streams: UnsettledStreams,
    /// When the registry's entries were last current.
    registry_as_of: Moment,
    /// Until when the registry's entries count as current; `None` before their first confirmation.
    registry_current_until: Option<Moment>,
    /// How long its entries are current without a further confirmation.
    registry_max_age: Duration,
    quarantine: Quarantine,
    /// Whether this daemon reaches the targets of each scope in which connections failed.
    reach: HashMap<ReachScope, Reach>,
    /// Whether calls leave failure domains in which no target is reached.
    domain_failover: bool,
    /// The port on which this daemon handles calls of its peers; zero for none.
    detour_port: u16,
    limit_state: LimitState,
    evacuation_state: EvacuationState,
    /// The regions of failure domains.
    regions: Regions,
    /// The number of calls that were refused since their regions have no usable target.
    region_refusals: u64,
    shortage: ShortageState,
    spill_state: SpillState,
    /// The tolerance of cold targets; without it, they are sent requests like others.
    cold_tolerance: Option<ColdTolerance>,
    /// The readers in the last `Action::AssignReaders`.
    reader_assignment: ReaderAssignment,
    /// The number of daemons, this one and silent ones included.
    daemon_count: usize,
    /// Whether this daemon has run long enough to know the others.
    knows_daemons: bool,
    /// Whether readers may be followed, rather than each daemon reading the platform.
    may_follow: bool,
    /// Whether a registry lists the targets, so that they are probed only while they load weights.
    has_registry: bool,
    stopping: bool,
    /// Whether the daemon is about to stop and sends no more orders.
    stop_pending: bool,
    /// When a planned stop ends, which ends all calls; `None` before its announcement.
    stop_end: Option<Moment>,
}

impl Control {
    /// Creates the state of a daemon that has no configuration yet.
    pub fn new(identity: Identity, seed: u64) -> Self {
        Self::with_placer(identity, seed, CheapestPlacer)
    }
}

impl<P: Placer> Control<P> {
    /// Creates the state of a daemon that chooses targets with `placer`.
    pub fn with_placer(identity: Identity, seed: u64, placer: P) -> Self {
        let rollout = Rollout::new(format!("{}-{:x}", identity.vm, identity.incarnation.0).into());
        Self {
            placer,
            identity,
            rng: StdRng::seed_from_u64(seed),
            snapshot: None,
            targets: Arena::new(),
            stores: Arena::new(),
            calls: HashMap::new(),
            admission: Admission::new(1.0),
            directory: Directory::default(),
            links: Links::default(),
            part_index: PartIndex::default(),
            peer_loads: HashMap::new(),
            managed_stores: ManagedStores::default(),
            export_planner: ExportPlanner::default(),
            membership: Membership::default(),
            rollout,
            next_rollout: Moment::default(),
            next_preload: Moment::default(),
            preloaded: HashMap::new(),
            retry_policy: RetryPolicy::default(),
            retry_budgets: HashMap::new(),
            backing_off: Vec::new(),
            platform_reads: None,
            next_digest: Moment::default(),
            last_digest: Moment::default(),
            next_expiry: Moment::default(),
            targets_by_address: HashMap::new(),
            newly_stored: Vec::new(),
            streaming_time: Duration::ZERO,
            announced_versions: AnnouncedVersions::default(),
            last_event: Moment::default(),
            resumed_at: Moment::default(),
            stream_origins: StreamOrigins::default(),
            software_history: SoftwareHistory::default(),
            heartbeat_interval: Duration::ZERO,
            unsettled_streams: UnsettledStreams::default(),
            registry_as_of: Moment::default(),
            registry_current_until: None,
            registry_max_age: Duration::ZERO,
            quarantine: Quarantine::default(),
            reach: HashMap::new(),
            domain_failover: false,
            detour_port: 0,
            limit_state: LimitState::default(),
            evacuation_state: EvacuationState::default(),
            regions: Regions::default(),
            region_refusals: 0,
            shortage: ShortageState::default(),
            spill_state: SpillState::default(),
            cold_tolerance: None,
            reader_assignment: ReaderAssignment::default(),
            daemon_count: 1,
            knows_daemons: false,
            may_follow: false,
            has_registry: false,
            stopping: false,
            stop_pending: false,
            stop_end: None,
        }
    }

    /// Takes the state of targets from a registry, so that they are probed only while they load.
    ///
    /// `secret` is the key from which the cache salts of prompt parts are derived.
    pub fn follow_registry(&mut self, secret: &str) {
        self.has_registry = true;
        self.managed_stores.secret = secret.into();
    }

    /// Lets daemons of larger failure domains follow readers of their domain, instead of each
    /// reading the platform itself.
    pub const fn allow_following(&mut self) {
        self.may_follow = true;
    }

    /// Sets the regions of failure domains, to which calls may be restricted.
    pub fn set_regions(&mut self, regions: Regions) {
        self.regions = regions;
    }

    /// Sets the bound after the announcement of newer weights within which calls may begin on older
    /// ones.
    pub const fn set_weights_bound(&mut self, bound: Duration) {
        self.announced_versions.set_bound(bound);
    }

    /// Sets the interval at which targets write their entries of the registry.
    pub const fn set_heartbeat_interval(&mut self, interval: Duration) {
        self.heartbeat_interval = interval;
    }

    /// Limits the requests that cold targets get; without a tolerance they are not limited.
    pub const fn set_cold_tolerance(&mut self, tolerance: Option<ColdTolerance>) {
        self.cold_tolerance = tolerance;
    }

    /// Sets the policy that limits retries.
    pub fn set_retry_policy(&mut self, policy: RetryPolicy) {
        self.retry_policy = policy;
        let own = self.own_retry_policy();
        self.retry_budgets.values_mut().for_each(|budget| budget.set_policy(own));
    }

    /// Handles one event and returns the actions that it leads to.
    pub fn handle(&mut self, now: Moment, event: Event) -> Actions {
        let mut actions = Actions::new();
        if now.since(std::mem::replace(&mut self.last_event, now)) >= MIN_SUSPENSION {
            self.resumed_at = now;
        }
        match event {
            Event::Configured(snapshot) => self.handle_configuration(now, snapshot, &mut actions),
            Event::Arrived(arrival) => self.handle_arrival(now, arrival, &mut actions),
            Event::CallerDisconnected { call } => self.cancel_call(now, call, &mut actions),
            Event::FetchesEnded { call, target, outcomes, .. } => {
                self.handle_fetches(now, call, target, &outcomes);
            }
            Event::ProcessIdentified { call, process } => self.record_process(call, process),
            Event::FirstToken { call } => self.handle_first_token(now, call, &mut actions),
            Event::AttemptEnded { call, attempt, outcome } => {
                self.handle_attempt_end(now, call, attempt, outcome, &mut actions);
            }
            Event::ResponseEnded { call, end } => self.handle_response_end(now, call, end),
            Event::TargetUnreachable { target } => {
                self.handle_unreachable_target(now, target, &mut actions);
            }
            Event::ReachChecked { scope, reached } => {
                self.handle_reach(now, scope, &reached, &mut actions);
            }
            Event::LiftQuarantine { content } => self.lift_quarantine(now, content),
            Event::TargetReported { target, report } => self.handle_report(now, target, report),
            Event::TargetNoticed { target, notice } => self.handle_notice(now, target, notice),
            Event::LimitNamed { target, limit, sent } => {
                self.handle_named_limit(now, target, limit, sent);
            }
            Event::TargetResponded { target } => self.handle_probe_response(now, target),
            Event::DrainTarget { target } => self.drain_target(now, target),
            Event::TargetSilent { target } => self.handle_missed_probe(now, target),
            Event::CacheChanged { target, incarnation, gap, stored, evicted } => {
                self.handle_cache_change(target, incarnation, gap, &stored, &evicted);
            }
            Event::Exported { export, sealed } => {
                self.handle_export(now, export, sealed, &mut actions);
            }
            Event::StoreResponded { store, read_id, response } => {
                self.handle_store_response(now, store, read_id, &response);
            }
            Event::StoreSilent { store, read_id } => self.handle_store_silence(now, store, read_id),
            Event::PartsRead { store, sent, update } => {
                self.handle_parts(now, sent, store, update);
            }
            Event::PartsConfirmed { stores, clock } => self.part_index.confirm(&stores, clock),
            Event::PlatformResponded { sent, era } => {
                self.rollout.record_era(now, era);
                self.managed_stores.record_platform_response(sent);
                self.announced_versions.record_read(sent);
                self.confirm_evacuations(sent);
            }
            Event::PlatformSilent { sent } => self.announced_versions.record_silence(sent),
            Event::EvacuationsRead(page) => {
                self.handle_evacuation_page(now, &page, &mut actions);
            }
            Event::RegistryConfirmed { as_of, max_age } => {
                self.confirm_registry(now, as_of, max_age);
            }
            Event::FreeFailed { store, sealed } => self.handle_failed_free(store, sealed),
            Event::VmListReceived { sequence, vms } => self.handle_vm_list(now, sequence, &vms),
            Event::VmListRead { sequence } => self.handle_vms_read(now, sequence),
            Event::GenerationRead { succeeded } => self.handle_head_read(now, succeeded),
            Event::PeerDigest(digest) => self.handle_digest(now, &digest, &mut actions),
            Event::PeerSilent { address } => self.membership.record_failed_digest(address),
            Event::LeaseRead { .. } if self.stop_pending => self.rollout.handle_lease_failure(now),
            // A response from before a restore proves nothing any more.
            Event::LeaseRead { era, .. } | Event::LeaseWritten { era, .. }
                if era < self.rollout.era() =>
            {
                self.rollout.handle_lease_failure(now);
            }
            Event::LeaseRead { row, era } => {
                self.rollout.record_era(now, era);
                if let Some(request) = self.rollout.handle_lease_read(now, row.as_ref()) {
                    self.handle_rollout_request(now, request, &mut actions);
                }
            }
            Event::LeaseWritten { sent, committed, version, era } => {
                self.rollout.record_era(now, era);
                self.rollout.handle_lease_written(now, sent, committed, version);
            }
            Event::SoftwareHistoryRead(row) => self.handle_software_history(now, row),
            Event::SoftwareHistoryDamaged { row_version } => {
                self.handle_damaged_history(now, row_version);
            }
            Event::SoftwareHistoryWritten { row_version } => {
                self.software_history.handle_written(row_version);
            }
            Event::LeaseFailed => self.rollout.handle_lease_failure(now),
            Event::OrderEnded { target, outcome } => {
                self.rollout.handle_order_end(now, target, outcome);
            }
            Event::StopAnnounced { end } => self.announce_stop(now, end, &mut actions),
            Event::Stopping => (self.stopping, self.stop_pending) = (true, true),
            Event::Tick => self.tick(now, &mut actions),
        }
        self.dispatch_waiting(now, &mut actions);
        actions
    }

    /// Returns the time since a moment; `None` if the daemon was suspended meanwhile, so that the time
    /// says nothing about targets.
    fn time_awake(&self, now: Moment, since: Moment) -> Option<Duration> {
        (since >= self.resumed_at).then(|| now.since(since))
    }

    /// Returns the generation in force; zero before the first one.
    pub fn generation(&self) -> Generation {
        self.snapshot.as_ref().map_or(Generation(0), |s| s.generation)
    }

    /// Returns the number of calls without a complete response.
    pub fn calls_in_flight(&self) -> usize {
        self.calls.len()
    }
}
