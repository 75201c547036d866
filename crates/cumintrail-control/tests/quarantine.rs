//! What crashes prove, decided by one daemon alone.

use std::time::Duration;

use cumintrail_control::quarantine::{
    BrokenCall, CallContent, ContentKey, QUARANTINE_TIME, Quarantine, QuarantineChange,
};
use cumintrail_types::{Moment, TargetKey};

const ACCOUNT: u64 = 7;
const MODEL: u64 = 1;
const SERVICE: u64 = 2;

fn with_part(part: ContentKey) -> CallContent {
    CallContent { shared: [part].into(), request: None }
}

/// Returns a call with a part whose connection broke.
fn broken(part: ContentKey, call: u64, sent: Moment, broken: Moment) -> BrokenCall {
    let content = with_part(part);
    BrokenCall { content, call, pool: MODEL, account: ACCOUNT, sent, broken }
}

/// Lets targets crash under content one after the other, while calls to a model or service are
/// served; returns the time after that.
fn crash(
    quarantine: &mut Quarantine,
    mut now: Moment,
    numbers: std::ops::Range<u32>,
    served: u64,
) -> Moment {
    let (hot, other) = (ContentKey::of_part("hot"), ContentKey::of_part("other"));
    for number in numbers {
        let target = (TargetKey(number), u64::from(number) + 100);
        let sent = now;
        now = now + Duration::from_millis(200);
        quarantine.record_broken(now, target, broken(hot, u64::from(number), sent, now), 0);
        quarantine.record_unreachable(now, target.0, target.1, 0);
        for _ in 0..3 {
            now = now + Duration::from_millis(100);
            quarantine.record_complete(now, served, &with_part(other), 0);
        }
        quarantine.decide(now, Duration::ZERO, |_| 12);
    }
    now
}

fn is_refused(quarantine: &Quarantine, now: Moment) -> bool {
    quarantine.refuses(now, ACCOUNT, &with_part(ContentKey::of_part("hot")))
}

/// Returns whether content is refused after six crashes.
fn is_refused_after_crashes(served: u64) -> bool {
    let mut quarantine = Quarantine::default();
    let now = crash(&mut quarantine, Moment::from_millis(1_000), 0..6, served);
    is_refused(&quarantine, now)
}

#[test]
fn a_quarantine_that_has_ended_is_renewed_by_the_next_crash_only() {
    let mut quarantine = Quarantine::default();
    let now = crash(&mut quarantine, Moment::from_millis(1_000), 0..3, MODEL);
    assert!(is_refused(&quarantine, now));
    let now = now + QUARANTINE_TIME;
    assert!(!is_refused(&quarantine, now));
    quarantine.take_changes();
    let other = ContentKey::of_part("rare");
    let target = (TargetKey(50), 150);
    quarantine.record_broken(now, target, broken(other, 1_000, now, now), 0);
    quarantine.record_unreachable(now, target.0, target.1, 0);
    quarantine.decide(now, Duration::ZERO, |_| 12);
    let is_quarantined =
        |change: &QuarantineChange| matches!(change, QuarantineChange::Quarantined { .. });
    assert!(!quarantine.take_changes().iter().any(is_quarantined), "another crash renewed it");
    let now = crash(&mut quarantine, now, 3..4, MODEL);
    assert!(is_refused(&quarantine, now));
}

#[test]
fn content_is_blamed_if_other_calls_to_its_model_are_served() {
    assert!(is_refused_after_crashes(MODEL));
}

#[test]
fn served_calls_to_another_service_prove_nothing_about_content_in_all_calls_to_a_model() {
    assert!(!is_refused_after_crashes(SERVICE));
}
