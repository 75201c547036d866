//! Whether an address accepts connections.

use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::net::TcpStream;

/// The timeout for opening a connection to a target.
///
/// Targets are a few milliseconds away; a lost SYN is retransmitted after one second.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Opens a connection, unless that fails or takes too long.
pub async fn connect(at: SocketAddr) -> Option<TcpStream> {
    actix_rt::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(at)).await.ok()?.ok()
}
