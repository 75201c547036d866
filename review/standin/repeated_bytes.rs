//! An engine sends the beginning of its response again and again, without end, behind an event.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use crate::base::{self, Record, RouteText, Store, ms};
use crate::engine::{self, Stream, StreamPlan};

const STREAMS: usize = 800;
const PLAN: StreamPlan = StreamPlan { events: 20, gap: ms(4) };
/// The event behind which the bytes repeat, in one of so many responses of the faulty engines (0.05).
const LAST_SOUND: u64 = 7;
const RESPONSES_PER_FAULT: usize = 20;

pub fn run(record: &Record, work: &Path) -> io::Result<bool> {
    let store = Store::default();
    let route = RouteText {
        prefix: "/draft/",
        kind: "streaming",
        service: engine::SERVICE,
        attempts: 2,
        resumable: true,
        timeout_ms: 12_000,
        target_ms: 400,
    };
    base::configure(&store, &[route], Some((engine::SERVICE, engine::MODEL)), &[]);
    let repeated = Arc::new(AtomicUsize::new(0));
    for n in 0..4 {
        let is_faulty = base::trouble() && n < 2;
        let (responses, repeated, log) = (AtomicUsize::new(0), repeated.clone(), record.clone());
        engine::start(
            &format!("i-{n:04}"),
            "v1",
            PLAN,
            &store,
            record,
            move |conn, text, event| {
                let is_due = || {
                    let number = responses.fetch_add(1, Ordering::Relaxed);
                    number % RESPONSES_PER_FAULT == RESPONSES_PER_FAULT - 1
                };
                if !is_faulty || event != LAST_SOUND || !is_due() {
                    return engine::write_chunk(conn, text);
                }
                repeated.fetch_add(1, Ordering::Relaxed);
                log.line(&format!(
                    "i-{n:04} repeats its first {event} events without end behind event {event}"
                ));
                let start: Vec<String> =
                    (1..=event).map(|id| format!("id: {id}\ndata: v1 piece {id}\n\n")).collect();
                let start = start.concat();
                let mut bytes = format!("{text}{}", start.repeat(8));
                while engine::write_chunk(conn, &bytes) {
                    bytes = start.repeat(8);
                }
                false
            },
        )?;
    }
    let daemons = base::start_daemons(work, store.serve()?, 2)?;
    let broken = Arc::new(AtomicUsize::new(0));
    let complete = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..8)
        .map(|n| {
            let at = daemons[n % daemons.len()].front;
            let (record, broken, complete) = (record.clone(), broken.clone(), complete.clone());
            thread::spawn(move || {
                for _ in 0..STREAMS / 8 {
                    let mut stream = Stream::default();
                    stream.attempt(at, "/draft/1", ms(12_500), &record);
                    let ids: Vec<u64> = stream.events.iter().map(|(id, _)| *id).collect();
                    let is_in_order = ids.iter().zip(1..).all(|(id, expected)| *id == expected);
                    let is_whole = is_in_order && ids.len() as u64 == PLAN.events;
                    complete.fetch_add(usize::from(stream.complete && is_whole), Ordering::Relaxed);
                    if !is_in_order || (stream.complete && !is_whole) {
                        broken.fetch_add(1, Ordering::Relaxed);
                        record.line(&format!(
                            "ORDER: the client of {:?} has the events {ids:?}, complete {}",
                            stream.first, stream.complete
                        ));
                    }
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let (repeated, broken, complete) = (
        repeated.load(Ordering::Relaxed),
        broken.load(Ordering::Relaxed),
        complete.load(Ordering::Relaxed),
    );
    let text = format!(
        "{STREAMS} streams, {complete} whole; {repeated} responses with repeated bytes; {broken} streams with a missing event"
    );
    record.line(&text);
    println!("{text}");
    if complete < STREAMS / 2 || (base::trouble() && repeated == 0) {
        return Err(io::Error::other("the case did not happen"));
    }
    Ok(broken == 0)
}
