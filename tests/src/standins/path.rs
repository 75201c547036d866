//! A network path between one VM and a target, which can be cut below the connection level.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The length of the queue of connections that are not accepted yet, which is soon full.
const BACKLOG: i32 = 1;
/// Connections that fill the queue.
const FILLERS: usize = 4;

/// What a path does with connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathState {
    /// Forwards all bytes.
    Open,
    /// Resets open connections and refuses new ones.
    Refused,
    /// Forwards nothing on open connections; new ones get no response.
    Hung,
    /// Goes on with open connections and refuses new ones.
    NewRefused,
}

/// A running path.
#[derive(Debug, Clone)]
pub struct Path {
    address: SocketAddr,
    state: watch::Sender<PathState>,
    carried: Arc<AtomicUsize>,
}

impl Path {
    /// Opens a path to `to`, on a loopback port of its own.
    pub fn spawn(to: SocketAddr) -> std::io::Result<Self> {
        let listener = listen(([127, 0, 0, 1], 0).into())?;
        let address = listener.local_addr()?;
        let path =
            Self { address, state: watch::Sender::new(PathState::Open), carried: Arc::default() };
        actix_rt::spawn(path.clone().run(listener, to));
        Ok(path)
    }

    /// Returns the address at which the VM reaches the target.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what the path does.
    pub fn set(&self, state: PathState) {
        self.state.send_replace(state);
    }

    /// Returns the number of connections that were forwarded.
    pub fn carried(&self) -> usize {
        self.carried.load(Ordering::Relaxed)
    }

    async fn run(self, listener: TcpListener, to: SocketAddr) {
        let mut state = self.state.subscribe();
        let mut listener = Some(listener);
        loop {
            let current = *state.borrow_and_update();
            match current {
                PathState::Open => {
                    let Some(open) = listener.take().or_else(|| listen(self.address).ok()) else {
                        actix_rt::time::sleep(Duration::from_millis(5)).await;
                        continue;
                    };
                    tokio::select! {
                        accepted = open.accept() => if let Ok((stream, _)) = accepted {
                            self.carried.fetch_add(1, Ordering::Relaxed);
                            actix_rt::spawn(forward(stream, to, self.state.subscribe()));
                        },
                        _ = state.changed() => {}
                    }
                    listener = Some(open);
                }
                PathState::Refused | PathState::NewRefused => {
                    listener = None;
                    let _ = state.changed().await;
                }
                PathState::Hung => {
                    let fillers: Vec<_> = (0..FILLERS)
                        .map(|_| actix_rt::spawn(TcpStream::connect(self.address)))
                        .collect();
                    let _ = state.changed().await;
                    fillers.iter().for_each(actix_rt::task::JoinHandle::abort);
                    // The fillers in the queue would be accepted otherwise.
                    listener = None;
                }
            }
        }
    }
}

fn listen(at: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    TcpListener::from_std(socket.into())
}

async fn forward(mut near: TcpStream, to: SocketAddr, mut state: watch::Receiver<PathState>) {
    let Ok(mut far) = TcpStream::connect(to).await else { return };
    tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut near, &mut far) => return,
        _ = state.wait_for(|s| matches!(s, PathState::Hung | PathState::Refused)) => {}
    }
    if *state.borrow() == PathState::Refused {
        let _ = socket2::SockRef::from(&near).set_linger(Some(Duration::ZERO));
        return;
    }
    // A connection that hung is of no use any more.
    let _ = state.wait_for(|s| *s != PathState::Hung).await;
}
