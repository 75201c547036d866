//! `cumintrail-tests`: runs the demonstration, the measuring tools and each stand-in.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand, ValueEnum};
use cumintrail_tests::experiment::{self, Policy};
use cumintrail_tests::standins::{engine, platform, relay, service, store};
use cumintrail_tests::{demo, load, longrun};

/// Runs stand-ins, the demonstration and measuring tools.
#[derive(Debug, Parser)]
#[command(name = "cumintrail-tests", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Serve a prompt twice through a whole deployment, first uncached and then from the cache.
    Demo {
        /// Output format.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Measure daemon processes at rest and under load, over loopback.
    Load {
        #[command(flatten)]
        options: load::Options,
        /// Output format.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Measure placement policies in virtual time.
    Experiment {
        /// Parameters of the experiment.
        #[command(flatten)]
        setup: experiment::Setup,
        /// Name of a policy, or `all`.
        #[arg(long, default_value = "all")]
        policy: String,
        /// Output format.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Run a deployment under random faults and check its behavior from the outside.
    Longrun {
        /// Seed of the faults and of the callers' choices.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How long faults are injected, in seconds.
        #[arg(long, default_value_t = 60)]
        seconds: u64,
    },
    /// Run a platform stand-in.
    Platform {
        /// Address to listen on.
        #[arg(long, default_value = "127.0.0.1:7100")]
        address: SocketAddr,
        /// Duration of one weight load, in milliseconds.
        #[arg(long, default_value_t = 1_000)]
        load_ms: u64,
        /// Number of weight loads that run at full speed.
        #[arg(long, default_value_t = 2)]
        load_slots: u32,
    },
    /// Run an engine stand-in.
    Engine {
        /// Address to listen on.
        #[arg(long, default_value = "127.0.0.1:7201")]
        address: SocketAddr,
        /// Weight version that is loaded at the start.
        #[arg(long, default_value_t = 1)]
        version: u64,
        /// Address of the platform's weight store.
        #[arg(long)]
        weights: Option<SocketAddr>,
        /// Number of prefix blocks that fit in memory.
        #[arg(long, default_value_t = 64)]
        memory_pieces: usize,
        /// Execute orders with outdated fencing numbers.
        #[arg(long)]
        ignore_fencing: bool,
    },
    /// Run a store stand-in.
    Store {
        /// Address to listen on.
        #[arg(long, default_value = "127.0.0.1:7301")]
        address: SocketAddr,
        /// Link bandwidth, in bytes per second.
        #[arg(long, default_value_t = 100 << 20)]
        link_per_second: u64,
    },
    /// Run a replica of a plain service.
    Service {
        /// Address to listen on.
        #[arg(long, default_value = "127.0.0.1:7401")]
        address: SocketAddr,
    },
    /// Run `cumintraild`, for tests with daemon processes.
    Cumintraild(cumintrail_daemon::Arguments),
    /// Run `cumintrail`, for tests of the command line.
    Cumintrail(cumintrail_cli::Arguments),
    /// Run a TCP relay.
    Relay {
        /// Address to listen on.
        #[arg(long)]
        address: SocketAddr,
        /// Address to which connections are forwarded.
        #[arg(long)]
        to: SocketAddr,
        /// Address that accepts `POST /mode`.
        #[arg(long)]
        control: SocketAddr,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Format {
    /// Plain text.
    Text,
    /// JSON.
    Json,
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        Command::Cumintraild(arguments) => cumintrail_daemon::run(&arguments),
        Command::Cumintrail(arguments) => cumintrail_cli::run_to_exit(arguments),
        Command::Experiment { setup, policy, format } => {
            match experiment::parse_policies(&policy) {
                Ok(policies) => show_experiment(&setup, &policies, format),
                Err(e) => {
                    eprintln!("unknown policy `{policy}`: {e}");
                    ExitCode::FAILURE
                }
            }
        }
        command => actix_rt::System::new().block_on(run(command)),
    }
}

async fn run(command: Command) -> ExitCode {
    let started = match command {
        Command::Demo { format } => return show_demo(format).await,
        Command::Longrun { seed, seconds } => {
            return run_long(longrun::Options { seed, run: Duration::from_secs(seconds) }).await;
        }
        Command::Load { options, format } => return show_load(options, format).await,
        Command::Platform { address, load_ms, load_slots } => {
            platform::Platform::spawn(address, load_ms, load_slots).map(|p| p.address())
        }
        Command::Engine { address, version, weights, memory_pieces, ignore_fencing } => {
            let checks_fencing = !ignore_fencing;
            let limits =
                engine::Limits { weights, memory_pieces, checks_fencing, ..Default::default() };
            engine::Engine::spawn(address, version, limits).map(|e| e.address())
        }
        Command::Store { address, link_per_second } => {
            let limits = store::Limits {
                memory_bytes: 256 << 20,
                capacity_bytes: 1 << 30,
                link_per_second,
                disk_per_second: 50 << 20,
            };
            store::Store::spawn(address, limits).map(|s| s.address())
        }
        Command::Service { address } => service::Service::spawn(address).map(|s| s.address()),
        Command::Experiment { .. } | Command::Cumintraild(_) | Command::Cumintrail(_) => {
            return ExitCode::SUCCESS;
        }
        Command::Relay { address, to, control } => match relay::Relay::spawn(address, to).await {
            Ok(relay) => relay.serve_control(control).map(|_| relay.address()),
            Err(e) => Err(e),
        },
    };
    match started {
        Ok(address) => {
            println!("listening on {address}");
            loop {
                actix_rt::time::sleep(Duration::from_secs(3_600)).await;
            }
        }
        Err(e) => {
            eprintln!("cannot start: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn show_load(options: load::Options, format: Format) -> ExitCode {
    match load::run(options).await {
        Ok(report) if format == Format::Json => {
            println!("{}", serde_json::to_string(&report).unwrap_or_default());
            ExitCode::SUCCESS
        }
        Ok(report) => {
            println!("{report}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

fn show_experiment(setup: &experiment::Setup, policies: &[Policy], format: Format) -> ExitCode {
    let measures = experiment::run(setup, policies);
    match format {
        Format::Text => print!("{}", experiment::to_table(&measures)),
        Format::Json => {
            let result = serde_json::json!({ "setup": setup, "policies": measures });
            println!("{result}");
        }
    }
    ExitCode::SUCCESS
}

async fn run_long(options: longrun::Options) -> ExitCode {
    println!("seed {}", options.seed);
    for planned in options.schedule() {
        println!("{planned}");
    }
    let binary = std::env::current_exe().unwrap_or_default().display().to_string();
    match longrun::run(&binary, &options).await {
        Ok(verdict) => {
            println!("{}", serde_json::to_string_pretty(&verdict).unwrap_or_default());
            if verdict.violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

async fn show_demo(format: Format) -> ExitCode {
    let results = match demo::run().await {
        Ok(results) => results,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::FAILURE;
        }
    };
    if format == Format::Json {
        println!("{}", serde_json::to_string(&results).unwrap_or_default());
    } else {
        println!(
            "{:<10} {:>14} {:>17} {:>12} {:>9}",
            "PROMPT", "FIRST TOKEN ms", "RECOMPUTED SHARE", "LINK BYTES", "WHOLE"
        );
        for (name, m) in [("cold", &results.cold), ("returned", &results.returned)] {
            println!(
                "{name:<10} {:>14.1} {:>17.3} {:>12} {:>9}",
                m.first_token_ms, m.recomputed_share, m.link_bytes, m.complete
            );
        }
    }
    if results.cold.complete && results.returned.complete {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
