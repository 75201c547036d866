//! The monotonic clock of a process; docs/DESIGN.md, "Time".

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

use crate::Moment;

/// Measures the time since the start of a process, including time while its VM is suspended.
///
/// The age of a lease or of a response also grows while the VM is suspended.
/// `std::time::Instant` stops during a suspension on Linux and would underestimate that age.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    read: fn() -> Duration,
    start: Duration,
}

impl Clock {
    /// Creates a clock that starts now and reads the time since boot.
    pub fn start() -> Self {
        Self::with_source(since_boot)
    }

    /// Creates a clock that starts now and reads `read`, which must never go backwards.
    pub fn with_source(read: fn() -> Duration) -> Self {
        Self { read, start: read() }
    }

    /// Returns the time since the clock started.
    pub fn now(self) -> Moment {
        Moment((self.read)().saturating_sub(self.start).as_micros() as u64)
    }
}

/// Returns the time since the VM booted, including suspensions.
pub fn since_boot() -> Duration {
    // The call fails only for a clock that the kernel lacks; every Linux kernel has this one.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}
