//! Log lines of changes of the calls that leave their failure domain.

use cumintrail_control::spill::SpillChange;

/// Logs a change.
pub fn report(change: &SpillChange) {
    let SpillChange { service, before, leaving } = change;
    log::info!("event=spillover serves={service} leaving={leaving:.2} before={before:.2}");
}
