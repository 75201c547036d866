//! Counts of the control state for metrics.

use crate::membership::Liveness;

/// Holds what the gauges show.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Calls that are not answered yet.
    pub calls: usize,
    /// Calls of these that wait for a slot.
    pub waiting: usize,
    /// Blocks known in stores.
    pub stored_blocks: usize,
    /// Declared targets.
    pub targets: StateCounts,
    /// Declared stores.
    pub stores: StateCounts,
    /// Known peers.
    pub peers: StateCounts,
}

/// Counts processes by state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StateCounts {
    /// Not asked yet.
    pub unknown: usize,
    /// Answer.
    pub live: usize,
    /// Do not answer.
    pub silent: usize,
    /// Get no new work, for good.
    pub leaving: usize,
}

impl StateCounts {
    /// Returns each state's name and count.
    pub const fn by_name(&self) -> [(&'static str, usize); 4] {
        [
            ("unknown", self.unknown),
            ("live", self.live),
            ("silent", self.silent),
            ("leaving", self.leaving),
        ]
    }
}

/// Collects liveness; nothing stands for leaving.
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
