//! Spillover of calls to plain services between failure domains; docs/design/spillover.md.

mod demand;
mod service_time;

use std::sync::Arc;
use std::time::Duration;

use cumintrail_types::DomainKey;
use smallvec::SmallVec;

pub use self::demand::{DomainDemand, DomainDemands, RecentRate};
pub use self::service_time::ServiceTimes;

/// The fraction of its slots that a domain keeps busy where the objective leaves little time to wait.
const MIN_UTILIZATION: f64 = 0.5;
/// The fraction of its slots that a domain keeps busy at most. Beyond it, waits grow faster than
/// digests report them.
const MAX_UTILIZATION: f64 = 0.9;
/// The ratio of a wait that one call in twenty exceeds to the mean wait, as for exponential waits.
const LONG_WAIT_FACTOR: f64 = 3.0;
/// The time in which calls that wait beyond the objective are to leave a domain.
///
/// Several rounds of digests, so that the queue is not corrected again before a correction shows.
const DRAIN_SECONDS: f64 = 0.5;
/// Megabytes of a typical response; those of both deployments have 0.2 to 3 KB.
const RESPONSE_MEGABYTES: f64 = 0.001;
/// Delay of a call to another domain: two round trips of 1.8 ms, less those within a domain.
const CROSSING_SECONDS: f64 = 0.003;

/// Describes what a failure domain has for calls to one plain service, and how many it gets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DomainLoad {
    /// The failure domain.
    pub domain: DomainKey,
    /// The slots of its usable targets; zero if it has none.
    pub slots: u32,
    /// The number of these targets.
    pub targets: u32,
    /// The calls a second that arrive at its daemons, by [`DomainLoad::effective_demand`].
    pub demand: f64,
    /// The time for which a call occupies a slot there.
    pub service_seconds: f64,
}

/// Reports a change of the share of calls to a plain service that leave their failure domain.
#[derive(Debug, Clone, PartialEq)]
pub struct SpillChange {
    /// The name of the service.
    pub service: Arc<str>,
    /// The share that was last reported.
    pub before: f64,
    /// The share that leaves now.
    pub leaving: f64,
}

/// Divides the calls that arrive in one domain among the domains of the targets.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SpillPlan {
    own: Option<DomainKey>,
    /// The share of each domain; the shares add up to one.
    shares: SmallVec<[(DomainKey, f64); 4]>,
    with_room: SmallVec<[DomainKey; 4]>,
}

impl SpillPlan {
    /// Divides the calls that arrive in the domain `own`.
    ///
    /// Calls stay in their domain up to the utilization at which waits still meet the objective. All
    /// domains send their excess to others in proportion to the room there, and together no more
    /// than that room. A domain without a usable target sends all of its calls and goes first.
    pub fn new(own: Option<DomainKey>, loads: &[DomainLoad], objective: Duration) -> Self {
        let capacity = |load: &DomainLoad| capacity(load, objective);
        let room = |load: &DomainLoad| (capacity(load) - load.demand).max(0.0);
        let total_room: f64 = loads.iter().map(room).sum();
        let homeless: f64 = loads.iter().filter(|l| l.slots == 0).map(|l| l.demand).sum();
        let housed = || loads.iter().filter(|l| l.slots > 0);
        let excess: f64 = housed().map(|l| (l.demand - capacity(l)).max(0.0)).sum();
        let own_load = loads.iter().find(|l| Some(l.domain) == own && l.slots > 0);
        let leaving = own_load.map_or(1.0, |load| {
            let own_excess = (load.demand - capacity(load)).max(0.0);
            let accepted = ((total_room - homeless) / excess.max(f64::EPSILON)).clamp(0.0, 1.0);
            own_excess * accepted / load.demand.max(f64::EPSILON)
        });
        // Calls that must leave go somewhere even if no domain has room.
        let overflow = (homeless - total_room).max(0.0);
        let overflow = if own_load.is_none() { overflow.max(f64::EPSILON) } else { 0.0 };
        let total_capacity: f64 = housed().map(capacity).sum();
        let others = housed().filter(|l| Some(l.domain) != own);
        let weight = |l: &DomainLoad| room(l) + overflow * capacity(l) / total_capacity;
        let weights: SmallVec<[(DomainKey, f64); 4]> =
            others.map(|load| (load.domain, weight(load))).collect();
        let total_weight: f64 = weights.iter().map(|(_, weight)| weight).sum();
        let leaving = if total_weight > 0.0 { leaving } else { 0.0 };
        let stays = own_load.map(|load| (load.domain, 1.0 - leaving));
        let leaves = weights
            .into_iter()
            .map(|(domain, weight)| (domain, leaving * weight / total_weight.max(f64::EPSILON)));
        let shares = stays.into_iter().chain(leaves).collect();
        let with_room = loads.iter().filter(|l| room(l) > 0.0).map(|l| l.domain).collect();
        Self { own, shares, with_room }
    }

    /// Returns whether a domain serves more calls than arrive in it.
    pub fn has_room(&self, domain: DomainKey) -> bool {
        self.with_room.contains(&domain)
    }

    /// Returns the domain of the call whose position among all calls is `unit`, from zero to one.
    pub fn choose(&self, unit: f64) -> Option<DomainKey> {
        let mut left = unit;
        let chosen = self.shares.iter().find(|(_, share)| {
            left -= share;
            left < 0.0
        });
        chosen.or(self.shares.first()).map(|(domain, _)| *domain)
    }

    /// Returns the share of the calls that leave their domain.
    pub fn leaving(&self) -> f64 {
        let outside = self.shares.iter().filter(|(domain, _)| Some(*domain) != self.own);
        outside.map(|(_, share)| share).sum()
    }
}

/// Returns the calls a second that a domain serves while waits meet the objective.
fn capacity(load: &DomainLoad, objective: Duration) -> f64 {
    f64::from(load.slots) / load.service_seconds * utilization_limit(load, objective)
}

/// Returns the largest utilization at which long waits still meet the objective.
fn utilization_limit(load: &DomainLoad, objective: Duration) -> f64 {
    let slots = f64::from(load.slots) / f64::from(load.targets.max(1));
    let allowed = load.allowed_wait(objective);
    let (mut low, mut high) = (MIN_UTILIZATION, MAX_UTILIZATION);
    for _ in 0..10 {
        let middle = f64::midpoint(low, high);
        let wait = mean_wait(middle, slots) * load.service_seconds * LONG_WAIT_FACTOR;
        if wait <= allowed { low = middle } else { high = middle }
    }
    low
}

/// Returns the mean wait for one of `slots` slots, in service times.
///
/// The approximation of Sakasegawa, *An approximation formula Lq = αρ^β/(1-ρ)* (1977).
fn mean_wait(utilization: f64, slots: f64) -> f64 {
    let slots = slots.max(1.0);
    let exponent = (2.0 * (slots + 1.0)).sqrt() - 1.0;
    utilization.powf(exponent) / (slots * (1.0 - utilization))
}

impl DomainLoad {
    /// Returns the calls a second that the domain has to serve: those that arrive, and those of
    /// `calls` at its targets that wait longer than half of the objective allows.
    pub fn effective_demand(&self, calls: f64, objective: Duration) -> f64 {
        let slots = f64::from(self.slots);
        let queue = slots * self.allowed_wait(objective) / 2.0 / self.service_seconds;
        self.demand + (calls - slots - queue).max(0.0) / DRAIN_SECONDS
    }

    fn allowed_wait(&self, objective: Duration) -> f64 {
        (objective.as_secs_f64() - self.service_seconds).max(0.0)
    }
}

/// Returns the cost of a call to another failure domain, in seconds until the first token.
///
/// `unit` spreads the cost between half and one and a half of its mean. Otherwise all daemons that
/// see the same loads would begin to leave their domain at the same moment.
pub fn crossing_seconds(weight: f64, body_bytes: u32, unit: f64) -> f64 {
    let megabytes = f64::from(body_bytes) / 1e6 + RESPONSE_MEGABYTES;
    (weight * megabytes + CROSSING_SECONDS) * (0.5 + unit)
}
