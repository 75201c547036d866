//! The operation keys of this process that were used, bounded in number and bytes.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use cumintrail_types::{Digest, Moment, Refusal, RefusalCode, WriteId};

use super::{IN_PROGRESS_RETRY_AFTER, OperationKey, Verdict};

const MAX_KEYS: usize = 16_384;
const MAX_RESPONSE_BYTES: usize = 16 << 20;
const FULL_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Tells how the call of a key ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyOutcome<A> {
    /// No byte of it was sent; the key may be used again.
    NotSent,
    /// It ran; the answer takes this many bytes of memory.
    Answered(A, usize),
    /// It may have run and its answer is lost.
    Unknown,
}

#[derive(Debug)]
enum KeyState<A> {
    Running,
    Answered(A, usize),
    Unknown,
}

#[derive(Debug)]
struct Entry<A> {
    request_digest: Digest,
    state: KeyState<A>,
}

/// Remembers which keys were used until they expire; an unused key takes no memory.
#[derive(Debug)]
pub struct UsedKeys<A> {
    lifetime: Duration,
    entries: HashMap<WriteId, Entry<A>>,
    /// Keys with their expiry, in the order of use.
    expiries: VecDeque<(Moment, WriteId)>,
    /// Answered keys, oldest first.
    answered: VecDeque<WriteId>,
    response_bytes: usize,
}

impl<A: Clone> UsedKeys<A> {
    /// Starts with no key used; a key expires `life` after its issue.
    pub fn new(lifetime: Duration) -> Self {
        Self {
            lifetime,
            entries: HashMap::new(),
            expiries: VecDeque::new(),
            answered: VecDeque::new(),
            response_bytes: 0,
        }
    }

    /// Begins a call under a genuine key of this very process.
    pub fn begin(&mut self, now: Moment, key: &OperationKey, request_digest: Digest) -> Verdict<A> {
        self.remove_expired(now);
        let expiry = key.issued + self.lifetime;
        if expiry <= now {
            return Verdict::Refuse(Refusal::unknown(RefusalCode::KeyExpired));
        }
        match self.entries.get(&key.id) {
            Some(entry) if entry.request_digest != request_digest => {
                Verdict::Refuse(Refusal::not_run(RefusalCode::KeyReused))
            }
            Some(Entry { state: KeyState::Answered(answer, _), .. }) => {
                Verdict::Replay(answer.clone())
            }
            Some(Entry { state: KeyState::Running, .. }) => {
                let refusal = Refusal::unknown(RefusalCode::InProgress);
                Verdict::Refuse(refusal.retry_after(IN_PROGRESS_RETRY_AFTER))
            }
            Some(Entry { state: KeyState::Unknown, .. }) => {
                Verdict::Refuse(Refusal::unknown(RefusalCode::OutcomeUnknown))
            }
            None if self.entries.len() >= MAX_KEYS => {
                let refusal = Refusal::not_run(RefusalCode::Overloaded);
                Verdict::Refuse(refusal.retry_after(FULL_RETRY_AFTER))
            }
            None => {
                self.entries.insert(key.id, Entry { request_digest, state: KeyState::Running });
                self.expiries.push_back((expiry, key.id));
                Verdict::Run
            }
        }
    }

    /// Ends the call that [`Self::begin`] let run.
    pub fn end(&mut self, id: WriteId, end: KeyOutcome<A>) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        match end {
            KeyOutcome::NotSent => {
                self.entries.remove(&id);
                self.expiries.retain(|(_, key)| *key != id);
            }
            KeyOutcome::Answered(answer, bytes) => {
                entry.state = KeyState::Answered(answer, bytes);
                self.answered.push_back(id);
                self.response_bytes += bytes;
                self.evict_responses();
            }
            KeyOutcome::Unknown => entry.state = KeyState::Unknown,
        }
    }

    /// Drops the oldest answers above the limit; that their calls ran is still remembered.
    fn evict_responses(&mut self) {
        while self.response_bytes > MAX_RESPONSE_BYTES {
            let Some(id) = self.answered.pop_front() else {
                return;
            };
            let Some(entry) = self.entries.get_mut(&id) else {
                continue;
            };
            if let KeyState::Answered(_, bytes) =
                std::mem::replace(&mut entry.state, KeyState::Unknown)
            {
                self.response_bytes -= bytes;
            }
        }
    }

    /// Forgets keys that are refused by their own time from now on.
    ///
    /// Keys are used soon after their issue, so the order of use is nearly that of expiry; one that
    /// is behind an earlier used and later expiring key is forgotten a little later.
    fn remove_expired(&mut self, now: Moment) {
        while let Some((_, id)) = self.expiries.front().copied().filter(|(at, _)| *at <= now) {
            self.expiries.pop_front();
            let gone = self.entries.remove(&id);
            if let Some(Entry { state: KeyState::Answered(_, bytes), .. }) = gone {
                self.response_bytes -= bytes;
                self.answered.retain(|key| *key != id);
            }
        }
    }
}
