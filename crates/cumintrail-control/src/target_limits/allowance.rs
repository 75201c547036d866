//! The requests that one daemon may send to a target with a limit.

use std::time::Duration;

use cumintrail_types::Moment;

/// Makes up for rounding where credit grew to one request.
const ROUNDING: f64 = 1e-6;

/// Accumulates credit for requests at a daemon's share of a limit.
#[derive(Debug, Clone, Copy)]
pub struct Allowance {
    /// The share, in requests a second.
    share: f64,
    /// The time for which unused credit grows beyond one request, as in
    /// [`Tolerance`](super::Tolerance).
    credit_seconds: f64,
    /// The number of requests that may be sent at `updated`.
    credit: f64,
    updated: Moment,
}

impl Allowance {
    /// Creates an allowance with some credit, at most one request, that saves up credit for this
    /// time beyond one request.
    ///
    /// Daemons learn of a limit at about the same time, so that each should begin with another
    /// credit.
    pub const fn new(now: Moment, share: f64, credit_seconds: f64, credit: f64) -> Self {
        Self { share, credit_seconds, credit, updated: now }
    }

    /// Changes the share and the time for which credit is saved up from now on.
    pub fn set_share(&mut self, now: Moment, share: f64, credit_seconds: f64) {
        (self.credit, self.updated) = (self.credit_at(now), now);
        (self.share, self.credit_seconds) = (share, credit_seconds);
    }

    /// Returns whether credit grows to one request only.
    pub fn saves_nothing(&self) -> bool {
        self.credit_seconds <= 0.0
    }

    /// Returns the share, in requests a second.
    pub const fn share(&self) -> f64 {
        self.share
    }

    /// Returns the number of requests that may be sent now; it may have a fraction.
    pub fn credit_at(&self, now: Moment) -> f64 {
        let limit = self.share.mul_add(self.credit_seconds, 1.0);
        let earned = self.share * now.since(self.updated).as_secs_f64();
        // Credit from before a smaller share stays.
        (self.credit + earned).min(limit.max(self.credit))
    }

    /// Returns whether a request may be sent now.
    pub fn is_available(&self, now: Moment) -> bool {
        self.credit_at(now) + ROUNDING >= 1.0
    }

    /// Returns the time until a request may be sent; `None` without a share.
    pub fn wait(&self, now: Moment) -> Option<Duration> {
        if self.is_available(now) {
            return Some(Duration::ZERO);
        }
        let missing = 1.0 - self.credit_at(now);
        Duration::try_from_secs_f64(missing / self.share).ok()
    }

    /// Pays for a request that is sent now.
    pub fn withdraw(&mut self, now: Moment) {
        (self.credit, self.updated) = (self.credit_at(now) - 1.0, now);
    }

    /// Gives back the credit for a request that was not sent, up to what may be saved.
    pub fn refund(&mut self, now: Moment) {
        let limit = self.share.mul_add(self.credit_seconds, 1.0);
        let credit = self.credit_at(now);
        (self.credit, self.updated) = ((credit + 1.0).min(limit.max(credit)), now);
    }
}
