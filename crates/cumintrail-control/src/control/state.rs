//! What a daemon remembers of a target and of a store.

use std::time::Duration;

use cumintrail_types::{CallKey, Incarnation, Moment, Tokens, WeightVersion};

use crate::membership::Liveness;
use crate::retry::{CircuitBreaker, RetryBudget};
use crate::store_sync::StoreSync;
use crate::{TargetLoad, TargetReport};

/// Probe intervals between two probes of a target that answers.
const LIVE_INTERVALS: u32 = 2;
/// How long a report of loading counts: a load takes a second or two once its target is idle.
const LOADING_LIFE: Duration = Duration::from_secs(3);

/// How much one first token changes the learned pace.
const PACE_STEP: f64 = 0.1;
/// Bounds of the ratio that one first token teaches, since it may have met a burst.
const FASTEST_PACE: f64 = 0.5;
const SLOWEST_PACE: f64 = 4.0;
/// Expected times are taken for at least this many seconds.
const SHORTEST_EXPECTED: f64 = 0.02;

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
    pub breaker: CircuitBreaker,
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
    /// When the load of others was last told.
    pub foreign_at: Option<Moment>,
    /// Tokens that take memory there for calls of others.
    pub foreign_memory: Tokens,
    /// Tokens that take memory there for calls of this daemon.
    pub memory: Tokens,
    /// Own calls without a first token: when each was sent and when that was expected.
    pub awaited: Vec<Awaited>,
    /// How much longer first tokens take than expected, smoothed; zero before any was seen.
    pub pace: f64,
}

/// Remembers a call whose first token is awaited.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Awaited {
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
    pub fn known_run(&self) -> Option<Incarnation> {
        let reported = self.report.map(|r| r.incarnation);
        reported.or(self.answered.map(|_| Incarnation(0)))
    }

    /// Tells whether the target was lately reported to load weights.
    pub fn is_loading(&self, now: Moment) -> bool {
        let lately = self.reported.is_some_and(|at| now.since(at) < LOADING_LIFE);
        lately && self.report.is_some_and(|report| report.loading)
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
        self.foreign_at = Some(now);
    }

    /// Takes what peers told that they have out there.
    pub fn take_foreign(&mut self, now: Moment, load: TargetLoad) {
        self.foreign_calls = load.calls;
        self.foreign_backlog = load.backlog;
        self.foreign_memory = load.memory;
        self.foreign_at = Some(now);
    }

    /// Notes a call that was sent.
    pub fn await_first(&mut self, awaited: Awaited, memory: Tokens) {
        self.awaited.push(awaited);
        self.memory += memory;
    }

    /// Notes that the first token of a call arrived, and learns from the time that it took.
    pub fn take_first(&mut self, now: Moment, call: CallKey) {
        let Some(at) = self.awaited.iter().position(|a| a.call == call) else {
            return;
        };
        let awaited = self.awaited.swap_remove(at);
        let took = now.since(awaited.sent).as_secs_f64();
        let ratio = took / awaited.expected.as_secs_f64().max(SHORTEST_EXPECTED);
        let old = if self.pace > 0.0 { self.pace } else { 1.0 };
        let learned = old + PACE_STEP * (ratio.clamp(FASTEST_PACE, SLOWEST_PACE) - old);
        self.pace = learned;
    }

    /// Notes that a call ended, whether or not its first token arrived.
    pub fn settle(&mut self, call: CallKey, memory: Tokens) {
        self.awaited.retain(|a| a.call != call);
        self.memory = self.memory.saturating_sub(memory);
    }

    /// Returns how long the first token that is most overdue is late.
    pub fn overdue(&self, now: Moment) -> Duration {
        let late = self.awaited.iter().map(|a| now.since(a.sent).saturating_sub(a.expected));
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
        let foreign =
            self.foreign_at.map_or(Tokens(0), |at| self.foreign_backlog.saturating_sub(done(at)));
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
    pub following: StoreSync,
}
