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
/// How much older an announcement must turn out to be for a report: digests are later than reads.
const NOTICEABLE_AGE: Duration = Duration::from_millis(500);
/// The most versions of a model that are remembered, the newest ones.
const MAX_REMEMBERED: usize = 8;

/// Tracks when weight versions were announced.
#[derive(Debug, Default)]
pub struct AnnouncedVersions {
    /// Announcements by model, lowest version first.
    by_model: HashMap<ModelKey, Vec<Announcement>>,
    /// How long after an announcement calls may begin on older weights; `None` means no bound.
    bound: Option<Duration>,
}

#[derive(Debug, Clone, Copy)]
struct Announcement {
    version: WeightVersion,
    /// The version before it, if no version between them can have been announced.
    follows: Option<WeightVersion>,
    /// When this daemon received the announcement.
    received_at: Moment,
    /// Time from the announcement to its receipt; the announcement may be older than the process.
    age_on_receipt: Duration,
    /// Whether this daemon or a peer observed the announcement.
    is_observed: bool,
}

impl Announcement {
    fn age(&self, now: Moment) -> Duration {
        now.since(self.received_at) + self.age_on_receipt
    }

    /// Returns whether this announcement is the first of a version above `loaded`.
    fn replaces(&self, loaded: WeightVersion) -> bool {
        self.version.0 == loaded.0 + 1 || self.follows.is_some_and(|before| before <= loaded)
    }
}

/// States a version, with the time since its announcement if that was observed.
pub type StatedVersion = (WeightVersion, Option<Duration>);

/// Up to which part of the bound a decision may be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BoundPart {
    /// A call may be sent.
    Dispatch,
    /// A call that was sent may still begin.
    Begin,
}

impl AnnouncedVersions {
    /// Sets how long calls may begin on replaced weights; without a bound they may indefinitely.
    pub const fn set_bound(&mut self, bound: Duration) {
        self.bound = Some(bound);
    }

    /// Records the versions of a snapshot that are higher than the known ones, and returns their
    /// models.
    ///
    /// Unless their announcement `is_observed`, they were announced at an unknown time.
    pub fn apply_snapshot(
        &mut self,
        now: Moment,
        snapshot: &Snapshot,
        is_observed: bool,
    ) -> SmallVec<[ModelKey; 2]> {
        let mut changed = SmallVec::new();
        for (model, declared) in snapshot.models.iter() {
            let known = self.by_model.entry(model).or_default();
            let newest = known.last().map(|announcement| announcement.version);
            if newest.is_none_or(|newest| newest < declared.version) {
                known.push(Announcement {
                    version: declared.version,
                    follows: newest.filter(|_| is_observed),
                    received_at: now,
                    age_on_receipt: Duration::ZERO,
                    is_observed,
                });
                forget_oldest(known);
                changed.push(model);
            }
        }
        changed
    }

    /// Records the versions that a peer states, each of which follows the one before it.
    ///
    /// The highest of the observed ages counts. Returns whether an announcement was not observed
    /// before, or turns out to be noticeably older.
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
                    entry.follows = entry.follows.max(follows);
                    if let Some(age) = age.filter(|age| !entry.is_observed || entry.age(now) < *age)
                    {
                        is_news |= !entry.is_observed || age > entry.age(now) + NOTICEABLE_AGE;
                        (entry.received_at, entry.age_on_receipt) = (now, age);
                        entry.is_observed = true;
                    }
                }
                (None, Some(age)) => {
                    let (received_at, age_on_receipt) = (now, age);
                    let is_observed = true;
                    let entry =
                        Announcement { version, follows, received_at, age_on_receipt, is_observed };
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
            let age = entry.filter(|entry| entry.is_observed).map(|entry| entry.age(now));
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
        let (by, is_observed) = (newest.version, newest.is_observed);
        Some(Replacement { by, age: newest.age(now), is_observed })
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
        let is_observed = next.is_observed && next.replaces(loaded);
        Some(Replacement { by: next.version, age: next.age(now), is_observed })
    }

    /// Returns whether weights were replaced so long ago that a part of the bound has passed.
    pub fn is_outdated(
        &self,
        now: Moment,
        model: ModelKey,
        loaded: WeightVersion,
        part: BoundPart,
    ) -> bool {
        let replacement = self.replacement(now, model, loaded);
        let Some((replacement, bound)) = replacement.zip(self.bound) else {
            return false;
        };
        let limit = bound.mul_f64(match part {
            BoundPart::Dispatch => DISPATCH_FRACTION,
            BoundPart::Begin => BEGIN_FRACTION,
        });
        let limit = if replacement.is_observed { limit } else { limit.min(UNOBSERVED_LIMIT) };
        replacement.age >= limit
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
    /// How old this daemon's knowledge of the operator table was before.
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
    /// Whether no call is sent to these weights any more.
    pub is_late: bool,
}
