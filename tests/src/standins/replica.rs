//! A target that responds to relayed calls with scripted bytes, pauses and closes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The size of one write of bytes that are sent without end.
const REPEATED_BYTES: usize = 64 << 10;

/// One step of a scripted response.
#[derive(Debug, Clone)]
pub enum Step {
    /// Sends bytes; `{id}` is replaced with the call's id.
    Send(String),
    /// Sends bytes again and again until the peer closes the connection.
    Repeat(String),
    /// Waits; a close or bytes from the peer meanwhile end the script.
    Pause(Duration),
    /// Closes the connection normally.
    Close,
    /// Resets the connection.
    Reset,
    /// Ends the process: all connections are reset, and new ones are refused.
    Crash,
    /// Kills the process: its system closes all connections normally, and new ones are refused.
    Kill,
    /// Kills the process, and starts another one at the same address without a gap.
    Restart,
    /// Closes all connections that have no call.
    CloseIdle,
    /// Begins a graceful stop while another process, with another instance name, listens at the
    /// address: connections without a call are closed, and the calls go on.
    HandOver,
}

/// How the process of a replica has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Exit {
    Crashed,
    Killed,
}

/// Responds to relayed calls by a script.
#[derive(Debug, Clone)]
pub struct Replica {
    address: SocketAddr,
    heads: Arc<Mutex<Vec<String>>>,
    ended: Arc<Mutex<usize>>,
    exit: watch::Sender<Option<Exit>>,
    /// Counts the processes that were started at the address after the first one.
    restarts: watch::Sender<u64>,
    /// Counts the times at which connections without a call were closed.
    idle_closes: watch::Sender<u64>,
    has_successor: watch::Sender<bool>,
}

impl Replica {
    /// Listens on a free loopback port; `script` receives the call's sequence number, from zero.
    pub async fn bind(script: impl Fn(usize) -> Vec<Step> + 'static) -> std::io::Result<Self> {
        Self::bind_script(move |number, _| script(number)).await
    }

    /// Listens on a free loopback port; `script` receives the head of the call.
    pub async fn bind_by_head(
        script: impl Fn(&str) -> Vec<Step> + 'static,
    ) -> std::io::Result<Self> {
        Self::bind_script(move |_, head| script(head)).await
    }

    async fn bind_script(
        script: impl Fn(usize, &str) -> Vec<Step> + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (heads, ended) = (Arc::default(), Arc::default());
        let exit = watch::Sender::new(None);
        let (restarts, idle_closes) = (watch::Sender::new(0), watch::Sender::new(0));
        let has_successor = watch::Sender::new(false);
        let replica = Self { address, heads, ended, exit, restarts, idle_closes, has_successor };
        let (served, script) = (replica.clone(), std::rc::Rc::new(script));
        let mut exit = replica.exit.subscribe();
        actix_rt::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    _ = exit.wait_for(Option::is_some) => return,
                };
                let Ok((stream, _)) = accepted else { return };
                let (served, script) = (served.clone(), script.clone());
                actix_rt::spawn(async move {
                    // A connection error ends the script, as it ends the work of a real target.
                    let _ = served.serve(stream, &*script).await;
                    *served.ended.lock().unwrap_or_else(PoisonError::into_inner) += 1;
                });
            }
        });
        Ok(replica)
    }

    /// Returns the address that the replica listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the head and body of every call received, as one text per call.
    pub fn calls(&self) -> Vec<String> {
        self.heads.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the number of connections that have ended.
    pub fn ended(&self) -> usize {
        *self.ended.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the process: all connections are reset, and new ones are refused.
    pub fn crash(&self) {
        self.exit.send_replace(Some(Exit::Crashed));
    }

    /// Kills the process, and starts another one at the same address without a gap.
    pub fn restart(&self) {
        self.restarts.send_modify(|n| *n += 1);
    }

    /// Returns whether the process has ended.
    pub fn has_crashed(&self) -> bool {
        *self.exit.borrow() == Some(Exit::Crashed)
    }

    /// Returns what the registry of a stand-in lists as the start of the first process, raised by one
    /// for each later one.
    fn process_start(&self) -> u64 {
        1 + *self.restarts.borrow()
    }

    async fn serve(
        &self,
        mut stream: TcpStream,
        script: &impl Fn(usize, &str) -> Vec<Step>,
    ) -> std::io::Result<()> {
        if *self.has_successor.borrow() {
            return serve_successor(&mut stream).await;
        }
        let (mut exit, mut restarts) = (self.exit.subscribe(), self.restarts.subscribe());
        let ended = tokio::select! {
            ended = self.serve_calls(&mut stream, script) => ended,
            _ = exit.wait_for(Option::is_some) => Ok(()),
            _ = restarts.changed() => Ok(()),
        };
        if self.has_crashed() {
            return socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
        ended
    }

    async fn serve_calls(
        &self,
        stream: &mut TcpStream,
        script: &impl Fn(usize, &str) -> Vec<Step>,
    ) -> std::io::Result<()> {
        let mut idle_closes = self.idle_closes.subscribe();
        loop {
            idle_closes.mark_unchanged();
            let call = tokio::select! {
                call = read_call(stream) => call?,
                _ = idle_closes.changed() => return Ok(()),
            };
            if call.starts_with("OPTIONS * ") {
                let start = self.process_start();
                let head = format!(
                    "HTTP/1.1 204 No Content\r\nx-cumintrail-process-start: {start}\r\n\r\n"
                );
                stream.write_all(head.as_bytes()).await?;
                continue;
            }
            let id = header(&call, "x-cumintrail-call").unwrap_or_default().to_owned();
            let number = {
                let mut heads = self.heads.lock().unwrap_or_else(PoisonError::into_inner);
                heads.push(call.clone());
                heads.len() - 1
            };
            for step in script(number, &call) {
                match step {
                    Step::Send(text) => {
                        stream.write_all(text.replace("{id}", &id).as_bytes()).await?;
                    }
                    Step::Repeat(text) => {
                        let block = text.repeat((REPEATED_BYTES / text.len()).max(1));
                        loop {
                            stream.write_all(block.as_bytes()).await?;
                        }
                    }
                    Step::Pause(time) => {
                        // A close by the peer ends the work.
                        let mut byte = [0];
                        let closed = stream.read(&mut byte);
                        if let Ok(read) = actix_rt::time::timeout(time, closed).await {
                            read?;
                            return Ok(());
                        }
                    }
                    Step::Close => return Ok(()),
                    Step::Reset => {
                        actix_rt::time::sleep(Duration::from_millis(30)).await;
                        return socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
                    }
                    Step::Crash => {
                        self.crash();
                        return Ok(());
                    }
                    Step::Kill => {
                        self.exit.send_replace(Some(Exit::Killed));
                        return Ok(());
                    }
                    Step::Restart => {
                        self.restart();
                        return Ok(());
                    }
                    Step::CloseIdle => self.idle_closes.send_modify(|n| *n += 1),
                    Step::HandOver => {
                        self.has_successor.send_replace(true);
                        self.idle_closes.send_modify(|n| *n += 1);
                    }
                }
            }
        }
    }
}

/// Responds to all requests that they were meant for another instance.
async fn serve_successor(stream: &mut TcpStream) -> std::io::Result<()> {
    const MISDIRECTED: &str = "HTTP/1.1 421 Misdirected Request\r\n\
        x-cumintrail-instance: successor\r\ncontent-length: 0\r\n\r\n";
    loop {
        read_call(stream).await?;
        stream.write_all(MISDIRECTED.as_bytes()).await?;
    }
}

/// Reads a request head and a body of the length in its `content-length`.
async fn read_call(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut call = Vec::new();
    while !call.ends_with(b"\r\n\r\n") {
        call.push(stream.read_u8().await?);
    }
    let head = String::from_utf8_lossy(&call).into_owned();
    let length = header(&head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    Ok(head + &String::from_utf8_lossy(&body))
}

/// Returns the value of a header in a request head.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    let mut found = lines.filter(|(n, _)| n.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.trim())
}
