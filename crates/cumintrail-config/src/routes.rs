//! Routes of relayed calls; docs/DESIGN.md, "Relayed calls".

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_types::{Arena, CallClass, RouteKey, Urgency};
use smallvec::SmallVec;

use crate::TargetKind;

/// Declares which calls go where, and how they may be handled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// The host that callers name, in lower case.
    pub host: Arc<str>,
    /// What the path begins with; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// How its calls may be repeated.
    pub class: CallClass,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer, or the first event of a stream, is to reach the caller.
    pub latency_objective: Duration,
    /// The longest pause between two events of a stream that is still in time.
    pub event_gap: Duration,
    /// The rank of its calls, unless the client account has one.
    pub urgency: Urgency,
    /// The targets that one call may run at.
    pub max_attempts: u8,
    /// Whether callers need no API key.
    pub public: bool,
    /// Where its calls go, by weight.
    pub split: SmallVec<[WeightedKind; 2]>,
}

impl Route {
    /// Chooses what a call is sent to: over all values of `drawn`, in proportion to the weights.
    pub fn choose_kind(&self, random: u32) -> Option<TargetKind> {
        let total: u64 = self.split.iter().map(|s| u64::from(s.weight)).sum();
        let mut remaining = u64::from(random).checked_rem(total)?;
        let chosen = self.split.iter().find(|option| {
            let found = remaining < u64::from(option.weight);
            remaining = remaining.saturating_sub(u64::from(option.weight));
            found
        });
        chosen.map(|option| option.kind)
    }
}

/// Names one part of a route's calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WeightedKind {
    /// What the part is sent to.
    pub kind: TargetKind,
    /// Its weight.
    pub weight: u32,
}

/// Finds the route of a call by host and longest prefix.
#[derive(Debug, Clone, Default)]
pub struct Routes {
    routes: Arena<RouteKey, Route>,
    by_host: HashMap<Arc<str>, HashMap<Arc<str>, RouteKey>>,
}

impl Routes {
    /// Indexes routes; of two with the same host and prefix the first counts.
    pub fn new(declared: Vec<Route>) -> Self {
        let mut index = Self::default();
        for route in declared {
            let (host, prefix) = (route.host.clone(), route.prefix.clone());
            let key = index.routes.push(route);
            index.by_host.entry(host).or_default().entry(prefix).or_insert(key);
        }
        index
    }

    /// Finds the route with the longest prefix of `path`; a port of the host does not count.
    pub fn find(&self, host: &str, path: &str) -> Option<RouteKey> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = match self.by_host.get(name) {
            Some(prefixes) => prefixes,
            None => self.by_host.get(&*name.to_ascii_lowercase())?,
        };
        let ends = path.bytes().enumerate().rev().filter(|(_, b)| *b == b'/').map(|(at, _)| at);
        let mut found = ends.filter_map(|at| prefixes.get(&path[..=at]).copied());
        found.next()
    }

    /// Returns a route.
    pub fn get(&self, key: RouteKey) -> Option<&Route> {
        self.routes.get(key)
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Tells whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}
