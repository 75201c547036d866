//! Records of crashes, and what they prove.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use cumintrail_types::Moment;
use derive_more::Display;
use smallvec::SmallVec;

use super::{ContentKey, Scope};
use crate::record_time::RecordTime;

/// Crashes one after the other from which content is quarantined.
pub(super) const MIN_CRASHES: usize = 3;
/// The same for several contents of equal suspicion, of which some may be sound.
const MIN_CRASHES_IF_TIED: usize = 4;
/// Complete responses since the first of these crashes, without which all content looks alike.
const MIN_COMPLETED: usize = 3;
/// How long crashes are recorded.
const CRASH_RETENTION: Duration = Duration::from_secs(1_800);
/// How long it is recorded at least that targets crashed together.
const COMMON_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of last complete responses of peers that are recorded.
const MAX_PEERS: usize = 4_096;
/// How long it is recorded at least when a peer's last call got a complete response.
const PEER_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of suspected contents.
const MAX_SUSPECTS: usize = 2_048;
/// Maximum number of crashes recorded for one content; the oldest are dropped first.
const MAX_CRASHES: usize = 16;
/// Content that had a complete response is known for one to two of these periods.
const COMPLETED_PERIOD: Duration = Duration::from_secs(300);
/// The number of contents at which a period ends early.
const MAX_COMPLETED_PER_PERIOD: usize = 16_384;

/// Records that a target crashed while a call with some content was at it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Crash {
    /// The content.
    pub content: ContentKey,
    /// The hash of the name of the model or service that the call was for.
    pub pool: u64,
    /// The hash of the name of the call's account.
    pub account: u64,
    /// The hash of the name of the target, which distinguishes its incarnations.
    pub target: u64,
    /// The request with the content, or another number for each call whose repeats are not
    /// recognized.
    pub request: u64,
    /// When the call was sent.
    pub sent: RecordTime,
    /// When its connection broke.
    pub ended: RecordTime,
}

/// States what crashes prove about one content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Verdict {
    pub content: ContentKey,
    pub scope: Scope,
    pub crashes: usize,
    pub last_crash: RecordTime,
}

/// States why content under which enough targets crashed is not to blame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Doubt {
    /// The content.
    pub content: ContentKey,
    /// All crashes under the content.
    pub crashes: usize,
    /// Those of them that neither a common cause nor other content explains.
    pub unexplained: usize,
    /// Why these do not prove enough.
    pub reason: DoubtReason,
}

/// Names why content under which enough targets crashed is not to blame.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum DoubtReason {
    /// A common cause or other content explains too many of the crashes.
    #[display("explained")]
    Explained,
    /// Calls with the content were at the targets at the same time.
    #[display("overlapping")]
    Overlapping,
    /// All crashes came under the same request, which may be to blame itself.
    #[display("one-request")]
    OneRequest,
    /// Too few other calls were served since the first crash.
    #[display("none-served")]
    NoneServed,
    /// Too many calls without the content were at targets that crashed, or too few were served.
    #[display("others-crashed")]
    OthersCrashed,
    /// Other content was in as many crashes.
    #[display("tied")]
    Tied,
}

/// Records crashes under content without a complete response.
#[derive(Debug, Default)]
pub struct Evidence {
    crashes: HashMap<ContentKey, SmallVec<[Crash; 2]>>,
    /// The targets that crashed together with others, with the time of the record.
    common: HashMap<u64, Moment>,
    /// When the last calls to each model or service got complete responses.
    completed: HashMap<u64, VecDeque<Moment>>,
    /// When the last call of each peer to each of them got a complete response.
    peers_completed: HashMap<(SocketAddr, u64), RecordTime>,
}

impl Evidence {
    /// Records a complete response to any call to a model or service.
    pub fn record_complete(&mut self, now: Moment, pool: u64) {
        let completed = self.completed.entry(pool).or_default();
        if completed.len() >= MIN_COMPLETED {
            completed.pop_front();
        }
        completed.push_back(now);
    }

    /// Records when the last call of a peer to a model or service got a complete response.
    pub fn record_peer_complete(
        &mut self,
        now: Moment,
        peer: SocketAddr,
        pool: u64,
        at: RecordTime,
    ) {
        if self.peers_completed.len() >= MAX_PEERS {
            self.peers_completed.retain(|_, at| at.age(now) < PEER_RETENTION);
        }
        if self.peers_completed.len() < MAX_PEERS {
            self.peers_completed.insert((peer, pool), at);
        }
    }

    /// Returns how long ago the last call to each model or service got a complete response.
    pub fn last_completed_ages(&self, now: Moment) -> Vec<(u64, Duration)> {
        let last = self.completed.iter().filter_map(|(pool, times)| Some((*pool, *times.back()?)));
        last.map(|(pool, at)| (pool, now.since(at))).collect()
    }

    /// Returns whether no crash is recorded.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Records a crash; returns whether it is the first record of this target and content.
    pub fn insert(&mut self, now: Moment, crash: Crash) -> bool {
        if self.crashes.len() >= MAX_SUSPECTS && !self.crashes.contains_key(&crash.content) {
            self.crashes.retain(|_, crashes| {
                crashes.iter().any(|crash| crash.ended.age(now) < CRASH_RETENTION)
            });
            if self.crashes.len() >= MAX_SUSPECTS {
                return false;
            }
        }
        let crashes = self.crashes.entry(crash.content).or_default();
        if crashes.iter().any(|known| known.target == crash.target) {
            return false;
        }
        if crashes.len() >= MAX_CRASHES {
            crashes.remove(0);
        }
        crashes.push(crash);
        true
    }

    /// Records that a target crashed together with others; returns whether this is new.
    pub fn insert_common(&mut self, now: Moment, target: u64) -> bool {
        if self.common.len() >= MAX_SUSPECTS {
            self.common.retain(|_, at| now.since(*at) < COMMON_RETENTION);
        }
        self.common.len() < MAX_SUSPECTS && self.common.insert(target, now).is_none()
    }

    /// Removes the crashes under content; returns whether there were any.
    pub fn remove(&mut self, content: ContentKey) -> bool {
        self.crashes.remove(&content).is_some()
    }

    /// Removes the crashes under content up to a time.
    pub fn remove_until(&mut self, content: ContentKey, time: RecordTime) {
        if let Some(crashes) = self.crashes.get_mut(&content) {
            crashes.retain(|crash| crash.ended > time);
        }
    }

    /// Returns what the crashes prove, and whether that can change only by further crashes.
    ///
    /// A crash that content in quarantine explains proves nothing against other content. Of the
    /// rest, the content with most crashes is to blame first. `quarantined` returns the scope of
    /// content in quarantine, and `blamed` lists the requests in quarantine at each target that
    /// crashed.
    pub fn weigh(
        &self,
        now: Moment,
        settle_time: Duration,
        quarantined: impl Fn(ContentKey) -> Option<Scope>,
        blamed: &BlamedRequests,
    ) -> (Vec<Verdict>, bool) {
        let is_settled = |crash: &Crash| crash.ended.age(now) >= settle_time;
        let all = || self.crashes.values().flatten();
        let mut is_final = all().all(is_settled);
        let mut explained = self.explained(&quarantined);
        let mut verdicts = self.widened(&quarantined);
        loop {
            let mut best: SmallVec<[Verdict; 4]> = SmallVec::new();
            for (content, crashes) in &self.crashes {
                let is_decided = quarantined(*content).is_some()
                    || verdicts.iter().any(|verdict| verdict.content == *content);
                let unexplained = crashes.iter().filter(|crash| {
                    is_settled(crash)
                        && crash.ended.age(now) < CRASH_RETENTION
                        && !explained.contains(&crash.target)
                        && !blamed.explain(crash)
                });
                let unexplained: SmallVec<[Crash; MAX_CRASHES]> = unexplained.copied().collect();
                let Some(verdict) = verdict(*content, &unexplained).filter(|_| !is_decided) else {
                    continue;
                };
                let most = best.first().map_or(MIN_CRASHES, |verdict| verdict.crashes);
                if verdict.crashes < most || is_one_request(&unexplained) {
                    continue;
                }
                if !self.were_others_served(&unexplained) {
                    is_final = false;
                    continue;
                }
                if verdict.crashes > most {
                    best.clear();
                }
                best.push(verdict);
            }
            let crashes = best.first().map_or(0, |verdict| verdict.crashes);
            if best.is_empty() || (best.len() > 1 && crashes < MIN_CRASHES_IF_TIED) {
                return (verdicts, is_final);
            }
            for verdict in &best {
                let crashes = self.crashes.get(&verdict.content).into_iter().flatten();
                explained.extend(crashes.map(|crash| crash.target));
            }
            verdicts.extend(best);
        }
    }

    /// Returns the targets whose crashes content in quarantine or a common cause explains.
    fn explained(&self, quarantined: impl Fn(ContentKey) -> Option<Scope>) -> HashSet<u64> {
        let mut explained = self.crashed_under(|content| quarantined(content).is_some());
        explained.extend(self.common.keys());
        explained
    }

    /// Returns the targets that crashed under some content.
    pub fn crashed_under(&self, is_content: impl Fn(ContentKey) -> bool) -> HashSet<u64> {
        let crashes = self.crashes.iter().filter(|(content, _)| is_content(**content));
        crashes.flat_map(|(_, crashes)| crashes.iter().map(|crash| crash.target)).collect()
    }

    /// Describes the content under which [`MIN_CRASHES`] targets or more crashed and that is not in
    /// quarantine.
    pub fn doubts(
        &self,
        quarantined: impl Fn(ContentKey) -> Option<Scope>,
        blamed: &BlamedRequests,
    ) -> Vec<Doubt> {
        let explained = self.explained(&quarantined);
        let doubtful = self.crashes.iter().filter(|(content, crashes)| {
            crashes.len() >= MIN_CRASHES && quarantined(**content).is_none()
        });
        let doubt = |(content, crashes): (&ContentKey, &SmallVec<[Crash; 2]>)| {
            let unexplained = crashes
                .iter()
                .filter(|crash| !explained.contains(&crash.target) && !blamed.explain(crash));
            let unexplained: SmallVec<[Crash; MAX_CRASHES]> = unexplained.copied().collect();
            let in_sequence = verdict(*content, &unexplained).map_or(0, |verdict| verdict.crashes);
            let reason = match unexplained.len() {
                0..MIN_CRASHES => DoubtReason::Explained,
                _ if in_sequence < MIN_CRASHES => DoubtReason::Overlapping,
                _ if is_one_request(&unexplained) => DoubtReason::OneRequest,
                _ if !self.were_others_served(&unexplained) => DoubtReason::NoneServed,
                _ => DoubtReason::Tied,
            };
            let (crashes, unexplained) = (crashes.len(), unexplained.len());
            Doubt { content: *content, crashes, unexplained, reason }
        };
        doubtful.map(doubt).collect()
    }

    /// Returns verdicts on content that is quarantined for one account and now crashed a target
    /// under a call of another.
    fn widened(&self, quarantined: impl Fn(ContentKey) -> Option<Scope>) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        for (content, crashes) in &self.crashes {
            let Some(Scope::Account(account)) = quarantined(*content) else { continue };
            let other = crashes.iter().find(|crash| crash.account != account);
            verdicts.extend(other.map(|crash| {
                let (scope, last_crash) = (Scope::All, crash.ended);
                Verdict { content: *content, scope, crashes: crashes.len(), last_crash }
            }));
        }
        verdicts
    }

    /// Returns whether calls to the same model or service without the content were served since
    /// the first of its crashes.
    ///
    /// Where nothing is served, targets may crash whatever they get.
    fn were_others_served(&self, crashes: &[Crash]) -> bool {
        let first = crashes.iter().map(|crash| crash.ended).min();
        let first = first.unwrap_or(RecordTime::default());
        let pool = crashes.first().map_or(0, |crash| crash.pool);
        let own = self.completed.get(&pool).into_iter().flatten().map(|at| RecordTime::from(*at));
        let peers = self.peers_completed.iter().filter(|((_, of), _)| *of == pool);
        let all = own.chain(peers.map(|(_, at)| *at));
        all.filter(|at| *at >= first).take(MIN_COMPLETED).count() >= MIN_COMPLETED
    }
}

/// Returns whether all crashes came under the same request.
fn is_one_request(crashes: &[Crash]) -> bool {
    crashes.windows(2).all(|pair| pair[0].request == pair[1].request)
}

/// The requests in quarantine at targets that crashed.
#[derive(Debug, Default)]
pub struct BlamedRequests(HashMap<u64, SmallVec<[u64; 2]>>);

impl BlamedRequests {
    /// Adds a request and the targets that crashed under it.
    pub fn insert(&mut self, request: ContentKey, targets: impl Iterator<Item = u64>) {
        for target in targets {
            self.0.entry(target).or_default().push(request.0);
        }
    }

    /// Returns whether a crash under some content is explained by another request than the one with
    /// the content, which may be to blame for its content.
    fn explain(&self, crash: &Crash) -> bool {
        let requests = self.0.get(&crash.target);
        requests.is_some_and(|requests| requests.iter().any(|request| *request != crash.request))
    }
}

/// Returns a verdict with the number of crashes one after the other: calls that were at targets at
/// the same time may have ended by one cause.
fn verdict(content: ContentKey, crashes: &[Crash]) -> Option<Verdict> {
    let mut by_end: SmallVec<[&Crash; MAX_CRASHES]> = crashes.iter().collect();
    by_end.sort_unstable_by_key(|crash| crash.ended);
    let mut last: Option<RecordTime> = None;
    let mut count = 0;
    for crash in &by_end {
        if last.is_none_or(|ended| crash.sent >= ended) {
            count += 1;
            last = Some(crash.ended);
        }
    }
    let account = by_end.first()?.account;
    let is_shared = by_end.iter().any(|crash| crash.account != account);
    let scope = if is_shared { Scope::All } else { Scope::Account(account) };
    let last_crash = by_end.last()?.ended;
    Some(Verdict { content, scope, crashes: count, last_crash })
}

/// Records the content that had a complete response, for one to two periods.
#[derive(Debug, Default)]
pub struct CompletedContent {
    current: HashSet<ContentKey>,
    previous: HashSet<ContentKey>,
    began: Moment,
}

impl CompletedContent {
    /// Records content of a call with a complete response.
    pub fn insert(&mut self, now: Moment, content: ContentKey) {
        let is_over = now.since(self.began) >= COMPLETED_PERIOD
            || self.current.len() >= MAX_COMPLETED_PER_PERIOD;
        if is_over {
            self.previous = std::mem::take(&mut self.current);
            self.began = now;
        }
        self.current.insert(content);
    }

    /// Returns whether content had a complete response.
    pub fn contains(&self, content: ContentKey) -> bool {
        self.current.contains(&content) || self.previous.contains(&content)
    }
}
