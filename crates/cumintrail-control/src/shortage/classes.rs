//! The urgencies of the calls for one model or service.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cumintrail_config::{Snapshot, TargetKind};
use cumintrail_types::Urgency;

/// Describes how urgent a call is among all calls for the same model or service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct UrgencyClass {
    /// The shortest objective of more urgent calls; `None` for the most urgent ones.
    pub more_urgent_objective: Option<Duration>,
    /// From 0 for the most urgent calls to 1 for the least urgent ones.
    pub position: f64,
}

/// Lists the urgencies of the calls for one model or service, with their shortest objectives.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UrgencyClasses {
    objectives: BTreeMap<Urgency, Duration>,
}

impl UrgencyClasses {
    /// Reads the urgencies from routes and accounts; `None` if all calls are equally urgent.
    pub fn of(snapshot: &Snapshot, kind: TargetKind) -> Option<Self> {
        let accounts = snapshot.accounts.iter().filter(|(_, a)| !a.retired);
        let accounts: BTreeSet<Option<Urgency>> = accounts.map(|(_, a)| a.urgency).collect();
        let mut objectives = BTreeMap::new();
        for (_, route) in snapshot.routes.iter() {
            if route.split.iter().all(|option| option.kind != kind || option.weight == 0) {
                continue;
            }
            for account in &accounts {
                let urgency = Urgency::combine(*account, route.urgency);
                let shortest = objectives.entry(urgency).or_insert(route.latency_objective);
                *shortest = route.latency_objective.min(*shortest);
            }
        }
        (objectives.len() > 1).then_some(Self { objectives })
    }

    /// Returns the class of a call.
    pub fn class(&self, urgency: Urgency) -> UrgencyClass {
        let more_urgent = self.objectives.range(..urgency);
        let rank = more_urgent.clone().count();
        let last = self.objectives.len().saturating_sub(1).max(1);
        UrgencyClass {
            more_urgent_objective: more_urgent.map(|(_, objective)| *objective).min(),
            position: (rank as f64 / last as f64).min(1.0),
        }
    }
}
