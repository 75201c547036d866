//! The operation keys of this process that were used, bounded in number and bytes.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use cumintrail_types::{Digest, Moment, Refusal, RefusalCode, WriteId};

use super::{IN_PROGRESS_RETRY, OperationKey, Verdict};

const MAX_KEYS: usize = 16_384;
const MAX_ANSWER_BYTES: usize = 16 << 20;
const FULL_RETRY: Duration = Duration::from_secs(5);

/// Tells how the call of a key ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End<A> {
    /// No byte of it was sent; the key may be used again.
    NotSent,
    /// It ran; the answer takes this many bytes of memory.
    Answered(A, usize),
    /// It may have run and its answer is lost.
    Unknown,
}

#[derive(Debug)]
enum Use<A> {
    Running,
    Answered(A, usize),
    Unknown,
}

#[derive(Debug)]
struct Entry<A> {
    request: Digest,
    used: Use<A>,
}

/// Remembers which keys were used until they expire; an unused key takes no memory.
#[derive(Debug)]
pub struct UsedKeys<A> {
    life: Duration,
    entries: HashMap<WriteId, Entry<A>>,
    /// Keys with their expiry, in the order of use.
    expiries: VecDeque<(Moment, WriteId)>,
    /// Answered keys, oldest first.
    answered: VecDeque<WriteId>,
    answer_bytes: usize,
}

impl<A: Clone> UsedKeys<A> {
    /// Starts with no key used; a key expires `life` after its issue.
    pub fn new(life: Duration) -> Self {
        Self {
            life,
            entries: HashMap::new(),
            expiries: VecDeque::new(),
            answered: VecDeque::new(),
            answer_bytes: 0,
        }
    }

    /// Begins a call under a genuine key of this very process.
    pub fn begin(&mut self, now: Moment, key: &OperationKey, request: Digest) -> Verdict<A> {
        self.forget_expired(now);
        let expiry = key.issued + self.life;
        if expiry <= now {
            return Verdict::Refuse(Refusal::unknown(RefusalCode::KeyExpired));
        }
        match self.entries.get(&key.id) {
            Some(entry) if entry.request != request => {
                Verdict::Refuse(Refusal::not_run(RefusalCode::KeyReused))
            }
            Some(Entry { used: Use::Answered(answer, _), .. }) => Verdict::Replay(answer.clone()),
            Some(Entry { used: Use::Running, .. }) => {
                let refusal = Refusal::unknown(RefusalCode::InProgress);
                Verdict::Refuse(refusal.retry_after(IN_PROGRESS_RETRY))
            }
            Some(Entry { used: Use::Unknown, .. }) => {
                Verdict::Refuse(Refusal::unknown(RefusalCode::OutcomeUnknown))
            }
            None if self.entries.len() >= MAX_KEYS => {
                let refusal = Refusal::not_run(RefusalCode::Overloaded);
                Verdict::Refuse(refusal.retry_after(FULL_RETRY))
            }
            None => {
                self.entries.insert(key.id, Entry { request, used: Use::Running });
                self.expiries.push_back((expiry, key.id));
                Verdict::Run
            }
        }
    }

    /// Ends the call that [`Self::begin`] let run.
    pub fn end(&mut self, id: WriteId, end: End<A>) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        match end {
            End::NotSent => {
                self.entries.remove(&id);
                self.expiries.retain(|(_, key)| *key != id);
            }
            End::Answered(answer, bytes) => {
                entry.used = Use::Answered(answer, bytes);
                self.answered.push_back(id);
                self.answer_bytes += bytes;
                self.limit_answers();
            }
            End::Unknown => entry.used = Use::Unknown,
        }
    }

    /// Drops the oldest answers above the limit; that their calls ran is still remembered.
    fn limit_answers(&mut self) {
        while self.answer_bytes > MAX_ANSWER_BYTES {
            let Some(id) = self.answered.pop_front() else {
                return;
            };
            let Some(entry) = self.entries.get_mut(&id) else {
                continue;
            };
            if let Use::Answered(_, bytes) = std::mem::replace(&mut entry.used, Use::Unknown) {
                self.answer_bytes -= bytes;
            }
        }
    }

    /// Forgets keys that are refused by their own time from now on.
    ///
    /// Keys are used soon after their issue, so the order of use is nearly that of expiry; one that
    /// is behind an earlier used and later expiring key is forgotten a little later.
    fn forget_expired(&mut self, now: Moment) {
        while let Some((_, id)) = self.expiries.front().copied().filter(|(at, _)| *at <= now) {
            self.expiries.pop_front();
            let gone = self.entries.remove(&id);
            if let Some(Entry { used: Use::Answered(_, bytes), .. }) = gone {
                self.answer_bytes -= bytes;
                self.answered.retain(|key| *key != id);
            }
        }
    }
}
