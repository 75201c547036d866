//! Failed attempts are retried at other targets, without a retry storm and with few further calls
//! to a failing target.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_http::Method;
use cumintrail_tests::cluster::{CALLER_KEY, Cluster, Plan};
use cumintrail_tests::http::{ClientResponse, send};
use cumintrail_tests::standins::engine;
use cumintrail_types::Ran;
use cumintrail_wire::caller::RefusalBody;

const LIMIT: Duration = Duration::from_secs(20);

async fn complete(at: SocketAddr, number: usize) -> ClientResponse {
    let bearer = format!("Bearer {CALLER_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let body = serde_json::json!({
        "model": "curd", "prompt": format!("call {number}"), "max_tokens": 3,
    });
    send(Method::POST, at, "/v1/completions", &headers, body.to_string(), LIMIT).await
}

fn started(cluster: &Cluster) -> u64 {
    cluster.engines.iter().map(engine::Engine::started).sum()
}

#[actix_rt::test]
async fn an_engine_that_breaks_every_answer_is_soon_left_alone() {
    let cluster = Cluster::spawn(&Plan { daemons: 1, ..Plan::default() }).await.unwrap();
    let at = cluster.daemons[0].caller_address();
    let broken = engine::Fault { cut_after: 1, forget_streams: true, ..Default::default() };
    cluster.engines[0].set_fault(broken);
    for number in 0..40 {
        let got = complete(at, number).await;
        assert_eq!(got.status, 200, "{}", got.text());
    }
    // Three failures open the circuit breaker; a single trial call follows after one second, then
    // after two, and so on.
    let attempts = cluster.engines[0].started();
    assert!((1..=6).contains(&attempts), "{attempts} calls reached the broken engine");

    cluster.engines[0].set_fault(engine::Fault::default());
    let recovered_at = Instant::now();
    let mut number = 40;
    while cluster.engines[0].started() < attempts + 5 {
        assert!(recovered_at.elapsed() < LIMIT, "the recovered engine gets no calls");
        assert_eq!(complete(at, number).await.status, 200);
        number += 1;
    }
}

#[actix_rt::test]
async fn when_all_engines_fail_calls_are_refused_at_once_and_load_does_not_multiply() {
    let cluster = Cluster::spawn(&Plan { engines: 4, ..Plan::default() }).await.unwrap();
    let at = cluster.daemons[0].caller_address();
    let broken = engine::Fault { cut_after: 1, forget_streams: true, ..Default::default() };
    cluster.engines.iter().for_each(|engine| engine.set_fault(broken));
    let calls = 200;
    let began = Instant::now();
    for number in (0..calls).step_by(8) {
        let concurrent = (number..number + 8).map(|n| complete(at, n));
        for got in futures_util::future::join_all(concurrent).await {
            let refusal: RefusalBody = got.json().unwrap_or_else(|| panic!("{}", got.text()));
            let detail = refusal.error;
            assert!(detail.retry_after_ms.is_some(), "{detail:?}");
            assert!(detail.ran == Ran::No || detail.ran == Ran::Unknown);
        }
    }
    // Naive retries triple the load of a failing pool; here the circuit breakers of its engines
    // open instead.
    assert!(started(&cluster) < calls as u64 / 2, "{} attempts", started(&cluster));
    assert!(began.elapsed() < LIMIT, "the refusals were delayed");
}
