//! Resource use of another process, from `/proc`.

use std::time::Duration;

/// Returns the CPU time of all running threads of a process.
///
/// `schedstat` counts in nanoseconds, while `/proc/PID/stat` counts in hundredths of a second,
/// which is too coarse for a daemon at rest.
pub fn cpu_time(pid: u32) -> Duration {
    let Ok(threads) = std::fs::read_dir(format!("/proc/{pid}/task")) else {
        return Duration::ZERO;
    };
    let texts =
        threads.filter_map(|t| std::fs::read_to_string(t.ok()?.path().join("schedstat")).ok());
    let run: u64 =
        texts.filter_map(|text| text.split_whitespace().next()?.parse::<u64>().ok()).sum();
    Duration::from_nanos(run)
}

/// Returns the resident memory of a process, in bytes.
pub fn resident_bytes(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|text| text.trim().strip_suffix("kB")?.trim().parse::<u64>().ok());
    kib.unwrap_or(0) << 10
}
