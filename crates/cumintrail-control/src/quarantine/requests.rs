//! Crashes of targets under whole requests, and what they prove.
//!
//! A request is shared by its own repeats only, which may come one after the other or overlap, and
//! there may be no target left to serve anything else. It is blamed if a sound request would be in as
//! many crashes by a small chance only, at the part of all calls that crashes ended lately, and if no
//! other request was in all of the same crashes.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use cumintrail_types::Moment;
use smallvec::SmallVec;

use super::evidence::{Doubt, DoubtReason, MIN_CRASHES, Verdict};
use super::{CallCounts, ContentKey, Scope};
use crate::record_time::RecordTime;

/// The chance up to which a sound request may be in as many crashes as one that is blamed.
const MAX_CHANCE: f64 = 1e-4;
/// Targets that crash within this time, by the clocks of several daemons, may have a common cause.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(50);
/// How long after the last crash further calls can show that others are served.
const RECONSIDERATION_TIME: Duration = Duration::from_secs(10);
/// How long crashes are recorded.
const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of recorded crashes; the oldest are dropped first.
const MAX_CRASHES: usize = 1_024;
/// Maximum number of suspected requests.
const MAX_SUSPECTS: usize = 4_096;

/// The crash of a target.
#[derive(Debug, Clone, Copy)]
struct TargetCrash {
    /// The hash of the name of the target's model or service.
    pool: u64,
    /// When its calls broke, or when it was found to be gone if it had none.
    ended: RecordTime,
}

/// A request that was at targets when they crashed.
#[derive(Debug, Clone, Default)]
struct Suspect {
    /// The hash of the name of its account.
    account: u64,
    /// The hashes of the names of the targets.
    targets: SmallVec<[u64; 4]>,
}

/// Crashes that may have a common cause.
#[derive(Debug, Clone)]
struct Cluster {
    pool: u64,
    began: RecordTime,
    targets: SmallVec<[u64; 4]>,
}

/// The crashes of targets under a request that have no other cause.
#[derive(Debug, Clone, Default)]
struct Unexplained {
    targets: SmallVec<[u64; 4]>,
    last: RecordTime,
}

/// Records crashes of targets and the requests that were there.
#[derive(Debug, Default)]
pub struct RequestEvidence {
    crashes: HashMap<u64, TargetCrash>,
    suspects: HashMap<ContentKey, Suspect>,
}

impl RequestEvidence {
    /// Records a crash; a repetition changes nothing.
    pub fn insert_crash(&mut self, target: u64, pool: u64, ended: RecordTime) {
        if self.crashes.len() >= MAX_CRASHES && !self.crashes.contains_key(&target) {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.ended);
            let oldest = oldest.map(|(target, _)| *target);
            oldest.and_then(|target| self.crashes.remove(&target));
        }
        self.crashes.entry(target).or_insert(TargetCrash { pool, ended });
    }

    /// Records that a request of an account was at a target when it crashed; returns whether this is
    /// new.
    pub fn insert_request(&mut self, target: u64, request: ContentKey, account: u64) -> bool {
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&request) {
            let known = &self.crashes;
            self.suspects
                .retain(|_, suspect| suspect.targets.iter().any(|t| known.contains_key(t)));
            if self.suspects.len() >= MAX_SUSPECTS {
                return false;
            }
        }
        let suspect = self.suspects.entry(request).or_default();
        suspect.account = account;
        let is_new = !suspect.targets.contains(&target);
        if is_new {
            suspect.targets.push(target);
        }
        is_new
    }

    /// Forgets that a request was at targets that crashed; returns whether it was.
    pub fn remove(&mut self, request: ContentKey) -> bool {
        self.suspects.remove(&request).is_some()
    }

    /// Forgets the crashes under a request up to a time.
    pub fn remove_until(&mut self, request: ContentKey, time: RecordTime) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            let known = &self.crashes;
            suspect.targets.retain(|target| known.get(target).is_some_and(|c| c.ended > time));
        }
    }

    /// Returns whether no crash is recorded.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Forgets old crashes.
    pub fn expire(&mut self, now: Moment) {
        self.crashes.retain(|_, crash| crash.ended.age(now) < CRASH_RETENTION);
        let known = &self.crashes;
        self.suspects.retain(|_, suspect| {
            suspect.targets.retain(|target| known.contains_key(target));
            !suspect.targets.is_empty()
        });
    }

    /// Returns the targets that crashed under a request.
    pub fn targets(&self, request: ContentKey) -> &[u64] {
        self.suspects.get(&request).map_or(&[], |suspect| &suspect.targets)
    }

    /// Returns which requests are to blame, which others are in doubt, and whether that can change
    /// only by further crashes.
    ///
    /// Crashes in `explained` have another cause. `is_blamed` returns whether a request is in
    /// quarantine, and `recent_calls` counts the recent calls to a model or service.
    pub fn weigh(
        &self,
        now: Moment,
        settle_time: Duration,
        explained: &HashSet<u64>,
        is_blamed: impl Fn(ContentKey) -> bool,
        recent_calls: impl Fn(u64) -> CallCounts,
    ) -> (Vec<Verdict>, Vec<Doubt>, bool) {
        let is_settled = |crash: &TargetCrash| crash.ended.age(now) >= settle_time;
        let mut is_final = self.crashes.values().all(is_settled);
        let mut explained = explained.clone();
        let mut verdicts: Vec<Verdict> = Vec::new();
        loop {
            let clusters =
                self.clusters(|target, crash| is_settled(crash) && !explained.contains(&target));
            let is_decided = |request: ContentKey| {
                is_blamed(request) || verdicts.iter().any(|verdict| verdict.content == request)
            };
            let open = self.suspects.iter().filter(|(request, suspect)| {
                suspect.targets.len() >= MIN_CRASHES && !is_decided(**request)
            });
            let mut open: Vec<(Unexplained, ContentKey, &Suspect)> = open
                .map(|(request, suspect)| (unexplained(&clusters, suspect), *request, suspect))
                .collect();
            open.sort_unstable_by_key(|(crashes, request, _)| (crashes.targets.len(), *request));
            let mut doubts = Vec::new();
            let blamed = open.iter().rev().find_map(|(crashes, request, suspect)| {
                let calls = recent_calls(self.pool(&crashes.targets));
                let is_rival = |other: &&(Unexplained, ContentKey, &Suspect)| {
                    other.1 != *request
                        && crashes.targets.iter().all(|target| other.0.targets.contains(target))
                };
                let reason = match crashes.targets.len() {
                    count if count < MIN_CRASHES => DoubtReason::Explained,
                    count if chance(count, calls) > MAX_CHANCE => {
                        // Calls that are served soon after can still change the chance.
                        is_final &= crashes.last.age(now) >= RECONSIDERATION_TIME;
                        DoubtReason::OthersCrashed
                    }
                    _ if open.iter().any(|other| is_rival(&other)) => DoubtReason::Tied,
                    _ => return Some((crashes, *request, *suspect)),
                };
                let (count, unexplained) = (suspect.targets.len(), crashes.targets.len());
                doubts.push(Doubt { content: *request, crashes: count, unexplained, reason });
                None
            });
            let Some((crashes, request, suspect)) = blamed else {
                return (verdicts, doubts, is_final);
            };
            explained.extend(&suspect.targets);
            let (scope, count) = (Scope::Account(suspect.account), crashes.targets.len());
            let last_crash = crashes.last;
            verdicts.push(Verdict { content: request, scope, crashes: count, last_crash });
        }
    }

    fn pool(&self, targets: &[u64]) -> u64 {
        let crash = targets.first().and_then(|target| self.crashes.get(target));
        crash.map_or(0, |crash| crash.pool)
    }

    /// Groups the crashes of each model or service that may have a common cause.
    fn clusters(&self, counts: impl Fn(u64, &TargetCrash) -> bool) -> Vec<Cluster> {
        let mut sorted: BTreeMap<(u64, RecordTime, u64), u64> = BTreeMap::new();
        for (target, crash) in self.crashes.iter().filter(|(target, c)| counts(**target, c)) {
            sorted.insert((crash.pool, crash.ended, *target), *target);
        }
        let mut clusters: Vec<Cluster> = Vec::new();
        for ((pool, ended, _), target) in sorted {
            match clusters.last_mut() {
                Some(cluster)
                    if cluster.pool == pool
                        && ended <= cluster.began.after(COMMON_CAUSE_WINDOW) =>
                {
                    cluster.targets.push(target);
                }
                _ => {
                    let targets = SmallVec::from_slice(&[target]);
                    clusters.push(Cluster { pool, began: ended, targets });
                }
            }
        }
        clusters
    }
}

/// Returns the crashes under a request. Those at the same moment as crashes of targets without it
/// count as one, since another cause may have ended them all.
fn unexplained(clusters: &[Cluster], suspect: &Suspect) -> Unexplained {
    let is_suspected = |target: &u64| suspect.targets.contains(target);
    let own = clusters.iter().filter(|cluster| cluster.targets.iter().any(is_suspected));
    own.fold(Unexplained::default(), |mut crashes, cluster| {
        let has_others = !cluster.targets.iter().all(is_suspected);
        let counted = if has_others { 1 } else { cluster.targets.len() };
        let targets = cluster.targets.iter().copied().filter(|target| is_suspected(target));
        crashes.targets.extend(targets.take(counted));
        crashes.last = crashes.last.max(cluster.began);
        crashes
    })
}

/// Returns the chance that a sound request is in a number of crashes one after the other, from the
/// recent calls, these included.
fn chance(crashes: usize, calls: CallCounts) -> f64 {
    let broken = f64::from(calls.broken).max(crashes as f64) - crashes as f64;
    let broken_part = (broken + 1.0) / (broken + f64::from(calls.served) + 2.0);
    broken_part.powf(crashes as f64)
}
