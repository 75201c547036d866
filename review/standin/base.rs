//! Shared parts of the stand-ins: HTTP, JSON, the platform's store, daemons, links and clients.
//! Standard library only; built by `review/build.sh`.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const KEY: &str = "key-of-the-coop";
pub const TENANT: &str = "coop";
pub const HOST: &str = "shop.example";

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Returns whether the disruption is injected; `TROUBLE=0` plays the same without it.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |text| text != "0")
}

/// Writes what was sent, answered and run to `record.txt`.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(folder: &Path) -> io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self(Arc::new((Instant::now(), Mutex::new(file)))))
    }

    pub fn line(&self, text: &str) {
        let at = self.0.0.elapsed().as_secs_f64();
        let _ = writeln!(lock(&self.0.1), "{at:9.4} {text}");
    }
}

/// A small seeded generator, so that a case is the same on each run apart from timing.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn unit(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

// JSON

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Json::Number(number) = self { *number as u64 } else { 0 }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(list) = self { list } else { &[] }
    }

    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut at = 0;
        Self::value(bytes, &mut at)
    }

    fn skip(bytes: &[u8], at: &mut usize) {
        while bytes.get(*at).is_some_and(|b| b.is_ascii_whitespace() || *b == b',' || *b == b':') {
            *at += 1;
        }
    }

    fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
        Self::skip(bytes, at);
        match *bytes.get(*at)? {
            b'{' => {
                *at += 1;
                let mut table = BTreeMap::new();
                loop {
                    Self::skip(bytes, at);
                    if bytes.get(*at) == Some(&b'}') {
                        *at += 1;
                        return Some(Json::Table(table));
                    }
                    let key = Self::value(bytes, at)?;
                    table.insert(key.text().to_owned(), Self::value(bytes, at)?);
                }
            }
            b'[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Self::skip(bytes, at);
                    if bytes.get(*at) == Some(&b']') {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    list.push(Self::value(bytes, at)?);
                }
            }
            b'"' => {
                *at += 1;
                let mut text = Vec::new();
                loop {
                    match *bytes.get(*at)? {
                        b'"' => break,
                        b'\\' => {
                            *at += 1;
                            text.push(match *bytes.get(*at)? {
                                b'n' => b'\n',
                                b't' => b'\t',
                                other => other,
                            });
                        }
                        other => text.push(other),
                    }
                    *at += 1;
                }
                *at += 1;
                Some(Json::Text(String::from_utf8(text).ok()?))
            }
            _ => {
                let start = *at;
                while bytes.get(*at).is_some_and(|b| !b" ,]}\n\r\t".contains(b)) {
                    *at += 1;
                }
                let text = std::str::from_utf8(&bytes[start..*at]).ok()?;
                Some(match text {
                    "null" => Json::Null,
                    "true" => Json::Bool(true),
                    "false" => Json::Bool(false),
                    number => Json::Number(number.parse().ok()?),
                })
            }
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let n = chunk.iter().fold(0_u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for i in 0..4 {
            let digit = DIGITS[(n >> (18 - 6 * i) & 63) as usize];
            text.push(if i <= chunk.len() { digit as char } else { '=' });
        }
    }
    text
}

// HTTP

/// The head of a message: its first line and its headers, with names in lower case.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.path().split_once('?')?;
        let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
        Some(value.replace("%00", "\0").replace("%2F", "/"))
    }
}

/// Reads a head; `None` at the end of the connection or after an error.
pub fn read_head(reader: &mut impl BufRead) -> Option<Head> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return if head.first.is_empty() { None } else { Some(head) };
        }
        if head.first.is_empty() {
            head.first = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().to_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a body with a length or in chunks; the second value says whether its end was reached.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    if head.get("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).map_or(true, |n| n == 0) {
                return (body, false);
            }
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
                return (body, false);
            };
            let mut chunk = vec![0; size + 2];
            let mut filled = 0;
            while filled < chunk.len() {
                match reader.read(&mut chunk[filled..]) {
                    Ok(n) if n > 0 => filled += n,
                    _ => {
                        body.extend_from_slice(&chunk[..filled.min(size)]);
                        return (body, false);
                    }
                }
            }
            body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return (body, true);
            }
        }
    }
    let length: Option<usize> = head.get("content-length").and_then(|text| text.parse().ok());
    let Some(length) = length else {
        return (body, true);
    };
    let _ = reader.take(length as u64).read_to_end(&mut body);
    let complete = body.len() == length;
    (body, complete)
}

/// One connection that a stand-in accepted.
pub struct Conn {
    pub reader: BufReader<TcpStream>,
    pub stream: TcpStream,
    /// What the stand-in remembers about the connection.
    pub memo: Option<String>,
}

impl Conn {
    fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self { reader: BufReader::new(stream.try_clone()?), stream, memo: None })
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    pub fn json(&mut self, status: u16, extra: &str, body: &str) -> bool {
        let text = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{extra}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.send(text.as_bytes())
    }
}

/// Serves each connection in a thread; `handler` returns whether the connection goes on.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(&Head, &mut Conn) -> bool + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let Ok(mut conn) = Conn::new(stream) else { return };
                while let Some(head) = read_head(&mut conn.reader) {
                    if !handler(&head, &mut conn) {
                        return;
                    }
                }
            });
        }
    });
}

// The platform's store

#[derive(Clone)]
struct Row {
    table: String,
    key: String,
    /// Base64; `None` for a row that was removed.
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct Rows {
    rows: BTreeMap<(String, String), Row>,
    changes: Vec<Row>,
    version: u64,
}

/// The platform's store, which loses nothing and never fails.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<Rows>, Condvar)>);

impl Store {
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(&[(table.into(), key.into(), Some(base64(value.as_bytes())))]);
    }

    fn write(&self, entries: &[(String, String, Option<String>)]) -> u64 {
        let mut rows = lock(&self.0.0);
        rows.version += 1;
        for (table, key, value) in entries {
            let row = Row {
                table: table.clone(),
                key: key.clone(),
                value: value.clone(),
                version: rows.version,
            };
            let at = (table.clone(), key.clone());
            match value {
                Some(_) => drop(rows.rows.insert(at, row.clone())),
                None => drop(rows.rows.remove(&at)),
            }
            rows.changes.push(row);
        }
        self.0.1.notify_all();
        rows.version
    }

    pub fn serve(&self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let at = listener.local_addr()?;
        let store = self.clone();
        serve(listener, move |head, conn| store.handle(head, conn));
        Ok(at)
    }

    fn handle(&self, head: &Head, conn: &mut Conn) -> bool {
        let (body, _) = read_body(&mut conn.reader, head);
        thread::sleep(ms(3));
        let path = head.path().split('?').next().unwrap_or("");
        let (status, rows, more, version) = match (head.method(), path) {
            ("GET", "/rows-get") => self.get(head),
            ("GET", "/rows-feed") => self.feed(head),
            ("POST", "/rows-tx") => self.transact(&body),
            _ => return conn.json(404, "", "{}"),
        };
        let rows: Vec<String> = rows.iter().map(row_text).collect();
        let body = format!(
            "{{\"rows\":[{}],\"has_more\":{more},\"row_version\":{version},\"now_ms\":{}}}",
            rows.join(","),
            unix_ms()
        );
        conn.json(status, "", &body)
    }

    fn get(&self, head: &Head) -> (u16, Vec<Row>, bool, u64) {
        let rows = lock(&self.0.0);
        let table = head.query("table").unwrap_or_default();
        let (from, to) = (head.query("from").unwrap_or_default(), head.query("to"));
        let limit = head.query("limit").and_then(|n| n.parse().ok()).unwrap_or(500_usize).min(500);
        let found = rows.rows.values().filter(|row| {
            row.table == table && row.key >= from && to.as_ref().is_none_or(|to| row.key < *to)
        });
        let mut found: Vec<Row> = found.cloned().collect();
        let more = found.len() > limit;
        found.truncate(limit);
        (200, found, more, rows.version)
    }

    fn feed(&self, head: &Head) -> (u16, Vec<Row>, bool, u64) {
        let table = head.query("table").unwrap_or_default();
        let after: u64 = head.query("after").and_then(|n| n.parse().ok()).unwrap_or(0);
        let wait: u64 = head.query("wait_ms").and_then(|n| n.parse().ok()).unwrap_or(0);
        let until = Instant::now() + ms(wait.min(30_000));
        let mut rows = lock(&self.0.0);
        loop {
            let changed = rows.changes.iter().filter(|r| r.table == table && r.version > after);
            let changed: Vec<Row> = changed.cloned().collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                return (200, changed, false, rows.version);
            }
            rows = match self.0.1.wait_timeout(rows, left) {
                Ok((rows, _)) => rows,
                Err(e) => e.into_inner().0,
            };
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, Vec<Row>, bool, u64) {
        let request = Json::parse(body).unwrap_or(Json::Null);
        let mut found = Vec::new();
        {
            let rows = lock(&self.0.0);
            let mut holds = true;
            for entry in request.get("expected").list() {
                let at = (entry.get("table").text().into(), entry.get("key").text().into());
                let row = rows.rows.get(&at);
                holds &= row.map_or(0, |row| row.version) == entry.get("row_version").number();
                found.extend(row.cloned());
            }
            if !holds {
                return (412, found, false, rows.version);
            }
        }
        let name = |e: &Json| (e.get("table").text().to_owned(), e.get("key").text().to_owned());
        let put = request.get("put").list().iter().map(|e| {
            let (table, key) = name(e);
            (table, key, Some(e.get("value").text().to_owned()))
        });
        let removed = request.get("remove").list().iter().map(|e| {
            let (table, key) = name(e);
            (table, key, None)
        });
        let entries: Vec<_> = put.chain(removed).collect();
        (200, Vec::new(), false, self.write(&entries))
    }
}

fn row_text(row: &Row) -> String {
    let Row { table, key, value, version } = row;
    let value = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"tombstone\":true".to_owned(),
    };
    format!(
        "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{value},\"row_version\":{version}}}"
    )
}

// Replicas

/// The entry of a replica, which it writes again at each heartbeat until it has ended.
#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub service: String,
    pub software: String,
    pub model: Option<String>,
    pub slots: u32,
    pub born: u64,
    pub ended: Arc<AtomicBool>,
}

impl Entry {
    pub fn new(id: &str, service: &str, software: &str, model: Option<&str>, slots: u32) -> Self {
        Self {
            id: id.into(),
            service: service.into(),
            software: software.into(),
            model: model.map(Into::into),
            slots,
            born: unix_ms(),
            ended: Arc::default(),
        }
    }

    pub fn register(&self, store: &Store, address: SocketAddr) {
        let (entry, store) = (self.clone(), store.clone());
        let write = move |seq_no: u64| {
            let models = match &entry.model {
                Some(model) => format!(
                    ",\"stage\":\"combined\",\"models\":[{{\"name\":\"{model}\",\"version\":1,\"adapters\":[]}}]"
                ),
                None => String::new(),
            };
            let text = format!(
                "{{\"service\":\"{}\",\"address\":\"{address}\",\"zone\":\"laguna\",\"version\":\"{}\",\
                 \"slots\":{},\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq_no\":{seq_no},\"born\":{}{models}}}",
                entry.service, entry.software, entry.slots, entry.born
            );
            store.put("servers", &entry.id, &text);
            !entry.ended.load(Ordering::Relaxed)
        };
        write(0);
        thread::spawn(move || {
            let mut seq_no = 1;
            loop {
                thread::sleep(ms(1_200));
                if !write(seq_no) {
                    return;
                }
                seq_no += 1;
            }
        });
    }

    /// Answers what every replica answers alike; returns `None` if the request is to be run.
    pub fn common(&self, head: &Head, conn: &mut Conn) -> Option<bool> {
        let path = head.path().split('?').next().unwrap_or("");
        if path == "/report" {
            let model = self.model.clone().unwrap_or_default();
            let body = format!(
                "{{\"stage\":\"combined\",\"models\":[{{\"name\":\"{model}\",\"version\":1,\"adapters\":[]}}],\
                 \"busy\":false,\"seq_no\":0,\"queued\":0,\"running\":0,\"kv_used\":0,\"kv_total\":100000,\
                 \"handles\":0,\"born\":{}}}",
                self.born
            );
            return Some(conn.json(200, "", &body));
        }
        if head.get("x-expect-instance").is_some_and(|id| id != self.id) {
            read_body(&mut conn.reader, head);
            let extra = format!(
                "X-Request-Id: {}\r\nX-Instance-Id: {}\r\nX-Not-Executed: 1\r\n",
                head.get("x-request-id").unwrap_or(""),
                self.id
            );
            return Some(conn.json(421, &extra, ""));
        }
        None
    }
}

// The operator

/// Describes a route of the configuration.
pub struct RouteText {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub attempts: u32,
    pub resumable: bool,
    pub timeout_ms: u32,
    pub target_ms: u32,
}

pub fn configure(
    store: &Store,
    routes: &[RouteText],
    engine: Option<(&str, &str)>,
    plain: &[&str],
) {
    let routes: Vec<String> = routes
        .iter()
        .map(|r| {
            let name = r.prefix.trim_matches('/');
            format!(
                "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{}\",\"kind\":\"{}\",\"service\":\"{}\",\
                 \"timeout_ms\":{},\"target_latency_ms\":{},\"priority\":1,\"max_attempts\":{},\"public\":false,\
                 \"sticky\":false,\"resumable\":{},\"target_gap_ms\":300}}",
                r.prefix, r.kind, r.service, r.timeout_ms, r.target_ms, r.attempts, r.resumable
            )
        })
        .collect();
    let mut services: Vec<String> = plain
        .iter()
        .map(|name| {
            format!("{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":100,\"protocol\":\"h1\",\"tls\":false}}")
        })
        .collect();
    if let Some((service, model)) = engine {
        services.push(format!(
            "{{\"name\":\"{service}\",\"health_path\":\"/health\",\"max_connections\":620,\"protocol\":\"h1\",\"tls\":false,\
             \"engine\":{{\"slots\":128,\"kv_capacity_tokens\":179183,\"kv_token_bytes\":35136,\
             \"models\":[{{\"name\":\"{model}\"}}]}}}}"
        ));
        let row = format!("{{\"model\":\"{model}\",\"version\":1}}");
        store.put("op", &format!("version/{model}"), &row);
    }
    let row = format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"{TENANT}\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(","),
        services.join(",")
    );
    store.put("op", "config", &row);
}

// Links

/// A proxy that can be cut: it then passes nothing on, in both directions, and accepts nothing.
#[derive(Clone)]
pub struct Link {
    pub at: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Link {
    pub fn open(listen: SocketAddr, to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let link = Self { at: listener.local_addr()?, cut: Arc::default() };
        let cut = link.cut.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let cut = cut.clone();
                thread::spawn(move || {
                    while cut.load(Ordering::Relaxed) {
                        thread::sleep(ms(10));
                    }
                    let Ok(far) = TcpStream::connect(to) else { return };
                    let (Ok(near_2), Ok(far_2)) = (near.try_clone(), far.try_clone()) else {
                        return;
                    };
                    let other = cut.clone();
                    thread::spawn(move || pass(near, far, &cut));
                    pass(far_2, near_2, &other);
                });
            }
        });
        Ok(link)
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut buf = [0; 16 << 10];
    let _ = (from.set_nodelay(true), to.set_nodelay(true));
    loop {
        let n = from.read(&mut buf).unwrap_or(0);
        while cut.load(Ordering::Relaxed) {
            thread::sleep(ms(10));
        }
        if n == 0 || to.write_all(&buf[..n]).is_err() {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
    }
}

// Daemons

/// A daemon of the deploy file on its own loopback address.
pub struct Daemon {
    pub front: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Where a daemon listens and what it connects to.
pub struct DaemonPlan {
    pub index: usize,
    /// The address under which peers reach the daemon; its port is that of `control`.
    pub ip: IpAddr,
    pub control: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub store: SocketAddr,
    /// The address of the store by which all daemons derive equal keys, if `store` is a link.
    pub common_store: Option<SocketAddr>,
}

/// Returns a loopback address of this process's own.
pub fn own_ip(index: usize) -> IpAddr {
    let pid = std::process::id();
    Ipv4Addr::new(127, 16 + index as u8, (pid >> 8) as u8, (pid as u8).max(1)).into()
}

pub fn free_port(ip: IpAddr) -> io::Result<SocketAddr> {
    TcpListener::bind((ip, 0))?.local_addr()
}

impl Daemon {
    pub fn start(folder: &Path, plan: &DaemonPlan) -> io::Result<Self> {
        let listen = plan.control.ip();
        let (front, readiness) = (free_port(listen)?, free_port(listen)?);
        let seeds: Vec<String> = plan.seeds.iter().map(ToString::to_string).collect();
        let zone = ["laguna", "batangas", "pampanga", "bulacan"][plan.index % 4];
        let mut text = format!(
            "node_name=front-{zone}-{}\nrole=daemon\nnode_class=front\nserves=front,control\nip={}\nzone={zone}\n\
             region=luzon\nlisten.front={front}\nlisten.readiness={readiness}\nlisten.control={}\n\
             internal_ports=7260,7275\nseeds={}\nbootstrap=true\nlimits.cpu_share=0.25\nlimits.cpu_cores=1\n\
             limits.memory_mb=260\nlimits.max_fds=4200\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\n\
             discovery=platform\nentry=vip\nheartbeat_ms=1200\nbounds.seed_lag_s=3\nbounds.reuse_after_s=2\n\
             bounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.sync_s=4\nbounds.drain_ms=2000\nbounds.grace_s=8\n\
             bounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\nbounds.rollback_slack_ms=250\n\
             bounds.max_skew_ms=5000\nbounds.fail_closed=false\nbounds.revoke_ms=5000\n\
             bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.budget_extra=54\n\
             bounds.recovery_s=12\nbounds.transit_ms=120\nbounds.reuse_window_s=20\nbounds.fencing_enforced=false\n\
             bounds.lease_ms=3000\nbounds.thaw_slack_ms=300\nbounds.version_ms=12000\nbounds.version_all_ms=17000\n\
             provider.address={}\nprovider.form=table\n",
            plan.index,
            plan.ip,
            plan.control,
            seeds.join(","),
            plan.store,
        );
        if let Some(common) = plan.common_store {
            text.push_str(&format!("provider.common_address={common}\n"));
        }
        let settings = folder.join(format!("vm-{}.conf", plan.index));
        std::fs::write(&settings, text)?;
        let log = folder.join(format!("vm-{}.log", plan.index));
        let mut daemon = Self { front, readiness, settings, log, child: None };
        daemon.run()?;
        Ok(daemon)
    }

    /// Starts the process, as the deploy file says.
    pub fn run(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new("target/release/cumintraild-platform");
        command.env_clear().env("PATH", "/usr/bin:/bin").env("CUMINTRAIL_CONFIG", &self.settings);
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        self.child = Some(command.spawn()?);
        Ok(())
    }

    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let answer = Call::get("/readiness").send(self.readiness, ms(1_000));
            if answer.status == 200 {
                return true;
            }
            thread::sleep(ms(50));
        }
        false
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = (child.kill(), child.wait());
        }
    }

    /// Stops the process as the platform does: SIGTERM, then SIGKILL after `grace`.
    pub fn stop(&mut self, grace: Duration) {
        let Some(mut child) = self.child.take() else { return };
        let _ = Command::new("kill").arg("-TERM").arg(child.id().to_string()).status();
        let until = Instant::now() + grace;
        while Instant::now() < until {
            if matches!(child.try_wait(), Ok(Some(_))) {
                return;
            }
            thread::sleep(ms(10));
        }
        let _ = (child.kill(), child.wait());
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

// Clients

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub fn next_id() -> String {
    let n = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", n.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// One client attempt, on a new connection.
#[derive(Clone)]
pub struct Call {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// What the client saw; status 0 means no answer.
#[derive(Debug, Default, Clone)]
pub struct Answer {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    pub complete: bool,
}

impl Call {
    pub fn get(path: &str) -> Self {
        Self {
            method: "GET",
            path: path.into(),
            id: String::new(),
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    pub fn post(path: &str, deadline_ms: u64, body: Vec<u8>) -> Self {
        let id = next_id();
        let headers = vec![
            ("Host".into(), HOST.into()),
            ("X-Request-Id".into(), id.clone()),
            ("X-Request-Deadline".into(), deadline_ms.to_string()),
            ("Authorization".into(), format!("Bearer {KEY}")),
        ];
        Self { method: "POST", path: path.into(), id, headers, body }
    }

    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    pub fn text(&self) -> Vec<u8> {
        let mut text = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        if self.headers.is_empty() {
            text.push_str("Host: x\r\n");
        }
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.method == "POST" {
            text.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }

    pub fn send(&self, at: SocketAddr, patience: Duration) -> Answer {
        let Ok(stream) = TcpStream::connect_timeout(&at, ms(1_000)) else {
            return Answer::default();
        };
        let _ = (stream.set_nodelay(true), stream.set_read_timeout(Some(patience)));
        let Ok(mut writer) = stream.try_clone() else { return Answer::default() };
        let bytes = self.text();
        // The answer may come before the body is written.
        let sending = thread::spawn(move || drop(writer.write_all(&bytes)));
        let mut reader = BufReader::new(stream);
        let answer = match read_head(&mut reader) {
            Some(head) => {
                let (body, complete) = read_body(&mut reader, &head);
                Answer { status: head.status(), head, body, complete }
            }
            None => Answer::default(),
        };
        let _ = reader.get_ref().shutdown(Shutdown::Both);
        let _ = sending.join();
        answer
    }
}

/// Returns the ids and data of the complete events of a stream.
pub fn events(body: &[u8]) -> Vec<(u64, String)> {
    let text = String::from_utf8_lossy(body);
    let mut events = Vec::new();
    let mut rest = &*text;
    while let Some(end) = rest.find("\n\n") {
        let event = &rest[..end];
        let field = |name: &str| {
            event.lines().find_map(|line| line.strip_prefix(name)).map(|v| v.trim().to_owned())
        };
        let id = field("id:").and_then(|id| id.parse().ok()).unwrap_or(0);
        events.push((id, field("data:").unwrap_or_default()));
        rest = &rest[end + 2..];
    }
    events
}

/// Starts `count` daemons that reach the store and each other directly.
pub fn start_daemons(folder: &Path, store: SocketAddr, count: usize) -> io::Result<Vec<Daemon>> {
    let controls: io::Result<Vec<SocketAddr>> = (0..count).map(|i| free_port(own_ip(i))).collect();
    let controls = controls?;
    let mut daemons = Vec::new();
    for (index, control) in controls.iter().enumerate() {
        let plan = DaemonPlan {
            index,
            ip: control.ip(),
            control: *control,
            seeds: controls.clone(),
            store,
            common_store: None,
        };
        daemons.push(Daemon::start(folder, &plan)?);
    }
    if daemons.iter().all(Daemon::wait_ready) {
        // Digests, and the first reading of all tables.
        thread::sleep(ms(1_500));
        return Ok(daemons);
    }
    Err(io::Error::other("a daemon did not become ready"))
}
