//! Decides whether this daemon is partitioned from the targets of a model or service, or from those
//! of a failure domain; docs/DESIGN.md, "Detours", and docs/design/domain-failover.md.
//!
//! A target that fails and a daemon without a network path look alike in one failed connection. The
//! daemon therefore doubts the path once several targets accept no connection, and opens connections
//! to others: if all fail, it is partitioned, and goes on checking until half of the targets accept
//! one. A daemon that reaches fewer would send these few the calls that it owes to all.

use std::time::Duration;

use cumintrail_config::{Target, TargetKind};
use cumintrail_types::{DomainKey, Moment, TargetKey};
use rand::Rng;
use rand::seq::{IteratorRandom, SliceRandom};
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
/// Targets to which a check opens connections at first.
const CHECKED_TARGETS: usize = 3;
/// The most targets to which it opens connections before a partition ends.
const MAX_SAMPLE: usize = 15;
/// The time between the ends of two checks, or between a check and the next doubt.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Targets of one check.
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
    /// At least half of the targets accept connections again.
    Restored {
        /// How long fewer did.
        after: Duration,
    },
}

/// Describes the connections to open in a check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Check {
    /// The targets.
    pub targets: CheckedTargets,
    /// Whether the check ends with the first target that accepts a connection.
    pub until_reached: bool,
}

/// Targets that show whether a partition is over: a few at first and, if at least half of these accept a
/// connection, all others.
///
/// A daemon that reaches few targets thus rarely opens connections to more than a few.
#[derive(Debug, Default)]
struct Sample {
    targets: Vec<TargetKey>,
    checked: usize,
    reached: Vec<TargetKey>,
}

impl Sample {
    fn draw(targets: Vec<TargetKey>, rng: &mut impl Rng) -> Self {
        let mut targets = targets.into_iter().choose_multiple(rng, MAX_SAMPLE);
        targets.shuffle(rng);
        Self { targets, ..Self::default() }
    }

    fn next_targets(&mut self) -> CheckedTargets {
        let first = self.checked;
        let is_begun = first > 0;
        self.checked = if is_begun { usize::MAX } else { CHECKED_TARGETS }.min(self.targets.len());
        self.targets[first..self.checked].into()
    }

    /// Returns whether the partition is over, once that is known.
    fn verdict(&self) -> Option<bool> {
        let checked = self.targets[..self.checked].iter();
        let reached = checked.filter(|target| self.reached.contains(target)).count();
        let is_half_reached = 2 * reached >= self.checked;
        (!is_half_reached || self.checked == self.targets.len()).then_some(is_half_reached)
    }

    fn into_unreached(self) -> Vec<TargetKey> {
        let Self { targets, reached, .. } = self;
        targets.into_iter().filter(|target| !reached.contains(target)).collect()
    }
}

/// Tracks failed connections to the targets of one scope, and the checks that follow.
#[derive(Debug, Default)]
pub struct Reach {
    failures: SmallVec<[(TargetKey, Moment); 4]>,
    is_checking: bool,
    next_check: Moment,
    partition: Option<Partition>,
    unreached: Vec<TargetKey>,
}

#[derive(Debug)]
struct Partition {
    since: Moment,
    sample: Option<Sample>,
}

impl Reach {
    /// Returns whether this daemon is partitioned from these targets.
    pub const fn is_partitioned(&self) -> bool {
        self.partition.is_some()
    }

    /// Returns the targets that accepted no connection in the check that ended the last partition.
    pub fn unreached(&self) -> &[TargetKey] {
        &self.unreached
    }

    /// Records that a target accepted no connection.
    pub fn record_failure(&mut self, now: Moment, target: TargetKey) {
        self.failures.retain(|(failed, at)| *failed != target && now.since(*at) < FAILURE_MAX_AGE);
        self.failures.push((target, now));
    }

    /// Starts a check, or goes on with one, if that is due; `targets` are those in use.
    pub fn start_check(
        &mut self,
        now: Moment,
        targets: impl Iterator<Item = TargetKey>,
        rng: &mut impl Rng,
    ) -> Option<Check> {
        self.failures.retain(|(_, at)| now.since(*at) < FAILURE_MAX_AGE);
        if self.is_checking || now < self.next_check {
            return None;
        }
        let targets: Vec<TargetKey> = targets.collect();
        let is_doubtful = self.failures.len() >= DOUBTFUL_FAILURES.min(targets.len()).max(1);
        if targets.is_empty() || !(is_doubtful || self.is_partitioned()) {
            return None;
        }
        self.is_checking = true;
        if let Some(partition) = &mut self.partition {
            let sample = partition.sample.get_or_insert_with(|| Sample::draw(targets, rng));
            return Some(Check { targets: sample.next_targets(), until_reached: false });
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
        Some(Check { targets: checked.into(), until_reached: true })
    }

    /// Records the end of a check; `reached` are the targets that accepted a connection.
    ///
    /// If the check has to go on with other targets, it is due at once.
    pub fn record_check(&mut self, now: Moment, reached: &[TargetKey]) -> Option<ReachChange> {
        self.is_checking = false;
        self.next_check = now + CHECK_INTERVAL;
        let Some(partition) = &mut self.partition else {
            if !reached.is_empty() {
                self.failures.clear();
                return None;
            }
            self.partition = Some(Partition { since: now, sample: None });
            return Some(ReachChange::Partitioned { failed_targets: self.failures.len() });
        };
        let sample = partition.sample.get_or_insert_default();
        sample.reached.extend_from_slice(reached);
        match sample.verdict() {
            None => {
                self.next_check = now;
                None
            }
            Some(false) => {
                partition.sample = None;
                None
            }
            Some(true) => {
                let after = now.since(partition.since);
                self.unreached = partition.sample.take().unwrap_or_default().into_unreached();
                self.partition = None;
                self.failures.clear();
                Some(ReachChange::Restored { after })
            }
        }
    }
}
