//! Preloading of shared prompt material into engines, while the preset in force requires it.

use std::time::Duration;

use cumintrail_config::{Snapshot, Target, TargetKind};
use cumintrail_types::{Digest, Moment, TargetKey};

use super::Control;
use crate::membership::{Liveness, Probers};
use crate::placement::Placer;
use crate::{Action, Actions};

/// Interval between two batches of preload orders.
const PRELOAD_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of preloads that one daemon orders per interval, so that calls are not delayed.
const MAX_PRELOADS_PER_INTERVAL: usize = 2;

impl<P: Placer> Control<P> {
    /// Orders each material once per incarnation and weight version of an engine.
    ///
    /// Only the daemon that ranks first among the engine's probers orders its preloads.
    pub(super) fn order_preloads(&mut self, now: Moment, actions: &mut Actions) {
        if self.next_preload > now || self.stopping {
            return;
        }
        self.next_preload = now + PRELOAD_INTERVAL;
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        if !snapshot.preset.warm_material {
            return self.preloaded.clear();
        }
        let probers = self.membership.probers(self.identity.address, &self.identity.domain);
        let engines = snapshot.targets.iter().filter(|(_, t)| !t.retired);
        let engines = engines.filter(|(_, t)| is_first_prober(&probers, &snapshot, t));
        let missing = engines.flat_map(|(key, t)| self.missing_materials(&snapshot, key, t));
        let missing: Vec<(TargetKey, usize, Digest)> =
            missing.take(MAX_PRELOADS_PER_INTERVAL).collect();
        for (target, material, digest) in missing {
            if let Some(report) = self.targets.get(target).and_then(|state| state.report) {
                self.preloaded.insert((target, digest), (report.incarnation, report.version));
                actions.push(Action::PreloadPrompt { target, material });
            }
        }
    }

    /// Returns the materials that were not yet ordered for the engine's current incarnation and
    /// version.
    fn missing_materials(
        &self,
        snapshot: &Snapshot,
        key: TargetKey,
        target: &Target,
    ) -> Vec<(TargetKey, usize, Digest)> {
        let state = self.targets.get(key).filter(|s| s.liveness == Liveness::Live);
        let report = state.and_then(|s| s.report).filter(|r| !r.loading && !self.is_leaving(key));
        let (TargetKind::Engine(model), Some(report)) = (target.kind, report) else {
            return Vec::new();
        };
        if snapshot.models.get(model).is_none_or(|m| m.version != report.version) {
            return Vec::new();
        }
        let loaded = (report.incarnation, report.version);
        let materials = snapshot.materials.iter().enumerate().filter(|(_, m)| m.model == model);
        let missing =
            materials.filter(|(_, m)| self.preloaded.get(&(key, m.digest)) != Some(&loaded));
        missing.map(|(index, m)| (key, index, m.digest)).collect()
    }
}

fn is_first_prober(probers: &Probers, snapshot: &Snapshot, target: &Target) -> bool {
    let domain = snapshot.domains.get(target.domain).map_or("", |d| d);
    probers.is_first(target.address, domain)
}
