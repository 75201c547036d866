//! The call state machine under random events, compared with what was sent to targets.

use std::collections::HashMap;
use std::time::Duration;

use cumintrail_config::{Document, Snapshot, TargetKind};
use cumintrail_control::{
    Action, Actions, Arrival, AttemptOutcome, Control, Dispatch, Event, Identity, RouteOptions,
    TargetReport, Usage,
};
use cumintrail_types::{
    AccountKey, AttemptNumber, CallClass, CallKey, Generation, Incarnation, ModelKey, Moment, Ran,
    Refusal, ServiceKey, TargetKey, Tokens, WeightVersion,
};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

const MAX_ATTEMPTS: u32 = 3;
const DECLARATIONS: &str = "\
[deployment]\nfirst_preset = ordinary\n[preset ordinary]\nqueue = 6\n\
[account kesong]\nkey_digests = 0000000000000000000000000000000000000000000000000000000000000000\n\
[model curd]\n[service holds]\n\
[target e-0]\nmodel = curd\naddress = 127.0.0.1:1\nfailure_domain = laguna\nslots = 2\n\
[target e-1]\nmodel = curd\naddress = 127.0.0.1:2\nfailure_domain = laguna\nslots = 1\n\
[target s-0]\nservice = holds\naddress = 127.0.0.1:3\nfailure_domain = laguna\nslots = 2\n\
[target s-1]\nservice = holds\naddress = 127.0.0.1:4\nfailure_domain = laguna\nslots = 1\n";

#[derive(Debug, Clone, Copy)]
enum Op {
    Arrive(CallClass, u64),
    /// The first byte of a call is sent.
    Send(usize),
    FirstToken(usize),
    End(usize, u8),
    /// The end of an attempt before the current one is reported late, or a second time.
    StaleEnd(usize),
    CallerGone(usize),
    TargetSilent(u32),
    /// An engine reports that another weight version is loaded.
    Swap(u32, u64),
    Wait(u64),
}

/// Records what the traffic thread of a call did.
#[derive(Debug)]
struct CallTraffic {
    class: CallClass,
    deadline: Moment,
    dispatched: Option<Dispatch>,
    /// The weight version of the tokens passed on; `None` before the first token.
    pinned: Option<WeightVersion>,
    sent: bool,
    may_have_run: bool,
    attempts: u32,
    ended: bool,
}

struct World {
    control: Control,
    now: Moment,
    calls: HashMap<CallKey, CallTraffic>,
    next: u64,
}

impl World {
    fn new() -> Self {
        let identity = Identity {
            vm: "vm-0".into(),
            domain: "laguna".into(),
            incarnation: Incarnation(1),
            address: "127.0.0.1:9".parse().unwrap(),
            probe_interval: Duration::from_secs(3_600),
            digest_interval: Duration::from_secs(3_600),
            processor_share: 0,
        };
        let mut control = Control::new(identity, 7);
        let document = Document::parse(&"declarations".into(), DECLARATIONS).unwrap();
        let snapshot = Snapshot::build(Generation(1), &document.sections, None, None).unwrap();
        control.handle(Moment(1), Event::Configured(snapshot.into()));
        Self { control, now: Moment(1), calls: HashMap::new(), next: 1 }
    }

    fn apply(&mut self, op: Op) -> Result<(), TestCaseError> {
        match op {
            Op::Arrive(class, timeout_ms) => self.arrive(class, timeout_ms),
            Op::Send(index) => {
                if let Some((_, traffic)) = self.dispatched(index) {
                    traffic.sent = true;
                }
                Ok(())
            }
            Op::FirstToken(index) => match self.dispatched(index) {
                Some((call, traffic)) if traffic.sent && traffic.class == CallClass::Model => {
                    traffic.pinned =
                        traffic.pinned.or(traffic.dispatched.as_ref().map(|d| d.version));
                    self.handle(Event::FirstToken { call })
                }
                _ => Ok(()),
            },
            Op::End(index, kind) => self.end(index, kind),
            Op::StaleEnd(index) => match self.dispatched(index) {
                Some((call, traffic)) if traffic.attempts > 1 => {
                    let attempt = AttemptNumber(traffic.attempts as u8 - 1);
                    let outcome = AttemptOutcome::Failed { can_continue: true };
                    self.handle(Event::AttemptEnded { call, attempt, outcome })
                }
                _ => Ok(()),
            },
            Op::CallerGone(index) => match self.dispatched(index) {
                Some((call, traffic)) => {
                    traffic.ended = true;
                    self.handle(Event::CallerDisconnected { call })
                }
                None => Ok(()),
            },
            Op::TargetSilent(target) => {
                self.handle(Event::TargetSilent { target: TargetKey(target) })
            }
            Op::Swap(target, version) => {
                let report = TargetReport {
                    incarnation: Incarnation(1),
                    leaving: false,
                    version: WeightVersion(version),
                    loading: false,
                    running: 0,
                    waiting: 0,
                    prefill_backlog: Tokens(0),
                };
                self.handle(Event::TargetReported { target: TargetKey(target), report })
            }
            Op::Wait(ms) => {
                self.now = self.now + Duration::from_millis(ms);
                self.handle(Event::Tick)?;
                let late = self.calls.values().filter(|t| t.deadline <= self.now);
                for traffic in late {
                    prop_assert!(traffic.ended, "not ended after its deadline: {traffic:?}");
                }
                Ok(())
            }
        }
    }

    fn arrive(&mut self, class: CallClass, timeout_ms: u64) -> Result<(), TestCaseError> {
        let call = CallKey(self.next);
        self.next += 1;
        let deadline = self.now + Duration::from_millis(timeout_ms);
        let traffic = CallTraffic {
            class,
            deadline,
            dispatched: None,
            pinned: None,
            sent: false,
            may_have_run: false,
            attempts: 0,
            ended: false,
        };
        self.calls.insert(call, traffic);
        let kind = match class {
            CallClass::Model => TargetKind::Engine(ModelKey(0)),
            _ => TargetKind::Service(ServiceKey(0)),
        };
        self.handle(Event::Arrived(Arrival {
            call,
            account: AccountKey(0),
            class,
            kind,
            version: WeightVersion(1),
            blocks: [].into(),
            prompt: Tokens(10),
            max_output: Tokens(10),
            deadline,
            options: RouteOptions::default(),
        }))
    }

    /// Picks a call with an attempt in progress.
    fn dispatched(&mut self, index: usize) -> Option<(CallKey, &mut CallTraffic)> {
        let mut out: Vec<_> =
            self.calls.iter_mut().filter(|(_, t)| !t.ended && t.dispatched.is_some()).collect();
        out.sort_by_key(|(key, _)| **key);
        let len = out.len();
        (len > 0).then(|| out.swap_remove(index % len)).map(|(key, traffic)| (*key, traffic))
    }

    fn end(&mut self, index: usize, kind: u8) -> Result<(), TestCaseError> {
        let Some((call, traffic)) = self.dispatched(index) else {
            return Ok(());
        };
        let outcome = match kind {
            _ if !traffic.sent => AttemptOutcome::NotSent,
            0 => AttemptOutcome::Completed(Usage::default()),
            1 => AttemptOutcome::RefusedByTarget { leaving: false },
            2 => AttemptOutcome::RespondedLocally,
            _ => AttemptOutcome::Failed { can_continue: true },
        };
        let ended =
            matches!(outcome, AttemptOutcome::Completed(_) | AttemptOutcome::RespondedLocally);
        traffic.ended = ended;
        traffic.may_have_run |= matches!(outcome, AttemptOutcome::Failed { .. });
        traffic.sent = false;
        let attempt = traffic.dispatched.take().map(|d| d.attempt).unwrap();
        self.handle(Event::AttemptEnded { call, attempt, outcome })
    }

    fn handle(&mut self, event: Event) -> Result<(), TestCaseError> {
        let actions = self.control.handle(self.now, event);
        self.check(actions)
    }

    fn check(&mut self, actions: Actions) -> Result<(), TestCaseError> {
        for action in actions {
            match action {
                Action::Dispatch(dispatch) => {
                    let traffic = self.calls.get_mut(&dispatch.call).unwrap();
                    prop_assert!(!traffic.ended && traffic.dispatched.is_none(), "{traffic:?}");
                    prop_assert!(traffic.class != CallClass::Once || !traffic.may_have_run);
                    let pinned = traffic.pinned.unwrap_or(dispatch.version);
                    prop_assert_eq!(dispatch.version, pinned, "new weights within a response");
                    traffic.attempts += 1;
                    prop_assert!(traffic.attempts <= MAX_ATTEMPTS);
                    traffic.dispatched = Some(*dispatch);
                }
                Action::Refuse { call, refusal } => {
                    let traffic = self.calls.get_mut(&call).unwrap();
                    check_refusal(traffic, &refusal)?;
                    traffic.ended = true;
                }
                _ => {}
            }
        }
        Ok(())
    }
}

fn check_refusal(traffic: &CallTraffic, refusal: &Refusal) -> Result<(), TestCaseError> {
    prop_assert!(!traffic.ended, "refused after the call ended: {refusal:?}");
    let may_have_run = traffic.may_have_run || traffic.sent;
    prop_assert!(refusal.ran != Ran::No || !may_have_run, "{refusal:?} for {traffic:?}");
    let safe = refusal.ran == Ran::No || traffic.class != CallClass::Once;
    prop_assert_eq!(refusal.retry_after.is_some(), safe, "{:?}", refusal);
    Ok(())
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let class =
        prop_oneof![Just(CallClass::Model), Just(CallClass::Repeatable), Just(CallClass::Once)];
    let op = prop_oneof![
        4 => (class, 1..5_000_u64).prop_map(|(class, timeout_ms)| Op::Arrive(class, timeout_ms)),
        4 => any::<usize>().prop_map(Op::Send),
        1 => any::<usize>().prop_map(Op::FirstToken),
        4 => (any::<usize>(), 0..6_u8).prop_map(|(index, kind)| Op::End(index, kind)),
        1 => any::<usize>().prop_map(Op::StaleEnd),
        1 => any::<usize>().prop_map(Op::CallerGone),
        1 => (0..4_u32).prop_map(Op::TargetSilent),
        1 => (0..2_u32, 1..3_u64).prop_map(|(target, version)| Op::Swap(target, version)),
        4 => (0..800_u64).prop_map(Op::Wait),
    ];
    prop::collection::vec(op, 1..80)
}

#[test]
fn a_refusal_never_says_not_run_of_a_call_whose_bytes_left() {
    let config = ProptestConfig { cases: 1_500, failure_persistence: None, ..Default::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let result = TestRunner::new_with_rng(config, rng).run(&ops(), |ops| {
        let mut world = World::new();
        for op in ops {
            world.apply(op)?;
        }
        world.apply(Op::Wait(60_000))?;
        prop_assert!(world.calls.values().all(|t| t.ended));
        prop_assert_eq!(world.control.calls_in_flight(), 0);
        let dump = world.control.dump(world.now);
        prop_assert!(dump.targets.iter().all(|t| t.in_flight == 0), "{:?}", dump.targets);
        Ok(())
    });
    result.unwrap();
}
