//! A release puts engines of a second software version beside the first. A daemon is killed while
//! streams pass through it, and clients take them up at the other daemons.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::base::{
    self, Daemon, DaemonPlan, Link, Random, Record, RouteText, Store, lock, ms, own_ip,
};
use crate::engine::{self, Stream, StreamPlan};

const DAEMONS: usize = 6;
/// Streams a second that begin at each daemon, and its clients.
const PER_SECOND: f64 = 100.0;
const CLIENTS: usize = 40;
const PLAN: StreamPlan = StreamPlan { events: 49, gap: Duration::from_micros(3_300) };
const DOWN: Duration = Duration::from_millis(3_500);

#[derive(Default)]
struct Counts {
    began: AtomicU32,
    refused: AtomicU32,
    taken_up: AtomicU32,
    went_on: AtomicU32,
    mixed: AtomicU32,
}

struct World {
    record: Record,
    fronts: Vec<SocketAddr>,
    is_up: Vec<AtomicBool>,
    counts: Counts,
    done: AtomicBool,
}

/// Runs the case; with `turned_away`, the store does not respond to two daemons since before the
/// release, and the check is ORDER, otherwise LOST.
pub fn run(record: &Record, work: &Path, turned_away: bool) -> io::Result<bool> {
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
    let start = |id: &str, software: &str| {
        engine::start(id, software, PLAN, &store, record, |conn, text, _| {
            engine::write_chunk(conn, text)
        })
    };
    for n in 0..3 {
        start(&format!("i-a{n}"), "v1")?;
    }
    let at = store.serve()?;
    let controls: Vec<SocketAddr> =
        (0..DAEMONS).map(|i| base::free_port(own_ip(i))).collect::<io::Result<_>>()?;
    let mut daemons = Vec::new();
    let mut links = Vec::new();
    for index in 0..DAEMONS {
        // Only daemons that are turned away need a link of their own to the store.
        let link = match turned_away {
            true => Some(Link::open((std::net::Ipv4Addr::LOCALHOST, 0).into(), at)?),
            false => None,
        };
        let plan = DaemonPlan {
            index,
            ip: controls[index].ip(),
            control: controls[index],
            seeds: controls[..3].to_vec(),
            store: link.as_ref().map_or(at, |link| link.at),
            common_store: link.as_ref().map(|_| at),
        };
        daemons.push(Daemon::start(work, &plan)?);
        links.extend(link);
    }
    if !daemons.iter().all(Daemon::wait_ready) {
        return Err(io::Error::other("a daemon did not become ready"));
    }
    thread::sleep(ms(2_000));
    let world = Arc::new(World {
        record: record.clone(),
        fronts: daemons.iter().map(|d| d.front).collect(),
        is_up: (0..DAEMONS).map(|_| AtomicBool::new(true)).collect(),
        counts: Counts::default(),
        done: AtomicBool::new(false),
    });
    let daemons = Mutex::new(daemons);
    let clients: Vec<_> = (0..DAEMONS)
        .flat_map(|daemon| (0..CLIENTS).map(move |n| (daemon, n)))
        .map(|(daemon, n)| {
            let world = world.clone();
            thread::spawn(move || client(&world, daemon, n))
        })
        .collect();
    thread::sleep(ms(1_000));
    let rounds = if turned_away { 1 } else { 9 };
    for round in 0..rounds {
        if turned_away && base::trouble() {
            record.line("the store does not respond to daemons 4 and 5");
            links[4].set_cut(true);
            links[5].set_cut(true);
            thread::sleep(ms(500));
        }
        if round == 0 {
            for n in 0..3 {
                start(&format!("i-b{n}"), "v2")?;
            }
            record.line("engines of v2 have registered");
            thread::sleep(ms(1_500));
        }
        // Two daemons are killed one after the other while the store turns the others away.
        for victim in if turned_away { vec![0, 1] } else { vec![round % 4] } {
            if base::trouble() {
                record.line(&format!("daemon {victim} is killed"));
                world.is_up[victim].store(false, Ordering::Relaxed);
                lock(&daemons)[victim].kill();
            }
            thread::sleep(DOWN);
            if base::trouble() {
                let mut daemons = lock(&daemons);
                daemons[victim].run()?;
                record.line(&format!("daemon {victim} is started"));
                if !turned_away {
                    daemons[victim].wait_ready();
                    world.is_up[victim].store(true, Ordering::Relaxed);
                }
            }
            if !turned_away {
                thread::sleep(ms(2_500));
            }
        }
    }
    for link in &links {
        link.set_cut(false);
    }
    thread::sleep(ms(1_500));
    world.done.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    judge(&world, turned_away)
}

fn judge(world: &World, turned_away: bool) -> io::Result<bool> {
    let n = |count: &AtomicU32| count.load(Ordering::Relaxed);
    let counts = &world.counts;
    let (began, refused) = (n(&counts.began), n(&counts.refused));
    let (taken_up, went_on, mixed) = (n(&counts.taken_up), n(&counts.went_on), n(&counts.mixed));
    let new_share = f64::from(began) / f64::from((began + refused).max(1));
    let share = f64::from(went_on) / f64::from(taken_up.max(1));
    let text = format!(
        "{began} of {} new streams began ({new_share:.3}); {taken_up} were taken up again, {went_on} of them went on ({share:.3}); {mixed} hold events of two software versions",
        began + refused
    );
    world.record.line(&text);
    println!("{text}");
    if began < 100 || (base::trouble() && taken_up < 12) {
        return Err(io::Error::other("too few streams"));
    }
    Ok(if turned_away { mixed <= 2 } else { taken_up < 12 || share >= new_share / 2.0 })
}

/// Begins streams at one daemon, and takes up those that break at other daemons.
fn client(world: &World, daemon: usize, n: usize) {
    static TURN: AtomicUsize = AtomicUsize::new(0);
    let mut random = Random::new((daemon * CLIENTS + n + 1) as u64);
    let pause = Duration::from_secs_f64(CLIENTS as f64 / PER_SECOND);
    while !world.done.load(Ordering::Relaxed) {
        thread::sleep(pause.mul_f64(2.0 * random.unit()).saturating_sub(ms(160)));
        if !world.is_up[daemon].load(Ordering::Relaxed) {
            continue;
        }
        let mut stream = Stream::default();
        let (status, _) =
            stream.attempt(world.fronts[daemon], "/draft/1", ms(2_500), &world.record);
        if stream.events.is_empty() {
            // Attempts that met the killed daemon are not counted.
            if status != 0 && status != 200 {
                world.counts.refused.fetch_add(1, Ordering::Relaxed);
            }
            continue;
        }
        world.counts.began.fetch_add(1, Ordering::Relaxed);
        if !stream.complete && !world.done.load(Ordering::Relaxed) {
            take_up(world, &mut stream, daemon, TURN.fetch_add(1, Ordering::Relaxed));
        }
        if stream.software().len() > 1 {
            world.counts.mixed.fetch_add(1, Ordering::Relaxed);
            world.record.line(&format!(
                "ORDER: stream {:?} holds events of {:?}",
                stream.first,
                stream.software()
            ));
        }
    }
}

/// Takes a stream up at another daemon; a refusal is followed by further tries there, as it says.
fn take_up(world: &World, stream: &mut Stream, broken: usize, turn: usize) {
    world.counts.taken_up.fetch_add(1, Ordering::Relaxed);
    let others: Vec<usize> =
        (0..DAEMONS).filter(|d| *d != broken && world.is_up[*d].load(Ordering::Relaxed)).collect();
    let began = stream.events.len();
    let until = Instant::now() + ms(3_000);
    let mut turn = turn;
    while Instant::now() < until && !stream.complete {
        let at = world.fronts[others[turn % others.len()]];
        let (status, after) = stream.attempt(at, "/draft/1", ms(2_500), &world.record);
        match (status, after) {
            (200, _) => break,
            (503 | 429, Some(after)) => thread::sleep(Duration::from_secs_f64(after.min(1.0))),
            _ => thread::sleep(ms(100)),
        }
        turn += 1;
    }
    if stream.events.len() > began {
        world.counts.went_on.fetch_add(1, Ordering::Relaxed);
    }
}
