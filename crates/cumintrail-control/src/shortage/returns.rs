//! The times at which refused callers are asked to return, and the requests that did.

use std::collections::HashMap;
use std::time::Duration;

use cumintrail_types::Moment;

use crate::quarantine::ContentKey;

/// Requests that are remembered at most.
const MAX_REMEMBERED: usize = 1_024;
/// How long after its time to return a request is remembered.
const REMEMBERED_FOR: Duration = Duration::from_secs(5);
/// The part of the time to return that has to pass; callers round it down to whole seconds.
const MIN_PASSED: f64 = 0.9;

/// Spaces the returns of refused callers and recognizes their requests.
///
/// A request that was refused and came back in time is preferred to one that arrives for the first
/// time, so that callers that obey do not wait longer than those that do not.
#[derive(Debug, Default)]
pub struct Returns {
    /// The time by which all callers may return that were refused.
    next: Moment,
    due: HashMap<ContentKey, (Moment, Moment)>,
}

impl Returns {
    /// Returns when a caller should return whose turn is after `after`, behind those refused before
    /// it, one per `interval`, and at most after `limit`.
    pub fn space(
        &mut self,
        now: Moment,
        after: Duration,
        interval: Duration,
        limit: Duration,
    ) -> Duration {
        let due = (now + after).max(self.next + interval);
        let delay = due.since(now);
        if delay > limit {
            return limit.max(after);
        }
        self.next = due;
        delay
    }

    /// Remembers a request that was asked to return after `after`.
    pub fn remember(&mut self, now: Moment, request: ContentKey, after: Duration) {
        if self.due.len() >= MAX_REMEMBERED {
            self.due.retain(|_, (_, until)| *until > now);
        }
        if self.due.len() < MAX_REMEMBERED {
            let until = now + after + REMEMBERED_FOR;
            self.due.insert(request, (now + after.mul_f64(MIN_PASSED), until));
        }
    }

    /// Returns whether a request was refused and its time to return has come.
    pub fn take(&mut self, now: Moment, request: ContentKey) -> bool {
        let due = self.due.get(&request).copied();
        let (from, until) = due.unwrap_or_default();
        if from > now || due.is_none() {
            return false;
        }
        self.due.remove(&request);
        now <= until
    }
}
