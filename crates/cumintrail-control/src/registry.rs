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
const RETURN_LIMIT: Duration = Duration::from_millis(2_300);
/// How long a run is remembered after its entry went, against entries that were written late.
const ENDED_LIFE: Duration = Duration::from_secs(120);

/// Holds one entry of the registry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
    /// The name that the target answers to; a new process may have that of an older one.
    pub id: Arc<str>,
    /// The start of its process, which tells runs under one name apart; zero if it is not told.
    pub born: u64,
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
    pub beat: u64,
}

impl Listed {
    /// Returns a name that no other run of a process has.
    pub fn run_name(&self) -> Arc<str> {
        match self.born {
            0 => self.id.clone(),
            born => format!("{}@{born}", self.id).into(),
        }
    }
}

/// Tells what became of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// It was written.
    Written(Listed),
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
    pub change: Change,
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
struct Entry {
    listed: Listed,
    /// Whether this run was ever seen to leave.
    leaving: bool,
    presence: Presence,
}

#[derive(Debug, Clone, Copy)]
struct Ended {
    at: Moment,
    beat: u64,
    leaving: bool,
}

/// Remembers the registry's entries.
#[derive(Debug, Default)]
pub struct TargetBook {
    entries: BTreeMap<Arc<str>, Entry>,
    rows: HashMap<Arc<str>, u64>,
    ended: HashMap<Arc<str>, Ended>,
    /// Until when entries that are missing may still come back.
    unsettled: Moment,
    whole: bool,
}

impl TargetBook {
    /// Tells whether the registry was ever read whole.
    pub const fn is_known(&self) -> bool {
        self.whole
    }

    /// Takes all rows as of `version`; tells whether the targets changed.
    ///
    /// A row that is newer than the reading stays as it is known, since a change told it.
    pub fn take_whole(&mut self, now: Moment, version: u64, rows: Vec<RowChange>) -> bool {
        let known = self.rows.iter().filter(|(_, row)| **row <= version);
        let gone = known.filter(|(key, _)| !rows.iter().any(|row| row.key == **key));
        let gone: Vec<Arc<str>> = gone.map(|(key, _)| key.clone()).collect();
        let mut changed = !std::mem::replace(&mut self.whole, true);
        for key in gone {
            changed |= self.take(now, RowChange { key, version, change: Change::Removed });
        }
        for row in rows {
            changed |= self.take(now, row);
        }
        changed
    }

    /// Takes the change of one row; tells whether the targets changed.
    pub fn take(&mut self, now: Moment, row: RowChange) -> bool {
        let known = self.rows.entry(row.key.clone()).or_default();
        if row.version < *known {
            return false;
        }
        *known = row.version;
        match row.change {
            Change::Written(listed) => self.write(now, row.key, listed),
            Change::Unreadable => self.entries.get_mut(&row.key).is_some_and(|entry| {
                std::mem::replace(&mut entry.presence, Presence::Unreadable) == Presence::Listed
            }),
            Change::Removed => self.remove(now, &row.key),
        }
    }

    fn write(&mut self, now: Moment, key: Arc<str>, listed: Listed) -> bool {
        let before = self.entries.get(&key);
        let same_run = before.filter(|e| e.listed.born == listed.born);
        let older_run = before.is_some_and(|e| listed.born < e.listed.born);
        let late = same_run.is_some_and(|e| listed.beat < e.listed.beat);
        let ended = self.ended.get(&listed.run_name()).copied();
        if older_run || late || ended.is_some_and(|e| listed.beat <= e.beat) {
            return false;
        }
        let left = ended.is_some_and(|e| e.leaving) || same_run.is_some_and(|e| e.leaving);
        let leaving = listed.leaving || left;
        let listed = Listed { leaving, ..listed };
        let entry = Entry { leaving, listed, presence: Presence::Listed };
        let changed = before.is_none_or(|old| {
            let beats = Listed { beat: entry.listed.beat, ..old.listed.clone() };
            old.presence != Presence::Listed
                || old.leaving != entry.leaving
                || beats != entry.listed
        });
        if before.is_some_and(|old| old.listed.born != entry.listed.born) {
            self.end(now, &key);
        }
        self.entries.insert(key, entry);
        changed
    }

    fn remove(&mut self, now: Moment, key: &Arc<str>) -> bool {
        self.rows.remove(key);
        if now < self.unsettled {
            if let Some(entry) = self.entries.get_mut(key) {
                entry.presence = Presence::Missing(self.unsettled);
            }
            return false;
        }
        self.end(now, key)
    }

    /// Forgets an entry but for what tells late writes of its run apart.
    fn end(&mut self, now: Moment, key: &Arc<str>) -> bool {
        let Some(entry) = self.entries.remove(key) else {
            return false;
        };
        let ended = Ended { at: now, beat: entry.listed.beat, leaving: entry.leaving };
        self.ended.insert(entry.listed.run_name(), ended);
        true
    }

    /// Notes that the registry answers again after it did not.
    pub fn store_returned(&mut self, now: Moment) {
        self.unsettled = now + RETURN_LIMIT;
    }

    /// Ends what did not come back in time; tells whether the targets changed.
    pub fn expire(&mut self, now: Moment) -> bool {
        self.ended.retain(|_, ended| now.since(ended.at) < ENDED_LIFE);
        let late = |entry: &Entry| matches!(entry.presence, Presence::Missing(by) if by <= now);
        let late = self.entries.iter().filter(|(_, entry)| late(entry));
        let late: Vec<Arc<str>> = late.map(|(key, _)| key.clone()).collect();
        let changed = !late.is_empty();
        for key in late {
            self.end(now, &key);
        }
        changed
    }

    /// Returns the entries that name a target, and whether each is leaving.
    pub fn targets(&self) -> impl Iterator<Item = (&Listed, bool)> {
        let usable = self.entries.values().filter(|e| e.presence != Presence::Unreadable);
        usable.map(|entry| (&entry.listed, entry.leaving))
    }
}
