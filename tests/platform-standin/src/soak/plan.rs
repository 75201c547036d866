//! Parameters and results of a run.

use std::fmt;

/// Parameters of one run of the soak test.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// Seed of the random faults and calls.
    pub seed: u64,
    /// Duration of the fault injection, in seconds.
    pub seconds: u64,
    /// Number of VMs, each of which runs one daemon.
    pub vms: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of replicas of the plain service.
    pub plain_replicas: usize,
    /// Number of callers.
    pub callers: usize,
    /// Whether the store is also restored from older copies. These faults are drawn separately, so
    /// that the other ones of a seed stay the same.
    pub restores: bool,
    /// Whether calls also come with parts of prompts that crash engines.
    pub crashing_parts: bool,
    /// Whether requests that crash replicas also come again and again.
    pub crashing_requests: bool,
    /// Whether replicas also name limits of requests. These faults are drawn separately too.
    pub limits: bool,
    /// Whether weight versions come in series while engines hold calls and orders and processes of
    /// daemons end or are suspended. No other faults come then.
    pub weights: bool,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            seed: 1,
            seconds: 30,
            vms: 3,
            engines: 4,
            plain_replicas: 3,
            callers: 24,
            restores: false,
            crashing_parts: false,
            crashing_requests: false,
            limits: false,
            weights: false,
        }
    }
}

/// Results of one run of the soak test.
#[derive(Debug)]
pub struct Report {
    /// The seed of the run.
    pub seed: u64,
    /// Number of calls that were sent.
    pub calls: usize,
    /// Number of calls that were served.
    pub served: usize,
    /// Number of faults that were injected.
    pub faults: usize,
    /// Daemons that exited without an injected stop or kill and were restarted, with their exit
    /// statuses.
    pub restarts: Vec<String>,
    /// Violations, each of which begins with the name of the rule.
    pub violations: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { seed, calls, served, faults, restarts, violations } = self;
        let found = violations.len();
        write!(f, "seed={seed} calls={calls} served={served} faults={faults} violations={found}")?;
        restarts.iter().try_for_each(|restart| write!(f, "\n  {restart}"))?;
        violations.iter().take(10).try_for_each(|violation| write!(f, "\n  {violation}"))
    }
}
