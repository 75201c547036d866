//! The daemon's process: arguments, logging and signals.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use clap::Parser;
use cumintrail_config::{LogFormat, Settings};
use flexi_logger::{DeferredNow, Logger, LoggerHandle};
use log::Record;
use signal_hook::consts::SIGHUP;
use tokio::signal::unix::{SignalKind, signal};

use crate::log_queue::LogQueue;
use crate::{Daemon, Gateway, GatewayOptions, Platform, install_recorder};

const EXIT_INVALID_SETTINGS: u8 = 2;
const EXIT_START_FAILED: u8 = 3;
/// Suppresses lines of the server libraries below `warn`, such as those about their own threads.
const LIBRARY_LOG_LEVELS: &str = "actix_server=warn, actix_http=warn, awc=warn, mio=warn";
const TIME_FORMAT: &str = "%Y-%m-%dT%H:%M:%S%.3f%:z";

/// Lists all nonzero exit codes of `cumintraild`.
pub const EXIT_CODES: [u8; 2] = [EXIT_INVALID_SETTINGS, EXIT_START_FAILED];

/// Serves callers on one entry VM.
#[derive(Debug, Parser)]
#[command(name = "cumintraild", version)]
pub struct Arguments {
    /// The settings file of this VM.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Check the settings and exit: 0 if they are good, 2 if not.
    #[arg(long)]
    check: bool,
}

/// Keeps a `SIGHUP` from ending the process before [`run_gateway`] handles it.
///
/// Reading the settings and starting the threads takes some milliseconds, in which the platform may
/// report changed settings.
pub fn ignore_early_hangups() {
    if let Err(e) = signal_hook::flag::register(SIGHUP, Arc::default()) {
        eprintln!("a hang-up during the start ends the process: {e}");
    }
}

/// Runs a daemon until the process receives `SIGTERM` or `SIGINT`.
pub fn run(arguments: &Arguments) -> ExitCode {
    let settings = match Settings::open(&arguments.settings) {
        Ok(settings) => settings,
        Err(problems) => {
            eprintln!("{problems}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if arguments.check {
        println!("{}: ok", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    let _logger = start_logger(&settings);
    install_recorder();
    actix_rt::System::new().block_on(serve(settings))
}

/// Runs a gateway until the process receives `SIGTERM` or `SIGINT`.
///
/// A separate thread writes one log line per decision to standard output, so that logging never
/// delays a call.
pub fn run_gateway<P: Platform>(
    settings: Settings,
    options: &GatewayOptions,
    platform: &P,
) -> ExitCode {
    let levels = format!("{}, {LIBRARY_LOG_LEVELS}", settings.log_level);
    let logger = LogQueue::spawn().ok().and_then(|queue| {
        Logger::try_with_str(levels).ok()?.log_to_writer(Box::new(queue)).start().ok()
    });
    if logger.is_none() {
        eprintln!("no log lines are written: the logger could not be started");
    }
    install_recorder();
    actix_rt::System::new().block_on(serve_gateway(settings, options, platform))
}

async fn serve_gateway<P: Platform>(
    settings: Settings,
    options: &GatewayOptions,
    platform: &P,
) -> ExitCode {
    let signals = [SignalKind::terminate(), SignalKind::interrupt(), SignalKind::hangup()];
    let [terminate, interrupt, hangup] = signals.map(signal);
    let (Ok(mut terminate), Ok(mut interrupt), Ok(mut hangup)) = (terminate, interrupt, hangup)
    else {
        eprintln!("cannot listen for signals");
        return ExitCode::from(EXIT_START_FAILED);
    };
    let gateway = match Gateway::spawn(settings, options, platform) {
        Ok(gateway) => gateway,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(EXIT_START_FAILED);
        }
    };
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            // The addresses and limits in the settings are fixed while the process runs.
            _ = hangup.recv() => log::info!("event=reload outcome=unchanged"),
        }
    }
    gateway.stop().await;
    ExitCode::SUCCESS
}

async fn serve(settings: Settings) -> ExitCode {
    let signals =
        signal(SignalKind::terminate()).and_then(|t| Ok((t, signal(SignalKind::interrupt())?)));
    let (mut terminate, mut interrupt) = match signals {
        Ok(signals) => signals,
        Err(e) => {
            eprintln!("cannot listen for signals: {e}");
            return ExitCode::from(EXIT_START_FAILED);
        }
    };
    let daemon = match Daemon::spawn(settings) {
        Ok(daemon) => daemon,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(EXIT_START_FAILED);
        }
    };
    println!("callers {} operators {}", daemon.caller_address(), daemon.operator_address());
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    daemon.stop().await;
    ExitCode::SUCCESS
}

fn start_logger(settings: &Settings) -> Option<LoggerHandle> {
    let levels = format!("{}, {LIBRARY_LOG_LEVELS}", settings.log_level);
    let logger = Logger::try_with_str(levels).ok()?.log_to_stderr();
    let logger = match settings.log_format {
        LogFormat::Text => logger.format(write_text_line),
        LogFormat::Json => logger.format(write_json_line),
    };
    logger.start().ok()
}

fn write_text_line(
    w: &mut dyn std::io::Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> Result<(), std::io::Error> {
    let time = now.format(TIME_FORMAT);
    write!(w, "{time} {:<5} {}", record.level(), record.args())
}

fn write_json_line(
    w: &mut dyn std::io::Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> Result<(), std::io::Error> {
    let line = serde_json::json!({
        "time": now.now().to_rfc3339(),
        "level": record.level().as_str(),
        "module": record.module_path(),
        "message": record.args().to_string(),
    });
    write!(w, "{line}")
}
