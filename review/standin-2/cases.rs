//! The cases: what is sent, and whether the rule held.

mod origins;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Record;
use crate::daemons::{CONTACT, Daemons};
use crate::http;
use crate::replica::{Replica, Runs, Spec};
use crate::store::Store;

const HOST: &str = "shop.example";
const KEY: &str = "key-of-the-first-tenant";
const OTHER_KEY: &str = "key-of-the-second-tenant";
const SERVICE: &str = "coop-app";
/// The service of the engines, whose replicas have the same addresses in the case that uses it.
const ENGINES: &str = "llm-pool";
const ZONES: [&str; 4] = ["laguna", "batangas", "pampanga", "bulacan"];
const DAEMONS: usize = 7;
/// The path of the request that crashes replicas.
const DEADLY: &str = "/hold/deadly";
/// How long a crashed replica is away.
const AWAY: Duration = Duration::from_secs(2);
/// How often a request that crashes replicas may reach one later than `contact_ms` after the third
/// crash.
const TOLERATED_RETRIES: usize = 3;
/// The sound requests a second of the case `brittle`, below the 240 that the replicas can run.
const BRITTLE_PER_SECOND: f64 = 210.0;
const MAX_CALL_TIME: Duration = Duration::from_secs(3);

/// Runs a case; returns whether the rule held.
pub fn run(case: &str, record: &'static Record, is_troubled: bool) -> Result<bool, String> {
    match case {
        "quiet" => deadly(record, is_troubled, Deadly::QUIET),
        "parts" => deadly_part(record, is_troubled),
        "long" => deadly(record, is_troubled, Deadly::LONG),
        "short" => deadly(record, is_troubled, Deadly { body: 600, ..Deadly::LONG }),
        "brittle" => brittle(record, is_troubled),
        "origins" => origins::run(record, is_troubled),
        _ => Err(format!("there is no case {case}")),
    }
}

/// A deployment with the service `coop-app`.
struct Deployment {
    daemons: Daemons,
    replicas: Vec<Arc<Replica>>,
    runs: Arc<Runs>,
    record: &'static Record,
    next_id: AtomicU64,
    answers: Mutex<BTreeMap<String, usize>>,
}

impl Deployment {
    fn spawn(record: &'static Record, spec: impl Fn(usize) -> Spec) -> Result<Self, String> {
        Self::spawn_with(record, ZONES.len(), spec)
    }

    fn spawn_with(
        record: &'static Record,
        replicas: usize,
        spec: impl Fn(usize) -> Spec,
    ) -> Result<Self, String> {
        let store = Store::spawn().map_err(|e| e.to_string())?;
        store.put("op", "config", &configuration());
        store.put("op", "version/curd", "{\"model\":\"curd\",\"version\":1}");
        let runs: Arc<Runs> = Arc::default();
        let spawn = |index| Replica::spawn(spec(index), &store, record, &runs);
        let replicas: Result<_, _> = (0..replicas).map(spawn).collect();
        let replicas = replicas.map_err(|e| e.to_string())?;
        let daemons = Daemons::spawn(DAEMONS, store.address)?;
        record.line(true, "daemons are ready");
        // Daemons know each other some digests later.
        thread::sleep(Duration::from_secs(3));
        let (next_id, answers) = (AtomicU64::new(1), Mutex::default());
        Ok(Self { daemons, replicas, runs, record, next_id, answers })
    }

    /// Sends a request to a daemon on a new connection and records the answer.
    fn send(&self, kind: &str, at: SocketAddr, path: &str, key: &str, body: &[u8]) {
        self.send_with(kind, at, path, key, &[], body);
    }

    fn send_with(
        &self,
        kind: &str,
        at: SocketAddr,
        path: &str,
        key: &str,
        more: &[(&str, String)],
        body: &[u8],
    ) {
        let id = format!("{kind}-{}", self.next_id.fetch_add(1, Ordering::SeqCst));
        let is_rare = kind == "deadly";
        let record = self.record;
        record.line(is_rare, &format!("client sends {id} POST {path} to {at} body={}", body.len()));
        let mut headers = vec![
            ("Host", HOST.to_string()),
            ("X-Request-Id", id.clone()),
            ("X-Request-Deadline", MAX_CALL_TIME.as_millis().to_string()),
            ("Authorization", format!("Bearer {key}")),
        ];
        headers.extend_from_slice(more);
        let line = format!("POST {path}");
        let answer = http::call(at, &line, &headers, body, MAX_CALL_TIME + Duration::from_secs(1));
        let (status, text) = match &answer {
            Ok(answer) => (answer.status(), String::from_utf8_lossy(&answer.body).into_owned()),
            Err(e) => (0, e.to_string()),
        };
        record.line(is_rare, &format!("client gets {status} to {id}: {text}"));
        let mut answers = self.answers.lock().unwrap();
        *answers.entry(format!("{kind} {status}")).or_default() += 1;
    }

    fn front(&self, index: usize) -> SocketAddr {
        self.daemons.fronts[index % self.daemons.fronts.len()]
    }

    /// Sends sound requests evenly until the flag is set, `per_second` of them in all.
    fn send_sound(&self, per_second: f64, is_over: &AtomicBool) {
        let began = Instant::now();
        thread::scope(|scope| {
            let mut sent = 0_u32;
            while !is_over.load(Ordering::SeqCst) {
                let due = Duration::from_secs_f64(f64::from(sent) / per_second);
                if let Some(wait) = due.checked_sub(began.elapsed()) {
                    thread::sleep(wait.min(Duration::from_millis(100)));
                    continue;
                }
                sent += 1;
                let at = self.front(sent as usize);
                scope.spawn(move || {
                    let path = format!("/hold/sound-{sent}");
                    self.send("sound", at, &path, OTHER_KEY, &[b's'; 600]);
                });
            }
        });
    }

    /// Returns whether few enough requests that crash replicas have reached one later than `contact_ms`
    /// after crash number `count`. No machine is disturbed, so that all are in touch.
    fn judge_deadly(&self, is_troubled: bool, name: &str, count: usize) -> Result<bool, String> {
        let crashes = self.runs.crashes.lock().unwrap();
        let all = crashes.len();
        let Some(at) = crashes.get(count - 1) else {
            self.record.line(true, &format!("crashes={all}"));
            let reason = format!("there were no {count} crashes");
            return if is_troubled { Err(reason) } else { Ok(true) };
        };
        let from = at + CONTACT.as_millis() as u64;
        let runs = self.runs.runs.lock().unwrap();
        let late = runs.iter().filter(|run| run.has_crashed && run.at_ms > from).count();
        self.record.line(
            true,
            &format!(
                "crashes={all} {name} at {at} ms; requests that reached a replica after {from} ms: \
                 {late}, tolerated {TOLERATED_RETRIES}"
            ),
        );
        Ok(late <= TOLERATED_RETRIES)
    }

    fn finish(&mut self) -> Result<(), String> {
        for (answer, count) in self.answers.lock().unwrap().iter() {
            self.record.line(true, &format!("answers: {answer}: {count}"));
        }
        for line in self.daemons.log_lines("quarantine") {
            self.record.line(false, &format!("daemon log: {line}"));
        }
        let is_running = self.daemons.are_running();
        if is_running { Ok(()) } else { Err("a daemon has ended".into()) }
    }
}

fn spec(index: usize) -> Spec {
    Spec {
        id: format!("i-{index:04}"),
        service: SERVICE.into(),
        zone: ZONES[index % ZONES.len()].into(),
        software: "v1".into(),
        stream: None,
        slots: 6,
        queue: 12,
        work: Duration::from_millis(15),
        away: AWAY,
        deadly: None,
        brittle: None,
        brittle_queue: 12,
    }
}

fn configuration() -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"hold\",\"host\":\"{HOST}\",\"prefix\":\"/hold/\",\
         \"kind\":\"unsafe\",\"service\":\"{SERVICE}\",\"timeout_ms\":3000,\
         \"target_latency_ms\":100,\"priority\":2,\"max_attempts\":1,\"public\":false,\
         \"resumable\":false}},{{\"name\":\"talk\",\"host\":\"{HOST}\",\"prefix\":\"/talk/\",\
         \"kind\":\"streaming\",\"service\":\"{ENGINES}\",\"timeout_ms\":15000,\
         \"target_latency_ms\":600,\"target_gap_ms\":300,\"priority\":2,\"max_attempts\":1,\
         \"public\":false,\"sticky\":true,\"resumable\":false}},{{\"name\":\"draft\",\
         \"host\":\"{HOST}\",\"prefix\":\"/draft/\",\"kind\":\"streaming\",\
         \"service\":\"{ENGINES}\",\"timeout_ms\":12000,\"target_latency_ms\":400,\
         \"target_gap_ms\":300,\"priority\":1,\"max_attempts\":2,\"public\":false,\
         \"sticky\":true,\"resumable\":true}}],\"services\":[{{\
         \"name\":\"{ENGINES}\",\"health_path\":\"/health\",\"max_connections\":620,\
         \"engine\":{{\"slots\":32,\"kv_capacity_tokens\":179183,\"kv_token_bytes\":35136,\
         \"max_in_flight\":12,\"models\":[{{\"name\":\"curd\"}}]}}}},{{\"name\":\"{SERVICE}\",\
         \"health_path\":\"/health\",\"max_connections\":100}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"first\",\"api_keys\":[\"{KEY}\"],\"priority\":1}},\
         {{\"name\":\"second\",\"api_keys\":[\"{OTHER_KEY}\"],\"priority\":1}}]}}"
    )
}

/// A request that crashes each replica that begins to run it, and comes again at any machine.
#[derive(Clone, Copy)]
struct Deadly {
    /// The size of its body.
    body: usize,
    /// The time between two repeats.
    interval: Duration,
    repeats: usize,
    /// Sound requests a second of another tenant.
    sound_per_second: f64,
}

impl Deadly {
    /// A short request at night, when the service gets nothing else.
    const QUIET: Self = Self {
        body: 600,
        interval: Duration::from_secs(3),
        repeats: 20,
        sound_per_second: 0.0,
    };
    /// A long request by day.
    const LONG: Self = Self {
        body: 70_000,
        interval: Duration::from_secs(2),
        repeats: 20,
        sound_per_second: 60.0,
    };
}

/// BUDGET: a request that crashes the replicas that run it reaches replicas in at most three retries
/// that were sent later than `contact_ms` after it has crashed the third.
fn deadly(record: &'static Record, is_troubled: bool, trouble: Deadly) -> Result<bool, String> {
    let crash = (DEADLY, Duration::from_millis(20));
    let mut deployment = Deployment::spawn(record, |index| Spec {
        deadly: is_troubled.then_some(crash),
        work: Duration::from_millis(50),
        ..spec(index)
    })?;
    let is_over = AtomicBool::new(false);
    let body = vec![b'd'; trouble.body];
    thread::scope(|scope| {
        let deployment = &deployment;
        if trouble.sound_per_second > 0.0 {
            scope.spawn(|| deployment.send_sound(trouble.sound_per_second, &is_over));
            thread::sleep(Duration::from_secs(5));
        }
        for repeat in 0..trouble.repeats {
            let sent = Instant::now();
            // Each repeat comes at another machine.
            deployment.send("deadly", deployment.front(repeat * 3), DEADLY, KEY, &body);
            thread::sleep(trouble.interval.saturating_sub(sent.elapsed()));
        }
        is_over.store(true, Ordering::SeqCst);
    });
    deployment.finish()?;
    deployment.judge_deadly(is_troubled, "third", 3)
}

/// BUDGET: at most three requests with a part that crashes replicas reach replicas later than
/// `contact_ms` after the fifth crash. Each request has a path, a body and a last part of its own.
fn deadly_part(record: &'static Record, is_troubled: bool) -> Result<bool, String> {
    let crash = ("/talk/", Duration::from_millis(50));
    let mut deployment = Deployment::spawn(record, |index| Spec {
        service: ENGINES.into(),
        slots: 32,
        deadly: is_troubled.then_some(crash),
        ..spec(index)
    })?;
    for number in 0..18 {
        let parts = format!("5c1e07a2:800,dead{:04x}:410,{:08x}:250", 0xbeef, 0xe440_0000_u32 + number);
        let more = [
            ("X-Model", "curd".to_string()),
            ("X-Token-Usage", "1460,80".to_string()),
            ("X-Prefix-Hash", parts),
        ];
        let (at, path) = (deployment.front(number as usize * 3), format!("/talk/{number}"));
        deployment.send_with("deadly", at, &path, KEY, &more, format!("prompt {number}").as_bytes());
        thread::sleep(Duration::from_secs(3));
    }
    deployment.finish()?;
    deployment.judge_deadly(is_troubled, "fifth", 5)
}

/// LIMIT: while a service's replicas say that they are brittle, they fall over at most as often as
/// two and a tenth of their number.
fn brittle(record: &'static Record, is_troubled: bool) -> Result<bool, String> {
    let mut deployment = Deployment::spawn(record, |index| Spec {
        work: Duration::from_millis(100),
        brittle: Some(3),
        brittle_queue: 0,
        ..spec(index)
    })?;
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        let deployment = &deployment;
        scope.spawn(|| deployment.send_sound(BRITTLE_PER_SECOND, &is_over));
        thread::sleep(Duration::from_secs(5));
        if is_troubled {
            record.line(true, "replicas are brittle");
            deployment.replicas.iter().for_each(|replica| replica.set_brittle(true));
        }
        thread::sleep(Duration::from_secs(20));
        deployment.replicas.iter().for_each(|replica| replica.set_brittle(false));
        is_over.store(true, Ordering::SeqCst);
    });
    deployment.finish()?;
    let falls = deployment.runs.crashes.lock().unwrap().len();
    let turned_away = deployment.runs.turned_away.load(Ordering::SeqCst);
    let tolerated = 2.0 + 0.1 * deployment.replicas.len() as f64;
    record.line(true, &format!("falls={falls} tolerated={tolerated} turned_away={turned_away}"));
    Ok(falls as f64 <= tolerated)
}
