//! Tells the end of a response from the end of the process that sent it; docs/DESIGN.md, "Relayed
//! calls".
//!
//! A response without length or chunks ends with its connection, and so does the connection of a
//! process that is killed. The system closes all connections of such a process, so an idle
//! connection beside that of the response tells both ends apart. A later connection to the same
//! address does not, since another process may listen there by then.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use actix_rt::task::JoinHandle;
use actix_rt::time::{sleep, timeout};
use derive_more::Display;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::Connection;
use crate::connection::configure_socket;

/// The time within which the system closes all sockets of a process that ends.
const EXIT_TIME: Duration = Duration::from_millis(20);
/// The delay before an idle connection is opened again that failed or was closed.
const REOPEN_DELAY: Duration = Duration::from_millis(50);

/// What is known of the process that sent a response at the response's end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ProcessState {
    /// The process runs.
    #[display("running")]
    Running,
    /// The process closed its other connection too.
    #[display("ended")]
    Ended,
    /// Nothing is known of the process; its address accepts connections.
    #[display("accepting")]
    Accepting,
    /// Nothing is known of the process; its address closes connections or accepts none.
    #[display("unreachable")]
    Unreachable,
}

impl ProcessState {
    /// Returns whether the end of the connection counts as the end of the response.
    pub const fn completes_response(self) -> bool {
        matches!(self, Self::Running | Self::Accepting)
    }
}

/// The state of a watch's idle connection; each connection has a number of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum IdleConnection {
    Closed,
    Open(u64),
}

/// Keeps an idle connection to an address open for as long as a response needs it.
#[derive(Debug)]
struct ProcessWatch {
    state: watch::Receiver<IdleConnection>,
    task: JoinHandle<()>,
}

impl ProcessWatch {
    fn spawn(at: SocketAddr, connect_timeout: Duration) -> Self {
        let (tx, state) = watch::channel(IdleConnection::Closed);
        let task = actix_rt::spawn(keep_open(at, connect_timeout, tx));
        Self { state, task }
    }
}

impl Drop for ProcessWatch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn keep_open(
    at: SocketAddr,
    connect_timeout: Duration,
    state: watch::Sender<IdleConnection>,
) {
    for number in 0.. {
        if let Some(stream) = connect(at, connect_timeout).await {
            state.send_replace(IdleConnection::Open(number));
            // A target sends nothing on a connection without a request, and closes it at will.
            let _ = stream.readable().await;
            state.send_replace(IdleConnection::Closed);
        }
        sleep(REOPEN_DELAY).await;
    }
}

async fn connect(at: SocketAddr, connect_timeout: Duration) -> Option<TcpStream> {
    let stream = timeout(connect_timeout, TcpStream::connect(at)).await.ok()?.ok()?;
    configure_socket(&stream).ok()?;
    Some(stream)
}

/// The watches of one thread, and the addresses whose responses end with their connections.
#[derive(Debug)]
pub struct ProcessWatches {
    connect_timeout: Duration,
    /// An address stays here without a watch while none of its responses is read.
    watches: RefCell<HashMap<SocketAddr, Weak<ProcessWatch>>>,
}

impl ProcessWatches {
    /// Creates an empty set of watches.
    pub fn open(connect_timeout: Duration) -> Self {
        Self { connect_timeout, watches: RefCell::default() }
    }

    /// Returns evidence of the process at an address if its last response ended with its connection.
    ///
    /// Evidence from before a response covers short ones, whose end may arrive with their head.
    pub fn expect(&self, at: SocketAddr) -> Option<ProcessEvidence> {
        let is_expected = self.watches.borrow().contains_key(&at);
        is_expected.then(|| self.watch(at))
    }

    /// Returns evidence of the process at an address.
    pub fn watch(&self, at: SocketAddr) -> ProcessEvidence {
        let mut watches = self.watches.borrow_mut();
        let known = watches.entry(at).or_default();
        let watch = known.upgrade().unwrap_or_else(|| {
            let watch = Rc::new(ProcessWatch::spawn(at, self.connect_timeout));
            *known = Rc::downgrade(&watch);
            watch
        });
        let state = watch.state.clone();
        ProcessEvidence {
            at,
            state,
            connect_timeout: self.connect_timeout,
            seen: None,
            _watch: watch,
        }
    }

    /// Records that a response of an address did not end with its connection.
    pub fn forget(&self, at: SocketAddr) {
        self.watches.borrow_mut().remove(&at);
    }

    /// Forgets the addresses for which `is_target` returns false.
    pub fn prune(&self, is_target: impl Fn(SocketAddr) -> bool) {
        self.watches.borrow_mut().retain(|at, _| is_target(*at));
    }
}

/// Evidence of the process that sends one response.
#[derive(Debug)]
pub struct ProcessEvidence {
    at: SocketAddr,
    connect_timeout: Duration,
    state: watch::Receiver<IdleConnection>,
    /// The last idle connection that was open at the same time as that of the response.
    seen: Option<IdleConnection>,
    _watch: Rc<ProcessWatch>,
}

impl ProcessEvidence {
    /// Records whether the idle connection and that of the response are open at the same time; they
    /// belong to one process then.
    pub fn observe(&mut self, response: &mut Connection) {
        let current = *self.state.borrow();
        if current != IdleConnection::Closed
            && self.seen != Some(current)
            && response.awaits_bytes()
        {
            self.seen = Some(current);
        }
    }

    /// Returns what is known of the process after its response ended with the connection.
    pub async fn process_state(mut self) -> ProcessState {
        let Some(seen) = self.seen else {
            return check_address(self.at, self.connect_timeout).await;
        };
        match timeout(EXIT_TIME, self.state.wait_for(|state| *state != seen)).await {
            Err(_) => ProcessState::Running,
            Ok(_) => ProcessState::Ended,
        }
    }
}

/// Waits until the idle connection of the evidence is opened or closed; without evidence, forever.
///
/// Cancel safe.
pub async fn evidence_changed(evidence: &mut Option<ProcessEvidence>) {
    match evidence {
        // The evidence holds the watch, which sends the changes.
        Some(evidence) => drop(evidence.state.changed().await),
        None => std::future::pending().await,
    }
}

/// Checks whether an address accepts a connection and keeps it.
///
/// The system of a process that ends may still accept connections for a moment, and resets them then.
async fn check_address(at: SocketAddr, connect_timeout: Duration) -> ProcessState {
    let Some(stream) = connect(at, connect_timeout).await else {
        return ProcessState::Unreachable;
    };
    match timeout(EXIT_TIME, stream.readable()).await {
        Ok(_) => ProcessState::Unreachable,
        Err(_) => ProcessState::Accepting,
    }
}
