//! The results of a measurement, as text and JSON.

use std::collections::BTreeMap;
use std::fmt;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::callers::Latency;
use super::deployment::Usage;

const US_PER_MS: f64 = 1_000.0;

/// The results of a measurement.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Number of daemon processes.
    pub daemons: u16,
    /// Length of the measurement at rest, and of the measurement under load, in seconds.
    pub seconds: u16,
    /// Calls per second through daemons, and again as many directly to engines.
    pub rate: u16,
    /// Client accounts declared in addition to those of the callers.
    pub accounts: u32,
    /// Targets declared in addition to the engines.
    pub targets: u32,
    /// Blocks that the store contained at the start.
    pub blocks: u32,
    /// Target VMs in the VM list in addition to the daemons.
    pub vms: u16,
    /// Average resource use of a daemon without calls.
    pub rest: Cost,
    /// Average resource use of a daemon under load.
    pub load: Cost,
    /// Calls through daemons.
    pub through: Served,
    /// Calls directly to engines.
    pub direct: Served,
}

/// The average resource use of one daemon over an interval.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Cost {
    /// CPU time, as a fraction of one core.
    pub processor_share: f64,
    /// Time that the control thread spent on handling events, as a fraction of one core.
    pub control_share: f64,
    /// Events per second that the control thread handled.
    pub control_events_per_second: f64,
    /// Digest bytes per second sent to peers, without HTTP heads.
    pub peer_bytes_per_second: f64,
    /// Bytes per second of control requests that a daemon sent and of the responses, with HTTP
    /// heads.
    pub control_bytes: ControlBytesPerSecond,
    /// Table reads per second.
    pub table_reads_per_second: f64,
    /// Bytes per second of block lists from the store, without HTTP heads.
    pub listed_bytes_per_second: f64,
    /// Resident memory of the largest daemon, in bytes.
    pub resident_bytes: u64,
}

/// Control bytes per second, by kind of the remote end.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct ControlBytesPerSecond {
    /// Targets: engines and replicas of plain services.
    pub engines: f64,
    /// Stores.
    pub stores: f64,
    /// Other daemons.
    pub peers: f64,
    /// The platform.
    pub platform: f64,
}

impl ControlBytesPerSecond {
    fn total(&self) -> f64 {
        self.engines + self.stores + self.peers + self.platform
    }
}

/// The results of the calls over one route.
#[derive(Debug, Clone, Serialize)]
pub struct Served {
    /// Calls with a complete and correct response.
    pub answered: u64,
    /// Failed calls.
    pub failed: u64,
    /// Number of failed calls by reason.
    pub failures: BTreeMap<String, u64>,
    /// Time to the first token, in milliseconds.
    pub first_token_ms: Quantiles,
    /// Average time between two tokens of a call, in milliseconds.
    pub token_gap_ms: Quantiles,
}

/// Quantiles of a duration in milliseconds.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Quantiles {
    /// The median.
    pub p50: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The 99th percentile.
    pub p99: f64,
}

impl Cost {
    /// Computes the averages between two readings.
    pub fn between(before: &Usage, after: &Usage) -> Self {
        let seconds = (after.at - before.at).as_secs_f64() * before.daemons as f64;
        let rate = |before: u64, after: u64| (after - before) as f64 / seconds;
        let share = |before: std::time::Duration, after: std::time::Duration| {
            after.saturating_sub(before).as_secs_f64() / seconds
        };
        Self {
            processor_share: share(before.cpu_time, after.cpu_time),
            control_share: share(before.control_busy, after.control_busy),
            control_events_per_second: rate(before.control_events, after.control_events),
            peer_bytes_per_second: rate(before.peer_bytes, after.peer_bytes),
            control_bytes: ControlBytesPerSecond {
                engines: rate(before.control_bytes.engines, after.control_bytes.engines),
                stores: rate(before.control_bytes.stores, after.control_bytes.stores),
                peers: rate(before.control_bytes.peers, after.control_bytes.peers),
                platform: rate(before.control_bytes.platform, after.control_bytes.platform),
            },
            table_reads_per_second: rate(before.table_reads, after.table_reads),
            listed_bytes_per_second: rate(before.listed_bytes, after.listed_bytes),
            resident_bytes: after.resident_bytes,
        }
    }
}

impl Served {
    /// Summarizes the calls over one route.
    pub fn new(latency: &Latency) -> Self {
        Self {
            answered: latency.answered,
            failed: latency.failures.values().sum(),
            failures: latency.failures.clone(),
            first_token_ms: Quantiles::of(&latency.first_token),
            token_gap_ms: Quantiles::of(&latency.token_gap),
        }
    }
}

impl Quantiles {
    fn of(micros: &Histogram<u64>) -> Self {
        let at = |q| micros.value_at_quantile(q) as f64 / US_PER_MS;
        Self { p50: at(0.5), p95: at(0.95), p99: at(0.99) }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} daemons, {} s each, {} calls a second; extra: {} accounts, {} targets, {} blocks, \
             {} VMs\n",
            self.daemons,
            self.seconds,
            self.rate,
            self.accounts,
            self.targets,
            self.blocks,
            self.vms
        )?;
        writeln!(
            f,
            "PER DAEMON  CORE %  CONTROL %  EVENTS/s  PEER BYTES/s  TABLE READS/s  STORE BYTES/s  MEMORY MiB"
        )?;
        for (name, cost) in [("rest", &self.rest), ("load", &self.load)] {
            writeln!(
                f,
                "{name:<10}  {:>6.2}  {:>9.3}  {:>8.1}  {:>12.0}  {:>13.2}  {:>13.0}  {:>10.1}",
                cost.processor_share * 100.0,
                cost.control_share * 100.0,
                cost.control_events_per_second,
                cost.peer_bytes_per_second,
                cost.table_reads_per_second,
                cost.listed_bytes_per_second,
                cost.resident_bytes as f64 / f64::from(1 << 20),
            )?;
        }
        writeln!(f, "\nCONTROL BYTES/s  ENGINES  STORES  PEERS  PLATFORM    ALL")?;
        for (name, cost) in [("rest", &self.rest), ("load", &self.load)] {
            let bytes = &cost.control_bytes;
            writeln!(
                f,
                "{name:<15}  {:>7.0}  {:>6.0}  {:>5.0}  {:>8.0}  {:>5.0}",
                bytes.engines,
                bytes.stores,
                bytes.peers,
                bytes.platform,
                bytes.total(),
            )?;
        }
        writeln!(f, "\nCALLS       WHOLE  FAILED  FIRST TOKEN ms p50/p95/p99  GAP ms p50/p95/p99")?;
        for (name, served) in [("through", &self.through), ("direct", &self.direct)] {
            writeln!(
                f,
                "{name:<10}  {:>5}  {:>6}  {:>26}  {:>18}",
                served.answered,
                served.failed,
                served.first_token_ms.to_string(),
                served.token_gap_ms.to_string(),
            )?;
            for (reason, count) in &served.failures {
                writeln!(f, "  {count} failed: {reason}")?;
            }
        }
        let (a, b) = (&self.through, &self.direct);
        write!(
            f,
            "\nadded by the daemon at the median: {:.2} ms to the first token, {:.3} ms per token",
            a.first_token_ms.p50 - b.first_token_ms.p50,
            a.token_gap_ms.p50 - b.token_gap_ms.p50,
        )
    }
}

impl fmt::Display for Quantiles {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}/{:.2}/{:.2}", self.p50, self.p95, self.p99)
    }
}
