//! What crashes prove, decided by one daemon alone.

use std::time::Duration;

use cumintrail_control::quarantine::{ContentKey, Quarantine};
use cumintrail_types::{Moment, TargetKey};

const ACCOUNT: u64 = 7;
const MODEL: u64 = 1;
const SERVICE: u64 = 2;

/// Returns whether content is refused after targets crashed under it one after the other, while calls
/// to a model or service were served.
fn is_refused_after_crashes(served: u64) -> bool {
    let mut quarantine = Quarantine::default();
    let (hot, other) = (ContentKey::of_part("hot"), ContentKey::of_part("other"));
    let mut now = Moment::from_millis(1_000);
    for number in 0..6 {
        let target = (TargetKey(number), u64::from(number) + 100);
        let sent = now;
        now = now + Duration::from_millis(200);
        quarantine.record_broken(now, target, (MODEL, ACCOUNT, &[hot]), sent, 0);
        quarantine.record_unreachable(now, target.0, target.1, 0);
        for _ in 0..3 {
            now = now + Duration::from_millis(100);
            quarantine.record_complete(now, served, &[other], 0);
        }
        quarantine.decide(now, Duration::ZERO);
    }
    quarantine.refuses(now, ACCOUNT, &[hot])
}

#[test]
fn content_is_blamed_if_other_calls_to_its_model_are_served() {
    assert!(is_refused_after_crashes(MODEL));
}

#[test]
fn served_calls_to_another_service_prove_nothing_about_content_in_all_calls_to_a_model() {
    assert!(!is_refused_after_crashes(SERVICE));
}
