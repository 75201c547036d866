//! A model engine: streams with event ids, limited prefix cache, KV block export and import.
//!
//! The bytes of a block derive from its key alone, so a corrupted block shows in the response.

mod orders;
mod streaming;

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_http::{Method, Request, StatusCode};
use bytes::Bytes;
use cumintrail_types::{BlockKey, FencingNumber, Incarnation, WeightVersion};
use cumintrail_wire::engine::{
    CacheEvent, EndEvent, EngineRefusal, EngineRefusalReason, GenerateRequest, Report,
};
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, Semaphore};

use self::orders::{cache_events, export, handle_load_order, import, report};
use self::streaming::stream_response;
use crate::http::{self, HttpResponse, HttpServer, empty, json};

const MAX_CACHE_EVENTS: usize = 4_096;
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(30);
const UNREAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Text of each token in a response that was computed from a block with corrupted bytes.
pub const CORRUPTED_TEXT: &str = "!poisoned!";
/// Text of each token in responses of another call (see [`Fault::foreign_answers`]).
pub const FOREIGN_TEXT: &str = "!foreign!";

/// Speed, capacity and reporting delays of an engine.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Prefix blocks that fit in memory.
    pub memory_pieces: usize,
    /// Bytes of an exported block.
    pub block_bytes: usize,
    /// Calls that run concurrently.
    pub slots: usize,
    /// Prompt tokens computed per second.
    pub prefill_per_second: u32,
    /// Time to generate one output token.
    pub token_time: Duration,
    /// Delay before a load report is returned to readers.
    pub report_lag: Duration,
    /// Delay before a cache event is reported.
    pub event_lag: Duration,
    /// Omits the cache events whose number is a multiple of this; zero omits none.
    pub event_gap_every: u64,
    /// Whether load reports carry cache events.
    pub events_in_reports: bool,
    /// Whether load orders with a fencing number below the highest seen are refused.
    pub checks_fencing: bool,
    /// Address of the weight store; `None` loads weights without delay.
    pub weights: Option<SocketAddr>,
    /// Bytes of prompt text per token; a partial token counts as one.
    pub bytes_per_token: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            memory_pieces: 512,
            block_bytes: 4 << 10,
            slots: 8,
            prefill_per_second: 20_000,
            token_time: Duration::from_millis(2),
            report_lag: Duration::from_millis(200),
            event_lag: Duration::from_millis(100),
            event_gap_every: 0,
            events_in_reports: true,
            checks_fencing: true,
            weights: None,
            bytes_per_token: 4,
        }
    }
}

/// Injected faults of an engine.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Fault {
    /// Refuses new calls, as an engine that is leaving does.
    pub leaving: bool,
    /// Breaks each connection after this many events; zero for never.
    pub cut_after: u32,
    /// Sends no more than this many events on each connection and keeps it open; zero for no limit.
    pub silent_after: u32,
    /// Sends events with the id and text of another call.
    pub foreign_answers: bool,
    /// Refuses to resume streams, as if they were unknown.
    pub forget_streams: bool,
}

/// Records a generation request that the engine accepted.
#[derive(Debug, Clone)]
pub struct Generated {
    /// The requested weight version.
    pub version: WeightVersion,
    /// The prompt's text after its last space.
    pub prompt_end: String,
    /// The keys of the prompt's blocks.
    pub pieces: Vec<BlockKey>,
}

struct Stream {
    tokens: Vec<String>,
    end: Option<EndEvent>,
    changed: Arc<Notify>,
    read: Instant,
    cancelled: bool,
    version: WeightVersion,
}

struct State {
    incarnation: Incarnation,
    version: WeightVersion,
    loading: u32,
    fencing: FencingNumber,
    orders: Vec<(FencingNumber, WeightVersion)>,
    memory: VecDeque<BlockKey>,
    cached: HashSet<BlockKey>,
    corrupted: HashSet<BlockKey>,
    staged: HashMap<String, (BlockKey, Bytes)>,
    streams: HashMap<String, Stream>,
    events: VecDeque<(Instant, CacheEvent)>,
    next_event: u64,
    running: u32,
    waiting: u32,
    backlog: u32,
    reports: VecDeque<(Instant, Report)>,
    started: u64,
    generated: Vec<Generated>,
    fault: Fault,
    /// Reads of the separate cache event endpoint.
    event_reads: u64,
}

/// A running engine.
#[derive(Clone)]
pub struct Engine {
    /// The HTTP server.
    pub server: HttpServer,
    inner: Arc<Inner>,
}

struct Inner {
    limits: Limits,
    state: Mutex<State>,
    slots: Semaphore,
    prefill: tokio::sync::Mutex<()>,
}

impl Engine {
    /// Starts an engine that has `version` loaded.
    pub fn spawn(address: SocketAddr, version: u64, limits: Limits) -> std::io::Result<Self> {
        let state = State {
            incarnation: Incarnation(rand::random()),
            version: WeightVersion(version),
            loading: 0,
            fencing: FencingNumber(0),
            orders: Vec::new(),
            memory: VecDeque::new(),
            cached: HashSet::new(),
            corrupted: HashSet::new(),
            staged: HashMap::new(),
            streams: HashMap::new(),
            events: VecDeque::new(),
            next_event: 1,
            running: 0,
            waiting: 0,
            backlog: 0,
            reports: VecDeque::new(),
            started: 0,
            generated: Vec::new(),
            fault: Fault::default(),
            event_reads: 0,
        };
        let inner = Arc::new(Inner {
            limits,
            state: Mutex::new(state),
            slots: Semaphore::new(limits.slots),
            prefill: tokio::sync::Mutex::new(()),
        });
        let for_server = inner.clone();
        let server = http::serve(address, move |req| handle(for_server.clone(), req))?;
        Ok(Self { server, inner })
    }

    /// Returns the address that the engine listens on.
    pub const fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Changes some faults and keeps the others.
    pub fn change_fault(&self, change: impl FnOnce(&mut Fault)) {
        change(&mut self.inner.lock().fault);
    }

    /// Replaces all faults.
    pub fn set_fault(&self, fault: Fault) {
        self.inner.lock().fault = fault;
    }

    /// Evicts all cached blocks, as memory pressure would.
    pub fn evict_all(&self) {
        let mut state = self.inner.lock();
        while let Some(key) = state.memory.pop_front() {
            state.cached.remove(&key);
            state.record_cache_event(key, false);
        }
    }

    /// Returns the number of generation requests that the engine accepted.
    pub fn started(&self) -> u64 {
        self.inner.lock().started
    }

    /// Returns the generation requests accepted since the previous call of this method.
    pub fn take_generated(&self) -> Vec<Generated> {
        std::mem::take(&mut self.inner.lock().generated)
    }

    /// Returns the number of reads of the separate cache event endpoint.
    pub fn event_reads(&self) -> u64 {
        self.inner.lock().event_reads
    }

    /// Returns the load orders that the engine accepted.
    pub fn orders(&self) -> Vec<(FencingNumber, WeightVersion)> {
        self.inner.lock().orders.clone()
    }
}

impl Inner {
    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("mutex is not poisoned")
    }
}

impl State {
    fn record_cache_event(&mut self, key: BlockKey, stored: bool) {
        let event = CacheEvent { number: self.next_event, key, stored };
        self.next_event += 1;
        self.events.push_back((Instant::now(), event));
        if self.events.len() > MAX_CACHE_EVENTS {
            self.events.pop_front();
        }
    }

    fn cache_block(&mut self, key: BlockKey, limit: usize) {
        if self.cached.insert(key) {
            self.memory.push_back(key);
            self.record_cache_event(key, true);
        } else if let Some(at) = self.memory.iter().position(|k| *k == key) {
            self.memory.remove(at);
            self.memory.push_back(key);
        }
        while self.memory.len() > limit {
            let Some(oldest) = self.memory.pop_front() else {
                return;
            };
            self.cached.remove(&oldest);
            self.corrupted.remove(&oldest);
            self.record_cache_event(oldest, false);
        }
    }

    fn report(&self) -> Report {
        Report {
            incarnation: self.incarnation,
            leaving: self.fault.leaving,
            version: self.version,
            loading: self.loading > 0,
            running: self.running,
            waiting: self.waiting,
            prefill_backlog: self.backlog,
        }
    }
}

/// Returns the bytes of a block, derived from its key.
pub fn block_content(key: BlockKey, length: usize) -> Bytes {
    let mut bytes = vec![0; length];
    blake3::Hasher::new().update(&key.0).finalize_xof().fill(&mut bytes);
    bytes.into()
}

/// Returns output token `index` (from zero) for a prompt.
pub fn token_text(prompt: &str, version: WeightVersion, index: usize) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(prompt.as_bytes()).update(&version.0.to_le_bytes()).update(&index.to_le_bytes());
    let hash = hasher.finalize();
    format!(" {:02x}{:02x}", hash.as_bytes()[0], hash.as_bytes()[1])
}

/// Returns the first `tokens` output tokens for a prompt as one text.
pub fn response_text(prompt: &str, version: WeightVersion, tokens: usize) -> String {
    (0..tokens).map(|i| token_text(prompt, version, i)).collect()
}

async fn handle(inner: Arc<Inner>, mut req: Request) -> HttpResponse {
    let path = req.path().to_owned();
    let method = req.method().clone();
    if let Some(call) = path.strip_prefix("/v1/streams/") {
        let last = http::header(&req, "last-event-id").and_then(|v| v.parse().ok()).unwrap_or(0);
        return match method {
            Method::DELETE => cancel(&inner, call),
            _ => resume(&inner, call, last),
        };
    }
    match (method, path.as_str()) {
        (Method::POST, "/v1/generate") => match http::read(&mut req).await {
            Some(request) => generate(&inner, request),
            None => empty(StatusCode::BAD_REQUEST),
        },
        (Method::POST, "/v1/import") => match http::read(&mut req).await {
            Some(order) => import(&inner, order).await,
            None => empty(StatusCode::BAD_REQUEST),
        },
        (Method::POST, "/v1/export") => match http::read(&mut req).await {
            Some(order) => export(&inner, order).await,
            None => empty(StatusCode::BAD_REQUEST),
        },
        (Method::POST, "/v1/orders") => match http::read(&mut req).await {
            Some(order) => handle_load_order(&inner, order).await,
            None => empty(StatusCode::BAD_REQUEST),
        },
        (Method::GET, "/v1/report") => report(&inner, &req),
        (Method::GET, "/v1/cache-events") => cache_events(&inner, &req),
        (Method::POST, "/fault") => {
            let fault = http::read(&mut req).await.unwrap_or_default();
            inner.lock().fault = fault;
            empty(StatusCode::OK)
        }
        _ => empty(StatusCode::NOT_FOUND),
    }
}

fn refuse(reason: EngineRefusalReason) -> HttpResponse {
    json(StatusCode::CONFLICT, &EngineRefusal { reason })
}

fn generate(inner: &Arc<Inner>, request: GenerateRequest) -> HttpResponse {
    let call = request.call.clone();
    {
        let mut state = inner.lock();
        if state.fault.leaving {
            return refuse(EngineRefusalReason::Leaving);
        }
        if request.version != state.version {
            return refuse(EngineRefusalReason::WrongVersion);
        }
        state.started += 1;
        let prompt_end = request.prompt.rsplit(' ').next().unwrap_or_default().to_owned();
        let pieces = request.pieces.clone();
        state.generated.push(Generated { version: request.version, prompt_end, pieces });
        state.waiting += 1;
        let stream = Stream {
            tokens: request.answered.clone(),
            end: None,
            changed: Arc::new(Notify::new()),
            read: Instant::now(),
            cancelled: false,
            version: request.version,
        };
        state.streams.insert(call.clone(), stream);
    }
    let last = request.answered.len() as u32;
    actix_rt::spawn(run(inner.clone(), request));
    stream_response(inner, &call, last)
}

/// Generates a response whether or not a connection reads it, until the stream has been unread for
/// [`UNREAD_TIMEOUT`].
async fn run(inner: Arc<Inner>, request: GenerateRequest) {
    let _slot = inner.slots.acquire().await;
    let tokens_of = |text: &str| (text.len() as u32).div_ceil(inner.limits.bytes_per_token);
    let prompt_tokens = tokens_of(&request.prompt);
    let (cached, imported, is_corrupted) = use_prefix(&inner, &request);
    let obtained = ((cached + imported) * request.piece_tokens).min(prompt_tokens);
    let compute = prompt_tokens - obtained;
    {
        let mut state = inner.lock();
        state.waiting -= 1;
        state.running += 1;
        state.backlog += compute;
    }
    {
        let _turn = inner.prefill.lock().await;
        let speed = f64::from(inner.limits.prefill_per_second.max(1));
        actix_rt::time::sleep(Duration::from_secs_f64(f64::from(compute) / speed)).await;
    }
    {
        let mut state = inner.lock();
        state.backlog -= compute;
        for key in &request.pieces {
            state.cache_block(*key, inner.limits.memory_pieces);
        }
    }
    let total = request.max_tokens as usize;
    for index in request.answered.len()..total {
        actix_rt::time::sleep(inner.limits.token_time).await;
        let mut state = inner.lock();
        let Some(stream) = state.streams.get_mut(&request.call) else {
            break;
        };
        if stream.cancelled || stream.read.elapsed() > UNREAD_TIMEOUT {
            break;
        }
        let text = if is_corrupted {
            CORRUPTED_TEXT.to_owned()
        } else {
            token_text(&request.prompt, stream.version, index)
        };
        stream.tokens.push(text);
        stream.changed.notify_waiters();
    }
    let mut state = inner.lock();
    state.running -= 1;
    if let Some(stream) = state.streams.get_mut(&request.call).filter(|s| !s.cancelled) {
        stream.end = Some(EndEvent {
            call: request.call.clone(),
            reason: "length".into(),
            prompt_tokens,
            cached_tokens: (cached * request.piece_tokens).min(prompt_tokens),
            imported_tokens: (imported * request.piece_tokens).min(prompt_tokens),
            answer_tokens: total as u32,
        });
        stream.changed.notify_waiters();
    }
}

/// Counts the leading blocks that are cached and those that staged imports supply, and returns
/// whether any of them is corrupted.
fn use_prefix(inner: &Inner, request: &GenerateRequest) -> (u32, u32, bool) {
    let mut state = inner.lock();
    let staged: HashMap<BlockKey, Bytes> =
        request.imports.iter().filter_map(|name| state.staged.remove(name)).collect();
    let (mut cached, mut imported, mut is_corrupted) = (0, 0, false);
    for key in &request.pieces {
        if state.cached.contains(key) {
            cached += 1;
            is_corrupted |= state.corrupted.contains(key);
        } else if let Some(bytes) = staged.get(key) {
            imported += 1;
            if *bytes != block_content(*key, inner.limits.block_bytes) {
                state.corrupted.insert(*key);
                is_corrupted = true;
            }
        } else {
            break;
        }
    }
    (cached, imported, is_corrupted)
}

fn cancel(inner: &Inner, call: &str) -> HttpResponse {
    let mut state = inner.lock();
    match state.streams.get_mut(call) {
        Some(stream) => {
            stream.cancelled = true;
            stream.changed.notify_waiters();
            empty(StatusCode::OK)
        }
        None => refuse(EngineRefusalReason::NotFound),
    }
}

fn resume(inner: &Arc<Inner>, call: &str, last: u32) -> HttpResponse {
    {
        let state = inner.lock();
        if state.fault.forget_streams || !state.streams.contains_key(call) {
            return refuse(EngineRefusalReason::NotFound);
        }
    }
    stream_response(inner, call, last)
}
