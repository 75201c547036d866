//! What daemons report to each other about crashes, with ages in place of times.

use std::time::Duration;

use cumintrail_types::Moment;

use super::evidence::Crash;
use super::{ContentKey, QUARANTINE_TIME, Quarantined, Scope};
use crate::record_time::RecordTime;

/// Collects what daemons report to each other about crashes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QuarantineReport {
    /// Crashes under suspected content that several requests may share.
    pub crashes: Vec<ReportedCrash>,
    /// Crashes with the requests that were at the targets.
    pub target_crashes: Vec<ReportedTargetCrash>,
    /// Targets that crashed together with others, so that no content of their calls is to blame.
    pub common_crashes: Vec<u64>,
    /// Suspected content that had a complete response.
    pub cleared: Vec<ContentKey>,
    /// Content that an operator lifted from quarantine, and how long ago.
    pub lifted: Vec<(ContentKey, Duration)>,
    /// Content in quarantine.
    pub quarantined: Vec<ReportedQuarantine>,
    /// How long ago the sender's last call to each model or service, by the hash of its name, got
    /// a complete response; only while crashes are recorded.
    pub completed: Vec<(u64, Duration)>,
    /// The number of calls to each model or service, by the hash of its name, that the sender lately
    /// served; only while crashes are recorded.
    pub served_calls: Vec<(u64, u32)>,
}

/// Reports that a target crashed while a call with some content was at it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedCrash {
    /// The content.
    pub content: ContentKey,
    /// The hash of the name of the model or service that the call was for.
    pub pool: u64,
    /// The hash of the name of the call's account.
    pub account: u64,
    /// The hash of the name of the target, which distinguishes its incarnations.
    pub target: u64,
    /// The request with the content, or another number for each call whose repeats are not
    /// recognized.
    pub request: u64,
    /// How long ago the call was sent.
    pub sent_age: Duration,
    /// How long ago its connection broke.
    pub ended_age: Duration,
}

/// Reports that a target crashed, with requests that were there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedTargetCrash {
    /// The hash of the name of the target, which distinguishes its incarnations.
    pub target: u64,
    /// The hash of the name of its model or service.
    pub pool: u64,
    /// How long ago its calls broke.
    pub ended_age: Duration,
    /// How many calls of the sender it ended; `None` in a report that is passed on.
    pub broken: Option<u32>,
    /// The requests, with the hash of the name of their account and how long they had been there.
    pub requests: Vec<(ContentKey, u64, Duration)>,
}

/// Reports content in quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedQuarantine {
    /// The content.
    pub content: ContentKey,
    /// The calls that are refused.
    pub scope: Scope,
    /// The time until the quarantine ends.
    pub remaining: Duration,
}

impl ReportedCrash {
    pub(super) fn new(now: Moment, crash: Crash) -> Self {
        let Crash { content, pool, account, target, request, sent, ended } = crash;
        let (sent_age, ended_age) = (sent.age(now), ended.age(now));
        Self { content, pool, account, target, request, sent_age, ended_age }
    }

    pub(super) fn received(self, now: Moment) -> Crash {
        let Self { content, pool, account, target, request, sent_age, ended_age } = self;
        let (sent, ended) = (RecordTime::before(now, sent_age), RecordTime::before(now, ended_age));
        Crash { content, pool, account, target, request, sent, ended }
    }
}

impl ReportedQuarantine {
    pub(super) const fn new(now: Moment, entry: Quarantined) -> Self {
        let Quarantined { content, scope, until } = entry;
        Self { content, scope, remaining: until.since(now) }
    }

    pub(super) fn received(self, now: Moment) -> Quarantined {
        let until = now + self.remaining.min(QUARANTINE_TIME);
        Quarantined { content: self.content, scope: self.scope, until }
    }
}

impl QuarantineReport {
    /// Returns the report of a target's crash, which it adds if there is none.
    pub(super) fn target_crash(
        &mut self,
        now: Moment,
        (target, pool, ended): (u64, u64, RecordTime),
    ) -> &mut ReportedTargetCrash {
        let known = self.target_crashes.iter().position(|crash| crash.target == target);
        let index = known.unwrap_or_else(|| {
            let (ended_age, broken, requests) = (ended.age(now), None, Vec::new());
            let crash = ReportedTargetCrash { target, pool, ended_age, broken, requests };
            self.target_crashes.push(crash);
            self.target_crashes.len() - 1
        });
        &mut self.target_crashes[index]
    }

    /// Returns whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
            && self.target_crashes.is_empty()
            && self.common_crashes.is_empty()
            && self.cleared.is_empty()
            && self.lifted.is_empty()
            && self.quarantined.is_empty()
            && self.completed.is_empty()
            && self.served_calls.is_empty()
    }
}
