//! Whether and when a broken attempt gets a successor, and which targets get no attempts.

use std::time::Duration;

use cumintrail_types::{Moment, Ran, Refusal, RefusalCode};
use rand::Rng;

use crate::{AttemptOutcome, Call};

/// Attempts of a call whose route names no limit.
const MAX_ATTEMPTS: u8 = 3;
/// Attempts beyond a route's limit that may end without having run.
const EXTRA_UNEXECUTED_ATTEMPTS: u8 = 2;
const TARGET_RETRY_CAPACITY: u32 = 5;
const BACKOFF_BASE: Duration = Duration::from_millis(20);
const RETRY_AFTER: Duration = Duration::from_secs(1);
const OPEN_AFTER_FAILURES: u32 = 3;
const OPEN_INTERVAL_BASE: Duration = Duration::from_secs(1);
const MAX_OPEN_DOUBLINGS: u32 = 5;

/// Says how many retries a daemon may add to its calls; docs/DESIGN.md, "Relayed calls".
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryPolicy {
    /// The calls that earn one retry.
    pub calls_per_retry: u32,
    /// The earned retries that one daemon can save up.
    pub capacity: u32,
    /// The earned retries that all daemons together can save up.
    pub deployment_capacity: u32,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self { calls_per_retry: 5, capacity: 20, deployment_capacity: u32::MAX }
    }
}

impl RetryPolicy {
    /// Returns what one of so many daemons may save up; each can save one retry.
    #[must_use]
    pub fn per_daemon(self, daemons: usize) -> Self {
        let share = self.deployment_capacity as usize / daemons.max(1);
        Self { capacity: self.capacity.min(share as u32).max(1), ..self }
    }
}

/// Limits retries to a share of calls, so that failures cause no storm.
///
/// In any span of time there are at most the retries that its calls earned and those saved up.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Calls that earned no retry yet.
    balance: u32,
    policy: RetryPolicy,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::full(RetryPolicy::default())
    }
}

impl RetryBudget {
    /// Makes the budget for retries that one target's failures cause.
    pub fn for_target() -> Self {
        Self::full(RetryPolicy { capacity: TARGET_RETRY_CAPACITY, ..RetryPolicy::default() })
    }

    /// Makes a budget with all that can be saved up.
    pub const fn full(policy: RetryPolicy) -> Self {
        Self { balance: policy.capacity * policy.calls_per_retry, policy }
    }

    /// Changes what can be saved up; what is beyond it is lost.
    pub fn set_policy(&mut self, policy: RetryPolicy) {
        self.policy = policy;
        self.balance = self.balance.min(policy.capacity * policy.calls_per_retry);
    }

    /// Notes a call, which earns a part of a retry.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + 1).min(self.policy.capacity * self.policy.calls_per_retry);
    }

    /// Tells whether a retry is left.
    pub const fn has_retry(&self) -> bool {
        self.balance >= self.policy.calls_per_retry
    }

    /// Takes one retry, if any is left.
    pub const fn withdraw(&mut self) -> bool {
        let enough = self.has_retry();
        if enough {
            self.balance -= self.policy.calls_per_retry;
        }
        enough
    }
}

/// Tells whether a call may be sent again at `due` after `outcome`.
pub fn may_retry(call: &Call, outcome: AttemptOutcome, due: Moment) -> bool {
    let in_time = call.arrival.deadline.since(due) > Duration::ZERO;
    let repeatable = match outcome {
        AttemptOutcome::NotSent | AttemptOutcome::RefusedByTarget { .. } => true,
        AttemptOutcome::Failed { .. } => call.arrival.class.is_repeatable(),
        AttemptOutcome::Answered(_) | AttemptOutcome::Settled => false,
    };
    repeatable && in_time && has_attempt_left(call)
}

/// Tells whether the limit of attempts leaves one; those that did not run count less.
fn has_attempt_left(call: &Call) -> bool {
    match call.arrival.terms.attempts {
        Some(limit) => {
            call.possible_executions() < limit
                && call.attempts() < limit.saturating_add(EXTRA_UNEXECUTED_ATTEMPTS)
        }
        None => call.attempts() < MAX_ATTEMPTS,
    }
}

/// Returns the wait before the attempt after number `attempts`: it doubles, with jitter so that
/// calls that broke together do not return together.
pub fn backoff(attempts: u8, rng: &mut impl Rng) -> Duration {
    let doubled = BACKOFF_BASE * 2_u32.pow(u32::from(attempts.clamp(1, MAX_ATTEMPTS)) - 1);
    doubled.mul_f64(rng.random_range(0.5..1.5))
}

/// Refuses a call that is given up; names when to come back unless a repeat could run it twice.
pub fn refusal_for(call: &Call, code: RefusalCode) -> Refusal {
    let ran = call.ran();
    let repeatable = ran == Ran::No || call.arrival.class.is_repeatable();
    Refusal { code, ran, retry_after: repeatable.then_some(RETRY_AFTER) }
}

/// Tells how an attempt speaks for its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthSignal {
    /// The target answered in full.
    Success,
    /// The target could not be reached, broke off or stayed silent.
    Failure,
    /// Nothing can be said.
    Inconclusive,
}

impl From<AttemptOutcome> for HealthSignal {
    fn from(outcome: AttemptOutcome) -> Self {
        match outcome {
            AttemptOutcome::Answered(_) => Self::Success,
            AttemptOutcome::NotSent | AttemptOutcome::Failed { .. } => Self::Failure,
            AttemptOutcome::RefusedByTarget { .. } | AttemptOutcome::Settled => Self::Inconclusive,
        }
    }
}

/// Keeps calls away from a target that fails, and lets a single one through to try it again.
#[derive(Debug, Clone)]
pub struct CircuitBreaker {
    failures: u32,
    open_until: Moment,
    trial_in_flight: bool,
    /// How often the pause between two trials doubles.
    max_doublings: u32,
}

impl Default for CircuitBreaker {
    fn default() -> Self {
        Self::with_max_doublings(MAX_OPEN_DOUBLINGS)
    }
}

impl CircuitBreaker {
    /// Makes a closed breaker whose pause between two trials doubles at most so often.
    pub const fn with_max_doublings(max_doublings: u32) -> Self {
        Self { failures: 0, open_until: Moment(0), trial_in_flight: false, max_doublings }
    }

    /// Tells whether the target may get a call now.
    pub fn allows(&self, now: Moment) -> bool {
        !self.is_open() || (now >= self.open_until && !self.trial_in_flight)
    }

    /// Notes that an attempt was ordered; while the breaker is open, it is the only one.
    pub const fn record_start(&mut self) {
        self.trial_in_flight = self.is_open();
    }

    /// Notes how an attempt ended.
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

    /// Returns the failures in a row.
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns when a call may try the target again.
    pub const fn open_until(&self) -> Moment {
        self.open_until
    }

    const fn is_open(&self) -> bool {
        self.failures >= OPEN_AFTER_FAILURES
    }
}
