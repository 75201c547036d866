//! Counts of the control state for the metrics.

use crate::membership::Liveness;

/// Counts the items that the gauges of the metrics show.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Counts {
    /// Calls without a complete response.
    pub calls: usize,
    /// Calls among them that wait for a slot.
    pub waiting: usize,
    /// Blocks known to be in stores.
    pub stored_blocks: usize,
    /// Declared targets, by state.
    pub targets: StateCounts,
    /// Declared stores, by state.
    pub stores: StateCounts,
    /// Known peers, by state.
    pub peers: StateCounts,
    /// Targets that named a limit of requests.
    pub limited_targets: usize,
    /// Cold targets, which are sent few requests.
    pub cold_targets: usize,
    /// Requests a second that this daemon may send to targets that named a limit.
    pub limit_allowance: f64,
    /// Calls refused since the start because of such limits.
    pub limit_refusals: u64,
    /// Evacuated failure domains.
    pub evacuated_domains: usize,
    /// Calls refused since the start because their targets are in evacuated failure domains.
    pub evacuation_refusals: u64,
    /// Calls refused since the start because their regions have no usable target.
    pub region_refusals: u64,
    /// Calls held back since the start because capacity was scarce.
    pub shortage_held: u64,
    /// Calls refused since the start because capacity was scarce.
    pub shortage_refusals: u64,
    /// Calls sent to targets of the own failure domain since the start.
    pub calls_inside: u64,
    /// Calls sent to targets of other failure domains since the start.
    pub calls_outside: u64,
}

/// Counts targets, stores or peers by state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StateCounts {
    /// Liveness not known yet.
    pub unknown: usize,
    /// Responding.
    pub live: usize,
    /// Not responding.
    pub silent: usize,
    /// Leaving; get no new calls, for good.
    pub leaving: usize,
}

impl StateCounts {
    /// Returns the label and the count of each state.
    pub const fn by_name(&self) -> [(&'static str, usize); 4] {
        [
            ("unknown", self.unknown),
            ("live", self.live),
            ("silent", self.silent),
            ("leaving", self.leaving),
        ]
    }
}

/// Counts each liveness; `None` stands for a leaving process.
impl FromIterator<Option<Liveness>> for StateCounts {
    fn from_iter<I: IntoIterator<Item = Option<Liveness>>>(items: I) -> Self {
        let mut states = Self::default();
        for item in items {
            let count = match item {
                None => &mut states.leaving,
                Some(Liveness::Unknown) => &mut states.unknown,
                Some(Liveness::Live) => &mut states.live,
                Some(Liveness::Silent) => &mut states.silent,
            };
            *count += 1;
        }
        states
    }
}
