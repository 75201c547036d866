//! Tests a planned stop of a daemon: it interrupts no call, loses no outcome and ends with the last
//! call.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_http::Method;
use cumintrail_daemon::Daemon;
use cumintrail_tests::cluster::{CALLER_KEY, Cluster, Plan, eventually, settings};
use cumintrail_tests::http::{ClientResponse, send};
use cumintrail_tests::process_cluster::ProcessCluster;
use cumintrail_tests::standins::{engine, platform, service};
use cumintrail_types::{Ran, RefusalCode};
use cumintrail_wire::caller::{IDEMPOTENCY_KEY_HEADER, REPLAYED_HEADER, RefusalBody};
use futures_util::StreamExt;
use nix::sys::signal::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const BINARY: &str = env!("CARGO_BIN_EXE_cumintrail-tests");
const LIMIT: Duration = Duration::from_secs(30);
/// The limit on a planned stop without calls in flight, which takes a few seconds.
const STOP_LIMIT: Duration = Duration::from_secs(8);
const STREAMS: usize = 4;
const HOLDS: usize = 4;
const LARGE_BODY: usize = 32 << 20;

async fn spawn() -> ProcessCluster {
    let engine = engine::Limits { token_time: Duration::from_millis(10), ..Default::default() };
    let plan = Plan { engine, ..Plan::default() };
    let longer = |text: String| text.replace("stop_grace_ms = 200", "stop_grace_ms = 1500");
    let p = ProcessCluster::spawn_with(BINARY, &plan, |text| text, longer).await.unwrap();
    for service in &p.cluster.services {
        service.set_fault(service::Fault { slow_ms: 300, ..service::Fault::default() });
    }
    p
}

async fn post(
    at: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: String,
) -> ClientResponse {
    let bearer = format!("Bearer {CALLER_KEY}");
    let mut all = vec![("authorization", bearer.as_str())];
    all.extend_from_slice(headers);
    send(Method::POST, at, path, &all, body, LIMIT).await
}

async fn stream(at: SocketAddr, number: usize) -> ClientResponse {
    let body = serde_json::json!({
        "model": "curd", "prompt": format!("list {number}"), "max_tokens": 100 + 40 * number,
        "stream": true,
    });
    post(at, "/v1/completions", &[], body.to_string()).await
}

async fn hold(at: SocketAddr, key: &str) -> ClientResponse {
    post(at, "/services/holds/place", &[(IDEMPOTENCY_KEY_HEADER, key)], key.to_owned()).await
}

fn is_stopping(got: &ClientResponse) -> bool {
    let refusal = got.json::<RefusalBody>().map(|body| (body.error.code, body.error.ran));
    refusal == Some((RefusalCode::Stopping, Ran::No))
}

/// Sends calls until the daemon refuses one as stopping; returns the number of completed calls
/// and the failed responses.
async fn call_until_stopping(at: SocketAddr, number: usize) -> (usize, Vec<ClientResponse>) {
    let (mut completed, mut failed) = (0, Vec::new());
    loop {
        let got = match number {
            n if n < STREAMS => stream(at, n).await,
            n => hold(at, &format!("hold-{n}-{completed}")).await,
        };
        let whole =
            got.is_complete && (number >= STREAMS || got.text().ends_with("data: [DONE]\n\n"));
        match got.status {
            503 if is_stopping(&got) => return (completed, failed),
            200 if whole => completed += 1,
            _ => {
                failed.push(got);
                return (completed, failed);
            }
        }
    }
}

#[actix_rt::test]
async fn a_stopping_daemon_finishes_its_calls_and_refuses_new_ones_only_after_the_grace() {
    let mut p = spawn().await;
    let at = p.callers(0);
    let load = (0..STREAMS + HOLDS).map(|n| actix_rt::spawn(call_until_stopping(at, n)));
    let load: Vec<_> = load.collect();
    actix_rt::time::sleep(Duration::from_millis(700)).await;

    p.daemons[0].signal(Signal::SIGTERM);
    let signalled = Instant::now();
    while p.is_ready(0).await {
        assert!(
            signalled.elapsed() < Duration::from_secs(1),
            "the daemon is still ready one second after the signal"
        );
    }
    let during_grace = hold(at, "hold-in-grace").await;
    assert_eq!(during_grace.status, 200, "{}", during_grace.text());

    for calls in load {
        let (completed, failed) = calls.await.unwrap();
        assert!(failed.is_empty(), "{failed:?}");
        assert!(completed > 0);
    }
    let status = p.daemons[0].wait(LIMIT).expect("the daemon stops");
    assert_eq!(status.code(), Some(0));
    let executions = p.cluster.services[0].executions();
    assert!(executions.values().all(|count| *count == 1), "{executions:?}");
    assert!(!p.is_ready(0).await && p.is_ready(1).await);
}

#[actix_rt::test]
async fn a_stopping_daemon_waits_until_outcomes_are_recorded() {
    let mut p = spawn().await;
    let at = p.callers(0);
    let (written, _) = p.cluster.platform.table_use();
    let calling = actix_rt::spawn(async move { hold(at, "hold-flushed").await });
    // The claim is written while the service still runs the call.
    assert!(eventually(LIMIT, || p.cluster.platform.table_use().0 > written).await);
    p.cluster.platform.set_fault(platform::Fault { down: true, ..Default::default() });
    let completed = calling.await.unwrap();
    assert_eq!(completed.status, 200);

    p.daemons[0].signal(Signal::SIGTERM);
    assert!(
        p.daemons[0].wait(Duration::from_secs(4)).is_none(),
        "the daemon stopped before the outcome was written"
    );
    p.cluster.platform.set_fault(platform::Fault::default());
    let status = p.daemons[0].wait(LIMIT).expect("the daemon stops");
    assert_eq!(status.code(), Some(0));

    let repeat = hold(p.callers(1), "hold-flushed").await;
    assert_eq!((repeat.status, &repeat.body), (200, &completed.body));
    assert!(repeat.headers.iter().any(|(name, _)| name == REPLAYED_HEADER));
    assert_eq!(p.cluster.services[0].executions()["hold-flushed"], 1);
}

#[actix_rt::test]
async fn connections_that_peers_and_balancers_keep_do_not_hold_it_up() {
    let mut cluster = Cluster::spawn(&Plan::default()).await.unwrap();
    let daemon = cluster.daemons.remove(0);
    let at = daemon.caller_address();
    let busy = actix_rt::spawn(async move {
        let client = awc::Client::default();
        loop {
            let req = client.post(format!("http://{at}/v1/completions"));
            let req = req.insert_header(("authorization", format!("Bearer {CALLER_KEY}")));
            let body = r#"{"model":"curd","prompt":"x","max_tokens":1}"#;
            match req.send_body(body).await {
                Ok(mut response) => while response.next().await.is_some() {},
                Err(_) => actix_rt::time::sleep(Duration::from_millis(10)).await,
            }
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    });
    // By then peers have sent digests over persistent connections.
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    let begun = Instant::now();
    daemon.stop().await;
    let took = begun.elapsed();
    busy.abort();
    assert!(took < STOP_LIMIT, "the stop took {took:?}");
    let gone = send(Method::GET, at, "/livez", &[], "", LIMIT).await;
    assert_eq!(gone.status, 0);
}

/// Starts a response that exceeds the socket buffers; the caller has read only its first bytes.
async fn unread_response(cluster: &Cluster) -> (Daemon, TcpStream) {
    let mut settings = settings(1, cluster.platform.address(), &[]).unwrap();
    settings.max_body_bytes = 64 << 20;
    settings.request_timeout = Duration::from_secs(2);
    let daemon = Daemon::spawn(settings).unwrap();
    assert!(eventually(Duration::from_secs(5), || daemon.is_ready()).await);

    // The service returns the request body.
    let body = "w".repeat(LARGE_BODY);
    let head = format!(
        "POST /services/holds/place HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    let mut caller = TcpStream::connect(daemon.caller_address()).await.unwrap();
    caller.write_all((head + &body).as_bytes()).await.unwrap();
    let ran = || !cluster.services[0].executions().is_empty();
    assert!(eventually(Duration::from_secs(10), ran).await);
    let mut first = [0; 64];
    caller.read_exact(&mut first).await.unwrap();
    (daemon, caller)
}

#[actix_rt::test]
async fn a_caller_that_reads_slowly_gets_its_whole_answer() {
    let cluster = Cluster::spawn(&Plan { daemons: 1, ..Plan::default() }).await.unwrap();
    let (daemon, mut caller) = unread_response(&cluster).await;
    let stop = actix_rt::spawn(daemon.stop());
    actix_rt::time::sleep(Duration::from_secs(5)).await;

    let mut rest = Vec::new();
    let read = actix_rt::time::timeout(LIMIT, caller.read_to_end(&mut rest)).await;
    assert!(read.is_ok_and(|read| read.is_ok()), "the connection was interrupted");
    assert!(rest.len() >= LARGE_BODY, "{} bytes of {LARGE_BODY}", rest.len());
    assert!(actix_rt::time::timeout(LIMIT, stop).await.is_ok());
}

#[actix_rt::test]
async fn a_caller_that_reads_nothing_does_not_hold_up_the_stop() {
    let cluster = Cluster::spawn(&Plan { daemons: 1, ..Plan::default() }).await.unwrap();
    let (daemon, _caller) = unread_response(&cluster).await;
    let stopped = actix_rt::time::timeout(Duration::from_secs(15), daemon.stop()).await;
    assert!(stopped.is_ok(), "the stop waited for a caller that does not read");
}

/// Starts a daemon that stops within about a second, in front of a service that takes longer.
async fn short_stop() -> (Cluster, Daemon) {
    let cluster = Cluster::spawn(&Plan { daemons: 0, ..Plan::default() }).await.unwrap();
    let mut settings = settings(1, cluster.platform.address(), &[]).unwrap();
    settings.stop_grace = Duration::from_millis(400);
    settings.drain_limit = Duration::from_millis(600);
    let daemon = Daemon::spawn(settings).unwrap();
    assert!(eventually(Duration::from_secs(5), || daemon.is_ready()).await);
    for service in &cluster.services {
        service.set_fault(service::Fault { slow_ms: 2_500, ..service::Fault::default() });
    }
    (cluster, daemon)
}

#[actix_rt::test]
async fn no_call_that_runs_once_is_sent_if_the_end_of_a_stop_could_cut_it() {
    let (cluster, daemon) = short_stop().await;
    let at = daemon.caller_address();
    let stop = actix_rt::spawn(daemon.stop());
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    let late = hold(at, "hold-late").await;
    assert!(late.status == 503 && is_stopping(&late), "{late:?}");
    stop.await.unwrap();
    assert!(cluster.services.iter().all(|service| service.executions().is_empty()));
}

#[actix_rt::test]
async fn a_call_that_is_open_at_the_end_of_a_stop_is_answered() {
    let (cluster, daemon) = short_stop().await;
    let at = daemon.caller_address();
    let (written, _) = cluster.platform.table_use();
    let calling = actix_rt::spawn(async move { hold(at, "hold-open").await });
    // The claim is written before the service runs the call.
    assert!(eventually(LIMIT, || cluster.platform.table_use().0 > written).await);
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    daemon.stop().await;
    let open = calling.await.unwrap();
    let refusal = open.json::<RefusalBody>().map(|body| body.error.ran);
    assert_eq!((refusal, open.is_complete), (Some(Ran::Unknown), true), "{open:?}");
}
