//! Real daemons under load over loopback: what they add to a call, and what control costs.
//!
//! Each daemon is a process of its own; stand-ins and callers run in this one. Calls through the
//! daemons alternate with calls straight to an engine, so that both meet the same machine.

mod callers;
mod deployment;
mod process_use;
mod report;

use std::time::Duration;

use clap::Args;
use snafu::Snafu;

use self::callers::{Latency, Route};
use self::deployment::Deployment;
pub use self::report::{Cost, Quantiles, Report, Served};
use crate::cluster::ClusterError;

const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Sets the size of a measurement; every size is bounded.
#[derive(Debug, Clone, Copy, Args)]
pub struct Options {
    /// Daemon processes.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u16).range(1..=96))]
    pub daemons: u16,
    /// Seconds of rest, and as many of load.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u16).range(1..=120))]
    pub seconds: u16,
    /// Calls a second through daemons, and as many straight to engines.
    #[arg(long, default_value_t = 50, value_parser = clap::value_parser!(u16).range(1..=1_000))]
    pub rate: u16,
    /// Client accounts declared besides the caller's.
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u32).range(0..=50_000))]
    pub accounts: u32,
    /// Targets declared besides the four engines; they share the engines' addresses.
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u32).range(0..=4_000))]
    pub targets: u32,
    /// Blocks that the store holds from the start.
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u32).range(0..=400_000))]
    pub blocks: u32,
    /// Target VMs in the VM list besides the daemons.
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u16).range(0..=4_000))]
    pub vms: u16,
}

/// Reports why a measurement could not be made.
#[derive(Debug, Snafu)]
pub enum LoadError {
    /// The deployment could not start.
    #[snafu(transparent)]
    Cluster {
        /// The deployment's error.
        source: ClusterError,
    },
    /// A daemon does not show its metrics.
    #[snafu(display("daemon {index} does not show its metrics"))]
    NoMetrics {
        /// The daemon.
        index: usize,
    },
}

/// Measures a deployment at rest and under load.
pub async fn run(options: Options) -> Result<Report, LoadError> {
    let deployment = Deployment::spawn(&options).await?;
    actix_rt::time::sleep(SETTLE_TIME).await;
    let length = Duration::from_secs(options.seconds.into());

    let before = deployment.usage().await?;
    actix_rt::time::sleep(length).await;
    let rested = deployment.usage().await?;

    let through: Vec<Route> = deployment.caller_addresses().map(Route::Daemon).collect();
    let direct: Vec<Route> = deployment.engine_addresses().map(Route::Engine).collect();
    let (through, direct) = tokio::join!(
        callers::drive(&through, options.rate, length),
        callers::drive(&direct, options.rate, length)
    );
    let loaded = deployment.usage().await?;
    let served = |latency: &Latency| Served::new(latency);
    Ok(Report {
        daemons: options.daemons,
        seconds: options.seconds,
        rate: options.rate,
        accounts: options.accounts,
        targets: options.targets,
        blocks: options.blocks,
        vms: options.vms,
        rest: Cost::between(&before, &rested),
        load: Cost::between(&rested, &loaded),
        through: served(&through),
        direct: served(&direct),
    })
}
