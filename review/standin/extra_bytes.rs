//! A replica sends additional bytes after a complete response. They come late, where the response
//! to the next request on the connection is expected, and look like a response or a refusal without
//! an id.

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::base::{self, Call, Conn, Entry, Head, Random, Record, RouteText, Store, lock, ms};

const SECONDS: u64 = 30;
const REPLICAS: u64 = 4;
/// The replicas that send additional bytes, after one in so many of their responses (0.03).
const FAULTY: u64 = 2;
const RESPONSES_PER_EXTRA: usize = 34;
const CLIENTS: usize = 8;

/// The response that a replica made for each request.
type Made = Arc<Mutex<HashMap<String, Vec<u8>>>>;

struct Replica {
    entry: Entry,
    is_faulty: bool,
    made: Made,
    extras: Arc<AtomicUsize>,
    /// The runs of requests that had run before.
    repeats: Arc<AtomicUsize>,
    responses: AtomicUsize,
    record: Record,
}

impl Replica {
    fn handle(&self, head: &Head, conn: &mut Conn) -> bool {
        if let Some(goes_on) = self.entry.common(head, conn) {
            return goes_on;
        }
        let id = head.get("x-request-id").unwrap_or("").to_owned();
        base::read_body(&mut conn.reader, head);
        if let Some(bytes) = conn.memo.take() {
            self.record.line(&format!(
                "{} sends {} additional bytes on the connection of {id}",
                self.entry.id,
                bytes.len()
            ));
            self.extras.fetch_add(1, Ordering::Relaxed);
            conn.send(bytes.as_bytes());
        }
        self.record.line(&format!("{} runs {id}", self.entry.id));
        thread::sleep(ms(15));
        let body = format!(
            "payment {id} of {} confirmed by {}",
            head.get("x-tenant").unwrap_or(""),
            self.entry.id
        );
        let earlier = lock(&self.made).insert(id.clone(), body.clone().into_bytes());
        if earlier.is_some() {
            self.record.line(&format!("TWICE: {id} has run before"));
            self.repeats.fetch_add(1, Ordering::Relaxed);
        }
        let number = self.responses.fetch_add(1, Ordering::Relaxed);
        if self.is_faulty && number % RESPONSES_PER_EXTRA == RESPONSES_PER_EXTRA - 1 {
            // Every other time the bytes look like a refusal, as `fleetbench wire` shows it.
            conn.memo = Some(if number / RESPONSES_PER_EXTRA % 2 == 0 {
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
            } else {
                "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                    .into()
            });
        }
        let extra = format!(
            "X-Request-Id: {id}\r\nX-Instance-Id: {}\r\nX-Response-Seal: {id}.{}\r\nKeep-Alive: timeout=5\r\n",
            self.entry.id,
            body.len()
        );
        conn.json(200, &extra, &body)
    }
}

pub fn run(record: &Record, work: &Path) -> io::Result<bool> {
    let store = Store::default();
    let (made, extras) = (Made::default(), Arc::new(AtomicUsize::new(0)));
    let repeats = Arc::new(AtomicUsize::new(0));
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
    for index in 0..REPLICAS {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let entry = Entry::new(&format!("i-{index:04}"), "coop-app", "v1", None, 6);
        entry.register(&store, listener.local_addr()?);
        let replica = Replica {
            entry,
            is_faulty: base::trouble() && index < FAULTY,
            made: made.clone(),
            extras: extras.clone(),
            repeats: repeats.clone(),
            responses: AtomicUsize::new(0),
            record: record.clone(),
        };
        base::serve(listener, move |head, conn| replica.handle(head, conn));
    }
    let daemons = base::start_daemons(work, store.serve()?, 2)?;
    let done = Arc::new(AtomicBool::new(false));
    let (whole, foreign, other) = (
        Arc::new(AtomicUsize::new(0)),
        Arc::new(AtomicUsize::new(0)),
        Arc::new(AtomicUsize::new(0)),
    );
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (at, record, done) =
                (daemons[n % daemons.len()].front, record.clone(), done.clone());
            let (made, whole, foreign, other) =
                (made.clone(), whole.clone(), foreign.clone(), other.clone());
            thread::spawn(move || {
                let mut random = Random::new(n as u64 + 1);
                while !done.load(Ordering::Relaxed) {
                    thread::sleep(ms((100.0 * random.unit()) as u64));
                    let call = Call::post("/pay/1", 600, vec![b'p'; 600]);
                    record.line(&format!("client sends {}", call.id));
                    let answer = call.send(at, ms(1_600));
                    // The replica may still be at work when its caller has a foreign answer.
                    thread::sleep(ms(30));
                    let own = lock(&made).get(&call.id).cloned().unwrap_or_default();
                    let seal = answer.head.get("x-response-seal");
                    if answer.status != 200 || !answer.complete {
                        other.fetch_add(1, Ordering::Relaxed);
                        record.line(&format!("client has {} for {}", answer.status, call.id));
                    } else if answer.body == own && seal.is_some() {
                        whole.fetch_add(1, Ordering::Relaxed);
                    } else {
                        foreign.fetch_add(1, Ordering::Relaxed);
                        record.line(&format!(
                            "MIXED: client has for {}: 200, seal {seal:?}, body {:?}",
                            call.id,
                            String::from_utf8_lossy(&answer.body)
                        ));
                    }
                }
            })
        })
        .collect();
    thread::sleep(ms(SECONDS * 1_000));
    done.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let n = |count: &AtomicUsize| count.load(Ordering::Relaxed);
    let text = format!(
        "{} own answers, {} without success, {} answers of another request, {} ran twice; additional bytes {} times",
        n(&whole),
        n(&other),
        n(&foreign),
        n(&repeats),
        n(&extras)
    );
    record.line(&text);
    println!("{text}");
    if n(&whole) < 100 || (base::trouble() && n(&extras) == 0) {
        return Err(io::Error::other("the case did not happen"));
    }
    Ok(n(&foreign) == 0 && n(&repeats) == 0)
}
