//! What a daemon remembers of a target and of a store.

use cumintrail_types::{Incarnation, Moment, Tokens, WeightVersion};

use crate::TargetReport;
use crate::following::Following;
use crate::membership::Liveness;
use crate::retry::{Breaker, RetryBudget};

/// Probe intervals between two probes of a target that answers.
const LIVE_INTERVALS: u32 = 2;

/// Remembers a target.
#[derive(Debug, Clone, Default)]
pub struct TargetState {
    /// Whether it answers.
    pub liveness: Liveness,
    /// Its last report.
    pub report: Option<TargetReport>,
    /// When the last report arrived.
    pub reported: Option<Moment>,
    /// Calls that this daemon has out at it.
    pub in_flight: u32,
    /// Prompt tokens that this daemon expects it to compute for calls without a first token.
    pub backlog: Tokens,
    /// When the engine last began to work on that backlog, as far as events tell.
    pub prefill_since: Moment,
    /// Calls of others at the last report.
    pub foreign_calls: u32,
    /// Prompt tokens that it had to compute for others at the last report.
    pub foreign_backlog: Tokens,
    /// Keeps calls away after failures.
    pub breaker: Breaker,
    /// Limits the retries that its failures cause.
    pub retries: RetryBudget,
    /// When it is probed next.
    pub next_probe: Moment,
    /// When it is probed next because it loads weights.
    pub next_load_probe: Moment,
    /// Own probes that it missed in a row.
    pub missed: u32,
    /// When it last answered an own probe.
    pub answered: Option<Moment>,
    /// The version that a registry has for it, and when that was learned.
    pub listed: Option<(WeightVersion, Moment)>,
    /// Until when other targets are preferred, since it refused a call.
    pub avoided: Moment,
    /// Whether another process answers at its address.
    pub gone: bool,
}

impl TargetState {
    /// Returns the run of the process that was last seen.
    pub fn incarnation(&self) -> Incarnation {
        self.report.map_or(Incarnation(0), |r| r.incarnation)
    }

    /// Returns the run that is there now, if anything has been heard of the target.
    ///
    /// A target that answers without a report has no run of its own and counts as run zero.
    pub fn known_run(&self) -> Option<Incarnation> {
        let reported = self.report.map(|r| r.incarnation);
        reported.or(self.answered.map(|_| Incarnation(0)))
    }

    /// Takes the version that a registry has for the target.
    pub fn take_listed(&mut self, now: Moment, version: Option<WeightVersion>) {
        if version != self.listed.map(|(known, _)| known) {
            self.listed = version.map(|version| (version, now));
        }
    }

    /// Returns the weight version that was learned last, from a report or a registry.
    pub fn version(&self) -> Option<WeightVersion> {
        self.versioned().map(|(version, _)| version)
    }

    /// Returns the same with the moment at which it was learned.
    pub fn versioned(&self) -> Option<(WeightVersion, Moment)> {
        let reported = self.report.map(|r| r.version).filter(|v| v.0 > 0);
        let reported = reported.map(|version| (version, self.reported.unwrap_or_default()));
        [reported, self.listed].into_iter().flatten().max_by_key(|(_, at)| *at)
    }

    /// Determines the wait before the next probe, in probe intervals.
    ///
    /// A target that missed a probe or is loading weights is looked at most often. One without
    /// calls is looked at as often as a busy one, since calls of other daemons show only so.
    pub fn probe_intervals(&self) -> u32 {
        match self.report {
            _ if self.liveness != Liveness::Live || self.missed > 0 => 1,
            Some(report) if report.loading => 1,
            _ => LIVE_INTERVALS,
        }
    }

    /// Takes a report, splitting its load into this daemon's calls and those of others.
    ///
    /// A report lags, so the own part is known better from calls that are out.
    pub fn take_load(&mut self, now: Moment, report: TargetReport) {
        self.foreign_calls = (report.running + report.waiting).saturating_sub(self.in_flight);
        self.foreign_backlog = report.prefill_backlog.saturating_sub(self.backlog);
        self.report = Some(report);
        self.reported = Some(now);
    }

    /// Returns the calls that the target probably has, own ones included.
    pub const fn calls(&self) -> u32 {
        self.foreign_calls + self.in_flight
    }

    /// Returns the prompt tokens that the target probably still has to compute at `now`.
    pub fn expected_backlog(&self, now: Moment, per_second: u32) -> Tokens {
        let done = |since: Moment| {
            let tokens = now.since(since).as_secs_f64() * f64::from(per_second);
            Tokens(tokens.min(f64::from(u32::MAX)) as u32)
        };
        let own = self.backlog.saturating_sub(done(self.prefill_since));
        let foreign =
            self.reported.map_or(Tokens(0), |at| self.foreign_backlog.saturating_sub(done(at)));
        own + foreign
    }

    /// Adds the prefill of a call that was just sent.
    pub fn add_prefill(&mut self, now: Moment, tokens: Tokens) {
        if self.backlog == Tokens(0) {
            self.prefill_since = now;
        }
        self.backlog += tokens;
    }

    /// Removes the prefill of a call whose first token arrived or that ended.
    pub fn remove_prefill(&mut self, now: Moment, tokens: Tokens) {
        self.backlog = self.backlog.saturating_sub(tokens);
        self.prefill_since = now;
    }
}

/// Remembers a store.
#[derive(Debug, Clone, Default)]
pub struct StoreState {
    /// Whether it answers.
    pub liveness: Liveness,
    /// How far its blocks are known.
    pub following: Following,
}
