//! Links between daemons and a target: a relay of connections that can be cut, slowed or
//! half-closed. A reset on one side is a reset on the other, the bytes of all connections keep their
//! order, and a connection belongs to the process that listened when it was opened.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

use super::http::{Connection, write_all};
use super::script::LinkFault;

/// Bytes and number of the pieces of a connection on their way through a link, in each direction.
const PIECE_BYTES: usize = 16 << 10;
const MAX_PIECES: usize = 64;

/// A running link.
#[derive(Debug)]
pub struct Link {
    pub address: SocketAddr,
    /// Listens while a process does: the system would accept connections for one that has ended.
    listener: RefCell<Option<Rc<TcpListener>>>,
    state: watch::Sender<State>,
}

#[derive(Debug, Clone, Copy)]
struct State {
    /// Where the target's process listens.
    to: Option<SocketAddr>,
    /// The number of connections that were accepted.
    accepted: u64,
    is_cut: bool,
    /// Connections with a lower number are reset.
    reset_below: u64,
    /// Connections with a lower number forward nothing more towards callers.
    silent_below: u64,
    /// For connections with a lower number, the direction towards the target has ended.
    ended_below: u64,
    delay: Duration,
    /// When the last piece that the link has taken leaves it.
    busy_until: Instant,
}

/// The direction in which bytes go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToTarget,
    FromTarget,
}

impl Link {
    /// Reserves an address for a link.
    pub fn new() -> io::Result<Rc<Self>> {
        let address = std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let state = watch::Sender::new(State {
            to: None,
            accepted: 0,
            is_cut: false,
            reset_below: 0,
            silent_below: 0,
            ended_below: 0,
            delay: Duration::ZERO,
            busy_until: Instant::now(),
        });
        Ok(Rc::new(Self { address, listener: RefCell::default(), state }))
    }

    /// Connects to a process that listens at `to`.
    pub fn attach(self: &Rc<Self>, to: SocketAddr) -> io::Result<()> {
        self.detach();
        let listener = std::net::TcpListener::bind(self.address)?;
        listener.set_nonblocking(true)?;
        let listener = Rc::new(TcpListener::from_std(listener)?);
        *self.listener.borrow_mut() = Some(listener.clone());
        self.state.send_modify(|state| state.to = Some(to));
        let running = self.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let mut number = 0;
                running.state.send_modify(|state| {
                    number = state.accepted;
                    state.accepted += 1;
                });
                let link = running.clone();
                actix_rt::spawn(async move { link.relay(stream, number).await });
            }
        });
        Ok(())
    }

    /// Refuses connections from now on, also those that have not reached the process.
    pub fn detach(&self) {
        if let Some(listener) = self.listener.take() {
            // Resets the connections that have not been accepted, although the task that accepts
            // them still holds the socket.
            let _ = socket2::SockRef::from(&*listener).shutdown(std::net::Shutdown::Both);
        }
        self.state.send_modify(|state| state.to = None);
    }

    /// Plays a fault for its time.
    pub async fn play(&self, fault: LinkFault) {
        self.state.send_modify(|state| match fault {
            LinkFault::Cut { .. } => {
                state.is_cut = true;
                state.reset_below = state.accepted;
            }
            LinkFault::Slow { delay_ms, .. } => state.delay = Duration::from_millis(delay_ms),
            LinkFault::Silent { .. } => state.silent_below = state.accepted,
            LinkFault::HalfClosed => state.ended_below = state.accepted,
        });
        sleep(Duration::from_millis(fault.duration_ms())).await;
        self.state.send_modify(|state| match fault {
            LinkFault::Cut { .. } => {
                state.is_cut = false;
                state.reset_below = state.accepted;
            }
            LinkFault::Slow { .. } => state.delay = Duration::ZERO,
            LinkFault::Silent { .. } => state.reset_below = state.silent_below,
            LinkFault::HalfClosed => {}
        });
    }

    async fn relay(&self, inbound: TcpStream, number: u64) {
        let State { to, is_cut, .. } = *self.state.borrow();
        let outbound = match to {
            Some(to) if !is_cut => TcpStream::connect(to).await.ok(),
            _ => None,
        };
        let Some(outbound) = outbound else {
            reset(&inbound);
            return;
        };
        let (inbound, outbound) = (Connection::new(inbound), Connection::new(outbound));
        let (caller, target) = (inbound.stream.clone(), outbound.stream.clone());
        let up = self.copy(inbound, target.clone(), Direction::ToTarget, number);
        let down = self.copy(outbound, caller.clone(), Direction::FromTarget, number);
        let mut state = self.state.subscribe();
        let is_broken = tokio::select! {
            ended = async { tokio::try_join!(up, down) } => ended.is_err(),
            _ = state.wait_for(|state| number < state.reset_below) => true,
        };
        if is_broken {
            reset(&caller);
            reset(&target);
        }
    }

    /// Forwards bytes and their end in one direction.
    async fn copy(
        &self,
        mut from: Connection,
        to: Rc<TcpStream>,
        direction: Direction,
        number: u64,
    ) -> io::Result<()> {
        let (tx, mut rx) = mpsc::channel::<(Instant, Vec<u8>)>(MAX_PIECES);
        let read = async move {
            loop {
                from.input.reserve(PIECE_BYTES);
                let is_last = match from.fill().await {
                    Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => true,
                    read => read.map(|()| false)?,
                };
                let due = self.next_due();
                // Fails only if nothing more is forwarded.
                if tx.send((due, std::mem::take(&mut from.input))).await.is_err() || is_last {
                    return Ok(());
                }
            }
        };
        let write = async {
            let mut state = self.state.subscribe();
            let ended = state
                .wait_for(|state| direction == Direction::ToTarget && number < state.ended_below);
            let forward = async {
                while let Some((due, bytes)) = rx.recv().await {
                    if let Some(rest) = due.checked_duration_since(Instant::now()) {
                        sleep(rest).await;
                    }
                    if direction == Direction::FromTarget
                        && number < self.state.borrow().silent_below
                    {
                        std::future::pending::<()>().await;
                    }
                    write_all(&to, &bytes).await?;
                }
                Ok::<_, io::Error>(())
            };
            tokio::select! {
                _ = ended => {}
                forwarded = forward => forwarded?,
            }
            socket2::SockRef::from(&*to).shutdown(std::net::Shutdown::Write)
        };
        tokio::try_join!(read, write).map(drop)
    }

    /// Returns when a piece that the link takes now leaves it: not before the earlier ones.
    fn next_due(&self) -> Instant {
        let State { delay, busy_until, .. } = *self.state.borrow();
        let due = busy_until.max(Instant::now() + delay);
        self.state.send_if_modified(|state| {
            state.busy_until = due;
            false
        });
        due
    }
}

/// Makes the close of a connection a reset.
fn reset(stream: &TcpStream) {
    // Fails only if the peer has closed the connection.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
