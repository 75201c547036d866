//! What a daemon remembers of a target and of a store.

use cumintrail_types::{Incarnation, Moment, Tokens};

use crate::TargetReport;
use crate::membership::Liveness;
use crate::retry::{Breaker, RetryBudget};

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
    /// Keeps calls away after failures.
    pub breaker: Breaker,
    /// Limits the retries that its failures cause.
    pub retries: RetryBudget,
    /// When it is probed next.
    pub next_probe: Moment,
}

impl TargetState {
    /// Returns the run of the process that was last seen.
    pub fn incarnation(&self) -> Incarnation {
        self.report.map_or(Incarnation(0), |r| r.incarnation)
    }
}

/// Remembers a store.
#[derive(Debug, Clone, Default)]
pub struct StoreState {
    /// Whether it answers.
    pub liveness: Liveness,
    /// The run of its process that was last listed.
    pub incarnation: Option<Incarnation>,
    /// When it is listed next.
    pub next_listing: Moment,
}
