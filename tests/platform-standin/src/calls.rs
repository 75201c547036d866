//! Callers with persistent connections, and the log of what they observed.

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
use crate::replica::{CRASHING_PART_PREFIX, CRASHING_QUERY_PREFIX, EVENTS_PER_STREAM, event_text};

/// Deadline that a request states. The caller itself waits for twice as long.
const REQUEST_DEADLINE: Duration = Duration::from_secs(3);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Mean delay between two calls of a caller; also the delay if no VM can be connected to.
const CALL_DELAY: Duration = Duration::from_millis(40);
/// Calls that a caller sends before it opens a new connection.
const CALLS_PER_CONNECTION: usize = 40;
/// The calls of one connection in so many state no parts, where some do not.
const CONNECTIONS_PER_OMISSION: usize = 4;
/// The parts of the prompts of sound calls.
const SOUND_PARTS: &str = "a1:40,b2:20";
/// Calls with a part that crashes engines come for [`CRASHING_CALLS_DURATION`] of each such period,
/// with a new part in each.
const CRASHING_PART_PERIOD: Duration = Duration::from_secs(12);
const CRASHING_CALLS_DURATION: Duration = Duration::from_secs(9);
/// Mean delay between two of these calls.
const CRASHING_CALL_DELAY: Duration = Duration::from_millis(150);
/// Mean delay between two repeats of a request that crashes replicas; two of them may overlap.
const CRASHING_REPEAT_DELAY: Duration = Duration::from_millis(350);

/// Kinds of calls, by whether they may be executed or resumed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A plain call that may be executed more than once.
    Read,
    /// A plain call that must be executed at most once.
    Hold,
    /// A streamed call that must be executed at most once.
    Flow,
    /// A streamed call that may be resumed.
    Resume,
}

impl CallKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Read, Self::Hold, Self::Flow, Self::Resume];

    /// Returns the path prefix of the route for this kind of call.
    pub const fn path(self) -> &'static str {
        match self {
            Self::Read => "/read/",
            Self::Hold => "/hold/",
            Self::Flow => "/flow/",
            Self::Resume => "/resume/",
        }
    }

    /// Returns whether a call must be executed at most once.
    pub const fn is_at_most_once(self) -> bool {
        matches!(self, Self::Hold | Self::Flow)
    }

    /// Returns whether the response is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Flow | Self::Resume)
    }
}

/// Records one call as its caller observed it.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// The request id that the caller sent.
    pub call_id: String,
    /// The kind of the call.
    pub kind: CallKind,
    /// Index of the VM that the call was sent to.
    pub vm: usize,
    /// When the caller sent the request.
    pub sent_at: Instant,
    /// When the response ended, or the caller stopped waiting for it.
    pub ended_at: Instant,
    /// The HTTP status; zero if no response arrived.
    pub status: u16,
    /// The seal by which the replica identifies the call and itself, from `x-response-seal`.
    pub seal: Option<String>,
    /// The request id that the response carries.
    pub response_id: Option<String>,
    /// The body; only its complete chunks if the response was interrupted.
    pub body: String,
    /// Whether the body was received up to its end as declared by the HTTP framing.
    pub is_complete: bool,
}

/// The finished calls of all callers.
pub type CallLog = Rc<RefCell<Vec<CallRecord>>>;

/// The VMs that callers connect to, as index and address; kept up to date by the balancer.
pub type Rotation = Rc<RefCell<Vec<(usize, SocketAddr)>>>;

/// Sends random calls one after the other until `stop` is set; those of one connection in
/// `CONNECTIONS_PER_OMISSION` state no parts if `omits_parts` is set.
pub async fn run_caller(
    seed: u64,
    number: usize,
    omits_parts: bool,
    rotation: Rotation,
    call_log: CallLog,
    stop: Rc<RefCell<bool>>,
) {
    let mut rng = StdRng::seed_from_u64(seed ^ (number as u64) << 32);
    let (mut calls, mut connections) = (0, 0);
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
        connections += 1;
        if omits_parts && (number + connections).is_multiple_of(CONNECTIONS_PER_OMISSION) {
            caller.parts.clear();
        }
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

/// Sends streamed calls with a part that crashes engines until `stop` is set, each over a connection
/// of its own. They share their other parts with sound calls.
pub async fn run_crashing_caller(
    seed: u64,
    rotation: Rotation,
    call_log: CallLog,
    stop: Rc<RefCell<bool>>,
) {
    let mut rng = StdRng::seed_from_u64(!seed);
    let started_at = Instant::now();
    let mut calls = 0;
    while !*stop.borrow() {
        actix_rt::time::sleep(CRASHING_CALL_DELAY.mul_f64(rng.random_range(0.5..1.5))).await;
        let elapsed = started_at.elapsed().as_millis();
        let period = elapsed / CRASHING_PART_PERIOD.as_millis();
        if elapsed % CRASHING_PART_PERIOD.as_millis() >= CRASHING_CALLS_DURATION.as_millis() {
            continue;
        }
        let chosen = {
            let vms = rotation.borrow();
            let index = rng.random_range(0..vms.len().max(1));
            vms.get(index).copied()
        };
        calls += 1;
        let (seed, call_log) = (format!("{seed:x}"), call_log.clone());
        let kind = if rng.random() { CallKind::Flow } else { CallKind::Resume };
        // The next call does not wait for the end of this one.
        actix_rt::spawn(async move {
            let Some((vm, address)) = chosen else { return };
            let Ok(mut caller) = Caller::connect(vm, address).await else { return };
            caller.parts = format!("a1:40,{CRASHING_PART_PREFIX}{period}:10,{calls:x}:10");
            let id = format!("{seed}-crashing-{calls}");
            let (record, _) = caller.call(kind, kind.path(), id, API_KEY).await;
            call_log.borrow_mut().push(record);
        });
    }
}

/// Repeats a request that crashes replicas until `stop` is set, at random VMs, under a new id each time
/// and over a connection of its own. Each `CRASHING_PART_PERIOD` has another request.
pub async fn run_crashing_repeater(
    seed: u64,
    rotation: Rotation,
    call_log: CallLog,
    stop: Rc<RefCell<bool>>,
) {
    let mut rng = StdRng::seed_from_u64(seed.rotate_left(16));
    let started_at = Instant::now();
    let mut repeats = 0;
    while !*stop.borrow() {
        let delay = CRASHING_REPEAT_DELAY.mul_f64(rng.random_range(0.0..2.0));
        actix_rt::time::sleep(delay).await;
        let elapsed = started_at.elapsed().as_millis();
        let period = elapsed / CRASHING_PART_PERIOD.as_millis();
        if elapsed % CRASHING_PART_PERIOD.as_millis() >= CRASHING_CALLS_DURATION.as_millis() {
            continue;
        }
        let chosen = {
            let vms = rotation.borrow();
            let index = rng.random_range(0..vms.len().max(1));
            vms.get(index).copied()
        };
        repeats += 1;
        let call_log = call_log.clone();
        let kind = CallKind::ALL[(seed as usize + period as usize) % CallKind::ALL.len()];
        let path = format!("{}?{CRASHING_QUERY_PREFIX}{period}", kind.path());
        let id = format!("{seed:x}-repeated-{repeats}");
        actix_rt::spawn(async move {
            let Some((vm, address)) = chosen else { return };
            let Ok(mut caller) = Caller::connect(vm, address).await else { return };
            let (record, _) = caller.call(kind, &path, id, API_KEY).await;
            call_log.borrow_mut().push(record);
        });
    }
}

/// A connection of a caller. It accepts only responses whose end is declared by a length or by
/// chunks.
#[derive(Debug)]
pub struct Caller {
    stream: TcpStream,
    vm: usize,
    input: Vec<u8>,
    /// The parts of the prompts of streamed calls; none are sent if it is empty.
    parts: String,
}

impl Caller {
    /// Connects to the daemon of the VM at `address`.
    pub async fn connect(vm: usize, address: SocketAddr) -> std::io::Result<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        Ok(Self { stream, vm, input: Vec::new(), parts: SOUND_PARTS.into() })
    }

    /// Sends one call and reads its response; also returns whether the connection can be reused.
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
        // After an error or a timeout the record contains what was read until then, and is not
        // marked as complete.
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
            head.push_str("X-Token-Usage: 60,6\r\n");
            if !self.parts.is_empty() {
                head.push_str("X-Prefix-Hash: ");
                head.push_str(&self.parts);
                head.push_str("\r\n");
            }
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
    /// Returns whether the caller received a complete response with status 200.
    pub fn is_served(&self) -> bool {
        self.status == 200 && self.is_complete
    }

    /// Returns the rule that this response breaks, judged without the log of executions.
    pub fn violation(&self) -> Option<String> {
        if self.response_id.as_ref().is_some_and(|id| *id != self.call_id) {
            return Some(format!(
                "MIXED: {} got the response of {:?}",
                self.call_id, self.response_id
            ));
        }
        if !self.is_served() {
            return None;
        }
        let instance = self.seal.as_deref().and_then(|seal| seal.strip_prefix(&self.call_id));
        let Some(instance) = instance.and_then(|rest| rest.strip_prefix('.')) else {
            return Some(format!(
                "MIXED: {} succeeded with the seal {:?}",
                self.call_id, self.seal
            ));
        };
        if self.kind.is_stream() {
            let expected: Vec<String> = (1..=EVENTS_PER_STREAM).map(event_text).collect();
            let expected = expected.concat();
            return (self.body != expected).then(|| {
                format!("ORDER: {} completed with the body {:?}", self.call_id, self.body)
            });
        }
        let expected = format!("{} from {instance}", self.call_id);
        (self.body != expected)
            .then(|| format!("MIXED: {} got the body {:?}", self.call_id, self.body))
    }
}
