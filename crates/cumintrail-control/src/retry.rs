//! Whether and when a failed attempt is retried, and which targets get no attempts.

use std::time::Duration;

use cumintrail_types::{Moment, Ran, Refusal, RefusalCode};
use rand::Rng;

use crate::{AttemptOutcome, Call};

/// Attempts of a call whose route declares no limit.
const MAX_ATTEMPTS: u8 = 3;
/// Attempts allowed beyond a route's limit, to make up for attempts that did not run.
const EXTRA_UNEXECUTED_ATTEMPTS: u8 = 2;
const TARGET_RETRY_CAPACITY: u32 = 5;
const BACKOFF_BASE: Duration = Duration::from_millis(20);
const RETRY_AFTER: Duration = Duration::from_secs(1);
const OPEN_AFTER_FAILURES: u32 = 3;
const OPEN_INTERVAL_BASE: Duration = Duration::from_secs(1);
const MAX_OPEN_DOUBLINGS: u32 = 5;

/// Limits the retries that a daemon adds to its calls; docs/DESIGN.md, "Relayed calls".
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryPolicy {
    /// The number of calls that earn one retry.
    pub calls_per_retry: u32,
    /// The maximum number of unused retries of one daemon.
    pub capacity: u32,
    /// The maximum number of unused retries of all daemons together.
    pub deployment_capacity: u32,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self { calls_per_retry: 5, capacity: 20, deployment_capacity: u32::MAX }
    }
}

impl RetryPolicy {
    /// Divides the capacity of the deployment by `daemons`; each daemon gets at least one retry and
    /// at most `capacity`.
    #[must_use]
    pub fn per_daemon(self, daemons: usize) -> Self {
        let share = self.deployment_capacity as usize / daemons.max(1);
        Self { capacity: self.capacity.min(share as u32).max(1), ..self }
    }
}

/// Limits retries to a fraction of calls, which prevents retry storms when targets fail.
///
/// Over any period it grants at most `capacity` retries plus those earned by calls of the period.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Credit, counted in calls; a retry costs `calls_per_retry`.
    balance: u32,
    policy: RetryPolicy,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::full(RetryPolicy::default())
    }
}

impl RetryBudget {
    /// Creates a full budget for the retries that failures of one target cause.
    pub fn for_target() -> Self {
        Self::full(RetryPolicy { capacity: TARGET_RETRY_CAPACITY, ..RetryPolicy::default() })
    }

    /// Creates a budget with the maximum number of unused retries.
    pub const fn full(policy: RetryPolicy) -> Self {
        Self { balance: policy.capacity * policy.calls_per_retry, policy }
    }

    /// Replaces the policy; credit beyond the new capacity is lost.
    pub fn set_policy(&mut self, policy: RetryPolicy) {
        self.policy = policy;
        self.balance = self.balance.min(policy.capacity * policy.calls_per_retry);
    }

    /// Records a call, which earns a fraction of a retry.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + 1).min(self.policy.capacity * self.policy.calls_per_retry);
    }

    /// Returns whether the credit covers a retry.
    pub const fn has_retry(&self) -> bool {
        self.balance >= self.policy.calls_per_retry
    }

    /// Pays for one retry; returns whether the credit covered it.
    pub const fn withdraw(&mut self) -> bool {
        let enough = self.has_retry();
        if enough {
            self.balance -= self.policy.calls_per_retry;
        }
        enough
    }
}

/// Returns whether a call may be dispatched again at `due` after an attempt ended with `outcome`.
pub fn may_retry(call: &Call, outcome: AttemptOutcome, due: Moment) -> bool {
    let in_time = call.arrival.deadline.since(due) > Duration::ZERO;
    let repeatable = match outcome {
        AttemptOutcome::NotSent
        | AttemptOutcome::NoConnection
        | AttemptOutcome::Unidentified { .. }
        | AttemptOutcome::Abandoned { was_sent: false, .. }
        | AttemptOutcome::RefusedByTarget { .. } => true,
        AttemptOutcome::Failed { can_continue }
        | AttemptOutcome::Abandoned { can_continue, .. } => {
            can_continue && call.arrival.class.is_repeatable()
        }
        AttemptOutcome::Completed(_) | AttemptOutcome::RespondedLocally => false,
    };
    repeatable && in_time && has_attempt_left(call)
}

/// Returns whether the limit allows another attempt.
///
/// Attempts that did not run may exceed a route's limit by [`EXTRA_UNEXECUTED_ATTEMPTS`].
fn has_attempt_left(call: &Call) -> bool {
    match call.arrival.options.max_attempts {
        Some(limit) => {
            call.possible_executions() < limit
                && call.attempts() < limit.saturating_add(EXTRA_UNEXECUTED_ATTEMPTS)
        }
        None => call.attempts() < MAX_ATTEMPTS,
    }
}

/// Returns the delay before the attempt that follows attempt number `attempts`.
///
/// The delay doubles with each attempt. Jitter spreads the retries of calls that failed together.
pub fn backoff(attempts: u8, rng: &mut impl Rng) -> Duration {
    let doubled = BACKOFF_BASE * 2_u32.pow(u32::from(attempts.clamp(1, MAX_ATTEMPTS)) - 1);
    doubled.mul_f64(rng.random_range(0.5..1.5))
}

/// Returns the refusal of a call that gets no further attempt.
///
/// The refusal carries a delay for the caller's retry if the call did not run or is repeatable.
pub fn refusal_for(call: &Call, code: RefusalCode) -> Refusal {
    let ran = call.ran();
    let repeatable = ran == Ran::No || call.arrival.class.is_repeatable();
    Refusal { code, ran, retry_after: repeatable.then_some(RETRY_AFTER) }
}

/// Describes what the end of an attempt shows about the health of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthSignal {
    /// The target sent a complete response.
    Success,
    /// The target could not be reached, closed the connection early or stayed silent.
    Failure,
    /// The attempt neither proves nor disproves that the target works.
    Inconclusive,
}

impl From<AttemptOutcome> for HealthSignal {
    fn from(outcome: AttemptOutcome) -> Self {
        match outcome {
            AttemptOutcome::Completed(_) => Self::Success,
            AttemptOutcome::NotSent
            | AttemptOutcome::NoConnection
            | AttemptOutcome::Failed { .. } => Self::Failure,
            AttemptOutcome::Unidentified { .. }
            | AttemptOutcome::Abandoned { .. }
            | AttemptOutcome::RefusedByTarget { .. }
            | AttemptOutcome::RespondedLocally => Self::Inconclusive,
        }
    }
}

/// Stops calls to a target that fails repeatedly, and admits one trial call at a time afterwards.
#[derive(Debug, Clone)]
pub struct CircuitBreaker {
    failures: u32,
    open_until: Moment,
    trial_in_flight: bool,
    /// How often the interval between two trials doubles at most.
    max_doublings: u32,
}

impl Default for CircuitBreaker {
    fn default() -> Self {
        Self::with_max_doublings(MAX_OPEN_DOUBLINGS)
    }
}

impl CircuitBreaker {
    /// Creates a closed breaker whose interval between two trials doubles at most `max_doublings`
    /// times.
    pub const fn with_max_doublings(max_doublings: u32) -> Self {
        Self { failures: 0, open_until: Moment(0), trial_in_flight: false, max_doublings }
    }

    /// Returns whether the target may get a call now.
    pub fn allows(&self, now: Moment) -> bool {
        !self.is_open() || (now >= self.open_until && !self.trial_in_flight)
    }

    /// Records the start of an attempt; while the breaker is open, this attempt is the trial.
    pub const fn record_start(&mut self) {
        self.trial_in_flight = self.is_open();
    }

    /// Records the end of an attempt; failures in a row open the breaker, a success closes it.
    pub fn record_end(&mut self, now: Moment, health: HealthSignal, rng: &mut impl Rng) {
        self.trial_in_flight = false;
        match health {
            HealthSignal::Success => *self = Self::with_max_doublings(self.max_doublings),
            HealthSignal::Inconclusive => {}
            HealthSignal::Failure => {
                self.failures = self.failures.saturating_add(1);
                if self.is_open() {
                    let doublings = (self.failures - OPEN_AFTER_FAILURES).min(self.max_doublings);
                    let open_for = OPEN_INTERVAL_BASE * 2_u32.pow(doublings);
                    self.open_until = now + open_for.mul_f64(rng.random_range(0.8..1.2));
                }
            }
        }
    }

    /// Returns the number of failures since the last success.
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns when an open breaker admits its next trial; in the past for a closed one.
    pub const fn open_until(&self) -> Moment {
        self.open_until
    }

    const fn is_open(&self) -> bool {
        self.failures >= OPEN_AFTER_FAILURES
    }
}
