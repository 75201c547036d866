//! A daemon that reaches some of the targets of a service.

use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::{Document, Snapshot, Target, TargetKind};
use cumintrail_control::placement::AffinityPlacer;
use cumintrail_control::reach::{CheckedTargets, ReachChange, ReachScope};
use cumintrail_control::{
    Action, Actions, Arrival, AttemptOutcome, Control, Event, Identity, PeerDigest, RouteOptions,
};
use cumintrail_types::{
    AccountKey, Bytes, CallClass, CallKey, Generation, Incarnation, Moment, ServiceKey, TargetKey,
    Tokens, WeightVersion,
};

const DECLARATIONS: &str = "[deployment]\nfirst_preset = day\n[preset day]\n[service desk]\n\
    [account coop]\nkey_digests = 0000000000000000000000000000000000000000000000000000000000000000\n\
    concurrency = 1000\nrequests_per_second = 10000\ntokens_per_second = 100000000\n\
    [store near]\naddress = 10.0.0.9:80\nfailure_domain = near\nkeeps = parts\n";
const START: Moment = Moment::from_millis(60_000);
const TARGETS: usize = 12;
const TICK: Duration = Duration::from_millis(100);
const SERVICE: TargetKind = TargetKind::Service(ServiceKey(0));

/// A daemon with a peer, and the targets that it reaches.
struct Daemon {
    control: Control<AffinityPlacer>,
    snapshot: Arc<Snapshot>,
    reached: Vec<TargetKey>,
    has_peer: bool,
    now: Moment,
    calls: u64,
    /// The targets of the calls that were not passed on to the peer.
    own: Vec<TargetKey>,
    detours: usize,
    changes: Vec<ReachChange>,
    /// The connections that checks opened to targets that are reached.
    connections: usize,
}

impl Daemon {
    fn start(seed: u64) -> Self {
        let identity = Identity {
            vm: "vm-1".into(),
            domain: "near".into(),
            incarnation: Incarnation(1),
            address: "127.0.0.1:1".parse().unwrap(),
            probe_interval: Duration::from_secs(1),
            digest_interval: Duration::from_secs(1),
            processor_share: 0,
        };
        let mut control = Control::with_placer(identity, seed, AffinityPlacer);
        control.follow_registry("a secret");
        let sections = Document::parse(&"test".into(), DECLARATIONS).unwrap().sections;
        let declared = Snapshot::build(Generation(1), &sections, None, None).unwrap();
        let targets = (0..TARGETS).map(|number| target(number, &declared)).collect();
        let snapshot = Arc::new(declared.clone().with_targets(1, targets));
        control.handle(Moment(0), Event::Configured(snapshot.clone()));
        Self {
            control,
            snapshot,
            reached: Vec::new(),
            has_peer: true,
            now: START,
            calls: 0,
            own: Vec::new(),
            detours: 0,
            changes: Vec::new(),
            connections: 0,
        }
    }

    fn targets(&self) -> Vec<TargetKey> {
        self.snapshot.targets.iter().map(|(key, _)| key).collect()
    }

    /// Lets time pass, with a call each tick.
    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + TICK;
            if self.has_peer {
                self.handle(Event::PeerDigest(Box::new(peer_digest(self.now))));
            }
            self.handle(Event::Tick);
            self.call();
        }
    }

    fn call(&mut self) {
        self.calls += 1;
        self.handle(Event::Arrived(Arrival {
            call: CallKey(self.calls),
            account: AccountKey(0),
            class: CallClass::Once,
            kind: SERVICE,
            version: WeightVersion(0),
            blocks: Vec::new().into(),
            prompt: Tokens(0),
            max_output: Tokens(0),
            deadline: self.now + TICK,
            options: RouteOptions { max_attempts: Some(2), ..RouteOptions::default() },
        }));
    }

    /// Lets the connections of checks and calls open or fail at once.
    fn handle(&mut self, event: Event) {
        let actions = self.control.handle(self.now, event);
        self.run(actions);
    }

    fn run(&mut self, actions: Actions) {
        for action in actions {
            match action {
                Action::CheckReach { scope, check } => {
                    assert_eq!(scope, ReachScope::Kind(SERVICE));
                    let reached = check.targets.iter().copied();
                    let reached: CheckedTargets =
                        reached.filter(|target| self.reached.contains(target)).collect();
                    self.connections += reached.len();
                    self.handle(Event::ReachChecked { scope, reached });
                }
                Action::ReportReach { change, .. } => self.changes.push(change),
                Action::Detour(_) => self.detours += 1,
                Action::Dispatch(dispatch) => {
                    self.own.push(dispatch.target);
                    let outcome = if self.reached.contains(&dispatch.target) {
                        AttemptOutcome::RespondedLocally
                    } else {
                        AttemptOutcome::NoConnection
                    };
                    let (call, attempt) = (dispatch.call, dispatch.attempt);
                    self.handle(Event::AttemptEnded { call, attempt, outcome });
                }
                _ => {}
            }
        }
    }

    fn is_partitioned(&self) -> bool {
        matches!(self.changes.last(), Some(ReachChange::Partitioned { .. }))
    }

    fn is_restored_within(&mut self, time: Duration) -> bool {
        let end = self.now + time;
        while self.changes.is_empty() && self.now < end {
            self.run_for(TICK);
        }
        matches!(self.changes[..], [ReachChange::Restored { .. }])
    }

    /// Cuts all paths until the daemon holds itself to be partitioned.
    fn partition(&mut self) {
        self.reached.clear();
        while !self.is_partitioned() {
            assert!(
                self.now.since(START) < Duration::from_secs(10),
                "the partition is not noticed"
            );
            self.run_for(TICK);
        }
        self.changes.clear();
        (self.own, self.detours, self.connections) = (Vec::new(), 0, 0);
    }
}

fn target(number: usize, snapshot: &Snapshot) -> Target {
    let (domain, _) = snapshot.domains.iter().next().expect("a domain is known");
    Target {
        name: format!("t{number}").into(),
        instance: format!("t{number}").into(),
        kind: SERVICE,
        address: format!("10.0.0.{}:80", number + 20).parse().unwrap(),
        domain,
        slots: 1_000,
        prefill_tokens_per_second: 100_000,
        link_bytes_per_second: Bytes(1 << 30),
        checks_fencing: false,
        leaving: false,
        cold_until: None,
        version: None,
        software: None,
        retired: false,
    }
}

fn peer_digest(now: Moment) -> PeerDigest {
    PeerDigest {
        vm: "vm-2".into(),
        domain: "near".into(),
        incarnation: Incarnation(2),
        sent: now,
        address: Some("127.0.0.2:1".parse().unwrap()),
        generation: Generation(1),
        detour_port: 7_300,
        ..PeerDigest::default()
    }
}

/// Guards against a daemon that is partitioned and restored in turns, because some checks meet one of
/// the few targets that it reaches.
#[test]
fn a_partition_lasts_while_few_targets_are_reached() {
    for seed in 0..20 {
        let mut daemon = Daemon::start(seed);
        daemon.partition();
        daemon.reached = daemon.targets()[..2].to_vec();
        daemon.run_for(Duration::from_secs(10));
        assert_eq!(daemon.changes, [], "seed {seed}");
        assert_eq!(daemon.own, [], "seed {seed}: calls went to targets, not to the peer");
        assert!(daemon.connections <= 20, "seed {seed}: {} connections", daemon.connections);
    }
}

/// Guards against targets that are reached but unused while no peer can help.
#[test]
fn the_few_targets_that_are_reached_serve_calls_if_no_peer_can() {
    let mut daemon = Daemon::start(1);
    daemon.partition();
    daemon.has_peer = false;
    daemon.run_for(Duration::from_secs(20));
    daemon.own.clear();
    daemon.reached = daemon.targets()[..2].to_vec();
    daemon.run_for(Duration::from_secs(4));
    let served = daemon.own.iter().filter(|target| daemon.reached.contains(target)).count();
    assert!(served >= 20, "{served} calls were sent to targets that are reached");
}

/// Guards against targets that crash while a partition lasts and keep the daemon partitioned.
#[test]
fn a_partition_ends_when_half_of_the_listed_targets_are_reached() {
    for seed in 0..20 {
        let mut daemon = Daemon::start(seed);
        daemon.partition();
        daemon.reached = daemon.targets()[..TARGETS / 2].to_vec();
        assert!(daemon.is_restored_within(Duration::from_secs(5)), "seed {seed}");

        let mut daemon = Daemon::start(seed);
        daemon.partition();
        daemon.reached = daemon.targets()[..2].to_vec();
        daemon.run_for(Duration::from_secs(3));
        assert_eq!(daemon.changes, [], "seed {seed}");
        // The registry removes the others.
        let listed = (0..4).map(|number| target(number, &daemon.snapshot)).collect();
        daemon.snapshot = Arc::new(Snapshot::clone(&daemon.snapshot).with_targets(2, listed));
        daemon.handle(Event::Configured(daemon.snapshot.clone()));
        assert!(daemon.is_restored_within(Duration::from_secs(5)), "seed {seed}");
    }
}

/// Guards against calls that are sent to targets that the check which ended a partition did not reach,
/// although they had failed often before.
#[test]
fn breakers_of_targets_that_are_not_reached_stay_open() {
    let mut daemon = Daemon::start(1);
    daemon.partition();
    // Without a peer, calls fail at each target until its breaker opens.
    daemon.has_peer = false;
    daemon.run_for(Duration::from_secs(25));
    daemon.has_peer = true;
    daemon.reached = daemon.targets()[..8].to_vec();
    daemon.own.clear();
    daemon.run_for(Duration::from_secs(2));
    assert!(matches!(daemon.changes[..], [ReachChange::Restored { .. }]));
    let is_reached = |target: &&TargetKey| daemon.reached.contains(target);
    let reached = daemon.own.iter().filter(is_reached).count();
    let unreached = daemon.own.len() - reached;
    assert!(
        reached >= 12 && unreached <= 2,
        "{reached} calls to reached targets, {unreached} others"
    );
}
