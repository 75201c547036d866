//! Whether a broken attempt gets a successor.

use std::time::Duration;

use cumintrail_types::{CallClass, Moment};

use crate::{AttemptOutcome, Call};

const MAX_ATTEMPTS: u8 = 3;
const BUDGET_PER_CALL: f64 = 0.2;
const BUDGET_CAP: f64 = 20.0;

/// Limits retries to a share of calls, so that failures cause no storm.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: BUDGET_CAP }
    }
}

impl RetryBudget {
    /// Notes a new call, which earns a part of a retry.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + BUDGET_PER_CALL).min(BUDGET_CAP);
    }

    /// Takes one retry, if any is left.
    pub fn withdraw(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}

/// Tells whether a call may be sent again after `outcome`.
pub fn may_retry(call: &Call, outcome: AttemptOutcome, now: Moment) -> bool {
    let in_time = call.arrival.deadline.since(now) > Duration::ZERO;
    let repeatable = match outcome {
        AttemptOutcome::NotSent | AttemptOutcome::RefusedByTarget { .. } => true,
        AttemptOutcome::Failed { .. } => call.arrival.class != CallClass::Once,
        AttemptOutcome::Answered(_) | AttemptOutcome::Settled => false,
    };
    repeatable && in_time && call.attempts() < MAX_ATTEMPTS
}
