//! The resource usage of the process.

use std::time::Duration;

/// The unit of CPU times that Linux reports to programs (`USER_HZ`), the same on all machines.
const TICKS_PER_SECOND: u64 = 100;
/// The number of fields in `/proc/self/stat` between the program name and `utime`.
const FIELDS_BEFORE_UTIME: usize = 11;

/// Describes the resource usage of a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// CPU time in user and kernel mode since the process started.
    pub cpu_time: Duration,
}

/// Reads the resource usage of this process; a value that `/proc` does not provide is zero.
pub fn process_usage() -> ProcessUsage {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    ProcessUsage {
        resident_bytes: parse_resident_bytes(&status).unwrap_or(0),
        cpu_time: parse_cpu_time(&stat).unwrap_or_default(),
    }
}

fn parse_resident_bytes(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib << 10)
}

fn parse_cpu_time(stat: &str) -> Option<Duration> {
    // The program name may contain spaces and parentheses; it ends at the last parenthesis.
    let (_, fields) = stat.rsplit_once(')')?;
    let mut times = fields.split_whitespace().skip(FIELDS_BEFORE_UTIME);
    let user: u64 = times.next()?.parse().ok()?;
    let system: u64 = times.next()?.parse().ok()?;
    Some(Duration::from_millis((user + system) * 1_000 / TICKS_PER_SECOND))
}
