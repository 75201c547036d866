//! Which targets a registry has, over outages, late entries and replaced processes;
//! docs/DESIGN.md, "Registry".

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_types::{Moment, WeightVersion};

/// How long entries that lapsed during an outage may take to come back after it.
///
/// The platform promises about two seconds; the rest covers the way of the change.
const RETURN_TIMEOUT: Duration = Duration::from_millis(2_300);
/// How long a run is remembered after its entry went, against entries that were written late.
const ENDED_RETENTION: Duration = Duration::from_secs(120);

/// Holds one entry of the registry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegistryEntry {
    /// The name that the target answers to; a new process may have that of an older one.
    pub id: Arc<str>,
    /// The start of its process, which tells runs under one name apart; zero if it is not told.
    pub process_start: u64,
    /// The model or plain service that it serves.
    pub serves: Arc<str>,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Its weight version, if it is an engine.
    pub version: Option<WeightVersion>,
    /// Counts the writes of the entry by its process.
    pub heartbeat: u64,
}

impl RegistryEntry {
    /// Returns a name that no other run of a process has.
    pub fn incarnation_name(&self) -> Arc<str> {
        match self.process_start {
            0 => self.id.clone(),
            process_start => format!("{}@{process_start}", self.id).into(),
        }
    }
}

/// Tells what became of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryChange {
    /// It was written.
    Written(RegistryEntry),
    /// It was written but names no target that could be used.
    Unreadable,
    /// It was removed.
    Removed,
}

/// Holds a change of one entry with the version of its row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowChange {
    /// The row's key.
    pub key: Arc<str>,
    /// The row's version, which grows with each write.
    pub version: u64,
    /// What became of it.
    pub change: EntryChange,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Presence {
    Listed,
    /// The row is there but cannot be read.
    Unreadable,
    /// The row went during an outage and may come back before this moment.
    Missing(Moment),
}

#[derive(Debug, Clone)]
struct TrackedEntry {
    listed: RegistryEntry,
    /// Whether this run was ever seen to leave.
    leaving: bool,
    presence: Presence,
}

#[derive(Debug, Clone, Copy)]
struct EndedIncarnation {
    ended_at: Moment,
    heartbeat: u64,
    leaving: bool,
}

/// Remembers the registry's entries.
#[derive(Debug, Default)]
pub struct TargetRegistry {
    entries: BTreeMap<Arc<str>, TrackedEntry>,
    row_versions: HashMap<Arc<str>, u64>,
    ended: HashMap<Arc<str>, EndedIncarnation>,
    /// Until when entries that are missing may still come back.
    returns_until: Moment,
    is_loaded: bool,
}

impl TargetRegistry {
    /// Tells whether the registry was ever read whole.
    pub const fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Takes all rows as of `version`; tells whether the targets changed.
    ///
    /// A row that is newer than the reading stays as it is known, since a change told it.
    pub fn apply_snapshot(&mut self, now: Moment, version: u64, rows: Vec<RowChange>) -> bool {
        let known = self.row_versions.iter().filter(|(_, row)| **row <= version);
        let gone = known.filter(|(key, _)| !rows.iter().any(|row| row.key == **key));
        let gone: Vec<Arc<str>> = gone.map(|(key, _)| key.clone()).collect();
        let mut changed = !std::mem::replace(&mut self.is_loaded, true);
        for key in gone {
            changed |=
                self.apply_change(now, RowChange { key, version, change: EntryChange::Removed });
        }
        for row in rows {
            changed |= self.apply_change(now, row);
        }
        changed
    }

    /// Takes the change of one row; tells whether the targets changed.
    pub fn apply_change(&mut self, now: Moment, row: RowChange) -> bool {
        let known = self.row_versions.entry(row.key.clone()).or_default();
        if row.version < *known {
            return false;
        }
        *known = row.version;
        match row.change {
            EntryChange::Written(listed) => self.write(now, row.key, listed),
            EntryChange::Unreadable => self.entries.get_mut(&row.key).is_some_and(|entry| {
                std::mem::replace(&mut entry.presence, Presence::Unreadable) == Presence::Listed
            }),
            EntryChange::Removed => self.remove(now, &row.key),
        }
    }

    fn write(&mut self, now: Moment, key: Arc<str>, listed: RegistryEntry) -> bool {
        let before = self.entries.get(&key);
        let same_incarnation = before.filter(|e| e.listed.process_start == listed.process_start);
        let is_older_incarnation =
            before.is_some_and(|e| listed.process_start < e.listed.process_start);
        let is_stale = same_incarnation.is_some_and(|e| listed.heartbeat < e.listed.heartbeat);
        let ended = self.ended.get(&listed.incarnation_name()).copied();
        if is_older_incarnation
            || is_stale
            || ended.is_some_and(|e| listed.heartbeat <= e.heartbeat)
        {
            return false;
        }
        let was_leaving =
            ended.is_some_and(|e| e.leaving) || same_incarnation.is_some_and(|e| e.leaving);
        let leaving = listed.leaving || was_leaving;
        let listed = RegistryEntry { leaving, ..listed };
        let entry = TrackedEntry { leaving, listed, presence: Presence::Listed };
        let changed = before.is_none_or(|old| {
            let unchanged =
                RegistryEntry { heartbeat: entry.listed.heartbeat, ..old.listed.clone() };
            old.presence != Presence::Listed
                || old.leaving != entry.leaving
                || unchanged != entry.listed
        });
        if before.is_some_and(|old| old.listed.process_start != entry.listed.process_start) {
            self.end_entry(now, &key);
        }
        self.entries.insert(key, entry);
        changed
    }

    fn remove(&mut self, now: Moment, key: &Arc<str>) -> bool {
        self.row_versions.remove(key);
        if now < self.returns_until {
            if let Some(entry) = self.entries.get_mut(key) {
                entry.presence = Presence::Missing(self.returns_until);
            }
            return false;
        }
        self.end_entry(now, key)
    }

    /// Forgets an entry but for what tells late writes of its run apart.
    fn end_entry(&mut self, now: Moment, key: &Arc<str>) -> bool {
        let Some(entry) = self.entries.remove(key) else {
            return false;
        };
        let ended = EndedIncarnation {
            ended_at: now,
            heartbeat: entry.listed.heartbeat,
            leaving: entry.leaving,
        };
        self.ended.insert(entry.listed.incarnation_name(), ended);
        true
    }

    /// Notes that the registry answers again after it did not.
    pub fn record_recovery(&mut self, now: Moment) {
        self.returns_until = now + RETURN_TIMEOUT;
    }

    /// Ends what did not come back in time; tells whether the targets changed.
    pub fn expire(&mut self, now: Moment) -> bool {
        self.ended.retain(|_, ended| now.since(ended.ended_at) < ENDED_RETENTION);
        let is_expired =
            |entry: &TrackedEntry| matches!(entry.presence, Presence::Missing(by) if by <= now);
        let expired = self.entries.iter().filter(|(_, entry)| is_expired(entry));
        let expired: Vec<Arc<str>> = expired.map(|(key, _)| key.clone()).collect();
        let changed = !expired.is_empty();
        for key in expired {
            self.end_entry(now, &key);
        }
        changed
    }

    /// Returns the entries that name a target, and whether each is leaving.
    pub fn targets(&self) -> impl Iterator<Item = (&RegistryEntry, bool)> {
        let usable = self.entries.values().filter(|e| e.presence != Presence::Unreadable);
        usable.map(|entry| (&entry.listed, entry.leaving))
    }
}
