//! Runs the stand-ins of the platform, or a soak of daemons on them.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use cumintrail_platform_standin::deployment::{API_KEY, Deployment, HOST};
use cumintrail_platform_standin::soak;

/// Stands in for the Kesong Puti platform on loopback.
#[derive(Debug, Parser)]
#[command(name = "cumintrail-platform-standin", version)]
struct Arguments {
    /// The daemon's program.
    #[arg(long, default_value = "target/release/cumintraild-platform", global = true)]
    daemon: PathBuf,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a store, replicas and daemons until interrupted, and print how to call them.
    Stand {
        /// How many daemons run.
        #[arg(long, default_value_t = 2)]
        vms: usize,
        /// Where settings and logs are written.
        #[arg(long, default_value = "target/standin")]
        folder: PathBuf,
    },
    /// Run daemons under random faults and check what callers and replicas see.
    Soak {
        /// Decides the faults.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many seeds are run, one after the other.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// How long faults are injected, in seconds.
        #[arg(long, default_value_t = 30)]
        seconds: u64,
        /// Where the logs of failed seeds are kept.
        #[arg(long, default_value = "target/soak")]
        folder: PathBuf,
    },
}

fn main() -> ExitCode {
    let Arguments { daemon, command } = Arguments::parse();
    let result = actix_rt::System::new().block_on(async {
        match command {
            Command::Stand { vms, folder } => stand(&daemon, &folder, vms).await.map(|()| true),
            Command::Soak { seed, seeds, seconds, folder } => {
                let mut all_passed = true;
                for seed in seed..seed + seeds {
                    let plan = soak::Plan { seed, seconds, ..soak::Plan::default() };
                    let seed_folder = folder.join(format!("seed-{seed}"));
                    std::fs::create_dir_all(&seed_folder)?;
                    let report = soak::run(&daemon, &seed_folder, plan).await?;
                    println!("{report}");
                    all_passed &= report.violations.is_empty();
                    if report.violations.is_empty() {
                        std::fs::remove_dir_all(&seed_folder)?;
                    }
                }
                Ok::<_, std::io::Error>(all_passed)
            }
        }
    });
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("{e}; is {} built?", daemon.display());
            ExitCode::FAILURE
        }
    }
}

async fn stand(
    daemon: &std::path::Path,
    folder: &std::path::Path,
    vms: usize,
) -> std::io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let deployment = Deployment::spawn(daemon, folder, vms, 2, 2).await?;
    if !deployment.wait_ready().await {
        return Err(std::io::Error::other("the daemons do not get ready; see their logs"));
    }
    for vm in &deployment.vms {
        println!(
            "curl -sS http://{}/hold/ -H 'Host: {HOST}' -H 'Authorization: Bearer {API_KEY}' \
             -H 'X-Request-Id: call-1' -H 'X-Request-Deadline: 3000' -d 'two wheels'",
            vm.caller_address
        );
    }
    println!("settings and logs are in {}; interrupt to stop", folder.display());
    actix_rt::signal::ctrl_c().await
}
