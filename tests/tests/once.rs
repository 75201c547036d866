//! Tests at-most-once execution, counted at the service, while daemons, services or the table fail.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_http::Method;
use cumintrail_tests::cluster::{CALLER_KEY, Cluster, OTHER_KEY, Plan, eventually};
use cumintrail_tests::http::{ClientResponse, send};
use cumintrail_tests::process_cluster::ProcessCluster;
use cumintrail_tests::standins::{platform, service};
use cumintrail_types::{Ran, RefusalCode};
use cumintrail_wire::caller::{
    IDEMPOTENCY_KEY_HEADER, KEY_TIME_HEADER, OperationKeyResponse, REPLAYED_HEADER, RefusalBody,
};
use nix::sys::signal::Signal;

const BINARY: &str = env!("CARGO_BIN_EXE_cumintrail-tests");
const LIMIT: Duration = Duration::from_secs(20);

async fn hold(at: SocketAddr, body: &str, headers: &[(&str, &str)]) -> ClientResponse {
    let bearer = format!("Bearer {CALLER_KEY}");
    let mut all = vec![("authorization", bearer.as_str())];
    all.extend_from_slice(headers);
    send(Method::POST, at, "/services/holds/place", &all, body.to_owned(), LIMIT).await
}

async fn keyed(at: SocketAddr, key: &str, body: &str) -> ClientResponse {
    hold(at, body, &[(IDEMPOTENCY_KEY_HEADER, key)]).await
}

async fn issue(at: SocketAddr) -> String {
    let bearer = format!("Bearer {CALLER_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let got = send(Method::POST, at, "/v1/operation-keys", &headers, "", LIMIT).await;
    got.json::<OperationKeyResponse>().unwrap_or_else(|| panic!("{}", got.text())).key
}

fn refusal(got: &ClientResponse) -> (RefusalCode, Ran) {
    let body: RefusalBody = got.json().unwrap_or_else(|| panic!("{}: {}", got.status, got.text()));
    assert_eq!(got.status, body.error.code.status());
    (body.error.code, body.error.ran)
}

fn has_header(got: &ClientResponse, wanted: &str) -> bool {
    got.headers.iter().any(|(name, _)| name == wanted)
}

fn executions_of(cluster: &Cluster, body: &str) -> u64 {
    cluster.services.iter().map(|s| s.executions().get(body).copied().unwrap_or(0)).sum()
}

#[actix_rt::test]
async fn a_repeated_key_is_answered_from_its_record_by_any_daemon() {
    let cluster = Cluster::spawn(&Plan::default()).await.unwrap();
    let [first, second] = [0, 1].map(|i| cluster.daemons[i].caller_address());

    let ran = keyed(first, "hold-1", "two wheels").await;
    assert_eq!(ran.status, 200, "{}", ran.text());
    let mut repeat = keyed(second, "hold-1", "two wheels").await;
    // The outcome is recorded after the response; until then the call counts as in progress.
    while repeat.status == 409 {
        repeat = keyed(second, "hold-1", "two wheels").await;
    }
    assert_eq!((repeat.status, &repeat.body), (200, &ran.body));
    assert!(has_header(&repeat, REPLAYED_HEADER) && !has_header(&ran, REPLAYED_HEADER));

    let reused = keyed(second, "hold-1", "three wheels").await;
    assert_eq!(refusal(&reused), (RefusalCode::KeyReused, Ran::No));
    let old = [(IDEMPOTENCY_KEY_HEADER, "hold-2"), (KEY_TIME_HEADER, "1000")];
    let old = hold(first, "four wheels", &old).await;
    assert_eq!(refusal(&old), (RefusalCode::KeyExpired, Ran::Unknown));
    assert_eq!(
        (executions_of(&cluster, "two wheels"), executions_of(&cluster, "three wheels")),
        (1, 0)
    );
    assert_eq!(executions_of(&cluster, "four wheels"), 0);
}

#[actix_rt::test]
async fn racing_requests_with_one_key_run_once() {
    let cluster = Cluster::spawn(&Plan { services: 2, ..Plan::default() }).await.unwrap();
    for service in &cluster.services {
        service.set_fault(service::Fault { slow_ms: 300, ..service::Fault::default() });
    }
    let at = [0, 1].map(|i| cluster.daemons[i].caller_address());
    let racing = (0..12).map(|i| keyed(at[i % 2], "hold-race", "five wheels"));
    let got = futures_util::future::join_all(racing).await;
    assert_eq!(executions_of(&cluster, "five wheels"), 1);
    let answered = got.iter().filter(|g| g.status == 200).count();
    assert_eq!(answered, 1, "{got:?}");
    for got in got.iter().filter(|g| g.status != 200) {
        assert_eq!(refusal(got), (RefusalCode::InProgress, Ran::Unknown));
        assert!(has_header(got, "retry-after"));
    }
}

#[actix_rt::test]
async fn a_lost_answer_to_the_claim_is_settled_by_its_id() {
    let cluster = Cluster::spawn(&Plan::default()).await.unwrap();
    let at = cluster.daemons[0].caller_address();
    cluster.platform.set_fault(platform::Fault { lose_answers: true, ..Default::default() });
    let ran = keyed(at, "hold-lost", "six wheels").await;
    assert_eq!(ran.status, 200, "{}", ran.text());
    cluster.platform.set_fault(platform::Fault::default());

    let other = cluster.daemons[1].caller_address();
    let deadline = Instant::now() + LIMIT;
    let mut repeat = keyed(other, "hold-lost", "six wheels").await;
    while repeat.status != 200 && Instant::now() < deadline {
        actix_rt::time::sleep(Duration::from_millis(50)).await;
        repeat = keyed(other, "hold-lost", "six wheels").await;
    }
    assert_eq!((repeat.status, &repeat.body), (200, &ran.body));
    assert_eq!(executions_of(&cluster, "six wheels"), 1);
}

#[actix_rt::test]
async fn without_the_table_a_keyed_call_is_refused_at_once_and_not_run() {
    let cluster = Cluster::spawn(&Plan::default()).await.unwrap();
    let at = cluster.daemons[0].caller_address();
    let down = platform::Fault { down: true, ..Default::default() };
    let silent = platform::Fault { slow_ms: 60_000, ..Default::default() };
    for fault in [down, silent] {
        cluster.platform.set_fault(fault);
        let started = Instant::now();
        let got = keyed(at, "hold-down", "seven wheels").await;
        assert_eq!(refusal(&got), (RefusalCode::PlatformUnavailable, Ran::No));
        assert!(has_header(&got, "retry-after"));
        // The limit is below the service's declared timeout of 5 s.
        assert!(started.elapsed() < Duration::from_secs(4));
    }
    assert_eq!(executions_of(&cluster, "seven wheels"), 0);
}

#[actix_rt::test]
async fn a_claim_whose_call_was_not_sent_is_released() {
    let cluster = Cluster::spawn(&Plan::default()).await.unwrap();
    let at = cluster.daemons[0].caller_address();
    let (written, _) = cluster.platform.table_use();
    // The claim takes longer than the caller's deadline, so the call is not sent.
    cluster.platform.set_fault(platform::Fault { slow_ms: 500, ..Default::default() });
    let headers = [(IDEMPOTENCY_KEY_HEADER, "hold-late"), ("x-cumintrail-deadline-ms", "200")];
    let got = hold(at, "eight wheels", &headers).await;
    assert_eq!(refusal(&got), (RefusalCode::Deadline, Ran::No));
    assert_eq!(executions_of(&cluster, "eight wheels"), 0);
    // The claim takes effect after the caller was refused.
    let claim_written = || cluster.platform.table_use().0 > written;
    assert!(eventually(LIMIT, claim_written).await);

    cluster.platform.set_fault(platform::Fault::default());
    let deadline = Instant::now() + LIMIT;
    let mut repeat = keyed(at, "hold-late", "eight wheels").await;
    while repeat.status == 409 && Instant::now() < deadline {
        actix_rt::time::sleep(Duration::from_millis(50)).await;
        repeat = keyed(at, "hold-late", "eight wheels").await;
    }
    assert_eq!(repeat.status, 200, "{}", repeat.text());
    assert_eq!(executions_of(&cluster, "eight wheels"), 1);
}

#[actix_rt::test]
async fn an_unkeyed_call_is_sent_once_even_if_its_target_dies_after_running_it() {
    let cluster = Cluster::spawn(&Plan { services: 3, ..Plan::default() }).await.unwrap();
    for service in &cluster.services {
        service.set_fault(service::Fault { lose_answers: true, ..service::Fault::default() });
    }
    let at = cluster.daemons[0].caller_address();
    let calling = actix_rt::spawn(async move { hold(at, "nine wheels", &[]).await });
    let deadline = Instant::now() + LIMIT;
    while executions_of(&cluster, "nine wheels") == 0 && Instant::now() < deadline {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    for service in cluster.services.iter().filter(|s| !s.executions().is_empty()) {
        service.server.kill().await;
    }
    let got = calling.await.unwrap();
    assert_eq!(refusal(&got), (RefusalCode::TargetFailed, Ran::Unknown));
    assert!(!has_header(&got, "retry-after"), "a call that may have run must not invite a retry");
    assert_eq!(executions_of(&cluster, "nine wheels"), 1);
}

#[actix_rt::test]
async fn an_operation_key_works_through_an_outage_at_its_issuer_only() {
    let cluster = Cluster::spawn(&Plan { services: 2, ..Plan::default() }).await.unwrap();
    let [first, second] = [0, 1].map(|i| cluster.daemons[i].caller_address());
    cluster.platform.set_fault(platform::Fault { down: true, ..Default::default() });

    let key = issue(first).await;
    let ran = keyed(second, &key, "ten wheels").await;
    assert_eq!(ran.status, 200, "{}", ran.text());
    for at in [first, second] {
        let repeat = keyed(at, &key, "ten wheels").await;
        assert_eq!((repeat.status, &repeat.body), (200, &ran.body));
    }
    let reused = keyed(second, &key, "eleven wheels").await;
    assert_eq!(refusal(&reused), (RefusalCode::KeyReused, Ran::No));

    let bearer = format!("Bearer {OTHER_KEY}");
    let headers = [("authorization", bearer.as_str()), (IDEMPOTENCY_KEY_HEADER, key.as_str())];
    let path = "/services/holds/place";
    let stolen = send(Method::POST, first, path, &headers, "ten wheels", LIMIT).await;
    assert_eq!(refusal(&stolen), (RefusalCode::BadRequest, Ran::No));
    assert_eq!(
        (executions_of(&cluster, "ten wheels"), executions_of(&cluster, "eleven wheels")),
        (1, 0)
    );
}

#[actix_rt::test]
async fn a_dead_issuers_key_is_never_run_elsewhere() {
    let plan = Plan { services: 2, ..Plan::default() };
    let mut p = ProcessCluster::spawn(BINARY, &plan, |text| text).await.unwrap();
    let key = issue(p.callers(0)).await;
    assert_eq!(keyed(p.callers(1), &key, "twelve wheels").await.status, 200);
    p.daemons[0].signal(Signal::SIGSTOP);
    let headers = [(IDEMPOTENCY_KEY_HEADER, key.as_str()), ("x-cumintrail-deadline-ms", "500")];
    let paused = hold(p.callers(1), "twelve wheels", &headers).await;
    assert_eq!(refusal(&paused), (RefusalCode::OutcomeUnknown, Ran::Unknown));
    p.daemons[0].signal(Signal::SIGKILL);
    let dead = keyed(p.callers(1), &key, "twelve wheels").await;
    assert_eq!(refusal(&dead), (RefusalCode::OutcomeUnknown, Ran::Unknown));

    p.restart(BINARY, 0).await.unwrap();
    for at in [p.callers(0), p.callers(1)] {
        let after_restart = keyed(at, &key, "twelve wheels").await;
        assert_eq!(refusal(&after_restart), (RefusalCode::OutcomeUnknown, Ran::Unknown));
    }
    assert_eq!(executions_of(&p.cluster, "twelve wheels"), 1);
}

#[actix_rt::test]
async fn a_claim_outlives_its_daemon_and_is_never_taken_over() {
    let plan = Plan { services: 2, ..Plan::default() };
    let short = |text: String| text.replace("timeout_ms = 5000", "timeout_ms = 1000");
    let p = ProcessCluster::spawn(BINARY, &plan, short).await.unwrap();
    for service in &p.cluster.services {
        service.set_fault(service::Fault { lose_answers: true, ..service::Fault::default() });
    }
    let doomed = actix_rt::spawn({
        let at = p.callers(0);
        async move { keyed(at, "hold-killed", "thirteen wheels").await }
    });
    let deadline = Instant::now() + LIMIT;
    while executions_of(&p.cluster, "thirteen wheels") == 0 && Instant::now() < deadline {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    p.daemons[0].signal(Signal::SIGKILL);
    assert_eq!(doomed.await.unwrap().status, 0);
    for service in &p.cluster.services {
        service.set_fault(service::Fault::default());
    }

    let mut repeat = keyed(p.callers(1), "hold-killed", "thirteen wheels").await;
    while repeat.status == 409 && Instant::now() < deadline {
        assert_eq!(refusal(&repeat), (RefusalCode::InProgress, Ran::Unknown));
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        repeat = keyed(p.callers(1), "hold-killed", "thirteen wheels").await;
    }
    assert_eq!(refusal(&repeat), (RefusalCode::OutcomeUnknown, Ran::Unknown));
    assert_eq!(executions_of(&p.cluster, "thirteen wheels"), 1);
}
