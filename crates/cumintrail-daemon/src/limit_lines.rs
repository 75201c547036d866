//! Log lines of changes of the limits that targets name, and of cold targets.

use cumintrail_control::cold::ColdChange;
use cumintrail_control::target_limits::LimitChange;

/// Logs a change.
pub fn report(change: LimitChange) {
    let LimitChange { target, outcome, source, age } = change;
    log::warn!(
        "event=target-limit target_hash={target:016x} outcome={outcome} source={source} age_ms={}",
        age.as_millis()
    );
}

/// Logs that a target turned cold or warm.
pub fn report_cold(change: ColdChange) {
    let ColdChange { target, left, share } = change;
    match left {
        Some(left) => log::warn!(
            "event=cold-target target_hash={target:016x} outcome=cold left_ms={} share={share:.2}",
            left.as_millis()
        ),
        None => log::info!("event=cold-target target_hash={target:016x} outcome=warm"),
    }
}
