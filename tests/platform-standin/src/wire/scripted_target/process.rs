//! The process of a target: its sockets, which end together.

use std::net::Shutdown;
use std::rc::{Rc, Weak};
use std::time::{SystemTime, UNIX_EPOCH};

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::wire::http::Connection;

/// A running process.
pub struct Process {
    /// The Unix millisecond of its start.
    born: u64,
    /// The version of its software.
    software: u8,
    listener: Rc<TcpListener>,
    connections: Vec<Weak<TcpStream>>,
    /// Whether it stops to accept requests. Its tasks end when this is dropped.
    is_closing: watch::Sender<bool>,
}

impl Process {
    /// Returns a process and what its tasks watch; see [`ended`].
    pub fn new(listener: Rc<TcpListener>, software: u8) -> (Self, watch::Receiver<bool>) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let (is_closing, receiver) = watch::channel(false);
        let born = born.as_millis() as u64;
        (Self { born, software, listener, connections: Vec::new(), is_closing }, receiver)
    }

    pub const fn born(&self) -> u64 {
        self.born
    }

    pub const fn software(&self) -> u8 {
        self.software
    }

    pub fn add(&mut self, connection: &Connection) {
        self.connections.retain(|known| known.strong_count() > 0);
        self.connections.push(Rc::downgrade(&connection.stream));
    }

    /// Returns whether no connection is open.
    pub fn is_idle(&self) -> bool {
        self.connections.iter().all(|connection| connection.strong_count() == 0)
    }

    /// Returns whether it has stopped to accept requests.
    pub fn is_closing(&self) -> bool {
        *self.is_closing.borrow()
    }

    /// Closes the listener and lets connections end after their responses.
    pub fn stop_accepting(&self) {
        // Stops listening although the task that accepts connections still holds the socket.
        let _ = socket2::SockRef::from(&*self.listener).shutdown(Shutdown::Both);
        self.is_closing.send_replace(true);
    }

    /// Closes all sockets.
    pub fn exit(self) {
        for connection in self.connections.iter().filter_map(Weak::upgrade) {
            // Fails only if the peer has closed the connection.
            let _ = socket2::SockRef::from(&*connection).shutdown(Shutdown::Both);
        }
        self.stop_accepting();
    }
}

/// Waits for the end of a process.
pub async fn ended(process: &mut watch::Receiver<bool>) {
    while process.changed().await.is_ok() {}
}
