//! Which targets calls are sent to while weight versions are replaced, and which calls are abandoned.

use std::sync::Arc;

use cumintrail_config::{Snapshot, TargetKind};
use cumintrail_types::{CallClass, CallKey, ModelKey, Moment, TargetKey, WeightVersion};
use smallvec::SmallVec;

use super::Control;
use super::state::TargetState;
use crate::announcement::{
    AnnouncedVersions, AnnouncementReport, AnnouncementSource, BeginOnReplaced, BoundUse,
    StatedVersion,
};
use crate::placement::Placer;
use crate::{AbandonReason, Action, Actions, Arrival, Call, Replacement, VersionAnnouncement};

impl<P: Placer> Control<P> {
    /// Returns whether no call is sent to a target because it would begin on replaced weights too late,
    /// by a way to count the time since the announcement.
    ///
    /// The call is expected to begin as late as the most overdue call that waits there, and after the
    /// prompts before it and its own.
    fn is_outdated(
        &self,
        now: Moment,
        key: TargetKey,
        arrival: &Arrival,
        is_outdated: impl Fn(&AnnouncedVersions, Moment, ModelKey, WeightVersion, BoundUse) -> bool,
    ) -> bool {
        let TargetKind::Engine(model) = arrival.kind else {
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
        let begins_at = sent_at + self.expected_begin(now, key, state, arrival.prompt);
        is_outdated(versions, sent_at, model, loaded, BoundUse::Dispatch)
            || is_outdated(versions, begins_at, model, loaded, BoundUse::Begin)
    }

    /// Excludes targets whose weights were replaced too long ago, or will have been by the time a
    /// call that is sent now starts there.
    ///
    /// While the platform does not respond, no daemon can order loads, so a response from outdated
    /// weights is better than none.
    pub(super) fn exclude_outdated(
        &self,
        now: Moment,
        arrival: &Arrival,
        usable: Vec<TargetKey>,
    ) -> Vec<TargetKey> {
        let is_current =
            |key: &TargetKey| !self.is_outdated(now, *key, arrival, AnnouncedVersions::is_outdated);
        let current: Vec<TargetKey> = usable.iter().copied().filter(is_current).collect();
        if !current.is_empty() {
            return current;
        }
        let since_silence = AnnouncedVersions::is_outdated_since_silence;
        let may_serve = |key: &TargetKey| !self.is_outdated(now, *key, arrival, since_silence);
        usable.into_iter().filter(may_serve).collect()
    }

    /// Returns whether the weights of a target were replaced too long ago, counted from the last
    /// silence of the platform.
    ///
    /// `expected` is the version that a call was sent for. A target that has a higher one by now
    /// does not run the call on `expected`.
    pub(super) fn is_outdated_since_silence(
        &self,
        now: Moment,
        key: TargetKey,
        expected: Option<WeightVersion>,
        bound_use: BoundUse,
    ) -> bool {
        let declared = self.snapshot.as_ref().and_then(|s| s.targets.get(key));
        let loaded = self.targets.get(key).and_then(TargetState::version).max(expected);
        let Some((TargetKind::Engine(model), loaded)) = declared.map(|t| t.kind).zip(loaded) else {
            return false;
        };
        self.announced_versions.is_outdated_since_silence(now, model, loaded, bound_use)
    }

    /// Abandons the attempts that have not begun on replaced weights while they may.
    ///
    /// A target may hold a call for as long as its caller waits.
    pub(super) fn abandon_late_calls(&mut self, now: Moment, actions: &mut Actions) {
        let late = self.calls.iter().filter(|(_, call)| self.would_begin_late(now, call));
        let late: SmallVec<[CallKey; 8]> = late.map(|(key, _)| *key).collect();
        for key in late {
            self.abandon_attempt(key, AbandonReason::WeightsReplaced, actions);
        }
    }

    /// Returns whether an attempt has not begun on replaced weights in time.
    ///
    /// Only streams show when they begin.
    fn would_begin_late(&self, now: Moment, call: &Call) -> bool {
        let is_stream =
            matches!(call.arrival.class, CallClass::Stream | CallClass::ResumableStream);
        let Some(target) = call.target().filter(|_| is_stream) else {
            return false;
        };
        let expected = Some(call.version());
        !call.has_begun()
            && !call.is_abandoned()
            && self.is_outdated_since_silence(now, target, expected, BoundUse::Begin)
    }

    /// Returns the announced weight versions, where they are announced apart from the declarations.
    pub(super) fn version_announcements(&self, now: Moment) -> Vec<VersionAnnouncement> {
        let snapshot = self.snapshot.iter().filter(|_| self.has_registry);
        let mut announcements: Vec<VersionAnnouncement> = Vec::new();
        for (key, model) in snapshot.flat_map(|s| s.models.iter()) {
            let weights = &model.weights_name;
            if announcements.iter().all(|announcement| announcement.weights != *weights) {
                let stated = self.announced_versions.stated(now, key).into_iter();
                announcements.extend(stated.map(|(version, age)| VersionAnnouncement {
                    weights: weights.clone(),
                    version,
                    age,
                }));
            }
        }
        announcements
    }

    /// Records the announced versions in a peer's digest.
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
            let of_model = announced.iter().filter(|a| a.weights == declared.weights_name);
            let stated: SmallVec<[StatedVersion; 4]> =
                of_model.map(|a| (a.version, a.age)).collect();
            if self.announced_versions.record_stated(now, model, &stated) {
                let weights = Some(declared.weights_name.clone());
                self.report_newest(now, model, weights, AnnouncementSource::Peer, actions);
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
        let unread = self.announced_versions.unread(now).unwrap_or_default();
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
                is_past_dispatch: self.announced_versions.is_outdated(
                    now,
                    model,
                    version,
                    BoundUse::Dispatch,
                ),
            })
        }));
    }
}
