//! Callers that keep their connections, and a log of their calls.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::timeout;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::deployment::{API_KEY, HOST};
use crate::replica::{EVENTS_PER_STREAM, event_text};

/// How long a caller waits for one answer.
const REQUEST_DEADLINE: Duration = Duration::from_secs(3);
/// How long a caller waits for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a caller rests between two calls.
const CALL_DELAY: Duration = Duration::from_millis(40);
/// Calls that a caller sends before it connects anew.
const CALLS_PER_CONNECTION: usize = 40;

/// Kinds of calls, by what may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// May run more than once.
    Read,
    /// Runs at most once.
    Hold,
    /// A stream that runs at most once.
    Flow,
    /// A stream that may be resumed.
    Resume,
}

impl CallKind {
    const ALL: [Self; 4] = [Self::Read, Self::Hold, Self::Flow, Self::Resume];

    /// Returns the path of its calls.
    pub const fn path(self) -> &'static str {
        match self {
            Self::Read => "/read/",
            Self::Hold => "/hold/",
            Self::Flow => "/flow/",
            Self::Resume => "/resume/",
        }
    }

    /// Tells whether a call runs at most once.
    pub const fn is_at_most_once(self) -> bool {
        matches!(self, Self::Hold | Self::Flow)
    }

    const fn is_stream(self) -> bool {
        matches!(self, Self::Flow | Self::Resume)
    }
}

/// Describes one call as its caller saw it.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// The call's id.
    pub call_id: String,
    /// Its kind.
    pub kind: CallKind,
    /// The VM that it was sent to.
    pub vm: usize,
    /// When it was sent.
    pub sent_at: Instant,
    /// When the answer ended.
    pub ended_at: Instant,
    /// The status, or zero without an answer.
    pub status: u16,
    /// The seal of the replica.
    pub seal: Option<String>,
    /// The id that the answer names.
    pub response_id: Option<String>,
    /// The body as far as it came.
    pub body: String,
    /// Whether the body came to its proper end.
    pub is_complete: bool,
}

/// Stores the calls of all callers.
pub type CallLog = Rc<RefCell<Vec<CallRecord>>>;

/// Says to which VMs callers connect.
pub type Rotation = Rc<RefCell<Vec<(usize, SocketAddr)>>>;

/// Calls until `stop` says so.
pub async fn run_caller(
    seed: u64,
    number: usize,
    rotation: Rotation,
    call_log: CallLog,
    stop: Rc<RefCell<bool>>,
) {
    let mut rng = StdRng::seed_from_u64(seed ^ (number as u64) << 32);
    let mut calls = 0;
    while !*stop.borrow() {
        let chosen = {
            let vms = rotation.borrow();
            let index = rng.random_range(0..vms.len().max(1));
            vms.get(index).copied()
        };
        let Some((vm, address)) = chosen else {
            actix_rt::time::sleep(CALL_DELAY).await;
            continue;
        };
        let Ok(mut caller) = Caller::connect(vm, address).await else {
            actix_rt::time::sleep(CALL_DELAY).await;
            continue;
        };
        for _ in 0..CALLS_PER_CONNECTION {
            calls += 1;
            let kind = CallKind::ALL[rng.random_range(0..CallKind::ALL.len())];
            let id = format!("{seed:x}-{number}-{calls}");
            let (record, is_reusable) = caller.call(kind, kind.path(), id, API_KEY).await;
            let is_refused = record.status >= 400;
            call_log.borrow_mut().push(record);
            if is_refused {
                actix_rt::time::sleep(CALL_DELAY * 5).await;
            }
            actix_rt::time::sleep(CALL_DELAY.mul_f64(rng.random_range(0.5..1.5))).await;
            if !is_reusable || *stop.borrow() {
                break;
            }
        }
    }
}

/// A connection of a caller, which takes nothing for whole that does not say so.
#[derive(Debug)]
pub struct Caller {
    stream: TcpStream,
    vm: usize,
    input: Vec<u8>,
}

impl Caller {
    /// Connects to a daemon.
    pub async fn connect(vm: usize, address: SocketAddr) -> std::io::Result<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        Ok(Self { stream, vm, input: Vec::new() })
    }

    /// Sends one call and reads its answer; tells whether the connection can be used again.
    pub async fn call(
        &mut self,
        kind: CallKind,
        path: &str,
        id: String,
        key: &str,
    ) -> (CallRecord, bool) {
        let sent_at = Instant::now();
        let mut record = CallRecord {
            call_id: id,
            kind,
            vm: self.vm,
            sent_at,
            ended_at: sent_at,
            status: 0,
            seal: None,
            response_id: None,
            body: String::new(),
            is_complete: false,
        };
        let outcome = timeout(REQUEST_DEADLINE * 2, self.exchange(&mut record, path, key)).await;
        record.ended_at = Instant::now();
        // Whatever goes wrong leaves the answer as far as it came, which is not whole.
        let is_reusable = matches!(outcome, Ok(Ok(true)));
        (record, is_reusable)
    }

    async fn exchange(
        &mut self,
        record: &mut CallRecord,
        path: &str,
        key: &str,
    ) -> std::io::Result<bool> {
        let (method, body) =
            if record.kind == CallKind::Read { ("GET", "") } else { ("POST", "wheels") };
        let mut head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {key}\r\n\
             X-Request-Id: {}\r\nX-Request-Deadline: {}\r\nContent-Length: {}\r\n",
            record.call_id,
            REQUEST_DEADLINE.as_millis(),
            body.len()
        );
        if record.kind.is_stream() {
            head.push_str("X-Token-Usage: 60,6\r\nX-Prefix-Hash: a1:40,b2:20\r\n");
        }
        self.stream.write_all(format!("{head}\r\n{body}").as_bytes()).await?;
        let head = self.read_until("\r\n\r\n").await?;
        let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
        record.status = status.ok_or(std::io::ErrorKind::InvalidData)?;
        record.seal = header(&head, "x-response-seal").map(ToOwned::to_owned);
        record.response_id = header(&head, "x-request-id").map(ToOwned::to_owned);
        if let Some(length) = header(&head, "content-length") {
            let length = length.parse().map_err(|_| std::io::ErrorKind::InvalidData)?;
            record.body = self.read_exact(length).await?;
        } else if header(&head, "transfer-encoding") == Some("chunked") {
            loop {
                let line = self.read_until("\r\n").await?;
                let length = usize::from_str_radix(line.trim(), 16);
                let length = length.map_err(|_| std::io::ErrorKind::InvalidData)?;
                let chunk = self.read_exact(length + 2).await?;
                if length == 0 {
                    break;
                }
                record.body.push_str(&chunk[..length]);
            }
        } else {
            return Err(std::io::ErrorKind::InvalidData.into());
        }
        record.is_complete = true;
        Ok(header(&head, "connection") != Some("close"))
    }

    async fn read_until(&mut self, end: &str) -> std::io::Result<String> {
        loop {
            let found = self.input.windows(end.len()).position(|text| text == end.as_bytes());
            match found {
                Some(start) => return self.read_exact(start + end.len()).await,
                None => self.fill().await?,
            }
        }
    }

    async fn read_exact(&mut self, length: usize) -> std::io::Result<String> {
        while self.input.len() < length {
            self.fill().await?;
        }
        let rest = self.input.split_off(length);
        let text = std::mem::replace(&mut self.input, rest);
        String::from_utf8(text).map_err(|_| std::io::ErrorKind::InvalidData.into())
    }

    async fn fill(&mut self) -> std::io::Result<()> {
        match self.stream.read_buf(&mut self.input).await? {
            0 => Err(std::io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    let mut found = lines.filter(|(n, _)| n.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.trim())
}

impl CallRecord {
    /// Tells whether the call was served.
    pub fn is_served(&self) -> bool {
        self.status == 200 && self.is_complete
    }

    /// Returns what is wrong with the answer by itself.
    pub fn violation(&self) -> Option<String> {
        if self.response_id.as_ref().is_some_and(|id| *id != self.call_id) {
            return Some(format!(
                "MIXED: {} got the answer of {:?}",
                self.call_id, self.response_id
            ));
        }
        if !self.is_served() {
            return None;
        }
        let instance = self.seal.as_deref().and_then(|seal| seal.strip_prefix(&self.call_id));
        let Some(instance) = instance.and_then(|rest| rest.strip_prefix('.')) else {
            return Some(format!(
                "MIXED: {} succeeded under the seal {:?}",
                self.call_id, self.seal
            ));
        };
        if self.kind.is_stream() {
            let expected: Vec<String> = (1..=EVENTS_PER_STREAM).map(event_text).collect();
            let expected = expected.concat();
            return (self.body != expected)
                .then(|| format!("ORDER: {} ended as whole with {:?}", self.call_id, self.body));
        }
        let expected = format!("{} from {instance}", self.call_id);
        (self.body != expected)
            .then(|| format!("MIXED: {} got the body {:?}", self.call_id, self.body))
    }
}
