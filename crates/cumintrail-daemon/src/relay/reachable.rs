//! Whether a process accepts connections.

use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::net::TcpStream;

/// The timeout for opening a connection to a target.
///
/// Targets are a few milliseconds away; a lost SYN is retransmitted after one second.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The time within which the system closes all sockets of a process that ends.
const EXIT_TIME: Duration = Duration::from_millis(20);

/// Opens a connection, unless that fails or takes too long.
pub async fn connect(at: SocketAddr) -> Option<TcpStream> {
    actix_rt::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(at)).await.ok()?.ok()
}

/// Returns whether a target accepts a connection and keeps it.
///
/// The system of a process that ends may still accept connections for a moment, and resets them then.
pub async fn accepts_connections(at: SocketAddr) -> bool {
    let Some(stream) = connect(at).await else { return false };
    let mut byte = [0];
    let closed = actix_rt::time::timeout(EXIT_TIME, stream.peek(&mut byte)).await;
    closed.is_err()
}
