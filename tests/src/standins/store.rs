//! A store VM: memory and disk behind one link of limited bandwidth.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Method, Request, StatusCode};
use bytes::Bytes;
use cumintrail_types::{BlockKey, Digest, Incarnation, Sealed, Tier, WriteId};
use cumintrail_wire::store::{
    BlockChange, ChangesResponse, DIGEST_HEADER, ListResponse, ListedBlock, WRITE_ID_HEADER,
    WriteResponse,
};
use serde::{Deserialize, Serialize};

use crate::http::{self, HttpResponse, HttpServer, empty, json};

/// Changes that the log retains.
const MAX_LOGGED_CHANGES: usize = 4_096;

/// Capacity and bandwidth of a store.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Bytes in memory; blocks beyond them go to disk.
    pub memory_bytes: u64,
    /// Bytes in memory and on disk together.
    pub capacity_bytes: u64,
    /// Bandwidth of the link, in bytes per second.
    pub link_per_second: u64,
    /// Read bandwidth of the disk, in bytes per second.
    pub disk_per_second: u64,
}

/// Injected faults of a store.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Fault {
    /// Stores only the first half of each written block and lists it as complete.
    pub torn_writes: bool,
    /// Refuses writes as if the store were full.
    pub full: bool,
    /// Divides the transfer speed; zero leaves it unchanged.
    pub slow_factor: u64,
    /// Responds to every request with an error.
    pub down: bool,
}

struct Block {
    sealed: Sealed,
    tier: Tier,
    bytes: Bytes,
}

struct State {
    incarnation: Incarnation,
    blocks: BTreeMap<BlockKey, Block>,
    /// The latest changes, oldest first.
    log: VecDeque<BlockChange>,
    /// Sequence number of the newest change; zero before the first.
    newest: u64,
    fault: Fault,
    limits: Limits,
    sent_bytes: u64,
    listed_bytes: u64,
}

impl State {
    fn insert(&mut self, block: Block) {
        let Block { sealed, tier, .. } = block;
        self.blocks.insert(sealed.key, block);
        self.record_change(BlockChange::Sealed(ListedBlock { sealed, tier }));
    }

    fn remove(&mut self, key: BlockKey) {
        if let Some(block) = self.blocks.remove(&key) {
            self.record_change(BlockChange::Freed { key, write_id: block.sealed.write_id });
        }
    }

    fn record_change(&mut self, change: BlockChange) {
        self.newest += 1;
        self.log.push_back(change);
        if self.log.len() > MAX_LOGGED_CHANGES {
            self.log.pop_front();
        }
    }
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    /// The HTTP server.
    pub server: HttpServer,
    state: Arc<Mutex<State>>,
}

impl Store {
    /// Starts an empty store.
    pub fn spawn(address: SocketAddr, limits: Limits) -> std::io::Result<Self> {
        let state = State {
            incarnation: Incarnation(rand::random()),
            blocks: BTreeMap::new(),
            log: VecDeque::new(),
            newest: 0,
            fault: Fault::default(),
            limits,
            sent_bytes: 0,
            listed_bytes: 0,
        };
        let state = Arc::new(Mutex::new(state));
        let link = Arc::new(tokio::sync::Mutex::new(()));
        let for_server = state.clone();
        let server =
            http::serve(address, move |req| handle(for_server.clone(), link.clone(), req))?;
        Ok(Self { server, state })
    }

    /// Returns the address that the server listens on.
    pub const fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Changes some faults and keeps the others.
    pub fn change_fault(&self, change: impl FnOnce(&mut Fault)) {
        change(&mut self.lock().fault);
    }

    /// Replaces all faults.
    pub fn set_fault(&self, fault: Fault) {
        self.lock().fault = fault;
    }

    /// Returns the sealed blocks.
    pub fn blocks(&self) -> Vec<Sealed> {
        self.lock().blocks.values().map(|b| b.sealed).collect()
    }

    /// Adds sealed blocks without their bytes, which fills directories cheaply.
    pub fn seal(&self, blocks: impl Iterator<Item = (Sealed, Tier)>) {
        let mut state = self.lock();
        for (sealed, tier) in blocks {
            state.insert(Block { sealed, tier, bytes: Bytes::new() });
        }
    }

    /// Frees all blocks, as a store does that needs space.
    pub fn free_all(&self) {
        let mut state = self.lock();
        let keys: Vec<BlockKey> = state.blocks.keys().copied().collect();
        for key in keys {
            state.remove(key);
        }
    }

    /// Clears the change log; the blocks stay.
    pub fn discard_change_log(&self) {
        self.lock().log.clear();
    }

    /// Replaces the bytes of all blocks with zeros and keeps their seals, as a faulty store would.
    pub fn corrupt_all(&self) {
        for block in self.lock().blocks.values_mut() {
            block.bytes = vec![0; block.bytes.len()].into();
        }
    }

    /// Returns the bytes of blocks sent to readers.
    pub fn sent_bytes(&self) -> u64 {
        self.lock().sent_bytes
    }

    /// Returns the bytes of listings and change pages sent.
    pub fn listed_bytes(&self) -> u64 {
        self.lock().listed_bytes
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("mutex is not poisoned")
    }
}

async fn handle(
    state: Arc<Mutex<State>>,
    link: Arc<tokio::sync::Mutex<()>>,
    mut req: Request,
) -> HttpResponse {
    let path = req.path().to_owned();
    if path == "/fault" {
        let fault = http::read(&mut req).await.unwrap_or_default();
        state.lock().expect("mutex is not poisoned").fault = fault;
        return empty(StatusCode::OK);
    }
    if state.lock().expect("mutex is not poisoned").fault.down {
        return empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    let key = path.strip_prefix("/blocks/").and_then(|text| text.parse::<BlockKey>().ok());
    match (req.method().clone(), key) {
        (Method::GET, None) if path == "/blocks" => list(&state, &req),
        (Method::GET, None) if path == "/changes" => changes(&state, &req),
        (Method::GET, Some(key)) => read(&state, &link, key, &req).await,
        (Method::PUT, Some(key)) => write(&state, &link, key, req).await,
        (Method::DELETE, Some(key)) => free(&state, key, &req),
        _ => empty(StatusCode::NOT_FOUND),
    }
}

fn list(state: &Mutex<State>, req: &Request) -> HttpResponse {
    let mut state = state.lock().expect("mutex is not poisoned");
    let after = http::query(req, "after").and_then(|text| text.parse::<BlockKey>().ok());
    let limit = http::query(req, "limit").and_then(|text| text.parse().ok()).unwrap_or(1_000);
    let from = after.map_or(Bound::Unbounded, Bound::Excluded);
    let listed = state.blocks.range((from, Bound::Unbounded)).map(|(_, block)| block);
    let mut blocks: Vec<ListedBlock> =
        listed.take(limit + 1).map(|b| ListedBlock { sealed: b.sealed, tier: b.tier }).collect();
    let more = blocks.len() > limit;
    blocks.truncate(limit);
    let listing =
        ListResponse { incarnation: state.incarnation, newest: state.newest, blocks, more };
    respond_counted(&mut state, &listing)
}

fn changes(state: &Mutex<State>, req: &Request) -> HttpResponse {
    let mut state = state.lock().expect("mutex is not poisoned");
    let number = |name| http::query(req, name).and_then(|text| text.parse::<u64>().ok());
    let (after, limit) = (number("after").unwrap_or(0), number("limit").unwrap_or(1_000));
    let oldest = state.newest - state.log.len() as u64 + 1;
    let skipped = (after + 1).saturating_sub(oldest) as usize;
    let response = ChangesResponse {
        incarnation: state.incarnation,
        oldest,
        newest: state.newest,
        held: state.blocks.len() as u64,
        changes: state.log.iter().skip(skipped).take(limit as usize).copied().collect(),
    };
    respond_counted(&mut state, &response)
}

/// Returns a JSON response and adds its length to `listed_bytes`.
fn respond_counted<T: Serialize>(state: &mut State, response: &T) -> HttpResponse {
    state.listed_bytes += serde_json::to_vec(response).map_or(0, |body| body.len() as u64);
    json(StatusCode::OK, response)
}

async fn read(
    state: &Mutex<State>,
    link: &tokio::sync::Mutex<()>,
    key: BlockKey,
    req: &Request,
) -> HttpResponse {
    let (bytes, write_id, pause) = {
        let mut state = state.lock().expect("mutex is not poisoned");
        let Some(block) = state.blocks.get(&key) else {
            return empty(StatusCode::NOT_FOUND);
        };
        let tag = format!("\"{}\"", block.sealed.write_id);
        if http::header(req, "if-match").is_some_and(|wanted| wanted != tag) {
            return empty(StatusCode::PRECONDITION_FAILED);
        }
        let (bytes, write_id, tier) = (block.bytes.clone(), block.sealed.write_id, block.tier);
        let length = bytes.len() as u64;
        state.sent_bytes += length;
        let pause = transfer_time(&state, length, tier);
        (bytes, write_id, pause)
    };
    let _held = link.lock().await;
    actix_rt::time::sleep(pause).await;
    let mut response = HttpResponse::with_body(StatusCode::OK, BoxBody::new(bytes));
    if let Ok(tag) = format!("\"{write_id}\"").parse() {
        response.headers_mut().insert(actix_http::header::ETAG, tag);
    }
    response
}

async fn write(
    state: &Mutex<State>,
    link: &tokio::sync::Mutex<()>,
    key: BlockKey,
    mut req: Request,
) -> HttpResponse {
    let write_id = http::header(&req, WRITE_ID_HEADER).and_then(|v| v.parse::<WriteId>().ok());
    let digest = http::header(&req, DIGEST_HEADER).and_then(|v| v.parse::<Digest>().ok());
    let (Some(write_id), Some(digest)) = (write_id, digest) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let mut bytes = http::body(&mut req).await;
    let length = cumintrail_types::Bytes(bytes.len() as u64);
    let pause =
        transfer_time(&state.lock().expect("mutex is not poisoned"), length.0, Tier::Memory);
    let _held = link.lock().await;
    actix_rt::time::sleep(pause).await;

    let mut state = state.lock().expect("mutex is not poisoned");
    let used: u64 = state.blocks.values().map(|b| b.bytes.len() as u64).sum();
    if state.fault.full || used + length.0 > state.limits.capacity_bytes {
        return empty(StatusCode::INSUFFICIENT_STORAGE);
    }
    if state.fault.torn_writes {
        bytes.truncate(bytes.len() / 2);
    } else if Digest::of(&bytes) != digest {
        return empty(StatusCode::BAD_REQUEST);
    }
    let tier = if used + length.0 <= state.limits.memory_bytes { Tier::Memory } else { Tier::Disk };
    let sealed = Sealed { key, write_id, digest, length };
    state.insert(Block { sealed, tier, bytes });
    json(StatusCode::OK, &WriteResponse { write_id, digest, length, tier })
}

fn free(state: &Mutex<State>, key: BlockKey, req: &Request) -> HttpResponse {
    let mut state = state.lock().expect("mutex is not poisoned");
    let Some(block) = state.blocks.get(&key) else {
        return empty(StatusCode::NOT_FOUND);
    };
    let tag = format!("\"{}\"", block.sealed.write_id);
    if http::header(req, "if-match").as_ref() != Some(&tag) {
        return empty(StatusCode::PRECONDITION_FAILED);
    }
    state.remove(key);
    empty(StatusCode::OK)
}

fn transfer_time(state: &State, length: u64, tier: Tier) -> Duration {
    let limits = &state.limits;
    let speed = match tier {
        Tier::Memory => limits.link_per_second,
        Tier::Disk => limits.link_per_second.min(limits.disk_per_second),
    };
    let speed = speed / state.fault.slow_factor.max(1);
    Duration::from_secs_f64(length as f64 / speed.max(1) as f64)
}
