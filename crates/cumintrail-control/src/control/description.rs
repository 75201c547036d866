//! Dumps and counts of the control state for operators.

use std::net::SocketAddr;
use std::sync::Arc;

use cumintrail_config::{Snapshot, Store, Target, TargetKind};
use cumintrail_types::{Arena, CallKey, DomainKey, Moment, StoreKey, TargetKey};

use super::Control;
use super::state::{StoreState, TargetState};
use crate::dump::{liveness_label, millis_between};
use crate::membership::Peer;
use crate::parts::name_hash;
use crate::placement::Placer;
use crate::quarantine::{Quarantined, Scope};
use crate::{
    Call, CallDump, Counts, Dump, LimitDump, PeerDump, QuarantineDump, QueueDump, StoreDump,
    TargetDump,
};

impl<P: Placer> Control<P> {
    /// Returns a dump of the whole state for operators.
    pub fn dump(&self, now: Moment) -> Dump {
        let snapshot = self.snapshot.as_deref();
        Dump {
            vm: self.identity.vm.clone(),
            domain: self.identity.domain.clone(),
            incarnation: self.identity.incarnation,
            up_ms: millis_between(now, Moment::default()),
            generation: self.generation(),
            preset: snapshot.map(|s| s.preset.name.clone()),
            stopping: self.stopping,
            waiting: self.admission.waiting(),
            calls: self.describe_calls(now),
            queues: snapshot.map(|s| self.describe_queues(s)).unwrap_or_default(),
            limits: snapshot.map(|s| self.describe_limits(s)).unwrap_or_default(),
            targets: snapshot.map(|s| self.describe_targets(now, s)).unwrap_or_default(),
            stores: snapshot.map(|s| self.describe_stores(now, s)).unwrap_or_default(),
            kept_blocks: self.directory.stored_blocks().len(),
            peers: self
                .other_peers()
                .map(|(address, peer)| (address, PeerDump::new(now, peer)))
                .collect(),
            quarantined: self.describe_quarantines(now),
            limited: snapshot.map(|s| self.describe_limited_targets(now, s)).unwrap_or_default(),
        }
    }

    /// Returns the counts for the gauges of the metrics, without copying any state.
    pub fn counts(&self) -> Counts {
        let snapshot = self.snapshot.as_deref();
        let targets = snapshot.into_iter().flat_map(|s| s.targets.iter());
        let targets = targets.filter(|(_, t)| !t.retired).filter_map(|(key, _)| {
            let state = self.targets.get(key)?;
            Some(if self.is_leaving(key) { None } else { Some(state.liveness) })
        });
        let stores = snapshot.into_iter().flat_map(|s| s.stores.iter());
        let stores = stores.filter(|(_, s)| !s.retired);
        let stores = stores.filter_map(|(key, _)| Some(Some(self.stores.get(key)?.liveness)));
        let (limited_targets, limit_allowance) = self.limit_counts();
        Counts {
            limited_targets,
            cold_targets: self.cold_count(),
            limit_allowance,
            limit_refusals: self.limit_state.refusals,
            evacuated_domains: self.evacuated_domain_count(),
            evacuation_refusals: self.evacuation_state.refusals,
            region_refusals: self.region_refusals,
            shortage_held: self.shortage.held,
            shortage_refusals: self.shortage.refused,
            calls_inside: self.spill_state.inside,
            calls_outside: self.spill_state.outside,
            calls: self.calls.len(),
            waiting: self.admission.waiting(),
            stored_blocks: self.directory.stored_blocks().len(),
            targets: targets.collect(),
            stores: stores.collect(),
            peers: self.other_peers().map(|(_, peer)| Some(peer.liveness)).collect(),
        }
    }

    /// Returns the peers without this daemon itself, which is also in the VM list.
    fn other_peers(&self) -> impl Iterator<Item = (SocketAddr, &Peer)> {
        self.membership.peers().filter(|(address, _)| *address != self.identity.address)
    }

    fn describe_quarantines(&self, now: Moment) -> Vec<QuarantineDump> {
        let accounts = || self.snapshot.iter().flat_map(|s| s.accounts.iter());
        let account_name = |hash: u64| {
            let found = accounts().find(|(_, account)| name_hash(&account.name) == hash);
            found.map_or_else(|| "-".into(), |(_, account)| account.name.clone())
        };
        let describe = |entry: Quarantined| QuarantineDump {
            content: format!("{:016x}", entry.content.0),
            account: match entry.scope {
                Scope::Account(hash) => Some(account_name(hash)),
                Scope::All => None,
            },
            left_ms: millis_between(entry.until, now),
        };
        self.quarantine.entries(now).map(describe).collect()
    }

    fn describe_calls(&self, now: Moment) -> Vec<CallDump> {
        let mut calls: Vec<(&CallKey, &Call)> = self.calls.iter().collect();
        calls.sort_unstable_by_key(|(key, _)| **key);
        let account = |call: &Call| {
            let accounts = self.snapshot.as_ref().map(|s| &s.accounts);
            let found = accounts.and_then(|a| a.get(call.arrival.account));
            found.map(|a| a.name.clone()).unwrap_or_default()
        };
        let target = |call: &Call| {
            let targets = self.snapshot.as_ref().map(|s| &s.targets);
            targets.and_then(|t| t.get(call.target()?)).map(|t| t.name.clone())
        };
        let describe = |(key, call): (&CallKey, &Call)| {
            CallDump::new(now, *key, call, account(call), target(call))
        };
        calls.into_iter().map(describe).collect()
    }

    fn describe_queues(&self, snapshot: &Snapshot) -> Vec<QueueDump> {
        let queues = self.admission.waiting_kinds().map(|kind| {
            let name = match kind {
                TargetKind::Engine(key) => snapshot.models.get(key).map(|m| m.name.clone()),
                TargetKind::Service(key) => snapshot.services.get(key).map(|s| s.name.clone()),
            };
            let waiting = self.admission.waiting_for(kind);
            QueueDump { name: name.unwrap_or_default(), waiting }
        });
        queues.collect()
    }

    fn describe_limits(&self, snapshot: &Snapshot) -> Vec<LimitDump> {
        let used = snapshot.accounts.iter().filter_map(|(key, account)| {
            let in_flight = self.admission.in_flight(key);
            (in_flight > 0).then(|| LimitDump {
                account: account.name.clone(),
                in_flight,
                concurrency: account.concurrency,
                share: self.admission.share_of(key),
                weight: account.weight,
            })
        });
        used.collect()
    }

    fn describe_targets(&self, now: Moment, snapshot: &Snapshot) -> Vec<TargetDump> {
        let known = snapshot.targets.iter().filter_map(|(key, target)| {
            let state = self.targets.get(key)?;
            Some(self.describe_target(now, key, target, state, &snapshot.domains))
        });
        known.collect()
    }

    fn describe_target(
        &self,
        now: Moment,
        key: TargetKey,
        target: &Target,
        state: &TargetState,
        domains: &Arena<DomainKey, Arc<str>>,
    ) -> TargetDump {
        TargetDump {
            name: target.name.clone(),
            address: target.address,
            domain: domains.get(target.domain).cloned().unwrap_or_default(),
            liveness: liveness_label(state.liveness),
            leaving: self.is_leaving(key),
            retired: target.retired,
            version: state.report.map(|r| r.version.0),
            loading: state.report.is_some_and(|r| r.loading),
            in_flight: state.in_flight,
            slots: target.slots,
            backlog: state.backlog,
            blocks: self.directory.cached_block_count(key),
            failures: state.breaker.failures(),
            ejected_ms: millis_between(state.breaker.open_until(), now),
            report_age_ms: state.report_received.map(|at| millis_between(now, at)),
        }
    }

    fn describe_stores(&self, now: Moment, snapshot: &Snapshot) -> Vec<StoreDump> {
        let known = snapshot.stores.iter().filter_map(|(key, store)| {
            let state = self.stores.get(key)?;
            let domain = snapshot.domains.get(store.domain).cloned().unwrap_or_default();
            Some(self.describe_store(now, key, store, state, domain))
        });
        known.collect()
    }

    fn describe_store(
        &self,
        now: Moment,
        key: StoreKey,
        store: &Store,
        state: &StoreState,
        domain: Arc<str>,
    ) -> StoreDump {
        let (link_in_flight, observed_per_second) = self.links.usage(key);
        StoreDump {
            name: store.name.clone(),
            address: store.address,
            domain,
            liveness: liveness_label(state.liveness),
            retired: store.retired,
            incarnation: state.sync.incarnation(),
            listing_age_ms: state.sync.synced_at().map(|at| millis_between(now, at)),
            link_per_second: store.link_bytes_per_second,
            observed_per_second,
            link_in_flight,
        }
    }
}
