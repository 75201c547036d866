//! The platform's row store over HTTP: reads of tables, a change feed and conditional transactions.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, Request, StatusCode};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use cumintrail_tests::http::{self, HttpResponse, HttpServer, empty, json, query};
use serde::Deserialize;
use serde_json::{Value, json};

/// The table of the operators' rows.
pub const OPERATOR_TABLE: &str = "op";
/// The table of the registry entries of replicas.
pub const REGISTRY_TABLE: &str = "servers";
/// How often a waiting request of the change feed checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long a response is withheld by [`StoreFault::Silent`] and [`StoreFault::LosesResponses`].
const SILENT_RESPONSE_DELAY: Duration = Duration::from_secs(30);

/// Maximum number of rows in a response of `/rows-get`.
const MAX_PAGE_ROWS: usize = 500;
/// Maximum length of the name of a table and of a key, in bytes.
const MAX_NAME_BYTES: usize = 200;
/// Minimum time between two copies of the rows.
const COPY_INTERVAL: Duration = Duration::from_millis(250);
/// Number of copies that are kept.
const MAX_COPIES: usize = 20;
/// Carries how often the store was restored from a copy.
const ERA: HeaderName = HeaderName::from_static("store-era");

/// Selects the fault that the store simulates.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Refuses each request at once with status 503.
    Unavailable,
    /// Executes no request, and refuses it with status 503 only after 30 s.
    Silent,
    /// Executes transactions, but withholds their responses for 30 s.
    LosesResponses,
}

/// Serves rows over HTTP; clones share the same rows.
#[derive(Debug, Clone)]
pub struct RowStore {
    state: Arc<Mutex<State>>,
    started: Instant,
}

#[derive(Debug)]
struct State {
    /// How often the store was restored from a copy.
    era: u64,
    version: u64,
    rows: BTreeMap<RowName, StoredRow>,
    copies: VecDeque<RowsCopy>,
    /// The change feed has discarded changes up to this version.
    discarded_through: u64,
    fault: StoreFault,
    max_page_rows: usize,
    /// The number of requests for changes, by table.
    feed_requests: BTreeMap<String, usize>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            era: 0,
            version: 0,
            rows: BTreeMap::new(),
            copies: VecDeque::new(),
            discarded_through: 0,
            fault: StoreFault::None,
            max_page_rows: MAX_PAGE_ROWS,
            feed_requests: BTreeMap::new(),
        }
    }
}

/// The rows at some moment.
#[derive(Debug)]
struct RowsCopy {
    taken_at: Instant,
    version: u64,
    rows: BTreeMap<RowName, StoredRow>,
}

/// Identifies a row; the rows of a table and a part are in the order of their keys.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct RowName {
    table: String,
    part: String,
    key: String,
}

#[derive(Debug, Clone)]
struct StoredRow {
    version: u64,
    /// `None` after the row was removed.
    value: Option<Vec<u8>>,
}

#[derive(Debug, Default, Deserialize)]
struct TransactionRequest {
    #[serde(default)]
    expected: Vec<TransactionEntry>,
    #[serde(default)]
    put: Vec<TransactionEntry>,
    #[serde(default)]
    remove: Vec<TransactionEntry>,
}

#[derive(Debug, Deserialize)]
struct TransactionEntry {
    table: String,
    #[serde(default)]
    part: String,
    key: String,
    #[serde(default)]
    row_version: u64,
    #[serde(default)]
    value: String,
}

impl RowName {
    fn without_part(table: &str, key: &str) -> Self {
        Self { table: table.into(), part: String::new(), key: key.into() }
    }
}

impl TransactionEntry {
    fn name(&self) -> RowName {
        RowName { table: self.table.clone(), part: self.part.clone(), key: self.key.clone() }
    }
}

impl RowStore {
    /// Starts the HTTP server at `address`; port 0 selects a free port.
    pub fn bind(address: SocketAddr) -> std::io::Result<(Self, HttpServer)> {
        let store = Self { state: Arc::default(), started: Instant::now() };
        let handler = store.clone();
        let running = http::serve(address, move |req| {
            let handler = handler.clone();
            async move { handler.handle(req).await }
        })?;
        Ok((store, running))
    }

    /// Writes a row without a condition, on behalf of operators and replicas.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.put_bytes(table, key, value.to_string().into_bytes());
    }

    /// Writes a row whose value need not be JSON, without a condition.
    pub fn put_bytes(&self, table: &str, key: &str, value: Vec<u8>) {
        self.state().write(RowName::without_part(table, key), Some(value));
    }

    /// Writes a row of a part of a table without a condition.
    pub fn put_in_part(&self, table: &str, part: &str, key: &str, value: &Value) {
        let name = RowName { part: part.into(), ..RowName::without_part(table, key) };
        self.state().write(name, Some(value.to_string().into_bytes()));
    }

    /// Removes a row without a condition.
    pub fn remove(&self, table: &str, key: &str) {
        self.state().write(RowName::without_part(table, key), None);
    }

    /// Discards the history of changes; the feed then responds with 410 to older versions.
    pub fn discard_history(&self) {
        let mut state = self.state();
        state.discarded_through = state.version;
    }

    /// Restores the rows of the newest copy that is older than `age`, or of the oldest one. What was
    /// written since is gone, and versions go on from that of the copy.
    pub fn restore(&self, age: Duration) {
        let mut state = self.state();
        while state.copies.len() > 1
            && state.copies.back().is_some_and(|copy| copy.taken_at.elapsed() < age)
        {
            state.copies.pop_back();
        }
        if let Some(copy) = state.copies.pop_back() {
            (state.version, state.rows) = (copy.version, copy.rows);
            state.discarded_through = state.discarded_through.min(state.version);
            state.era += 1;
        }
    }

    /// Returns the keys of the rows of a table without a part.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = self.state();
        let rows = state.rows.iter().filter(|(name, row)| {
            name.table == table && name.part.is_empty() && row.value.is_some()
        });
        rows.map(|(name, _)| name.key.clone()).collect()
    }

    /// Sets the fault that the store simulates.
    pub fn set_fault(&self, fault: StoreFault) {
        self.state().fault = fault;
    }

    /// Sets the maximum number of rows in a response of `/rows-get`.
    pub fn set_max_page_rows(&self, rows: usize) {
        self.state().max_page_rows = rows.min(MAX_PAGE_ROWS);
    }

    /// Returns the number of requests for changes of a table so far.
    pub fn feed_requests(&self, table: &str) -> usize {
        self.state().feed_requests.get(table).copied().unwrap_or_default()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(&self, req: Request) -> HttpResponse {
        let response = self.respond(req).await;
        if response.headers().contains_key(&ERA) {
            return response;
        }
        let era = self.state().era;
        with_era(response, era)
    }

    async fn respond(&self, mut req: Request) -> HttpResponse {
        let fault = self.state().fault;
        match fault {
            StoreFault::Unavailable => return empty(StatusCode::SERVICE_UNAVAILABLE),
            StoreFault::Silent => {
                actix_rt::time::sleep(SILENT_RESPONSE_DELAY).await;
                return empty(StatusCode::SERVICE_UNAVAILABLE);
            }
            StoreFault::None | StoreFault::LosesResponses => {}
        }
        match (req.method().clone(), req.path()) {
            (Method::GET, "/rows-get") => self.get_rows(&req),
            (Method::GET, "/rows-feed") => self.feed_changes(&req).await,
            (Method::POST, "/rows-tx") => {
                let transaction: Option<TransactionRequest> = http::read(&mut req).await;
                let response =
                    transaction.map_or(empty(StatusCode::BAD_REQUEST), |t| self.commit(&t));
                if fault == StoreFault::LosesResponses {
                    actix_rt::time::sleep(SILENT_RESPONSE_DELAY).await;
                }
                response
            }
            _ => empty(StatusCode::NOT_FOUND),
        }
    }

    fn get_rows(&self, req: &Request) -> HttpResponse {
        let text = |name| query(req, name).unwrap_or_default();
        let [table, part, from, to] = ["table", "part", "from", "to"].map(text);
        if [&table, &part, &from, &to].iter().any(|text| text.len() > MAX_NAME_BYTES) {
            return empty(StatusCode::BAD_REQUEST);
        }
        let state = self.state();
        let limit = text("limit").parse().unwrap_or(usize::MAX).min(state.max_page_rows);
        let in_range = |key: &str| key >= from.as_str() && (to.is_empty() || key < to.as_str());
        let all = state.rows.iter();
        let mut matching = all.filter(|(name, row)| {
            name.table == table && name.part == part && row.value.is_some() && in_range(&name.key)
        });
        let rows: Vec<Value> = matching.by_ref().take(limit).map(row_json).collect();
        self.page_response(&state, &rows, matching.next().is_some())
    }

    async fn feed_changes(&self, req: &Request) -> HttpResponse {
        let number = |name| query(req, name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let table = query(req, "table").unwrap_or_default();
        let (after, wait) = (number("after"), Duration::from_millis(number("wait_ms")));
        let started = Instant::now();
        *self.state().feed_requests.entry(table.clone()).or_default() += 1;
        loop {
            {
                let state = self.state();
                if after < state.discarded_through || after > state.version {
                    return empty(StatusCode::GONE);
                }
                let changed =
                    state.rows.iter().filter(|(n, row)| n.table == table && row.version > after);
                let mut changed: Vec<_> = changed.collect();
                changed.sort_by_key(|(_, row)| row.version);
                if !changed.is_empty() || started.elapsed() >= wait {
                    let rows: Vec<Value> = changed.into_iter().map(row_json).collect();
                    return self.page_response(&state, &rows, false);
                }
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn commit(&self, transaction: &TransactionRequest) -> HttpResponse {
        let mut state = self.state();
        let found = |entry: &TransactionEntry| state.rows.get_key_value(&entry.name());
        let version = |entry: &TransactionEntry| {
            found(entry).filter(|(_, row)| row.value.is_some()).map_or(0, |(_, row)| row.version)
        };
        if transaction.expected.iter().any(|entry| version(entry) != entry.row_version) {
            let rows: Vec<Value> =
                transaction.expected.iter().filter_map(found).map(row_json).collect();
            let body = json!({ "rows": rows, "row_version": state.version });
            return with_era(json(StatusCode::PRECONDITION_FAILED, &body), state.era);
        }
        state.copy_rows();
        state.version += 1;
        let version = state.version;
        for entry in &transaction.put {
            let value = STANDARD.decode(&entry.value).unwrap_or_default();
            let row = StoredRow { version, value: Some(value) };
            state.rows.insert(entry.name(), row);
        }
        for entry in &transaction.remove {
            let row = StoredRow { version, value: None };
            state.rows.insert(entry.name(), row);
        }
        self.page_response(&state, &[], false)
    }

    fn page_response(&self, state: &State, rows: &[Value], has_more: bool) -> HttpResponse {
        let now = self.started.elapsed().as_millis() as u64;
        let version = state.version;
        let body =
            json!({ "rows": rows, "has_more": has_more, "row_version": version, "now_ms": now });
        // Rows and era are read under one lock.
        with_era(json(StatusCode::OK, &body), state.era)
    }
}

impl State {
    /// Copies the rows before a write, if the last copy is old enough.
    fn copy_rows(&mut self) {
        let is_recent = |copy: &RowsCopy| copy.taken_at.elapsed() < COPY_INTERVAL;
        if self.copies.back().is_some_and(is_recent) {
            return;
        }
        let (version, rows) = (self.version, self.rows.clone());
        self.copies.push_back(RowsCopy { taken_at: Instant::now(), version, rows });
        if self.copies.len() > MAX_COPIES {
            self.copies.pop_front();
        }
    }

    fn write(&mut self, name: RowName, value: Option<Vec<u8>>) {
        self.copy_rows();
        self.version += 1;
        let row = StoredRow { version: self.version, value };
        self.rows.insert(name, row);
    }
}

fn with_era(mut response: HttpResponse, era: u64) -> HttpResponse {
    response.headers_mut().insert(ERA, HeaderValue::from(era));
    response
}

fn row_json((RowName { table, part, key }, row): (&RowName, &StoredRow)) -> Value {
    match &row.value {
        Some(value) => json!({
            "table": table, "part": part, "key": key, "row_version": row.version,
            "value": STANDARD.encode(value),
        }),
        None => json!({
            "table": table, "part": part, "key": key, "row_version": row.version,
            "tombstone": true,
        }),
    }
}
