//! Quarantine of content under which targets crash; docs/DESIGN.md, "Quarantine".
//!
//! A target that crashes ends all calls at it, and only some content of one of them is to blame. The
//! content of each of these calls is suspected. A complete response clears content for good, since
//! a target that crashes under some content never completes a response to it. A part of prompts is
//! quarantined once targets crashed under it one after the other while other calls were served, and a
//! whole request by the chance that a sound one would be in as many crashes. Targets that end at the
//! same moment accuse no part: their hosts, their network or an operator ended them.

mod change;
mod content;
mod evidence;
mod exchange;
mod report;
mod requests;
mod served_calls;

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use cumintrail_types::{Moment, TargetKey};
use smallvec::SmallVec;

pub use self::change::{LiftCause, QuarantineChange};
pub use self::content::{CallContent, ContentKey, Scope};
use self::evidence::{BlamedRequests, CompletedContent, Crash, Evidence, Verdict};
pub use self::evidence::{Doubt, DoubtReason};
use self::exchange::PendingReport;
pub use self::report::{QuarantineReport, ReportedCrash, ReportedQuarantine, ReportedTargetCrash};
use self::requests::{PoolState, RequestEvidence};
use self::served_calls::ServedCalls;
use crate::record_time::RecordTime;

/// How long content stays in quarantine after the last crash under it.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// The interval at which crashes are weighed that need more time.
const DECISION_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of quarantined contents.
const MAX_QUARANTINED: usize = 64;
/// How long a broken call waits for its target to be found crashed.
const BROKEN_CALL_RETENTION: Duration = Duration::from_secs(15);
/// How long before a target was found unreachable calls to it may have broken.
const UNREACHABLE_WINDOW: Duration = Duration::from_secs(2);
/// Targets whose calls broke within this time ended by a common cause.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(20);
/// Maximum number of broken calls that are kept of one target.
const MAX_BROKEN_CALLS: usize = 256;
/// How long it is recorded that an operator lifted a quarantine.
const LIFT_RETENTION: Duration = Duration::from_secs(1_800);

/// Describes content in quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quarantined {
    /// The content.
    pub content: ContentKey,
    /// The calls that are refused.
    pub scope: Scope,
    /// When the quarantine ends.
    pub until: Moment,
}

/// Describes a call whose connection broke.
#[derive(Debug, Clone)]
pub struct BrokenCall {
    /// Its content.
    pub content: CallContent,
    /// A number that no other call has, on any daemon.
    pub call: u64,
    /// The hash of the name of its model or service.
    pub pool: u64,
    /// The hash of the name of its account.
    pub account: u64,
    /// When it was sent.
    pub sent: Moment,
    /// When its connection broke.
    pub broken: Moment,
}

impl BrokenCall {
    /// Returns the number that stands for the request, or for the call if its repeats are not
    /// recognized.
    fn request(&self) -> u64 {
        self.content.request.map_or(self.call, |request| request.0)
    }
}

/// Tracks suspected and quarantined content.
///
/// Records of crashes and of complete responses merge in any order, and a complete response
/// prevails.
#[derive(Debug, Default)]
pub struct Quarantine {
    completed: CompletedContent,
    completed_requests: CompletedContent,
    evidence: Evidence,
    requests: RequestEvidence,
    served_calls: ServedCalls,
    quarantined: HashMap<ContentKey, Quarantined>,
    broken: HashMap<TargetKey, Vec<BrokenCall>>,
    crashed: HashMap<TargetKey, Moment>,
    /// The hashed names of the targets that crashed last, and when their calls broke.
    last_crashes: Vec<(u64, Moment)>,
    /// When operators lifted quarantines; crashes before that accuse the content no more.
    lifted: HashMap<ContentKey, RecordTime>,
    pending: VecDeque<(PendingReport, u32)>,
    changes: Vec<QuarantineChange>,
    /// The last reported doubt about each content.
    doubts: HashMap<ContentKey, Doubt>,
    /// When crashes are weighed next; `None` until something changes.
    next_decision: Option<Moment>,
}

impl Quarantine {
    /// Returns whether nothing is in quarantine.
    pub fn is_empty(&self) -> bool {
        self.quarantined.is_empty()
    }

    /// Returns whether a call with this content is refused.
    pub fn refuses(&self, now: Moment, account: u64, content: &CallContent) -> bool {
        content.iter().any(|content| {
            let entry = self.quarantined.get(&content);
            entry.is_some_and(|entry| entry.until > now && entry.scope.includes(account))
        })
    }

    /// Records that a call with this content to the model or service whose name has the hash
    /// `pool` got a complete response; returns whether peers should know.
    pub fn record_complete(
        &mut self,
        now: Moment,
        pool: u64,
        content: &CallContent,
        report_rounds: u32,
    ) -> bool {
        self.evidence.record_complete(now, pool);
        self.served_calls.record(now, pool);
        content.shared.iter().for_each(|shared| self.completed.insert(now, *shared));
        if let Some(request) = content.request {
            self.completed_requests.insert(now, request);
        }
        let mut is_suspected = false;
        for content in content.iter() {
            is_suspected |= self.clear(content, LiftCause::CompleteResponse, report_rounds);
        }
        is_suspected
    }

    fn is_completed(&self, content: ContentKey) -> bool {
        self.completed.contains(content) || self.completed_requests.contains(content)
    }

    /// Lifts the quarantine of content at an operator's request; further crashes under the content
    /// accuse it again.
    pub fn lift(&mut self, now: Moment, content: ContentKey, report_rounds: u32) {
        self.apply_lift(now, content, now.into(), report_rounds);
    }

    /// Forgets the crashes under content before an operator lifted its quarantine; returns whether
    /// peers should know.
    fn apply_lift(
        &mut self,
        now: Moment,
        content: ContentKey,
        at: RecordTime,
        report_rounds: u32,
    ) -> bool {
        self.lifted.retain(|_, lifted| lifted.age(now) < LIFT_RETENTION);
        if self.lifted.get(&content).is_some_and(|known| *known >= at) {
            return false;
        }
        self.lifted.insert(content, at);
        self.evidence.remove_until(content, at);
        self.requests.remove_until(content, at);
        if self.is_lifted(now, content, self.quarantined.get(&content).map(|entry| entry.until)) {
            self.quarantined.remove(&content);
            self.changes.push(QuarantineChange::Lifted { content, cause: LiftCause::Operator });
        }
        self.report(PendingReport::Lifted(content, at), report_rounds)
    }

    /// Returns whether an operator lifted a quarantine after its last crash.
    fn is_lifted(&self, now: Moment, content: ContentKey, until: Option<Moment>) -> bool {
        let Some((lifted, until)) = self.lifted.get(&content).zip(until) else {
            return false;
        };
        until <= now + QUARANTINE_TIME.saturating_sub(lifted.age(now))
    }

    /// Records that the connection of a call to a target, given with the hash of its name, broke.
    pub fn record_broken(
        &mut self,
        now: Moment,
        (target, target_hash): (TargetKey, u64),
        call: BrokenCall,
        report_rounds: u32,
    ) {
        // The key of a target may stand for its next incarnation by now.
        let crashed = self.crashed.get(&target).copied();
        if crashed.is_some_and(|at| call.sent <= at && now.since(at) < BROKEN_CALL_RETENTION) {
            return self.record_crash(now, target_hash, &[call], report_rounds);
        }
        let calls = self.broken.entry(target).or_default();
        calls.retain(|call| now.since(call.broken) < BROKEN_CALL_RETENTION);
        if calls.len() < MAX_BROKEN_CALLS {
            calls.push(call);
        }
    }

    /// Records that a target does not respond any more: the calls that broke just before did so
    /// because it crashed.
    pub fn record_unreachable(
        &mut self,
        now: Moment,
        target: TargetKey,
        target_hash: u64,
        report_rounds: u32,
    ) {
        self.confirm_crash(now, (target, target_hash), UNREACHABLE_WINDOW, report_rounds);
    }

    /// Records that a target is gone although it did not announce that it was leaving.
    pub fn record_gone(
        &mut self,
        now: Moment,
        target: TargetKey,
        target_hash: u64,
        report_rounds: u32,
    ) {
        self.confirm_crash(now, (target, target_hash), BROKEN_CALL_RETENTION, report_rounds);
    }

    /// Returns the targets at which calls broke, without a known crash.
    pub fn doubtful_targets(&self) -> impl Iterator<Item = TargetKey> {
        self.broken.keys().copied()
    }

    /// Forgets the broken calls of a target that left as planned.
    pub fn forget_target(&mut self, target: TargetKey) {
        self.broken.remove(&target);
    }

    fn confirm_crash(
        &mut self,
        now: Moment,
        (target, target_hash): (TargetKey, u64),
        window: Duration,
        report_rounds: u32,
    ) {
        let mut calls = self.broken.remove(&target).unwrap_or_default();
        calls.retain(|call| now.since(call.broken) < window);
        self.crashed.retain(|_, at| now.since(*at) < BROKEN_CALL_RETENTION);
        self.crashed.insert(target, now);
        if let Some(broken) = calls.iter().map(|call| call.broken).min() {
            self.find_common_crashes(now, target_hash, broken, report_rounds);
            self.record_crash(now, target_hash, &calls, report_rounds);
        }
    }

    /// Records which targets crashed at the same time as this one.
    fn find_common_crashes(&mut self, now: Moment, target: u64, broken: Moment, rounds: u32) {
        self.last_crashes.retain(|(_, at)| now.since(*at) < BROKEN_CALL_RETENTION);
        let is_common = |at: Moment| at.since(broken).max(broken.since(at)) < COMMON_CAUSE_WINDOW;
        let others =
            self.last_crashes.iter().filter(|(other, at)| *other != target && is_common(*at));
        let mut common: SmallVec<[u64; 4]> = others.map(|(other, _)| *other).collect();
        self.last_crashes.push((target, broken));
        if !common.is_empty() {
            common.push(target);
        }
        for target in common {
            if self.evidence.insert_common(now, target) {
                self.report(PendingReport::CommonCrash(target), rounds);
            }
        }
    }

    fn record_crash(&mut self, now: Moment, target: u64, calls: &[BrokenCall], report_rounds: u32) {
        let mut suspects = HashSet::new();
        if let Some(first) = calls.first() {
            let (pool, ended, broken) = (first.pool, first.broken.into(), calls.len() as u32);
            self.requests.insert_crash((target, pool, ended), Some((None, broken)));
            self.report(PendingReport::TargetCrash { target, pool, ended, broken }, report_rounds);
        }
        for call in calls {
            let (pool, account, ended) = (call.pool, call.account, call.broken.into());
            if let Some(request) = call.content.request.filter(|r| !self.is_completed(*r)) {
                suspects.insert(request);
                let (crash, ran) = ((target, pool, ended), call.broken.since(call.sent));
                self.record_request_crash(now, crash, (request, account), ran, report_rounds);
            }
            for content in call.content.shared.iter().copied() {
                if self.completed.contains(content) {
                    continue;
                }
                suspects.insert(content);
                let (request, sent) = (call.request(), call.sent.into());
                let crash = Crash { content, pool, account, target, request, sent, ended };
                if self.evidence.insert(now, crash) {
                    self.report(PendingReport::Crash(crash), report_rounds);
                    self.decide_by(now);
                }
            }
        }
        let (calls, suspects) = (calls.len(), suspects.len());
        self.changes.push(QuarantineChange::Crashed { target, calls, suspects });
    }

    /// Records that a request was at a target when it crashed; returns whether peers should get that.
    fn record_request_crash(
        &mut self,
        now: Moment,
        (target, pool, ended): (u64, u64, RecordTime),
        (request, account): (ContentKey, u64),
        ran: Duration,
        rounds: u32,
    ) -> bool {
        if !self.requests.insert_request(target, (request, account), ran) {
            return false;
        }
        self.decide_by(now);
        let crash = PendingReport::RequestCrash { target, pool, ended, request, account, ran };
        self.report(crash, rounds)
    }

    /// Weighs the crashes if something changed; `settle_time` is the time after which the records
    /// of all daemons about a crash are expected to be here, and `target_count` returns the number of
    /// targets of a model or service. Returns whether content was quarantined.
    pub fn decide(
        &mut self,
        now: Moment,
        settle_time: Duration,
        target_count: impl Fn(u64) -> usize,
    ) -> bool {
        if self.next_decision.is_none_or(|at| at > now) {
            return false;
        }
        let mut is_new = false;
        let ended: Vec<ContentKey> =
            self.quarantined.values().filter(|e| e.until <= now).map(|e| e.content).collect();
        for content in ended {
            self.quarantined.remove(&content);
            self.changes.push(QuarantineChange::Lifted { content, cause: LiftCause::Expired });
        }
        self.requests.expire(now);
        let mut explained = self.evidence.crashed_under(|c| self.quarantined.contains_key(&c));
        for content in self.quarantined.keys() {
            explained.extend(self.requests.targets(*content));
        }
        let is_blamed = |content| self.quarantined.contains_key(&content);
        let state = |pool| {
            let (served, targets) = (self.served_calls.all(now, pool), target_count(pool));
            PoolState { served, targets }
        };
        let (verdicts, mut doubts, is_request_final) =
            self.requests.weigh(now, settle_time, &explained, is_blamed, state);
        is_new |= self.apply_verdicts(now, verdicts);

        let mut blamed = BlamedRequests::default();
        for content in self.quarantined.keys() {
            blamed.insert(*content, self.requests.targets(*content));
        }
        let scope_of = |content| self.quarantined.get(&content).map(|entry| entry.scope);
        let (verdicts, is_final) = self.evidence.weigh(now, settle_time, scope_of, &blamed);
        is_new |= self.apply_verdicts(now, verdicts);
        let is_final = is_final && is_request_final;
        self.next_decision = (!is_final).then_some(now + DECISION_INTERVAL);

        let scope_of = |content| self.quarantined.get(&content).map(|entry| entry.scope);
        doubts.extend(self.evidence.doubts(scope_of, &blamed));
        self.report_doubts(doubts);
        is_new
    }

    fn apply_verdicts(&mut self, now: Moment, verdicts: Vec<Verdict>) -> bool {
        let mut is_new = false;
        for verdict in verdicts {
            let (content, scope) = (verdict.content, verdict.scope);
            let until = now + QUARANTINE_TIME.saturating_sub(verdict.last_crash.age(now));
            // Crashes of a quarantine that has ended count again with the next one only.
            if until > now {
                is_new |= self.quarantine(Quarantined { content, scope, until }, verdict.crashes);
            }
        }
        is_new
    }

    fn report_doubts(&mut self, doubts: Vec<Doubt>) {
        for doubt in &doubts {
            if self.doubts.get(&doubt.content) != Some(doubt) {
                self.changes.push(QuarantineChange::Doubted(*doubt));
            }
        }
        self.doubts = doubts.into_iter().map(|doubt| (doubt.content, doubt)).collect();
    }

    /// Returns the content in quarantine.
    pub fn entries(&self, now: Moment) -> impl Iterator<Item = Quarantined> {
        self.quarantined.values().filter(move |entry| entry.until > now).copied()
    }

    /// Returns the decisions since the last call.
    pub fn take_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.changes)
    }

    /// Adds an entry, or extends its scope and time; returns whether it refuses more calls.
    fn quarantine(&mut self, entry: Quarantined, crashes: usize) -> bool {
        let known = self.quarantined.get(&entry.content).copied();
        let scope = match known.map(|known| known.scope) {
            Some(scope) if scope != entry.scope => Scope::All,
            _ => entry.scope,
        };
        let until = known.map_or(entry.until, |known| known.until.max(entry.until));
        if known.is_none() && self.quarantined.len() >= MAX_QUARANTINED {
            let first = self.quarantined.values().min_by_key(|e| e.until).map(|e| e.content);
            first.and_then(|content| self.quarantined.remove(&content));
        }
        let merged = Quarantined { scope, until, ..entry };
        self.quarantined.insert(entry.content, merged);
        let is_new = known.is_none_or(|known| known.scope != scope);
        if is_new {
            self.changes.push(QuarantineChange::Quarantined { entry: merged, crashes });
        }
        is_new
    }

    /// Removes suspicions of content; returns whether there were any, which is then reported.
    fn clear(&mut self, content: ContentKey, cause: LiftCause, report_rounds: u32) -> bool {
        let was_suspected = self.evidence.remove(content) | self.requests.remove(content);
        let was_quarantined = self.quarantined.remove(&content).is_some();
        if was_quarantined {
            self.changes.push(QuarantineChange::Lifted { content, cause });
        }
        (was_suspected || was_quarantined)
            && self.report(PendingReport::Cleared(content), report_rounds)
    }

    fn decide_by(&mut self, now: Moment) {
        self.next_decision = Some(self.next_decision.map_or(now, |at| at.min(now)));
    }
}
