//! Daemons keep the limits that targets name together, and use them, in simulated time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::{Snapshot, TargetKind};
use cumintrail_control::{
    Action, Actions, Arrival, AttemptOutcome, Control, Event, NamedLimit, RouteOptions, Usage,
};
use cumintrail_tests::fleet::{
    listed_targets, snapshot, start_daemon, transmit, with_new_incarnations,
};
use cumintrail_types::{
    AccountKey, AttemptNumber, CallClass, CallKey, Moment, RefusalCode, RequestRate, ServiceKey,
    TargetKey, Tokens, WeightVersion,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const STEP_MS: u64 = 20;
/// Time from the first response with a limit until the limit must be kept.
const CONTACT_MS: u64 = 3_000;
const WINDOW_MS: u64 = 4_000;
const RESPONSE_MS: u64 = 60;
const DEADLINE: Duration = Duration::from_millis(600);
const OBJECTIVE: Duration = Duration::from_millis(100);
/// The part of a limit that must be used if there are more calls than it allows.
const MIN_USED: f64 = 0.7;

#[derive(Debug, Clone, Copy)]
struct Sent {
    daemon: usize,
    call: CallKey,
    attempt: AttemptNumber,
    target: TargetKey,
    at: u64,
    is_limited: bool,
}

/// Daemons and targets in simulated time.
struct Fleet {
    daemons: Vec<Control>,
    /// When each daemon started.
    started: Vec<u64>,
    now: u64,
    listed: Arc<Snapshot>,
    limits: BTreeMap<TargetKey, f64>,
    sent: Vec<Sent>,
    /// When requests arrived at each target.
    arrived: BTreeMap<TargetKey, Vec<u64>>,
    /// When the target's first response with a limit was passed on.
    named: BTreeMap<TargetKey, u64>,
    /// Whether digests pass between the two halves of the daemons.
    is_cut: bool,
    arrivals: BTreeMap<CallKey, u64>,
    served: usize,
    /// The code of each refusal, the time that the call had waited, and the caller's delay.
    refused: Vec<(RefusalCode, u64, Option<Duration>)>,
    next_call: u64,
    rng: StdRng,
}

impl Fleet {
    fn new(daemons: u16, targets: usize) -> Self {
        let listed = snapshot(targets);
        let mut fleet = Self {
            daemons: Vec::new(),
            started: vec![0; daemons.into()],
            now: 10_000,
            listed,
            limits: BTreeMap::new(),
            sent: Vec::new(),
            arrived: BTreeMap::new(),
            named: BTreeMap::new(),
            is_cut: false,
            arrivals: BTreeMap::new(),
            served: 0,
            refused: Vec::new(),
            next_call: 0,
            rng: StdRng::seed_from_u64(11),
        };
        for port in 1..=daemons {
            let control = fleet.start(port, port.into());
            fleet.daemons.push(control);
        }
        fleet
    }

    fn start(&self, port: u16, incarnation: u64) -> Control {
        start_daemon(port, incarnation, self.started.len() as u16, &self.listed)
    }

    /// Restarts a daemon, whose clock begins anew.
    fn restart(&mut self, daemon: usize) {
        self.sent.retain(|sent| sent.daemon != daemon);
        self.started[daemon] = self.now;
        let port = daemon as u16 + 1;
        self.daemons[daemon] = self.start(port, 1_000 + u64::from(port));
    }

    /// Replaces a target by one under a new id, which has no limit.
    fn restart_target(&mut self, target: TargetKey) {
        self.listed = with_new_incarnations(&self.listed, self.now, &[target]);
        self.sent.retain(|sent| sent.target != target);
        for daemon in 0..self.daemons.len() {
            self.handle(daemon, Event::Configured(self.listed.clone()));
        }
    }

    fn targets(&self) -> Vec<TargetKey> {
        listed_targets(&self.listed)
    }

    /// Returns the present time on a daemon's clock.
    fn clock(&self, daemon: usize) -> Moment {
        Moment::from_millis(self.now - self.started[daemon])
    }

    fn handle(&mut self, daemon: usize, event: Event) {
        let now = self.clock(daemon);
        let actions = self.daemons[daemon].handle(now, event);
        self.apply(daemon, actions);
    }

    fn call(&mut self, daemon: usize) {
        self.next_call += 1;
        let call = CallKey(self.next_call);
        self.arrivals.insert(call, self.now);
        let arrival = Arrival {
            call,
            account: AccountKey(0),
            class: CallClass::Once,
            kind: TargetKind::Service(ServiceKey(0)),
            version: WeightVersion(0),
            blocks: Arc::from([]),
            prompt: Tokens(0),
            max_output: Tokens(0),
            deadline: self.clock(daemon) + DEADLINE,
            options: RouteOptions {
                first_token_objective: Some(OBJECTIVE),
                ..RouteOptions::default()
            },
        };
        self.handle(daemon, Event::Arrived(arrival));
    }

    fn apply(&mut self, daemon: usize, actions: Actions) {
        for action in actions {
            match action {
                Action::Dispatch(dispatch) => {
                    self.arrived.entry(dispatch.target).or_default().push(self.now);
                    self.sent.push(Sent {
                        daemon,
                        call: dispatch.call,
                        attempt: dispatch.attempt,
                        target: dispatch.target,
                        at: self.now,
                        is_limited: dispatch.is_limited,
                    });
                }
                Action::Refuse { call, refusal } => {
                    let waited = self.now - self.arrivals[&call];
                    self.refused.push((refusal.code, waited, refusal.retry_after));
                }
                Action::SendDigest { to, digest } => {
                    let to = usize::from(to.port()) - 1;
                    let half = self.daemons.len() / 2;
                    if self.is_cut && (daemon < half) != (to < half) {
                        continue;
                    }
                    self.handle(to, Event::PeerDigest(Box::new(transmit(*digest))));
                }
                _ => {}
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        let (ended, sent) = self.sent.drain(..).partition(|sent| sent.at + RESPONSE_MS <= self.now);
        self.sent = sent;
        let ended: Vec<Sent> = ended;
        for Sent { daemon, call, attempt, target, at, is_limited } in ended {
            let limit = self.limits.get(&target);
            let limit = limit.map_or(NamedLimit::None, |rate| {
                NamedLimit::Rate(RequestRate::from_per_second(*rate))
            });
            if limit != NamedLimit::None || is_limited {
                self.named.entry(target).or_insert(self.now);
                let sent = Moment::from_millis(at - self.started[daemon]);
                self.handle(daemon, Event::LimitNamed { target, limit, sent });
            }
            self.served += 1;
            let outcome = AttemptOutcome::Completed(Usage::default());
            self.handle(daemon, Event::AttemptEnded { call, attempt, outcome });
        }
        for daemon in 0..self.daemons.len() {
            self.handle(daemon, Event::Tick);
        }
    }

    /// Lets calls arrive for some time, `per_second` at each of the first `busy` daemons.
    fn run(&mut self, millis: u64, busy: usize, per_second: f64) {
        let end = self.now + millis;
        let probability = per_second * STEP_MS as f64 / 1_000.0;
        while self.now < end {
            for daemon in 0..busy {
                let whole = probability.floor() as usize;
                let more = usize::from(self.rng.random_bool(probability.fract()));
                for _ in 0..whole + more {
                    self.call(daemon);
                }
            }
            self.step();
        }
    }

    /// Limits the first targets, and lets daemons learn of it.
    fn limit(&mut self, targets: usize, rate: f64, busy: usize, per_second: f64) {
        let limited = self.targets().into_iter().take(targets);
        self.limits.extend(limited.map(|target| (target, rate)));
        self.run(CONTACT_MS + 1_000, busy, per_second);
    }

    /// Returns the most requests that a target got in one window since a time.
    fn most(&self, target: TargetKey, since: u64) -> usize {
        let arrived = self.arrived.get(&target).map(Vec::as_slice).unwrap_or_default();
        let from = arrived.partition_point(|at| *at < since);
        let judged = &arrived[from..];
        let counts = judged.iter().enumerate().map(|(first, at)| {
            judged[first..].iter().take_while(|other| **other < at + WINDOW_MS).count()
        });
        counts.max().unwrap_or(0)
    }

    fn count(&self, target: TargetKey, since: u64) -> usize {
        let arrived = self.arrived.get(&target).map(Vec::as_slice).unwrap_or_default();
        arrived.iter().filter(|at| **at >= since).count()
    }

    /// Checks that limited targets got no more than a limit allows since a time.
    fn assert_kept(&self, rate: f64, since: u64, what: &str) {
        let allowed = (rate * WINDOW_MS as f64 / 1_000.0).mul_add(1.5, 5.0) as usize;
        for target in self.limits.keys() {
            let most = self.most(*target, since);
            println!("{what}: {most} of {allowed}");
            assert!(most <= allowed, "{what}: {most} requests in 4 s, {allowed} allowed");
        }
    }

    /// Checks that limited targets got as many requests since a time as is to be expected.
    fn assert_used(&self, rate: f64, since: u64, what: &str) {
        let seconds = (self.now - since) as f64 / 1_000.0;
        let all: usize = self.limits.keys().map(|target| self.count(*target, since)).sum();
        let used = all as f64 / (rate * seconds * self.limits.len() as f64);
        println!("{what}: {used:.2} of the limits used");
        assert!(used >= MIN_USED, "{what}: {used:.2} of the limits used");
    }
}

/// Limits two of twelve targets of daemons that all get calls; returns the fleet and the time since
/// when the limits must be kept.
fn limited_fleet(daemons: u16, rate: f64, per_second: f64) -> (Fleet, u64) {
    let mut fleet = Fleet::new(daemons, 12);
    fleet.run(2_000, daemons.into(), per_second);
    fleet.limit(2, rate, daemons.into(), per_second);
    let since = fleet.now;
    (fleet, since)
}

/// Checks that limits are kept and used by daemons that all get calls.
fn check_even_calls(daemons: u16, rate: f64, per_second: f64, millis: u64) {
    let what = format!("{daemons} daemons, {rate} a second");
    let (mut fleet, since) = limited_fleet(daemons, rate, per_second);
    fleet.run(millis, daemons.into(), per_second);
    fleet.assert_kept(rate, since, &what);
    fleet.assert_used(rate, since, &what);
    assert!(fleet.refused.is_empty(), "{what}: {:?}", fleet.refused.first());
}

#[test]
fn a_limit_is_kept_and_used_by_few_daemons() {
    for (rate, per_second) in [(2.3, 10.0), (0.5, 10.0), (40.0, 60.0)] {
        check_even_calls(7, rate, per_second, 20_000);
    }
}

#[test]
fn a_limit_is_kept_and_used_by_more_daemons_than_may_send_at_a_time() {
    for (daemons, rate, per_second) in [(30, 2.3, 8.0), (30, 12.0, 8.0), (60, 1.3, 4.0)] {
        check_even_calls(daemons, rate, per_second, 8_000);
    }
}

#[test]
fn one_busy_daemon_uses_the_limit_that_idle_ones_leave() {
    for (daemons, rate) in [(7, 2.3), (7, 0.5), (9, 1.0)] {
        let what = format!("one of {daemons} daemons, {rate} a second");
        let mut fleet = Fleet::new(daemons, 12);
        fleet.run(6_000, 1, 40.0);
        fleet.limit(2, rate, 1, 40.0);
        let since = fleet.now;
        fleet.run(20_000, 1, 40.0);
        fleet.assert_used(rate, since, &what);
        // The others come back all at once.
        fleet.run(10_000, daemons.into(), 40.0);
        fleet.assert_kept(rate, since, &what);
    }
}

#[test]
fn a_limit_is_kept_while_daemons_restart_and_are_cut_off_from_each_other() {
    let (mut fleet, since) = limited_fleet(7, 2.3, 10.0);
    for daemon in [0, 3, 5, 0] {
        fleet.restart(daemon);
        fleet.run(1_500, 7, 10.0);
    }
    fleet.is_cut = true;
    fleet.run(12_000, 7, 10.0);
    fleet.is_cut = false;
    fleet.run(6_000, 7, 10.0);
    fleet.assert_kept(2.3, since, "restarts and a cut");
    fleet.assert_used(2.3, since, "restarts and a cut");
}

#[test]
fn a_limit_that_changes_is_kept_and_one_that_ends_holds_up_nothing() {
    let (mut fleet, since) = limited_fleet(7, 2.3, 10.0);
    let limited: Vec<TargetKey> = fleet.limits.keys().copied().collect();
    for rate in [1.0, 4.0, 0.25, 3.0] {
        fleet.limits.values_mut().for_each(|limit| *limit = rate);
        fleet.run(CONTACT_MS, 7, 10.0);
        let kept_since = fleet.now;
        fleet.run(8_000, 7, 10.0);
        fleet.assert_kept(rate, kept_since, &format!("changed to {rate}"));
        fleet.assert_used(rate, kept_since, &format!("changed to {rate}"));
    }
    assert!(fleet.count(limited[0], since) > 0);
    fleet.limits.clear();
    fleet.run(CONTACT_MS, 7, 10.0);
    let ended = fleet.now;
    fleet.run(6_000, 7, 10.0);
    // Each of twelve targets gets its part of seventy calls a second.
    for target in limited {
        let count = fleet.count(target, ended);
        assert!(count >= 20, "{count} requests in 6 s after the limit ended");
    }
}

#[test]
fn a_target_that_starts_again_has_no_limit() {
    let (mut fleet, _) = limited_fleet(7, 0.5, 10.0);
    let limited = *fleet.limits.keys().next().unwrap();
    fleet.limits.remove(&limited);
    fleet.restart_target(limited);
    let renewed = fleet.targets().into_iter().max().unwrap();
    let since = fleet.now;
    fleet.run(4_000, 7, 10.0);
    let count = fleet.count(renewed, since);
    assert!(count >= 12, "{count} requests in 4 s");
}

#[test]
fn calls_to_limited_targets_only_are_refused_at_once_or_served() {
    let mut fleet = Fleet::new(7, 4);
    fleet.run(2_000, 7, 10.0);
    fleet.limit(4, 3.0, 7, 10.0);
    let (since, refused, served) = (fleet.now, fleet.refused.len(), fleet.served);
    fleet.run(20_000, 7, 10.0);
    fleet.assert_kept(3.0, since, "all targets limited");
    fleet.assert_used(3.0, since, "all targets limited");
    let served = fleet.served - served;
    assert!(served >= 160, "{served} of 240 possible calls were served in 20 s");
    let refused = &fleet.refused[refused..];
    assert!(refused.len() > 1_000, "{} refused", refused.len());
    for (code, waited, delay) in refused {
        assert_eq!(*code, RefusalCode::Overloaded);
        assert!(u128::from(*waited) <= OBJECTIVE.as_millis(), "waited {waited} ms");
        assert!(delay.is_some());
    }
    // Callers that come back when they are asked to come at the rate at which calls are served.
    let first_second = refused.iter().filter(|(_, _, d)| *d <= Some(Duration::from_secs(1)));
    assert!(first_second.count() <= 20 * 24, "too many callers are asked to return soon");
}

#[test]
fn absurd_limits_have_a_meaning() {
    let target_of = |fleet: &Fleet| fleet.targets()[0];
    let (mut fleet, _) = limited_fleet(7, 2.3, 10.0);
    // A target that takes nothing is asked from time to time whether it still does.
    fleet.limits.values_mut().for_each(|limit| *limit = 0.0);
    fleet.run(CONTACT_MS, 7, 10.0);
    let since = fleet.now;
    fleet.run(16_000, 7, 10.0);
    fleet.assert_kept(0.0, since, "no requests");
    assert!(fleet.count(target_of(&fleet), since) >= 1);
    // A limit that no daemon can reach holds up nothing.
    fleet.limits.values_mut().for_each(|limit| *limit = 1e9);
    fleet.run(12_000, 7, 10.0);
    let since = fleet.now;
    fleet.run(4_000, 7, 10.0);
    assert!(fleet.count(target_of(&fleet), since) >= 12);
    // A limit that is not readable changes nothing, and is logged.
    let (target, sent) = (target_of(&fleet), fleet.clock(0));
    fleet.limits.clear();
    fleet.handle(0, Event::LimitNamed { target, limit: NamedLimit::Unreadable, sent });
    fleet.run(2_000, 7, 10.0);
    assert!(fleet.refused.is_empty());
}

#[test]
fn credit_from_before_a_share_ended_is_used() {
    let mut fleet = Fleet::new(30, 2);
    fleet.run(2_000, 30, 1.0);
    fleet.limit(2, 2.3, 30, 1.0);
    // The shares of daemons whose callers have gone end, and others get them.
    fleet.run(20_000, 8, 2.0);
    let has_credit = |daemon: &usize| {
        let limited = fleet.daemons[*daemon].dump(fleet.clock(*daemon)).limited;
        limited.iter().any(|target| target.credit >= 1.0)
    };
    let with_credit = (8..30).filter(has_credit).count();
    assert!(with_credit > 0, "no daemon has credit");
    let (since, refused, served) = (fleet.now, fleet.refused.len(), fleet.served);
    for daemon in 8..30 {
        fleet.call(daemon);
    }
    fleet.run(100, 0, 0.0);
    let (refused, served) = (fleet.refused.len() - refused, fleet.served - served);
    println!("{with_credit} have credit, {served} served, {refused} refused");
    assert!(served >= with_credit, "{with_credit} have credit, {served} served");
    fleet.assert_kept(2.3, since, "credit without a share");
}
