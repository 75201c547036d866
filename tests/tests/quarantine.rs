//! Daemons find the content under which targets crash, and convict no other content.

use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::{Document, Snapshot, Target, TargetKind};
use cumintrail_control::quarantine::{CallContent, ContentKey};
use cumintrail_control::{
    Action, Actions, Arrival, AttemptOutcome, Control, Event, Identity, PeerDigest, ResponseEnd,
    RouteOptions, Usage,
};
use cumintrail_types::{
    AccountKey, AttemptNumber, CallClass, CallKey, Generation, Incarnation, Moment, Ran,
    RefusalCode, ServiceKey, TargetKey, Tokens, WeightVersion,
};
use cumintrail_wire::peer::DigestMessage;
use cumintrail_wire::{from_msgpack, to_msgpack};

const DIGEST_INTERVAL: Duration = Duration::from_millis(250);
const TARGETS: usize = 12;
/// Time from the end of a target until its successor is listed.
const RESTART_MS: u64 = 2_000;

/// Returns a snapshot whose targets have these incarnations.
fn snapshot(revision: u64, incarnations: &[u64]) -> Arc<Snapshot> {
    let digest = |n: u8| n.to_string().repeat(64);
    let targets = (0..incarnations.len()).map(|i| {
        format!(
            "[target s-{i}]\nservice = desk\naddress = 127.0.0.1:{}\nfailure_domain = a\nslots = 64\n",
            i + 1
        )
    });
    let declarations = format!(
        "[deployment]\nfirst_preset = day\n[preset day]\n\
         [account coop]\nkey_digests = {}\nconcurrency = 1000\n\
         [account shop]\nkey_digests = {}\nconcurrency = 1000\n[service desk]\n{}",
        digest(0),
        digest(1),
        targets.collect::<String>()
    );
    let document = Document::parse(&"declarations".into(), &declarations).unwrap();
    let declared = Snapshot::build(Generation(1), &document.sections, None, None).unwrap();
    let listed = declared.targets.iter().zip(incarnations);
    let listed: Vec<Target> = listed
        .map(|((_, target), n)| Target {
            name: format!("{}@{n}", target.name).into(),
            ..target.clone()
        })
        .collect();
    declared.with_targets(revision, listed).into()
}

fn identity(port: u16) -> Identity {
    Identity {
        vm: format!("vm-{port}").into(),
        domain: format!("d{}", port % 4).into(),
        incarnation: Incarnation(port.into()),
        address: ([127, 0, 0, 1], port).into(),
        probe_interval: Duration::from_secs(3_600),
        digest_interval: DIGEST_INTERVAL,
        processor_share: 0,
    }
}

fn daemon(port: u16) -> Control {
    let mut control = Control::new(identity(port), port.into());
    control.follow_registry("a key of sixteen bytes or more");
    control
}

/// A call at a target.
#[derive(Debug, Clone)]
struct Sent {
    daemon: usize,
    call: u64,
    target: TargetKey,
    parts: Vec<&'static str>,
    ends: u64,
}

/// Daemons and targets in simulated time.
struct Fleet {
    daemons: Vec<Control>,
    now: u64,
    /// The snapshot in force; a target's key stays with its incarnation.
    listed: Arc<Snapshot>,
    sent: Vec<Sent>,
    /// The part under which targets crash.
    crashing: Option<&'static str>,
    /// When successors of crashed targets are listed.
    restarts: Vec<(u64, TargetKey)>,
    dead: Vec<TargetKey>,
    next_call: u64,
    /// When calls with the crashing part were sent, and when targets crashed under them.
    sent_crashing: Vec<u64>,
    crashes: Vec<u64>,
    served: usize,
    refused: Vec<(Vec<&'static str>, RefusalCode, Ran, bool)>,
}

impl Fleet {
    fn new(daemons: u16) -> Self {
        let listed = snapshot(1, &[1; TARGETS]);
        let mut fleet = Self {
            daemons: (1..=daemons).map(daemon).collect(),
            now: 1_000,
            listed: listed.clone(),
            sent: Vec::new(),
            crashing: None,
            restarts: Vec::new(),
            dead: Vec::new(),
            next_call: 0,
            sent_crashing: Vec::new(),
            crashes: Vec::new(),
            served: 0,
            refused: Vec::new(),
        };
        for index in 0..fleet.daemons.len() {
            fleet.daemons[index].handle(Moment(1), Event::Configured(listed.clone()));
            for port in (1..=daemons).filter(|port| usize::from(*port) != index + 1) {
                let greeting = greeting(port);
                fleet.daemons[index].handle(Moment(2), Event::PeerDigest(Box::new(greeting)));
            }
        }
        fleet
    }

    const fn moment(&self) -> Moment {
        Moment::from_millis(self.now)
    }

    /// Sends a call whose response takes `millis`.
    fn call(&mut self, daemon: usize, account: u32, parts: &[&'static str], millis: u64) {
        self.next_call += 1;
        let call = self.next_call;
        let arrival = Arrival {
            call: CallKey(call),
            account: AccountKey(account),
            class: CallClass::Stream,
            kind: TargetKind::Service(ServiceKey(0)),
            version: WeightVersion(0),
            blocks: Arc::from([]),
            prompt: Tokens(0),
            max_output: Tokens(0),
            deadline: self.moment() + Duration::from_secs(10),
            options: RouteOptions {
                content: CallContent {
                    shared: parts.iter().map(|part| ContentKey::of_part(part)).collect(),
                    request: None,
                },
                ..RouteOptions::default()
            },
        };
        let now = self.moment();
        let actions = self.daemons[daemon].handle(now, Event::Arrived(arrival));
        self.apply(daemon, parts, millis, actions);
    }

    fn apply(&mut self, from: usize, parts: &[&'static str], millis: u64, actions: Actions) {
        for action in actions {
            match action {
                Action::Dispatch(dispatch) if self.dead.contains(&dispatch.target) => {
                    // A call to a target that is gone is refused a connection.
                    let (call, attempt) = (dispatch.call, dispatch.attempt);
                    let outcome = AttemptOutcome::NotSent;
                    let ended = Event::AttemptEnded { call, attempt, outcome };
                    let now = self.moment();
                    self.daemons[from].handle(now, ended);
                    self.daemons[from].handle(now, Event::CallerDisconnected { call });
                }
                Action::Dispatch(dispatch) => {
                    let is_crashing = self.crashing.is_some_and(|part| parts.contains(&part));
                    if is_crashing {
                        self.sent_crashing.push(self.now);
                    }
                    self.sent.push(Sent {
                        daemon: from,
                        call: dispatch.call.0,
                        target: dispatch.target,
                        parts: parts.to_vec(),
                        ends: self.now + if is_crashing { 80 } else { millis },
                    });
                }
                Action::Refuse { refusal, .. } => {
                    let has_delay = refusal.retry_after.is_some();
                    self.refused.push((parts.to_vec(), refusal.code, refusal.ran, has_delay));
                }
                Action::CheckReach { scope, check } => {
                    let living = check.targets.into_iter();
                    let reached = living.filter(|target| !self.dead.contains(target)).collect();
                    let checked = Event::ReachChecked { scope, reached };
                    let now = self.moment();
                    let actions = self.daemons[from].handle(now, checked);
                    self.apply(from, parts, millis, actions);
                }
                Action::SendDigest { to, digest } => {
                    let encoded = to_msgpack(&DigestMessage::from(*digest)).unwrap();
                    let decoded: DigestMessage = from_msgpack(&encoded).unwrap();
                    let to = usize::from(to.port()) - 1;
                    if let Some(daemon) = self.daemons.get_mut(to) {
                        let digest = Box::new(PeerDigest::from(decoded));
                        daemon.handle(Moment::from_millis(self.now), Event::PeerDigest(digest));
                    }
                }
                _ => {}
            }
        }
    }

    /// Ends a target: all calls at it break, and their daemons find it unreachable.
    fn crash(&mut self, target: TargetKey) {
        if self.dead.contains(&target) {
            return;
        }
        self.dead.push(target);
        self.crashes.push(self.now);
        self.restarts.push((self.now + RESTART_MS, target));
        let (broken, others) = self.sent.drain(..).partition(|sent| sent.target == target);
        self.sent = others;
        let broken: Vec<Sent> = broken;
        for Sent { daemon, call, .. } in &broken {
            let (call, attempt) = (CallKey(*call), AttemptNumber(1));
            let outcome = AttemptOutcome::Failed { can_continue: false };
            let now = self.moment();
            let control = &mut self.daemons[*daemon];
            control.handle(now, Event::ResponseEnded { call, end: ResponseEnd::Broken });
            control.handle(now, Event::AttemptEnded { call, attempt, outcome });
        }
        for Sent { daemon, .. } in broken {
            let now = self.moment();
            self.daemons[daemon].handle(now, Event::TargetUnreachable { target });
        }
    }

    fn crash_all(&mut self) {
        let running: Vec<TargetKey> = self.listed.targets.iter().map(|(key, _)| key).collect();
        for target in running {
            self.crash(target);
        }
    }

    /// Advances by 20 ms.
    fn step(&mut self) {
        self.now += 20;
        let ended: Vec<Sent> = self.sent.iter().filter(|s| s.ends <= self.now).cloned().collect();
        for sent in ended {
            if self.crashing.is_some_and(|part| sent.parts.contains(&part)) {
                self.crash(sent.target);
            } else if !self.dead.contains(&sent.target) {
                self.sent.retain(|other| other.call != sent.call);
                self.served += 1;
                let outcome = AttemptOutcome::Completed(Usage::default());
                let (call, attempt) = (CallKey(sent.call), AttemptNumber(1));
                let event = Event::AttemptEnded { call, attempt, outcome };
                self.daemons[sent.daemon].handle(Moment::from_millis(self.now), event);
            }
        }
        let due: Vec<TargetKey> =
            self.restarts.iter().filter(|(at, _)| *at <= self.now).map(|(_, key)| *key).collect();
        if !due.is_empty() {
            self.restarts.retain(|(at, _)| *at > self.now);
            let targets = self.listed.targets.iter().filter(|(_, target)| !target.retired);
            let next: Vec<Target> = targets
                .map(|(key, target)| {
                    let name = format!("{}@{}", &target.name[..4], self.now);
                    let name = if due.contains(&key) { name.into() } else { target.name.clone() };
                    Target { name, ..target.clone() }
                })
                .collect();
            self.listed = self.listed.with_targets(self.now, next).into();
            for daemon in &mut self.daemons {
                daemon
                    .handle(Moment::from_millis(self.now), Event::Configured(self.listed.clone()));
            }
        }
        for index in 0..self.daemons.len() {
            let actions = self.daemons[index].handle(Moment::from_millis(self.now), Event::Tick);
            self.apply(index, &[], 0, actions);
        }
    }

    fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.step();
        }
    }

    /// Calls with the crashing part that were sent later than `contact_ms` after the fifth crash.
    fn late_crashing(&self) -> usize {
        let Some(fifth) = self.crashes.get(4) else { return 0 };
        self.sent_crashing.iter().filter(|at| **at > fifth + 3_000).count()
    }

    fn quarantined(&self, part: &str) -> usize {
        let refused = self
            .refused
            .iter()
            .filter(|(parts, code, ..)| parts.contains(&part) && *code == RefusalCode::Quarantined);
        refused.count()
    }
}

fn greeting(port: u16) -> PeerDigest {
    PeerDigest {
        vm: format!("vm-{port}").into(),
        domain: format!("d{}", port % 4).into(),
        incarnation: Incarnation(port.into()),
        address: Some(([127, 0, 0, 1], port).into()),
        ..PeerDigest::default()
    }
}

const SUBJECTS: [&str; 8] = ["s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7"];

/// Lets calls with the crashing part come at any daemon beside sound ones, one of each `mix`.
fn flood(fleet: &mut Fleet, millis: u64, mix: u64) {
    let end = fleet.now + millis;
    let daemons = fleet.daemons.len();
    let mut n: u64 = 0;
    while fleet.now < end {
        n += 1;
        let at = (n as usize * 7) % daemons;
        let subject = SUBJECTS[n as usize % SUBJECTS.len()];
        let account = (n % 2) as u32;
        if n.is_multiple_of(mix) {
            fleet.call(at, account, &["hot", subject, "bad"], 200);
        } else {
            fleet.call(at, account, &["hot", subject], 200);
        }
        fleet.step();
    }
}

#[test]
fn seven_daemons_stop_sending_a_part_that_crashes_targets() {
    let mut fleet = Fleet::new(7);
    flood(&mut fleet, 2_000, u64::MAX);
    fleet.crashing = Some("bad");
    flood(&mut fleet, 10_000, 10);
    assert!(fleet.late_crashing() <= 3, "{} sent late", fleet.late_crashing());
    assert!(fleet.crashes.len() <= 8, "{} targets crashed", fleet.crashes.len());
    assert_eq!(fleet.quarantined("bad"), fleet.quarantined("hot"), "only with the part");
    let is_told = |(_, code, ran, has_delay): &(_, RefusalCode, Ran, bool)| {
        *code == RefusalCode::Quarantined && *ran == Ran::No && !has_delay
    };
    assert!(fleet.refused.iter().all(is_told), "{:?}", fleet.refused.first());
}

#[test]
fn many_daemons_stop_sending_a_part_that_crashes_targets() {
    let mut fleet = Fleet::new(120);
    flood(&mut fleet, 2_000, u64::MAX);
    fleet.crashing = Some("bad");
    flood(&mut fleet, 6_000, 10);
    assert!(fleet.crashes.len() >= 5, "{} targets crashed", fleet.crashes.len());
    assert!(fleet.late_crashing() <= 3, "{} sent late", fleet.late_crashing());
    assert_eq!(fleet.quarantined("bad"), fleet.quarantined("hot"), "only with the part");
}

#[test]
fn a_daemon_that_starts_learns_what_is_in_quarantine() {
    let mut fleet = Fleet::new(7);
    flood(&mut fleet, 2_000, u64::MAX);
    fleet.crashing = Some("bad");
    flood(&mut fleet, 5_000, 10);
    let listed = fleet.listed.clone();
    let mut restarted = daemon(1);
    restarted.handle(fleet.moment(), Event::Configured(listed));
    restarted.handle(fleet.moment(), Event::PeerDigest(Box::new(greeting(2))));
    fleet.daemons[0] = restarted;
    fleet.run(600);
    let before = fleet.sent_crashing.len();
    fleet.call(0, 0, &["hot", "s0", "bad"], 200);
    assert_eq!(fleet.sent_crashing.len(), before, "the call was sent");
}

#[test]
fn targets_that_all_crash_before_any_response_quarantine_nothing() {
    for gap in [500, 2_500] {
        let mut fleet = Fleet::new(7);
        for round in 0..6 {
            for n in 0..40 {
                fleet.call((n + round) % 7, 0, &["hot", SUBJECTS[n % 8]], 100_000);
            }
            fleet.run(200);
            fleet.crash_all();
            fleet.run(gap);
        }
        assert!(fleet.quarantined("hot") == 0, "after {gap} ms: {:?}", fleet.refused.first());
        fleet.run(3_000);
        let served = fleet.served;
        flood(&mut fleet, 2_000, u64::MAX);
        assert!(fleet.served >= served + 80, "{} served", fleet.served - served);
    }
}

#[test]
fn targets_that_crash_again_and_again_under_sound_calls_quarantine_nothing() {
    let mut fleet = Fleet::new(7);
    for round in 0..30_u32 {
        flood(&mut fleet, 700, u64::MAX);
        let running = fleet.listed.targets.iter().filter(|(_, t)| !t.retired);
        let running: Vec<TargetKey> = running.map(|(key, _)| key).collect();
        fleet.crash(running[round as usize * 5 % running.len()]);
    }
    assert!(fleet.crashes.len() >= 25);
    assert_eq!(fleet.quarantined("hot"), 0);
}

#[test]
fn a_caller_cannot_get_the_parts_of_others_refused() {
    let mut fleet = Fleet::new(3);
    flood(&mut fleet, 1_000, u64::MAX);
    fleet.crashing = Some("bad");
    // The part "theirs" of another account was never in a complete response.
    for n in 0..40 {
        fleet.call(n % 3, 0, &["theirs", "bad"], 200);
        flood(&mut fleet, 200, u64::MAX);
    }
    assert!(fleet.quarantined("bad") > 0);
    fleet.run(500);
    let (refused, served) = (fleet.refused.len(), fleet.served);
    fleet.call(0, 1, &["theirs", "s1"], 100);
    fleet.run(300);
    assert_eq!(fleet.refused.len(), refused, "{:?}", fleet.refused.last());
    assert_eq!(fleet.served, served + 1);
}

#[test]
fn a_connection_that_breaks_at_a_target_that_lives_on_accuses_nothing() {
    let mut fleet = Fleet::new(2);
    flood(&mut fleet, 1_000, u64::MAX);
    for n in 0..20 {
        fleet.call(0, 0, &["rare"], 100_000);
        let sent = fleet.sent.pop().expect("the call was sent");
        let (call, attempt) = (CallKey(sent.call), AttemptNumber(1));
        let outcome = AttemptOutcome::Failed { can_continue: false };
        let now = fleet.moment();
        let broken = Event::ResponseEnded { call, end: ResponseEnd::Broken };
        fleet.daemons[0].handle(now, broken);
        fleet.daemons[0].handle(now, Event::AttemptEnded { call, attempt, outcome });
        flood(&mut fleet, 200, u64::MAX);
        assert_eq!(fleet.quarantined("rare"), 0, "after {n}");
    }
}

#[test]
fn a_part_that_crashes_targets_from_the_start_is_told_from_the_parts_around_it() {
    for (daemons, mix) in [(7, 10), (7, 4), (7, 2), (9, 25), (40, 10)] {
        let mut fleet = Fleet::new(daemons);
        fleet.crashing = Some("bad");
        let mut n: usize = 0;
        while fleet.now < 12_000 {
            n += 1;
            // Most sound responses take so long that few of them are complete at first.
            let (at, subject) = ((n * 7) % usize::from(daemons), SUBJECTS[n / 3 % 8]);
            let millis = [60, 2_500, 900][n % 3];
            let parts = ["hot", subject, "bad"];
            let parts = if n.is_multiple_of(mix) { &parts[..] } else { &parts[..2] };
            fleet.call(at, (n % 2) as u32, parts, millis);
            fleet.step();
        }
        let (late, crashes) = (fleet.late_crashing(), fleet.crashes.len());
        assert!(late <= 3, "{daemons} daemons, one of {mix}: {late} sent late, {crashes} crashes");
        let sound = fleet.quarantined("hot") - fleet.quarantined("bad");
        assert!(sound * 20 <= n, "{daemons} daemons, one of {mix}: {sound} sound calls refused");
    }
}

#[test]
fn a_complete_response_anywhere_lifts_a_quarantine_everywhere() {
    let mut fleet = Fleet::new(7);
    flood(&mut fleet, 2_000, u64::MAX);
    fleet.crashing = Some("bad");
    // The daemon completes a response with the part just before the others quarantine it.
    flood(&mut fleet, 400, 10);
    fleet.crashing = None;
    fleet.call(3, 0, &["bad"], 20);
    flood(&mut fleet, 3_000, 10);
    let refused = fleet.quarantined("bad");
    flood(&mut fleet, 1_000, 10);
    assert_eq!(fleet.quarantined("bad"), refused, "still refused");
}

#[test]
fn without_a_registry_a_target_that_misses_its_probes_after_a_broken_call_has_crashed() {
    let mut fleet = Fleet::new(1);
    fleet.daemons[0] = Control::new(identity(1), 1);
    let listed = fleet.listed.clone();
    fleet.daemons[0].handle(Moment(1), Event::Configured(listed));
    flood(&mut fleet, 1_000, u64::MAX);
    for n in 0..3 {
        assert_eq!(fleet.quarantined("bad"), 0, "after {n} crashes");
        fleet.call(0, 0, &["hot", "bad"], 100_000);
        fleet.run(100);
        let sent = fleet.sent.pop().expect("the call was sent");
        let (call, target) = (CallKey(sent.call), sent.target);
        let (attempt, now) = (AttemptNumber(1), fleet.moment());
        let control = &mut fleet.daemons[0];
        control.handle(now, Event::ResponseEnded { call, end: ResponseEnd::Broken });
        let outcome = AttemptOutcome::Failed { can_continue: false };
        control.handle(now, Event::AttemptEnded { call, attempt, outcome });
        fleet.run(1_000);
        for _ in 0..3 {
            let now = fleet.moment();
            fleet.daemons[0].handle(now, Event::TargetSilent { target });
        }
        flood(&mut fleet, 1_000, u64::MAX);
    }
    fleet.call(0, 0, &["hot", "bad"], 100_000);
    assert_eq!(fleet.quarantined("bad"), 1, "{:?}", fleet.refused);
    assert_eq!(fleet.quarantined("hot"), 1, "only with the part");
}

#[test]
fn an_operator_lifts_a_quarantine_on_all_daemons_until_targets_crash_again() {
    let mut fleet = Fleet::new(7);
    flood(&mut fleet, 2_000, u64::MAX);
    fleet.crashing = Some("bad");
    flood(&mut fleet, 3_000, 10);
    let dump = fleet.daemons[2].dump(fleet.moment());
    let content = ContentKey::of_part("bad");
    assert_eq!(dump.quarantined.len(), 1, "{:?}", dump.quarantined);
    assert_eq!(dump.quarantined[0].content, format!("{:016x}", content.0));

    fleet.crashing = None;
    let now = fleet.moment();
    fleet.daemons[2].handle(now, Event::LiftQuarantine { content });
    fleet.run(600);
    let refused = fleet.quarantined("bad");
    for daemon in 0..7 {
        fleet.call(daemon, 0, &["hot", "s0", "bad"], 100_000);
    }
    assert_eq!(fleet.quarantined("bad"), refused, "refused after the lift");
    // No response is complete, so that crashes count again.
    fleet.sent.retain(|sent| !sent.parts.contains(&"bad"));
    fleet.crashing = Some("bad");
    flood(&mut fleet, 4_000, 10);
    assert!(fleet.quarantined("bad") > refused, "not quarantined again");
}

#[test]
fn targets_that_crash_together_in_rounds_quarantine_nothing() {
    let mut fleet = Fleet::new(7);
    flood(&mut fleet, 1_000, u64::MAX);
    for round in 0..8_usize {
        for n in 0..21 {
            // No response to these calls is ever complete, while others are served.
            fleet.call(n % 7, (n % 2) as u32, &["hot", "slow"], 100_000);
        }
        flood(&mut fleet, 300, u64::MAX);
        let running = fleet.listed.targets.iter().filter(|(_, t)| !t.retired);
        let running: Vec<TargetKey> = running.map(|(key, _)| key).collect();
        for n in 0..TARGETS / 2 {
            fleet.crash(running[(round + 2 * n) % running.len()]);
        }
        flood(&mut fleet, 2_200, u64::MAX);
    }
    assert_eq!(fleet.quarantined("slow"), 0);
    assert_eq!(fleet.quarantined("hot"), 0);
}
