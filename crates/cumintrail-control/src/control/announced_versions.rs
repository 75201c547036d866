//! Weight versions that operators named, and engines that still have older ones.
//!
//! Calls begin on replaced weights for a limited time after the naming. A daemon that has just
//! started cannot tell how long ago that was, unless a peer saw it.

use std::collections::HashMap;
use std::time::Duration;

use cumintrail_config::{Snapshot, TargetKind};
use cumintrail_types::{ModelKey, Moment, TargetKey, WeightVersion};

use super::Control;
use crate::VersionAnnouncement;
use crate::placement::Placer;

/// How long a started daemon begins calls on older weights if no peer tells when a version was named.
///
/// Peers tell with each digest, several a second; a daemon that hears of none for so long is alone.
const UNOBSERVED_LIMIT: Duration = Duration::from_secs(2);

/// Remembers when weight versions were named.
#[derive(Debug, Default)]
pub struct AnnouncedVersions {
    /// By model, oldest version first.
    by_model: HashMap<ModelKey, Vec<Announcement>>,
    /// How long after a naming calls still begin on older weights.
    replaced_limit: Option<Duration>,
}

#[derive(Debug, Clone, Copy)]
struct Announcement {
    version: WeightVersion,
    /// When this daemon received it.
    received_at: Moment,
    /// How long before that it was named; it may have been before the process started.
    age_on_receipt: Duration,
    /// Whether this daemon or a peer was there at the time.
    is_observed: bool,
}

impl Announcement {
    fn age(&self, now: Moment) -> Duration {
        now.since(self.received_at) + self.age_on_receipt
    }
}

impl AnnouncedVersions {
    /// Sets the time for which replaced weights are used; without it, they are used for ever.
    pub const fn set_limit(&mut self, limit: Duration) {
        self.replaced_limit = Some(limit);
    }

    /// Takes the versions of a snapshot; those of the first one were named at an unknown time.
    pub fn apply_snapshot(&mut self, now: Moment, snapshot: &Snapshot, is_first: bool) {
        for (model, declared) in snapshot.models.iter() {
            let known = self.by_model.entry(model).or_default();
            if known.last().is_none_or(|newest| newest.version < declared.version) {
                known.push(Announcement {
                    version: declared.version,
                    received_at: now,
                    age_on_receipt: Duration::ZERO,
                    is_observed: !is_first,
                });
            }
        }
    }

    /// Takes how long ago a peer saw a version named; the earliest sight counts.
    pub fn record_peer_age(
        &mut self,
        now: Moment,
        model: ModelKey,
        version: WeightVersion,
        age: Duration,
    ) {
        let known = self.by_model.get_mut(&model).into_iter().flatten();
        let is_earlier = |announcement: &&mut Announcement| {
            !announcement.is_observed || announcement.age(now) < age
        };
        for announcement in
            known.filter(|announcement| announcement.version == version).filter(is_earlier)
        {
            *announcement =
                Announcement { version, received_at: now, age_on_receipt: age, is_observed: true };
        }
    }

    /// Returns how long ago the newest version of a model was named, if that was seen.
    pub fn age(&self, now: Moment, model: ModelKey) -> Option<Duration> {
        let newest = self.by_model.get(&model)?.last()?;
        newest.is_observed.then(|| newest.age(now))
    }

    /// Tells whether weights were replaced so long ago that no call begins on them.
    pub fn is_outdated(&self, now: Moment, model: ModelKey, loaded: WeightVersion) -> bool {
        let known = self.by_model.get(&model).into_iter().flatten();
        let next = known.into_iter().find(|announcement| announcement.version > loaded);
        let Some((next, limit)) = next.zip(self.replaced_limit) else {
            return false;
        };
        let limit = if next.is_observed { limit } else { limit.min(UNOBSERVED_LIMIT) };
        next.age(now) >= limit
    }
}

impl<P: Placer> Control<P> {
    /// Tells whether a target's weights were replaced so long ago that no call begins on them.
    ///
    /// A call that is sent now begins as late as those that wait there already.
    pub(super) fn is_outdated(&self, now: Moment, key: TargetKey, kind: TargetKind) -> bool {
        let TargetKind::Engine(model) = kind else {
            return false;
        };
        let Some(state) = self.targets.get(key) else {
            return false;
        };
        let starts_at = now + state.overdue(now);
        state
            .version()
            .is_some_and(|loaded| self.announced_versions.is_outdated(starts_at, model, loaded))
    }

    /// Returns the weight versions that operators named, where they do so apart from declarations.
    pub(super) fn version_announcements(&self, now: Moment) -> Vec<VersionAnnouncement> {
        let snapshot = self.snapshot.iter().filter(|_| self.has_registry);
        let models = snapshot.flat_map(|s| s.models.iter());
        let named = models.map(|(key, model)| VersionAnnouncement {
            weights: model.weights.clone(),
            version: model.version,
            age: self.announced_versions.age(now, key),
        });
        named.collect()
    }

    /// Takes when a peer saw versions named.
    pub(super) fn record_announcements(&mut self, now: Moment, named: &[VersionAnnouncement]) {
        let Some(snapshot) = self.snapshot.clone().filter(|_| self.has_registry) else {
            return;
        };
        for (model, declared) in snapshot.models.iter() {
            for named in named.iter().filter(|named| named.weights == declared.weights) {
                if let Some(age) = named.age {
                    self.announced_versions.record_peer_age(now, model, named.version, age);
                }
            }
        }
    }
}
