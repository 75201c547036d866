//! Announced weight versions, and engines that still serve older ones.
//!
//! Calls may begin on replaced weights only within a bound after the announcement. A daemon that has
//! just started learns the time of an announcement only from a peer that observed it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::{Snapshot, TargetKind};
use cumintrail_types::{CallClass, CallKey, ModelKey, Moment, TargetKey, WeightVersion};
use smallvec::SmallVec;

use super::Control;
use super::state::TargetState;
use crate::announcements::{AnnouncementReport, AnnouncementSource, BeginOnReplaced};
use crate::placement::Placer;
use crate::{AbandonReason, Action, Actions, Call, Replacement, VersionAnnouncement};

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

/// Tracks when weight versions were announced.
#[derive(Debug, Default)]
pub struct AnnouncedVersions {
    /// Announcements by model, lowest version first.
    by_model: HashMap<ModelKey, Vec<Announcement>>,
    /// How long after an announcement calls may begin on older weights; `None` means no bound.
    bound: Option<Duration>,
}

/// Up to which part of the bound a decision may be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BoundPart {
    /// A call may be sent.
    Dispatch,
    /// A call that was sent may still begin.
    Begin,
}

#[derive(Debug, Clone, Copy)]
struct Announcement {
    version: WeightVersion,
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
}

impl AnnouncedVersions {
    /// Sets how long calls may begin on replaced weights; without a bound they may indefinitely.
    pub const fn set_bound(&mut self, bound: Duration) {
        self.bound = Some(bound);
    }

    /// Records the versions of a snapshot that are higher than the known ones, and returns their
    /// models.
    ///
    /// The versions of the first snapshot were announced at an unknown time.
    pub fn apply_snapshot(
        &mut self,
        now: Moment,
        snapshot: &Snapshot,
        is_first: bool,
    ) -> SmallVec<[ModelKey; 2]> {
        let mut changed = SmallVec::new();
        for (model, declared) in snapshot.models.iter() {
            let known = self.by_model.entry(model).or_default();
            if known.last().is_none_or(|newest| newest.version < declared.version) {
                known.push(Announcement {
                    version: declared.version,
                    received_at: now,
                    age_on_receipt: Duration::ZERO,
                    is_observed: !is_first,
                });
                changed.push(model);
            }
        }
        changed
    }

    /// Records an announcement's age as a peer states it; the highest of the observed ages counts.
    ///
    /// Returns whether the announcement was not observed before, or turns out to be noticeably
    /// older.
    pub fn record_peer_age(
        &mut self,
        now: Moment,
        model: ModelKey,
        version: WeightVersion,
        age: Duration,
    ) -> bool {
        let mut is_news = false;
        let known = self.by_model.get_mut(&model).into_iter().flatten();
        let is_earlier = |announcement: &&mut Announcement| {
            !announcement.is_observed || announcement.age(now) < age
        };
        for announcement in
            known.filter(|announcement| announcement.version == version).filter(is_earlier)
        {
            is_news |= !announcement.is_observed || age > announcement.age(now) + NOTICEABLE_AGE;
            *announcement =
                Announcement { version, received_at: now, age_on_receipt: age, is_observed: true };
        }
        is_news
    }

    /// Returns the newest version of a model with its announcement.
    pub fn newest(&self, now: Moment, model: ModelKey) -> Option<Replacement> {
        let newest = self.by_model.get(&model)?.last()?;
        let (by, is_observed) = (newest.version, newest.is_observed);
        Some(Replacement { by, age: newest.age(now), is_observed })
    }

    /// Returns how long ago the newest version of a model was announced, if that was observed.
    pub fn age(&self, now: Moment, model: ModelKey) -> Option<Duration> {
        let newest = self.by_model.get(&model)?.last()?;
        newest.is_observed.then(|| newest.age(now))
    }

    /// Returns the announcement that replaced a version; `None` if it is the newest one.
    pub fn replacement(
        &self,
        now: Moment,
        model: ModelKey,
        loaded: WeightVersion,
    ) -> Option<Replacement> {
        let known = self.by_model.get(&model).into_iter().flatten();
        let next = known.into_iter().find(|announcement| announcement.version > loaded)?;
        let (by, is_observed) = (next.version, next.is_observed);
        Some(Replacement { by, age: next.age(now), is_observed })
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

impl<P: Placer> Control<P> {
    /// Returns whether no call is sent to a target because it would begin on replaced weights too late.
    ///
    /// The call is expected to begin as late as the most overdue call that waits there, and after the
    /// prompts before it and the wait for a slot.
    pub(super) fn is_outdated(&self, now: Moment, key: TargetKey, kind: TargetKind) -> bool {
        let TargetKind::Engine(model) = kind else {
            return false;
        };
        let Some((state, loaded)) = self.targets.get(key).and_then(|s| Some((s, s.version()?)))
        else {
            return false;
        };
        let versions = &self.announced_versions;
        if versions.replacement(now, model, loaded).is_none() {
            return false;
        }
        let sent_at = now + state.overdue(now);
        let begins_at = sent_at + self.expected_queue_time(now, key, state);
        versions.is_outdated(sent_at, model, loaded, BoundPart::Dispatch)
            || versions.is_outdated(begins_at, model, loaded, BoundPart::Begin)
    }

    /// Abandons the attempts that have not begun on replaced weights while they may.
    ///
    /// A target may hold a call for as long as its caller waits. While the platform does not respond,
    /// no daemon can order loads, as in [`Self::exclude_outdated`].
    pub(super) fn abandon_late_calls(&mut self, now: Moment, actions: &mut Actions) {
        if !self.has_recent_platform_response(now) {
            return;
        }
        let late = self.calls.iter().filter(|(_, call)| self.would_begin_late(now, call));
        let late: SmallVec<[CallKey; 8]> = late.map(|(key, _)| *key).collect();
        for key in late {
            self.abandon_attempt(key, AbandonReason::WeightsReplaced, actions);
        }
    }

    /// Returns whether an attempt has not begun on replaced weights in time.
    ///
    /// The response to a call without a stream does not show when the call began, so that only those
    /// that may run again are abandoned.
    fn would_begin_late(&self, now: Moment, call: &Call) -> bool {
        let TargetKind::Engine(model) = call.arrival.kind else {
            return false;
        };
        let shows_begin = matches!(
            call.arrival.class,
            CallClass::Stream | CallClass::ResumableStream | CallClass::Repeatable
        );
        let is_pending = call.target().is_some() && !call.has_begun() && !call.is_abandoned();
        let (version, part) = (call.version(), BoundPart::Begin);
        shows_begin && is_pending && self.announced_versions.is_outdated(now, model, version, part)
    }

    /// Excludes targets whose weights were replaced too long ago, or will have been by the time a
    /// call that is sent now starts there.
    ///
    /// While the platform does not respond, no daemon can order loads, so a response from outdated
    /// weights is better than none.
    pub(super) fn exclude_outdated(
        &self,
        now: Moment,
        kind: TargetKind,
        usable: Vec<TargetKey>,
    ) -> Vec<TargetKey> {
        let current = usable.iter().copied().filter(|key| !self.is_outdated(now, *key, kind));
        let current: Vec<TargetKey> = current.collect();
        if current.is_empty() && !self.has_recent_platform_response(now) { usable } else { current }
    }

    /// Returns the announced weight versions, where they are announced apart from the declarations.
    pub(super) fn version_announcements(&self, now: Moment) -> Vec<VersionAnnouncement> {
        let snapshot = self.snapshot.iter().filter(|_| self.has_registry);
        let models = snapshot.flat_map(|s| s.models.iter());
        let announcements = models.map(|(key, model)| VersionAnnouncement {
            weights: model.weights_name.clone(),
            version: model.version,
            age: self.announced_versions.age(now, key),
        });
        announcements.collect()
    }

    /// Records the ages of announced versions from a peer's digest.
    pub(super) fn record_announcements(
        &mut self,
        now: Moment,
        announced: &[VersionAnnouncement],
        actions: &mut Actions,
    ) {
        let Some(snapshot) = self.snapshot.clone().filter(|_| self.has_registry) else {
            return;
        };
        for (model, declared) in snapshot.models.iter() {
            for announced in announced.iter().filter(|a| a.weights == declared.weights_name) {
                let known = &mut self.announced_versions;
                if let Some(age) = announced.age
                    && known.record_peer_age(now, model, announced.version, age)
                {
                    self.report_announcement(now, model, AnnouncementSource::Peer, actions);
                }
            }
        }
    }

    /// Records the versions of a snapshot and reports those that became known with it.
    pub(super) fn apply_announced_versions(
        &mut self,
        now: Moment,
        snapshot: &Snapshot,
        is_first: bool,
        actions: &mut Actions,
    ) {
        for model in self.announced_versions.apply_snapshot(now, snapshot, is_first) {
            let weights = snapshot.models.get(model).map(|m| m.weights_name.clone());
            self.report_newest(now, model, weights, AnnouncementSource::Receipt, actions);
        }
    }

    fn report_announcement(
        &self,
        now: Moment,
        model: ModelKey,
        source: AnnouncementSource,
        actions: &mut Actions,
    ) {
        let declared = self.snapshot.as_ref().and_then(|s| s.models.get(model));
        self.report_newest(now, model, declared.map(|m| m.weights_name.clone()), source, actions);
    }

    /// Reports the newest version of a model, where versions are announced apart from declarations.
    fn report_newest(
        &self,
        now: Moment,
        model: ModelKey,
        weights: Option<Arc<str>>,
        source: AnnouncementSource,
        actions: &mut Actions,
    ) {
        let newest = self.announced_versions.newest(now, model).filter(|_| self.has_registry);
        let Some((weights, newest)) = weights.zip(newest) else { return };
        let Replacement { by: version, age, is_observed } = newest;
        let unread = now.since(self.managed_stores.platform_requested());
        let report = AnnouncementReport { weights, version, age, is_observed, unread, source };
        actions.push(Action::ReportAnnouncement(report));
    }

    /// Returns the announcement that replaced the weights of a target; `None` if they are the newest
    /// or not known.
    pub(super) fn replacement_at(&self, now: Moment, key: TargetKey) -> Option<Replacement> {
        let target = self.snapshot.as_ref()?.targets.get(key)?;
        let TargetKind::Engine(model) = target.kind else { return None };
        let loaded = self.targets.get(key).and_then(TargetState::version)?;
        self.announced_versions.replacement(now, model, loaded)
    }

    /// Reports a call that begins on replaced weights.
    pub(super) fn report_begin(&self, now: Moment, key: CallKey, actions: &mut Actions) {
        let Some(call) = self.calls.get(&key).filter(|call| call.target().is_some()) else {
            return;
        };
        let (TargetKind::Engine(model), version) = (call.arrival.kind, call.version()) else {
            return;
        };
        let replacement = self.announced_versions.replacement(now, model, version);
        actions.extend(replacement.map(|replacement| {
            Action::ReportBegin(BeginOnReplaced {
                call: key,
                version,
                replacement,
                waited: now.since(call.dispatched),
                is_late: self.announced_versions.is_outdated(
                    now,
                    model,
                    version,
                    BoundPart::Dispatch,
                ),
            })
        }));
    }
}
