//! Limits of the requests that cold targets get; docs/design/cold-targets.md.

use std::time::Duration;

use cumintrail_types::{Moment, RequestRate};

use crate::target_limits::Tolerance;

/// The part of a second's requests that is kept in reserve for requests that take longer to the
/// target than later ones, so that more arrive in a second than were sent in one.
const TRAVEL_SECONDS: f64 = 0.1;

/// Describes how far the requests of one second may exceed the rate of a cold target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdTolerance {
    /// The factor of the rate.
    pub overage: f64,
    /// The requests beyond the product of rate and factor.
    pub slack: f64,
}

/// Describes how the requests to a cold target are divided.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdDivision {
    /// The requests a second of all senders together.
    pub per_second: f64,
    /// The number of daemons that may send, each of which saves up at most one request.
    pub senders: usize,
}

impl ColdTolerance {
    /// Divides the rate of a cold target so that the requests of any second stay within the
    /// tolerance if all senders have saved up a request and send at once.
    pub fn divide(self, rate: RequestRate) -> ColdDivision {
        let tolerance = Tolerance {
            requests: self.slack,
            seconds: self.overage - 1.0 - TRAVEL_SECONDS,
            credit_seconds: 0.0,
        };
        let senders = tolerance.max_senders(rate).max(1);
        let allowed = rate.per_second().mul_add(self.overage, self.slack);
        // A tolerance without room for one saved request lowers the rate.
        let paced = (allowed - senders as f64) / (1.0 + TRAVEL_SECONDS);
        ColdDivision { per_second: paced.clamp(0.0, rate.per_second()), senders }
    }
}

/// Returns until when a target is cold; `None` if it is not known to have been.
///
/// What its registry entry states holds. Without a statement, a new incarnation is cold for
/// `start_period`.
pub fn cold_until(
    now: Moment,
    known: Option<Moment>,
    stated: Option<Moment>,
    start_period: Option<Duration>,
) -> Option<Moment> {
    stated.or(known).or_else(|| start_period.map(|period| now + period))
}

/// Describes a target that turned cold or warm, for logs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdChange {
    /// The hash of the target's name.
    pub target: u64,
    /// For how long it is cold; `None` if it turned warm.
    pub left: Option<Duration>,
    /// The requests a second that this daemon may send to it while it is cold.
    pub share: f64,
}
