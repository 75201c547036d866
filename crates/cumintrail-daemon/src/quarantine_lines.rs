//! Log lines and metrics of decisions about content under which targets crash.

use cumintrail_control::quarantine::{QuarantineChange, Scope};
use cumintrail_types::Moment;

use crate::metric;

/// Logs and counts a decision.
pub fn report(now: Moment, change: QuarantineChange) {
    match change {
        QuarantineChange::Crashed { target, calls, suspects } => {
            metrics::counter!(metric::TARGET_CRASHES).increment(1);
            log::warn!(
                "event=target-crashed target_hash={target:016x} calls={calls} suspects={suspects}"
            );
        }
        QuarantineChange::Quarantined { entry, crashes } => {
            metrics::counter!(metric::QUARANTINE_DECISIONS, "outcome" => "quarantined")
                .increment(1);
            let accounts = match entry.scope {
                Scope::Account(hash) => format!("{hash:016x}"),
                Scope::All => "all".into(),
            };
            let decided_by = if crashes > 0 { "own" } else { "peer" };
            log::warn!(
                "event=quarantined content={:016x} account_hash={accounts} crashes={crashes} \
                 decided_by={decided_by} left_ms={}",
                entry.content.0,
                entry.until.since(now).as_millis(),
            );
        }
        QuarantineChange::Doubted(doubt) => log::info!(
            "event=quarantine-doubted content={:016x} crashes={} unexplained={} reason={}",
            doubt.content.0,
            doubt.crashes,
            doubt.unexplained,
            doubt.reason,
        ),
        QuarantineChange::Lifted { content, cause } => {
            metrics::counter!(metric::QUARANTINE_DECISIONS, "outcome" => "lifted").increment(1);
            log::warn!("event=quarantine-lifted content={:016x} cause={cause}", content.0);
        }
    }
}
