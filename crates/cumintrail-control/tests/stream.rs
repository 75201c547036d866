//! The check of streamed answers against a naive one that keeps all texts.

use cumintrail_control::stream::{EventCheck, StreamChecker};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

const LENGTH: u32 = 12;

/// One received event: the call that it names, its id, and whether it is the end.
type Received = (u8, u32, bool);

/// Passes on what continues the answer, found by comparing with all that was passed on before.
fn naive(passed: &mut Vec<u32>, (call, id, end): Received) -> EventCheck {
    match (call, end) {
        (0, true) if passed.last().copied().unwrap_or(0) == id => EventCheck::Accept,
        (0, false) if passed.contains(&id) || id == 0 => EventCheck::Duplicate,
        (0, false) if passed.last().copied().unwrap_or(0) + 1 == id => {
            passed.push(id);
            EventCheck::Accept
        }
        (0, _) => EventCheck::Gap,
        _ => EventCheck::Foreign,
    }
}

#[test]
fn only_consecutive_events_of_the_own_call_pass_and_only_the_end_makes_it_whole() {
    let event = (prop_oneof![5 => Just(0_u8), 1 => Just(1)], 0..LENGTH, prop::bool::weighted(0.1));
    // Mostly in order, with repetitions, jumps and events of others in between.
    let events = prop::collection::vec((event, any::<bool>()), 1..60);
    let config = ProptestConfig { cases: 3_000, failure_persistence: None, ..Default::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let result = TestRunner::new_with_rng(config, rng).run(&events, |events| {
        let mut check = StreamChecker::new("own".into());
        let mut passed = Vec::new();
        let mut ended = false;
        for ((call, id, end), in_order) in events {
            let id = if in_order { check.last_id() + u32::from(!end) } else { id };
            if ended {
                break;
            }
            let name = if call == 0 { "own" } else { "other" };
            let seen = if end { check.end(name, id) } else { check.token(name, id) };
            prop_assert_eq!(seen, naive(&mut passed, (call, id, end)));
            ended = end && seen == EventCheck::Accept;
            prop_assert_eq!(check.is_complete(), ended);
            prop_assert_eq!(check.last_id() as usize, passed.len());
        }
        Ok(())
    });
    result.unwrap();
}

#[test]
fn nothing_passes_after_the_end() {
    let mut check = StreamChecker::resumed("own".into(), 2);
    assert_eq!(check.token("own", 3), EventCheck::Accept);
    assert_eq!(check.end("own", 3), EventCheck::Accept);
    assert_eq!(check.token("own", 4), EventCheck::Gap);
    assert_eq!((check.last_id(), check.is_complete()), (3, true));
}
