//! Accepting a new configuration by one conditional write; docs/DESIGN.md, "Configuration".

use std::path::Path;
use std::sync::Arc;

use cumintrail_client::config_log::{self, Head, LogError, Outcome, Proposal};
use cumintrail_config::{Delta, Sections, Snapshot};
use cumintrail_types::{Generation, WriteId};
use cumintrail_wire::configuration::Configuration;
use rand::Rng;
use serde::Serialize;
use snafu::ResultExt;

use crate::errors::{ConflictSnafu, RecordSnafu, UnreachableSnafu, UnsettledSnafu};
use crate::materials::Declared;
use crate::{Access, CliError};

const PLATFORM: &str = "the platform";
const TRY_AGAIN: &str = "the platform may be down; nothing is lost, try again";

/// Holds the accepted configuration as the platform has it.
#[derive(Debug, Clone)]
pub struct Accepted {
    /// The generation; zero before the first.
    pub generation: Generation,
    /// The preset in force.
    pub preset: Option<Arc<str>>,
    /// The declarations.
    pub sections: Sections,
    head: Head,
}

/// Describes a change that is to be accepted.
#[derive(Debug, Clone, Serialize)]
pub struct Change {
    /// The generation that it changes.
    pub from: Generation,
    /// What changes.
    pub delta: Delta,
    /// The preset in force afterwards.
    pub preset: Arc<str>,
}

impl Change {
    /// Lists the changed sections, one a line, and the preset.
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

impl Accepted {
    /// Reads the accepted configuration.
    pub async fn read(access: &Access) -> Result<Self, CliError> {
        let head = config_log::read_head(&access.platform).await.map_err(log_error)?;
        let nothing = Configuration::default();
        let current = config_log::read_configuration(&access.platform, &head, &nothing).await;
        let current = current.map_err(log_error)?;
        Ok(Self {
            generation: current.generation,
            preset: head.record.as_ref().map(|_| current.preset),
            sections: current.sections,
            head,
        })
    }
}

/// Computes what applying a directory of declarations would change.
pub async fn plan(access: &Access, directory: &Path) -> Result<(Accepted, Change), CliError> {
    plan_declared(access, &Declared::open(directory)?).await
}

async fn plan_declared(
    access: &Access,
    declared: &Declared,
) -> Result<(Accepted, Change), CliError> {
    Snapshot::build(Generation(1), &declared.parsed, None, None)?;
    let accepted = Accepted::read(access).await?;
    let preset = accepted.preset.clone();
    let next = Generation(accepted.generation.0 + 1);
    let checked = Snapshot::build(next, &declared.parsed, preset.as_deref(), None)?;
    let delta = accepted.sections.delta_to(&declared.sections);
    let change = Change { from: accepted.generation, delta, preset: checked.preset.name.clone() };
    Ok((accepted, change))
}

/// Applies a directory of declarations; returns the accepted generation.
pub async fn apply(access: &Access, directory: &Path) -> Result<Generation, CliError> {
    let declared = Declared::open(directory)?;
    let (accepted, change) = plan_declared(access, &declared).await?;
    if change.delta.is_empty() && accepted.generation.0 > 0 {
        return Ok(accepted.generation);
    }
    declared.upload(access).await?;
    publish(access, accepted, change).await
}

/// Puts another preset in force; returns the accepted generation.
pub async fn switch_preset(access: &Access, name: &str) -> Result<Generation, CliError> {
    let accepted = Accepted::read(access).await?;
    if accepted.preset.as_deref() == Some(name) {
        return Ok(accepted.generation);
    }
    let parsed = accepted.sections.to_parsed()?;
    let next = Generation(accepted.generation.0 + 1);
    Snapshot::build(next, &parsed, Some(name), None)?;
    let change = Change { from: accepted.generation, delta: Delta::default(), preset: name.into() };
    publish(access, accepted, change).await
}

/// Advances the head by one generation, or reports who did it first.
async fn publish(
    access: &Access,
    accepted: Accepted,
    change: Change,
) -> Result<Generation, CliError> {
    let mut sections = accepted.sections.clone();
    sections.apply(&change.delta);
    let proposal = Proposal {
        head: accepted.head.clone(),
        id: WriteId(rand::rng().random()).to_string(),
        delta: change.delta,
        preset: change.preset,
        retry_delay: config_log::COMMIT_RETRY_DELAY,
    };
    match config_log::propose(&access.platform, &proposal, &sections).await {
        Outcome::Committed(generation) => Ok(generation),
        Outcome::Conflict => Err(conflict(access, &accepted).await),
        Outcome::Failed(source) => {
            Err(source).context(UnreachableSnafu { what: PLATFORM, hint: TRY_AGAIN })
        }
        Outcome::Unknown(source) => Err(source).context(UnsettledSnafu),
    }
}

/// Describes what other operators changed since `before`.
async fn conflict(access: &Access, before: &Accepted) -> CliError {
    let now = match Accepted::read(access).await {
        Ok(now) => now,
        Err(e) => return e,
    };
    let delta = before.sections.delta_to(&now.sections);
    let preset = now.preset.unwrap_or_default();
    let change = Change { from: before.generation, delta, preset };
    ConflictSnafu { accepted: now.generation, changes: change.lines().join("\n") }.build()
}

fn log_error(e: LogError) -> CliError {
    match e {
        LogError::Client { source } => {
            CliError::Unreachable { what: PLATFORM.into(), source, hint: TRY_AGAIN }
        }
        LogError::Record { key } => {
            let hint = "the platform's table or object store has lost or changed it; restore it";
            RecordSnafu { key, hint }.build()
        }
    }
}
