//! The used operation keys of this process, bounded in number and in bytes of responses.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use cumintrail_types::{Digest, Moment, Refusal, RefusalCode, WriteId};

use super::{IN_PROGRESS_RETRY_AFTER, OperationKey, Verdict};

const MAX_KEYS: usize = 16_384;
const MAX_RESPONSE_BYTES: usize = 16 << 20;
const FULL_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Describes how the call of a key ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyOutcome<A> {
    /// The call did not run; the key may be used again.
    NotSent,
    /// The call ran; its response takes this many bytes of memory.
    Answered(A, usize),
    /// The call may have run and its response is lost.
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

/// Stores the used keys until they expire; an unused key takes no memory.
#[derive(Debug)]
pub struct UsedKeys<A> {
    lifetime: Duration,
    entries: HashMap<WriteId, Entry<A>>,
    /// Ids of used keys with their times of expiry, in the order of use.
    expiries: VecDeque<(Moment, WriteId)>,
    /// Ids of keys with a stored response, in the order of their responses.
    answered: VecDeque<WriteId>,
    response_bytes: usize,
}

impl<A: Clone> UsedKeys<A> {
    /// Creates the state without used keys; a key expires `lifetime` after it was issued.
    pub fn new(lifetime: Duration) -> Self {
        Self {
            lifetime,
            entries: HashMap::new(),
            expiries: VecDeque::new(),
            answered: VecDeque::new(),
            response_bytes: 0,
        }
    }

    /// Begins a call under a verified key that this process issued.
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
            Some(Entry { state: KeyState::Answered(response, _), .. }) => {
                Verdict::Replay(response.clone())
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

    /// Records the end of a call that [`Self::begin`] allowed to run.
    pub fn end(&mut self, id: WriteId, end: KeyOutcome<A>) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        match end {
            KeyOutcome::NotSent => {
                self.entries.remove(&id);
                self.expiries.retain(|(_, key)| *key != id);
            }
            KeyOutcome::Answered(response, bytes) => {
                entry.state = KeyState::Answered(response, bytes);
                self.answered.push_back(id);
                self.response_bytes += bytes;
                self.evict_responses();
            }
            KeyOutcome::Unknown => entry.state = KeyState::Unknown,
        }
    }

    /// Drops the oldest responses above the limit; their keys stay recorded as used.
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

    /// Removes expired keys, which [`Self::begin`] refuses without a stored entry.
    ///
    /// Keys are used soon after they are issued, so the order of use is nearly that of expiry. A
    /// key behind an earlier used one that expires later is removed together with that one.
    fn remove_expired(&mut self, now: Moment) {
        while let Some((_, id)) = self.expiries.front().copied().filter(|(at, _)| *at <= now) {
            self.expiries.pop_front();
            let removed = self.entries.remove(&id);
            if let Some(Entry { state: KeyState::Answered(_, bytes), .. }) = removed {
                self.response_bytes -= bytes;
                self.answered.retain(|key| *key != id);
            }
        }
    }
}
