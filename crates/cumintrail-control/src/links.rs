//! How much of each link is in use by this daemon's transfers.

use std::collections::HashMap;
use std::time::Duration;

use cumintrail_types::{Bytes, StoreKey};

/// Estimates transfer times from declared and observed link speeds.
#[derive(Debug, Default)]
pub struct Links {
    stores: HashMap<StoreKey, Link>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Link {
    in_flight: Bytes,
    /// Observed speed in bytes a second; zero before the first transfer.
    observed: f64,
}

const SMOOTHING: f64 = 0.3;

impl Links {
    /// Estimates how long `bytes` take behind what is already on its way.
    pub fn estimate(&self, store: StoreKey, bytes: Bytes, declared: Bytes) -> Duration {
        let link = self.stores.get(&store).copied().unwrap_or_default();
        let declared = declared.0 as f64;
        let speed = if link.observed > 0.0 { link.observed.min(declared) } else { declared };
        Duration::from_secs_f64((link.in_flight + bytes).0 as f64 / speed.max(1.0))
    }

    /// Returns the bytes on their way and the observed speed in bytes a second.
    pub fn usage(&self, store: StoreKey) -> (Bytes, Bytes) {
        let link = self.stores.get(&store).copied().unwrap_or_default();
        (link.in_flight, Bytes(link.observed as u64))
    }

    /// Notes a transfer that was ordered.
    pub fn start(&mut self, store: StoreKey, bytes: Bytes) {
        self.stores.entry(store).or_default().in_flight += bytes;
    }

    /// Notes a transfer that ended after `took`, or broke if nothing arrived.
    pub fn finish(&mut self, store: StoreKey, ordered: Bytes, arrived: Bytes, took: Duration) {
        let link = self.stores.entry(store).or_default();
        link.in_flight = link.in_flight.saturating_sub(ordered);
        if arrived.0 > 0 && !took.is_zero() {
            let speed = arrived.0 as f64 / took.as_secs_f64();
            let old = if link.observed > 0.0 { link.observed } else { speed };
            link.observed = old + SMOOTHING * (speed - old);
        }
    }
}
