//! When weight versions were announced, and how long calls may begin on replaced ones;
//! docs/DESIGN.md, "Weight rollouts".
//!
//! The operators' table holds the newest version only, so that a daemon may never read one that was
//! announced shortly before another. Peers therefore state all recent versions.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::Snapshot;
use cumintrail_types::{CallKey, ModelKey, Moment, WeightVersion};
use derive_more::Display;
use smallvec::SmallVec;

/// The fraction of the bound during which calls are sent to engines with replaced weights; the rest
/// allows for the wait in the engine's queue.
const DISPATCH_FRACTION: f64 = 0.8;
/// The fraction of the bound after which calls that have not begun at such engines are abandoned; the
/// rest allows for the time until an engine learns of that.
const BEGIN_FRACTION: f64 = 0.9;
/// How long calls may start on older weights after the receipt of a version whose announcement
/// neither this daemon nor a peer observed.
///
/// Each peer digest carries the age of the announced versions, and digests arrive several times a
/// second. A daemon that has received no age by then is assumed to have no peer that observed the
/// announcement.
const UNOBSERVED_LIMIT: Duration = Duration::from_secs(2);
/// How old a daemon's knowledge of the operators' table may be for it to observe an announcement: a
/// request waits for up to two seconds, and its response takes a while.
const MAX_UNREAD: Duration = Duration::from_millis(2_500);
/// How much the age of an announcement must change for a report: digests are later than reads.
const NOTICEABLE_DIFFERENCE: Duration = Duration::from_millis(500);
/// The most versions of a model that are remembered, the newest ones.
const MAX_REMEMBERED: usize = 8;

/// Tracks when weight versions were announced.
#[derive(Debug, Default)]
pub struct AnnouncedVersions {
    /// Announcements by model, lowest version first.
    by_model: HashMap<ModelKey, Vec<Announcement>>,
    /// How long after an announcement calls may begin on older weights; `None` means no bound.
    bound: Option<Duration>,
    /// As of when the operators' table was last read.
    read_as_of: Option<Moment>,
    /// When the last request for it was sent that got no response, after another one without any.
    silent_at: Option<Moment>,
}

#[derive(Debug, Clone, Copy)]
struct Announcement {
    version: WeightVersion,
    /// The version before it, if no version between them can have been announced.
    follows: Option<WeightVersion>,
    /// The age that is certain: since the receipt by this daemon, or as a peer states it.
    min_age: Age,
    /// The greatest age that is possible: since this daemon last read the operators' table without
    /// the version. `None` if it has not.
    max_age: Option<Age>,
    /// Whether this daemon received the version so soon after that read that it counts as observed.
    is_observed_here: bool,
    /// Whether a peer observed the announcement.
    is_observed_by_peer: bool,
}

/// An age that grows with time. What it is the age of may be older than the process.
#[derive(Debug, Clone, Copy)]
struct Age {
    as_of: Moment,
    age: Duration,
}

impl Age {
    fn at(self, now: Moment) -> Duration {
        now.since(self.as_of) + self.age
    }
}

impl Announcement {
    /// Returns the age by which decisions are taken.
    fn age(&self, now: Moment) -> Duration {
        let min = self.min_age.at(now);
        match self.max_age {
            Some(max) if self.is_observed_here || !self.is_observed_by_peer => max.at(now).max(min),
            _ => min,
        }
    }

    const fn is_observed(&self) -> bool {
        self.is_observed_here || self.is_observed_by_peer
    }

    const fn is_age_known(&self) -> bool {
        self.max_age.is_some() || self.is_observed_by_peer
    }

    /// Returns whether this announcement is the first of a version above `loaded`.
    fn replaces(&self, loaded: WeightVersion) -> bool {
        self.version.0 == loaded.0 + 1 || self.follows.is_some_and(|before| before <= loaded)
    }
}

/// States a version, with the time since its announcement if that was observed.
pub type StatedVersion = (WeightVersion, Option<Duration>);

/// What the age of a replacement is needed for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BoundUse {
    /// Whether a call may be sent to replaced weights.
    Dispatch,
    /// Whether a call that was sent may still begin there.
    Begin,
}

impl AnnouncedVersions {
    /// Sets how long calls may begin on replaced weights; without a bound they may indefinitely.
    pub const fn set_bound(&mut self, bound: Duration) {
        self.bound = Some(bound);
    }

    /// Records that the operators' table was read as of a moment.
    pub fn record_read(&mut self, as_of: Moment) {
        self.read_as_of = self.read_as_of.max(Some(as_of));
    }

    /// Returns how old the knowledge of the operators' table is; `None` before its first read.
    pub fn unread(&self, now: Moment) -> Option<Duration> {
        self.read_as_of.map(|as_of| now.since(as_of))
    }

    /// Records that requests for the operators' table got no response until now, the last of which
    /// was sent at `sent`.
    pub fn record_silence(&mut self, sent: Moment) {
        self.silent_at = self.silent_at.max(Some(sent));
    }

    /// Records the versions of a snapshot that are higher than the known ones, and returns their
    /// models.
    ///
    /// The first known version of a model was announced at an unknown time.
    pub fn apply_snapshot(
        &mut self,
        now: Moment,
        snapshot: &Snapshot,
        is_first: bool,
    ) -> SmallVec<[ModelKey; 2]> {
        let unread = self.unread(now);
        let mut changed = SmallVec::new();
        for (model, declared) in snapshot.models.iter() {
            let known = self.by_model.entry(model).or_default();
            let newest = known.last().map(|announcement| announcement.version);
            if newest.is_none_or(|newest| newest < declared.version) {
                let follows = newest.filter(|_| !is_first);
                let max_age = unread.filter(|_| follows.is_some());
                known.push(Announcement {
                    version: declared.version,
                    follows,
                    min_age: Age { as_of: now, age: Duration::ZERO },
                    max_age: max_age.map(|age| Age { as_of: now, age }),
                    is_observed_here: max_age.is_some_and(|age| age <= MAX_UNREAD),
                    is_observed_by_peer: false,
                });
                forget_oldest(known);
                changed.push(model);
            }
        }
        changed
    }

    /// Records the versions that a peer states, each of which follows the one before it.
    ///
    /// The highest of the stated ages counts, since digests may be late. Returns whether an age was not
    /// known before, or turns out to be noticeably different.
    pub fn record_stated(
        &mut self,
        now: Moment,
        model: ModelKey,
        stated: &[StatedVersion],
    ) -> bool {
        let known = self.by_model.entry(model).or_default();
        let mut is_news = false;
        let mut before: Option<WeightVersion> = None;
        for (version, age) in stated.iter().copied() {
            let follows = before.filter(|before| *before < version);
            before = Some(version);
            let at = known.partition_point(|announcement| announcement.version < version);
            let entry = known.get_mut(at).filter(|announcement| announcement.version == version);
            match (entry, age) {
                (Some(entry), age) => {
                    let previous = entry.is_age_known().then(|| entry.age(now));
                    entry.follows = entry.follows.max(follows);
                    if let Some(age) = age {
                        entry.min_age = Age { as_of: now, age: age.max(entry.min_age.at(now)) };
                        entry.is_observed_by_peer = true;
                    }
                    let differs = |previous: Duration| {
                        entry.age(now).abs_diff(previous) > NOTICEABLE_DIFFERENCE
                    };
                    is_news |= entry.is_age_known() && previous.is_none_or(differs);
                }
                (None, Some(age)) => {
                    let min_age = Age { as_of: now, age };
                    let entry = Announcement {
                        version,
                        follows,
                        min_age,
                        max_age: None,
                        is_observed_here: false,
                        is_observed_by_peer: true,
                    };
                    known.insert(at, entry);
                    is_news = true;
                }
                (None, None) => {}
            }
        }
        forget_oldest(known);
        is_news
    }

    /// Returns the versions to state to peers, lowest first: the newest one, and those before it that
    /// were replaced within the bound.
    pub fn stated(&self, now: Moment, model: ModelKey) -> SmallVec<[StatedVersion; 4]> {
        let mut stated = SmallVec::new();
        let known = self.by_model.get(&model).map_or(&[][..], Vec::as_slice);
        let mut next = known.last().map(|newest| newest.version);
        while let Some(version) = next {
            let entry = known.iter().find(|announcement| announcement.version == version);
            let age = entry.filter(|entry| entry.is_observed()).map(|entry| entry.min_age.at(now));
            stated.push((version, age));
            let is_recent = age.zip(self.bound).is_some_and(|(age, bound)| age < bound);
            next = entry.and_then(|entry| entry.follows).filter(|_| is_recent);
        }
        stated.reverse();
        stated
    }

    /// Returns the newest version of a model with its announcement.
    pub fn newest(&self, now: Moment, model: ModelKey) -> Option<Replacement> {
        let newest = self.by_model.get(&model)?.last()?;
        let (by, is_observed) = (newest.version, newest.is_age_known());
        Some(Replacement { by, age: self.age(now, newest), is_observed })
    }

    /// Returns the announcement that replaced a version; `None` if it is the newest one.
    ///
    /// A version between the two may have been announced before, unless they follow each other.
    pub fn replacement(
        &self,
        now: Moment,
        model: ModelKey,
        loaded: WeightVersion,
    ) -> Option<Replacement> {
        let known = self.by_model.get(&model).into_iter().flatten();
        let next = known.into_iter().find(|announcement| announcement.version > loaded)?;
        let is_observed = next.is_age_known() && next.replaces(loaded);
        Some(Replacement { by: next.version, age: self.age(now, next), is_observed })
    }

    /// Returns the age of an announcement. Nothing is announced while the platform does not respond; a
    /// peer that it served meanwhile would have stated the age.
    fn age(&self, now: Moment, announcement: &Announcement) -> Duration {
        let age = announcement.age(now);
        match self.silent_at {
            Some(silent_at) if !announcement.is_observed() => {
                age.min(now.since(silent_at)).max(announcement.min_age.at(now))
            }
            _ => age,
        }
    }

    /// Returns whether weights were replaced too long ago.
    pub fn is_outdated(
        &self,
        now: Moment,
        model: ModelKey,
        loaded: WeightVersion,
        bound_use: BoundUse,
    ) -> bool {
        let replacement = self.replacement(now, model, loaded);
        replacement.is_some_and(|replacement| replacement.age >= self.limit(replacement, bound_use))
    }

    /// Returns whether weights were replaced too long ago, counted from the last silence of the
    /// platform if that came later.
    ///
    /// No daemon can order loads while the platform does not respond.
    pub fn is_outdated_since_silence(
        &self,
        now: Moment,
        model: ModelKey,
        loaded: WeightVersion,
        bound_use: BoundUse,
    ) -> bool {
        let responding = self.silent_at.map_or(Duration::MAX, |at| now.since(at));
        let replacement = self.replacement(now, model, loaded);
        replacement.is_some_and(|replacement| {
            replacement.age.min(responding) >= self.limit(replacement, bound_use)
        })
    }

    /// Returns the age of a replacement from which on calls are no longer sent, or do not begin.
    fn limit(&self, replacement: Replacement, bound_use: BoundUse) -> Duration {
        let Some(bound) = self.bound else {
            return Duration::MAX;
        };
        let to_dispatch = bound.mul_f64(DISPATCH_FRACTION);
        let to_begin = match bound_use {
            BoundUse::Dispatch => Duration::ZERO,
            BoundUse::Begin => bound.mul_f64(BEGIN_FRACTION - DISPATCH_FRACTION),
        };
        let to_dispatch =
            if replacement.is_observed { to_dispatch } else { to_dispatch.min(UNOBSERVED_LIMIT) };
        to_dispatch + to_begin
    }
}

fn forget_oldest(known: &mut Vec<Announcement>) {
    known.drain(..known.len().saturating_sub(MAX_REMEMBERED));
}

/// Describes the announcement that replaced a weight version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Replacement {
    /// The announced version.
    pub by: WeightVersion,
    /// How long ago it was announced, as far as this daemon knows.
    pub age: Duration,
    /// Whether this daemon or a peer observed the announcement.
    pub is_observed: bool,
}

/// Where the time of an announcement was learned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum AnnouncementSource {
    /// This daemon received the version, from the platform or through a peer.
    #[display("receipt")]
    Receipt,
    /// The digest of a peer stated an earlier announcement, or one that this daemon had not observed.
    #[display("peer")]
    Peer,
}

/// Reports that a version became known, or that its announcement turned out to be older.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnnouncementReport {
    /// The name of the weights.
    pub weights: Arc<str>,
    /// The version.
    pub version: WeightVersion,
    /// How long ago it was announced, as far as this daemon knows.
    pub age: Duration,
    /// Whether this daemon or a peer observed the announcement.
    pub is_observed: bool,
    /// How old this daemon's knowledge of the operators' table was before.
    pub unread: Duration,
    /// Where the time was learned.
    pub source: AnnouncementSource,
}

/// Reports a call that began on replaced weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BeginOnReplaced {
    /// The call.
    pub call: CallKey,
    /// The weight version that the call was sent for.
    pub version: WeightVersion,
    /// The announcement that replaced it, as of the first event.
    pub replacement: Replacement,
    /// Time from the dispatch to the first event.
    pub waited: Duration,
    /// Whether calls are no longer sent to these weights.
    pub is_past_dispatch: bool,
}
