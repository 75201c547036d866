//! Measures daemon processes under load over loopback: the latency that they add to a call, and the
//! resources that they use.
//!
//! Each daemon is a separate process; stand-ins and callers run in this one. Calls through the
//! daemons and calls directly to the engines run at the same time, so that the load of the machine
//! affects both equally.

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

/// The size of a measurement; each option has an upper limit.
#[derive(Debug, Clone, Copy, Args)]
pub struct Options {
    /// Number of daemon processes.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u16).range(1..=96))]
    pub daemons: u16,
    /// Length of the measurement at rest, and of the measurement under load, in seconds.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u16).range(1..=120))]
    pub seconds: u16,
    /// Calls per second through daemons, and again as many directly to engines.
    #[arg(long, default_value_t = 50, value_parser = clap::value_parser!(u16).range(1..=1_000))]
    pub rate: u16,
    /// Client accounts declared in addition to those of the callers.
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u32).range(0..=50_000))]
    pub accounts: u32,
    /// Targets declared in addition to the four engines; they share the engines' addresses.
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u32).range(0..=4_000))]
    pub targets: u32,
    /// Blocks that the store contains at the start.
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u32).range(0..=400_000))]
    pub blocks: u32,
    /// Target VMs in the VM list in addition to the daemons.
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u16).range(0..=4_000))]
    pub vms: u16,
}

/// An error that prevented a measurement.
#[derive(Debug, Snafu)]
pub enum LoadError {
    /// The deployment could not start.
    #[snafu(transparent)]
    Cluster {
        /// The deployment's error.
        source: ClusterError,
    },
    /// The metrics of a daemon could not be read.
    #[snafu(display("daemon {index} does not show its metrics"))]
    NoMetrics {
        /// Index of the daemon.
        index: usize,
    },
}

/// Starts a deployment and measures it at rest and then under load.
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
