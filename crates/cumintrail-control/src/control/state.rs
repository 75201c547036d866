//! The state that a daemon records of a target and of a store.

use std::time::Duration;

use cumintrail_types::{CallKey, Incarnation, Moment, Tokens, WeightVersion};

use crate::membership::Liveness;
use crate::retry::{CircuitBreaker, RetryBudget};
use crate::store_sync::StoreSync;
use crate::target_limits::Allowance;
use crate::{TargetLoad, TargetReport};

/// Probe intervals between two probes of a live target.
const LIVE_PROBE_INTERVALS: u32 = 2;
/// The age from which a report of loading weights is stale; a load takes one to two seconds once
/// its target is idle.
const LOADING_REPORT_MAX_AGE: Duration = Duration::from_secs(3);

/// The weight of one first token in the smoothed ratio of actual to expected time.
const RATIO_WEIGHT: f64 = 0.1;
/// Bounds of the ratio of one first token, which a burst of calls may have delayed.
const MIN_RATIO: f64 = 0.5;
const MAX_RATIO: f64 = 4.0;
/// The lower bound of expected times in the ratio, so that very short ones do not distort it.
const MIN_EXPECTED_SECONDS: f64 = 0.02;

/// Records the state of a target.
#[derive(Debug, Clone, Default)]
pub struct TargetState {
    /// Whether it responds.
    pub liveness: Liveness,
    /// Its last report.
    pub report: Option<TargetReport>,
    /// When the last report arrived.
    pub report_received: Option<Moment>,
    /// When the target was last found to load weights; a peer that repeats a report found nothing new.
    pub found_loading: Option<Moment>,
    /// Calls of this daemon in flight at it.
    pub in_flight: u32,
    /// Prompt tokens that it is expected to compute for calls of this daemon without a first token.
    pub backlog: Tokens,
    /// When the engine began to compute that backlog, estimated from the events of calls.
    pub prefill_since: Moment,
    /// Calls that are not from this daemon, by the last report or the peers' digests.
    pub foreign_calls: u32,
    /// Prompt tokens that it had to compute for those calls, by the same source.
    pub foreign_backlog: Tokens,
    /// Blocks calls for a time after failures.
    pub breaker: CircuitBreaker,
    /// Limits the retries that its failures cause.
    pub retry_budget: RetryBudget,
    /// The time of its next probe.
    pub next_probe: Moment,
    /// The time of its next probe because it loads weights.
    pub next_load_probe: Moment,
    /// Consecutive probes of this daemon without a response.
    pub missed_probes: u32,
    /// The time of its last response to a probe of this daemon.
    pub last_response: Option<Moment>,
    /// The weight version that a registry lists for it, and when this was received.
    pub registry_version: Option<(WeightVersion, Moment)>,
    /// The time until which other targets are preferred because it refused a call.
    pub avoid_until: Moment,
    /// Whether this incarnation announced in a response that it is leaving, to this daemon or to a
    /// peer.
    pub announced_leaving: bool,
    /// The time until which it wants no requests from this daemon.
    pub quiet_until: Moment,
    /// The requests that this daemon may send to it, if it named a limit.
    pub allowance: Option<Allowance>,
    /// Until when it is cold, if it is known to have been.
    pub cold_until: Option<Moment>,
    /// Whether it is sent requests at this daemon's share of what a cold target takes.
    pub is_cold: bool,
    /// Whether a later process with its id has taken its place.
    pub is_replaced: bool,
    /// Whether another process responds at its address.
    pub address_reused: bool,
    /// The time of the last update of the load that is not from this daemon.
    pub foreign_updated: Option<Moment>,
    /// The expected KV cache tokens of calls of other daemons.
    pub foreign_memory: Tokens,
    /// The expected KV cache tokens of calls of this daemon.
    pub memory: Tokens,
    /// Calls of this daemon without a first token.
    pub pending_first_tokens: Vec<PendingFirstToken>,
    /// The smoothed ratio of the actual to the expected time to the first token; zero before the
    /// first sample.
    pub first_token_ratio: f64,
}

/// Where a report of a target comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportSource {
    /// A probe of about now.
    Probe,
    /// A peer that may pass on an old one again and again.
    Relayed,
}

/// Records a call that has no first token yet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PendingFirstToken {
    /// The call.
    pub call: CallKey,
    /// When it was sent.
    pub sent: Moment,
    /// The expected time to its first token.
    pub expected: Duration,
}

impl TargetState {
    /// Returns the incarnation in the last report; zero without one.
    pub fn incarnation(&self) -> Incarnation {
        self.report.map_or(Incarnation(0), |r| r.incarnation)
    }

    /// Returns the latest known incarnation; `None` if the target never responded.
    ///
    /// A target that responds without a report has no incarnation and counts as incarnation zero.
    pub fn current_incarnation(&self) -> Option<Incarnation> {
        let reported = self.report.map(|r| r.incarnation);
        reported.or(self.last_response.map(|_| Incarnation(0)))
    }

    /// Returns whether a recent report says that the target loads weights.
    pub fn is_loading(&self, now: Moment) -> bool {
        let is_recent = self.found_loading.is_some_and(|at| now.since(at) < LOADING_REPORT_MAX_AGE);
        is_recent && self.report.is_some_and(|report| report.loading)
    }

    /// Records the weight version that a registry lists for the target.
    pub fn set_registry_version(&mut self, now: Moment, version: Option<WeightVersion>) {
        if version != self.registry_version.map(|(known, _)| known) {
            self.registry_version = version.map(|version| (version, now));
        }
    }

    /// Returns the weight version, from a report or a registry.
    pub fn version(&self) -> Option<WeightVersion> {
        self.version_with_time().map(|(version, _)| version)
    }

    /// Returns the weight version with the time at which it was received.
    ///
    /// Versions only rise where a registry lists targets, so that the lower one of report and registry
    /// is the older one, whenever it was received; a report may be that of an earlier process at the
    /// same address.
    pub fn version_with_time(&self) -> Option<(WeightVersion, Moment)> {
        let reported = self.report.map(|r| r.version).filter(|v| v.0 > 0);
        let reported = reported.map(|version| (version, self.report_received.unwrap_or_default()));
        [reported, self.registry_version].into_iter().flatten().max()
    }

    /// Returns the delay before the next probe, in probe intervals.
    ///
    /// A target that missed a probe or is loading weights is probed most often. A target without
    /// calls of this daemon is probed as often as a busy one, since only probes show the calls of
    /// other daemons.
    pub fn probe_intervals(&self) -> u32 {
        match self.report {
            _ if self.liveness != Liveness::Live || self.missed_probes > 0 => 1,
            Some(report) if report.loading => 1,
            _ => LIVE_PROBE_INTERVALS,
        }
    }

    /// Records a report and derives from it the load that is not from this daemon.
    ///
    /// Reports are delayed, so the load of this daemon is taken from its calls in flight.
    pub fn record_report(&mut self, now: Moment, report: TargetReport, source: ReportSource) {
        let state = |r: &TargetReport| (r.incarnation, r.version, r.loading);
        let is_repeated = source == ReportSource::Relayed
            && self.report.is_some_and(|known| state(&known) == state(&report));
        if report.loading && !is_repeated {
            self.found_loading = Some(now);
        }
        self.foreign_calls = (report.running + report.waiting).saturating_sub(self.in_flight);
        self.foreign_backlog = report.prefill_backlog.saturating_sub(self.backlog);
        self.report = Some(report);
        self.report_received = Some(now);
        self.foreign_updated = Some(now);
    }

    /// Records the load of other daemons, as their digests report it.
    pub fn record_foreign_load(&mut self, now: Moment, load: TargetLoad) {
        self.foreign_calls = load.calls;
        self.foreign_backlog = load.backlog;
        self.foreign_memory = load.memory;
        self.foreign_updated = Some(now);
    }

    /// Adds a call that was sent.
    pub fn add_pending_first_token(&mut self, pending: PendingFirstToken, memory: Tokens) {
        self.pending_first_tokens.push(pending);
        self.memory += memory;
    }

    /// Records the first token of a call and updates the ratio of actual to expected time, unless the
    /// daemon was suspended meanwhile.
    pub fn record_first_token(&mut self, now: Moment, resumed_at: Moment, call: CallKey) {
        let Some(at) = self.pending_first_tokens.iter().position(|a| a.call == call) else {
            return;
        };
        let pending = self.pending_first_tokens.swap_remove(at);
        if pending.sent < resumed_at {
            return;
        }
        let elapsed = now.since(pending.sent).as_secs_f64();
        let ratio = elapsed / pending.expected.as_secs_f64().max(MIN_EXPECTED_SECONDS);
        let previous = if self.first_token_ratio > 0.0 { self.first_token_ratio } else { 1.0 };
        let smoothed = previous + RATIO_WEIGHT * (ratio.clamp(MIN_RATIO, MAX_RATIO) - previous);
        self.first_token_ratio = smoothed;
    }

    /// Removes a call that ended, whether or not its first token arrived.
    pub fn remove_call(&mut self, call: CallKey, memory: Tokens) {
        self.pending_first_tokens.retain(|a| a.call != call);
        self.memory = self.memory.saturating_sub(memory);
    }

    /// Returns by how much the most overdue first token exceeds its expected time.
    pub fn overdue(&self, now: Moment) -> Duration {
        let overdue =
            self.pending_first_tokens.iter().map(|a| now.since(a.sent).saturating_sub(a.expected));
        overdue.max().unwrap_or_default()
    }

    /// Returns the expected number of calls at the target, those of this daemon included.
    pub const fn calls(&self) -> u32 {
        self.foreign_calls + self.in_flight
    }

    /// Estimates the prompt tokens that the target still has to compute at `now`.
    pub fn expected_backlog(&self, now: Moment, per_second: u32) -> Tokens {
        let done = |since: Moment| {
            let tokens = now.since(since).as_secs_f64() * f64::from(per_second);
            Tokens(tokens.min(f64::from(u32::MAX)) as u32)
        };
        let own = self.backlog.saturating_sub(done(self.prefill_since));
        let foreign = self
            .foreign_updated
            .map_or(Tokens(0), |at| self.foreign_backlog.saturating_sub(done(at)));
        own + foreign
    }

    /// Estimates the prompt tokens that the target still has to compute for this daemon.
    pub fn own_backlog(&self, now: Moment, per_second: u32) -> Tokens {
        let done = now.since(self.prefill_since).as_secs_f64() * f64::from(per_second);
        self.backlog.saturating_sub(Tokens(done.min(f64::from(u32::MAX)) as u32))
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

/// Records the state of a store.
#[derive(Debug, Clone, Default)]
pub struct StoreState {
    /// Whether it responds.
    pub liveness: Liveness,
    /// The progress of the synchronization with its blocks.
    pub sync: StoreSync,
}
