//! Compares placement policies on the same trace, in virtual time; docs/POLICY.md.
//!
//! The events of a seeded trace are passed directly to one [`cumintrail_control::Control`]. The
//! control state learns of faults only through the events that a daemon would receive; these events
//! are delayed, and some cache events are lost.

mod measures;
mod policies;
mod run;
mod trace;
mod world;

use clap::{Args, ValueEnum};
use serde::Serialize;

pub use measures::{Measures, Percentiles};

/// A load pattern with its faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// A low, steady request rate.
    QuietDay,
    /// Request bursts, mostly from large accounts.
    MonthEnd,
    /// Request bursts, from large and small accounts equally.
    YearEnd,
    /// All store links are slow during the middle third of the trace.
    SlowLink,
    /// A store fails after a third of the trace and returns empty after two thirds.
    StoreLost,
    /// The stores have capacity for three fifths of the blocks that are stored at the start.
    StoreFull,
    /// One account sends most of the requests during bursts.
    Flood,
    /// All engines of one failure domain restart with empty memory.
    DomainRestart,
}

/// A rule for choosing the target and the blocks to fetch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// A pseudorandom available target, without fetching.
    Random,
    /// The target with the smallest prefill backlog, without fetching.
    LeastLoaded,
    /// The target with the longest cached prefix of the prompt, without fetching.
    Affinity,
    /// The target with the smallest prefill backlog, fetching every consecutive stored block.
    AlwaysFetch,
    /// The target that would finish the prefill first, without fetching.
    AlwaysRecompute,
    /// The policy of `cumintrail-control`.
    Ours,
    /// The cheapest combination of target and fetched blocks, computed from the exact current
    /// state.
    Oracle,
}

/// The base size of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Size {
    /// Twelve engines, long prompts.
    Kesong,
    /// Eighteen engines, shorter prompts.
    Litera,
}

/// The cost weights of the preset in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Preset {
    /// Time to first token has the largest weight.
    FirstToken,
    /// Recomputed tokens and link use have the largest weights.
    Economy,
}

/// The parameters of one experiment, except the policy.
#[derive(Debug, Clone, Copy, Args, Serialize)]
pub struct Setup {
    /// Seed of the random choices.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Load pattern and faults.
    #[arg(long, value_enum)]
    pub scenario: Scenario,
    /// Base size of the deployment.
    #[arg(long, value_enum, default_value_t = Size::Kesong)]
    pub size: Size,
    /// Factor on the base size.
    #[arg(long, default_value_t = 1)]
    pub scale: u32,
    /// Cost weights of the preset in force.
    #[arg(long, value_enum, default_value_t = Preset::FirstToken)]
    pub preset: Preset,
}

/// Parses the name of a policy, or `all`.
pub fn parse_policies(name: &str) -> Result<Vec<Policy>, String> {
    match name {
        "all" => Ok(Policy::value_variants().to_vec()),
        name => Policy::from_str(name, true).map(|policy| vec![policy]),
    }
}

/// Runs each policy on the same trace.
pub fn run(setup: &Setup, policies: &[Policy]) -> Vec<Measures> {
    let trace = trace::make(setup);
    policies.iter().map(|policy| run::run(setup, &trace, *policy)).collect()
}

/// Formats measures as a text table.
pub fn to_table(measures: &[Measures]) -> String {
    use std::fmt::Write as _;
    let mut text = format!(
        "{:<17}{:>9}{:>9}{:>9}{:>12}{:>9}{:>9}{:>14}\n",
        "POLICY", "P50 ms", "P95 ms", "P99 ms", "RECOMPUTED", "LINK GB", "REFUSED", "SMALL P95 ms"
    );
    for m in measures {
        let name = m.policy.to_possible_value().map(|v| v.get_name().to_owned());
        let _ = writeln!(
            text,
            "{:<17}{:>9.0}{:>9.0}{:>9.0}{:>12.3}{:>9.1}{:>9}{:>14.0}",
            name.unwrap_or_default(),
            m.first_token_ms.p50,
            m.first_token_ms.p95,
            m.first_token_ms.p99,
            m.recomputed_share,
            m.link_bytes as f64 / 1e9,
            m.refused,
            m.worst_small_account_p95_ms,
        );
    }
    text
}
