//! Use of each store's link and disk by this daemon's transfers, and estimates of transfer times.

use std::collections::HashMap;
use std::time::Duration;

use cumintrail_config::Store;
use cumintrail_types::{Bytes, CallKey, Moment, StoreKey, Tier};
use smallvec::SmallVec;

/// Weight of one transfer in the update of the slowdown.
const SLOWDOWN_SMOOTHING: f64 = 0.3;
/// Limits the ratio of actual to expected time that one transfer contributes, since the transfer
/// may have coincided with a burst.
const MAX_OBSERVED_RATIO: f64 = 3.0;
/// Lower bound of the expected time in the ratio of actual to expected time, so that a short delay
/// does not indicate a slow link.
const MIN_EXPECTED_SECONDS: f64 = 0.05;
/// Upper bound of the slowdown of a store.
const MAX_SLOWDOWN: f64 = 50.0;
/// Time in which an observed slowdown decays by half, so that a slow store is used again.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_secs(20);

/// Estimates transfer times from the declared rates, transfers in flight and observed slowdowns.
#[derive(Debug, Default)]
pub struct Links {
    stores: HashMap<StoreKey, Link>,
    transfers: HashMap<CallKey, SmallVec<[Transfer; 2]>>,
}

/// Tracks the use and the observed slowdown of one store's link and disk.
#[derive(Debug, Clone, Copy)]
struct Link {
    /// When the link and the disk are expected to end the transfers that were started.
    busy_until: Moment,
    disk_busy_until: Moment,
    /// How many times slower than declared transfers are, smoothed, and when this was last updated.
    slowdown: f64,
    measured_at: Moment,
    /// Bytes per second of the link that the estimate of the last started transfer used.
    bytes_per_second: f64,
}

impl Default for Link {
    fn default() -> Self {
        let zero = Moment(0);
        Self {
            busy_until: zero,
            disk_busy_until: zero,
            slowdown: 1.0,
            measured_at: zero,
            bytes_per_second: 0.0,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Transfer {
    store: StoreKey,
    bytes: Bytes,
    started: Moment,
    expected: Duration,
}

/// Counts the bytes that transfers from one store move over its link and from its disk.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TransferBytes {
    /// Bytes over the link: all bytes, from any tier.
    pub link: Bytes,
    /// Bytes that are read from disk.
    pub disk: Bytes,
}

impl TransferBytes {
    /// Adds a block that is stored in `tier`.
    pub fn add(&mut self, length: Bytes, tier: Tier) {
        self.link += length;
        if tier == Tier::Disk {
            self.disk += length;
        }
    }

    /// Subtracts the prefix sum `earlier`, which gives the sum over a range.
    #[must_use]
    pub const fn saturating_sub(self, earlier: Self) -> Self {
        Self {
            link: self.link.saturating_sub(earlier.link),
            disk: self.disk.saturating_sub(earlier.disk),
        }
    }
}

/// Estimates transfers from one store that start at one moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TransferEstimate {
    link_wait: f64,
    disk_wait: f64,
    seconds_per_link_byte: f64,
    seconds_per_disk_byte: f64,
}

impl TransferEstimate {
    /// Returns the expected seconds until `load` has arrived.
    pub fn seconds(&self, load: TransferBytes) -> f64 {
        if load.link.0 == 0 {
            return 0.0;
        }
        let link = self.link_wait + load.link.0 as f64 * self.seconds_per_link_byte;
        if load.disk.0 == 0 {
            return link;
        }
        link.max(self.disk_wait + load.disk.0 as f64 * self.seconds_per_disk_byte)
    }
}

impl Links {
    /// Returns the estimate for transfers from a store that start now.
    pub fn estimate(&self, now: Moment, store: StoreKey, declared: &Store) -> TransferEstimate {
        let link = self.stores.get(&store).copied().unwrap_or_default();
        let slowdown = link.slowdown_at(now);
        TransferEstimate {
            link_wait: link.busy_until.since(now).as_secs_f64(),
            disk_wait: link.disk_busy_until.since(now).as_secs_f64(),
            seconds_per_link_byte: slowdown / declared.link_bytes_per_second.0.max(1) as f64,
            seconds_per_disk_byte: slowdown / declared.disk_bytes_per_second.0.max(1) as f64,
        }
    }

    /// Records that a transfer of a call was started.
    pub fn start(
        &mut self,
        now: Moment,
        call: CallKey,
        store: StoreKey,
        load: TransferBytes,
        declared: &Store,
    ) {
        let estimate = self.estimate(now, store, declared);
        let expected = Duration::from_secs_f64(estimate.seconds(load));
        let link = self.stores.entry(store).or_default();
        link.bytes_per_second = 1.0 / estimate.seconds_per_link_byte;
        let duration = |bytes: Bytes, seconds_per_byte: f64| {
            Duration::from_secs_f64(bytes.0 as f64 * seconds_per_byte)
        };
        link.busy_until =
            link.busy_until.max(now) + duration(load.link, estimate.seconds_per_link_byte);
        if load.disk.0 > 0 {
            link.disk_busy_until =
                link.disk_busy_until.max(now) + duration(load.disk, estimate.seconds_per_disk_byte);
        }
        let transfer = Transfer { store, bytes: load.link, started: now, expected };
        self.transfers.entry(call).or_default().push(transfer);
    }

    /// Records that all transfers of a call ended; `complete` if all blocks arrived.
    ///
    /// Only the end of the last transfer is known, so only the store whose transfer was expected to
    /// end last has its slowdown updated. A fetch from two stores ends with the slower one; the
    /// faster store must not be taken for slow.
    pub fn finish(&mut self, now: Moment, call: CallKey, complete: bool) {
        let transfers = self.transfers.remove(&call).unwrap_or_default();
        let Some(last) = transfers.iter().max_by_key(|t| t.expected) else {
            return;
        };
        let link = self.stores.entry(last.store).or_default();
        let elapsed = now.since(last.started);
        let ratio = elapsed.as_secs_f64() / last.expected.as_secs_f64().max(MIN_EXPECTED_SECONDS);
        // An incomplete transfer shows only that a complete one would have taken longer.
        if complete || ratio > 1.0 {
            let old = link.slowdown_at(now);
            let new = old * (1.0 + SLOWDOWN_SMOOTHING * (ratio.min(MAX_OBSERVED_RATIO) - 1.0));
            link.slowdown = new.clamp(1.0, MAX_SLOWDOWN);
            link.measured_at = now;
        }
        link.correct_busy_until(now, elapsed, last.expected);
    }

    /// Returns the bytes in flight and the expected rate of the link in bytes per second.
    pub fn usage(&self, store: StoreKey) -> (Bytes, Bytes) {
        let transfers = self.transfers.values().flatten().filter(|t| t.store == store);
        let bytes_per_second = self.stores.get(&store).map_or(0.0, |link| link.bytes_per_second);
        (transfers.map(|t| t.bytes).sum(), Bytes(bytes_per_second as u64))
    }

    /// Removes the transfers of a call whose end will not be reported.
    pub fn discard(&mut self, call: CallKey) {
        self.transfers.remove(&call);
    }
}

impl Link {
    fn slowdown_at(&self, now: Moment) -> f64 {
        let half_lives =
            now.since(self.measured_at).as_secs_f64() / SLOWDOWN_HALF_LIFE.as_secs_f64();
        1.0 + (self.slowdown - 1.0) * 0.5_f64.powf(half_lives)
    }

    /// Moves the expected end of the started transfers by the time that a transfer ended early or
    /// late.
    fn correct_busy_until(&mut self, now: Moment, elapsed: Duration, expected: Duration) {
        let late = elapsed.saturating_sub(expected);
        let early = expected.saturating_sub(elapsed);
        let corrected = |until: Moment| (until + late.min(until.since(now)) - early).max(now);
        if self.busy_until > now {
            self.busy_until = corrected(self.busy_until);
        }
        if self.disk_busy_until > now {
            self.disk_busy_until = corrected(self.disk_busy_until);
        }
    }
}
