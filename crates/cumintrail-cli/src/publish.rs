//! Committing a new configuration by one conditional write; docs/DESIGN.md, "Configuration".

use std::path::Path;
use std::sync::Arc;

use cumintrail_client::config_log::{self, Head, LogError, Outcome, Proposal};
use cumintrail_config::{Delta, Sections, Snapshot};
use cumintrail_types::{Generation, WriteId};
use cumintrail_wire::configuration::Configuration;
use rand::Rng;
use serde::Serialize;
use snafu::ResultExt;

use crate::declarations::Declarations;
use crate::errors::{ConflictSnafu, RecordSnafu, UnreachableSnafu, UnsettledSnafu};
use crate::{CliError, OperatorClient};

const PLATFORM: &str = "the platform";
const RETRY_HINT: &str = "the platform may be down; nothing is lost, try again";

/// Stores the committed configuration as read from the platform.
#[derive(Debug, Clone)]
pub struct CommittedConfiguration {
    /// The committed generation; zero before the first commit.
    pub generation: Generation,
    /// The preset in force; `None` before the first commit.
    pub preset: Option<Arc<str>>,
    /// The canonical sections of the declarations.
    pub sections: Sections,
    head: Head,
}

/// Describes a change to the committed configuration.
#[derive(Debug, Clone, Serialize)]
pub struct ConfigurationChange {
    /// The generation that the change starts from.
    pub from: Generation,
    /// The sections that are set and removed.
    pub delta: Delta,
    /// The preset in force after the change.
    pub preset: Arc<str>,
}

impl ConfigurationChange {
    /// Returns one line for each changed section and one for the preset.
    pub fn lines(&self) -> Vec<String> {
        let set = self.delta.set.iter().map(|(name, _)| format!("  set     [{name}]"));
        let removed = self.delta.removed.iter().map(|name| format!("  remove  [{name}]"));
        let mut lines: Vec<String> = set.chain(removed).collect();
        if lines.is_empty() {
            lines.push("  no section".into());
        }
        lines.push(format!("  preset in force: {}", self.preset));
        lines
    }
}

impl CommittedConfiguration {
    /// Reads the committed configuration from the platform.
    pub async fn read(client: &OperatorClient) -> Result<Self, CliError> {
        let head = config_log::read_head(&client.platform).await.map_err(from_log_error)?;
        let empty = Configuration::default();
        let current = config_log::read_configuration(&client.platform, &head, &empty).await;
        let current = current.map_err(from_log_error)?;
        Ok(Self {
            generation: current.generation,
            preset: head.record.as_ref().map(|_| current.preset),
            sections: current.sections,
            head,
        })
    }
}

/// Computes what applying a directory of declarations would change.
pub async fn plan(
    client: &OperatorClient,
    directory: &Path,
) -> Result<(CommittedConfiguration, ConfigurationChange), CliError> {
    plan_declarations(client, &Declarations::open(directory)?).await
}

async fn plan_declarations(
    client: &OperatorClient,
    declarations: &Declarations,
) -> Result<(CommittedConfiguration, ConfigurationChange), CliError> {
    Snapshot::build(Generation(1), &declarations.parsed, None, None)?;
    let committed = CommittedConfiguration::read(client).await?;
    let preset = committed.preset.clone();
    let next = Generation(committed.generation.0 + 1);
    let snapshot = Snapshot::build(next, &declarations.parsed, preset.as_deref(), None)?;
    let delta = committed.sections.delta_to(&declarations.sections);
    let change = ConfigurationChange {
        from: committed.generation,
        delta,
        preset: snapshot.preset.name.clone(),
    };
    Ok((committed, change))
}

/// Commits a directory of declarations and returns the committed generation.
///
/// Declarations that equal the committed ones are not committed again.
pub async fn apply(client: &OperatorClient, directory: &Path) -> Result<Generation, CliError> {
    let declarations = Declarations::open(directory)?;
    let (committed, change) = plan_declarations(client, &declarations).await?;
    if change.delta.is_empty() && committed.generation.0 > 0 {
        return Ok(committed.generation);
    }
    declarations.upload(client).await?;
    commit_change(client, committed, change).await
}

/// Commits a switch to preset `name` and returns the committed generation.
///
/// Nothing is committed if the preset is already in force.
pub async fn switch_preset(client: &OperatorClient, name: &str) -> Result<Generation, CliError> {
    let committed = CommittedConfiguration::read(client).await?;
    if committed.preset.as_deref() == Some(name) {
        return Ok(committed.generation);
    }
    let parsed = committed.sections.to_parsed()?;
    let next = Generation(committed.generation.0 + 1);
    Snapshot::build(next, &parsed, Some(name), None)?;
    let change = ConfigurationChange {
        from: committed.generation,
        delta: Delta::default(),
        preset: name.into(),
    };
    commit_change(client, committed, change).await
}

/// Commits `change` as the next generation.
///
/// If another operator committed that generation first, the error lists what has changed.
async fn commit_change(
    client: &OperatorClient,
    committed: CommittedConfiguration,
    change: ConfigurationChange,
) -> Result<Generation, CliError> {
    let mut sections = committed.sections.clone();
    sections.apply(&change.delta);
    let proposal = Proposal {
        head: committed.head.clone(),
        id: WriteId(rand::rng().random()).to_string(),
        delta: change.delta,
        preset: change.preset,
        retry_delay: config_log::COMMIT_RETRY_DELAY,
    };
    match config_log::propose(&client.platform, &proposal, &sections).await {
        Outcome::Committed(generation) => Ok(generation),
        Outcome::Conflict => Err(conflict_error(client, &committed).await),
        Outcome::Failed(source) => {
            Err(source).context(UnreachableSnafu { what: PLATFORM, hint: RETRY_HINT })
        }
        Outcome::Unknown(source) => Err(source).context(UnsettledSnafu),
    }
}

/// Returns the error that lists what other operators changed since `before` was read.
async fn conflict_error(client: &OperatorClient, before: &CommittedConfiguration) -> CliError {
    let now = match CommittedConfiguration::read(client).await {
        Ok(now) => now,
        Err(e) => return e,
    };
    let delta = before.sections.delta_to(&now.sections);
    let preset = now.preset.unwrap_or_default();
    let change = ConfigurationChange { from: before.generation, delta, preset };
    ConflictSnafu { committed: now.generation, changes: change.lines().join("\n") }.build()
}

fn from_log_error(e: LogError) -> CliError {
    match e {
        LogError::Client { source } => {
            CliError::Unreachable { what: PLATFORM.into(), source, hint: RETRY_HINT }
        }
        LogError::Record { key } => {
            let hint = "the platform's table or object store has lost or changed the record; restore \
                        the record";
            RecordSnafu { key, hint }.build()
        }
    }
}
