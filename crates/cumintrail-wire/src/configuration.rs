//! A configuration with its most recent changes, as daemons and operators' tools read and send it.

use std::collections::VecDeque;
use std::sync::Arc;

use cumintrail_config::Sections;
use cumintrail_control::adoption::MAX_INCREMENTAL_CHANGES;
use cumintrail_types::Generation;

use crate::peer::{ChangeRecord, ConfigReply, SnapshotRecord};

/// Stores the declarations of one generation and the most recent changes that led to it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Configuration {
    /// The generation; zero if there is no configuration yet.
    pub generation: Generation,
    /// The preset in force.
    pub preset: Arc<str>,
    /// The declarations.
    pub sections: Sections,
    /// The most recent changes, oldest first, for peers that miss only some of them.
    recent_changes: VecDeque<ChangeRecord>,
}

impl Configuration {
    /// Applies each change whose generation directly follows the current one, and skips the others.
    ///
    /// A change that was applied before or comes after a gap is skipped, so a reordered or repeated
    /// reply cannot mix two generations.
    pub fn apply(&mut self, changes: impl IntoIterator<Item = ChangeRecord>) {
        for change in changes {
            if change.generation.0 != self.generation.0 + 1 {
                continue;
            }
            self.sections.apply(&change.delta);
            self.generation = change.generation;
            self.preset = change.preset.clone();
            self.recent_changes.push_back(change);
        }
        while self.recent_changes.len() > MAX_INCREMENTAL_CHANGES as usize {
            self.recent_changes.pop_front();
        }
    }

    /// Returns whether this configuration may replace one of generation `other`: only a higher
    /// generation may.
    pub fn supersedes(&self, other: Generation) -> bool {
        self.generation > other
    }

    /// Returns the configuration that results from a peer's reply.
    #[must_use]
    pub fn with_reply(&self, reply: ConfigReply) -> Self {
        match reply {
            ConfigReply::Nothing => self.clone(),
            ConfigReply::Changes(changes) => {
                let mut next = self.clone();
                next.apply(changes);
                next
            }
            ConfigReply::Snapshot(record) => record.into(),
        }
    }

    /// Returns the reply to a peer that has generation `after` in force.
    ///
    /// To a peer with a lower generation the reply is the changes that it lacks, or a snapshot if
    /// `after` is zero or the stored changes do not reach back to it.
    pub fn reply_to(&self, after: Generation) -> ConfigReply {
        if self.generation <= after {
            return ConfigReply::Nothing;
        }
        let next = after.0 + 1;
        match self.recent_changes.front() {
            Some(oldest) if after.0 > 0 && oldest.generation.0 <= next => {
                let newer = self.recent_changes.iter().filter(|c| c.generation.0 >= next);
                ConfigReply::Changes(newer.cloned().collect())
            }
            _ => ConfigReply::Snapshot(self.into()),
        }
    }
}

impl From<SnapshotRecord> for Configuration {
    fn from(record: SnapshotRecord) -> Self {
        Self {
            generation: record.generation,
            sections: record.to_sections(),
            preset: record.preset,
            recent_changes: VecDeque::new(),
        }
    }
}

impl From<&Configuration> for SnapshotRecord {
    fn from(c: &Configuration) -> Self {
        Self {
            generation: c.generation,
            preset: c.preset.clone(),
            sections: c.sections.0.iter().map(|(n, b)| (n.clone(), b.clone())).collect(),
        }
    }
}
