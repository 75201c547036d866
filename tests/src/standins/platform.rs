//! The platform: a transactional table, an object store, a VM list and a weight store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_http::{Method, Request, StatusCode};
use bytes::Bytes;
use cumintrail_wire::platform::{self, ListedVm, Row, Transaction, TransactionResponse, VmList};
use serde::{Deserialize, Serialize};

use crate::http::{self, HttpResponse, HttpServer, empty, json};

const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Injected faults of the platform.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Fault {
    /// Responds to every request with an error.
    pub down: bool,
    /// Delay before each request is handled, in milliseconds.
    pub slow_ms: u64,
    /// Applies writes and sends no response.
    pub lose_answers: bool,
    /// Applies transactions and sends no response; other writes get theirs.
    pub lose_commits: bool,
    /// Applies transactions and withholds their responses until the fault ends.
    pub hold_commits: bool,
    /// Returns the VM list of this sequence number; zero for the current one.
    pub list_stuck_at: u64,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<String, Row>,
    /// Every key and value written, in order.
    written: Vec<(String, String)>,
    objects: BTreeMap<String, Bytes>,
    lists: Vec<VmList>,
    fault: Fault,
    loads: u32,
    writes: u64,
    reads: u64,
    /// When each transaction was received.
    written_at: Vec<Instant>,
    lists_sent: u64,
}

/// A running platform.
#[derive(Clone)]
pub struct Platform {
    /// The HTTP server.
    pub server: HttpServer,
    state: Arc<Mutex<State>>,
    load_ms: u64,
    load_slots: u32,
}

impl Platform {
    /// Starts a platform whose weight store takes `load_ms` for `load_slots` concurrent loads.
    pub fn spawn(address: SocketAddr, load_ms: u64, load_slots: u32) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let for_server = state.clone();
        let server =
            http::serve(address, move |req| handle(for_server.clone(), req, load_ms, load_slots))?;
        Ok(Self { server, state, load_ms, load_slots })
    }

    /// Returns the address that the server listens on.
    pub const fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns the duration of one weight load, in milliseconds, and how many run at full speed.
    pub const fn weight_store(&self) -> (u64, u32) {
        (self.load_ms, self.load_slots)
    }

    /// Changes some faults and keeps the others.
    pub fn change_fault(&self, change: impl FnOnce(&mut Fault)) {
        change(&mut self.lock().fault);
    }

    /// Replaces all faults.
    pub fn set_fault(&self, fault: Fault) {
        self.lock().fault = fault;
    }

    /// Publishes a new VM list.
    pub fn list_vms(&self, vms: Vec<ListedVm>) {
        let mut state = self.lock();
        let sequence = state.lists.len() as u64 + 1;
        state.lists.push(VmList { sequence, vms });
    }

    /// Returns a row's value.
    pub fn row(&self, key: &str) -> Option<String> {
        self.lock().rows.get(key).map(|r| r.value.clone())
    }

    /// Returns all values that were written to a row, in order.
    pub fn written(&self, key: &str) -> Vec<String> {
        let state = self.lock();
        let of_key = state.written.iter().filter(|(written, _)| written == key);
        of_key.map(|(_, value)| value.clone()).collect()
    }

    /// Returns the number of transactions and of row reads received.
    pub fn table_use(&self) -> (u64, u64) {
        let state = self.lock();
        (state.writes, state.reads)
    }

    /// Returns the number of transactions received since `since`, and the most within one second.
    pub fn writes_since(&self, since: Instant) -> (usize, usize) {
        let state = self.lock();
        let times: Vec<Instant> =
            state.written_at.iter().copied().filter(|at| *at >= since).collect();
        let second = |from: &Instant| {
            times.iter().filter(|at| *at >= from && **at < *from + Duration::from_secs(1)).count()
        };
        (times.len(), times.iter().map(second).max().unwrap_or(0))
    }

    /// Returns the names of all objects that start with `prefix`.
    pub fn objects(&self, prefix: &str) -> Vec<String> {
        self.lock().objects.keys().filter(|name| name.starts_with(prefix)).cloned().collect()
    }

    /// Returns the keys of all rows that start with `prefix`.
    pub fn rows(&self, prefix: &str) -> Vec<String> {
        self.lock().rows.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Replaces the bytes of an object, or removes it if `body` is `None`.
    pub fn damage_object(&self, name: &str, body: Option<Bytes>) {
        let mut state = self.lock();
        match body {
            Some(body) => state.objects.insert(name.to_owned(), body),
            None => state.objects.remove(name),
        };
    }

    /// Returns how often the full VM list was sent.
    pub fn lists_sent(&self) -> u64 {
        self.lock().lists_sent
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("mutex is not poisoned")
    }
}

async fn handle(
    state: Arc<Mutex<State>>,
    mut req: Request,
    load_ms: u64,
    load_slots: u32,
) -> HttpResponse {
    let path = req.path().to_owned();
    let method = req.method().clone();
    if path == "/fault" {
        let fault = http::read(&mut req).await.unwrap_or_default();
        state.lock().expect("mutex is not poisoned").fault = fault;
        return empty(StatusCode::OK);
    }
    let fault = state.lock().expect("mutex is not poisoned").fault;
    actix_rt::time::sleep(Duration::from_millis(fault.slow_ms)).await;
    if fault.down {
        return empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    if let Some(version) = path.strip_prefix("/weights/") {
        return load_weights(&state, version, load_ms, load_slots).await;
    }
    let known = http::header(&req, "if-none-match");
    let body = http::body(&mut req).await;
    let writes = method != Method::GET;
    let response = {
        let mut state = state.lock().expect("mutex is not poisoned");
        match (method, path.as_str()) {
            (Method::POST, "/table") => commit(&mut state, &body),
            (Method::GET, "/vms") => handle_vm_list_request(&mut state, known.as_deref()),
            (method, path) => match (method, path.split_at_checked(7), path.split_at_checked(9)) {
                (Method::GET, Some(("/table/", key)), _) => {
                    state.reads += 1;
                    json(StatusCode::OK, &state.rows.get(key))
                }
                (Method::PUT, _, Some(("/objects/", name))) => {
                    state.objects.insert(name.to_owned(), body);
                    empty(StatusCode::OK)
                }
                (Method::DELETE, _, Some(("/objects/", name))) => {
                    state.objects.remove(name);
                    empty(StatusCode::OK)
                }
                (Method::GET, _, Some(("/objects/", name))) => match state.objects.get(name) {
                    Some(object) => HttpResponse::with_body(
                        StatusCode::OK,
                        actix_http::body::BoxBody::new(object.clone()),
                    ),
                    None => empty(StatusCode::NOT_FOUND),
                },
                (Method::POST, _, _) if path == "/vms" => publish_vm_list(&mut state, &body),
                _ => empty(StatusCode::NOT_FOUND),
            },
        }
    };
    while path == "/table" && state.lock().expect("mutex is not poisoned").fault.hold_commits {
        actix_rt::time::sleep(HOLD_POLL_INTERVAL).await;
    }
    let lost = fault.lose_answers && writes || fault.lose_commits && path == "/table";
    if lost {
        // This exceeds every client timeout; the connection stays open without a response.
        actix_rt::time::sleep(Duration::from_secs(3_600)).await;
    }
    response
}

fn commit(state: &mut State, body: &[u8]) -> HttpResponse {
    let Ok(transaction) = serde_json::from_slice::<Transaction>(body) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    state.writes += 1;
    state.written_at.push(Instant::now());
    let conditions = transaction.conditions.iter();
    let found: Vec<Option<Row>> = conditions.map(|c| state.rows.get(&c.key).cloned()).collect();
    let committed = transaction
        .conditions
        .iter()
        .zip(&found)
        .all(|(c, row)| row.as_ref().map_or(0, |r| r.version) == c.version);
    if committed {
        for write in transaction.writes {
            let version = state.rows.get(&write.key).map_or(0, |r| r.version) + 1;
            match write.value {
                Some(value) => {
                    state.written.push((write.key.clone(), value.clone()));
                    state.rows.insert(write.key, Row { version, value })
                }
                None => state.rows.remove(&write.key),
            };
        }
    }
    json(StatusCode::OK, &TransactionResponse { committed, found, version: None })
}

fn handle_vm_list_request(state: &mut State, known: Option<&str>) -> HttpResponse {
    let list = current_list(state);
    if known == Some(&*platform::vm_list_etag(list.sequence)) {
        return empty(StatusCode::NOT_MODIFIED);
    }
    state.lists_sent += 1;
    json(StatusCode::OK, &list)
}

fn current_list(state: &State) -> VmList {
    match state.fault.list_stuck_at {
        0 => state.lists.last().cloned().unwrap_or_default(),
        at => state.lists.iter().find(|l| l.sequence == at).cloned().unwrap_or_default(),
    }
}

fn publish_vm_list(state: &mut State, body: &[u8]) -> HttpResponse {
    let Ok(vms) = serde_json::from_slice::<Vec<ListedVm>>(body) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let sequence = state.lists.len() as u64 + 1;
    state.lists.push(VmList { sequence, vms });
    empty(StatusCode::OK)
}

/// Responds after `load_ms`, and proportionally later if more than `slots` loads are running.
async fn load_weights(
    state: &Mutex<State>,
    version: &str,
    load_ms: u64,
    slots: u32,
) -> HttpResponse {
    let loads = {
        let mut state = state.lock().expect("mutex is not poisoned");
        state.loads += 1;
        state.loads
    };
    let factor = u64::from(loads.div_ceil(slots.max(1)));
    actix_rt::time::sleep(Duration::from_millis(load_ms * factor)).await;
    state.lock().expect("mutex is not poisoned").loads -= 1;
    json(StatusCode::OK, &version)
}
