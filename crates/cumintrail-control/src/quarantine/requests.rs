//! Crashes of targets under whole requests, and what they prove.
//!
//! A request is shared by its own repeats only, which may come one after the other or overlap, and
//! there may be no target left to serve anything else. It is blamed if a sound request would be in as
//! many crashes by a small chance only, and if no other request was in all of the same crashes. The
//! chance follows from the part of the recent calls that other crashes ended, and from how often
//! targets crashed without the request in the time for which it ran.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use cumintrail_types::Moment;
use smallvec::SmallVec;

use super::evidence::{Doubt, DoubtReason, MIN_CRASHES, Verdict};
use super::served_calls::COUNTED_TIME;
use super::{ContentKey, Scope};
use crate::record_time::RecordTime;

/// The chance up to which each call of a sound request would be among those that crashes end.
const MAX_CHANCE_BY_CALLS: f64 = 1e-4;
/// The chance up to which targets would crash as often in the time for which a sound request ran.
const MAX_CHANCE_BY_TIME: f64 = 1e-7;
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
#[derive(Debug, Clone)]
struct TargetCrash {
    /// The hash of the name of the target's model or service.
    pool: u64,
    /// When its calls broke.
    ended: RecordTime,
    /// How many calls of each daemon it ended, as far as they reported that; `None` stands for this
    /// daemon.
    broken: SmallVec<[(Option<SocketAddr>, u32); 2]>,
}

impl TargetCrash {
    fn broken_calls(&self) -> u32 {
        self.broken.iter().map(|(_, calls)| *calls).sum()
    }
}

/// A request that was at targets when they crashed.
#[derive(Debug, Clone, Default)]
struct Suspect {
    /// The hash of the name of its account.
    account: u64,
    /// The hashes of the names of the targets, and how long the request had been there.
    runs: SmallVec<[(u64, Duration); 4]>,
}

impl Suspect {
    fn run_at(&self, target: u64) -> Option<Duration> {
        self.runs.iter().find(|(other, _)| *other == target).map(|(_, ran)| *ran)
    }
}

/// Describes a model or service apart from its crashes.
#[derive(Debug, Clone, Copy)]
pub struct PoolState {
    /// The number of calls that were served lately.
    pub served: u32,
    /// The number of its targets.
    pub targets: usize,
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
    /// How long the request had been at these targets.
    ran: Duration,
    last: RecordTime,
}

impl Unexplained {
    /// Returns whether a sound request may be in as many crashes.
    fn may_be_chance(&self, others: OtherCrashes, state: PoolState) -> bool {
        let count = self.targets.len();
        let (broken, served) = (f64::from(others.calls), f64::from(state.served));
        let by_calls = ((broken + 1.0) / (broken + served + 2.0)).powf(count as f64);
        let target_seconds = state.targets.max(1) as f64 * COUNTED_TIME.as_secs_f64();
        let rate = (f64::from(others.crashes) + 0.5) / target_seconds;
        let expected = rate * self.ran.as_secs_f64();
        let by_time = (1..=count).fold(1.0, |chance, n| chance * expected / n as f64);
        by_calls > MAX_CHANCE_BY_CALLS || by_time > MAX_CHANCE_BY_TIME
    }
}

/// Counts the recent crashes that a request was not in.
#[derive(Debug, Clone, Copy, Default)]
struct OtherCrashes {
    /// Crashes, those with a common cause once.
    crashes: u32,
    /// The calls that they ended.
    calls: u32,
}

/// Records crashes of targets and the requests that were there.
#[derive(Debug, Default)]
pub struct RequestEvidence {
    crashes: HashMap<u64, TargetCrash>,
    suspects: HashMap<ContentKey, Suspect>,
}

impl RequestEvidence {
    /// Records a crash, and how many calls of a daemon it ended if that daemon reported it; a
    /// repetition changes nothing.
    pub fn insert_crash(
        &mut self,
        (target, pool, ended): (u64, u64, RecordTime),
        broken: Option<(Option<SocketAddr>, u32)>,
    ) {
        if self.crashes.len() >= MAX_CRASHES && !self.crashes.contains_key(&target) {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.ended);
            let oldest = oldest.map(|(target, _)| *target);
            oldest.and_then(|target| self.crashes.remove(&target));
        }
        let new = TargetCrash { pool, ended, broken: SmallVec::new() };
        let crash = self.crashes.entry(target).or_insert(new);
        let Some((daemon, calls)) = broken else { return };
        match crash.broken.iter_mut().find(|(other, _)| *other == daemon) {
            Some((_, known)) => *known = calls.max(*known),
            None => crash.broken.push((daemon, calls)),
        }
    }

    /// Records that a request of an account had been at a target for some time when it crashed;
    /// returns whether this is new.
    pub fn insert_request(
        &mut self,
        target: u64,
        (request, account): (ContentKey, u64),
        ran: Duration,
    ) -> bool {
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&request) {
            self.forget_suspects_without_crashes();
            if self.suspects.len() >= MAX_SUSPECTS {
                return false;
            }
        }
        let suspect = self.suspects.entry(request).or_default();
        suspect.account = account;
        let is_new = suspect.run_at(target).is_none();
        if is_new {
            suspect.runs.push((target, ran));
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
            suspect.runs.retain(|(target, _)| known.get(target).is_some_and(|c| c.ended > time));
        }
    }

    /// Returns whether no crash is recorded.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Forgets old crashes.
    pub fn expire(&mut self, now: Moment) {
        self.crashes.retain(|_, crash| crash.ended.age(now) < CRASH_RETENTION);
        self.forget_suspects_without_crashes();
    }

    fn forget_suspects_without_crashes(&mut self) {
        let known = &self.crashes;
        self.suspects.retain(|_, suspect| {
            suspect.runs.retain(|(target, _)| known.contains_key(target));
            !suspect.runs.is_empty()
        });
    }

    /// Returns the targets that crashed under a request.
    pub fn targets(&self, request: ContentKey) -> impl Iterator<Item = u64> {
        let runs = self.suspects.get(&request).into_iter().flat_map(|suspect| &suspect.runs);
        runs.map(|(target, _)| *target)
    }

    /// Returns which requests are to blame, which others are in doubt, and whether that can change
    /// only by further crashes.
    ///
    /// Crashes in `explained` have another cause. `is_blamed` returns whether a request is in
    /// quarantine, and `state` describes a model or service.
    pub fn weigh(
        &self,
        now: Moment,
        settle_time: Duration,
        explained: &HashSet<u64>,
        is_blamed: impl Fn(ContentKey) -> bool,
        state: impl Fn(u64) -> PoolState,
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
                suspect.runs.len() >= MIN_CRASHES && !is_decided(**request)
            });
            let mut open: Vec<(Unexplained, ContentKey, &Suspect)> = open
                .map(|(request, suspect)| (unexplained(&clusters, suspect), *request, suspect))
                .collect();
            open.sort_unstable_by_key(|(crashes, request, _)| (crashes.targets.len(), *request));
            let mut doubts = Vec::new();
            let blamed = open.iter().rev().find_map(|(crashes, request, suspect)| {
                let may_be_chance = || {
                    let pool = self.pool(&crashes.targets);
                    let others = self.others(now, pool, suspect, &explained);
                    crashes.may_be_chance(others, state(pool))
                };
                let is_rival = |other: &(Unexplained, ContentKey, &Suspect)| {
                    other.1 != *request
                        && crashes.targets.iter().all(|target| other.0.targets.contains(target))
                };
                let reason = match crashes.targets.len() {
                    count if count < MIN_CRASHES => DoubtReason::Explained,
                    _ if may_be_chance() => {
                        // Calls that are served soon after can still change the chance.
                        is_final &= crashes.last.age(now) >= RECONSIDERATION_TIME;
                        DoubtReason::OthersCrashed
                    }
                    _ if open.iter().any(is_rival) => DoubtReason::Tied,
                    _ => return Some((crashes, *request, *suspect)),
                };
                let (count, unexplained) = (suspect.runs.len(), crashes.targets.len());
                doubts.push(Doubt { content: *request, crashes: count, unexplained, reason });
                None
            });
            let Some((crashes, request, suspect)) = blamed else {
                return (verdicts, doubts, is_final);
            };
            explained.extend(suspect.runs.iter().map(|(target, _)| *target));
            let (scope, count) = (Scope::Account(suspect.account), crashes.targets.len());
            let last_crash = crashes.last;
            verdicts.push(Verdict { content: request, scope, crashes: count, last_crash });
        }
    }

    /// Counts the recent crashes of targets of a model or service, apart from those under a request
    /// and those with another cause.
    fn others(
        &self,
        now: Moment,
        pool: u64,
        suspect: &Suspect,
        explained: &HashSet<u64>,
    ) -> OtherCrashes {
        let is_other = |target: u64, crash: &TargetCrash| {
            crash.pool == pool
                && crash.ended.age(now) < COUNTED_TIME
                && suspect.run_at(target).is_none()
                && !explained.contains(&target)
        };
        let crashes = self.clusters(is_other).len() as u32;
        let others = self.crashes.iter().filter(|(target, crash)| is_other(**target, crash));
        OtherCrashes { crashes, calls: others.map(|(_, crash)| crash.broken_calls()).sum() }
    }

    fn pool(&self, targets: &[u64]) -> u64 {
        let crash = targets.first().and_then(|target| self.crashes.get(target));
        crash.map_or(0, |crash| crash.pool)
    }

    /// Groups the crashes of each model or service that may have a common cause.
    fn clusters(&self, counts: impl Fn(u64, &TargetCrash) -> bool) -> Vec<Cluster> {
        let counted = self.crashes.iter().filter(|(target, crash)| counts(**target, crash));
        let sorted: BTreeMap<(u64, RecordTime, u64), u64> =
            counted.map(|(target, crash)| ((crash.pool, crash.ended, *target), *target)).collect();
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
    let mut crashes = Unexplained::default();
    for cluster in clusters {
        let own = cluster.targets.iter().filter_map(|t| Some((*t, suspect.run_at(*t)?)));
        let own: SmallVec<[(u64, Duration); 4]> = own.collect();
        let has_others = own.len() < cluster.targets.len();
        for (target, ran) in own.into_iter().take(if has_others { 1 } else { usize::MAX }) {
            crashes.ran += ran;
            crashes.last = crashes.last.max(cluster.began);
            crashes.targets.push(target);
        }
    }
    crashes
}
