//! What the process uses of its VM.

use std::time::Duration;

/// The kernel's unit of processor time towards programs, on all Linux machines.
const TICKS_PER_SECOND: u64 = 100;
/// Fields of `/proc/self/stat` between the program's name and `utime`.
const FIELDS_BEFORE_UTIME: usize = 11;

/// Holds what a process uses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Resident memory.
    pub resident_bytes: u64,
    /// Processor time since the start.
    pub cpu_time: Duration,
}

/// Reads what this process uses; zero where `/proc` does not tell.
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
    // The program's name may hold spaces but ends at the last parenthesis.
    let (_, fields) = stat.rsplit_once(')')?;
    let mut times = fields.split_whitespace().skip(FIELDS_BEFORE_UTIME);
    let user: u64 = times.next()?.parse().ok()?;
    let system: u64 = times.next()?.parse().ok()?;
    Some(Duration::from_millis((user + system) * 1_000 / TICKS_PER_SECOND))
}
