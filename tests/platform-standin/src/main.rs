//! Runs a deployment on the platform's stand-ins, or a soak test of daemons on them.

use std::os::unix::fs::PermissionsExt as _;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use cumintrail_platform_standin::deployment::{API_KEY, Builds, Deployment, HOST};
use cumintrail_platform_standin::{soak, wire};

/// Stands in for the Kesong Puti platform on loopback.
#[derive(Debug, Parser)]
#[command(name = "cumintrail-platform-standin", version)]
struct Arguments {
    /// Path of the daemon's executable.
    #[arg(long, default_value = "target/release/cumintraild-platform", global = true)]
    daemon: PathBuf,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a row store, replicas and daemons until interrupted; print a sample call for each VM.
    Stand {
        /// Number of VMs, each of which runs one daemon.
        #[arg(long, default_value_t = 2)]
        vms: usize,
        /// Folder for settings files and logs.
        #[arg(long, default_value = "target/standin")]
        folder: PathBuf,
    },
    /// Run daemons under random faults and check what callers and replicas see.
    Soak {
        /// Seed of the random faults; the first one if several seeds are run.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of consecutive seeds to run, one after the other.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// Duration of the fault injection, in seconds.
        #[arg(long, default_value_t = 30)]
        seconds: u64,
        #[command(flatten)]
        options: SoakOptions,
        /// Folder for settings files and logs; those of failed seeds are not deleted.
        #[arg(long, default_value = "target/soak")]
        folder: PathBuf,
    },
    /// Run daemons between targets with faulty responses and callers, and check the bytes of each
    /// call.
    Wire {
        /// Seed of the script; the first one if several seeds are run.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of consecutive seeds to run, one after the other.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// Duration of each script, in seconds.
        #[arg(long, default_value_t = 10)]
        seconds: u64,
        /// Reset connections where the script kills a target.
        #[arg(long)]
        without_kills: bool,
        /// Leave targets and daemons of the deployment as they are at the start.
        #[arg(long)]
        without_changes: bool,
        /// Let software versions appear that no entry of the registry names yet; seeds have other
        /// scripts with it.
        #[arg(long, conflicts_with_all = ["without_changes", "without_kills"])]
        releases: bool,
        /// Also let processes of new versions end before they write an entry.
        #[arg(long, requires = "releases")]
        withdrawn: bool,
        /// Let each process of a target have an id of its own, and state no start.
        #[arg(long, conflicts_with = "withdrawn")]
        without_starts: bool,
        /// Let callers take streams up without naming them.
        #[arg(long)]
        without_names: bool,
        /// Path of an earlier build of the daemon, which runs at first; each further start of a daemon
        /// is on the other build.
        #[arg(long, value_parser = executable)]
        upgrade_from: Option<PathBuf>,
        /// Print the scripts instead of running them.
        #[arg(long)]
        print: bool,
        /// Folder for settings files, logs and records of calls; those of failed seeds are not
        /// deleted.
        #[arg(long, default_value = "target/wire")]
        folder: PathBuf,
    },
}

/// Selects what a soak injects beside its usual faults.
#[derive(Debug, Clone, Copy, clap::Args)]
struct SoakOptions {
    /// Also restore the platform's store from older copies.
    #[arg(long)]
    restores: bool,
    /// Also send calls with parts of prompts that crash engines.
    #[arg(long)]
    crashing_parts: bool,
    /// Also repeat requests that crash replicas.
    #[arg(long)]
    crashing_requests: bool,
    /// Also let replicas name limits of requests.
    #[arg(long)]
    limits: bool,
    /// Announce weight versions in series while engines hold calls and orders, and daemons are
    /// killed, restarted and suspended; no other faults come.
    #[arg(long)]
    weights: bool,
}

/// Accepts the path of a file that can be executed.
fn executable(path: &str) -> Result<PathBuf, String> {
    match std::fs::metadata(path) {
        Ok(file) if file.is_file() && file.permissions().mode() & 0o111 != 0 => Ok(path.into()),
        Ok(_) => Err("this is no executable file; name the built cumintraild-platform".into()),
        Err(e) => Err(format!("{e}; build cumintraild-platform at the earlier commit first")),
    }
}

fn main() -> ExitCode {
    let Arguments { daemon, command } = Arguments::parse();
    let result = actix_rt::System::new().block_on(async {
        match command {
            Command::Stand { vms, folder } => stand(&daemon, &folder, vms).await.map(|()| true),
            Command::Soak { seed, seeds, seconds, options, folder } => {
                let mut all_passed = true;
                for seed in seed..seed + seeds {
                    let SoakOptions {
                        restores,
                        crashing_parts,
                        crashing_requests,
                        limits,
                        weights,
                    } = options;
                    let plan = soak::Plan {
                        seed,
                        seconds,
                        restores,
                        crashing_parts,
                        crashing_requests,
                        limits,
                        weights,
                        ..soak::Plan::default()
                    };
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
            Command::Wire {
                seed,
                seeds,
                seconds,
                without_kills,
                without_changes,
                releases,
                withdrawn,
                without_starts,
                without_names,
                upgrade_from,
                print,
                folder,
            } => {
                let mut all_passed = true;
                let builds = Builds { current: daemon.clone(), earlier: upgrade_from };
                for seed in seed..seed + seeds {
                    let mut script = if without_changes {
                        wire::Script::draw_steady(seed, seconds)
                    } else if releases {
                        wire::Script::draw_releases(seed, seconds, withdrawn)
                    } else {
                        wire::Script::draw(seed, seconds)
                    };
                    if without_kills {
                        script = script.without_kills();
                    }
                    if without_starts {
                        script = script.without_starts();
                    }
                    if without_names {
                        script = script.without_names();
                    }
                    if print {
                        println!("{script:#?}");
                        continue;
                    }
                    let seed_folder = folder.join(format!("seed-{seed}"));
                    std::fs::create_dir_all(&seed_folder)?;
                    let report = wire::run(builds.clone(), &seed_folder, script).await?;
                    println!("{report}");
                    all_passed &= report.findings.is_empty();
                    if report.findings.is_empty() {
                        std::fs::remove_dir_all(&seed_folder)?;
                    }
                }
                Ok(all_passed)
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
    let deployment = Deployment::spawn(daemon, folder, vms, 2, 2, true).await?;
    if !deployment.wait_ready().await {
        return Err(std::io::Error::other("the daemons did not become ready; see their logs"));
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
