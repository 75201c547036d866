//! The platform's store: rows without a part, their changes, and conditional transactions.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};

/// The time that each answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

type Rows = BTreeMap<(String, String), (u64, Option<Vec<u8>>)>;

/// Serves rows; clones share them.
#[derive(Clone)]
pub struct Store {
    rows: Arc<Mutex<(u64, Rows)>>,
    began: Instant,
    pub address: SocketAddr,
}

impl Store {
    /// Starts the store on a free port.
    pub fn spawn() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = Self { rows: Arc::default(), began: Instant::now(), address };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a row, as the operator and the replicas do.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, key, Some(value.as_bytes().to_vec()));
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    fn write(&self, table: &str, key: &str, value: Option<Vec<u8>>) {
        let mut rows = self.rows.lock().unwrap();
        rows.0 += 1;
        let version = rows.0;
        rows.1.insert((table.into(), key.into()), (version, value));
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut request)) = http::read_head(&mut reader) {
            if http::read_body(&mut reader, &mut request).is_err() {
                return;
            }
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&request);
            let headers =
                [("Content-Type", "application/json".into()), ("Store-Era", "0".to_string())];
            if http::respond(&mut writer, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let text = |name| decode_percent(request.query(name).unwrap_or(""));
        match request.path() {
            "/rows-get" => {
                let (table, from, to) = (text("table"), text("from"), text("to"));
                let limit = text("limit").parse().unwrap_or(500_usize).min(500);
                let rows = self.rows.lock().unwrap();
                let found: Vec<String> = rows
                    .1
                    .iter()
                    .filter(|((t, key), (_, value))| {
                        *t == table
                            && value.is_some()
                            && text("part").is_empty()
                            && *key >= from
                            && (to.is_empty() || *key < to)
                    })
                    .map(row_json)
                    .collect();
                let has_more = found.len() > limit;
                (200, self.page(rows.0, &found[..found.len().min(limit)], has_more))
            }
            "/rows-feed" => {
                let (table, after) = (text("table"), text("after").parse().unwrap_or(0_u64));
                let wait = Duration::from_millis(text("wait_ms").parse().unwrap_or(0));
                let started = Instant::now();
                loop {
                    {
                        let rows = self.rows.lock().unwrap();
                        let changed =
                            rows.1.iter().filter(|((t, _), (v, _))| *t == table && *v > after);
                        let mut changed: Vec<_> = changed.collect();
                        changed.sort_by_key(|(_, (version, _))| *version);
                        if !changed.is_empty() || started.elapsed() >= wait {
                            let changed: Vec<String> = changed.into_iter().map(row_json).collect();
                            return (200, self.page(rows.0, &changed, false));
                        }
                    }
                    thread::sleep(POLL_INTERVAL);
                }
            }
            "/rows-tx" => self.commit(&String::from_utf8_lossy(&request.body)),
            _ => (404, "{}".into()),
        }
    }

    fn commit(&self, body: &str) -> (u16, String) {
        let (expected, put, remove) =
            (entries(body, "expected"), entries(body, "put"), entries(body, "remove"));
        let mut rows = self.rows.lock().unwrap();
        let name = |entry: &str| (field(entry, "table"), field(entry, "key"));
        let is_as_expected = |entry: &String| {
            let found = rows.1.get(&name(entry)).filter(|(_, value)| value.is_some());
            field(entry, "row_version").parse().unwrap_or(0) == found.map_or(0, |(v, _)| *v)
        };
        if !expected.iter().all(is_as_expected) {
            let found = expected.iter().filter_map(|entry| rows.1.get_key_value(&name(entry)));
            let found: Vec<String> = found.map(row_json).collect();
            return (412, self.page(rows.0, &found, false));
        }
        rows.0 += 1;
        let version = rows.0;
        for entry in put {
            let value = Some(decode_base64(&field(&entry, "value")));
            rows.1.insert(name(&entry), (version, value));
        }
        for entry in remove {
            rows.1.insert(name(&entry), (version, None));
        }
        (200, self.page(version, &[], false))
    }

    fn page(&self, version: u64, rows: &[String], has_more: bool) -> String {
        let (rows, now) = (rows.join(","), self.began.elapsed().as_millis());
        format!(
            "{{\"rows\":[{rows}],\"has_more\":{has_more},\"row_version\":{version},\"now_ms\":{now}}}"
        )
    }
}

fn row_json(((table, key), (version, value)): (&(String, String), &(u64, Option<Vec<u8>>))) -> String {
    let rest = match value {
        Some(value) => format!("\"value\":\"{}\"", encode_base64(value)),
        None => "\"tombstone\":true".into(),
    };
    format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"row_version\":{version},{rest}}}")
}

/// Returns the entries of a list in a transaction. Daemons send flat entries of plain texts.
fn entries(body: &str, list: &str) -> Vec<String> {
    let Some((_, rest)) = body.split_once(&format!("\"{list}\":[")) else { return Vec::new() };
    let list = rest.split(']').next().unwrap_or("");
    let entries = list.split('{').skip(1);
    entries.map(|entry| entry.split('}').next().unwrap_or("").to_string()).collect()
}

fn field(entry: &str, name: &str) -> String {
    let rest = entry.split_once(&format!("\"{name}\":")).map_or("", |(_, rest)| rest);
    match rest.strip_prefix('"') {
        Some(text) => text.split('"').next().unwrap_or("").into(),
        None => rest.split(',').next().unwrap_or("").into(),
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        let byte = hex.and_then(|hex| u8::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok());
        decoded.push(byte.unwrap_or(bytes[at]));
        at += if byte.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |at: usize| u32::from(group.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            let value = (bits >> (18 - 6 * digit) & 63) as usize;
            text.push(if digit <= group.len() { DIGITS[value] as char } else { '=' });
        }
    }
    text
}

fn decode_base64(text: &str) -> Vec<u8> {
    let (mut bytes, mut bits, mut count) = (Vec::new(), 0_u32, 0);
    for digit in text.bytes().filter_map(|b| DIGITS.iter().position(|d| *d == b)) {
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
            bits &= (1 << count) - 1;
        }
    }
    bytes
}
