//! Compares admission with a naive queue and tests its limits through the control state.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::{Document, Snapshot, TargetKind};
use cumintrail_control::admission::{Admission, DEMAND_FRACTION, FairQueue, share};
use cumintrail_control::{Action, Arrival, AttemptOutcome, Control, Event, Identity, RouteOptions};
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

    fn serve(&mut self, held: AccountKey) -> Option<CallKey> {
        let waiting = self.lanes.iter_mut().filter(|(_, (calls, ..))| !calls.is_empty());
        let waiting = waiting.filter(|(key, _)| **key != held);
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
    /// Serves the next account other than this one, which is held back.
    Serve(u32),
    Remove(u64),
}

#[test]
fn the_queue_serves_in_the_order_of_a_naive_scan() {
    let step = prop_oneof![
        3 => (0..6_u32).prop_map(Step::Push),
        2 => (0..8_u32).prop_map(Step::Serve),
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
                Step::Serve(held) => {
                    let held = AccountKey(held);
                    let next = fast.heads().find(|(account, _)| *account != held);
                    let served = next.and_then(|(account, _)| fast.serve(account));
                    prop_assert_eq!(served, next.map(|(_, call)| call));
                    prop_assert_eq!(served, naive.serve(held));
                }
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
        let sum: f64 =
            wants.iter().map(|own| share(f64::from(*own), f64::from(all - own), wants.len())).sum();
        prop_assert!((sum - 1.0).abs() < 1e-9, "{}", sum);
        let blind: f64 = wants.iter().map(|own| share(f64::from(*own), 0.0, wants.len())).sum();
        let bound = DEMAND_FRACTION.mul_add(wants.len() as f64 - 1.0, 1.0);
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
        admission.serve(Moment::from_millis(second * 1_000), kind, AccountKey(0));
    }
    let large = admission.expected_wait(kind, AccountKey(0), 1);
    let small = admission.expected_wait(kind, AccountKey(1), 1);
    assert!(large > Duration::from_secs(15), "{large:?}");
    assert!(small < Duration::from_secs(2), "{small:?}");
}

fn snapshot(text: &str) -> Snapshot {
    let sections = Document::parse(&"test.ini".into(), text).map(|d| d.sections);
    let sections = sections.unwrap_or_else(|e| panic!("{e:?}"));
    let snapshot = Snapshot::build(Generation(1), &sections, None, None);
    snapshot.unwrap_or_else(|e| panic!("{e:?}"))
}

#[derive(Debug, Clone)]
enum Work {
    Admit(u32),
    Release(u32),
    Add(u32, u32),
    Remove(u32, u32),
}

/// Recomputes all sums for each query.
#[derive(Default)]
struct NaiveShares {
    /// Calls in flight and prefill tokens at engines by account; the weight of an account is its
    /// index plus one.
    accounts: [(u32, u64); 3],
}

impl NaiveShares {
    fn has_fair_share(&self, account: usize) -> bool {
        let weight = |i: usize| i as u64 + 1;
        let active = (0..3).filter(|i| self.accounts[*i].0 > 0);
        let weights: u64 = active.map(weight).sum();
        let tokens: u64 = self.accounts.iter().map(|(_, tokens)| tokens).sum();
        let own = self.accounts[account].1;
        own > 0 && own * weights >= weight(account) * tokens
    }
}

#[test]
fn fair_shares_of_engines_equal_a_naive_sum() {
    let digests = [b"0", b"1", b"2"].map(|key| Digest::of(key));
    let accounts = digests.iter().enumerate().map(|(i, digest)| {
        format!("[account a{i}]\nkey_digests = {digest}\nweight = {}\nconcurrency = 999\n", i + 1)
    });
    let text =
        format!("[deployment]\nfirst_preset = p\n[preset p]\n{}", accounts.collect::<String>());
    let snapshot = snapshot(&text);
    let step = prop_oneof![
        (0..3_u32).prop_map(Work::Admit),
        (0..3_u32).prop_map(Work::Release),
        (0..3_u32, 0..50_u32).prop_map(|(a, n)| Work::Add(a, n)),
        (0..3_u32, 0..50_u32).prop_map(|(a, n)| Work::Remove(a, n)),
    ];
    let checked = runner().run(&prop::collection::vec(step, 1..60), |steps| {
        let (mut fast, mut naive) = (Admission::new(1.0), NaiveShares::default());
        for (at, step) in steps.into_iter().enumerate() {
            match step {
                Work::Admit(a) => {
                    let key = AccountKey(a);
                    let account = snapshot.accounts.get(key).expect("it is declared");
                    let now = Moment::from_millis(at as u64 * 1_000_000);
                    prop_assert!(fast.admit(now, key, account, 1).is_ok());
                    naive.accounts[a as usize].0 += 1;
                }
                Work::Release(a) => {
                    fast.release(AccountKey(a));
                    let calls = &mut naive.accounts[a as usize].0;
                    *calls = calls.saturating_sub(1);
                }
                // An account without calls in flight has no tokens at engines.
                Work::Add(a, _) if naive.accounts[a as usize].0 == 0 => {}
                Work::Add(a, tokens) => {
                    fast.add_prefill(AccountKey(a), Tokens(tokens));
                    naive.accounts[a as usize].1 += u64::from(tokens);
                }
                Work::Remove(a, tokens) => {
                    fast.remove_prefill(AccountKey(a), Tokens(tokens));
                    let left = &mut naive.accounts[a as usize].1;
                    *left = left.saturating_sub(u64::from(tokens));
                }
            }
            for account in 0..3 {
                let expected = naive.has_fair_share(account);
                prop_assert_eq!(fast.has_fair_share(AccountKey(account as u32)), expected);
            }
        }
        Ok(())
    });
    checked.unwrap_or_else(|e| panic!("{e}"));
}

fn control() -> Control {
    let digest = Digest::of(b"key");
    control_of(&format!(
        "[deployment]\nfirst_preset = p\n[preset p]\nqueue = 2\n[account a]\nkey_digests = {digest}\n\
         [model m]\n[service s]\n\
         [target e]\nmodel = m\naddress = 10.0.0.1:80\nfailure_domain = d\nslots = 1\n\
         [target r]\nservice = s\naddress = 10.0.0.2:80\nfailure_domain = d\n"
    ))
}

fn control_of(text: &str) -> Control {
    let identity = Identity {
        vm: "vm".into(),
        domain: "d".into(),
        incarnation: Incarnation(1),
        address: "127.0.0.1:1".parse().unwrap_or_else(|e| panic!("{e}")),
        probe_interval: Duration::from_secs(1),
        digest_interval: Duration::from_secs(1),
        processor_share: 0,
    };
    let mut control = Control::new(identity, 1);
    control.handle(Moment(0), Event::Configured(Arc::new(snapshot(text))));
    control
}

fn arrival(call: u64, kind: TargetKind, class: CallClass) -> Arrival {
    Arrival {
        call: CallKey(call),
        account: AccountKey(0),
        class,
        kind,
        version: WeightVersion(1),
        blocks: Arc::from([]),
        prompt: Tokens(100),
        max_output: Tokens(10),
        deadline: Moment::from_millis(60_000),
        options: RouteOptions::default(),
    }
}

/// Guards against a full queue of model calls that also causes the refusal of plain calls.
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
    assert!(refused, "no model call was refused");
    let service = TargetKind::Service(ServiceKey(0));
    let event = Event::Arrived(arrival(100, service, CallClass::Once));
    let actions = control.handle(Moment(2), event);
    let plain = |action: &Action| matches!(action, Action::Dispatch(d) if d.call == CallKey(100));
    assert!(actions.iter().any(plain), "{actions:?}");
}

/// Guards against refusals while engines have free slots: at 800 calls a second, half were refused.
#[test]
fn calls_that_an_engine_has_slots_for_are_not_held_back() {
    let digest = Digest::of(b"large");
    let mut control = control_of(&format!(
        "[deployment]\nfirst_preset = p\n[preset p]\n[model m]\n\
         [account large]\nkey_digests = {digest}\nconcurrency = 100\nrequests_per_second = 100\n\
         [target e]\nmodel = m\naddress = 10.0.0.1:80\nfailure_domain = d\nslots = 64\n\
         prefill_tokens_per_second = 6000\n"
    ));
    let sent = (0..50).filter(|call| {
        let call = arrival(*call, TargetKind::Engine(ModelKey(0)), CallClass::Model);
        let event = Event::Arrived(Arrival { prompt: Tokens(10), ..call });
        let actions = control.handle(Moment(1), event);
        actions.iter().any(|action| matches!(action, Action::Dispatch(_)))
    });
    assert_eq!(sent.count(), 50);
}

/// Guards against a call that loses its engine and then queues behind all calls of its account,
/// which are held back.
#[test]
fn a_begun_answer_goes_on_before_calls_that_wait() {
    let large = Digest::of(b"large");
    let engine = "model = m\nfailure_domain = d\nslots = 8\nprefill_tokens_per_second = 6000";
    let mut control = control_of(&format!(
        "[deployment]\nfirst_preset = p\n[preset p]\n[model m]\n\
         [account large]\nkey_digests = {large}\nconcurrency = 100\nrequests_per_second = 100\n\
         tokens_per_second = 10000000\n\
         [target e]\naddress = 10.0.0.1:80\n{engine}\n[target f]\naddress = 10.0.0.2:80\n{engine}\n"
    ));
    let mut sent = Vec::new();
    for call in 0..20 {
        let call = arrival(call, TargetKind::Engine(ModelKey(0)), CallClass::Model);
        let event = Event::Arrived(Arrival { prompt: Tokens(6_000), ..call });
        for action in control.handle(Moment(1), event) {
            sent.extend(if let Action::Dispatch(d) = action { Some(d) } else { None });
        }
    }
    assert!((2..19).contains(&sent.len()), "either all calls or too few were dispatched");
    let (call, attempt) = (sent[0].call, sent[0].attempt);
    control.handle(Moment::from_millis(100), Event::FirstToken { call });
    let outcome = AttemptOutcome::Failed { can_continue: true };
    control.handle(Moment::from_millis(110), Event::AttemptEnded { call, attempt, outcome });

    let resumed = (120..2_000).step_by(20).any(|ms| {
        let actions = control.handle(Moment::from_millis(ms), Event::Tick);
        actions.iter().any(|action| matches!(action, Action::Dispatch(d) if d.call == call))
    });
    assert!(resumed, "an interrupted response waits behind calls that have not started");
}

/// Guards against one account whose calls are all dispatched at once, so that calls of other
/// accounts wait behind them.
#[test]
fn an_account_at_its_share_does_not_queue_for_long_at_engines() {
    const PROMPT: u32 = 6_000;
    let (large, small) = (Digest::of(b"large"), Digest::of(b"small"));
    let mut control = control_of(&format!(
        "[deployment]\nfirst_preset = p\n[preset p]\n[model m]\n\
         [account large]\nkey_digests = {large}\nconcurrency = 100\nrequests_per_second = 100\n\
         tokens_per_second = 10000000\n[account small]\nkey_digests = {small}\n\
         [target e]\nmodel = m\naddress = 10.0.0.1:80\nfailure_domain = d\nslots = 8\n\
         prefill_tokens_per_second = 6000\n"
    ));
    let mut send = |call, account| {
        let call = arrival(call, TargetKind::Engine(ModelKey(0)), CallClass::Model);
        let arrival = Arrival { account: AccountKey(account), prompt: Tokens(PROMPT), ..call };
        let actions = control.handle(Moment(1), Event::Arrived(arrival));
        actions.iter().filter(|action| matches!(action, Action::Dispatch(_))).count()
    };
    let at_engine: usize = (0..20).map(|call| send(call, 0)).sum();
    assert!(
        (2..=3).contains(&at_engine),
        "{at_engine} calls of one second each are ahead of the small account"
    );
    assert_eq!(
        send(100, 1),
        1,
        "the small account's call was not dispatched ahead of the waiting calls"
    );
    assert_eq!(send(101, 0), 0);
    let next = |action: &Action| matches!(action, Action::Dispatch(d) if d.call.0 < 20);
    let resumed = (1..=at_engine as u64).any(|second| {
        let event = Event::FirstToken { call: CallKey(second - 1) };
        control.handle(Moment::from_millis(second * 1_000), event).iter().any(next)
    });
    assert!(resumed, "no waiting call was dispatched to the engine");
}
