//! A configuration with the changes that led to it, as daemons and operators hand it on.

use std::collections::VecDeque;
use std::sync::Arc;

use cumintrail_config::Sections;
use cumintrail_control::adoption::MAX_INCREMENTAL_CHANGES;
use cumintrail_types::Generation;

use crate::peer::{ChangeRecord, ConfigReply, SnapshotRecord};

/// Holds the declarations of one generation and the last changes before it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Configuration {
    /// The generation; zero before anything was accepted.
    pub generation: Generation,
    /// The preset in force.
    pub preset: Arc<str>,
    /// The declarations.
    pub sections: Sections,
    /// The last changes, oldest first, for peers that lag a little.
    recent_changes: VecDeque<ChangeRecord>,
}

impl Configuration {
    /// Applies the changes that follow the generation in order; others are passed over.
    ///
    /// A change that was seen before or comes after a gap is never applied, so a reordered or
    /// repeated reply cannot mix two generations.
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

    /// Tells whether this may take the place of `other`; only a higher generation may.
    pub fn supersedes(&self, other: Generation) -> bool {
        self.generation > other
    }

    /// Returns the configuration that a peer's reply leads to.
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

    /// Answers a peer that has generation `after` in force.
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
