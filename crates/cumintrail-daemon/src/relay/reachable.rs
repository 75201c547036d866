//! Whether a process accepts connections.

use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::net::TcpStream;
use derive_more::Display;

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

/// What a target did with a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Reachability {
    /// It accepted the connection and kept it.
    #[display("kept")]
    Kept,
    /// It accepted the connection and closed it.
    #[display("closed")]
    Closed,
    /// It did not accept the connection.
    #[display("refused")]
    Refused,
}

/// Checks whether a target accepts a connection and keeps it.
///
/// The system of a process that ends may still accept connections for a moment, and resets them then.
pub async fn check_reachability(at: SocketAddr) -> Reachability {
    let Some(stream) = connect(at).await else { return Reachability::Refused };
    let mut byte = [0];
    match actix_rt::time::timeout(EXIT_TIME, stream.peek(&mut byte)).await {
        Ok(_) => Reachability::Closed,
        Err(_) => Reachability::Kept,
    }
}
