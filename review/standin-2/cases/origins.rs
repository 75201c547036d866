//! Streams of a daemon that is killed, which clients take up at the others while two software
//! versions serve.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::RwLock;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::{Deployment, ENGINES, HOST, KEY, spec};
use crate::Record;
use crate::daemons::CONTACT;
use crate::http;
use crate::replica::Spec;

const ENGINES_PER_VERSION: usize = 3;
/// The events of a stream, and the time between two: the means of the deployment's `order-summary`.
const EVENTS: u64 = 49;
const GAP: Duration = Duration::from_micros(3_300);
/// Streams a second that begin at each daemon.
const PER_SECOND: f64 = 60.0;
const KILLS: usize = 5;
const DOWN: Duration = Duration::from_millis(3_500);
/// The time between the start of a daemon and the next kill, after which all count as in touch.
const CALM: Duration = Duration::from_millis(4_500);
/// How long a client tries to take a stream up: a stream without an event for two seconds is
/// abandoned.
const MAX_TAKE_UP_TIME: Duration = Duration::from_secs(3);
/// The least number of streams that are taken up for the rule to apply.
const MIN_TAKEN_UP: u64 = 12;

#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    began: AtomicU64,
    taken_up: AtomicU64,
    went_on: AtomicU64,
    mixed: AtomicU64,
    next: AtomicU64,
}

/// When each daemon was started last; `None` while it is killed.
struct Starts(RwLock<Vec<Option<Instant>>>);

impl Starts {
    /// Returns whether a machine is in touch: its process was not started within `contact_ms`.
    fn is_in_touch(&self, daemon: usize) -> bool {
        self.0.read().unwrap()[daemon].is_some_and(|at| at.elapsed() >= CONTACT)
    }

    fn set(&self, daemon: usize, start: Option<Instant>) {
        self.0.write().unwrap()[daemon] = start;
    }
}

/// What a client has of one stream, over all of its tries.
#[derive(Default)]
struct Stream {
    events: u64,
    software: BTreeSet<String>,
    /// The request whose response brought the first event.
    first: Option<String>,
    is_complete: bool,
}

struct World<'a> {
    record: &'a Record,
    fronts: &'a [SocketAddr],
    starts: &'a Starts,
    counts: &'a Counts,
}

/// LOST: of 12 or more streams that clients take up again at machines in touch, while two replicas
/// of their software version serve, the share that goes on is at least half of the share of new
/// streams that begin.
pub fn run(record: &'static Record, is_troubled: bool) -> Result<bool, String> {
    let mut deployment = Deployment::spawn_with(record, 2 * ENGINES_PER_VERSION, |index| Spec {
        service: ENGINES.into(),
        software: if index < ENGINES_PER_VERSION { "v1" } else { "v2" }.into(),
        stream: Some((EVENTS, GAP)),
        slots: 128,
        ..spec(index)
    })?;
    let fronts = deployment.daemons.fronts.clone();
    let starts = Starts(RwLock::new(vec![Some(Instant::now()); fronts.len()]));
    thread::sleep(CONTACT);
    let (counts, is_over) = (Counts::default(), AtomicBool::new(false));
    let world = World { record, fronts: &fronts, starts: &starts, counts: &counts };
    let result = thread::scope(|scope| {
        for daemon in 0..fronts.len() {
            let (world, is_over) = (&world, &is_over);
            scope.spawn(move || begin_streams(world, daemon, is_over));
        }
        let result = disturb(&mut deployment, &world, is_troubled);
        is_over.store(true, Ordering::SeqCst);
        result
    });
    result?;
    deployment.finish()?;
    let n = |count: &AtomicU64| count.load(Ordering::SeqCst);
    let (sent, began) = (n(&counts.sent), n(&counts.began));
    let (taken_up, went_on) = (n(&counts.taken_up), n(&counts.went_on));
    let new_share = began as f64 / sent.max(1) as f64;
    let share = went_on as f64 / taken_up.max(1) as f64;
    record.line(
        true,
        &format!(
            "new streams: {began} of {sent} began ({new_share:.3}); taken up: {went_on} of {taken_up} \
             went on ({share:.3}), needed {:.3}; of two versions: {}",
            new_share / 2.0,
            n(&counts.mixed)
        ),
    );
    if began < 100 || (is_troubled && taken_up < MIN_TAKEN_UP) {
        return Err("too few streams".into());
    }
    Ok(taken_up < MIN_TAKEN_UP || share >= new_share / 2.0)
}

/// Kills one daemon after the other, and starts each again.
fn disturb(
    deployment: &mut Deployment,
    world: &World<'_>,
    is_troubled: bool,
) -> Result<(), String> {
    thread::sleep(Duration::from_secs(2));
    for victim in 0..KILLS {
        if is_troubled {
            world.record.line(true, &format!("daemon {victim} is killed"));
            world.starts.set(victim, None);
            deployment.daemons.kill(victim);
        }
        thread::sleep(DOWN);
        if is_troubled {
            deployment.daemons.start(victim)?;
            world.record.line(true, &format!("daemon {victim} is ready again"));
            world.starts.set(victim, Some(Instant::now()));
        }
        thread::sleep(CALM);
    }
    Ok(())
}

/// Begins streams evenly at one daemon while it is in touch.
fn begin_streams(world: &World<'_>, daemon: usize, is_over: &AtomicBool) {
    let interval = Duration::from_secs_f64(1.0 / PER_SECOND);
    thread::scope(|scope| {
        let mut next = Instant::now() + interval.mul_f64(daemon as f64 / 7.0);
        while !is_over.load(Ordering::SeqCst) {
            next += interval;
            thread::sleep(next.saturating_duration_since(Instant::now()));
            if world.starts.is_in_touch(daemon) {
                scope.spawn(move || run_stream(world, daemon));
            }
        }
    });
}

/// Begins a stream, and takes it up at other daemons if it breaks off.
fn run_stream(world: &World<'_>, daemon: usize) {
    let mut stream = Stream::default();
    attempt(world, daemon, &mut stream);
    let counts = world.counts;
    let add = |count: &AtomicU64| count.fetch_add(1, Ordering::SeqCst);
    if stream.events == 0 {
        // One that met the killed daemon is no try at a machine in touch.
        if world.starts.is_in_touch(daemon) {
            add(&counts.sent);
        }
        return;
    }
    add(&counts.sent);
    add(&counts.began);
    if !stream.is_complete && take_up(world, daemon, &mut stream) {
        add(&counts.taken_up);
        add(&counts.went_on);
    } else if !stream.is_complete {
        add(&counts.taken_up);
    }
    if stream.software.len() > 1 {
        add(&counts.mixed);
    }
}

/// Tries to take a stream up at machines in touch, as the answers say; returns whether it went on.
fn take_up(world: &World<'_>, broken: usize, stream: &mut Stream) -> bool {
    let (before, until) = (stream.events, Instant::now() + MAX_TAKE_UP_TIME);
    let mut turn = world.counts.next.fetch_add(1, Ordering::SeqCst) as usize;
    while Instant::now() < until && stream.events == before {
        let daemon = turn % world.fronts.len();
        turn += 1;
        if daemon == broken || !world.starts.is_in_touch(daemon) {
            continue;
        }
        let after = attempt(world, daemon, stream);
        let after = after.map_or(Duration::from_millis(100), Duration::from_secs_f64);
        if stream.events == before {
            thread::sleep(after.min(Duration::from_secs(1)));
        }
    }
    stream.events > before
}

/// Sends one client attempt; returns the `Retry-After` of a refusal.
fn attempt(world: &World<'_>, daemon: usize, stream: &mut Stream) -> Option<f64> {
    let number = world.counts.next.fetch_add(1, Ordering::SeqCst);
    let (id, at) = (format!("stream-{number}"), world.fronts[daemon]);
    let mut headers = vec![
        ("Host", HOST.to_string()),
        ("X-Request-Id", id.clone()),
        ("X-Request-Deadline", "12000".into()),
        ("Authorization", format!("Bearer {KEY}")),
        ("X-Model", "curd".into()),
        ("X-Token-Usage", "827,49".into()),
        ("X-Prefix-Hash", format!("5c1e07a{}:650,{number:08x}:177", number % 10)),
    ];
    let what = match &stream.first {
        Some(first) => {
            headers.push(("Last-Event-Id", stream.events.to_string()));
            headers.push(("Resumes", first.clone()));
            format!("takes {first} up after event {} with {id}", stream.events)
        }
        None => format!("begins {id}"),
    };
    if stream.first.is_some() {
        world.record.line(false, &format!("client {what} at {at}"));
    }
    let timeout = Duration::from_millis(2_500);
    let body = format!("prompt {number}");
    let answer = http::call_and_keep(at, "POST /draft/1", &headers, body.as_bytes(), timeout);
    let (status, after) = match answer {
        Ok((answer, read)) => {
            if answer.status() == 200 {
                stream.add(&id, &String::from_utf8_lossy(&answer.body), read.is_ok());
            }
            let after = answer.header("retry-after").and_then(|text| text.parse().ok());
            (answer.status(), after)
        }
        Err(_) => (0, None),
    };
    if stream.first.is_some() && (!stream.is_complete || what.starts_with("takes")) {
        let (events, software) = (stream.events, &stream.software);
        world.record.line(
            false,
            &format!(
                "client has {status} for {id}: {events} events of {software:?}, complete={}",
                stream.is_complete
            ),
        );
    }
    after
}

impl Stream {
    /// Adds the whole events of a response.
    fn add(&mut self, id: &str, body: &str, is_complete: bool) {
        for event in body.split_inclusive("\n\n").filter(|event| event.ends_with("\n\n")) {
            let number = event.strip_prefix("id: ").and_then(|rest| rest.split('\n').next());
            let Some(number) = number.and_then(|text| text.parse().ok()) else { continue };
            self.events = number;
            let data = event.split("data: ").nth(1).unwrap_or("");
            self.software.insert(data.split(' ').next().unwrap_or("").into());
            self.first.get_or_insert_with(|| id.into());
        }
        self.is_complete |= is_complete && self.events == EVENTS;
    }
}
