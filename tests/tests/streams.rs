//! Tests that streamed responses stay complete and belong to the caller while engines and
//! connections fail.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_http::Method;
use cumintrail_tests::cluster::{CALLER_KEY, Cluster, LOOPBACK, OPERATOR_KEY, Plan, eventually};
use cumintrail_tests::http::{ClientResponse, send};
use cumintrail_tests::process_cluster::ProcessCluster;
use cumintrail_tests::standins::engine::{self, Engine, response_text};
use cumintrail_tests::standins::relay::{Mode, Relay};
use cumintrail_types::{Ran, WeightVersion};
use cumintrail_wire::caller::{Completion, RefusalBody};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const BINARY: &str = env!("CARGO_BIN_EXE_cumintrail-tests");
const LIMIT: Duration = Duration::from_secs(30);
const PROMPT: &str = "list the cheeses";
const TOKENS: usize = 30;

fn slow_engines(engines: usize) -> Plan {
    let engine = engine::Limits { token_time: Duration::from_millis(10), ..Default::default() };
    Plan { engines, engine, daemons: 1, ..Plan::default() }
}

async fn complete(at: SocketAddr, stream: bool) -> ClientResponse {
    let bearer = format!("Bearer {CALLER_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let body = serde_json::json!({
        "model": "curd", "prompt": PROMPT, "max_tokens": TOKENS, "stream": stream,
    });
    send(Method::POST, at, "/v1/completions", &headers, body.to_string(), LIMIT).await
}

/// Returns a streamed response as lower-case text, read from the socket, since client libraries
/// hide how its body ended.
async fn complete_raw(at: SocketAddr) -> String {
    let body =
        format!(r#"{{"model":"curd","prompt":"{PROMPT}","max_tokens":{TOKENS},"stream":true}}"#);
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let mut stream = TcpStream::connect(at).await.unwrap();
    stream.write_all((head + &body).as_bytes()).await.unwrap();
    let mut text = String::new();
    let read = actix_rt::time::timeout(LIMIT, stream.read_to_string(&mut text)).await;
    assert!(read.is_ok(), "the connection was not closed: {text}");
    text.to_lowercase()
}

/// Returns the text of a streamed response and whether the response is complete.
fn read_stream(got: &ClientResponse) -> (String, bool) {
    let text = got.text();
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let parts = data.filter_map(|data| serde_json::from_str::<Completion>(data).ok());
    let text_of = |mut part: Completion| part.choices.remove(0).text.unwrap_or_default();
    (parts.map(text_of).collect(), got.is_complete && text.ends_with("data: [DONE]\n\n"))
}

fn expected() -> (String, bool) {
    (response_text(PROMPT, WeightVersion(1), TOKENS), true)
}

fn started(engines: &[Engine]) -> u64 {
    engines.iter().map(Engine::started).sum()
}

#[actix_rt::test]
async fn a_cut_or_silent_connection_is_resumed_without_computing_again() {
    let cluster = Cluster::spawn(&slow_engines(1)).await.unwrap();
    let at = cluster.daemons[0].caller_address();
    let cut = engine::Fault { cut_after: 7, ..Default::default() };
    let silent = engine::Fault { silent_after: 12, ..Default::default() };
    for (number, fault) in [cut, silent].into_iter().enumerate() {
        cluster.engines[0].set_fault(fault);
        assert_eq!(read_stream(&complete(at, true).await), expected(), "{fault:?}");
        assert_eq!(started(&cluster.engines), number as u64 + 1);
    }
}

#[actix_rt::test]
async fn a_connection_that_something_lost_track_of_is_left_for_a_new_one() {
    let cluster = Cluster::spawn(&slow_engines(1)).await.unwrap();
    let relay = Relay::spawn(LOOPBACK, cluster.engines[0].address()).await.unwrap();
    let path = cluster.declarations.path().join("deployment.ini");
    let declared = std::fs::read_to_string(path).unwrap();
    let direct = cluster.engines[0].address().to_string();
    let relayed = declared.replace(&direct, &relay.address().to_string());
    cluster.reapply(&relayed).await.unwrap();
    // A configuration is in force on all daemons within five seconds.
    actix_rt::time::sleep(Duration::from_secs(5)).await;

    let at = cluster.daemons[0].caller_address();
    let calling = actix_rt::spawn(async move { complete(at, true).await });
    assert!(eventually(LIMIT, || cluster.engines[0].started() == 1).await);
    relay.set(Mode::SilenceOpen);
    assert_eq!(read_stream(&calling.await.unwrap()), expected());
    assert_eq!(started(&cluster.engines), 1);
}

#[actix_rt::test]
async fn an_answer_goes_on_at_another_engine_when_its_own_dies() {
    let p = ProcessCluster::spawn(BINARY, &slow_engines(2), |text| text).await.unwrap();
    let (at, engines) = (p.callers(0), &p.cluster.engines);
    let calling = actix_rt::spawn(async move { complete(at, true).await });
    assert!(eventually(LIMIT, || started(engines) == 1).await);
    actix_rt::time::sleep(Duration::from_millis(60)).await;
    let running = engines.iter().find(|e| e.started() == 1).unwrap();
    running.server.kill().await;
    assert_eq!(read_stream(&calling.await.unwrap()), expected());
    assert_eq!(started(engines), 2);

    // The second engine received the output tokens so far; otherwise it would have sent duplicates.
    let bearer = format!("Bearer {OPERATOR_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let metrics = send(Method::GET, p.operators(0), "/metrics", &headers, "", LIMIT).await;
    assert_eq!(metrics.status, 200);
    assert!(!metrics.text().contains(r#"reason="duplicate""#), "{}", metrics.text());
}

#[actix_rt::test]
async fn answers_of_others_are_never_passed_on() {
    let cluster = Cluster::spawn(&slow_engines(2)).await.unwrap();
    let at = cluster.daemons[0].caller_address();
    let foreign = engine::Fault { foreign_answers: true, ..Default::default() };
    cluster.engines[0].set_fault(foreign);
    for _ in 0..4 {
        assert_eq!(read_stream(&complete(at, true).await), expected());
    }
    cluster.engines[1].set_fault(foreign);
    let got = complete(at, false).await;
    let refusal: RefusalBody = got.json().unwrap_or_else(|| panic!("{}", got.text()));
    assert_eq!(refusal.error.ran, Ran::Unknown);
    assert!(refusal.error.retry_after_ms.is_some());
}

#[actix_rt::test]
async fn a_truncated_answer_never_looks_whole() {
    let cluster = Cluster::spawn(&slow_engines(6)).await.unwrap();
    let at = cluster.daemons[0].caller_address();
    let broken = engine::Fault { cut_after: 5, forget_streams: true, ..Default::default() };
    cluster.engines.iter().for_each(|engine| engine.set_fault(broken));
    let streamed = complete_raw(at).await;
    assert!(streamed.starts_with("http/1.1 200"), "{streamed}");
    let chunked = streamed.contains("transfer-encoding: chunked");
    assert!(chunked && !streamed.ends_with("0\r\n\r\n") && !streamed.contains("[done]"));
    let got = complete(at, false).await;
    let refusal: RefusalBody = got.json().unwrap_or_else(|| panic!("{}", got.text()));
    assert_eq!((refusal.error.ran, got.status), (Ran::Unknown, refusal.error.code.status()));
}

#[actix_rt::test]
async fn an_attempt_that_nobody_reads_is_cancelled_at_its_engine() {
    let engine =
        engine::Limits { slots: 1, token_time: Duration::from_millis(10), ..Default::default() };
    let plan = Plan { engines: 1, engine, daemons: 1, ..Plan::default() };
    let cluster = Cluster::spawn(&plan).await.unwrap();
    let at = cluster.daemons[0].caller_address();
    let bearer = format!("Bearer {CALLER_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let long = r#"{"model":"curd","prompt":"on and on","max_tokens":100000,"stream":true}"#;
    let limit = Duration::from_millis(500);
    let gone = send(Method::POST, at, "/v1/completions", &headers, long, limit).await;
    assert!(!gone.is_complete);
    let began = Instant::now();
    // The engine has one slot, and the abandoned response would occupy it for 1,000 s.
    assert_eq!(read_stream(&complete(at, true).await), expected());
    assert!(began.elapsed() < Duration::from_secs(8));
}

#[actix_rt::test]
async fn an_engine_that_is_slower_than_declared_is_waited_for() {
    let engine = engine::Limits { prefill_per_second: 20, ..Default::default() };
    let cluster = Cluster::spawn(&Plan { engine, daemons: 1, ..Plan::default() }).await.unwrap();
    let path = cluster.declarations.path().join("deployment.ini");
    let declared = std::fs::read_to_string(path).unwrap();
    let text =
        declared.replace("prefill_tokens_per_second = 20\n", "prefill_tokens_per_second = 20000\n");
    assert_ne!(text, declared);
    let generation = cluster.reapply(&text).await.unwrap();
    let in_force = || cluster.daemons[0].generation() >= generation;
    assert!(eventually(Duration::from_secs(5), in_force).await);

    // The prefill takes five seconds; the declared speed and the token gap make the daemon
    // expect half a second.
    let prompt = "cheese".repeat(67);
    let bearer = format!("Bearer {CALLER_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let body = serde_json::json!({ "model": "curd", "prompt": prompt, "max_tokens": 3 });
    let at = cluster.daemons[0].caller_address();
    let path = "/v1/completions";
    let got = send(Method::POST, at, path, &headers, body.to_string(), LIMIT).await;

    assert_eq!(got.status, 200, "{}", got.text());
    let completion: Completion = got.json().unwrap();
    let expected = response_text(&prompt, WeightVersion(1), 3);
    assert_eq!(completion.choices[0].text.as_deref(), Some(expected.as_str()));
    let attempts: u64 = cluster.engines.iter().map(Engine::started).sum();
    assert_eq!(attempts, 1, "the call was started more than once");
}
