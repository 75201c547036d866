//! Daemons stop a request under which targets crash, and hold up no sound one, in simulated time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::{Snapshot, TargetKind};
use cumintrail_control::quarantine::{CallContent, ContentKey};
use cumintrail_control::{
    Action, Actions, Arrival, AttemptOutcome, Control, Event, PeerDigest, ResponseEnd,
    RouteOptions, Usage,
};
use cumintrail_tests::fleet::{
    listed_targets, snapshot, start_daemon, transmit, with_new_incarnations,
};
use cumintrail_types::{
    AccountKey, AttemptNumber, CallClass, CallKey, Moment, Ran, RefusalCode, ServiceKey, TargetKey,
    Tokens, WeightVersion,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Time from the third crash until no more than [`MOST_LATER`] further requests may be sent.
const CONTACT_MS: u64 = 3_000;
const MOST_LATER: usize = 3;
const TICK_MS: u64 = 20;
/// Runs of each plan.
const SEEDS: u64 = 4;

/// What happens at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Tick(usize),
    /// A caller sends a request, given by its index.
    Request {
        daemon: usize,
        request: u64,
        retries: u8,
    },
    /// A target completes a call, or crashes under it.
    Ended {
        target: TargetKey,
        daemon: usize,
        call: CallKey,
    },
    /// A connection to a target that is gone is refused.
    Refused {
        daemon: usize,
        call: CallKey,
        attempt: u8,
    },
    /// A daemon finds that a target accepts no connections.
    Unreachable {
        daemon: usize,
        target: TargetKey,
    },
    Digest {
        to: usize,
        number: usize,
    },
    /// Successors of these targets are listed.
    Restart(TargetKey),
    /// All targets crash.
    Herd,
    /// One target crashes.
    Crash(usize),
}

#[derive(Debug, Clone, Copy)]
struct Sent {
    daemon: usize,
    attempt: AttemptNumber,
    target: TargetKey,
    request: u64,
}

/// What varies between runs.
#[derive(Debug, Clone, Copy)]
struct Plan {
    daemons: u16,
    targets: usize,
    seed: u64,
    class: CallClass,
    /// Sound calls a second.
    sound_per_second: f64,
    /// Time until a crashed target is back.
    restart_ms: u64,
    /// Time between repeats of the crashing request, at most.
    repeat_ms: u64,
    /// Copies of the crashing request that come together.
    copies: u8,
    /// How long the crashing request runs before its target crashes, at most.
    run_ms: u64,
    /// How long a sound request runs, at most.
    sound_ms: u64,
    /// How often callers repeat a sound request that was not served, at once.
    sound_retries: u8,
    deadline: Duration,
}

const PLAN: Plan = Plan {
    daemons: 7,
    targets: 4,
    seed: 1,
    class: CallClass::Repeatable,
    sound_per_second: 67.0,
    restart_ms: 3_200,
    repeat_ms: 800,
    copies: 1,
    run_ms: 120,
    sound_ms: 40,
    sound_retries: 1,
    deadline: Duration::from_millis(600),
};

/// Requests with lower indexes crash targets.
const FIRST_SOUND: u64 = 10;
const CRASHING: u64 = 0;

struct Fleet {
    plan: Plan,
    daemons: Vec<Control>,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, Happening)>>,
    digests: Vec<PeerDigest>,
    listed: Arc<Snapshot>,
    dead: Vec<TargetKey>,
    sent: BTreeMap<CallKey, Sent>,
    requests: BTreeMap<CallKey, (usize, u64, u8)>,
    next: u64,
    rng: StdRng,
    /// When crashing requests reached targets, and when these crashed under them.
    delivered: Vec<(u64, u64)>,
    crashes: Vec<(u64, u64)>,
    served: usize,
    refused: Vec<(u64, RefusalCode, Ran)>,
    /// Whether the targets crash under each request.
    is_broken: bool,
}

impl Fleet {
    fn new(plan: Plan) -> Self {
        let listed = snapshot(plan.targets);
        let start = |port| start_daemon(port, port.into(), plan.daemons, &listed);
        let mut fleet = Self {
            plan,
            daemons: (1..=plan.daemons).map(start).collect(),
            now: 10_000,
            queue: BinaryHeap::new(),
            digests: Vec::new(),
            listed,
            dead: Vec::new(),
            sent: BTreeMap::new(),
            requests: BTreeMap::new(),
            next: FIRST_SOUND,
            rng: StdRng::seed_from_u64(plan.seed),
            delivered: Vec::new(),
            crashes: Vec::new(),
            served: 0,
            refused: Vec::new(),
            is_broken: false,
        };
        for daemon in 0..fleet.daemons.len() {
            let first = fleet.rng.random_range(0..TICK_MS);
            fleet.after(first, Happening::Tick(daemon));
        }
        fleet
    }

    fn after(&mut self, millis: u64, happening: Happening) {
        self.queue.push(Reverse((self.now + millis, happening)));
    }

    fn handle(&mut self, daemon: usize, event: Event) {
        let actions = self.daemons[daemon].handle(Moment::from_millis(self.now), event);
        self.apply(daemon, actions);
    }

    fn apply(&mut self, daemon: usize, actions: Actions) {
        for action in actions {
            match action {
                Action::Dispatch(dispatch) => {
                    let (call, target) = (dispatch.call, dispatch.target);
                    if self.dead.contains(&target) {
                        let attempt = dispatch.attempt.0;
                        self.after(2, Happening::Refused { daemon, call, attempt });
                        continue;
                    }
                    let request = self.requests[&call].1;
                    let sent = Sent { daemon, attempt: dispatch.attempt, target, request };
                    self.sent.insert(call, sent);
                    let least = self.plan.run_ms / 3;
                    let time = if request < FIRST_SOUND {
                        self.delivered.push((self.now, request));
                        self.rng.random_range(least..=self.plan.run_ms)
                    } else {
                        self.rng.random_range(self.plan.sound_ms / 8..=self.plan.sound_ms)
                    };
                    self.after(time, Happening::Ended { target, daemon, call });
                }
                Action::Refuse { call, refusal } => {
                    let (_, request, retries) = self.requests[&call];
                    self.refused.push((request, refusal.code, refusal.ran));
                    // Callers may repeat what did not run, and what may run again.
                    let may = refusal.ran == Ran::No || self.plan.class.is_repeatable();
                    if may && retries > 0 {
                        let daemon = self.rng.random_range(0..self.daemons.len());
                        let retries = retries - 1;
                        self.after(2, Happening::Request { daemon, request, retries });
                    }
                }
                Action::CheckReach { scope, check } => {
                    let living = check.targets.into_iter();
                    let reached = living.filter(|target| !self.dead.contains(target)).collect();
                    self.handle(daemon, Event::ReachChecked { scope, reached });
                }
                Action::SendDigest { to, digest } => {
                    let (to, number) = (usize::from(to.port()) - 1, self.digests.len());
                    self.digests.push(transmit(*digest));
                    let delay = self.rng.random_range(2..25);
                    self.after(delay, Happening::Digest { to, number });
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
        let restart = self.plan.restart_ms + self.rng.random_range(0..400);
        self.after(restart, Happening::Restart(target));
        let broken = self.sent.iter().filter(|(_, sent)| sent.target == target);
        let broken: Vec<(CallKey, Sent)> = broken.map(|(call, sent)| (*call, *sent)).collect();
        for request in 0..FIRST_SOUND {
            if broken.iter().any(|(_, sent)| sent.request == request) {
                self.crashes.push((self.now, request));
            }
        }
        for (call, Sent { daemon, attempt, .. }) in broken {
            self.sent.remove(&call);
            self.handle(daemon, Event::ResponseEnded { call, end: ResponseEnd::Broken });
            let outcome = AttemptOutcome::Failed { can_continue: true };
            self.handle(daemon, Event::AttemptEnded { call, attempt, outcome });
            let delay = self.rng.random_range(1..5);
            self.after(delay, Happening::Unreachable { daemon, target });
        }
    }

    fn request(&mut self, daemon: usize, request: u64, retries: u8) {
        self.next += 1;
        let call = CallKey(self.next);
        self.requests.insert(call, (daemon, request, retries));
        let max_attempts = if self.plan.class.is_repeatable() { 2 } else { 1 };
        let arrival = Arrival {
            call,
            account: AccountKey(0),
            class: self.plan.class,
            kind: TargetKind::Service(ServiceKey(0)),
            version: WeightVersion(0),
            blocks: Arc::from([]),
            prompt: Tokens(0),
            max_output: Tokens(0),
            deadline: Moment::from_millis(self.now) + self.plan.deadline,
            options: RouteOptions {
                max_attempts: Some(max_attempts),
                content: CallContent {
                    request: Some(ContentKey(1_000_000 + request)),
                    ..CallContent::default()
                },
                ..RouteOptions::default()
            },
        };
        self.handle(daemon, Event::Arrived(arrival));
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Tick(daemon) => {
                self.handle(daemon, Event::Tick);
                self.after(TICK_MS, Happening::Tick(daemon));
            }
            Happening::Request { daemon, request, retries } => {
                self.request(daemon, request, retries);
            }
            Happening::Ended { target, daemon, call } => {
                let Some(sent) = self.sent.get(&call).copied().filter(|s| s.target == target)
                else {
                    return;
                };
                if sent.request < FIRST_SOUND || self.is_broken {
                    return self.crash(target);
                }
                self.sent.remove(&call);
                self.served += 1;
                let (attempt, outcome) =
                    (sent.attempt, AttemptOutcome::Completed(Usage::default()));
                self.handle(daemon, Event::AttemptEnded { call, attempt, outcome });
            }
            Happening::Refused { daemon, call, attempt } => {
                let (attempt, outcome) = (AttemptNumber(attempt), AttemptOutcome::NotSent);
                self.handle(daemon, Event::AttemptEnded { call, attempt, outcome });
            }
            Happening::Unreachable { daemon, target } => {
                self.handle(daemon, Event::TargetUnreachable { target });
            }
            Happening::Digest { to, number } => {
                let digest = std::mem::take(&mut self.digests[number]);
                self.handle(to, Event::PeerDigest(Box::new(digest)));
            }
            Happening::Restart(target) => {
                self.dead.retain(|dead| *dead != target);
                self.listed = with_new_incarnations(&self.listed, self.now, &[target]);
                for daemon in 0..self.daemons.len() {
                    self.handle(daemon, Event::Configured(self.listed.clone()));
                }
            }
            Happening::Herd => {
                for target in listed_targets(&self.listed) {
                    self.crash(target);
                }
            }
            Happening::Crash(index) => {
                let target = listed_targets(&self.listed)[index];
                self.crash(target);
            }
        }
    }

    fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while let Some(Reverse((at, _))) = self.queue.peek()
            && *at <= end
        {
            let Some(Reverse((at, happening))) = self.queue.pop() else { break };
            self.now = at;
            self.happen(happening);
        }
        self.now = end;
    }

    /// Schedules sound requests, each of its own, for some time.
    fn schedule_sound(&mut self, millis: u64) {
        let mut at = 0.0;
        loop {
            at += -self.rng.random::<f64>().ln() / self.plan.sound_per_second * 1_000.0;
            if at >= millis as f64 {
                break;
            }
            self.next += 1;
            let (daemon, request) = (self.rng.random_range(0..self.daemons.len()), self.next);
            let retries = self.plan.sound_retries;
            self.after(at as u64, Happening::Request { daemon, request, retries });
        }
    }

    /// Schedules repeats of a crashing request for some time.
    fn schedule_crashing(&mut self, request: u64, millis: u64) {
        let mut at = 300;
        while at < millis {
            for _ in 0..self.plan.copies {
                let daemon = self.rng.random_range(0..self.daemons.len());
                let jitter = self.rng.random_range(0..60);
                self.after(at + jitter, Happening::Request { daemon, request, retries: 1 });
            }
            at += self.rng.random_range(self.plan.repeat_ms / 4..=self.plan.repeat_ms);
        }
    }

    /// How often a crashing request reached targets later than [`CONTACT_MS`] after its third crash.
    fn late(&self, request: u64) -> usize {
        let crashes = self.crashes.iter().filter(|(_, of)| *of == request);
        let third = crashes.map(|(at, _)| at + CONTACT_MS).nth(2).unwrap_or(u64::MAX);
        self.delivered.iter().filter(|(at, of)| *of == request && *at > third).count()
    }

    /// Sound requests that were refused as quarantined.
    fn wronged(&self) -> usize {
        let wronged = self.refused.iter().filter(|(request, code, _)| {
            *request >= FIRST_SOUND && *code == RefusalCode::Quarantined
        });
        wronged.count()
    }
}

fn flood(plan: Plan) -> Fleet {
    let mut fleet = Fleet::new(plan);
    fleet.schedule_sound(14_000);
    fleet.run(1_000);
    fleet.schedule_crashing(CRASHING, 12_000);
    fleet.run(13_000);
    fleet
}

/// Checks that the crashing request stops reaching targets in each of these plans, with some seeds
/// each, and that no sound one is refused for it.
fn assert_stopped(plans: impl IntoIterator<Item = Plan>) {
    let mut failed = Vec::new();
    let mut count = 0;
    for (plan, seed) in plans.into_iter().flat_map(|plan| (0..SEEDS).map(move |seed| (plan, seed)))
    {
        let fleet = flood(Plan { seed, ..plan });
        let (late, wronged) = (fleet.late(CRASHING), fleet.wronged());
        count += 1;
        if late > MOST_LATER || wronged > 0 {
            failed.push(format!("{late} late, {wronged} wronged: {:?}", fleet.plan));
        }
    }
    assert!(failed.is_empty(), "{} of {count} failed:\n{}", failed.len(), failed.join("\n"));
}

#[test]
fn a_request_that_crashes_targets_stops_reaching_them_whatever_its_repeats() {
    let repeats = [(1, 800), (1, 200), (2, 1_000), (4, 3_000)];
    let plans = [2, 4, 12].into_iter().flat_map(|targets| {
        repeats.into_iter().flat_map(move |(copies, repeat_ms)| {
            let classes = [CallClass::Repeatable, CallClass::Once];
            classes.map(|class| Plan { targets, class, repeat_ms, copies, ..PLAN })
        })
    });
    assert_stopped(plans);
}

#[test]
fn a_request_that_crashes_targets_stops_reaching_them_in_larger_deployments() {
    let plan = Plan { daemons: 30, sound_per_second: 150.0, ..PLAN };
    assert_stopped([4, 12].map(|targets| Plan { targets, ..plan }));
}

#[test]
fn a_request_that_crashes_targets_from_the_start_stops_reaching_them() {
    for (targets, seed) in [2, 4].into_iter().flat_map(|t| (0..SEEDS).map(move |seed| (t, seed))) {
        let mut fleet = Fleet::new(Plan { targets, seed, ..PLAN });
        fleet.schedule_sound(12_000);
        fleet.schedule_crashing(CRASHING, 12_000);
        fleet.run(14_000);
        let late = fleet.late(CRASHING);
        assert!(late <= MOST_LATER, "{targets} targets, seed {seed}: {late} late");
    }
}

#[test]
fn two_requests_that_crash_targets_stop_reaching_them() {
    for (gap, seed) in [0, 5_000].into_iter().flat_map(|g| (0..SEEDS).map(move |seed| (g, seed))) {
        let mut fleet = Fleet::new(Plan { targets: 12, seed, ..PLAN });
        fleet.schedule_sound(20_000);
        fleet.run(1_000);
        fleet.schedule_crashing(CRASHING, 14_000);
        fleet.run(gap);
        fleet.schedule_crashing(CRASHING + 1, 12_000);
        fleet.run(18_000 - gap);
        let late = [fleet.late(CRASHING), fleet.late(CRASHING + 1)];
        assert!(late.iter().all(|n| *n <= MOST_LATER), "gap {gap}, seed {seed}: {late:?} late");
    }
}

#[test]
fn a_request_is_blamed_although_targets_also_crash_by_themselves() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(Plan { targets: 12, seed, ..PLAN });
        fleet.schedule_sound(20_000);
        fleet.run(1_000);
        fleet.happen(Happening::Herd);
        fleet.run(4_500);
        fleet.schedule_crashing(CRASHING, 12_000);
        fleet.after(2_000, Happening::Crash(3));
        fleet.run(14_000);
        let late = fleet.late(CRASHING);
        assert!(late <= MOST_LATER, "seed {seed}: {late} late");
    }
}

/// Long streams, whose callers repeat them at once and often.
const STREAMS: Plan = Plan {
    targets: 12,
    sound_per_second: 12.0,
    sound_ms: 3_000,
    sound_retries: 6,
    deadline: Duration::from_secs(12),
    ..PLAN
};

#[test]
fn sound_requests_are_not_blamed_for_targets_that_crash_together_again_and_again() {
    for (plan, seed) in [PLAN, STREAMS, Plan { targets: 4, ..STREAMS }]
        .into_iter()
        .flat_map(|plan| (0..10).map(move |seed| (plan, seed)))
    {
        let mut fleet = Fleet::new(Plan { seed, restart_ms: 500, sound_retries: 6, ..plan });
        fleet.schedule_sound(20_000);
        for round in 1..=8 {
            fleet.after(round * 2_000, Happening::Herd);
        }
        fleet.run(24_000);
        assert_eq!(fleet.wronged(), 0, "seed {seed}");
    }
}

#[test]
fn sound_requests_are_not_blamed_for_targets_that_crash_every_few_seconds() {
    for (targets, seed) in
        [2, 4, 12].into_iter().flat_map(|targets| (0..10).map(move |seed| (targets, seed)))
    {
        let mut fleet = Fleet::new(Plan { seed, targets, restart_ms: 400, ..STREAMS });
        fleet.schedule_sound(20_000);
        for index in 0..targets {
            let mut at = fleet.rng.random_range(0..3_000);
            while at < 20_000 {
                fleet.after(at, Happening::Crash(index));
                at += fleet.rng.random_range(1_500..4_500);
            }
        }
        fleet.run(24_000);
        assert_eq!(fleet.wronged(), 0, "{targets} targets, seed {seed}");
    }
}

#[test]
fn a_service_that_crashes_under_everything_quarantines_no_request_of_it() {
    for (targets, seed) in
        [2, 4].into_iter().flat_map(|targets| (0..10).map(move |seed| (targets, seed)))
    {
        let plan = Plan { targets, restart_ms: 500, sound_per_second: 12.0, ..STREAMS };
        let mut fleet = Fleet::new(Plan { seed, ..plan });
        fleet.is_broken = true;
        fleet.schedule_sound(12_000);
        fleet.run(12_000);
        assert_eq!(fleet.wronged(), 0, "{targets} targets, seed {seed}");
    }
}

#[test]
fn a_service_that_breaks_later_quarantines_one_request_at_most() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(Plan { targets: 4, restart_ms: 500, seed, ..STREAMS });
        fleet.schedule_sound(16_000);
        fleet.run(4_000);
        fleet.is_broken = true;
        fleet.run(12_000);
        let wronged = fleet.refused.iter().filter(|(_, code, _)| *code == RefusalCode::Quarantined);
        let wronged: std::collections::BTreeSet<u64> =
            wronged.map(|(request, ..)| *request).collect();
        assert!(wronged.len() <= 1, "seed {seed}: {wronged:?}");
    }
}
