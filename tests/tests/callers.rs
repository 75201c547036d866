//! The slots, memory and connections that slow or malformed callers can occupy are limited.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_http::Method;
use cumintrail_tests::cluster::{CALLER_KEY, Plan};
use cumintrail_tests::http::{ClientResponse, send};
use cumintrail_tests::process_cluster::ProcessCluster;
use cumintrail_tests::standins::engine;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

const BINARY: &str = env!("CARGO_BIN_EXE_cumintrail-tests");
const LIMIT: Duration = Duration::from_secs(20);
const MAX_CONNECTIONS: usize = 8;
const WORKERS: usize = 2;

async fn spawn(plan: &Plan, edit: impl FnOnce(String) -> String) -> ProcessCluster {
    let plan = Plan { daemons: 1, ..*plan };
    let limits = |text: String| {
        let limits = "[limits]\nrequest_timeout_ms = 500\nmax_connections = 8\nworkers = 2\n";
        text + limits
    };
    ProcessCluster::spawn_with(BINARY, &plan, edit, limits).await.unwrap()
}

async fn complete(at: SocketAddr, model: &str) -> ClientResponse {
    let bearer = format!("Bearer {CALLER_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let body = serde_json::json!({ "model": model, "prompt": "x", "max_tokens": 3 }).to_string();
    send(Method::POST, at, "/v1/completions", &headers, body, LIMIT).await
}

fn head(length: usize) -> String {
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         content-length: {length}\r\n\r\n"
    )
}

/// Sends bytes and returns everything received until the daemon closes the connection.
async fn exchange(at: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(at).await.unwrap();
    // The daemon may close before it has read everything.
    let _ = stream.write_all(bytes).await;
    let mut buf = Vec::new();
    let read = actix_rt::time::timeout(LIMIT, stream.read_to_end(&mut buf)).await;
    assert!(read.is_ok(), "the daemon did not close the connection");
    String::from_utf8_lossy(&buf).into_owned()
}

#[actix_rt::test]
async fn a_half_sent_request_is_ended_by_its_time_limit() {
    let deployment = spawn(&Plan::default(), |text| text).await;
    let at = deployment.callers(0);
    let half_head = exchange(at, b"POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthor").await;
    assert!(half_head.is_empty() || half_head.starts_with("HTTP/1.1 408"), "{half_head}");
    let half_body = exchange(at, (head(100) + r#"{"model":"#).as_bytes()).await;
    assert!(half_body.starts_with("HTTP/1.1 408"), "{half_body}");
    assert!(half_body.contains(r#""code":"request-timeout""#), "{half_body}");
    assert!(half_body.contains(r#""ran":"no""#), "{half_body}");
}

#[actix_rt::test]
async fn an_answer_may_take_longer_than_its_request() {
    let engine = engine::Limits { token_time: Duration::from_millis(700), ..Default::default() };
    let slower = |text: String| text.replace("token_gap_ms = 500", "token_gap_ms = 2000");
    let deployment = spawn(&Plan { engine, ..Plan::default() }, slower).await;
    let got = complete(deployment.callers(0), "curd").await;
    assert_eq!(got.status, 200, "{}", got.text());
}

#[actix_rt::test]
async fn an_endless_head_and_a_broken_request_are_refused() {
    let deployment = spawn(&Plan::default(), |text| text).await;
    let at = deployment.callers(0);
    let endless = format!("GET /v1/models HTTP/1.1\r\nx-padding: {}", "x".repeat(1 << 20));
    let response = exchange(at, endless.as_bytes()).await;
    assert!(response.is_empty() || response.starts_with("HTTP/1.1 4"), "{response}");
    let broken = exchange(at, b"\x16\x03\x01 no http\r\n\r\n").await;
    assert!(broken.is_empty() || broken.starts_with("HTTP/1.1 4"), "{broken}");
    assert_eq!(complete(at, "curd").await.status, 200);
}

#[actix_rt::test]
async fn callers_that_send_nothing_do_not_keep_others_out() {
    let deployment = spawn(&Plan::default(), |text| text).await;
    let at = deployment.callers(0);
    let mut idle = Vec::new();
    for _ in 0..MAX_CONNECTIONS * WORKERS {
        let mut stream = TcpStream::connect(at).await.unwrap();
        stream.write_all(b"POST /v1/comp").await.unwrap();
        idle.push(stream);
    }
    let got = complete(at, "curd").await;
    assert_eq!(got.status, 200, "{}", got.text());
    drop(idle);
}

#[actix_rt::test]
async fn a_caller_that_does_not_read_gives_its_slot_back() {
    // A long model name makes each event large, so the socket buffers fill up quickly.
    let name = "curd".repeat(4_000);
    let engine = engine::Limits { slots: 1, token_time: Duration::ZERO, ..Default::default() };
    let plan = Plan { engines: 1, engine, ..Plan::default() };
    let deployment = spawn(&plan, |text| text.replace("curd", &name)).await;
    let at = deployment.callers(0);

    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    let mut stalled = socket.connect(at).await.unwrap();
    let body = serde_json::json!({
        "model": name, "prompt": "on and on", "max_tokens": 1_000_000, "stream": true,
    })
    .to_string();
    stalled.write_all((head(body.len()) + &body).as_bytes()).await.unwrap();
    let began = Instant::now();
    while deployment.cluster.engines[0].started() == 0 {
        assert!(began.elapsed() < LIMIT);
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    // A stalled call that is not ended would occupy the engine's only slot until the account's
    // default deadline of two minutes.
    let got = complete(at, &name).await;
    assert_eq!(got.status, 200, "{}", got.text());
    drop(stalled);
}
