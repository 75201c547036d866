//! How long calls to a plain service occupy a slot.

use std::time::Duration;

use cumintrail_types::DomainKey;
use smallvec::SmallVec;

/// The weight of one call in the smoothed time; a daemon has a few calls a second.
const WEIGHT: f64 = 0.2;
/// The largest ratio of one time to the smoothed one; a call that stalls says nothing about others.
const MAX_RATIO: f64 = 4.0;
/// The shortest time, which bounds the capacity that follows from it.
const MIN_SECONDS: f64 = 1e-4;
/// The number of calls from which the time is used. The first ones may have opened connections.
const MIN_CALLS: u32 = 5;

/// Estimates the time for which calls occupy a slot, for the targets of each failure domain.
#[derive(Debug, Clone, Default)]
pub struct ServiceTimes {
    domains: SmallVec<[(DomainKey, f64); 4]>,
    calls: u32,
}

impl ServiceTimes {
    /// Records the time from the dispatch of a call to the head of its response.
    ///
    /// `load` is the expected number of calls at the target for each of its slots: a call waits until
    /// those before it have ended.
    pub fn record(&mut self, domain: DomainKey, elapsed: Duration, load: f64, objective: Duration) {
        self.calls += 1;
        let seconds = (elapsed.as_secs_f64() / load.max(1.0)).max(MIN_SECONDS);
        if let Some((_, known)) = self.domains.iter_mut().find(|(known, _)| *known == domain) {
            let weight = WEIGHT.max(1.0 / f64::from(self.calls));
            *known += weight * (seconds.min(*known * MAX_RATIO) - *known);
        } else {
            let first = seconds.min(objective.as_secs_f64() / 2.0).max(MIN_SECONDS);
            self.domains.push((domain, first));
        }
    }

    /// Returns the time at the targets of a domain; where no call went, the shortest one elsewhere.
    pub fn get(&self, domain: DomainKey) -> Option<f64> {
        if self.calls < MIN_CALLS {
            return None;
        }
        let known = self.domains.iter().find(|(known, _)| *known == domain);
        let times = || self.domains.iter().map(|(_, seconds)| *seconds);
        known.map(|(_, seconds)| *seconds).or_else(|| times().min_by(f64::total_cmp))
    }
}
