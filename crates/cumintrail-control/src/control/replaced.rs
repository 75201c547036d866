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
const UNSEEN_LIMIT: Duration = Duration::from_secs(2);

/// Remembers when weight versions were named.
#[derive(Debug, Default)]
pub struct Namings {
    /// By model, oldest version first.
    known: HashMap<ModelKey, Vec<Naming>>,
    /// How long after a naming calls still begin on older weights.
    limit: Option<Duration>,
}

#[derive(Debug, Clone, Copy)]
struct Naming {
    version: WeightVersion,
    /// When this daemon heard of it.
    heard: Moment,
    /// How long before that it was named; it may have been before the process started.
    before: Duration,
    /// Whether this daemon or a peer was there at the time.
    seen: bool,
}

impl Naming {
    fn age(&self, now: Moment) -> Duration {
        now.since(self.heard) + self.before
    }
}

impl Namings {
    /// Sets the time for which replaced weights are used; without it, they are used for ever.
    pub const fn limit(&mut self, limit: Duration) {
        self.limit = Some(limit);
    }

    /// Takes the versions of a snapshot; those of the first one were named at an unknown time.
    pub fn take(&mut self, now: Moment, snapshot: &Snapshot, is_first: bool) {
        for (model, declared) in snapshot.models.iter() {
            let known = self.known.entry(model).or_default();
            if known.last().is_none_or(|newest| newest.version < declared.version) {
                known.push(Naming {
                    version: declared.version,
                    heard: now,
                    before: Duration::ZERO,
                    seen: !is_first,
                });
            }
        }
    }

    /// Takes how long ago a peer saw a version named; the earliest sight counts.
    pub fn hear(&mut self, now: Moment, model: ModelKey, version: WeightVersion, age: Duration) {
        let known = self.known.get_mut(&model).into_iter().flatten();
        let news = |naming: &&mut Naming| !naming.seen || naming.age(now) < age;
        for naming in known.filter(|naming| naming.version == version).filter(news) {
            *naming = Naming { version, heard: now, before: age, seen: true };
        }
    }

    /// Returns how long ago the newest version of a model was named, if that was seen.
    pub fn age(&self, now: Moment, model: ModelKey) -> Option<Duration> {
        let newest = self.known.get(&model)?.last()?;
        newest.seen.then(|| newest.age(now))
    }

    /// Tells whether weights were replaced so long ago that no call begins on them.
    pub fn is_outdated(&self, now: Moment, model: ModelKey, loaded: WeightVersion) -> bool {
        let known = self.known.get(&model).into_iter().flatten();
        let next = known.into_iter().find(|naming| naming.version > loaded);
        let Some((next, limit)) = next.zip(self.limit) else {
            return false;
        };
        let limit = if next.seen { limit } else { limit.min(UNSEEN_LIMIT) };
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
        let begins = now + state.overdue(now);
        state.version().is_some_and(|loaded| self.namings.is_outdated(begins, model, loaded))
    }

    /// Returns the weight versions that operators named, where they do so apart from declarations.
    pub(super) fn named_weights(&self, now: Moment) -> Vec<VersionAnnouncement> {
        let snapshot = self.snapshot.iter().filter(|_| self.has_registry);
        let models = snapshot.flat_map(|s| s.models.iter());
        let named = models.map(|(key, model)| VersionAnnouncement {
            weights: model.weights.clone(),
            version: model.version,
            age: self.namings.age(now, key),
        });
        named.collect()
    }

    /// Takes when a peer saw versions named.
    pub(super) fn hear_namings(&mut self, now: Moment, named: &[VersionAnnouncement]) {
        let Some(snapshot) = self.snapshot.clone().filter(|_| self.has_registry) else {
            return;
        };
        for (model, declared) in snapshot.models.iter() {
            for named in named.iter().filter(|named| named.weights == declared.weights) {
                if let Some(age) = named.age {
                    self.namings.hear(now, model, named.version, age);
                }
            }
        }
    }
}
