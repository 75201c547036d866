//! Evacuated failure domains: what is sent there, logged and counted.

use std::sync::Arc;

use cumintrail_config::{Target, TargetKind};
use cumintrail_types::{DomainKey, Moment, Refusal, RefusalCode};
use smallvec::SmallVec;

use super::Control;
use crate::evacuation::{EvacuationPage, EvacuationReport, Evacuations};
use crate::placement::Placer;
use crate::{Action, Actions, PeerDigest};

/// Records the evacuated failure domains.
#[derive(Debug, Default)]
pub(super) struct EvacuationState {
    evacuations: Evacuations,
    /// The evacuated failure domains that the snapshot in force has.
    domains: SmallVec<[DomainKey; 4]>,
    /// The number of calls that were refused because of evacuations.
    pub(super) refusals: u64,
}

impl EvacuationState {
    /// Returns whether a failure domain is evacuated.
    pub(super) fn contains(&self, domain: DomainKey) -> bool {
        self.domains.contains(&domain)
    }
}

impl<P: Placer> Control<P> {
    pub(super) fn handle_evacuation_page(
        &mut self,
        now: Moment,
        page: &EvacuationPage,
        actions: &mut Actions,
    ) {
        self.evacuation_state.evacuations.apply_page(now, page);
        self.apply_evacuation_changes(now, actions);
    }

    /// Records the evacuations that a peer knows, since the platform may serve only some daemons.
    pub(super) fn record_evacuation_reports(
        &mut self,
        now: Moment,
        digest: &PeerDigest,
        actions: &mut Actions,
    ) {
        for report in &digest.evacuations {
            self.evacuation_state.evacuations.apply_report(now, report);
        }
        self.apply_evacuation_changes(now, actions);
    }

    pub(super) fn confirm_evacuations(&mut self, as_of: Moment) {
        self.evacuation_state.evacuations.confirm(as_of);
    }

    pub(super) fn expire_evacuations(&mut self, now: Moment, actions: &mut Actions) {
        self.evacuation_state.evacuations.expire(now);
        self.apply_evacuation_changes(now, actions);
    }

    pub(super) fn evacuation_reports(&self, now: Moment) -> Vec<EvacuationReport> {
        self.evacuation_state.evacuations.reports(now)
    }

    pub(super) fn evacuated_domain_count(&self) -> usize {
        self.evacuation_state.domains.len()
    }

    /// Returns whether a target may get no calls because its failure domain is evacuated.
    pub(super) fn is_evacuated(&self, target: &Target) -> bool {
        self.evacuation_state.contains(target.domain)
    }

    /// Finds the keys of the evacuated failure domains in the snapshot in force.
    pub(super) fn find_evacuated_domains(&mut self) {
        let evacuations = &self.evacuation_state.evacuations;
        let declared = self.snapshot.iter().flat_map(|s| &s.deployment.evacuated_domains);
        let is_evacuated =
            |name: &Arc<str>| evacuations.is_evacuated(name) || declared.clone().any(|d| d == name);
        let domains = self.snapshot.iter().flat_map(|s| s.domains.iter());
        let evacuated = domains.filter(|(_, name)| is_evacuated(name));
        self.evacuation_state.domains = evacuated.map(|(key, _)| key).collect();
    }

    /// Counts the refusal of a call that has no target because of evacuations.
    pub(super) fn count_evacuation_refusal(&mut self, kind: TargetKind, refusal: &Refusal) {
        if refusal.code != RefusalCode::NoTarget || self.evacuation_state.domains.is_empty() {
            return;
        }
        let mut targets = self.snapshot.iter().flat_map(|s| s.targets.iter());
        let is_cause = targets.any(|(_, t)| t.kind == kind && !t.retired && self.is_evacuated(t));
        self.evacuation_state.refusals += u64::from(is_cause);
    }

    fn apply_evacuation_changes(&mut self, now: Moment, actions: &mut Actions) {
        let changes = self.evacuation_state.evacuations.take_changes();
        if changes.is_empty() {
            return;
        }
        self.find_evacuated_domains();
        self.refresh_allowances(now);
        self.send_digest_soon(now);
        for mut change in changes {
            change.targets = self.count_targets_in(&change.report.domain);
            actions.push(Action::ReportEvacuation(change));
        }
    }

    fn count_targets_in(&self, domain: &str) -> usize {
        let Some(snapshot) = &self.snapshot else {
            return 0;
        };
        let domain = snapshot.domain(domain);
        let targets = snapshot.targets.iter().filter(|(_, t)| !t.retired);
        targets.filter(|(_, t)| Some(t.domain) == domain).count()
    }
}
