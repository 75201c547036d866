//! The targets in a registry, across outages, stale entries and replaced processes;
//! docs/DESIGN.md, "Registry".

mod unreadable;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::Target;
use cumintrail_types::{Moment, WeightVersion};

pub use self::unreadable::{UnreadableEntries, UnreadableReport};

/// How long entries that expired during an outage may take to return after it.
///
/// The platform promises about two seconds; the remaining 300 ms allow for delivery of the change.
const RETURN_TIMEOUT: Duration = Duration::from_millis(2_300);
/// How long an incarnation is tracked after its entry was removed, to reject stale entries.
const ENDED_RETENTION: Duration = Duration::from_secs(120);

/// By how much later than known a cold period must end for a write to change it; a change puts a new
/// snapshot in force, and deliveries of writes differ by about this much.
const LATER_COLD_END: Duration = Duration::from_millis(100);
/// By how much earlier than known a cold period must end for a write to change it.
const EARLIER_COLD_END: Duration = Duration::from_millis(400);

/// Represents one entry of the registry, as its target wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegistryEntry {
    /// The target's id; a new process may have the id of an earlier one.
    pub id: Arc<str>,
    /// The start time of its process, higher for a later incarnation of one id; zero if unknown.
    pub process_start: u64,
    /// The model or plain service that it serves.
    pub serves: Arc<str>,
    /// The address of the target.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// The maximum number of calls that it runs at once.
    pub slots: u32,
    /// Whether it accepts no new work.
    pub leaving: bool,
    /// Its weight version, if it is an engine.
    pub version: Option<WeightVersion>,
    /// The version of its software, if the registry states it.
    pub software: Option<Arc<str>>,
    /// Counter that the process increases with each write of the entry.
    pub heartbeat: u64,
    /// How long the target stays cold as of the write of the entry, if it states that.
    pub cold_remaining: Option<Duration>,
}

impl RegistryEntry {
    /// Returns a name that distinguishes the incarnations of one id.
    pub fn incarnation_name(&self) -> Arc<str> {
        incarnation_name(&self.id, self.process_start)
    }
}

/// Returns the id followed by the start of the process, or the id alone if the start is unknown.
fn incarnation_name(id: &Arc<str>, process_start: u64) -> Arc<str> {
    match process_start {
        0 => id.clone(),
        process_start => format!("{id}@{process_start}").into(),
    }
}

/// Returns the name that a process with this start has as an incarnation of a target's id; that of
/// the target itself if its start is unknown.
pub fn process_name(target: &Target, process_start: u64) -> Arc<str> {
    if target.name == target.instance {
        return target.name.clone();
    }
    incarnation_name(&target.instance, process_start)
}

/// Describes a change of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryChange {
    /// The entry was written.
    Written(RegistryEntry),
    /// The entry was written but cannot be parsed.
    Unreadable,
    /// The entry was removed.
    Removed,
}

/// Returns whether a change of an entry is more than a heartbeat of the same state.
pub fn is_material(before: &EntryChange, after: &EntryChange) -> bool {
    match (before, after) {
        (EntryChange::Written(before), EntryChange::Written(after)) => {
            RegistryEntry { heartbeat: after.heartbeat, ..before.clone() } != *after
                || after.heartbeat < before.heartbeat
        }
        (before, after) => before != after,
    }
}

/// Combines a change of one entry with the version of its row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowChange {
    /// The row's key.
    pub key: Arc<str>,
    /// The row's version, which grows with each write.
    pub version: u64,
    /// The change of the entry.
    pub change: EntryChange,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Presence {
    /// The row exists and can be parsed.
    Listed,
    /// The row exists but cannot be parsed.
    Unreadable,
    /// The row was removed just after an outage and may return.
    Missing,
}

#[derive(Debug, Clone)]
struct TrackedEntry {
    listed: RegistryEntry,
    /// Whether any entry of this incarnation was marked as leaving.
    leaving: bool,
    /// Until when the target is cold, if an entry of this incarnation stated that.
    cold_until: Option<Moment>,
    presence: Presence,
}

#[derive(Debug, Clone, Copy)]
struct EndedIncarnation {
    ended_at: Moment,
    heartbeat: u64,
    leaving: bool,
}

/// Tracks the registry's entries.
#[derive(Debug, Default)]
pub struct TargetRegistry {
    entries: BTreeMap<Arc<str>, TrackedEntry>,
    row_versions: HashMap<Arc<str>, u64>,
    ended: HashMap<Arc<str>, EndedIncarnation>,
    /// Until when, after an outage, a removed entry counts as missing and may return.
    return_deadline: Moment,
    /// The moment as of which the registry was last read.
    read_as_of: Moment,
    is_loaded: bool,
}

impl TargetRegistry {
    /// Returns whether all rows of the registry have been read at least once.
    pub const fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Applies a read of all rows as of `version`; returns whether the targets changed.
    ///
    /// A row whose known version is higher than that of the read stays unchanged, because a later
    /// change has set it.
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

    /// Applies the change of one row; returns whether the targets changed.
    pub fn apply_change(&mut self, now: Moment, row: RowChange) -> bool {
        let known = self.row_versions.entry(row.key.clone()).or_default();
        if row.version < *known {
            return false;
        }
        *known = row.version;
        match row.change {
            EntryChange::Written(listed) => self.write(now, row.key, listed),
            EntryChange::Unreadable => self.entries.get_mut(&row.key).is_some_and(|entry| {
                std::mem::replace(&mut entry.presence, Presence::Unreadable) != Presence::Unreadable
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
        let cold_until = cold_end(now, same_incarnation, &listed);
        let entry = TrackedEntry { leaving, listed, cold_until, presence: Presence::Listed };
        let changed = before.is_none_or(|old| {
            let unchanged = RegistryEntry {
                heartbeat: entry.listed.heartbeat,
                cold_remaining: entry.listed.cold_remaining,
                ..old.listed.clone()
            };
            old.presence != Presence::Listed
                || old.leaving != entry.leaving
                || old.cold_until != entry.cold_until
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
        if now < self.return_deadline {
            return self.entries.get_mut(key).is_some_and(|entry| {
                std::mem::replace(&mut entry.presence, Presence::Missing) != Presence::Missing
            });
        }
        self.end_entry(now, key)
    }

    /// Removes an entry and records its incarnation, so that stale writes of it are rejected.
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

    /// Forgets the versions of rows, since a restored store counts them on from an older copy.
    ///
    /// Entries that the copy lacks get time to return, and incarnations that are leaving or have
    /// ended stay so.
    pub fn begin_era(&mut self, now: Moment) {
        for version in self.row_versions.values_mut() {
            *version = 0;
        }
        self.record_recovery(now);
    }

    /// Records that the registry responds again after an outage.
    pub fn record_recovery(&mut self, now: Moment) {
        self.return_deadline = self.return_deadline.max(now + RETURN_TIMEOUT);
    }

    /// Records that all changes of the registry up to a moment were applied.
    pub fn confirm(&mut self, as_of: Moment) {
        self.read_as_of = self.read_as_of.max(as_of);
    }

    /// Removes missing entries that had not returned by the deadline, as a later read shows; returns
    /// whether the targets changed.
    pub fn expire(&mut self, now: Moment) -> bool {
        self.ended.retain(|_, ended| now.since(ended.ended_at) < ENDED_RETENTION);
        if self.read_as_of < self.return_deadline {
            return false;
        }
        let is_expired = |entry: &TrackedEntry| entry.presence == Presence::Missing;
        let expired = self.entries.iter().filter(|(_, entry)| is_expired(entry));
        let expired: Vec<Arc<str>> = expired.map(|(key, _)| key.clone()).collect();
        let changed = !expired.is_empty();
        for key in expired {
            self.end_entry(now, &key);
        }
        changed
    }

    /// Returns the entries that can be parsed, and whether each is leaving.
    ///
    /// Missing entries are included where they outnumber the usable ones of the same model or
    /// service. Entries lapse together if the platform's store was away; a few that are missing
    /// after this daemon alone was cut off have left.
    pub fn targets(&self) -> impl Iterator<Item = (&RegistryEntry, bool)> {
        let mut surplus: HashMap<&Arc<str>, i32> = HashMap::new();
        for entry in self.entries.values().filter(|entry| !entry.leaving) {
            *surplus.entry(&entry.listed.serves).or_default() += match entry.presence {
                Presence::Missing => 1,
                Presence::Listed => -1,
                Presence::Unreadable => 0,
            };
        }
        let usable = self.entries.values().filter(move |entry| match entry.presence {
            Presence::Listed => true,
            Presence::Unreadable => false,
            Presence::Missing => surplus.get(&entry.listed.serves).is_some_and(|n| *n > 0),
        });
        usable.map(|entry| (&entry.listed, entry.leaving))
    }

    /// Returns until when the target of a row is cold, if its entry stated that; a past time means
    /// that it is warm.
    pub fn cold_until(&self, key: &str) -> Option<Moment> {
        self.entries.get(key)?.cold_until
    }
}

/// Returns the end of the cold period that a write states, or the known end where they agree.
///
/// The time from the write to its arrival here is unknown, so that the period ends late rather than
/// early. A row that is read again states the same period, not a new one.
fn cold_end(now: Moment, known: Option<&TrackedEntry>, listed: &RegistryEntry) -> Option<Moment> {
    let known_end = known.and_then(|entry| entry.cold_until);
    let is_same_write = known
        .is_some_and(|entry| listed.heartbeat > 0 && entry.listed.heartbeat == listed.heartbeat);
    let Some((known_end, remaining)) = known_end.zip(listed.cold_remaining) else {
        return known_end.or_else(|| listed.cold_remaining.map(|remaining| now + remaining));
    };
    let end = now + remaining;
    let is_known = if remaining.is_zero() {
        known_end <= now
    } else {
        end <= known_end + LATER_COLD_END && known_end <= end + EARLIER_COLD_END
    };
    Some(if is_same_write || is_known { known_end } else { end })
}
