//! Requests with long bodies, at sound replicas, and the planned stop of a daemon that has taken some.

use std::collections::{HashMap, HashSet};
use std::io::{self, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::base::{self, Call, Entry, Record, RouteText, Store, lock, ms};

/// Within `max_body_bytes`, 4,194,304, and less than the longest request of rec-norte, 110,000.
const LONG: usize = 90_000;
/// What a client sends in a millisecond, 48 Mbit/s.
const BYTES_PER_MS: usize = 6_000;
const SHORT: usize = 12_000;
const EACH: usize = 12;
const DEADLINE_MS: u64 = 15_000;
const GRACE: Duration = Duration::from_secs(8);

/// What a replica has of a request: the length of the body that came, and whether it was whole.
type Received = Arc<Mutex<HashMap<String, (usize, bool)>>>;

struct Outcome {
    id: String,
    long: bool,
    stopped_daemon: bool,
    status: u16,
    complete: bool,
    ended_after: Duration,
    /// Whether nothing of the request was left in the daemon's receive queue.
    taken_whole: bool,
}

pub fn run(record: &Record, work: &Path) -> io::Result<bool> {
    let store = Store::default();
    let received: Received = Arc::default();
    let begun: Arc<Mutex<HashSet<String>>> = Arc::default();
    let route = RouteText {
        prefix: "/report/",
        kind: "unsafe",
        service: "coop-app",
        attempts: 1,
        resumable: false,
        timeout_ms: DEADLINE_MS as u32,
        target_ms: 600,
    };
    base::configure(&store, &[route], None, &["coop-app"]);
    for index in 0..4 {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let entry = Entry::new(&format!("i-{index:04}"), "coop-app", "v1", None, 16);
        entry.register(&store, listener.local_addr()?);
        let (received, begun, record) = (received.clone(), begun.clone(), record.clone());
        base::serve(listener, move |head, conn| {
            if let Some(goes_on) = entry.common(head, conn) {
                return goes_on;
            }
            let id = head.get("x-request-id").unwrap_or("").to_owned();
            lock(&begun).insert(id.clone());
            record.line(&format!("{} reads {id}", entry.id));
            let (body, whole) = base::read_body(&mut conn.reader, head);
            lock(&received).insert(id.clone(), (body.len(), whole));
            if !whole {
                record.line(&format!(
                    "{} has {} bytes of the body of {id}, then the connection ends",
                    entry.id,
                    body.len()
                ));
                return false;
            }
            record.line(&format!("{} runs {id}", entry.id));
            thread::sleep(ms(15));
            let extra = format!(
                "X-Request-Id: {id}\r\nX-Instance-Id: {}\r\nX-Response-Seal: {id}\r\n",
                entry.id
            );
            conn.json(200, &extra, "done")
        });
    }
    let mut daemons = base::start_daemons(work, store.serve()?, 3)?;
    // Nothing disturbs the daemons for longer than `contact_ms`, 3 s, before the requests.
    thread::sleep(ms(2_500));
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let mut clients = Vec::new();
    for n in 0..4 * EACH {
        let (long, stopped_daemon) = (n % 2 == 0, n % 4 < 2);
        let at = daemons[if stopped_daemon { 0 } else { 1 }].front;
        let (outcomes, record) = (outcomes.clone(), record.clone());
        clients.push(thread::spawn(move || {
            let call =
                Call::post("/report/1", DEADLINE_MS, vec![b'x'; if long { LONG } else { SHORT }]);
            if let Ok((status, complete, ended_after, taken_whole)) = send(&call, at, &record) {
                lock(&outcomes).push(Outcome {
                    id: call.id,
                    long,
                    stopped_daemon,
                    status,
                    complete,
                    ended_after,
                    taken_whole,
                });
            }
        }));
    }
    thread::sleep(ms(1_000));
    if base::trouble() {
        record.line("SIGTERM to daemon 0");
        daemons[0].stop(GRACE);
        record.line("daemon 0 has ended");
    }
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(ms(300));
    let (outcomes, received, begun) = (lock(&outcomes), lock(&received), lock(&begun));
    let mut lost = 0;
    for o in outcomes.iter() {
        let is_cut = o.status == 0 || !o.complete;
        let was_passed_on = begun.contains(&o.id);
        // SIGTERM comes one second after the requests; the rule lasts until 1 s after the grace time.
        let in_time = o.ended_after < ms(1_000) + GRACE + ms(1_000);
        // A replica that has the whole request may be at work, which the rule excuses.
        let is_at_work = received.get(&o.id).is_some_and(|(_, whole)| *whole);
        let counts = o.stopped_daemon && o.taken_whole && was_passed_on && !is_at_work;
        if is_cut && in_time && counts {
            lost += 1;
            record.line(&format!(
                "LOST: {} was passed on to a replica, its connection ends after {:.1} s without an answer",
                o.id,
                o.ended_after.as_secs_f64()
            ));
        }
    }
    let count = |long: bool, served: bool| {
        outcomes.iter().filter(|o| o.long == long && (o.status == 200) == served).count()
    };
    let at_replicas = outcomes
        .iter()
        .filter(|o| o.long && received.get(&o.id).is_some_and(|(_, whole)| *whole))
        .count();
    let text = format!(
        "{SHORT} bytes: {} served, {} not; {LONG} bytes: {} served, {} not, {at_replicas} came whole to a replica; {lost} lost at the planned stop",
        count(false, true),
        count(false, false),
        count(true, true),
        count(true, false),
    );
    record.line(&text);
    println!("{text}");
    if count(false, true) < EACH {
        return Err(io::Error::other("short requests were not served"));
    }
    Ok(lost == 0)
}

/// Sends a whole request, notes how much of it waits unread at the daemon, and reads the answer.
fn send(call: &Call, at: SocketAddr, record: &Record) -> io::Result<(u16, bool, Duration, bool)> {
    let mut stream = TcpStream::connect(at)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(ms(DEADLINE_MS + 1_000)))?;
    let started = Instant::now();
    record.line(&format!("client sends {} with {} bytes", call.id, call.body.len()));
    for piece in call.text().chunks(BYTES_PER_MS) {
        stream.write_all(piece)?;
        thread::sleep(ms(1));
    }
    let own = stream.local_addr()?;
    let mut taken_whole = false;
    if call.body.len() == LONG {
        thread::sleep(ms(400));
        let left = unread(at, own);
        taken_whole = left == Some(0);
        record.line(&format!("{left:?} bytes of {} wait unread at the daemon's socket", call.id));
    }
    let mut reader = BufReader::new(stream);
    let (status, complete) = match base::read_head(&mut reader) {
        Some(head) => (head.status(), base::read_body(&mut reader, &head).1),
        None => (0, false),
    };
    let took = started.elapsed();
    record.line(&format!(
        "client has {status} for {}, complete {complete}, after {:.1} s",
        call.id,
        took.as_secs_f64()
    ));
    Ok((status, complete, took, taken_whole))
}

/// Returns the bytes in the receive queue of the socket at `local` that is connected to `remote`.
fn unread(local: SocketAddr, remote: SocketAddr) -> Option<i64> {
    let text = |at: SocketAddr| match at {
        SocketAddr::V4(at) => {
            format!("{:08X}:{:04X}", u32::from_le_bytes(at.ip().octets()), at.port())
        }
        SocketAddr::V6(_) => String::new(),
    };
    let (local, remote) = (text(local), text(remote));
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let row = table.lines().find(|line| {
        let mut fields = line.split_whitespace().skip(1);
        fields.next() == Some(&*local) && fields.next() == Some(&*remote)
    })?;
    let (_, queue) = row.split_whitespace().nth(4)?.split_once(':')?;
    i64::from_str_radix(queue, 16).ok()
}
