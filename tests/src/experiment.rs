//! Measures placement policies side by side, in virtual time; docs/POLICY.md.
//!
//! A seeded trace goes straight into one [`cumintrail_control::Control`]; faults enter only as the
//! events that a daemon would see, late and with gaps.

mod measures;
mod policies;
mod run;
mod trace;
mod world;

use clap::{Args, ValueEnum};
use serde::Serialize;

pub use measures::{Measures, Percentiles};

/// Names a load with its faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// Few calls, after long gaps.
    QuietDay,
    /// Large accounts come back in rushes.
    MonthEnd,
    /// All accounts come back in rushes.
    YearEnd,
    /// Stores' links are slow for a third of the time.
    SlowLink,
    /// A store dies and comes back empty.
    StoreLost,
    /// Stores have too little room.
    StoreFull,
    /// One account sends far more than its share.
    Flood,
    /// The engines of a failure domain restart with empty memory.
    DomainRestart,
}

/// Names a way of choosing targets and fetches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Any free target, without fetching.
    Random,
    /// The target with the least to compute, without fetching.
    LeastLoaded,
    /// The target that holds most of the prompt, without fetching.
    Affinity,
    /// The target with the least to compute, fetching all that is kept.
    AlwaysFetch,
    /// The target that would compute the prompt first, without fetching.
    AlwaysRecompute,
    /// The product's.
    Ours,
    /// Every target and number of pieces, with exact knowledge of the present.
    Oracle,
}

/// Names the users' sizes of today.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Size {
    /// Twelve engines, long prompts.
    Kesong,
    /// Eighteen engines, shorter prompts.
    Litera,
}

/// Names the weights of the preset in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Preset {
    /// Time to first token weighs most.
    FirstToken,
    /// The recomputed share and link use weigh most.
    Economy,
}

/// Describes one experiment but for the policy.
#[derive(Debug, Clone, Copy, Args, Serialize)]
pub struct Setup {
    /// The seed of requests and faults.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// The load and its faults.
    #[arg(long, value_enum)]
    pub scenario: Scenario,
    /// Whose deployment.
    #[arg(long, value_enum, default_value_t = Size::Kesong)]
    pub size: Size,
    /// Times the size of today.
    #[arg(long, default_value_t = 1)]
    pub scale: u32,
    /// The weights of the preset in force.
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

/// Runs policies over the same trace.
pub fn run(setup: &Setup, policies: &[Policy]) -> Vec<Measures> {
    let trace = trace::make(setup);
    policies.iter().map(|policy| run::run(setup, &trace, *policy)).collect()
}

/// Writes measures as a table for people.
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
