//! Failover from failure domains in which this daemon reaches no target;
//! docs/design/domain-failover.md.
//!
//! A daemon of a large deployment sends each target less than one call a second. While a domain is
//! cut off, breakers of single targets would open only after most of these calls were lost.

use cumintrail_types::{CallClass, CallKey, DomainKey, TargetKey};

use super::Control;
use crate::placement::Placer;
use crate::reach::{Reach, ReachChange, ReachScope};
use crate::{AbandonReason, Action, Actions, Phase};

impl<P: Placer> Control<P> {
    /// Lets calls leave failure domains in which this daemon reaches no target.
    pub const fn fail_over_domains(&mut self) {
        self.domain_failover = true;
    }

    /// Returns the failure domain of a target whose failed connections count against the domain.
    pub(super) fn failover_domain(&self, target: TargetKey) -> Option<DomainKey> {
        let snapshot = self.snapshot.as_ref().filter(|_| self.domain_failover)?;
        Some(snapshot.targets.get(target)?.domain)
    }

    /// Prefers targets in domains that are reached.
    pub(super) fn prefer_reached_domains(&self, usable: Vec<TargetKey>) -> Vec<TargetKey> {
        let Some(snapshot) = self.snapshot.as_ref().filter(|_| self.has_unreached_domain()) else {
            return usable;
        };
        let is_reached = |key: &TargetKey| {
            snapshot.targets.get(*key).is_some_and(|target| {
                let reach = self.reach.get(&ReachScope::Domain(target.domain));
                !reach.is_some_and(Reach::is_partitioned)
            })
        };
        let reached: Vec<TargetKey> = usable.iter().copied().filter(is_reached).collect();
        if reached.is_empty() { usable } else { reached }
    }

    fn has_unreached_domain(&self) -> bool {
        let is_unreached = |(scope, reach): (&ReachScope, &Reach)| {
            matches!(scope, ReachScope::Domain(_)) && reach.is_partitioned()
        };
        self.reach.iter().any(is_unreached)
    }

    /// Abandons the attempts in a domain that is not reached any more, where the calls may be sent
    /// elsewhere.
    pub(super) fn handle_domain_reach(
        &mut self,
        domain: DomainKey,
        change: ReachChange,
        actions: &mut Actions,
    ) {
        let abandoned = match change {
            ReachChange::Partitioned { .. } => self.repeatable_calls_in(domain),
            ReachChange::Restored { .. } => Vec::new(),
        };
        for key in &abandoned {
            self.abandon_attempt(*key, AbandonReason::DomainUnreached, actions);
        }
        let name = self.snapshot.as_ref().and_then(|s| s.domains.get(domain));
        let domain = name.cloned().unwrap_or_default();
        actions.push(Action::ReportDomainReach { domain, change, abandoned: abandoned.len() });
    }

    /// Returns the calls in flight in a domain that may run again at another target.
    fn repeatable_calls_in(&self, domain: DomainKey) -> Vec<CallKey> {
        let Some(snapshot) = &self.snapshot else {
            return Vec::new();
        };
        let is_in_domain =
            |key: TargetKey| snapshot.targets.get(key).is_some_and(|t| t.domain == domain);
        let calls = self.calls.iter().filter(|(_, call)| match call.arrival.class {
            CallClass::Repeatable => call.phase() == Phase::Sending,
            CallClass::ResumableStream => call.phase() != Phase::Queued,
            _ => false,
        });
        let calls = calls.filter(|(_, call)| call.target().is_some_and(is_in_domain));
        calls.map(|(key, _)| *key).collect()
    }
}
