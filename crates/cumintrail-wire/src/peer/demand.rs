//! Encoding of the calls a second in digests.

use std::sync::Arc;
use std::time::Duration;

use cumintrail_control::spill::DomainDemand;
use cumintrail_types::RequestRate;

use super::to_millis;

/// Encodes a [`DomainDemand`] without field names: failure domain, hash of the service, thousandths
/// of a call a second, age in milliseconds.
pub(super) type DemandMessage = (Arc<str>, u64, u32, u32);

pub(super) fn from_rates(rates: Vec<(u64, RequestRate)>) -> Vec<(u64, u32)> {
    rates.into_iter().map(|(pool, rate)| (pool, rate.0)).collect()
}

pub(super) fn to_rates(rates: Vec<(u64, u32)>) -> Vec<(u64, RequestRate)> {
    rates.into_iter().map(|(pool, rate)| (pool, RequestRate(rate))).collect()
}

pub(super) fn from_demand(demand: DomainDemand) -> DemandMessage {
    (demand.domain, demand.service_hash, demand.rate.0, to_millis(demand.age))
}

pub(super) fn to_demand((domain, service_hash, rate, age): DemandMessage) -> DomainDemand {
    let (rate, age) = (RequestRate(rate), Duration::from_millis(age.into()));
    DomainDemand { domain, service_hash, rate, age }
}
