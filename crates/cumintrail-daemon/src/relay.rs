//! Relayed calls: the method, path, query and body of a request are forwarded to a target
//! unchanged, and the target's response to the caller; docs/DESIGN.md, "Relayed calls".

mod attempt;
mod body;
mod call;
mod caller;
mod content;
mod detour;
pub mod dialect;
pub mod events;
mod heads;
mod interrupt;
mod lines;
mod probes;
mod reachable;
mod relayed_call;

use std::cell::RefCell;
use std::collections::HashSet;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use actix_rt::Arbiter;
use actix_rt::net::TcpStream;
use cumintrail_client::{ConnectionPool, ResponseBudget, ResponseEnds};
use cumintrail_control::Event;
use cumintrail_types::TargetKey;
use tokio::sync::watch;

use self::caller::CallerConnection;
pub use self::dialect::{
    ForwardMetadata, HeaderDialect, NativeDialect, Part, ProcessIdentity, RequestMetadata,
    ResponseKind,
};
pub use self::probes::MonitoringEndpoint;
use self::reachable::CONNECT_TIMEOUT;
pub(crate) use self::reachable::connect;
use crate::held::{HeldAccount, HeldConnection, Port};
use crate::shared::Shared;

/// The interval at which idle connections that must not be reused are closed, and at which what is
/// held is reported.
const PRUNE_INTERVAL: Duration = Duration::from_secs(2);
/// The delay after a failed `accept`, for example when no file descriptors are available.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves relayed calls on one address with a fixed number of traffic threads.
pub struct Relay {
    address: SocketAddr,
    state: Arc<RelayState>,
    arbiters: Vec<Arbiter>,
}

/// The listeners of a relay.
pub struct Listeners {
    /// Accepts connections of callers.
    pub callers: TcpListener,
    /// Accepts connections of peers that reach no target.
    pub detours: Option<TcpListener>,
    /// Accept connections of the balancer and of monitoring.
    pub monitoring: Vec<(MonitoringEndpoint, TcpListener)>,
}

/// Counts the open calls of all traffic threads, and tells these threads how far a planned stop is.
#[derive(Debug)]
struct RelayState {
    open_calls: AtomicUsize,
    stop: watch::Sender<StopPhase>,
}

/// What a planned stop requires of the traffic threads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum StopPhase {
    Serving,
    /// Accept no connections, and close each open one once it has no call.
    CloseIdle,
    /// Refuse calls whose bodies are still being read.
    EndCalls,
}

/// Stores the state of one traffic thread.
pub(crate) struct Worker<D> {
    pub shared: Arc<Shared>,
    pub dialect: D,
    pub pool: ConnectionPool,
    pub ends: RefCell<ResponseEnds>,
    state: Arc<RelayState>,
    held: Arc<HeldAccount>,
    /// The targets that are being checked for a crash.
    checked: Rc<RefCell<HashSet<TargetKey>>>,
}

/// Counts a call as open until the guard is dropped.
pub(crate) struct OpenCallGuard(Arc<RelayState>);

impl Drop for OpenCallGuard {
    fn drop(&mut self) {
        self.0.open_calls.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Relay {
    /// Starts the traffic threads, which also serve the monitoring endpoints.
    pub fn spawn<D: HeaderDialect>(
        listeners: Listeners,
        shared: &Arc<Shared>,
        held: &Arc<HeldAccount>,
        dialect: &D,
    ) -> io::Result<Self> {
        let Listeners { callers, detours, monitoring } = listeners;
        let address = callers.local_addr()?;
        let stop = watch::Sender::new(StopPhase::Serving);
        let state = Arc::new(RelayState { open_calls: AtomicUsize::new(0), stop });
        callers.set_nonblocking(true)?;
        detours.as_ref().map_or(Ok(()), |listener| listener.set_nonblocking(true))?;
        let limits = held.limits();
        let responses = ResponseBudget::new(limits.response_bytes, limits.response_share);
        let mut arbiters = Vec::new();
        for _ in 0..shared.settings.workers.max(1) {
            let listener = callers.try_clone()?;
            let detours = detours.as_ref().map(TcpListener::try_clone).transpose()?;
            let (shared, state, dialect) = (shared.clone(), state.clone(), dialect.clone());
            let (held, responses) = (held.clone(), responses.clone());
            let arbiter = Arbiter::new();
            arbiter.spawn_fn(move || {
                let worker = Worker {
                    pool: ConnectionPool::open(CONNECT_TIMEOUT, responses),
                    ends: RefCell::default(),
                    shared,
                    dialect,
                    state,
                    held,
                    checked: Rc::default(),
                };
                let worker = Rc::new(worker);
                let pruning = worker.clone();
                actix_rt::spawn(async move { prune_connections(&pruning).await });
                if let Some(detours) = detours {
                    actix_rt::spawn(accept_connections(detours, worker.clone(), Port::Detours));
                }
                actix_rt::spawn(accept_connections(listener, worker, Port::Callers));
            });
            arbiters.push(arbiter);
        }
        for ((endpoint, listener), arbiter) in monitoring.into_iter().zip(arbiters.iter().cycle()) {
            listener.set_nonblocking(true)?;
            let (shared, held) = (shared.clone(), held.clone());
            arbiter.spawn_fn(move || {
                actix_rt::spawn(probes::serve(listener, shared, held, endpoint));
            });
        }
        Ok(Self { address, state, arbiters })
    }

    /// Returns the address that callers connect to.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of calls whose handling has not ended yet.
    pub fn open_calls(&self) -> usize {
        self.state.open_calls.load(Ordering::Acquire)
    }

    /// Stops accepting connections, and closes each open one once it has no call.
    pub fn close_idle(&self) {
        self.state.stop.send_replace(StopPhase::CloseIdle);
    }

    /// Refuses the calls that were not submitted to the control thread yet.
    pub fn end_calls(&self) {
        self.state.stop.send_replace(StopPhase::EndCalls);
    }

    /// Stops the traffic threads.
    pub fn stop(&self) {
        for arbiter in &self.arbiters {
            arbiter.stop();
        }
    }
}

impl<D: HeaderDialect> Worker<D> {
    /// Counts a call until the returned guard is dropped.
    pub fn open_call(&self) -> OpenCallGuard {
        self.state.open_calls.fetch_add(1, Ordering::AcqRel);
        OpenCallGuard(self.state.clone())
    }

    /// Checks whether a target still accepts connections after one to it broke.
    pub fn check_target(&self, target: TargetKey, at: SocketAddr) {
        if !self.checked.borrow_mut().insert(target) {
            return;
        }
        let (shared, checked) = (self.shared.clone(), self.checked.clone());
        actix_rt::spawn(async move {
            if connect(at).await.is_none() {
                shared.control.send(Event::TargetUnreachable { target }).await;
            }
            checked.borrow_mut().remove(&target);
        });
    }

    /// Returns whether a planned stop has begun, so that responses close their connections.
    pub fn is_stopping(&self) -> bool {
        self.shared.is_stopping()
    }

    /// Waits until a planned stop refuses the calls that are still open.
    pub async fn calls_ended(&self) {
        self.state.reached(StopPhase::EndCalls).await;
    }
}

impl RelayState {
    async fn reached(&self, phase: StopPhase) {
        // The sender lives as long as `self`.
        let _ = self.stop.subscribe().wait_for(|at| *at >= phase).await;
    }
}

async fn accept_connections<D: HeaderDialect>(
    listener: TcpListener,
    worker: Rc<Worker<D>>,
    port: Port,
) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(e) => return log::error!("event=listen outcome=failed reason=\"{e}\""),
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = worker.state.reached(StopPhase::CloseIdle) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                if let Some(held) = worker.held.open(port) {
                    actix_rt::spawn(serve_connection(worker.clone(), stream, held));
                }
                // Connections that were told to close close before more are accepted.
                tokio::task::yield_now().await;
            }
            Err(e) => {
                log::warn!("event=accept outcome=failed reason=\"{e}\"");
                actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves the requests of one caller connection until either side closes it.
async fn serve_connection<D: HeaderDialect>(
    worker: Rc<Worker<D>>,
    stream: TcpStream,
    held: HeldConnection,
) {
    let stall_limit = worker.shared.settings.stall_limit;
    if let Ok(mut caller) = CallerConnection::new(stream, held, stall_limit) {
        loop {
            let limits = worker.shared.snapshot().map(|s| s.deployment.callers);
            let next = tokio::select! {
                biased;
                next = caller.next_request(limits) => next,
                () = worker.state.reached(StopPhase::CloseIdle) => break,
            };
            let req = match next {
                Ok(Some(req)) => req,
                Ok(None) => break,
                Err(refusal) => {
                    call::reject(&worker, &mut caller, &refusal).await;
                    caller.linger().await;
                    break;
                }
            };
            let open = worker.open_call();
            let reusable = call::handle_request(&worker, &mut caller, req).await;
            if !reusable {
                // The response could still be lost while input of the caller is unread.
                let _open = caller.has_unread_body().then_some(open);
                caller.linger().await;
                break;
            }
        }
    }
}

async fn prune_connections<D: HeaderDialect>(worker: &Worker<D>) {
    loop {
        actix_rt::time::sleep(PRUNE_INTERVAL).await;
        worker.held.report();
        let snapshot = worker.shared.snapshot();
        let is_target = |at| {
            let mut targets = snapshot.iter().flat_map(|s| s.targets.iter());
            targets.any(|(_, t)| t.address == at && !t.retired)
        };
        worker.pool.prune(is_target);
        worker.ends.borrow_mut().prune(is_target);
    }
}
