//! A TCP relay that cuts, delays or silences connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::http::{self, HttpServer, empty};

const CHUNK_BYTES: usize = 16 << 10;
/// Prefix of a VM name; a digest starts with the name of its sender, after the request head.
const VM_NAME_PREFIX: &[u8] = b"vm-";

/// Selects what a relay does with connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Forwards all bytes.
    #[default]
    Pass,
    /// Closes all open connections, and new ones when they arrive.
    Cut,
    /// Forwards nothing more on the connections that are open now, for good; new ones work.
    SilenceOpen,
    /// Accepts connections and forwards nothing; they stay silent when the mode ends.
    SilenceAll,
}

#[derive(Debug, Clone, Copy)]
struct Rule {
    /// Destination of new connections.
    to: SocketAddr,
    mode: Mode,
    /// Connections with a lower number forward nothing more.
    silenced_below: u64,
    /// Connections with a lower number are closed.
    cut_below: u64,
    delay: Duration,
    /// The VM whose connections have a separate mode.
    source: Option<(usize, Mode)>,
}

/// A running relay.
#[derive(Clone)]
pub struct Relay {
    address: SocketAddr,
    rule: Arc<watch::Sender<Rule>>,
    accepted: Arc<std::sync::atomic::AtomicU64>,
}

impl Relay {
    /// Starts a relay from `address` to `to`.
    pub async fn spawn(address: SocketAddr, to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let rule = Rule {
            to,
            mode: Mode::Pass,
            silenced_below: 0,
            cut_below: 0,
            delay: Duration::ZERO,
            source: None,
        };
        let relay = Self {
            address: listener.local_addr()?,
            rule: Arc::new(watch::channel(rule).0),
            accepted: Arc::default(),
        };
        let (rule, accepted) = (relay.rule.clone(), relay.accepted.clone());
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = accepted.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                actix_rt::spawn(relay_connection(stream, number, rule.subscribe()));
            }
        });
        Ok(relay)
    }

    /// Returns the address that the relay listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the mode of the relay.
    pub fn set(&self, mode: Mode) {
        let accepted = self.accepted.load(std::sync::atomic::Ordering::Relaxed);
        self.rule.send_modify(|rule| {
            if mode == Mode::SilenceOpen || rule.mode == Mode::SilenceAll {
                rule.silenced_below = accepted;
            }
            if mode == Mode::Cut || rule.mode == Mode::Cut {
                rule.cut_below = accepted;
            }
            rule.mode = mode;
        });
    }

    /// Sets a separate mode for the connections of one VM; `None` removes it.
    ///
    /// Closes all connections, because a connection is matched to its VM by its first digest. A
    /// new connection that sends no VM name is not forwarded.
    pub fn set_source(&self, source: Option<(usize, Mode)>) {
        let accepted = self.accepted.load(std::sync::atomic::Ordering::Relaxed);
        self.rule.send_modify(|rule| {
            rule.source = source;
            rule.cut_below = accepted;
        });
    }

    /// Changes the destination of new connections, as when another process takes over an address.
    pub fn retarget(&self, to: SocketAddr) {
        self.rule.send_modify(|rule| rule.to = to);
    }

    /// Sets the delay of each chunk in both directions.
    pub fn set_delay(&self, delay: Duration) {
        self.rule.send_modify(|rule| rule.delay = delay);
    }

    /// Serves `POST /mode` on `address`, for a relay in a process of its own.
    pub fn serve_control(&self, address: SocketAddr) -> std::io::Result<HttpServer> {
        let relay = self.clone();
        http::serve(address, move |mut req| {
            let relay = relay.clone();
            async move {
                match http::read::<Mode>(&mut req).await {
                    Some(mode) => relay.set(mode),
                    None => return empty(actix_http::StatusCode::BAD_REQUEST),
                }
                empty(actix_http::StatusCode::OK)
            }
        })
    }
}

async fn relay_connection(mut inbound: TcpStream, number: u64, mut rule: watch::Receiver<Rule>) {
    let Rule { to, mode, source, .. } = *rule.borrow();
    if mode == Mode::Cut {
        return;
    }
    let mut first = Vec::new();
    if let Some((vm, mode)) = source {
        match read_sender(&mut inbound, &mut first).await {
            Some(sender) if sender != vm => {}
            Some(_) if mode == Mode::Cut => return,
            _ => {
                let _ = rule.wait_for(|rule| number < rule.cut_below).await;
                return;
            }
        }
    }
    let Ok(mut outbound) = TcpStream::connect(to).await else {
        return;
    };
    if outbound.write_all(&first).await.is_err() {
        return;
    }
    let (inbound_read, inbound_write) = inbound.into_split();
    let (outbound_read, outbound_write) = outbound.into_split();
    let up = copy(inbound_read, outbound_write, number, rule.clone());
    let down = copy(outbound_read, inbound_write, number, rule.clone());
    tokio::select! {
        _ = async { tokio::join!(up, down) } => {}
        _ = rule.wait_for(|rule| rule.mode == Mode::Cut || number < rule.cut_below) => {}
    }
}

/// Reads a connection up to the name of the VM that opened it and returns its number.
async fn read_sender(inbound: &mut TcpStream, first: &mut Vec<u8>) -> Option<usize> {
    loop {
        let name =
            first.windows(VM_NAME_PREFIX.len() + 1).find(|text| text.starts_with(VM_NAME_PREFIX));
        if let Some(digit) = name.and_then(<[u8]>::last) {
            return char::from(*digit).to_digit(10).map(|digit| digit as usize);
        }
        if inbound.read_buf(first).await.ok()? == 0 {
            return None;
        }
    }
}

async fn copy(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    number: u64,
    mut rule: watch::Receiver<Rule>,
) {
    let mut buf = vec![0; CHUNK_BYTES];
    while let Ok(read) = from.read(&mut buf).await {
        let delay = rule.borrow().delay;
        actix_rt::time::sleep(delay).await;
        let passes = |rule: &Rule| match rule.mode {
            Mode::Cut | Mode::SilenceAll => false,
            Mode::Pass | Mode::SilenceOpen => number >= rule.silenced_below,
        };
        // A silenced connection never recovers, as when a middlebox has dropped its state.
        if rule.wait_for(passes).await.is_err()
            || read == 0
            || to.write_all(&buf[..read]).await.is_err()
        {
            break;
        }
    }
    let _ = to.shutdown().await;
}
