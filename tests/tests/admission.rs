//! Admission against a naive queue, and its limits as seen through the control state.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::{Document, Snapshot, TargetKind};
use cumintrail_control::admission::{Admission, BY_NEED, FairQueue, share};
use cumintrail_control::{Action, Arrival, Control, Event, Identity};
use cumintrail_types::{
    AccountKey, CallClass, CallKey, Digest, Generation, Incarnation, ModelKey, Moment, Ran,
    RefusalCode, ServiceKey, Tokens, WeightVersion,
};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

const CASES: u32 = 256;

fn runner() -> TestRunner {
    let config =
        ProptestConfig { cases: CASES, failure_persistence: None, ..ProptestConfig::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// Scans all accounts for the smallest virtual finish time.
#[derive(Default)]
struct Naive {
    lanes: HashMap<AccountKey, (Vec<CallKey>, u64, u64)>,
    clock: u64,
}

impl Naive {
    fn push(&mut self, account: AccountKey, weight: u32, call: CallKey) {
        let (calls, finish, step) = self.lanes.entry(account).or_default();
        *step = (1 << 20) / u64::from(weight);
        if calls.is_empty() {
            *finish = (*finish).max(self.clock) + *step;
        }
        calls.push(call);
    }

    fn pop(&mut self) -> Option<CallKey> {
        let waiting = self.lanes.iter_mut().filter(|(_, (calls, ..))| !calls.is_empty());
        let (_, (calls, finish, step)) = waiting.min_by_key(|(key, lane)| (lane.1, **key))?;
        self.clock = self.clock.max(*finish);
        let call = calls.remove(0);
        if !calls.is_empty() {
            *finish += *step;
        }
        Some(call)
    }

    fn remove(&mut self, account: AccountKey, call: CallKey) -> bool {
        let Some((calls, ..)) = self.lanes.get_mut(&account) else { return false };
        let before = calls.len();
        calls.retain(|c| *c != call);
        calls.len() != before
    }
}

#[derive(Debug, Clone)]
enum Step {
    Push(u32),
    Pop,
    Remove(u64),
}

#[test]
fn the_queue_serves_in_the_order_of_a_naive_scan() {
    let step = prop_oneof![
        3 => (0..6_u32).prop_map(Step::Push),
        2 => Just(Step::Pop),
        1 => (0..40_u64).prop_map(Step::Remove),
    ];
    let steps = prop::collection::vec(step, 1..80);
    let checked = runner().run(&steps, |steps| {
        let (mut fast, mut naive) = (FairQueue::default(), Naive::default());
        let mut owners = Vec::new();
        for step in steps {
            match step {
                Step::Push(account) => {
                    let call = CallKey(owners.len() as u64);
                    let key = AccountKey(account);
                    owners.push(key);
                    fast.push(key, account + 1, call);
                    naive.push(key, account + 1, call);
                }
                Step::Pop => prop_assert_eq!(fast.pop(), naive.pop()),
                Step::Remove(call) => {
                    let owner = owners.get(call as usize).copied().unwrap_or(AccountKey(0));
                    let removed = naive.remove(owner, CallKey(call));
                    prop_assert_eq!(fast.remove(owner, CallKey(call)), removed);
                }
            }
        }
        Ok(())
    });
    checked.unwrap_or_else(|e| panic!("{e}"));
}

#[test]
fn parts_of_a_limit_add_up_to_it() {
    let wants = prop::collection::vec(0..100_u32, 1..40);
    let checked = runner().run(&wants, |wants| {
        let all: u32 = wants.iter().sum();
        let sum: f64 = wants.iter().map(|own| share(*own, all - own, wants.len())).sum();
        prop_assert!((sum - 1.0).abs() < 1e-9, "{}", sum);
        let blind: f64 = wants.iter().map(|own| share(*own, 0, wants.len())).sum();
        let bound = BY_NEED.mul_add(wants.len() as f64 - 1.0, 1.0);
        prop_assert!(blind <= bound + 1e-9, "{}", blind);
        Ok(())
    });
    checked.unwrap_or_else(|e| panic!("{e}"));
}

#[test]
fn a_wait_is_estimated_from_how_fast_the_queue_is_served() {
    let kind = TargetKind::Engine(ModelKey(0));
    let mut admission = Admission::new(1.0);
    for call in 0..60 {
        admission.enqueue(kind, AccountKey(0), 1, CallKey(call));
    }
    for second in 1..=40 {
        admission.pop(Moment::from_millis(second * 1_000), kind);
    }
    let large = admission.expected_wait(kind, AccountKey(0), 1);
    let small = admission.expected_wait(kind, AccountKey(1), 1);
    assert!(large > Duration::from_secs(15), "{large:?}");
    assert!(small < Duration::from_secs(2), "{small:?}");
}

fn control() -> Control {
    let digest = Digest::of(b"key");
    let text = format!(
        "[deployment]\nfirst_preset = p\n[preset p]\nqueue = 2\n[account a]\nkey_digests = {digest}\n\
         [model m]\n[service s]\n\
         [target e]\nmodel = m\naddress = 10.0.0.1:80\nfailure_domain = d\nslots = 1\n\
         [target r]\nservice = s\naddress = 10.0.0.2:80\nfailure_domain = d\n"
    );
    let sections = Document::parse(&"test.ini".into(), &text).map(|d| d.sections);
    let sections = sections.unwrap_or_else(|e| panic!("{e:?}"));
    let snapshot = Snapshot::build(Generation(1), &sections, None, None);
    let identity = Identity {
        vm: "vm".into(),
        domain: "d".into(),
        incarnation: Incarnation(1),
        address: "127.0.0.1:1".parse().unwrap_or_else(|e| panic!("{e}")),
        probe_interval: Duration::from_secs(1),
        digest_interval: Duration::from_secs(1),
    };
    let mut control = Control::new(identity, 1);
    let snapshot = Arc::new(snapshot.unwrap_or_else(|e| panic!("{e:?}")));
    control.handle(Moment(0), Event::Configured(snapshot));
    control
}

fn arrival(call: u64, kind: TargetKind, class: CallClass) -> Arrival {
    Arrival {
        call: CallKey(call),
        account: AccountKey(0),
        class,
        kind,
        version: WeightVersion(1),
        pieces: Arc::from([]),
        prompt: Tokens(100),
        max_answer: Tokens(10),
        deadline: Moment::from_millis(60_000),
    }
}

/// A plain call used to be refused as soon as the queue of model calls was full.
#[test]
fn a_full_queue_of_model_calls_does_not_refuse_plain_calls() {
    let mut control = control();
    let model = TargetKind::Engine(ModelKey(0));
    let refused = (0..20).any(|call| {
        let event = Event::Arrived(arrival(call, model, CallClass::Model));
        let actions = control.handle(Moment(1), event);
        actions.iter().any(|action| match action {
            Action::Refuse { refusal, .. } => {
                assert_eq!(refusal.ran, Ran::No);
                assert!(refusal.retry_after.is_some());
                refusal.code == RefusalCode::Overloaded
            }
            _ => false,
        })
    });
    assert!(refused, "the queue is full");
    let service = TargetKind::Service(ServiceKey(0));
    let event = Event::Arrived(arrival(100, service, CallClass::Once));
    let actions = control.handle(Moment(2), event);
    let plain = |action: &Action| matches!(action, Action::Dispatch(d) if d.call == CallKey(100));
    assert!(actions.iter().any(plain), "{actions:?}");
}
