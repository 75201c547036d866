//! The call state machine under random events, against what really left the daemon.

use std::collections::HashMap;
use std::time::Duration;

use cumintrail_config::{Document, Snapshot, TargetKind};
use cumintrail_control::{
    Action, Actions, Arrival, AttemptOutcome, Control, Dispatch, Event, Identity, TargetReport,
    Terms, Usage,
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
    /// The first byte of a call leaves.
    Send(usize),
    FirstToken(usize),
    End(usize, u8),
    /// The end of an attempt before the current one is told late, or once more.
    LateEnd(usize),
    CallerGone(usize),
    TargetSilent(u32),
    /// An engine reports that it has another weight version loaded.
    Swap(u32, u64),
    Wait(u64),
}

/// Knows what a call's traffic thread did.
#[derive(Debug)]
struct Truth {
    class: CallClass,
    deadline: Moment,
    ordered: Option<Dispatch>,
    /// The weight version of the tokens passed on.
    pinned: Option<WeightVersion>,
    sent: bool,
    may_have_run: bool,
    attempts: u32,
    over: bool,
}

struct World {
    control: Control,
    now: Moment,
    calls: HashMap<CallKey, Truth>,
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
        };
        let mut control = Control::new(identity, 7);
        let document = Document::parse(&"declarations".into(), DECLARATIONS).unwrap();
        let snapshot = Snapshot::build(Generation(1), &document.sections, None, None).unwrap();
        control.handle(Moment(1), Event::Configured(snapshot.into()));
        Self { control, now: Moment(1), calls: HashMap::new(), next: 1 }
    }

    fn play(&mut self, op: Op) -> Result<(), TestCaseError> {
        match op {
            Op::Arrive(class, patience) => self.arrive(class, patience),
            Op::Send(index) => {
                if let Some((_, truth)) = self.ordered(index) {
                    truth.sent = true;
                }
                Ok(())
            }
            Op::FirstToken(index) => match self.ordered(index) {
                Some((call, truth)) if truth.sent && truth.class == CallClass::Model => {
                    truth.pinned = truth.pinned.or(truth.ordered.as_ref().map(|d| d.version));
                    self.tell(Event::FirstToken { call })
                }
                _ => Ok(()),
            },
            Op::End(index, kind) => self.end(index, kind),
            Op::LateEnd(index) => match self.ordered(index) {
                Some((call, truth)) if truth.attempts > 1 => {
                    let attempt = AttemptNumber(truth.attempts as u8 - 1);
                    let outcome = AttemptOutcome::Failed { answered: Tokens(0) };
                    self.tell(Event::AttemptEnded { call, attempt, outcome })
                }
                _ => Ok(()),
            },
            Op::CallerGone(index) => match self.ordered(index) {
                Some((call, truth)) => {
                    truth.over = true;
                    self.tell(Event::CallerGone { call })
                }
                None => Ok(()),
            },
            Op::TargetSilent(target) => {
                self.tell(Event::TargetSilent { target: TargetKey(target) })
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
                self.tell(Event::TargetReported { target: TargetKey(target), report })
            }
            Op::Wait(ms) => {
                self.now = self.now + Duration::from_millis(ms);
                self.tell(Event::Tick)?;
                let late = self.calls.values().filter(|t| t.deadline <= self.now);
                for truth in late {
                    prop_assert!(truth.over, "held beyond its deadline: {truth:?}");
                }
                Ok(())
            }
        }
    }

    fn arrive(&mut self, class: CallClass, patience: u64) -> Result<(), TestCaseError> {
        let call = CallKey(self.next);
        self.next += 1;
        let deadline = self.now + Duration::from_millis(patience);
        let truth = Truth {
            class,
            deadline,
            ordered: None,
            pinned: None,
            sent: false,
            may_have_run: false,
            attempts: 0,
            over: false,
        };
        self.calls.insert(call, truth);
        let kind = match class {
            CallClass::Model => TargetKind::Engine(ModelKey(0)),
            _ => TargetKind::Service(ServiceKey(0)),
        };
        self.tell(Event::Arrived(Arrival {
            call,
            account: AccountKey(0),
            class,
            kind,
            version: WeightVersion(1),
            pieces: [].into(),
            prompt: Tokens(10),
            max_answer: Tokens(10),
            deadline,
            terms: Terms::default(),
        }))
    }

    /// Picks a call with an attempt out.
    fn ordered(&mut self, index: usize) -> Option<(CallKey, &mut Truth)> {
        let mut out: Vec<_> =
            self.calls.iter_mut().filter(|(_, t)| !t.over && t.ordered.is_some()).collect();
        out.sort_by_key(|(key, _)| **key);
        let len = out.len();
        (len > 0).then(|| out.swap_remove(index % len)).map(|(key, truth)| (*key, truth))
    }

    fn end(&mut self, index: usize, kind: u8) -> Result<(), TestCaseError> {
        let Some((call, truth)) = self.ordered(index) else {
            return Ok(());
        };
        let outcome = match kind {
            _ if !truth.sent => AttemptOutcome::NotSent,
            0 => AttemptOutcome::Answered(Usage::default()),
            1 => AttemptOutcome::RefusedByTarget { leaving: false },
            2 => AttemptOutcome::Settled,
            _ => AttemptOutcome::Failed { answered: Tokens(0) },
        };
        let ended = matches!(outcome, AttemptOutcome::Answered(_) | AttemptOutcome::Settled);
        truth.over = ended;
        truth.may_have_run |= matches!(outcome, AttemptOutcome::Failed { .. });
        truth.sent = false;
        let attempt = truth.ordered.take().map(|d| d.attempt).unwrap();
        self.tell(Event::AttemptEnded { call, attempt, outcome })
    }

    fn tell(&mut self, event: Event) -> Result<(), TestCaseError> {
        let actions = self.control.handle(self.now, event);
        self.check(actions)
    }

    fn check(&mut self, actions: Actions) -> Result<(), TestCaseError> {
        for action in actions {
            match action {
                Action::Dispatch(dispatch) => {
                    let truth = self.calls.get_mut(&dispatch.call).unwrap();
                    prop_assert!(!truth.over && truth.ordered.is_none(), "{truth:?}");
                    prop_assert!(truth.class != CallClass::Once || !truth.may_have_run);
                    let pinned = truth.pinned.unwrap_or(dispatch.version);
                    prop_assert_eq!(dispatch.version, pinned, "a swap within an answer");
                    truth.attempts += 1;
                    prop_assert!(truth.attempts <= MAX_ATTEMPTS);
                    truth.ordered = Some(dispatch);
                }
                Action::Refuse { call, refusal } => {
                    let truth = self.calls.get_mut(&call).unwrap();
                    check_refusal(truth, &refusal)?;
                    truth.over = true;
                }
                _ => {}
            }
        }
        Ok(())
    }
}

fn check_refusal(truth: &Truth, refusal: &Refusal) -> Result<(), TestCaseError> {
    prop_assert!(!truth.over, "refused after its end: {refusal:?}");
    let may_have_run = truth.may_have_run || truth.sent;
    prop_assert!(refusal.ran != Ran::No || !may_have_run, "{refusal:?} for {truth:?}");
    let safe = refusal.ran == Ran::No || truth.class != CallClass::Once;
    prop_assert_eq!(refusal.retry_after.is_some(), safe, "{:?}", refusal);
    Ok(())
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let class =
        prop_oneof![Just(CallClass::Model), Just(CallClass::Repeatable), Just(CallClass::Once)];
    let op = prop_oneof![
        4 => (class, 1..5_000_u64).prop_map(|(class, patience)| Op::Arrive(class, patience)),
        4 => any::<usize>().prop_map(Op::Send),
        1 => any::<usize>().prop_map(Op::FirstToken),
        4 => (any::<usize>(), 0..6_u8).prop_map(|(index, kind)| Op::End(index, kind)),
        1 => any::<usize>().prop_map(Op::LateEnd),
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
            world.play(op)?;
        }
        world.play(Op::Wait(60_000))?;
        prop_assert!(world.calls.values().all(|t| t.over));
        prop_assert_eq!(world.control.calls_in_flight(), 0);
        let dump = world.control.dump(world.now);
        prop_assert!(dump.targets.iter().all(|t| t.in_flight == 0), "{:?}", dump.targets);
        Ok(())
    });
    result.unwrap();
}
