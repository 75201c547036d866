//! Routes of relayed calls; docs/DESIGN.md, "Relayed calls".

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_types::{Arena, CallClass, RouteKey, Urgency};
use smallvec::SmallVec;

use crate::TargetKind;

/// Declares which relayed calls go to which models and services, and how they are handled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// The host of the requests, in lower case.
    pub host: Arc<str>,
    /// The prefix of the path; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// The retry class of its calls.
    pub class: CallClass,
    /// The longest time that a caller waits.
    pub timeout: Duration,
    /// The time within which a response, or the first event of a stream, should reach the caller.
    pub latency_objective: Duration,
    /// The longest time between two events of a stream that still meets the objective.
    pub event_gap: Duration,
    /// The urgency of its calls, unless the client account has its own.
    pub urgency: Urgency,
    /// The limit of attempts per call that a target may have executed.
    pub max_attempts: u8,
    /// Whether callers need no API key.
    pub public: bool,
    /// The regions to which its calls are restricted; empty for no restriction.
    pub allowed_regions: Vec<Arc<str>>,
    /// The models and services that its calls are distributed over.
    pub split: SmallVec<[WeightedKind; 2]>,
}

impl Route {
    /// Returns the model or service for a call; for uniformly distributed `random`, each is chosen
    /// in proportion to its weight. Returns `None` if all weights are zero.
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

/// Assigns a share of the calls of a route to a model or service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WeightedKind {
    /// The model or service that gets the share.
    pub kind: TargetKind,
    /// The weight relative to the others of the route.
    pub weight: u32,
}

/// Finds the route of a call by host and longest prefix.
#[derive(Debug, Clone, Default)]
pub struct Routes {
    routes: Arena<RouteKey, Route>,
    by_host: HashMap<Arc<str>, HashMap<Arc<str>, RouteKey>>,
}

impl Routes {
    /// Indexes routes; of several with the same host and prefix, the first is used.
    pub fn new(declared: Vec<Route>) -> Self {
        let mut index = Self::default();
        for route in declared {
            let (host, prefix) = (route.host.clone(), route.prefix.clone());
            let key = index.routes.push(route);
            index.by_host.entry(host).or_default().entry(prefix).or_insert(key);
        }
        index
    }

    /// Finds the route with the longest matching prefix of `path`; a port in `host` is ignored.
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

    /// Returns the route of a key, or `None` if the key is out of range.
    pub fn get(&self, key: RouteKey) -> Option<&Route> {
        self.routes.get(key)
    }

    /// Lists all routes.
    pub fn iter(&self) -> impl Iterator<Item = (RouteKey, &Route)> {
        self.routes.iter()
    }

    /// Returns the longest timeout of a route, or zero without routes.
    pub fn longest_timeout(&self) -> Duration {
        self.routes.iter().map(|(_, route)| route.timeout).max().unwrap_or_default()
    }
    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Returns whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}
