//! The calls a second that arrive in each failure domain for each plain service.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_types::{Moment, RequestRate};

/// The time over which arrivals are averaged; short, so that calls are back in their domain within a
/// second.
const AVERAGING_SECONDS: f64 = 0.5;
/// The age up to which a demand counts. Where digests go around all domains, it is a second old.
const DEMAND_MAX_AGE: Duration = Duration::from_secs(3);
/// The weight of a new report in the demand of another domain, as each reporter has heard of other
/// daemons.
const REPORT_WEIGHT: f64 = 0.5;

/// Estimates the present rate of calls.
#[derive(Debug, Clone, Copy, Default)]
pub struct RecentRate {
    per_second: f64,
    updated: Moment,
}

impl RecentRate {
    /// Counts a call.
    pub fn record(&mut self, now: Moment) {
        self.per_second = self.per_second(now) + 1.0 / AVERAGING_SECONDS;
        self.updated = now;
    }

    /// Returns the calls a second.
    pub fn per_second(&self, now: Moment) -> f64 {
        self.per_second * (-now.since(self.updated).as_secs_f64() / AVERAGING_SECONDS).exp()
    }
}

/// Reports the calls a second that a failure domain has to serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainDemand {
    /// The failure domain of the daemons at which they arrive.
    pub domain: Arc<str>,
    /// The hash of the service's name.
    pub service_hash: u64,
    /// The calls a second.
    pub rate: RequestRate,
    /// How long ago a daemon of the domain estimated them.
    pub age: Duration,
}

/// Records the demand of each failure domain.
#[derive(Debug, Clone, Default)]
pub struct DomainDemands(HashMap<(u64, Arc<str>), (f64, Moment)>);

impl DomainDemands {
    /// Records the demand of the own domain.
    pub fn set(&mut self, now: Moment, service_hash: u64, domain: &Arc<str>, per_second: f64) {
        self.0.insert((service_hash, domain.clone()), (per_second, now));
    }

    /// Records a peer's report, unless a later one is known.
    pub fn record(&mut self, now: Moment, report: &DomainDemand) {
        let (at, new) = (now - report.age, report.rate.per_second());
        let known = self.0.entry((report.service_hash, report.domain.clone()));
        let (value, known_at) = known.or_insert((new, at));
        if at > *known_at {
            let is_recent = now.since(*known_at) < DEMAND_MAX_AGE;
            let weight = if is_recent { REPORT_WEIGHT } else { 1.0 };
            *value += weight * (new - *value);
            *known_at = at;
        }
    }

    /// Returns the demand of a domain, if a recent one is known.
    pub fn get(&self, now: Moment, service_hash: u64, domain: &Arc<str>) -> Option<f64> {
        let (value, at) = self.0.get(&(service_hash, domain.clone()))?;
        (now.since(*at) < DEMAND_MAX_AGE).then_some(*value)
    }

    /// Returns the reports for peers, and forgets outdated demands.
    pub fn reports(&mut self, now: Moment) -> Vec<DomainDemand> {
        self.0.retain(|_, (_, at)| now.since(*at) < DEMAND_MAX_AGE);
        let report = |((service_hash, domain), (value, at)): (&(u64, Arc<str>), &(f64, Moment))| {
            let (rate, age) = (RequestRate::from_per_second(*value), now.since(*at));
            DomainDemand { domain: domain.clone(), service_hash: *service_hash, rate, age }
        };
        self.0.iter().map(report).collect()
    }
}
