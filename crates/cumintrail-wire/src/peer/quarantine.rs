//! Reports on quarantined content in digests.

use std::time::Duration;

use cumintrail_control::quarantine::{
    ContentKey, QuarantineReport, ReportedCrash, ReportedQuarantine, ReportedTargetCrash, Scope,
};
use serde::{Deserialize, Serialize};

use super::to_millis;

/// Encodes a [`QuarantineReport`] without field names, with times in milliseconds: crashes (content,
/// model or service, account, target, age of the call, age of the crash), targets that crashed
/// together, cleared contents, lifted contents (content, age of the lift), contents in quarantine
/// (content, account or zero, time until the end), last complete responses (model or service, age).
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(super) struct QuarantineMessage(
    Vec<(u64, u64, u64, u64, u32, u32)>,
    Vec<u64>,
    Vec<u64>,
    Vec<(u64, u32)>,
    Vec<(u64, u64, u32)>,
    Vec<(u64, u32)>,
);

impl QuarantineMessage {
    pub(super) const fn is_empty(&self) -> bool {
        let is_quiet = self.0.is_empty() && self.1.is_empty() && self.2.is_empty();
        is_quiet && self.3.is_empty() && self.4.is_empty() && self.5.is_empty()
    }
}

impl From<QuarantineReport> for QuarantineMessage {
    fn from(report: QuarantineReport) -> Self {
        let crash = |c: ReportedCrash| {
            let (sent, ended) = (to_millis(c.sent_age), to_millis(c.ended_age));
            (c.content.0, c.pool, c.account, c.target, sent, ended)
        };
        let entry = |e: ReportedQuarantine| (e.content.0, e.scope.code(), to_millis(e.remaining));
        Self(
            report.crashes.into_iter().map(crash).collect(),
            report.common_crashes,
            report.cleared.into_iter().map(|content| content.0).collect(),
            report.lifted.into_iter().map(|(content, age)| (content.0, to_millis(age))).collect(),
            report.quarantined.into_iter().map(entry).collect(),
            report.completed.into_iter().map(|(pool, age)| (pool, to_millis(age))).collect(),
        )
    }
}

impl From<QuarantineMessage> for QuarantineReport {
    fn from(message: QuarantineMessage) -> Self {
        let QuarantineMessage(crashes, common_crashes, cleared, lifted, quarantined, completed) =
            message;
        let millis = |millis: u32| Duration::from_millis(millis.into());
        let crash =
            |(content, pool, account, target, sent, ended): (u64, u64, u64, u64, u32, u32)| {
                let (content, sent_age, ended_age) = (content.into(), millis(sent), millis(ended));
                let request = 0;
                ReportedCrash { content, pool, account, target, request, sent_age, ended_age }
            };
        let entry = |(content, scope, remaining): (u64, u64, u32)| ReportedQuarantine {
            content: content.into(),
            scope: Scope::of_code(scope),
            remaining: millis(remaining),
        };
        Self {
            crashes: crashes.into_iter().map(crash).collect(),
            common_crashes,
            cleared: cleared.into_iter().map(ContentKey::from).collect(),
            lifted: lifted
                .into_iter()
                .map(|(content, age)| (content.into(), millis(age)))
                .collect(),
            quarantined: quarantined.into_iter().map(entry).collect(),
            completed: completed.into_iter().map(|(pool, age)| (pool, millis(age))).collect(),
            target_crashes: Vec::new(),
            served_calls: Vec::new(),
        }
    }
}

/// Encodes a [`ReportedTargetCrash`] without field names: target, model or service, age in
/// milliseconds, calls of the sender, requests with their accounts and the milliseconds there.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct TargetCrashMessage(u64, u64, u32, Option<u32>, Vec<(u64, u64, u32)>);

impl From<&ReportedTargetCrash> for TargetCrashMessage {
    fn from(crash: &ReportedTargetCrash) -> Self {
        let requests = crash
            .requests
            .iter()
            .map(|(request, account, ran)| (request.0, *account, to_millis(*ran)));
        let age = to_millis(crash.ended_age);
        Self(crash.target, crash.pool, age, crash.broken, requests.collect())
    }
}

impl From<TargetCrashMessage> for ReportedTargetCrash {
    fn from(TargetCrashMessage(target, pool, age, broken, requests): TargetCrashMessage) -> Self {
        let requests = requests.into_iter().map(|(request, account, ran)| {
            (request.into(), account, Duration::from_millis(ran.into()))
        });
        let ended_age = Duration::from_millis(age.into());
        Self { target, pool, ended_age, broken, requests: requests.collect() }
    }
}
