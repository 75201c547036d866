//! Regions of failure domains, and the regions to which calls are restricted;
//! docs/design/home-regions.md.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Maps failure domains to regions, as the settings of a daemon state them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Regions {
    by_domain: BTreeMap<Arc<str>, Arc<str>>,
    /// The region of this daemon, and of callers that connect to it.
    own: Option<Arc<str>>,
}

impl Regions {
    /// Creates the map of a daemon in the failure domain `own_domain`.
    ///
    /// A daemon whose settings state no region of its own is in that of its failure domain.
    pub fn new(
        own_domain: &Arc<str>,
        own: Option<Arc<str>>,
        mut by_domain: BTreeMap<Arc<str>, Arc<str>>,
    ) -> Self {
        if let Some(region) = &own {
            by_domain.entry(own_domain.clone()).or_insert_with(|| region.clone());
        }
        let own = own.or_else(|| by_domain.get(own_domain).cloned());
        Self { by_domain, own }
    }

    /// Returns whether the settings state no region, so that lists of regions have no meaning.
    pub fn is_empty(&self) -> bool {
        self.by_domain.is_empty()
    }

    /// Returns the number of failure domains with a known region.
    pub fn len(&self) -> usize {
        self.by_domain.len()
    }

    /// Returns the region of this daemon.
    pub const fn own(&self) -> Option<&Arc<str>> {
        self.own.as_ref()
    }

    /// Returns whether calls with this list may reach targets in a failure domain, and their KV
    /// cache stores there. A domain of unknown region is in none.
    pub fn may_reach(&self, allowed: &AllowedRegions, domain: &str) -> bool {
        let region = self.by_domain.get(domain);
        self.is_empty() || region.is_some_and(|region| allowed.contains(region))
    }

    /// Returns whether the body of calls with this list may be sent to a daemon in a failure domain:
    /// in one of the regions or in the caller's own, which is that of this daemon.
    pub fn may_forward(&self, allowed: &AllowedRegions, domain: &str) -> bool {
        let region = self.by_domain.get(domain);
        let is_own = region.is_some() && region == self.own.as_ref();
        is_own || self.may_reach(allowed, domain)
    }
}

/// Lists the regions to which a call is restricted, in order and without repetition; it may be
/// restricted to none.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct AllowedRegions(Arc<[Arc<str>]>);

impl AllowedRegions {
    /// Combines the lists of a route and an account, of which an empty one restricts nothing; if
    /// both have one, both apply. Returns `None` for a call without restriction.
    pub fn combine(route: &[Arc<str>], account: &[Arc<str>]) -> Option<Self> {
        let mut regions: Vec<Arc<str>> = match (route, account) {
            ([], []) => return None,
            (list, []) | ([], list) => list.to_vec(),
            (route, account) => {
                route.iter().filter(|region| account.contains(region)).cloned().collect()
            }
        };
        regions.sort_unstable();
        regions.dedup();
        Some(Self(regions.into()))
    }

    /// Returns the regions, in order.
    pub fn names(&self) -> &[Arc<str>] {
        &self.0
    }

    fn contains(&self, region: &Arc<str>) -> bool {
        self.0.contains(region)
    }
}
