//! Targets that play the script. The process of a target is a set of tasks, sockets and a listener
//! that end at once.

mod response;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use actix_rt::time::sleep;
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use self::response::Played;
use super::SharedLog;
use super::http::{BodyEnd, Connection, body_end, header, write_all};
use super::script::Script;
use crate::deployment::MODEL_SERVICE;
use crate::replica::MODEL;
use crate::store::{REGISTRY_TABLE, RowStore};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// A target at an address of its own, whose processes follow each other under one id.
pub struct Target {
    id: String,
    service: &'static str,
    address: SocketAddr,
    store: RowStore,
    script: Rc<Script>,
    log: SharedLog,
    process: RefCell<Option<Process>>,
    heartbeats: Cell<u64>,
}

/// A process of a target.
struct Process {
    /// The Unix millisecond of its start.
    born: u64,
    listener: Rc<TcpListener>,
    connections: Vec<Weak<TcpStream>>,
    /// Its tasks end when this is dropped.
    exit: watch::Sender<()>,
}

impl Target {
    /// Starts a target, which registers itself in the store.
    pub fn spawn(
        id: String,
        service: &'static str,
        store: RowStore,
        script: Rc<Script>,
        log: SharedLog,
    ) -> io::Result<()> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (process, heartbeats) = (RefCell::default(), Cell::new(0));
        let target =
            Rc::new(Self { id, service, address, store, script, log, process, heartbeats });
        target.start(listener)?;
        actix_rt::spawn(async move {
            loop {
                target.register();
                sleep(HEARTBEAT_INTERVAL).await;
            }
        });
        Ok(())
    }

    /// Starts a process.
    fn start(self: &Rc<Self>, listener: std::net::TcpListener) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        let listener = Rc::new(TcpListener::from_std(listener)?);
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let (exit, exited) = watch::channel(());
        let process = Process {
            born: born.as_millis() as u64,
            listener: listener.clone(),
            connections: Vec::new(),
            exit,
        };
        *self.process.borrow_mut() = Some(process);
        let target = self.clone();
        actix_rt::spawn(async move {
            let mut exit = exited.clone();
            loop {
                let accepted = tokio::select! {
                    biased;
                    _ = exit.changed() => return,
                    accepted = listener.accept() => accepted,
                };
                let Ok((stream, _)) = accepted else { return };
                let mut connection = Connection::new(stream);
                if let Some(process) = &mut *target.process.borrow_mut() {
                    process.connections.retain(|known| known.strong_count() > 0);
                    process.connections.push(Rc::downgrade(&connection.stream));
                }
                let (target, mut exit) = (target.clone(), exited.clone());
                actix_rt::spawn(async move {
                    tokio::select! {
                        biased;
                        _ = exit.changed() => {}
                        // A connection error ends the work of a target.
                        _ = target.serve(&mut connection) => {}
                    }
                });
            }
        });
        self.register();
        Ok(())
    }

    /// Ends the process as a kill does: all of its sockets are closed before anything else runs.
    /// The next one listens after `downtime`.
    fn kill(self: &Rc<Self>, downtime: Duration) {
        let Some(process) = self.process.take() else { return };
        let Process { listener, connections, exit, .. } = process;
        for connection in connections.iter().filter_map(Weak::upgrade) {
            // Fails only if the peer has closed the connection.
            let _ = socket2::SockRef::from(&*connection).shutdown(std::net::Shutdown::Both);
        }
        drop(exit);
        // Stops listening although the task that accepts connections still holds the socket.
        let _ = socket2::SockRef::from(&*listener).shutdown(std::net::Shutdown::Both);
        drop(listener);
        if downtime.is_zero() && self.restart().is_ok() {
            return;
        }
        let target = self.clone();
        actix_rt::spawn(async move {
            sleep(downtime).await;
            while target.restart().is_err() {
                sleep(Duration::from_millis(1)).await;
            }
        });
    }

    fn restart(self: &Rc<Self>) -> io::Result<()> {
        self.start(std::net::TcpListener::bind(self.address)?)
    }

    fn born(&self) -> u64 {
        self.process.borrow().as_ref().map_or(0, |process| process.born)
    }

    fn register(&self) {
        if self.process.borrow().is_none() {
            return;
        }
        self.heartbeats.set(self.heartbeats.get() + 1);
        let mut entry = json!({
            "service": self.service, "address": self.address.to_string(), "zone": "laguna",
            "version": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": 0,
            "seq_no": self.heartbeats.get(), "born": self.born(),
        });
        if self.service == MODEL_SERVICE {
            entry["models"] = models();
        }
        self.store.put(REGISTRY_TABLE, &self.id, &entry);
    }

    fn report(&self) -> Value {
        json!({
            "stage": "combined", "busy": false, "models": models(), "seq_no": 0, "queued": 0,
            "running": 0, "kv_used": 0, "kv_total": 100_000, "handles": 0, "born": self.born(),
        })
    }

    /// Serves the requests on a connection.
    async fn serve(self: &Rc<Self>, connection: &mut Connection) -> io::Result<()> {
        loop {
            let head = connection.read_head().await?;
            let (status, body) = match header(&head, "x-request-id") {
                _ if head.starts_with("GET /report") => ("200 OK", self.report().to_string()),
                Some(id) if head.contains("?exchange=") => {
                    match self.respond(connection, &head, id).await? {
                        Played::Sent => continue,
                        Played::Closed => return Ok(()),
                    }
                }
                _ => ("404 Not Found", String::new()),
            };
            connection.read_body(body_end(&head, BodyEnd::Length(0)), &mut Vec::new()).await?;
            let response = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            write_all(&connection.stream, response.as_bytes()).await?;
        }
    }
}

fn models() -> Value {
    json!([{ "name": MODEL, "version": 1, "adapters": [] }])
}
