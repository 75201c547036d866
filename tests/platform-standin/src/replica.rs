//! Replicas that register themselves, execute calls and log each execution.

mod stall;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use actix_http::body::{BodyStream, BoxBody};
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use cumintrail_control::parts::name_hash;
use cumintrail_tests::http::{self, HttpResponse, HttpServer, header, json};
use futures_util::stream;
use serde::Deserialize;
use serde_json::json;

use self::stall::Queue;
pub use self::stall::Stall;
use crate::store::{REGISTRY_TABLE, RowStore};

/// Name of the model that engines serve.
pub const MODEL: &str = "curd";
/// Number of events in a complete stream.
pub const EVENTS_PER_STREAM: u64 = 6;
/// A replica crashes once it has begun a response to a call with a part whose name begins so.
pub const CRASHING_PART_PREFIX: &str = "dead";
/// A replica crashes once it has begun to execute a request whose query begins so.
pub const CRASHING_QUERY_PREFIX: &str = "dead";
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// One in so many resumable streams ends inside an event, although its response ends regularly.
const TRUNCATED_STREAM_RATIO: u64 = 16;
/// The event inside which such a stream ends.
const TRUNCATED_EVENT: u64 = 4;
const EVENT_INTERVAL: Duration = Duration::from_millis(30);
const PLAIN_CALL_DURATION: Duration = Duration::from_millis(10);
const WEIGHT_LOAD_DURATION: Duration = Duration::from_millis(500);

/// Records one execution of a call.
#[derive(Debug, Clone)]
pub struct Execution {
    /// Id of the replica that executed the call.
    pub replica_id: String,
    /// When the replica received the call.
    pub received_at: Instant,
    /// When the execution started.
    pub started_at: Instant,
    /// The weight version on which it started; zero at a replica of a plain service.
    pub version: u64,
    /// The client account from the `x-tenant` header.
    pub account: String,
    /// Whether the request contained an `authorization` header, which daemons must not pass on.
    pub has_key: bool,
    /// Whether the replica had been draining for longer than its drain period.
    pub after_drain_period: bool,
    /// The part of the prompt, or the query, under which the replica crashed.
    pub crashing_content: Option<CrashingContent>,
    /// The limit in requests a second that the replica named in its response.
    pub limit: Option<f64>,
    /// The weight version that the daemon expected.
    pub expected_version: Option<u64>,
}

/// Names the content under which a replica crashed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum CrashingContent {
    /// A part of the prompt, which requests that are not alike share.
    Part(String),
    /// The request, by its path and query.
    Request(String),
}

/// The executions of all replicas by request id; clones share the log.
#[derive(Debug, Clone, Default)]
pub struct ExecutionLog(Arc<Mutex<HashMap<String, Vec<Execution>>>>);

impl ExecutionLog {
    fn record(&self, call: String, execution: Execution) {
        self.lock().entry(call).or_default().push(execution);
    }

    /// Returns the executions of a call.
    pub fn executions(&self, call: &str) -> Vec<Execution> {
        self.lock().get(call).cloned().unwrap_or_default()
    }

    /// Returns all executions by request id.
    pub fn all(&self) -> HashMap<String, Vec<Execution>> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Vec<Execution>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Describes a replica.
#[derive(Debug, Clone)]
pub struct ReplicaSpec {
    /// The instance id.
    pub id: String,
    /// Name of the service that the replica belongs to.
    pub service: String,
    /// The weight version at start; zero for a plain service.
    pub weight_version: u64,
    /// How long calls may still arrive after the entry changes to `draining`.
    pub drain_period: Duration,
}

/// A running replica; clones refer to the same one.
#[derive(Clone)]
pub struct Replica {
    shared: Arc<Shared>,
    running: HttpServer,
}

struct Shared {
    spec: ReplicaSpec,
    execution_log: ExecutionLog,
    version: AtomicU64,
    accepted_orders: AtomicU64,
    heartbeats: AtomicU64,
    is_loading: AtomicBool,
    has_ended: AtomicBool,
    has_crashed: AtomicBool,
    draining_since: Mutex<Option<Instant>>,
    limit: Mutex<Option<f64>>,
    queue: Queue,
    started_unix_ms: u64,
}

#[derive(Debug, Deserialize)]
struct LoadOrder {
    version: u64,
    expected: u64,
}

impl Replica {
    /// Starts the HTTP server at `address`; port 0 selects a free port. The replica has no registry
    /// entry before [`Replica::register`] is called.
    pub fn bind(
        address: SocketAddr,
        spec: ReplicaSpec,
        execution_log: ExecutionLog,
    ) -> std::io::Result<Self> {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let shared = Arc::new(Shared {
            version: AtomicU64::new(spec.weight_version),
            spec,
            execution_log,
            accepted_orders: AtomicU64::new(0),
            heartbeats: AtomicU64::new(0),
            is_loading: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            has_crashed: AtomicBool::new(false),
            draining_since: Mutex::default(),
            limit: Mutex::default(),
            queue: Queue::default(),
            started_unix_ms: since_epoch.as_millis() as u64,
        });
        let handler = shared.clone();
        let running = http::serve_while_open(address, move |req| {
            let handler = handler.clone();
            async move { handler.handle(req).await }
        })?;
        Ok(Self { shared, running })
    }

    /// Returns the address that the replica listens on.
    pub const fn address(&self) -> SocketAddr {
        self.running.address
    }

    /// Returns the specification that the replica was started with.
    pub fn spec(&self) -> &ReplicaSpec {
        &self.shared.spec
    }

    /// Returns the weight version that is loaded now.
    pub fn version(&self) -> u64 {
        self.shared.version.load(Ordering::Relaxed)
    }

    /// Writes the registry entry with `address` now and at each heartbeat, until the replica is
    /// killed.
    pub fn register(&self, store: &RowStore, address: SocketAddr) {
        let (shared, store) = (self.shared.clone(), store.clone());
        actix_rt::spawn(async move {
            while !shared.has_ended.load(Ordering::Relaxed) {
                store.put(REGISTRY_TABLE, &shared.spec.id, &shared.registry_entry(address));
                actix_rt::time::sleep(HEARTBEAT_INTERVAL).await;
            }
        });
    }

    /// Changes the registry entry to `draining`.
    pub fn start_draining(&self, store: &RowStore, address: SocketAddr) {
        *self.shared.draining_since() = Some(Instant::now());
        store.put(REGISTRY_TABLE, &self.shared.spec.id, &self.shared.registry_entry(address));
    }

    /// Sets the limit in requests a second that responses name from now on.
    pub fn set_limit(&self, limit: Option<f64>) {
        *self.shared.limit.lock().unwrap_or_else(PoisonError::into_inner) = limit;
    }

    /// Lets the replica hold calls and orders from now on; `None` ends that for new ones.
    pub fn set_stall(&self, stall: Option<Stall>) {
        self.shared.queue.set_stall(stall);
    }

    /// Returns whether a call crashed the replica; whoever started it then kills it.
    pub fn has_crashed(&self) -> bool {
        self.shared.has_crashed.load(Ordering::Relaxed)
    }

    /// Stops the replica at once and closes all connections. The registry entry stays in the store.
    pub async fn kill(&self) {
        self.shared.has_ended.store(true, Ordering::Relaxed);
        self.running.kill().await;
    }
}

impl Shared {
    fn draining_since(&self) -> MutexGuard<'_, Option<Instant>> {
        self.draining_since.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn limit(&self) -> Option<f64> {
        *self.limit.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn registry_entry(&self, address: SocketAddr) -> serde_json::Value {
        let state = if self.draining_since().is_some() { "draining" } else { "ready" };
        let seq_no = self.heartbeats.fetch_add(1, Ordering::Relaxed);
        let mut entry = json!({
            "service": self.spec.service, "address": address.to_string(), "zone": "laguna",
            "version": "v1", "slots": 32, "state": state, "cold_remaining_ms": 0,
            "seq_no": seq_no, "born": self.started_unix_ms,
        });
        if self.spec.weight_version > 0 {
            let version = self.version.load(Ordering::Relaxed);
            entry["models"] = json!([{ "name": MODEL, "version": version, "adapters": [] }]);
        }
        entry
    }

    async fn handle(self: Arc<Self>, mut req: Request) -> HttpResponse {
        match req.path() {
            "/report" => json(
                StatusCode::OK,
                &json!({
                    "stage": "combined", "busy": self.is_loading.load(Ordering::Relaxed),
                    "models": [{ "name": MODEL, "version": self.version.load(Ordering::Relaxed),
                        "adapters": [] }],
                    "seq_no": self.accepted_orders.load(Ordering::Relaxed),
                    "queued": self.queue.waiting(), "running": 0, "kv_used": 0, "kv_total": 100_000, "handles": 0,
                }),
            ),
            _ if header(&req, "x-expect-instance").is_some_and(|id| id != self.spec.id) => {
                self.refuse(&req, StatusCode::MISDIRECTED_REQUEST)
            }
            "/order" => {
                let order: Option<LoadOrder> = http::read(&mut req).await;
                match self.queue.stall() {
                    Some(stall) => self.hold_order(stall, order).await,
                    None => self.start_load(order),
                }
            }
            _ => self.execute(req).await,
        }
    }

    fn start_load(self: Arc<Self>, order: Option<LoadOrder>) -> HttpResponse {
        let Some(order) = order else {
            return http::empty(StatusCode::BAD_REQUEST);
        };
        let accepted_orders = self.accepted_orders.load(Ordering::Relaxed);
        if order.expected != accepted_orders || self.is_loading.swap(true, Ordering::Relaxed) {
            return http::empty(StatusCode::CONFLICT);
        }
        self.accepted_orders.fetch_add(1, Ordering::Relaxed);
        actix_rt::spawn(async move {
            actix_rt::time::sleep(WEIGHT_LOAD_DURATION).await;
            self.version.store(order.version, Ordering::Relaxed);
            self.is_loading.store(false, Ordering::Relaxed);
        });
        http::empty(StatusCode::ACCEPTED)
    }

    fn refuse(&self, req: &Request, status: StatusCode) -> HttpResponse {
        let mut response = http::empty(status);
        self.add_identity_headers(&mut response, &header(req, "x-request-id").unwrap_or_default());
        let headers = response.headers_mut();
        headers.insert(HeaderName::from_static("x-not-executed"), HeaderValue::from_static("1"));
        headers.remove(HeaderName::from_static("x-response-seal"));
        response
    }

    fn add_identity_headers(&self, response: &mut HttpResponse, call: &str) {
        let pairs = [
            ("x-request-id", call.to_owned()),
            ("x-instance-id", self.spec.id.clone()),
            ("x-response-seal", format!("{call}.{}", self.spec.id)),
        ];
        if self.draining_since().is_some() {
            let leaving = HeaderName::from_static("server-leaving");
            response.headers_mut().insert(leaving, HeaderValue::from_static("1"));
        }
        if let Some(limit) = self.limit()
            && let Ok(value) = HeaderValue::from_str(&limit.to_string())
        {
            response.headers_mut().insert(HeaderName::from_static("server-limit"), value);
        }
        for (name, value) in pairs {
            if let Ok(value) = HeaderValue::from_str(&value) {
                response.headers_mut().insert(HeaderName::from_static(name), value);
            }
        }
    }

    /// Returns the status with which a call is refused because of the weights.
    fn refusal(&self, expected: Option<u64>) -> Option<StatusCode> {
        match expected {
            Some(v) if v != self.version.load(Ordering::Relaxed) => {
                Some(StatusCode::MISDIRECTED_REQUEST)
            }
            _ if self.is_loading.load(Ordering::Relaxed) => Some(StatusCode::SERVICE_UNAVAILABLE),
            _ => None,
        }
    }

    async fn execute(&self, mut req: Request) -> HttpResponse {
        let received_at = Instant::now();
        let expected = header(&req, "x-expect-version").and_then(|text| text.parse::<u64>().ok());
        if let Some(status) = self.refusal(expected) {
            return self.refuse(&req, status);
        }
        if let Some(stall) = self.queue.stall()
            && let Err(status) = self.wait_in_queue(&mut req, stall, expected).await
        {
            return self.refuse(&req, status);
        }
        let call = header(&req, "x-request-id").unwrap_or_default();
        let is_after_drain =
            self.draining_since().is_some_and(|since| since.elapsed() > self.spec.drain_period);
        let crashing_part = header(&req, "x-prefix-hash").and_then(|parts| {
            let mut names = parts.split(',').filter_map(|part| part.split(':').next());
            names.find(|name| name.starts_with(CRASHING_PART_PREFIX)).map(ToOwned::to_owned)
        });
        let uri = req.uri();
        let is_crashing = uri.query().is_some_and(|q| q.starts_with(CRASHING_QUERY_PREFIX));
        let crashing_request = is_crashing.then(|| CrashingContent::Request(uri.to_string()));
        let crashing_content = crashing_request.or(crashing_part.map(CrashingContent::Part));
        let crashes = crashing_content.is_some();
        let execution = Execution {
            replica_id: self.spec.id.clone(),
            received_at,
            started_at: Instant::now(),
            version: self.version.load(Ordering::Relaxed),
            account: header(&req, "x-tenant").unwrap_or_default(),
            has_key: header(&req, "authorization").is_some(),
            after_drain_period: is_after_drain,
            crashing_content,
            limit: self.limit(),
            expected_version: expected,
        };
        self.execution_log.record(call.clone(), execution);
        let is_stream = req.path().starts_with("/flow/") || req.path().starts_with("/resume/");
        let last_event_id: u64 =
            header(&req, "last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        let _ = http::body(&mut req).await;
        if crashes {
            self.has_crashed.store(true, Ordering::Relaxed);
        }
        let mut response = if is_stream {
            let is_truncated = req.path().starts_with("/resume/")
                && last_event_id == 0
                && name_hash(&call).is_multiple_of(TRUNCATED_STREAM_RATIO);
            let events = stream::unfold(last_event_id + 1, move |id| async move {
                if id > EVENTS_PER_STREAM {
                    return None;
                }
                if crashes && id > last_event_id + 1 {
                    return std::future::pending().await;
                }
                actix_rt::time::sleep(EVENT_INTERVAL).await;
                let mut event = event_text(id);
                if is_truncated && id == TRUNCATED_EVENT {
                    event.truncate(event.len() / 2);
                    return Some((Ok(Bytes::from(event)), EVENTS_PER_STREAM + 1));
                }
                Some((Ok::<_, std::io::Error>(Bytes::from(event)), id + 1))
            });
            let body = BoxBody::new(BodyStream::new(Box::pin(events)));
            let mut response = Response::with_body(StatusCode::OK, body);
            let kind = HeaderValue::from_static("text/event-stream");
            response.headers_mut().insert(actix_http::header::CONTENT_TYPE, kind);
            response
        } else {
            if crashes {
                return std::future::pending().await;
            }
            actix_rt::time::sleep(PLAIN_CALL_DURATION).await;
            let body = format!("{call} from {}", self.spec.id);
            Response::with_body(StatusCode::OK, BoxBody::new(body))
        };
        self.add_identity_headers(&mut response, &call);
        response
    }
}

/// Returns the server-sent event `id` of a stream as text.
pub fn event_text(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}
