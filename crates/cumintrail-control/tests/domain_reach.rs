//! Calls leave a failure domain in which no target is reached.

use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::{Document, Snapshot, Target, TargetKind};
use cumintrail_control::placement::AffinityPlacer;
use cumintrail_control::reach::{CheckedTargets, ReachScope};
use cumintrail_control::{
    Action, Actions, Arrival, AttemptOutcome, Control, Event, Identity, RouteOptions,
};
use cumintrail_types::{
    AccountKey, AttemptNumber, Bytes, CallClass, CallKey, DomainKey, Generation, Incarnation,
    Moment, ServiceKey, TargetKey, Tokens, WeightVersion,
};

const DECLARATIONS: &str = "[deployment]\nfirst_preset = day\n[preset day]\n[service desk]\n\
    [account coop]\nkey_digests = 0000000000000000000000000000000000000000000000000000000000000000\n\
    concurrency = 1000\nrequests_per_second = 10000\ntokens_per_second = 100000000\n\
    [store near]\naddress = 10.0.0.9:80\nfailure_domain = near\nkeeps = parts\n\
    [store far]\naddress = 10.0.0.8:80\nfailure_domain = far\nkeeps = parts\n";
const START: Moment = Moment::from_millis(60_000);
const TARGETS_PER_DOMAIN: usize = 4;

struct Daemon {
    control: Control<AffinityPlacer>,
    snapshot: Arc<Snapshot>,
    calls: u64,
}

impl Daemon {
    fn start(fails_over: bool) -> Self {
        let identity = Identity {
            vm: "vm-1".into(),
            domain: "near".into(),
            incarnation: Incarnation(1),
            address: "127.0.0.1:1".parse().unwrap(),
            probe_interval: Duration::from_secs(1),
            digest_interval: Duration::from_secs(1),
            processor_share: 0,
        };
        let mut control = Control::with_placer(identity, 1, AffinityPlacer);
        control.follow_registry("a secret");
        if fails_over {
            control.fail_over_domains();
        }
        let sections = Document::parse(&"test".into(), DECLARATIONS).unwrap().sections;
        let declared = Snapshot::build(Generation(1), &sections, None, None).unwrap();
        let targets = (0..2 * TARGETS_PER_DOMAIN).map(|number| target(number, &declared));
        let snapshot = Arc::new(declared.clone().with_targets(1, targets.collect()));
        control.handle(Moment(0), Event::Configured(snapshot.clone()));
        Self { control, snapshot, calls: 0 }
    }

    fn domain(&self, name: &str) -> DomainKey {
        domain_key(&self.snapshot, name)
    }

    fn domain_of(&self, target: TargetKey) -> DomainKey {
        self.snapshot.targets.get(target).unwrap().domain
    }

    /// Sends a call and returns it with its target.
    fn send(&mut self, now: Moment, class: CallClass) -> (CallKey, TargetKey) {
        self.send_within(now, class, Duration::from_secs(10))
    }

    /// Sends a call whose deadline is `time` from now.
    fn send_within(
        &mut self,
        now: Moment,
        class: CallClass,
        time: Duration,
    ) -> (CallKey, TargetKey) {
        self.calls += 1;
        let call = CallKey(self.calls);
        let arrival = Arrival {
            call,
            account: AccountKey(0),
            class,
            kind: TargetKind::Service(ServiceKey(0)),
            version: WeightVersion(0),
            blocks: Vec::new().into(),
            prompt: Tokens(0),
            max_output: Tokens(0),
            deadline: now + time,
            options: RouteOptions { max_attempts: Some(2), ..RouteOptions::default() },
        };
        let actions = self.control.handle(now, Event::Arrived(arrival));
        (call, dispatched(&actions, call).expect("the call is sent"))
    }

    /// Sends repeatable calls until one runs in a domain.
    fn send_to(
        &mut self,
        now: Moment,
        class: CallClass,
        domain: DomainKey,
    ) -> (CallKey, TargetKey) {
        loop {
            let (call, target) = self.send(now, class);
            if self.domain_of(target) == domain {
                return (call, target);
            }
        }
    }

    fn fail_to_connect(&mut self, now: Moment, call: CallKey) -> Actions {
        let (attempt, outcome) = (AttemptNumber(1), AttemptOutcome::NoConnection);
        self.control.handle(now, Event::AttemptEnded { call, attempt, outcome })
    }

    /// Lets connections to two targets of a domain fail; returns the targets of the domain that the
    /// daemon checks then.
    fn lose_two(&mut self, now: Moment, domain: DomainKey) -> Vec<TargetKey> {
        let mut failed: Vec<TargetKey> = Vec::new();
        while failed.len() < 2 {
            let (call, target) = self.send_to(now, CallClass::Repeatable, domain);
            if failed.contains(&target) {
                continue;
            }
            failed.push(target);
            for action in self.fail_to_connect(now, call) {
                match action {
                    Action::CheckReach { scope, check } if scope == ReachScope::Domain(domain) => {
                        return check.targets.to_vec();
                    }
                    _ => {}
                }
            }
        }
        Vec::new()
    }

    /// Ends a check in which `accepting` targets of the domain accept a connection, and the same check
    /// of other targets that may follow.
    fn end_check(&mut self, now: Moment, domain: DomainKey, accepting: usize) -> Actions {
        let scope = ReachScope::Domain(domain);
        let targets = self.snapshot.targets.iter().filter(|(_, target)| target.domain == domain);
        let reached: CheckedTargets = targets.map(|(key, _)| key).take(accepting).collect();
        loop {
            let checked = Event::ReachChecked { scope, reached: reached.clone() };
            let actions = self.control.handle(now, checked);
            let goes_on = actions.iter().any(|action| match action {
                Action::CheckReach { scope: checked, .. } => *checked == scope,
                _ => false,
            });
            if !goes_on {
                return actions;
            }
        }
    }

    /// Returns how many of forty calls run in a domain.
    fn calls_in(&mut self, now: Moment, domain: DomainKey) -> usize {
        let targets = (0..40).map(|_| self.send(now, CallClass::Once).1);
        let targets: Vec<TargetKey> = targets.collect();
        targets.into_iter().filter(|target| self.domain_of(*target) == domain).count()
    }
}

fn domain_key(snapshot: &Snapshot, name: &str) -> DomainKey {
    let found = snapshot.domains.iter().find(|(_, domain)| ***domain == *name);
    found.map(|(key, _)| key).expect("the domain is known")
}

fn target(number: usize, snapshot: &Snapshot) -> Target {
    let domain = if number < TARGETS_PER_DOMAIN { "near" } else { "far" };
    Target {
        name: format!("t{number}").into(),
        instance: format!("t{number}").into(),
        kind: TargetKind::Service(ServiceKey(0)),
        address: format!("10.0.0.{}:80", number + 20).parse().unwrap(),
        domain: domain_key(snapshot, domain),
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

fn dispatched(actions: &[Action], call: CallKey) -> Option<TargetKey> {
    actions.iter().find_map(|action| match action {
        Action::Dispatch(dispatch) if dispatch.call == call => Some(dispatch.target),
        _ => None,
    })
}

fn abandoned(actions: &[Action]) -> Vec<CallKey> {
    let calls = actions.iter().filter_map(|action| match action {
        Action::Abandon { call, .. } => Some(*call),
        _ => None,
    });
    calls.collect()
}

/// Guards against calls that are sent into a domain that is cut off until the breaker of each of its
/// targets has opened.
#[test]
fn calls_leave_a_domain_in_which_no_target_is_reached() {
    let mut daemon = Daemon::start(true);
    let far = daemon.domain("far");
    assert!(daemon.calls_in(START, far) > 0);
    let checked = daemon.lose_two(START, far);
    assert!(!checked.is_empty(), "the domain is not checked");
    assert!(checked.iter().all(|target| daemon.domain_of(*target) == far));
    daemon.end_check(START, far, 0);
    assert_eq!(daemon.calls_in(START, far), 0);

    // Once a check reaches the domain, it gets calls again.
    daemon.control.handle(START + Duration::from_secs(1), Event::Tick);
    daemon.end_check(START + Duration::from_secs(1), far, TARGETS_PER_DOMAIN);
    assert!(daemon.calls_in(START + Duration::from_secs(1), far) > 0);
}

/// Guards against a domain that is given up because single targets failed.
#[test]
fn a_domain_of_which_a_target_is_reached_is_used_on() {
    let mut daemon = Daemon::start(true);
    let far = daemon.domain("far");
    daemon.lose_two(START, far);
    daemon.end_check(START, far, 1);
    assert!(daemon.calls_in(START, far) > 0);
}

/// Guards against repeatable calls that wait for targets that are cut off, and against calls that
/// run at most once being sent again.
#[test]
fn only_repeatable_calls_in_a_lost_domain_are_abandoned() {
    let mut daemon = Daemon::start(true);
    let (near, far) = (daemon.domain("near"), daemon.domain("far"));
    let (repeatable, _) = daemon.send_to(START, CallClass::Repeatable, far);
    let (stream, _) = daemon.send_to(START, CallClass::ResumableStream, far);
    let (once, _) = daemon.send_to(START, CallClass::Once, far);
    let (elsewhere, _) = daemon.send_to(START, CallClass::Repeatable, near);
    daemon.lose_two(START, far);
    let actions = daemon.end_check(START, far, 0);
    let abandoned = abandoned(&actions);
    assert!(abandoned.contains(&repeatable) && abandoned.contains(&stream));
    assert!(!abandoned.contains(&once) && !abandoned.contains(&elsewhere));

    // The abandoned call goes to a domain that is reached.
    let outcome = AttemptOutcome::Failed { can_continue: true };
    let ended = Event::AttemptEnded { call: repeatable, attempt: AttemptNumber(1), outcome };
    daemon.control.handle(START, ended);
    let later = daemon.control.handle(START + Duration::from_millis(500), Event::Tick);
    assert_eq!(dispatched(&later, repeatable).map(|t| daemon.domain_of(t)), Some(near));
}

/// Guards against failover in deployments that do not ask for it.
#[test]
fn domains_are_not_tracked_unless_failover_is_on() {
    let mut daemon = Daemon::start(false);
    let far = daemon.domain("far");
    assert!(daemon.lose_two(START, far).is_empty());
}

/// Guards against a daemon with few calls that never doubts its network, because each call ends while
/// it waits for its second connection.
#[test]
fn a_daemon_with_few_calls_doubts_its_network() {
    let mut daemon = Daemon::start(false);
    let mut failed = Vec::new();
    let mut is_checked = false;
    for number in 0..3 {
        let now = START + number * Duration::from_millis(1_300);
        let time = Duration::from_millis(600);
        let (call, target) = daemon.send_within(now, CallClass::Once, time);
        failed.push(target);
        let actions = daemon.fail_to_connect(now + Duration::from_millis(300), call);
        is_checked |= actions.iter().any(|action| matches!(action, Action::CheckReach { .. }));
        daemon.control.handle(now + Duration::from_millis(330), Event::Tick);
        daemon.control.handle(now + time, Event::Tick);
    }
    failed.dedup();
    assert!(failed.len() > 1, "the calls are sent to one target");
    assert!(is_checked, "two targets accepted no connection, and no other was checked");
}
