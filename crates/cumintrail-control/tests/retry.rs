//! Retry budgets, backoff and breakers, against naive versions where there is one.

use std::time::Duration;

use cumintrail_control::retry::{CircuitBreaker, HealthSignal, RetryBudget, RetryPolicy, backoff};
use cumintrail_types::Moment;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use rand::SeedableRng;
use rand::rngs::StdRng;

fn runner() -> TestRunner {
    let config = ProptestConfig { cases: 1_000, failure_persistence: None, ..Default::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

#[test]
fn retries_stay_a_share_of_calls_when_everything_fails() {
    let mut budget = RetryBudget::default();
    let calls = 10_000;
    let mut retries = 0;
    for _ in 0..calls {
        budget.deposit();
        // A naive caller repeats each failed call twice, which triples the load.
        retries += (0..2).filter(|_| budget.withdraw()).count();
    }
    assert!(retries <= calls / 5 + 20, "{retries}");
}

#[test]
fn all_daemons_together_save_no_more_retries_than_the_deployment_allows() {
    let policy = RetryPolicy { calls_per_retry: 7, capacity: 6, deployment_capacity: 82 };
    for daemons in [1_usize, 7, 12, 40, 62, 82] {
        let mut together = 0;
        for _ in 0..daemons {
            // A budget that was made before the others were known, and filled by calls.
            let mut budget = RetryBudget::full(policy);
            budget.set_policy(policy.per_daemon(daemons));
            (0..1_000).for_each(|_| budget.deposit());
            together += std::iter::from_fn(|| budget.withdraw().then_some(())).count();
        }
        assert!((daemons..=82).contains(&together), "{together} of {daemons} daemons");
    }
}

#[test]
fn a_budget_grants_what_a_log_of_calls_and_retries_allows() {
    let steps = prop::collection::vec(any::<bool>(), 1..400);
    let result = runner().run(&steps, |steps| {
        let mut budget = RetryBudget::for_target();
        // Naive: one entry per call that earned no retry yet, the oldest forgotten above 25.
        let mut log = vec![(); 25];
        for is_call in steps {
            if is_call {
                budget.deposit();
                log.push(());
                log.truncate(25);
                continue;
            }
            let granted = log.len() >= 5;
            prop_assert_eq!(budget.withdraw(), granted);
            log.truncate(log.len() - if granted { 5 } else { 0 });
        }
        Ok(())
    });
    result.unwrap();
}

#[test]
fn backoff_grows_and_spreads() {
    let mut rng = StdRng::seed_from_u64(7);
    let mut waits =
        |attempts| -> Vec<Duration> { (0..200).map(|_| backoff(attempts, &mut rng)).collect() };
    let (first, third) = (waits(1), waits(3));
    assert!(first.iter().max() < third.iter().max());
    let spread =
        |waits: &[Duration]| waits.iter().max().unwrap().abs_diff(*waits.iter().min().unwrap());
    assert!(spread(&first) > Duration::from_millis(10) && spread(&third) > spread(&first));
}

#[test]
fn an_open_breaker_lets_one_call_through_at_a_time() {
    let mut rng = StdRng::seed_from_u64(7);
    let mut breaker = CircuitBreaker::default();
    let mut now = Moment::from_millis(0);
    for _ in 0..3 {
        assert!(breaker.allows(now));
        breaker.record_start();
        breaker.record_end(now, HealthSignal::Failure, &mut rng);
    }
    assert!(!breaker.allows(now));
    let mut closed = Duration::ZERO;
    for _ in 0..4 {
        let opened = now;
        while !breaker.allows(now) {
            now = now + Duration::from_millis(50);
        }
        assert!(now.since(opened) > closed, "the pause grows");
        closed = now.since(opened);
        breaker.record_start();
        assert!(!breaker.allows(now), "a second call while the first is on trial");
        breaker.record_end(now, HealthSignal::Failure, &mut rng);
    }
    now = now + Duration::from_secs(60);
    breaker.record_start();
    breaker.record_end(now, HealthSignal::Inconclusive, &mut rng);
    assert!(breaker.allows(now), "a trial without a verdict is followed by another");
    breaker.record_start();
    breaker.record_end(now, HealthSignal::Success, &mut rng);
    breaker.record_start();
    assert!(breaker.allows(now), "a good answer closes the breaker");
}
