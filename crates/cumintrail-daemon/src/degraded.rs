//! Derives the degradations that the operator status lists.

use cumintrail_control::{Dump, PeerDump, StoreDump, TargetDump};
use cumintrail_types::Generation;
use cumintrail_wire::operator::{Age, Degradation};

use crate::shared::Shared;

const SILENT: &str = "silent";

/// Returns all degradations of a daemon, the most general first.
pub fn degradations(shared: &Shared, dump: &Dump) -> Vec<Degradation> {
    let generation = shared.generation();
    let known = dump.peers.iter().map(|(_, peer)| peer.generation).max();
    let behind = known.filter(|known| *known > generation);

    let mut found = Vec::new();
    found.extend(shared.is_stopping().then_some(Degradation::Stopping));
    found.extend((generation == Generation(0)).then_some(Degradation::NotConfigured));
    found.extend(behind.map(|known| Degradation::GenerationBehind { known }));
    found.extend(adoption_failure(shared));
    found.extend(platform(shared));
    found.extend(dump.stores.iter().filter_map(store));
    found.extend(dump.peers.iter().filter_map(|(address, p)| peer(&address.to_string(), p)));
    found.extend(dump.targets.iter().filter_map(target));
    found
}

fn adoption_failure(shared: &Shared) -> Option<Degradation> {
    let failure = shared.adoption_failure().filter(|f| f.generation > shared.generation())?;
    let reason = failure.reason.clone();
    Some(Degradation::NotAdopted { accepted: failure.generation, reason })
}

fn platform(shared: &Shared) -> Option<Degradation> {
    let last = shared.platform_contact.last_response();
    let last = last.map(|at| Age(shared.now().since(at).as_millis() as u64));
    shared.platform_contact.is_unreachable().then_some(Degradation::PlatformUnreachable { last })
}

fn target(t: &TargetDump) -> Option<Degradation> {
    let (name, domain) = (t.name.clone(), t.domain.clone());
    match t {
        t if t.retired => None,
        t if t.leaving => Some(Degradation::TargetLeaving { name, domain, calls: t.in_flight }),
        t if t.liveness == SILENT => {
            Some(Degradation::TargetSilent { name, domain, last: t.report_age_ms.map(Age) })
        }
        t if t.ejected_ms > 0 => {
            let (failures, left) = (t.failures, Age(t.ejected_ms));
            Some(Degradation::TargetEjected { name, domain, failures, left })
        }
        _ => None,
    }
}

fn store(s: &StoreDump) -> Option<Degradation> {
    let silent = !s.retired && s.liveness == SILENT;
    silent.then(|| Degradation::StoreSilent {
        name: s.name.clone(),
        domain: s.domain.clone(),
        last: s.listing_age_ms.map(Age),
    })
}

fn peer(address: &str, p: &PeerDump) -> Option<Degradation> {
    let name = if p.vm.is_empty() { address.into() } else { p.vm.clone() };
    let silent = p.liveness == SILENT;
    silent.then(|| Degradation::PeerSilent {
        name,
        domain: p.domain.clone(),
        last: p.heard_ms.map(Age),
    })
}
