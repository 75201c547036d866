//! The clock by which a process counts; docs/DESIGN.md, "Time".

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

use crate::Moment;

/// Counts the time since the start of a process, with the time for which its VM was suspended.
///
/// A lease and an answer grow old while the VM does not run, so the steady clock of the standard
/// library, which stands still then, would take them for younger than they are.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    read: fn() -> Duration,
    start: Duration,
}

impl Clock {
    /// Starts counting by the system's clock.
    pub fn start() -> Self {
        Self::with_source(since_boot)
    }

    /// Starts counting by another clock, which never goes back.
    pub fn with_source(read: fn() -> Duration) -> Self {
        Self { read, start: read() }
    }

    /// Returns the current moment.
    pub fn now(self) -> Moment {
        Moment((self.read)().saturating_sub(self.start).as_micros() as u64)
    }
}

/// Returns the time since the VM's start, suspensions included.
pub fn since_boot() -> Duration {
    // The call fails only for clocks that the kernel does not have; each Linux has this one.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}
