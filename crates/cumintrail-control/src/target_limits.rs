//! Limits of the requests that targets take, as they name them in responses; docs/DESIGN.md, "Limits
//! of targets".
//!
//! A limit holds for the requests of all daemons together, and no daemon can ask the others before
//! each call. Each daemon sends requests at its share of the limit, which follows from what daemons
//! last reported to each other, and the shares add up to the limit.

mod allowance;
mod call_rate;
mod senders;

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use cumintrail_types::{Moment, RequestRate};
use derive_more::Display;

pub use self::allowance::Allowance;
pub use self::call_rate::CallRate;
pub use self::senders::{Senders, Tolerance};
use crate::record_time::RecordTime;

/// The rate at which a target is sent requests that names a lower limit.
///
/// Only a response of the target ends its limit, so that some request must reach it.
const MIN_RATE: RequestRate = RequestRate(250);
/// Fraction by which a limit must change to be logged and reported to peers at once.
const REPORTED_CHANGE: f64 = 0.1;
/// Interval at which daemons report the limits that they know, for those that start later.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);
/// How long the end of a limit is known, so that late reports do not bring the limit back.
const ENDED_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of limits that are known.
const MAX_LIMITS: usize = 4_096;

/// Reports the limit of a target to peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLimit {
    /// The hash of the target's name, which distinguishes its incarnations.
    pub target: u64,
    /// The limit; `None` if it ended.
    pub rate: Option<RequestRate>,
    /// How long ago the target said so.
    pub age: Duration,
}

/// Describes a change of what is known of a limit, for logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitChange {
    /// The hash of the target's name.
    pub target: u64,
    /// The change.
    pub outcome: LimitOutcome,
    /// Where the change was learnt from.
    pub source: LimitSource,
    /// How long ago the target said so.
    pub age: Duration,
}

/// Names a change of a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum LimitOutcome {
    /// The target has this limit.
    #[display("limited rate={_0}")]
    Limited(RequestRate),
    /// The target has no limit any more.
    #[display("ended")]
    Ended,
    /// The named limit is no number of requests a second, and changes nothing.
    #[display("unreadable")]
    Unreadable,
}

/// Names where a change of a limit was learnt from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum LimitSource {
    /// A response of the target to this daemon.
    #[display("response")]
    Response,
    /// A peer.
    #[display("peer")]
    Peer,
}

/// What is known of the limit of one target.
#[derive(Debug, Clone, Copy)]
struct KnownLimit {
    /// The limit; `None` if it ended.
    rate: Option<RequestRate>,
    /// When the target said so.
    at: RecordTime,
    /// The limit that was last logged and reported.
    reported: Option<RequestRate>,
    next_refresh: Moment,
}

/// Records the limits of targets, by the hashes of their names.
///
/// Of two records of a target the later one holds, whatever their order of arrival.
#[derive(Debug, Default)]
pub struct TargetLimits {
    known: HashMap<u64, KnownLimit>,
    pending: VecDeque<(u64, u32)>,
    changes: Vec<LimitChange>,
}

impl TargetLimits {
    /// Records that a response named a limit; returns whether this is a change.
    pub fn record_named(
        &mut self,
        now: Moment,
        target: u64,
        rate: RequestRate,
        report_rounds: u32,
    ) -> bool {
        self.record(now, target, Some(rate), now.into(), LimitSource::Response, report_rounds)
    }

    /// Records that the response to a request sent at `sent` named no limit; returns whether this is a
    /// change.
    ///
    /// The response may have been written at any time since then, so that it ends only a limit that
    /// was named before.
    pub fn record_unlimited(
        &mut self,
        now: Moment,
        target: u64,
        sent: Moment,
        report_rounds: u32,
    ) -> bool {
        self.record(now, target, None, sent.into(), LimitSource::Response, report_rounds)
    }

    /// Records that a response named a limit that is no number of requests a second.
    pub fn record_unreadable(&mut self, target: u64) {
        let (outcome, source) = (LimitOutcome::Unreadable, LimitSource::Response);
        self.changes.push(LimitChange { target, outcome, source, age: Duration::ZERO });
    }

    /// Applies a peer's report, which is passed on in `relay_rounds` rounds of digests if it is a
    /// change; returns whether it is.
    pub fn apply_report(&mut self, now: Moment, report: ReportedLimit, relay_rounds: u32) -> bool {
        let at = RecordTime::before(now, report.age);
        self.record(now, report.target, report.rate, at, LimitSource::Peer, relay_rounds)
    }

    fn record(
        &mut self,
        now: Moment,
        target: u64,
        rate: Option<RequestRate>,
        at: RecordTime,
        source: LimitSource,
        rounds: u32,
    ) -> bool {
        let is_new = !self.known.contains_key(&target);
        if is_new && (rate.is_none() || self.known.len() >= MAX_LIMITS) {
            return false;
        }
        let next_refresh = now + REFRESH_INTERVAL;
        let new = KnownLimit { rate, at, reported: None, next_refresh };
        let known = self.known.entry(target).or_insert(new);
        if !is_new && at <= known.at {
            return false;
        }
        (known.rate, known.at) = (rate, at);
        if !is_reported_change(known.reported, rate) {
            return false;
        }
        known.reported = rate;
        let outcome = rate.map_or(LimitOutcome::Ended, LimitOutcome::Limited);
        self.changes.push(LimitChange { target, outcome, source, age: at.age(now) });
        self.pending.retain(|(pending, _)| *pending != target);
        if rounds > 0 {
            self.pending.push_back((target, rounds));
        }
        true
    }

    /// Returns the reports for the next round of digests.
    pub fn take_reports(&mut self, now: Moment) -> Vec<ReportedLimit> {
        let mut due: Vec<u64> = self.pending.iter().map(|(target, _)| *target).collect();
        self.pending.retain_mut(|(_, rounds)| {
            *rounds -= 1;
            *rounds > 0
        });
        for (target, known) in &mut self.known {
            if known.rate.is_some() && known.next_refresh <= now {
                known.next_refresh = now + REFRESH_INTERVAL;
                due.push(*target);
            }
        }
        due.sort_unstable();
        due.dedup();
        let report = |target: u64| {
            let known = self.known.get(&target)?;
            Some(ReportedLimit { target, rate: known.rate, age: known.at.age(now) })
        };
        due.into_iter().filter_map(report).collect()
    }

    /// Returns the limit of a target, at least one request in four seconds; `None` if it has none.
    pub fn rate(&self, target: u64) -> Option<RequestRate> {
        self.known.get(&target)?.rate.map(|rate| rate.max(MIN_RATE))
    }

    /// Returns how long ago a target last named its limit or the end of it.
    pub fn age(&self, now: Moment, target: u64) -> Option<Duration> {
        self.known.get(&target).map(|known| known.at.age(now))
    }

    /// Returns whether no target has a limit.
    pub fn is_empty(&self) -> bool {
        self.known.values().all(|known| known.rate.is_none())
    }

    /// Forgets old ends of limits, and the limits of targets that are not listed any more.
    pub fn expire(&mut self, now: Moment, is_listed: impl Fn(u64) -> bool) {
        self.known.retain(|target, known| {
            known.at.age(now) < ENDED_RETENTION || (known.rate.is_some() && is_listed(*target))
        });
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<LimitChange> {
        std::mem::take(&mut self.changes)
    }
}

fn is_reported_change(before: Option<RequestRate>, after: Option<RequestRate>) -> bool {
    match (before, after) {
        (Some(before), Some(after)) => {
            let (before, after) = (before.per_second(), after.per_second());
            (before - after).abs() > REPORTED_CHANGE * before
        }
        (before, after) => before != after,
    }
}
