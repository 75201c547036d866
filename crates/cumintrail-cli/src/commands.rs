//! The commands and their output.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Args, CommandFactory, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use cumintrail_config::{Settings, Snapshot};
use cumintrail_types::{Digest, Generation};
use cumintrail_wire::operator::DrainRequest;
use serde::Serialize;

use crate::declarations::Declarations;
use crate::errors::{UnconfirmedSnafu, UsageSnafu};
use crate::table::Style;
use crate::{CliError, Missing, OperatorClient, drain, dump, lift, publish, status};

const CONFIRM_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Operates a cumintrail deployment.
#[derive(Debug, Parser)]
#[command(name = "cumintrail", version)]
pub struct Arguments {
    /// The operator's access file, with [platform] and [operator].
    #[arg(long, global = true, value_name = "FILE", default_value = "operator.ini")]
    access: PathBuf,
    /// How results are written.
    #[arg(long, global = true, value_enum, default_value_t = Format::Text)]
    format: Format,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Format {
    /// For people.
    Text,
    /// For scripts.
    Json,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Check a directory of declarations, or a daemon's settings file.
    Check {
        /// The directory or file.
        path: PathBuf,
    },
    /// Show what applying a directory of declarations would change.
    Plan {
        /// The directory.
        directory: PathBuf,
    },
    /// Put a directory of declarations in force.
    Apply {
        /// The directory.
        directory: PathBuf,
        /// Wait until all daemons have confirmed, at most this many seconds.
        #[arg(long, value_name = "SECONDS")]
        wait: Option<u64>,
    },
    /// List presets, or switch the one in force.
    Preset {
        #[command(subcommand)]
        command: PresetCommand,
    },
    /// Show the generation in force per daemon and failure domain.
    Status,
    /// Show the state of one daemon.
    Dump {
        /// The VM's name.
        #[arg(long)]
        vm: String,
    },
    /// Give a target or a VM no new work and tell when it is safe to stop.
    Drain(DrainArguments),
    /// Send calls with content in quarantine to targets again.
    Lift {
        /// The content, as dumps and log lines show it.
        content: String,
    },
    /// Print the digest of an API key read from standard input.
    HashKey,
    /// Print a completion script.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

#[derive(Debug, Args)]
struct DrainArguments {
    #[command(flatten)]
    subject: DrainSubject,
    /// Wait until it is safe to stop, at most this many seconds.
    #[arg(long, value_name = "SECONDS", default_value_t = 0)]
    wait: u64,
}

#[derive(Debug, Args)]
#[group(required = true, multiple = false)]
struct DrainSubject {
    /// The declared name of a target.
    #[arg(long, value_name = "NAME")]
    target: Option<String>,
    /// The name of an entry VM, whose daemon then finishes its calls and takes no more.
    #[arg(long, value_name = "NAME")]
    vm: Option<String>,
}

impl DrainSubject {
    fn to_request(&self) -> DrainRequest {
        match (&self.target, &self.vm) {
            (Some(target), _) => DrainRequest::Target(target.as_str().into()),
            (None, vm) => DrainRequest::Vm(vm.as_deref().unwrap_or_default().into()),
        }
    }
}

#[derive(Debug, Subcommand)]
enum PresetCommand {
    /// List the presets.
    List,
    /// Put a preset in force.
    Switch {
        /// The preset's name.
        name: String,
        /// Wait until all daemons have confirmed, at most this many seconds.
        #[arg(long, value_name = "SECONDS")]
        wait: Option<u64>,
    },
}

/// Describes a failed command in JSON output.
#[derive(Debug, Serialize)]
struct Failure {
    error: &'static str,
    exit_code: u8,
    message: String,
}

impl From<&CliError> for Failure {
    fn from(e: &CliError) -> Self {
        Self { error: e.code(), exit_code: e.exit_code(), message: e.to_string() }
    }
}

/// Runs a command in an actix system of its own, prints its output, and returns the exit code.
pub fn run_to_exit(arguments: Arguments) -> ExitCode {
    let format = arguments.format;
    match actix_rt::System::new().block_on(run(arguments)) {
        Ok(output) => {
            println!("{output}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("{}", render(format, &Failure::from(&e), || e.to_string()));
            ExitCode::from(e.exit_code())
        }
    }
}

/// Runs a command and returns its output.
pub async fn run(arguments: Arguments) -> Result<String, CliError> {
    let format = arguments.format;
    match &arguments.command {
        Command::Check { path } => {
            check(path)?;
            Ok(render(format, &path, || format!("{}: ok", path.display())))
        }
        Command::HashKey => hash_key().map(|digest| render(format, &digest, || digest.to_string())),
        Command::Completions { shell } => {
            let script = completions(*shell);
            Ok(render(format, &script, || script.clone()))
        }
        command => {
            run_with_client(command, &OperatorClient::open(&arguments.access)?, format).await
        }
    }
}

async fn run_with_client(
    command: &Command,
    client: &OperatorClient,
    format: Format,
) -> Result<String, CliError> {
    match command {
        Command::Plan { directory } => {
            let (_, change) = publish::plan(client, directory).await?;
            Ok(render(format, &change, || describe_change(&change)))
        }
        Command::Apply { directory, wait } => {
            let generation = publish::apply(client, directory).await?;
            wait_for_confirmation(client, generation, *wait).await?;
            Ok(render(format, &generation, || format!("generation {generation} is accepted")))
        }
        Command::Preset { command: PresetCommand::List } => list_presets(client, format).await,
        Command::Preset { command: PresetCommand::Switch { name, wait } } => {
            let generation = publish::switch_preset(client, name).await?;
            wait_for_confirmation(client, generation, *wait).await?;
            Ok(render(format, &generation, || format!("generation {generation} is accepted")))
        }
        Command::Status => {
            let report = status::StatusReport::new(status::read_all(client).await?);
            Ok(render(format, &report, || report.to_text(Style::of_stdout())))
        }
        Command::Dump { vm } => {
            let state = dump::read_dump(client, vm).await?;
            Ok(render(format, &state, || dump::to_text(&state, Style::of_stdout())))
        }
        Command::Drain(DrainArguments { subject, wait }) => {
            let wait = Duration::from_secs(*wait);
            let drained = drain::drain(client, &subject.to_request(), wait).await?;
            Ok(render(format, &drained, || format!("{} is safe to stop", drained.name)))
        }
        Command::Lift { content } => {
            lift::lift(client, content).await?;
            Ok(render(format, content, || format!("calls with {content} are sent again")))
        }
        Command::Check { .. } | Command::HashKey | Command::Completions { .. } => Ok(String::new()),
    }
}

fn check(path: &Path) -> Result<(), CliError> {
    if path.is_dir() {
        let declarations = Declarations::open(path)?;
        Snapshot::build(Generation(1), &declarations.parsed, None, None)?;
    } else {
        Settings::open(path)?;
    }
    Ok(())
}

fn hash_key() -> Result<Digest, CliError> {
    let mut line = String::new();
    let read = std::io::stdin().read_line(&mut line);
    let key = line.trim();
    if read.is_err() || key.is_empty() {
        let (message, hint) = ("no key on standard input", "pipe the API key into the command");
        return UsageSnafu { message, hint }.fail();
    }
    Ok(Digest::of(key.as_bytes()))
}

fn completions(shell: Shell) -> String {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut Arguments::command(), "cumintrail", &mut script);
    String::from_utf8_lossy(&script).into_owned()
}

fn describe_change(change: &publish::ConfigurationChange) -> String {
    format!("changes to generation {}:\n{}", change.from, change.lines().join("\n"))
}

async fn list_presets(client: &OperatorClient, format: Format) -> Result<String, CliError> {
    let committed = publish::CommittedConfiguration::read(client).await?;
    let presets = committed.sections.0.keys().filter(|name| &*name.kind == "preset");
    let rows: Vec<(String, bool)> = presets
        .map(|name| (name.name.to_string(), committed.preset.as_deref() == Some(&*name.name)))
        .collect();
    let line =
        |(name, in_force): &(String, bool)| format!("{} {name}", if *in_force { "*" } else { " " });
    Ok(render(format, &rows, || rows.iter().map(line).collect::<Vec<_>>().join("\n")))
}

/// Waits at most `wait` seconds until all listed daemons have `generation` in force.
///
/// Returns at once if `wait` is `None`.
pub async fn wait_for_confirmation(
    client: &OperatorClient,
    generation: Generation,
    wait: Option<u64>,
) -> Result<(), CliError> {
    let Some(seconds) = wait else { return Ok(()) };
    let deadline = Instant::now() + Duration::from_secs(seconds);
    loop {
        let rows = status::read_all(client).await?;
        let mut missing = Missing::default();
        let behind = rows.iter().filter(|row| !row.has_generation(generation));
        behind.for_each(|row| missing.add(&row.domain, &row.address));
        if missing.is_empty() {
            return Ok(());
        }
        if Instant::now() >= deadline {
            return UnconfirmedSnafu { generation, missing }.fail();
        }
        actix_rt::time::sleep(CONFIRM_POLL_INTERVAL).await;
    }
}

fn render<T: Serialize>(format: Format, value: &T, text: impl FnOnce() -> String) -> String {
    match format {
        Format::Text => text(),
        Format::Json => serde_json::to_string(value).unwrap_or_default(),
    }
}
