//! Tests records of idempotency keys: large responses, outages of the table, and the load on it.

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use actix_http::Method;
use bytes::Bytes;
use cumintrail_client::HttpPlatform;
use cumintrail_client::retention::sweep;
use cumintrail_control::once::{SHARDS, UnixMillis};
use cumintrail_tests::cluster::{CALLER_KEY, Cluster, Plan, eventually};
use cumintrail_tests::http::{ClientResponse, send};
use cumintrail_tests::standins::{platform, service};
use cumintrail_types::{Ran, RefusalCode};
use cumintrail_wire::caller::{IDEMPOTENCY_KEY_HEADER, RefusalBody};
use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const LIMIT: Duration = Duration::from_secs(30);
/// The mean interval between calls at one daemon at the two-year size, in milliseconds.
const CALL_GAP_MS: f64 = 294.0;
const SEED: u64 = 7;
const LARGE: usize = 300 << 10;

/// Starts a deployment whose service and account allow 1,000 concurrent calls.
async fn spawn_with_capacity(daemons: usize) -> Cluster {
    let cluster = Cluster::spawn(&Plan { daemons, ..Plan::default() }).await.unwrap();
    let text = std::fs::read_to_string(cluster.declarations.path().join("deployment.ini"));
    let text =
        text.unwrap().replacen("[account kesong]\n", "[account kesong]\nconcurrency = 1000\n", 1);
    let text = text.replace("service = holds\n", "service = holds\nslots = 1000\n");
    let generation = cluster.reapply(&text).await.unwrap();
    for daemon in &cluster.daemons {
        assert!(eventually(LIMIT, || daemon.generation() == generation).await);
    }
    cluster
}

async fn keyed(at: SocketAddr, key: &str, body: &str) -> ClientResponse {
    let bearer = format!("Bearer {CALLER_KEY}");
    let headers = [("authorization", bearer.as_str()), (IDEMPOTENCY_KEY_HEADER, key)];
    send(Method::POST, at, "/services/holds/place", &headers, body.to_owned(), LIMIT).await
}

/// Repeats a call until its outcome is recorded.
async fn repeated(at: SocketAddr, key: &str, body: &str) -> ClientResponse {
    let deadline = Instant::now() + LIMIT;
    let mut got = keyed(at, key, body).await;
    while (got.status == 409 || got.status == 503) && Instant::now() < deadline {
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        got = keyed(at, key, body).await;
    }
    got
}

fn refusal(got: &ClientResponse) -> (RefusalCode, Ran) {
    let body: RefusalBody = got.json().unwrap_or_else(|| panic!("{}: {}", got.status, got.text()));
    (body.error.code, body.error.ran)
}

fn executions_of(cluster: &Cluster, body: &str) -> u64 {
    cluster.services.iter().map(|s| s.executions().get(body).copied().unwrap_or(0)).sum()
}

#[actix_rt::test]
async fn a_large_answer_is_repeated_from_its_object_and_never_a_damaged_one() {
    let cluster = Cluster::spawn(&Plan::default()).await.unwrap();
    let [first, second] = [0, 1].map(|i| cluster.daemons[i].caller_address());
    let body = "w".repeat(LARGE);
    let ran = keyed(first, "large-1", &body).await;
    assert_eq!(ran.status, 200);
    let repeat = repeated(second, "large-1", &body).await;
    assert_eq!((repeat.status, repeat.body == ran.body), (200, true), "{:.200}", repeat.text());

    let names = cluster.platform.objects("answers/");
    assert_eq!(names.len(), 1);
    for damaged in [Some(Bytes::from("another answer")), None] {
        cluster.platform.damage_object(&names[0], damaged);
        let got = keyed(second, "large-1", &body).await;
        assert_eq!(refusal(&got), (RefusalCode::OutcomeUnknown, Ran::Unknown));
    }
    assert_eq!(executions_of(&cluster, &body), 1);
}

#[actix_rt::test]
async fn a_planned_stop_waits_for_the_object_of_a_large_answer() {
    let mut cluster = Cluster::spawn(&Plan::default()).await.unwrap();
    let [first, second] = [0, 1].map(|i| cluster.daemons[i].caller_address());
    let body = "x".repeat(LARGE);
    cluster.services[0].set_fault(service::Fault { slow_ms: 500, ..Default::default() });
    let calling = actix_rt::spawn({
        let body = body.clone();
        async move { keyed(first, "large-2", &body).await }
    });
    let deadline = Instant::now() + LIMIT;
    while executions_of(&cluster, &body) == 0 && Instant::now() < deadline {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    cluster.platform.set_fault(platform::Fault { down: true, ..Default::default() });
    assert_eq!(calling.await.unwrap().status, 200);
    let stopping = actix_rt::spawn(cluster.daemons.remove(0).stop());
    actix_rt::time::sleep(Duration::from_millis(1_500)).await;
    cluster.platform.set_fault(platform::Fault::default());
    stopping.await.unwrap();
    let repeat = repeated(second, "large-2", &body).await;
    assert_eq!(repeat.status, 200, "{:.200}", repeat.text());
    assert_eq!(executions_of(&cluster, &body), 1);
}

#[actix_rt::test]
async fn in_an_outage_keyed_calls_are_soon_refused_without_a_wait_and_run_again_after_it() {
    let cluster = Cluster::spawn(&Plan { daemons: 1, ..Plan::default() }).await.unwrap();
    let at = cluster.daemons[0].caller_address();
    cluster.platform.set_fault(platform::Fault { slow_ms: 60_000, ..Default::default() });
    let mut waits = Vec::new();
    for number in 0..40 {
        let began = Instant::now();
        let got = keyed(at, &format!("outage-{number}"), "outage").await;
        assert_eq!(refusal(&got), (RefusalCode::PlatformUnavailable, Ran::No));
        waits.push(began.elapsed());
    }
    let all: Duration = waits.iter().sum();
    waits.sort();
    println!("refused after p50 {:?}, max {:?}, all 40 {all:?}", waits[20], waits[39]);
    assert!(waits[20] < Duration::from_millis(100), "{waits:?}");
    assert!(waits[39] < Duration::from_secs(2), "{waits:?}");

    cluster.platform.set_fault(platform::Fault::default());
    let healed = Instant::now();
    let got = repeated(at, "outage-0", "outage").await;
    assert_eq!(got.status, 200, "{}", got.text());
    // The longest delay between two trial requests is 4 s with a jitter of one fifth.
    assert!(healed.elapsed() < Duration::from_secs(6), "{:?}", healed.elapsed());
    assert_eq!(executions_of(&cluster, "outage"), 1);
}

#[actix_rt::test]
async fn pending_outcomes_come_back_to_a_healed_table_at_a_bounded_rate() {
    let cluster = spawn_with_capacity(4).await;
    cluster.services[0].set_fault(service::Fault { slow_ms: 2_000, ..Default::default() });
    let calls = 240;
    let at = |number: usize| cluster.daemons[number % 4].caller_address();
    let names: Vec<String> = (0..calls).map(|number| format!("heal-{number}")).collect();
    let calling = join_all(names.iter().enumerate().map(|(n, name)| keyed(at(n), name, name)));
    let platform = &cluster.platform;
    let outage = async {
        let deadline = Instant::now() + LIMIT;
        while platform.rows("once/").len() < calls && Instant::now() < deadline {
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
        platform.set_fault(platform::Fault { down: true, ..Default::default() });
    };
    let (answers, ()) = futures_util::future::join(calling, outage).await;
    let ran = answers.iter().filter(|got| got.status == 200).count();
    assert!(ran > calls / 2, "only {ran} calls ran before the outage");
    actix_rt::time::sleep(Duration::from_secs(6)).await;
    let healed = Instant::now();
    platform.set_fault(platform::Fault::default());
    let recorded = || {
        let keys = platform.rows("once/");
        keys.iter().filter(|key| platform.row(key).is_some_and(|r| r.contains("answered"))).count()
    };
    while recorded() < ran && healed.elapsed() < LIMIT {
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    let (writes, worst) = platform.writes_since(healed);
    println!("{ran} outcomes in {writes} writes, at most {worst} a second, {:?}", healed.elapsed());
    assert_eq!(recorded(), ran);
    // Each of the four daemons waits at least 2 s between transactions.
    assert!(worst <= 6, "{worst} writes within a second");
    assert!(healed.elapsed() < Duration::from_secs(20), "{:?}", healed.elapsed());
}

#[actix_rt::test]
async fn a_keyed_call_costs_the_table_little_more_than_one_write() {
    let cluster = spawn_with_capacity(1).await;
    let at = cluster.daemons[0].caller_address();
    let began = Instant::now();
    let (before, reads) = cluster.platform.table_use();
    let calls = 50_u32;
    let mut rng = StdRng::seed_from_u64(SEED);
    let gaps = (0..calls).map(|_| -CALL_GAP_MS * rng.random_range(f64::EPSILON..1.0).ln());
    let due = gaps.scan(0.0, |at, gap| {
        *at += gap;
        Some(*at)
    });
    let due: Vec<f64> = due.collect();
    let calling = due.iter().enumerate().map(|(number, due)| async move {
        actix_rt::time::sleep(Duration::from_secs_f64(due / 1e3)).await;
        let name = format!("cost-{number}");
        keyed(at, &name, &name).await.status
    });
    let answers = join_all(calling).await;
    actix_rt::time::sleep(Duration::from_millis(1_500)).await;
    let (after, reads_after) = cluster.platform.table_use();
    let writes = (after - before) as f64 / f64::from(calls);
    let reads = (reads_after - reads) as f64 / f64::from(calls);
    println!("{writes} writes and {reads} reads per call, in {:?}", began.elapsed());
    assert!(answers.iter().all(|status| *status == 200), "{answers:?}");
    assert!(writes < 1.4, "{writes} writes per call");
}

#[actix_rt::test]
async fn a_slow_table_gets_larger_transactions_and_no_keyed_call_waits_beyond_its_timeout() {
    let cluster = spawn_with_capacity(1).await;
    let at = cluster.daemons[0].caller_address();
    cluster.platform.set_fault(platform::Fault { slow_ms: 300, ..Default::default() });
    let began = Instant::now();
    let calling = (0..400_u64).map(|number| async move {
        actix_rt::time::sleep(Duration::from_millis(5 * number)).await;
        let asked = Instant::now();
        let name = format!("slow-{number}");
        let got = keyed(at, &name, &name).await;
        (got.status, asked.elapsed())
    });
    let answers = join_all(calling).await;
    let (writes, _) = cluster.platform.writes_since(began);
    let slowest = answers.iter().map(|(_, took)| *took).max().unwrap();
    let ran = answers.iter().filter(|(status, _)| *status == 200).count();
    println!("{ran} of 400 ran with {writes} writes, slowest answer {slowest:?}");
    assert!(answers.iter().all(|(status, _)| matches!(status, 200 | 503)));
    assert!(ran >= 350, "{ran} of 400 ran");
    // The read takes up to 0.75 s, the claim up to twice that.
    assert!(slowest < Duration::from_secs(3), "{slowest:?}");
    assert!(writes < 100, "{writes} writes");
}

#[actix_rt::test]
async fn an_expired_record_is_shrunk_and_its_key_never_runs_again() {
    let mut cluster = Cluster::spawn(&Plan::default()).await.unwrap();
    let [first, second] = [0, 1].map(|i| cluster.daemons[i].caller_address());
    let body = "y".repeat(LARGE);
    assert_eq!(keyed(first, "shrunk", &body).await.status, 200);
    assert_eq!(repeated(second, "shrunk", &body).await.status, 200);
    cluster.daemons.remove(0).stop().await;
    assert!(
        !cluster.platform.rows("once-index/").is_empty(),
        "the stopped daemon did not write its index entries"
    );

    let at = cluster.platform.address();
    let platform = HttpPlatform::open(at, at, at);
    let start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let retention = Duration::from_secs(86_400);
    for hours in [0, 20, 27, 28, 29] {
        for shard in (0..SHARDS).chain(0..1) {
            let now = UnixMillis(start + hours * 3_600_000);
            sweep(&platform, now, retention, shard).await.unwrap();
        }
        let gone = cluster.platform.objects("answers/").is_empty();
        assert_eq!(gone, hours > 26, "after {hours} hours");
    }
    let got = keyed(second, "shrunk", &body).await;
    assert_eq!(refusal(&got), (RefusalCode::KeyExpired, Ran::Unknown));
    assert_eq!(executions_of(&cluster, &body), 1);
}
