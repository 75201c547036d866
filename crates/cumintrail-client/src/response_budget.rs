//! Limits what incomplete responses of targets hold in memory; docs/design/held-memory.md.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts the bytes that incomplete responses hold in the whole process.
///
/// A target that fails may hold back the end of its responses on each of some hundred connections.
/// The limits of a single response do not suffice then.
#[derive(Debug)]
pub struct ResponseBudget {
    limit: usize,
    share: usize,
    bytes: AtomicUsize,
}

impl ResponseBudget {
    /// Creates a budget of `limit` bytes, beyond which each response may hold its `share` only. With
    /// `limit / share` responses, all together hold less than twice the limit.
    pub fn new(limit: usize, share: usize) -> Arc<Self> {
        Arc::new(Self { limit, share, bytes: AtomicUsize::new(0) })
    }

    /// Registers a response that holds nothing yet.
    pub fn open(self: &Arc<Self>) -> HeldBytes {
        HeldBytes { budget: self.clone(), bytes: 0 }
    }
}

/// The bytes that one response holds; dropping it releases them.
#[derive(Debug)]
pub struct HeldBytes {
    budget: Arc<ResponseBudget>,
    bytes: usize,
}

impl HeldBytes {
    /// Sets the number of bytes held. Returns whether that is within the share of the response, or
    /// all responses together are within the budget; otherwise the response must not be held.
    pub fn hold(&mut self, bytes: usize) -> bool {
        let before = self.budget.bytes.fetch_add(bytes, Ordering::Relaxed);
        let released = std::mem::replace(&mut self.bytes, bytes);
        self.budget.bytes.fetch_sub(released, Ordering::Relaxed);
        bytes <= self.budget.share || before + bytes - released <= self.budget.limit
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.hold(0);
    }
}
