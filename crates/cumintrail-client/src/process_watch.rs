//! Tells the end of a response from the end of the process that sent it; docs/DESIGN.md, "Relayed
//! calls".
//!
//! A response without length or chunks ends with its connection, and so does the connection of a
//! process that is killed. The system closes all connections of such a process, so an idle
//! connection beside that of the response distinguishes the two: a process that has ended does not
//! answer an identity request on it. Whoever answers on a later connection to the same address may
//! be another process, which its answer may show.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::{RequestHead, ResponseHead, ServiceConfig};
use actix_rt::task::JoinHandle;
use actix_rt::time::{Instant, timeout};
use derive_more::Display;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc, oneshot, watch};

use crate::connection::configure_socket;
use crate::identity::{Identity, identify};
use crate::single_use::with_connection_close;
use crate::{ClientError, Connection};

/// The time within which the system closes all sockets of a process that ends.
const EXIT_TIME: Duration = Duration::from_millis(20);
/// The shortest and the longest delay before an idle connection is opened again that failed or was
/// closed at once.
const REOPEN_DELAYS: [Duration; 2] = [Duration::from_millis(200), Duration::from_secs(1)];
/// How long idle connections carry no requests after the process closed one after a response.
const REQUEST_PAUSE: Duration = Duration::from_secs(10);
/// How long the head of that response may take: a process that runs may be silent for a second or so.
pub const IDENTITY_TIMEOUT: Duration = Duration::from_secs(3);
/// The time from which on a closed connection was not closed at once.
const MIN_IDLE_TIME: Duration = Duration::from_millis(50);

/// How long a request waits for an idle connection, which is opened at the same time as its own.
const OPEN_TIMEOUT: Duration = Duration::from_millis(10);

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
    /// Ends the delay before the connection is opened again.
    wanted: Rc<Notify>,
    requests: mpsc::UnboundedSender<IdleRequest>,
    closed_by_choice: Rc<ClosedByChoice>,
    task: JoinHandle<()>,
}

impl ProcessWatch {
    fn spawn(at: SocketAddr, connect_timeout: Duration) -> Self {
        let closed = IdleConnection::Closed { since: Instant::now(), last: 0 };
        let (tx, state) = watch::channel(closed);
        let wanted = Rc::new(Notify::new());
        let (requests, queue) = mpsc::unbounded_channel();
        let closed_by_choice = Rc::new(ClosedByChoice::default());
        let idle = IdleTask {
            at,
            connect_timeout,
            state: tx,
            wanted: wanted.clone(),
            requests: queue,
            closed_by_choice: closed_by_choice.clone(),
        };
        let task = actix_rt::spawn(idle.keep_open());
        Self { state, wanted, requests, closed_by_choice, task }
    }

    fn takes_requests(&self) -> bool {
        self.closed_by_choice.get().is_none_or(|(_, at)| at.elapsed() >= REQUEST_PAUSE)
    }
}

/// The last idle connection that the process closed after a response, and when it did.
///
/// The idle connections of such a process carry no requests for a time, since each would end the
/// evidence of all other responses.
type ClosedByChoice = Cell<Option<(u64, Instant)>>;

/// A request on an idle connection, which shows that its process runs.
#[derive(Debug)]
struct IdleRequest {
    /// The idle connection.
    number: u64,
    head: RequestHead,
    answer: oneshot::Sender<IdleAnswer>,
}

/// What became of a request on an idle connection.
#[derive(Debug)]
enum IdleAnswer {
    Response(Box<ResponseHead>),
    /// The process closed the connection after the response to an earlier request.
    ClosedByChoice,
    /// The connection ended, or the time was over.
    Nothing,
}

impl Drop for ProcessWatch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Opens the idle connections of a watch.
struct IdleTask {
    at: SocketAddr,
    connect_timeout: Duration,
    state: watch::Sender<IdleConnection>,
    wanted: Rc<Notify>,
    requests: mpsc::UnboundedReceiver<IdleRequest>,
    closed_by_choice: Rc<ClosedByChoice>,
}

impl IdleTask {
    async fn keep_open(mut self) {
        let [shortest, longest] = REOPEN_DELAYS;
        let (mut delay, mut last) = (shortest, 0);
        loop {
            let (started, config) = (Instant::now(), ServiceConfig::default());
            if let Ok(connection) = Connection::open(self.at, self.connect_timeout, config).await {
                last += 1;
                self.state.send_replace(IdleConnection::Open(last));
                let (requests, closed) = (&mut self.requests, &self.closed_by_choice);
                send_requests(connection, last, requests, closed).await;
                self.state.send_replace(IdleConnection::Closed { since: Instant::now(), last });
                let by_choice = closed.get().is_some_and(|(number, _)| number == last);
                if by_choice || started.elapsed() >= MIN_IDLE_TIME {
                    delay = shortest;
                    continue;
                }
            }
            if timeout(delay, self.wanted.notified()).await.is_err() {
                delay = (2 * delay).min(longest);
            }
        }
    }
}

/// Sends the requests for an idle connection, one after the other, until the connection ends.
async fn send_requests(
    mut connection: Connection,
    number: u64,
    requests: &mut mpsc::UnboundedReceiver<IdleRequest>,
    closed_by_choice: &ClosedByChoice,
) {
    loop {
        let request = tokio::select! {
            biased;
            // A target sends nothing on a connection without a request, and closes it at will.
            () = connection.idle_end() => return,
            Some(request) = requests.recv() => request,
        };
        if request.number != number || request.answer.is_closed() {
            continue;
        }
        // Other responses may need the connection although the time for this one is over.
        let asked = identify(&mut connection, request.head, IDENTITY_TIMEOUT).await;
        let Ok(Identity { head, is_reusable, .. }) = asked else { return };
        let _ = request.answer.send(IdleAnswer::Response(Box::new(head)));
        if !is_reusable {
            while let Ok(request) = requests.try_recv() {
                let _ = request.answer.send(IdleAnswer::ClosedByChoice);
            }
            closed_by_choice.set(Some((number, Instant::now())));
            return;
        }
    }
}

async fn connect(at: SocketAddr, connect_timeout: Duration) -> Option<TcpStream> {
    let stream = timeout(connect_timeout, TcpStream::connect(at)).await.ok()?.ok()?;
    configure_socket(&stream).ok()?;
    Some(stream)
}

/// The watches of one thread.
#[derive(Debug)]
pub struct ProcessWatches {
    connect_timeout: Duration,
    watches: RefCell<HashMap<SocketAddr, WatchedAddress>>,
}

#[derive(Debug, Default)]
struct WatchedAddress {
    /// `None` while no response is expected that needs it.
    watch: Option<Rc<ProcessWatch>>,
    /// Whether the watch was used since the last [`ProcessWatches::prune`].
    is_used: bool,
}

impl ProcessWatches {
    /// Creates an empty set of watches.
    pub fn open(connect_timeout: Duration) -> Self {
        Self { connect_timeout, watches: RefCell::default() }
    }

    /// Returns evidence of the process at an address.
    ///
    /// Evidence from before a response covers short ones, whose end may arrive with their head.
    pub fn watch(&self, at: SocketAddr) -> ProcessEvidence {
        let mut watches = self.watches.borrow_mut();
        let known = watches.entry(at).or_default();
        known.is_used = true;
        let spawn = || Rc::new(ProcessWatch::spawn(at, self.connect_timeout));
        let is_new = known.watch.is_none();
        let watch = known.watch.get_or_insert_with(spawn).clone();
        let state = watch.state.clone();
        let closed_before = match *state.borrow() {
            IdleConnection::Closed { last, .. } => last,
            IdleConnection::Open(number) => number - 1,
        };
        if !is_new && matches!(*state.borrow(), IdleConnection::Closed { .. }) {
            watch.wanted.notify_one();
        }
        ProcessEvidence {
            at,
            connect_timeout: self.connect_timeout,
            state,
            closed_before,
            seen: None,
            open_at: None,
            watch,
        }
    }

    /// Ends watches that were not used since the last call, and forgets the addresses for which
    /// `is_target` returns false.
    pub fn prune(&self, is_target: impl Fn(SocketAddr) -> bool) {
        self.watches.borrow_mut().retain(|at, known| {
            let in_use = known.watch.as_ref().is_some_and(|watch| Rc::strong_count(watch) > 1);
            if !in_use && !std::mem::take(&mut known.is_used) {
                known.watch = None;
            }
            is_target(*at)
        });
    }
}

/// Evidence of the process that sends one response.
#[derive(Debug)]
pub struct ProcessEvidence {
    at: SocketAddr,
    connect_timeout: Duration,
    state: watch::Receiver<IdleConnection>,
    /// The last idle connection that was closed before the request.
    closed_before: u64,
    /// The last idle connection that was open at the same time as that of the response.
    seen: Option<u64>,
    /// When the connection of the response was last seen to be open, with nothing left to read.
    open_at: Option<Instant>,
    watch: Rc<ProcessWatch>,
}

impl ProcessEvidence {
    /// Waits until the idle connection is open, for a limited time.
    pub async fn opened(&mut self) {
        let open = self.state.wait_for(|state| matches!(state, IdleConnection::Open(_)));
        let _ = timeout(OPEN_TIMEOUT, open).await;
    }

    /// Records whether the connection of the response is open, if that says something about its
    /// process: connections that are open at the same time belong to one process, and a process that
    /// keeps one of them has closed the other by choice.
    pub fn observe(&mut self, response: &mut Connection) {
        let current = *self.state.borrow();
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

    /// Returns what is known of the process that responds to `request` within `limit`, on the idle
    /// connection or else at the address, and is not another one by its response.
    ///
    /// The end of the idle connection may be lost on the network, and arrive later than that of the
    /// response. A process that has ended never responds.
    pub async fn confirmed_state(
        mut self,
        request: RequestHead,
        limit: Duration,
        is_other: impl Fn(&ResponseHead) -> bool,
    ) -> ProcessState {
        let started = Instant::now();
        let current = *self.state.borrow();
        let observed = match current {
            IdleConnection::Open(number)
                if self.seen == Some(number) && self.watch.takes_requests() =>
            {
                let asked = timeout(limit, self.ask_idle(number, request.clone()));
                match asked.await.unwrap_or(IdleAnswer::Nothing) {
                    IdleAnswer::Response(head) if is_other(&head) => {
                        Observed::State(ProcessState::Replaced)
                    }
                    // The listener of a process that stops may have passed to another one before the
                    // connection was opened.
                    IdleAnswer::Response(_) if number > self.closed_before + 1 => {
                        Observed::State(ProcessState::Accepting)
                    }
                    IdleAnswer::Response(_) => Observed::State(ProcessState::Running),
                    IdleAnswer::ClosedByChoice => Observed::ClosesIdle,
                    IdleAnswer::Nothing => Observed::State(ProcessState::Ended),
                }
            }
            _ => match self.observed_state().await {
                // Without a response, the end of the idle connection may have been lost.
                Observed::State(ProcessState::Running) => Observed::Accepting,
                observed => observed,
            },
        };
        if let Observed::State(state) = observed {
            return state;
        }
        let left = limit.saturating_sub(started.elapsed());
        match timeout(left, self.ask_address(request)).await {
            Ok(Ok(head)) if is_other(&head) => ProcessState::Replaced,
            Ok(Ok(_)) => ProcessState::Accepting,
            // A process that closes idle connections may do so before the request arrives.
            Ok(Err(ClientError::ConnectionLost)) if observed == Observed::ClosesIdle => {
                ProcessState::Accepting
            }
            _ => ProcessState::Unreachable,
        }
    }

    /// Sends a request on an idle connection.
    async fn ask_idle(&mut self, number: u64, head: RequestHead) -> IdleAnswer {
        let (answer, answered) = oneshot::channel();
        if self.watch.requests.send(IdleRequest { number, head, answer }).is_err() {
            return IdleAnswer::Nothing;
        }
        tokio::select! {
            biased;
            answer = answered => answer.unwrap_or(IdleAnswer::Nothing),
            _ = self.state.wait_for(|state| *state != IdleConnection::Open(number)) => {
                IdleAnswer::Nothing
            }
        }
    }

    async fn observed_state(&mut self) -> Observed {
        let Some(number) = self.seen else {
            let current = *self.state.borrow();
            return match current {
                // The connection came and went while nothing was observed.
                IdleConnection::Closed { last, .. } if last > self.closed_before => {
                    Observed::State(ProcessState::Ended)
                }
                _ => Observed::Nothing,
            };
        };
        let closed = self.state.wait_for(|state| *state != IdleConnection::Open(number));
        let current = timeout(EXIT_TIME, closed).await.map(|closed| closed.map(|state| *state));
        let closed_by_choice = self.watch.closed_by_choice.get();
        match current {
            // The process was running when the connection was closed, and another one is not open yet.
            Ok(_)
                if closed_by_choice
                    .is_some_and(|(closed, at)| closed == number && at.elapsed() < EXIT_TIME) =>
            {
                Observed::ClosesIdle
            }
            // The listener of a process that stops may have passed to another one before a connection
            // was opened again.
            Err(_) if number > self.closed_before + 1 => Observed::Accepting,
            Err(_) => Observed::State(ProcessState::Running),
            // The process closes idle connections, so that only a refused one says that it has ended.
            Ok(Ok(IdleConnection::Closed { since, .. })) if self.was_open_after(since) => {
                Observed::ClosesIdle
            }
            Ok(_) => Observed::State(ProcessState::Ended),
        }
    }

    /// Sends a request on a new connection and reads the head of its response.
    async fn ask_address(&self, request: RequestHead) -> Result<ResponseHead, ClientError> {
        let config = ServiceConfig::default();
        let mut connection = Connection::open(self.at, self.connect_timeout, config).await?;
        let request = with_connection_close(request, self.at);
        connection.start_exchange(request, BodySize::None)?;
        connection.read_head().await
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
