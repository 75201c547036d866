//! The exchange of reports with peers.

use std::net::SocketAddr;
use std::time::Duration;

use cumintrail_types::Moment;

use super::evidence::Crash;
use super::{
    ContentKey, LiftCause, Quarantine, QuarantineReport, ReportedCrash, ReportedQuarantine,
    ReportedTargetCrash,
};
use crate::record_time::RecordTime;

/// Maximum number of reports in one digest.
const MAX_REPORTED: usize = 256;
/// Maximum number of reports that wait for a digest.
const MAX_PENDING_REPORTS: usize = 4_096;
/// Times in reports of one lift differ by up to this.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(1);

/// A report that waits for a digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PendingReport {
    Crash(Crash),
    /// A target of a model or service crashed and ended this many calls of this daemon.
    TargetCrash {
        target: u64,
        pool: u64,
        ended: RecordTime,
        broken: u32,
    },
    /// A request of an account was at a target, of a model or service, when it crashed.
    RequestCrash {
        target: u64,
        pool: u64,
        ended: RecordTime,
        request: ContentKey,
        account: u64,
        ran: Duration,
    },
    CommonCrash(u64),
    Cleared(ContentKey),
    Lifted(ContentKey, RecordTime),
}

impl Quarantine {
    /// Applies a peer's report; what is new in it is passed on in `relay_rounds` rounds of digests.
    /// Returns whether peers should soon get something.
    pub fn apply_report(
        &mut self,
        now: Moment,
        from: Option<SocketAddr>,
        report: &QuarantineReport,
        relay_rounds: u32,
    ) -> bool {
        let mut is_urgent = false;
        for (from, (pool, age)) in
            from.iter().flat_map(|from| report.completed.iter().map(move |c| (from, c)))
        {
            self.evidence.record_peer_complete(now, *from, *pool, RecordTime::before(now, *age));
        }
        if let Some(from) = from.filter(|_| !report.served_calls.is_empty()) {
            self.served_calls.record_peer(now, from, report.served_calls.clone());
        }
        for content in &report.cleared {
            self.completed.insert(now, *content);
            is_urgent |= self.clear(*content, LiftCause::Reported, relay_rounds);
        }
        for (content, age) in &report.lifted {
            let at = RecordTime::before(now, *age);
            let is_known =
                self.lifted.get(content).is_some_and(|known| at <= known.after(CLOCK_TOLERANCE));
            is_urgent |= !is_known && self.apply_lift(now, *content, at, relay_rounds);
        }
        for target in &report.common_crashes {
            if self.evidence.insert_common(now, *target) {
                is_urgent |= self.report(PendingReport::CommonCrash(*target), relay_rounds);
            }
        }
        for crash in &report.crashes {
            let ended = RecordTime::before(now, crash.ended_age);
            if self.lifted.get(&crash.content).is_some_and(|lifted| ended <= *lifted) {
                continue;
            }
            if self.completed.contains(crash.content) {
                is_urgent |=
                    self.report(PendingReport::Cleared(crash.content), relay_rounds.max(1));
            } else if self.evidence.insert(now, crash.received(now)) {
                let crash = crash.received(now);
                is_urgent |= self.report(PendingReport::Crash(crash), relay_rounds);
                self.decide_by(now);
            }
        }
        for crash in &report.target_crashes {
            is_urgent |= self.apply_target_crash(now, from, crash, relay_rounds);
        }
        for entry in report.quarantined.iter().map(|entry| entry.received(now)) {
            if self.is_lifted(now, entry.content, Some(entry.until)) {
                let at = self.lifted[&entry.content];
                is_urgent |=
                    self.report(PendingReport::Lifted(entry.content, at), relay_rounds.max(1));
                continue;
            }
            if self.is_completed(entry.content) {
                is_urgent |=
                    self.report(PendingReport::Cleared(entry.content), relay_rounds.max(1));
            } else {
                is_urgent |= self.quarantine(entry, 0);
            }
        }
        is_urgent
    }

    fn apply_target_crash(
        &mut self,
        now: Moment,
        from: Option<SocketAddr>,
        crash: &ReportedTargetCrash,
        relay_rounds: u32,
    ) -> bool {
        let (target, pool) = (crash.target, crash.pool);
        let ended = RecordTime::before(now, crash.ended_age);
        let broken = crash.broken.map(|calls| (from, calls)).filter(|_| from.is_some());
        self.requests.insert_crash((target, pool, ended), broken);
        let mut is_urgent = false;
        for (request, account, ran) in &crash.requests {
            let is_lifted = self.lifted.get(request).is_some_and(|lifted| ended <= *lifted);
            is_urgent |= match *request {
                _ if is_lifted => false,
                request if self.is_completed(request) => {
                    self.report(PendingReport::Cleared(request), relay_rounds.max(1))
                }
                request => {
                    let crash = (target, pool, ended);
                    let request = (request, *account);
                    self.record_request_crash(now, crash, request, *ran, relay_rounds)
                }
            };
        }
        is_urgent
    }

    /// Returns the reports for the next round of digests.
    pub fn take_reports(&mut self, now: Moment) -> QuarantineReport {
        let count = self.pending.len().min(MAX_REPORTED);
        let mut report = QuarantineReport::default();
        for _ in 0..count {
            let Some((pending, rounds)) = self.pending.pop_front() else { break };
            match pending {
                PendingReport::Crash(crash) if self.completed.contains(crash.content) => continue,
                PendingReport::Crash(crash) => {
                    report.crashes.push(ReportedCrash::new(now, crash));
                }
                PendingReport::RequestCrash { request, .. } if self.is_completed(request) => {
                    continue;
                }
                PendingReport::RequestCrash { target, pool, ended, request, account, ran } => {
                    let crash = report.target_crash(now, (target, pool, ended));
                    crash.requests.push((request, account, ran));
                }
                PendingReport::TargetCrash { target, pool, ended, broken } => {
                    report.target_crash(now, (target, pool, ended)).broken = Some(broken);
                }
                PendingReport::CommonCrash(target) => report.common_crashes.push(target),
                PendingReport::Cleared(content) => report.cleared.push(content),
                PendingReport::Lifted(content, at) => {
                    report.lifted.push((content, at.age(now)));
                }
            }
            if rounds > 1 {
                self.pending.push_back((pending, rounds - 1));
            }
        }
        if !self.evidence.is_empty() || !self.requests.is_empty() {
            report.completed = self.evidence.last_completed_ages(now);
            report.served_calls = self.served_calls.own(now);
        }
        let entries = self.entries(now);
        report.quarantined = entries.map(|entry| ReportedQuarantine::new(now, entry)).collect();
        report
    }

    /// Returns whether crashes wait to be reported, on which the decisions of peers depend.
    pub fn is_report_urgent(&self) -> bool {
        let is_crash = |report: &PendingReport| {
            matches!(report, PendingReport::Crash(_) | PendingReport::RequestCrash { .. })
        };
        self.pending.iter().any(|(report, _)| is_crash(report))
    }

    /// Adds a report unless it is pending; returns whether it was added.
    pub(super) fn report(&mut self, report: PendingReport, rounds: u32) -> bool {
        let is_known = self.pending.iter().any(|(pending, _)| *pending == report);
        if is_known || rounds == 0 || self.pending.len() >= MAX_PENDING_REPORTS {
            return false;
        }
        self.pending.push_back((report, rounds));
        true
    }
}
