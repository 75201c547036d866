//! The control state of one daemon and its event handler.

mod arrivals;
mod attempts;
mod blocks;
mod description;
mod digests;
mod maintenance;
mod managed;
mod probes;
mod reads;
mod replaced;
mod rollouts;
mod state;
mod stores;
mod warming;

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

use self::managed::Managed;
use self::reads::PlatformReads;
use self::replaced::Namings;
use self::state::{StoreState, TargetState};
use crate::admission::Admission;
use crate::directory::Directory;
use crate::export_planner::ExportPlanner;
use crate::links::Links;
use crate::membership::Membership;
use crate::parts::Parts;
use crate::placement::{CheapestPlacer, Placer};
use crate::retry::{RetryBudget, RetryPolicy};
use crate::rollout::Rollout;
use crate::{Actions, Call, Event, TargetLoad};

/// Tells who a daemon is.
#[derive(Debug, Clone)]
pub struct Identity {
    /// The VM's name.
    pub vm: Arc<str>,
    /// The VM's failure domain.
    pub domain: Arc<str>,
    /// The run of the process.
    pub incarnation: Incarnation,
    /// Where peers reach it.
    pub address: SocketAddr,
    /// The time between probes of a target.
    pub probe_interval: Duration,
    /// The time between digests to peers.
    pub digest_interval: Duration,
}

/// Owns all control state of one daemon; lives on one thread.
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
    parts: Parts,
    /// What each peer last told that it has out at targets.
    peer_loads: HashMap<SocketAddr, (Moment, Vec<TargetLoad>)>,
    managed: Managed,
    keeping: ExportPlanner,
    membership: Membership,
    rollout: Rollout,
    next_rollout: Moment,
    next_warming: Moment,
    /// Material that was loaded ahead, with the run and version that read it.
    warmed: HashMap<(TargetKey, Digest), (Incarnation, WeightVersion)>,
    retry_policy: RetryPolicy,
    /// Retries of calls by what they need.
    retries: HashMap<TargetKind, RetryBudget>,
    /// Calls that wait out a backoff, with its end.
    backing_off: Vec<(Moment, CallKey)>,
    reads: Option<PlatformReads>,
    next_digest: Moment,
    last_digest: Moment,
    next_expiry: Moment,
    /// Where each declared target is found by address.
    target_at: HashMap<SocketAddr, TargetKey>,
    /// Blocks exported since the last digest.
    fresh_kept: Vec<(SocketAddr, Sealed, Tier)>,
    /// How long answers take after their first token, smoothed.
    answer_time: Duration,
    namings: Namings,
    /// The daemons that were last told to share what stores allow.
    sharing: usize,
    /// Whether a registry tells of targets, so that they are probed only while they load.
    has_registry: bool,
    stopping: bool,
    /// Whether this daemon orders nothing any more, since it is about to end.
    handing_over: bool,
}

impl Control {
    /// Creates the state of a daemon that has no configuration yet.
    pub fn new(identity: Identity, seed: u64) -> Self {
        Self::with_placer(identity, seed, CheapestPlacer)
    }
}

impl<P: Placer> Control<P> {
    /// Creates the state of a daemon that places calls by `placer`.
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
            parts: Parts::default(),
            peer_loads: HashMap::new(),
            managed: Managed::default(),
            keeping: ExportPlanner::default(),
            membership: Membership::default(),
            rollout,
            next_rollout: Moment::default(),
            next_warming: Moment::default(),
            warmed: HashMap::new(),
            retry_policy: RetryPolicy::default(),
            retries: HashMap::new(),
            backing_off: Vec::new(),
            reads: None,
            next_digest: Moment::default(),
            last_digest: Moment::default(),
            next_expiry: Moment::default(),
            target_at: HashMap::new(),
            fresh_kept: Vec::new(),
            answer_time: Duration::ZERO,
            namings: Namings::default(),
            sharing: 0,
            has_registry: false,
            stopping: false,
            handing_over: false,
        }
    }

    /// Takes targets as a registry has them, in place of probing them.
    ///
    /// `secret` keys the names under which parts of prompts are kept.
    pub fn follow_registry(&mut self, secret: &str) {
        self.has_registry = true;
        self.managed.secret = secret.into();
    }

    /// Lets no call begin on weights that were replaced for longer than `limit`.
    pub const fn limit_replaced(&mut self, limit: Duration) {
        self.namings.limit(limit);
    }

    /// Changes how many retries may be added to calls.
    pub fn set_retry_policy(&mut self, policy: RetryPolicy) {
        self.retry_policy = policy;
        let own = self.own_retry_policy();
        self.retries.values_mut().for_each(|budget| budget.set_policy(own));
    }

    /// Takes one event and returns what it orders.
    pub fn handle(&mut self, now: Moment, event: Event) -> Actions {
        let mut actions = Actions::new();
        match event {
            Event::Configured(snapshot) => self.handle_configuration(now, snapshot, &mut actions),
            Event::Arrived(arrival) => self.take_arrival(now, arrival, &mut actions),
            Event::CallerGone { call } => self.drop_call(now, call, &mut actions),
            Event::Fetched { call, target, outcomes, .. } => {
                self.handle_fetches(now, call, target, &outcomes);
            }
            Event::FirstToken { call } => self.take_first_token(now, call),
            Event::AttemptEnded { call, attempt, outcome } => {
                self.take_attempt_end(now, call, attempt, outcome, &mut actions);
            }
            Event::TargetReported { target, report } => self.handle_report(now, target, report),
            Event::TargetAnswered { target } => self.handle_probe_response(now, target),
            Event::DrainTarget { target } => self.drain_target(now, target),
            Event::TargetSilent { target } => self.handle_missed_probe(now, target),
            Event::CacheChanged { target, incarnation, gap, stored, evicted } => {
                self.handle_cache_change(target, incarnation, gap, &stored, &evicted);
            }
            Event::Exported { export, sealed } => {
                self.handle_export(now, export, sealed, &mut actions);
            }
            Event::StoreAnswered { store, ticket, answer } => {
                self.handle_store_response(now, store, ticket, &answer);
            }
            Event::StoreSilent { store, ticket } => self.handle_store_silence(now, store, ticket),
            Event::PartsHeard { store, asked, heard } => self.take_parts(now, asked, store, heard),
            Event::PlatformAnswered { asked } => self.managed.note_answer(asked),
            Event::FreeFailed { store, sealed } => self.handle_failed_free(store, sealed),
            Event::VmsListed { sequence, vms } => self.handle_vm_list(now, sequence, &vms),
            Event::VmsRead { sequence } => self.handle_vms_read(now, sequence),
            Event::HeadRead { answered } => self.handle_head_read(now, answered),
            Event::PeerDigest(digest) => self.handle_digest(now, &digest, &mut actions),
            Event::PeerSilent { address } => self.membership.record_failed_digest(address),
            Event::LeaseRead { .. } if self.handing_over => self.rollout.lease_failed(now),
            Event::LeaseRead { row } => {
                if let Some(request) = self.rollout.lease_read(now, row.as_ref()) {
                    self.follow_rollout(now, request, &mut actions);
                }
            }
            Event::LeaseWritten { asked, committed, version } => {
                self.rollout.lease_written(now, asked, committed, version);
            }
            Event::LeaseFailed => self.rollout.lease_failed(now),
            Event::OrderEnded { target, outcome } => {
                self.rollout.order_ended(now, target, outcome);
            }
            Event::StopAnnounced => self.handing_over = true,
            Event::Stopping => (self.stopping, self.handing_over) = (true, true),
            Event::Tick => self.tick(now, &mut actions),
        }
        self.dispatch_waiting(now, &mut actions);
        actions
    }

    /// Returns the generation in force, or zero.
    pub fn generation(&self) -> Generation {
        self.snapshot.as_ref().map_or(Generation(0), |s| s.generation)
    }

    /// Returns the number of calls that are not answered yet.
    pub fn calls_in_flight(&self) -> usize {
        self.calls.len()
    }
}
