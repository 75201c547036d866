//! Tells the end of a response from the end of the process that sent it; docs/DESIGN.md, "Relayed
//! calls".
//!
//! A response without length or chunks ends with its connection, and so does the connection of a
//! process that is killed. The system closes all connections of such a process, so an idle
//! connection beside that of the response distinguishes the two where the process does not respond to
//! identity requests.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::ServiceConfig;
use actix_rt::task::JoinHandle;
use actix_rt::time::{Instant, sleep, timeout};
use derive_more::Display;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::Connection;
use crate::connection::configure_socket;

/// The time within which the system closes all sockets of a process that ends.
const EXIT_TIME: Duration = Duration::from_millis(20);
/// The shortest and the longest delay before an idle connection is opened again that failed or was
/// closed at once.
const REOPEN_DELAYS: [Duration; 2] = [Duration::from_millis(200), Duration::from_secs(1)];
/// The time from which on a closed connection was not closed at once.
const MIN_IDLE_TIME: Duration = Duration::from_millis(50);

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
    /// The response to an identity request does not state which process sent it.
    #[display("unidentified")]
    Unidentified,
    /// Another process listens at the address.
    #[display("replaced")]
    Replaced,
}

impl ProcessState {
    /// Returns whether the end of the connection counts as the end of the response.
    pub const fn completes_response(self) -> bool {
        matches!(self, Self::Running | Self::Accepting)
    }
}

/// What the idle connection shows about the process that sent a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Observed {
    State(ProcessState),
    /// The address accepts connections.
    Accepting,
    /// The process has closed idle connections by choice.
    ClosesIdle,
    Nothing,
}

/// The state of a watch's idle connection; connections are numbered from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum IdleConnection {
    /// The connections up to this number are closed.
    Closed {
        since: Instant,
        last: u64,
    },
    Open(u64),
}

/// Keeps an idle connection to an address open.
#[derive(Debug)]
struct ProcessWatch {
    state: watch::Receiver<IdleConnection>,
    task: JoinHandle<()>,
}

impl ProcessWatch {
    fn spawn(at: SocketAddr, connect_timeout: Duration) -> Self {
        let closed = IdleConnection::Closed { since: Instant::now(), last: 0 };
        let (tx, state) = watch::channel(closed);
        let task = actix_rt::spawn(keep_open(at, connect_timeout, tx));
        Self { state, task }
    }
}

impl Drop for ProcessWatch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Opens the idle connections of a watch.
async fn keep_open(
    at: SocketAddr,
    connect_timeout: Duration,
    state: watch::Sender<IdleConnection>,
) {
    let [shortest, longest] = REOPEN_DELAYS;
    let (mut delay, mut last) = (shortest, 0);
    loop {
        let (started, config) = (Instant::now(), ServiceConfig::default());
        if let Ok(mut connection) = Connection::open(at, connect_timeout, config).await {
            last += 1;
            state.send_replace(IdleConnection::Open(last));
            connection.idle_end().await;
            state.send_replace(IdleConnection::Closed { since: Instant::now(), last });
            if started.elapsed() >= MIN_IDLE_TIME {
                delay = shortest;
                continue;
            }
        }
        sleep(delay).await;
        delay = (2 * delay).min(longest);
    }
}

async fn connect(at: SocketAddr, connect_timeout: Duration) -> Option<TcpStream> {
    let stream = timeout(connect_timeout, TcpStream::connect(at)).await.ok()?.ok()?;
    configure_socket(&stream).ok()?;
    Some(stream)
}

/// Evidence of the process that sends one response.
#[derive(Debug)]
pub struct ProcessEvidence {
    at: SocketAddr,
    connect_timeout: Duration,
    /// The last idle connection that was open at the same time as that of the response.
    seen: Option<u64>,
    /// When the connection of the response was last seen to be open, with nothing left to read.
    open_at: Option<Instant>,
    watch: ProcessWatch,
}

impl ProcessEvidence {
    /// Begins to watch the process at an address.
    pub fn watch(at: SocketAddr, connect_timeout: Duration) -> Self {
        let watch = ProcessWatch::spawn(at, connect_timeout);
        Self { at, connect_timeout, seen: None, open_at: None, watch }
    }

    /// Records whether the connection of the response is open, if that says something about its
    /// process: connections that are open at the same time belong to one process, and a process that
    /// keeps one of them has closed the other by choice.
    pub fn observe(&mut self, response: &mut Connection) {
        let current = *self.watch.state.borrow();
        let says_something = match current {
            IdleConnection::Open(number) => self.seen != Some(number),
            IdleConnection::Closed { since, .. } => {
                self.seen.is_some() && !self.was_open_after(since)
            }
        };
        if says_something && response.awaits_bytes() {
            self.open_at = Some(Instant::now());
            if let IdleConnection::Open(number) = current {
                self.seen = Some(number);
            }
        }
    }

    /// Returns whether the connection of the response was open when a process that closed the idle
    /// one by its end would have closed both.
    fn was_open_after(&self, closed: Instant) -> bool {
        self.open_at.is_some_and(|at| at >= closed + EXIT_TIME)
    }

    /// Returns what is known of the process after its response ended with the connection.
    pub async fn process_state(mut self) -> ProcessState {
        match self.observed_state().await {
            Observed::State(state) => state,
            Observed::Accepting => ProcessState::Accepting,
            Observed::ClosesIdle => match connect(self.at, self.connect_timeout).await {
                Some(_) => ProcessState::Accepting,
                None => ProcessState::Unreachable,
            },
            Observed::Nothing => check_address(self.at, self.connect_timeout).await,
        }
    }

    async fn observed_state(&mut self) -> Observed {
        let Some(number) = self.seen else {
            let current = *self.watch.state.borrow();
            return match current {
                // The connection came and went while nothing was observed.
                IdleConnection::Closed { last, .. } if last > 0 => {
                    Observed::State(ProcessState::Ended)
                }
                _ => Observed::Nothing,
            };
        };
        let closed = self.watch.state.wait_for(|state| *state != IdleConnection::Open(number));
        let current = timeout(EXIT_TIME, closed).await.map(|closed| closed.map(|state| *state));
        match current {
            // The listener of a process that stops may have passed to another one before a connection
            // was opened again.
            Err(_) if number > 1 => Observed::Accepting,
            Err(_) => Observed::State(ProcessState::Running),
            // The process closes idle connections, so that only a refused one says that it has ended.
            Ok(Ok(IdleConnection::Closed { since, .. })) if self.was_open_after(since) => {
                Observed::ClosesIdle
            }
            Ok(_) => Observed::State(ProcessState::Ended),
        }
    }
}

/// Waits until the idle connection of the evidence is opened or closed; without evidence, forever.
///
/// Cancel safe.
pub async fn evidence_changed(evidence: &mut Option<ProcessEvidence>) {
    match evidence {
        // The evidence holds the watch, which sends the changes.
        Some(evidence) => drop(evidence.watch.state.changed().await),
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
