//! The account of the memory and connections that a daemon holds for others;
//! docs/design/held-memory.md.

mod choice;
mod limits;
mod stream;

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use futures_util::task::AtomicWaker;

pub use self::choice::{Candidate, worst};
pub use self::limits::{HeldLimits, Port};
pub use self::stream::HeldStream;
use crate::metric;

/// What a connection holds before any buffer is allocated: its task, its socket and this account's
/// entry. Of 900 connections with heads of 1.6 KB, each took 19 KB, of which 8 KB were its buffer.
pub const CONNECTION_BYTES: usize = 10 << 10;
/// The bytes that must be transferred to count as progress, so that a byte now and then is none.
pub const MIN_PROGRESS_BYTES: usize = 1 << 10;
/// The shortest time between two log lines about closed connections.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Counts what all connections of the process hold, and closes some if that is too much.
#[derive(Debug)]
pub struct HeldAccount {
    limits: HeldLimits,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    entries: HashMap<u64, Entry>,
    next_id: u64,
    /// The bytes of all entries that are not being closed.
    bytes: usize,
    /// The entries of each port that are not being closed.
    connections: [usize; Port::COUNT],
    closed: ClosedLine,
}

#[derive(Debug)]
struct Entry {
    port: Port,
    bytes: usize,
    progressed: Instant,
    awaits_caller: bool,
    close: Arc<CloseSignal>,
}

#[derive(Debug, Default)]
struct CloseSignal {
    is_set: AtomicBool,
    /// Wakes the task of the connection.
    waker: AtomicWaker,
}

/// Counts closed connections until the next log line about them.
#[derive(Debug, Default)]
struct ClosedLine {
    count: usize,
    last: Option<Instant>,
}

/// The entry of one connection, removed on drop.
#[derive(Debug)]
pub struct HeldConnection {
    account: Arc<HeldAccount>,
    id: u64,
    port: Port,
    close: Arc<CloseSignal>,
    bytes: usize,
    awaits_caller: bool,
    /// The bytes transferred since the last progress.
    transferred: usize,
}

impl HeldAccount {
    /// Returns the limits of the account.
    pub const fn limits(&self) -> &HeldLimits {
        &self.limits
    }

    /// Opens an account with these limits.
    pub fn new(limits: HeldLimits) -> Arc<Self> {
        Arc::new(Self { limits, state: Mutex::default() })
    }

    /// Registers an accepted connection; `None` if its port has too many and none of them may be
    /// closed.
    pub fn open(self: &Arc<Self>, port: Port) -> Option<HeldConnection> {
        let close = Arc::new(CloseSignal::default());
        let mut state = self.lock();
        if state.connections[port as usize] >= self.limits.connections(port) {
            let victim = state.worst(|entry| entry.port == port);
            let Some(victim) = victim else {
                state.record_closed("refused");
                return None;
            };
            state.close(victim, "connections");
        }
        let id = state.next_id;
        state.next_id += 1;
        let (bytes, progressed) = (CONNECTION_BYTES, Instant::now());
        let entry = Entry { port, bytes, progressed, awaits_caller: true, close: close.clone() };
        state.entries.insert(id, entry);
        state.bytes += bytes;
        state.connections[port as usize] += 1;
        drop(state);
        let account = self.clone();
        Some(HeldConnection {
            account,
            id,
            port,
            close,
            bytes,
            awaits_caller: true,
            transferred: 0,
        })
    }

    /// Updates the metrics of what is held, and writes the log line that is due.
    pub fn report(&self) {
        let mut state = self.lock();
        let bytes = state.bytes;
        state.closed.write(&self.limits, bytes);
        metrics::gauge!(metric::HELD_BYTES).set(state.bytes as f64);
        for port in Port::ALL {
            let open = state.connections[port as usize] as f64;
            metrics::gauge!(metric::HELD_CONNECTIONS, "port" => port.name()).set(open);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Returns the entry to close first among those that `may_close` accepts.
    fn worst(&self, may_close: impl Fn(&Entry) -> bool) -> Option<u64> {
        let now = Instant::now();
        let open = self.entries.iter().filter(|(_, entry)| !entry.is_closing() && may_close(entry));
        worst(open.map(|(id, entry)| Candidate {
            id: *id,
            bytes: entry.bytes,
            without_progress: now.saturating_duration_since(entry.progressed),
            awaits_caller: entry.awaits_caller,
        }))
    }

    /// Signals the task of a connection to close it.
    fn close(&mut self, id: u64, reason: &'static str) {
        let entry = self.entries.get(&id).filter(|entry| !entry.is_closing());
        let Some(entry) = entry else { return };
        entry.close.is_set.store(true, Ordering::Release);
        entry.close.waker.wake();
        let (port, bytes) = (entry.port, entry.bytes);
        self.bytes -= bytes;
        self.connections[port as usize] -= 1;
        self.record_closed(reason);
    }

    fn record_closed(&mut self, reason: &'static str) {
        metrics::counter!(metric::SHED_CONNECTIONS, "reason" => reason).increment(1);
        self.closed.count += 1;
    }
}

impl ClosedLine {
    fn write(&mut self, limits: &HeldLimits, bytes: usize) {
        let is_due = self.last.is_none_or(|last| last.elapsed() >= LINE_INTERVAL);
        if self.count == 0 || !is_due {
            return;
        }
        log::warn!(
            "event=held outcome=closed connections={} held_bytes={bytes} limit_bytes={}",
            self.count,
            limits.bytes
        );
        *self = Self { count: 0, last: Some(Instant::now()) };
    }
}

impl Entry {
    fn is_closing(&self) -> bool {
        self.close.is_set.load(Ordering::Acquire)
    }
}

impl HeldConnection {
    /// Returns the port that the connection was accepted at.
    pub const fn port(&self) -> Port {
        self.port
    }

    /// Sets what the connection's buffers hold. If that makes the total too large, connections are
    /// closed until it is not; returns `false` if this one would be the next to close.
    pub fn hold(&mut self, buffers: usize) -> bool {
        let bytes = CONNECTION_BYTES + buffers;
        if bytes == self.bytes {
            return true;
        }
        let (grows, previous) = (bytes > self.bytes, self.bytes);
        self.bytes = bytes;
        let mut state = self.account.lock();
        match state.entries.get_mut(&self.id) {
            Some(entry) if !entry.is_closing() => entry.bytes = bytes,
            _ => return true,
        }
        state.bytes = state.bytes + bytes - previous;
        let limit = self.account.limits.bytes;
        while grows && state.bytes > limit {
            match state.worst(|_| true) {
                Some(victim) if victim != self.id => state.close(victim, "memory"),
                _ => return false,
            }
        }
        true
    }

    /// Counts bytes that were received or that the other end accepted.
    pub fn transfer(&mut self, bytes: usize) {
        self.transferred += bytes;
        if self.transferred >= MIN_PROGRESS_BYTES {
            self.progress();
        }
    }

    /// Records that the exchange has reached its next part.
    pub fn progress(&mut self) {
        self.transferred = 0;
        if let Some(entry) = self.account.lock().entries.get_mut(&self.id) {
            entry.progressed = Instant::now();
        }
    }

    /// Sets whether the exchange waits for the other end of the connection; otherwise it waits for a
    /// target or for this daemon, and the connection is not closed for what it holds.
    pub fn await_caller(&mut self, awaits: bool) {
        if self.awaits_caller == awaits {
            return;
        }
        self.awaits_caller = awaits;
        if let Some(entry) = self.account.lock().entries.get_mut(&self.id) {
            entry.awaits_caller = awaits;
        }
    }

    /// Sets what the connection's buffers hold, like [`Self::hold`], and closes this one if it is the
    /// next to close; one that waits for a target goes on.
    pub fn hold_or_close(&mut self, buffers: usize) {
        if !self.hold(buffers) && self.awaits_caller {
            self.account.lock().close(self.id, "memory");
        }
    }

    /// Waits until the connection has to be closed.
    pub async fn closing(&self) {
        std::future::poll_fn(|cx| self.poll_closing(cx)).await;
    }

    /// Returns whether the connection has to be closed, or wakes the task when it has to be.
    pub fn poll_closing(&self, cx: &Context<'_>) -> Poll<()> {
        self.close.waker.register(cx.waker());
        if self.close.is_set.load(Ordering::Acquire) { Poll::Ready(()) } else { Poll::Pending }
    }
}

impl Drop for HeldConnection {
    fn drop(&mut self) {
        let mut state = self.account.lock();
        if let Some(entry) = state.entries.remove(&self.id)
            && !entry.is_closing()
        {
            state.bytes -= entry.bytes;
            state.connections[entry.port as usize] -= 1;
        }
    }
}
