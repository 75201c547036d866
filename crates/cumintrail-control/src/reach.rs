//! Decides whether this daemon is partitioned from the targets of a model or service, or from those
//! of a failure domain; docs/DESIGN.md, "Detours", and docs/design/domain-failover.md.
//!
//! A target that fails and a daemon without a network path look alike in one failed connection. The
//! daemon therefore doubts the path once several targets accept no connection, and opens connections
//! to others: if all fail, it is partitioned, and goes on checking until one succeeds.

use std::time::Duration;

use cumintrail_config::{Target, TargetKind};
use cumintrail_types::{DomainKey, Moment, TargetKey};
use rand::Rng;
use rand::seq::IteratorRandom;
use smallvec::SmallVec;

/// Distinct targets that accept no connection from which on a daemon doubts its own network.
const DOUBTFUL_FAILURES: usize = 2;
/// How long a failed connection counts, unless a check reaches a target.
///
/// A call that ends while its second connection is opened shows one failed target only, so that the
/// next one may come from a later call.
const FAILURE_MAX_AGE: Duration = Duration::from_secs(5);
/// How long a target that accepted no connection is left out of checks.
const UNCHECKED_AFTER_FAILURE: Duration = Duration::from_secs(1);
/// Targets to which a check opens connections.
const CHECKED_TARGETS: usize = 3;
/// The time between the ends of two checks, or between a check and the next doubt.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The targets of one check.
pub type CheckedTargets = SmallVec<[TargetKey; CHECKED_TARGETS]>;

/// Names the targets whose reach is tracked together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ReachScope {
    /// All targets of a model or plain service.
    Kind(TargetKind),
    /// All targets in a failure domain.
    Domain(DomainKey),
}

impl ReachScope {
    /// Returns whether a target belongs to the scope.
    pub fn contains(self, target: &Target) -> bool {
        match self {
            Self::Kind(kind) => target.kind == kind,
            Self::Domain(domain) => target.domain == domain,
        }
    }
}

/// Describes the beginning or end of a partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReachChange {
    /// No target accepts connections.
    Partitioned {
        /// Targets to which calls failed to connect before the check.
        failed_targets: usize,
    },
    /// A target accepts connections again.
    Restored {
        /// How long none did.
        after: Duration,
    },
}

/// Tracks failed connections to the targets of one scope, and the checks that follow.
#[derive(Debug, Default)]
pub struct Reach {
    failures: SmallVec<[(TargetKey, Moment); 4]>,
    is_checking: bool,
    next_check: Moment,
    partitioned_since: Option<Moment>,
}

impl Reach {
    /// Returns whether this daemon is partitioned from all these targets.
    pub const fn is_partitioned(&self) -> bool {
        self.partitioned_since.is_some()
    }

    /// Records that a target accepted no connection.
    pub fn record_failure(&mut self, now: Moment, target: TargetKey) {
        self.failures.retain(|(failed, at)| *failed != target && now.since(*at) < FAILURE_MAX_AGE);
        self.failures.push((target, now));
    }

    /// Starts a check if one is due; `targets` are those in use.
    pub fn start_check(
        &mut self,
        now: Moment,
        targets: impl Iterator<Item = TargetKey>,
        rng: &mut impl Rng,
    ) -> Option<CheckedTargets> {
        self.failures.retain(|(_, at)| now.since(*at) < FAILURE_MAX_AGE);
        if self.is_checking || now < self.next_check {
            return None;
        }
        let targets: Vec<TargetKey> = targets.collect();
        let is_doubtful = self.failures.len() >= DOUBTFUL_FAILURES.min(targets.len()).max(1);
        if targets.is_empty() || !(is_doubtful || self.is_partitioned()) {
            return None;
        }
        let has_failed = |target: &TargetKey| {
            let mut failures = self.failures.iter();
            failures.any(|(t, at)| t == target && now.since(*at) < UNCHECKED_AFTER_FAILURE)
        };
        let others = targets.iter().copied().filter(|target| !has_failed(target));
        let mut checked = others.choose_multiple(rng, CHECKED_TARGETS);
        if checked.is_empty() {
            checked = targets.into_iter().choose_multiple(rng, CHECKED_TARGETS);
        }
        self.is_checking = true;
        Some(checked.into())
    }

    /// Records the end of a check; `reached` states whether any target accepted a connection.
    pub fn record_check(&mut self, now: Moment, reached: bool) -> Option<ReachChange> {
        self.is_checking = false;
        self.next_check = now + CHECK_INTERVAL;
        let failed_targets = self.failures.len();
        match self.partitioned_since {
            None if !reached => {
                self.partitioned_since = Some(now);
                Some(ReachChange::Partitioned { failed_targets })
            }
            Some(since) if reached => {
                self.partitioned_since = None;
                self.failures.clear();
                Some(ReachChange::Restored { after: now.since(since) })
            }
            _ if reached => {
                self.failures.clear();
                None
            }
            _ => None,
        }
    }
}
