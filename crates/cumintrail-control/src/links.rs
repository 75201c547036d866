//! How much of each store's link and disk is in use by this daemon's transfers.

use std::collections::HashMap;
use std::time::Duration;

use cumintrail_config::Store;
use cumintrail_types::{Bytes, CallKey, Moment, StoreKey, Tier};
use smallvec::SmallVec;

const SMOOTHING: f64 = 0.3;
/// Bounds how much one transfer changes the observed slowness, since it may have met a burst.
const LARGEST_STEP: f64 = 3.0;
/// Expected times are taken for at least this, so that a short delay is no sign of a slow link.
const SHORTEST_SECONDS: f64 = 0.05;
/// Bounds how much slower than declared a store is taken for.
const SLOWEST: f64 = 50.0;
/// The time after which half of an observed slowness is forgotten, so that it is tried again.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(20);

/// Predicts transfer times and learns from how transfers went.
#[derive(Debug, Default)]
pub struct Links {
    stores: HashMap<StoreKey, Link>,
    transfers: HashMap<CallKey, SmallVec<[Transfer; 2]>>,
}

/// Holds what is known of the way from one store.
#[derive(Debug, Clone, Copy)]
struct Link {
    /// When the link and the disk are through with what was ordered.
    free_at: Moment,
    disk_free_at: Moment,
    /// How many times slower than declared transfers were, and when that was seen.
    slowness: f64,
    judged: Moment,
    /// Bytes a second that the last order counted on.
    speed: f64,
}

impl Default for Link {
    fn default() -> Self {
        let zero = Moment(0);
        Self { free_at: zero, disk_free_at: zero, slowness: 1.0, judged: zero, speed: 0.0 }
    }
}

#[derive(Debug, Clone, Copy)]
struct Transfer {
    store: StoreKey,
    bytes: Bytes,
    ordered: Moment,
    expected: Duration,
}

/// Counts bytes by what they pass.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Bytes over the link, all of them.
    pub link: Bytes,
    /// Bytes that come from disk.
    pub disk: Bytes,
}

impl Load {
    /// Adds a block in a tier.
    pub fn add(&mut self, length: Bytes, tier: Tier) {
        self.link += length;
        if tier == Tier::Disk {
            self.disk += length;
        }
    }

    /// Subtracts what lies before a position, for sums over a range.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self {
            link: self.link.saturating_sub(earlier.link),
            disk: self.disk.saturating_sub(earlier.disk),
        }
    }
}

/// Predicts transfers from one store at one moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    link_wait: f64,
    disk_wait: f64,
    per_link_byte: f64,
    per_disk_byte: f64,
}

impl Forecast {
    /// Returns the seconds until `load` has arrived.
    pub fn seconds(&self, load: Load) -> f64 {
        if load.link.0 == 0 {
            return 0.0;
        }
        let link = self.link_wait + load.link.0 as f64 * self.per_link_byte;
        if load.disk.0 == 0 {
            return link;
        }
        link.max(self.disk_wait + load.disk.0 as f64 * self.per_disk_byte)
    }
}

impl Links {
    /// Predicts transfers from a store that are ordered now.
    pub fn forecast(&self, now: Moment, store: StoreKey, declared: &Store) -> Forecast {
        let link = self.stores.get(&store).copied().unwrap_or_default();
        let slowness = link.slowness_at(now);
        Forecast {
            link_wait: link.free_at.since(now).as_secs_f64(),
            disk_wait: link.disk_free_at.since(now).as_secs_f64(),
            per_link_byte: slowness / declared.link_per_second.0.max(1) as f64,
            per_disk_byte: slowness / declared.disk_per_second.0.max(1) as f64,
        }
    }

    /// Notes a transfer that was ordered.
    pub fn start(
        &mut self,
        now: Moment,
        call: CallKey,
        store: StoreKey,
        load: Load,
        declared: &Store,
    ) {
        let forecast = self.forecast(now, store, declared);
        let expected = Duration::from_secs_f64(forecast.seconds(load));
        let link = self.stores.entry(store).or_default();
        link.speed = 1.0 / forecast.per_link_byte;
        let busy = |bytes: Bytes, per_byte: f64| Duration::from_secs_f64(bytes.0 as f64 * per_byte);
        link.free_at = link.free_at.max(now) + busy(load.link, forecast.per_link_byte);
        if load.disk.0 > 0 {
            link.disk_free_at =
                link.disk_free_at.max(now) + busy(load.disk, forecast.per_disk_byte);
        }
        let transfer = Transfer { store, bytes: load.link, ordered: now, expected };
        self.transfers.entry(call).or_default().push(transfer);
    }

    /// Notes that all transfers of a call ended; `whole` if all of each arrived.
    ///
    /// Only the end of the last is known, so only the store that was expected to be last is judged.
    pub fn finish(&mut self, now: Moment, call: CallKey, whole: bool) {
        let transfers = self.transfers.remove(&call).unwrap_or_default();
        let Some(last) = transfers.iter().max_by_key(|t| t.expected) else {
            return;
        };
        let link = self.stores.entry(last.store).or_default();
        let took = now.since(last.ordered);
        let ratio = took.as_secs_f64() / last.expected.as_secs_f64().max(SHORTEST_SECONDS);
        // A transfer that was cut off tells only that it was slower than this.
        if whole || ratio > 1.0 {
            let old = link.slowness_at(now);
            let new = old * (1.0 + SMOOTHING * (ratio.min(LARGEST_STEP) - 1.0));
            link.slowness = new.clamp(1.0, SLOWEST);
            link.judged = now;
        }
        link.shift(now, took, last.expected);
    }

    /// Returns the bytes on their way and the expected speed in bytes a second.
    pub fn usage(&self, store: StoreKey) -> (Bytes, Bytes) {
        let transfers = self.transfers.values().flatten().filter(|t| t.store == store);
        let speed = self.stores.get(&store).map_or(0.0, |link| link.speed);
        (transfers.map(|t| t.bytes).sum(), Bytes(speed as u64))
    }

    /// Forgets transfers whose end will not be told.
    pub fn forget(&mut self, call: CallKey) {
        self.transfers.remove(&call);
    }
}

impl Link {
    fn slowness_at(&self, now: Moment) -> f64 {
        let halves = now.since(self.judged).as_secs_f64() / SLOWNESS_HALF_LIFE.as_secs_f64();
        1.0 + (self.slowness - 1.0) * 0.5_f64.powf(halves)
    }

    /// Moves the end of what is ordered by as much as a transfer was early or late.
    fn shift(&mut self, now: Moment, took: Duration, expected: Duration) {
        let late = took.saturating_sub(expected);
        let early = expected.saturating_sub(took);
        let moved = |free: Moment| (free + late.min(free.since(now)) - early).max(now);
        if self.free_at > now {
            self.free_at = moved(self.free_at);
        }
        if self.disk_free_at > now {
            self.disk_free_at = moved(self.disk_free_at);
        }
    }
}
