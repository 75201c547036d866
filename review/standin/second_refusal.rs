//! A replica that is full refuses a request, and a second copy of the refusal arrives late, where
//! the next response is expected. The request is meanwhile sent there once more.

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::base::{self, Call, Conn, Entry, Head, Random, Record, RouteText, Store, lock, ms};

const SECONDS: u64 = 80;
const SLOTS: u32 = 2;
/// The share of the faulty replica's answers of which a second copy follows.
const EXTRA_RATIO: f64 = 0.03;
/// Requests a second at each daemon, and daemons.
const PER_SECOND: f64 = 18.0;
const DAEMONS: usize = 6;
const CLIENTS: usize = 8;

#[derive(Default)]
struct Ledger {
    runs: HashMap<String, u32>,
    extras: u32,
    answers: u32,
}

struct Replica {
    entry: Entry,
    is_faulty: bool,
    running: AtomicU32,
    ledger: Arc<Mutex<Ledger>>,
    random: Mutex<Random>,
    record: Record,
}

impl Replica {
    fn handle(&self, head: &Head, conn: &mut Conn) -> bool {
        if let Some(goes_on) = self.entry.common(head, conn) {
            return goes_on;
        }
        let id = head.get("x-request-id").unwrap_or("").to_owned();
        base::read_body(&mut conn.reader, head);
        // A second copy of an earlier answer arrives where the next one is expected.
        if let Some(copy) = conn.memo.take() {
            self.record.line(&format!(
                "{} sends the second copy of an answer on the connection of {id}",
                self.entry.id
            ));
            conn.send(copy.as_bytes());
        }
        let common = format!(
            "X-Request-Id: {id}\r\nX-Instance-Id: {}\r\nKeep-Alive: timeout=5\r\n",
            self.entry.id
        );
        let is_full = self.running.fetch_add(1, Ordering::AcqRel) >= SLOTS;
        let answer = if is_full {
            self.record.line(&format!("{} is full and does not run {id}", self.entry.id));
            // A replica may say for how long it wants nothing; the sound one does.
            let after = if self.is_faulty { "" } else { "Retry-After: 1\r\n" };
            format!(
                "HTTP/1.1 503 Service Unavailable\r\n{common}{after}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )
        } else {
            *lock(&self.ledger).runs.entry(id.clone()).or_default() += 1;
            self.record.line(&format!("{} runs {id}", self.entry.id));
            thread::sleep(ms(30));
            let body = format!("{id} done by {}", self.entry.id);
            format!(
                "HTTP/1.1 200 OK\r\n{common}X-Response-Seal: {id}.{}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len(),
                body.len()
            )
        };
        self.running.fetch_sub(1, Ordering::AcqRel);
        let mut ledger = lock(&self.ledger);
        ledger.answers += u32::from(self.is_faulty);
        let is_within = f64::from(ledger.extras + 1) <= EXTRA_RATIO * f64::from(ledger.answers);
        if base::trouble()
            && self.is_faulty
            && is_full
            && is_within
            && lock(&self.random).unit() < 0.5
        {
            ledger.extras += 1;
            conn.memo = Some(answer.clone());
        }
        drop(ledger);
        conn.send(answer.as_bytes())
    }
}

pub fn run(record: &Record, work: &Path) -> io::Result<bool> {
    let store = Store::default();
    let ledger = Arc::new(Mutex::new(Ledger::default()));
    let route = RouteText {
        prefix: "/pay/",
        kind: "unsafe",
        service: "coop-app",
        attempts: 1,
        resumable: false,
        timeout_ms: 600,
        target_ms: 100,
    };
    base::configure(&store, &[route], None, &["coop-app"]);
    for index in 0..2 {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let entry = Entry::new(&format!("i-{index:04}"), "coop-app", "v1", None, SLOTS);
        entry.register(&store, listener.local_addr()?);
        let replica = Replica {
            entry,
            is_faulty: index == 0,
            running: AtomicU32::new(0),
            ledger: ledger.clone(),
            random: Mutex::new(Random::new(5)),
            record: record.clone(),
        };
        base::serve(listener, move |head, conn| replica.handle(head, conn));
    }
    let daemons = base::start_daemons(work, store.serve()?, DAEMONS)?;
    let refused: Arc<Mutex<Vec<(String, u16)>>> = Arc::default();
    let (sent, served) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let done = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (index, daemon) in daemons.iter().enumerate() {
        for client in 0..CLIENTS {
            let (at, record, done) = (daemon.front, record.clone(), done.clone());
            let (refused, sent, served) = (refused.clone(), sent.clone(), served.clone());
            let pause = Duration::from_secs_f64(CLIENTS as f64 / PER_SECOND);
            clients.push(thread::spawn(move || {
                let mut random = Random::new((index * CLIENTS + client + 1) as u64);
                while !done.load(Ordering::Relaxed) {
                    thread::sleep(pause.mul_f64(2.0 * random.unit()));
                    let call = Call::post("/pay/1", 600, vec![b'p'; 600]);
                    record.line(&format!("client sends {} to daemon {index}", call.id));
                    sent.fetch_add(1, Ordering::Relaxed);
                    let answer = call.send(at, ms(700));
                    record.line(&format!("client has {} for {}", answer.status, call.id));
                    match answer.status {
                        200 => drop(served.fetch_add(1, Ordering::Relaxed)),
                        429 | 503 | 408 | 421 => lock(&refused).push((call.id, answer.status)),
                        _ => {}
                    }
                }
            }));
        }
    }
    let until = Instant::now() + Duration::from_secs(SECONDS);
    while Instant::now() < until {
        thread::sleep(ms(100));
    }
    done.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(ms(500));
    let ledger = lock(&ledger);
    let twice: Vec<&String> =
        ledger.runs.iter().filter(|(_, n)| **n > 1).map(|(id, _)| id).collect();
    let refused = lock(&refused);
    let broken: Vec<&(String, u16)> =
        refused.iter().filter(|(id, _)| ledger.runs.contains_key(id)).collect();
    for id in &twice {
        record.line(&format!("TWICE: {id} ran {} times", ledger.runs[*id]));
    }
    for (id, status) in &broken {
        record.line(&format!("REFUSED: {id} was answered {status} and ran"));
    }
    let text = format!(
        "{} requests, {} served, {} refused; {} answers of replicas, a second copy of {}; {} ran twice, {} refused though they ran",
        sent.load(Ordering::Relaxed),
        served.load(Ordering::Relaxed),
        refused.len(),
        ledger.answers,
        ledger.extras,
        twice.len(),
        broken.len()
    );
    record.line(&text);
    println!("{text}");
    if served.load(Ordering::Relaxed) < 100 {
        return Err(io::Error::other("hardly any request was served"));
    }
    Ok(twice.is_empty() && broken.is_empty())
}
