//! Log lines of announced weight versions and of calls that begin on replaced weights.

use cumintrail_control::announcement::{AnnouncementReport, BeginOnReplaced};
use cumintrail_types::LogText;

use crate::metric;

/// Logs when a weight version was announced, as far as this daemon knows.
pub fn report_announcement(report: &AnnouncementReport) {
    let AnnouncementReport { weights, version, age, is_observed, unread, source } = report;
    let weights = LogText(weights);
    log::info!(
        "event=version-announced model={weights} version={version} age_ms={} observed={is_observed} source={source} unread_ms={}",
        age.as_millis(),
        unread.as_millis()
    );
}

/// Counts a call that begins on replaced weights, and logs it if no call is sent to them any more.
pub fn report_begin(begin: BeginOnReplaced) {
    let BeginOnReplaced { call, version, replacement, waited, is_past_dispatch } = begin;
    metrics::histogram!(metric::REPLACED_BEGIN_SECONDS).record(replacement.age.as_secs_f64());
    if is_past_dispatch {
        log::warn!(
            "event=began-on-replaced call={call} version={version} replaced_by={} replaced_ms={} observed={} waited_ms={}",
            replacement.by,
            replacement.age.as_millis(),
            replacement.is_observed,
            waited.as_millis()
        );
    }
}
