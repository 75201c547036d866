//! Log lines of evacuations of failure domains.

use cumintrail_control::evacuation::{EvacuationChange, EvacuationReport};
use cumintrail_types::LogText;

/// Logs a change.
pub fn report(change: &EvacuationChange) {
    let EvacuationChange { report, source, targets } = change;
    let EvacuationReport { domain, evacuated, position, age } = report;
    let domain = LogText(domain);
    let outcome = if *evacuated { "evacuated" } else { "ended" };
    log::warn!(
        "event=evacuation domain={domain} outcome={outcome} era={} version={} age_ms={} \
         source={source} targets={targets}",
        position.era,
        position.version,
        age.as_millis()
    );
}
