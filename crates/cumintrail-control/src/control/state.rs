//! What a daemon remembers of a target and of a store.

use std::time::Duration;

use cumintrail_types::{CallKey, Incarnation, Moment, Tokens, WeightVersion};

use crate::membership::Liveness;
use crate::retry::{CircuitBreaker, RetryBudget};
use crate::store_sync::StoreSync;
use crate::{TargetLoad, TargetReport};

/// Probe intervals between two probes of a target that answers.
const LIVE_PROBE_INTERVALS: u32 = 2;
/// How long a report of loading counts: a load takes a second or two once its target is idle.
const LOADING_REPORT_MAX_AGE: Duration = Duration::from_secs(3);

/// How much one first token changes the learned pace.
const RATIO_WEIGHT: f64 = 0.1;
/// Bounds of the ratio that one first token teaches, since it may have met a burst.
const MIN_RATIO: f64 = 0.5;
const MAX_RATIO: f64 = 4.0;
/// Expected times are taken for at least this many seconds.
const MIN_EXPECTED_SECONDS: f64 = 0.02;

/// Remembers a target.
#[derive(Debug, Clone, Default)]
pub struct TargetState {
    /// Whether it answers.
    pub liveness: Liveness,
    /// Its last report.
    pub report: Option<TargetReport>,
    /// When the last report arrived.
    pub report_received: Option<Moment>,
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
    pub breaker: CircuitBreaker,
    /// Limits the retries that its failures cause.
    pub retry_budget: RetryBudget,
    /// When it is probed next.
    pub next_probe: Moment,
    /// When it is probed next because it loads weights.
    pub next_load_probe: Moment,
    /// Own probes that it missed in a row.
    pub missed_probes: u32,
    /// When it last answered an own probe.
    pub last_response: Option<Moment>,
    /// The version that a registry has for it, and when that was learned.
    pub registry_version: Option<(WeightVersion, Moment)>,
    /// Until when other targets are preferred, since it refused a call.
    pub avoid_until: Moment,
    /// Whether another process answers at its address.
    pub address_reused: bool,
    /// When the load of others was last told.
    pub foreign_updated: Option<Moment>,
    /// Tokens that take memory there for calls of others.
    pub foreign_memory: Tokens,
    /// Tokens that take memory there for calls of this daemon.
    pub memory: Tokens,
    /// Own calls without a first token: when each was sent and when that was expected.
    pub pending_first_tokens: Vec<PendingFirstToken>,
    /// How much longer first tokens take than expected, smoothed; zero before any was seen.
    pub first_token_ratio: f64,
}

/// Remembers a call whose first token is awaited.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PendingFirstToken {
    /// The call.
    pub call: CallKey,
    /// When it was sent.
    pub sent: Moment,
    /// The time that its first token was expected to take.
    pub expected: Duration,
}

impl TargetState {
    /// Returns the run of the process that was last seen.
    pub fn incarnation(&self) -> Incarnation {
        self.report.map_or(Incarnation(0), |r| r.incarnation)
    }

    /// Returns the run that is there now, if anything has been heard of the target.
    ///
    /// A target that answers without a report has no run of its own and counts as run zero.
    pub fn current_incarnation(&self) -> Option<Incarnation> {
        let reported = self.report.map(|r| r.incarnation);
        reported.or(self.last_response.map(|_| Incarnation(0)))
    }

    /// Tells whether the target was lately reported to load weights.
    pub fn is_loading(&self, now: Moment) -> bool {
        let lately = self.report_received.is_some_and(|at| now.since(at) < LOADING_REPORT_MAX_AGE);
        lately && self.report.is_some_and(|report| report.loading)
    }

    /// Takes the version that a registry has for the target.
    pub fn set_registry_version(&mut self, now: Moment, version: Option<WeightVersion>) {
        if version != self.registry_version.map(|(known, _)| known) {
            self.registry_version = version.map(|version| (version, now));
        }
    }

    /// Returns the weight version that was learned last, from a report or a registry.
    pub fn version(&self) -> Option<WeightVersion> {
        self.version_with_time().map(|(version, _)| version)
    }

    /// Returns the same with the moment at which it was learned.
    pub fn version_with_time(&self) -> Option<(WeightVersion, Moment)> {
        let reported = self.report.map(|r| r.version).filter(|v| v.0 > 0);
        let reported = reported.map(|version| (version, self.report_received.unwrap_or_default()));
        [reported, self.registry_version].into_iter().flatten().max_by_key(|(_, at)| *at)
    }

    /// Determines the wait before the next probe, in probe intervals.
    ///
    /// A target that missed a probe or is loading weights is looked at most often. One without
    /// calls is looked at as often as a busy one, since calls of other daemons show only so.
    pub fn probe_intervals(&self) -> u32 {
        match self.report {
            _ if self.liveness != Liveness::Live || self.missed_probes > 0 => 1,
            Some(report) if report.loading => 1,
            _ => LIVE_PROBE_INTERVALS,
        }
    }

    /// Takes a report, splitting its load into this daemon's calls and those of others.
    ///
    /// A report lags, so the own part is known better from calls that are out.
    pub fn record_report(&mut self, now: Moment, report: TargetReport) {
        self.foreign_calls = (report.running + report.waiting).saturating_sub(self.in_flight);
        self.foreign_backlog = report.prefill_backlog.saturating_sub(self.backlog);
        self.report = Some(report);
        self.report_received = Some(now);
        self.foreign_updated = Some(now);
    }

    /// Takes what peers told that they have out there.
    pub fn record_foreign_load(&mut self, now: Moment, load: TargetLoad) {
        self.foreign_calls = load.calls;
        self.foreign_backlog = load.backlog;
        self.foreign_memory = load.memory;
        self.foreign_updated = Some(now);
    }

    /// Notes a call that was sent.
    pub fn add_pending_first_token(&mut self, awaited: PendingFirstToken, memory: Tokens) {
        self.pending_first_tokens.push(awaited);
        self.memory += memory;
    }

    /// Notes that the first token of a call arrived, and learns from the time that it took.
    pub fn record_first_token(&mut self, now: Moment, call: CallKey) {
        let Some(at) = self.pending_first_tokens.iter().position(|a| a.call == call) else {
            return;
        };
        let awaited = self.pending_first_tokens.swap_remove(at);
        let took = now.since(awaited.sent).as_secs_f64();
        let ratio = took / awaited.expected.as_secs_f64().max(MIN_EXPECTED_SECONDS);
        let old = if self.first_token_ratio > 0.0 { self.first_token_ratio } else { 1.0 };
        let learned = old + RATIO_WEIGHT * (ratio.clamp(MIN_RATIO, MAX_RATIO) - old);
        self.first_token_ratio = learned;
    }

    /// Notes that a call ended, whether or not its first token arrived.
    pub fn remove_call(&mut self, call: CallKey, memory: Tokens) {
        self.pending_first_tokens.retain(|a| a.call != call);
        self.memory = self.memory.saturating_sub(memory);
    }

    /// Returns how long the first token that is most overdue is late.
    pub fn overdue(&self, now: Moment) -> Duration {
        let late =
            self.pending_first_tokens.iter().map(|a| now.since(a.sent).saturating_sub(a.expected));
        late.max().unwrap_or_default()
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
        let foreign = self
            .foreign_updated
            .map_or(Tokens(0), |at| self.foreign_backlog.saturating_sub(done(at)));
        own + foreign
    }

    /// Returns the prompt tokens that the target probably still has to compute for this daemon.
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

/// Remembers a store.
#[derive(Debug, Clone, Default)]
pub struct StoreState {
    /// Whether it answers.
    pub liveness: Liveness,
    /// How far its blocks are known.
    pub sync: StoreSync,
}
