//! Log lines of changes of the limits that targets name.

use cumintrail_control::target_limits::LimitChange;

/// Logs a change.
pub fn report(change: LimitChange) {
    let LimitChange { target, outcome, source, age } = change;
    log::warn!(
        "event=target-limit target_hash={target:016x} outcome={outcome} source={source} age_ms={}",
        age.as_millis()
    );
}
