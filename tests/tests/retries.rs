//! Broken attempts go on elsewhere, without a storm and without reaching a dead target again.

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
    // Three failures close it off; a single call tries it again after one second, two, and so on.
    let tried = cluster.engines[0].started();
    assert!((1..=6).contains(&tried), "{tried} calls reached the broken engine");

    cluster.engines[0].set_fault(engine::Fault::default());
    let healed = Instant::now();
    let mut number = 40;
    while cluster.engines[0].started() < tried + 5 {
        assert!(healed.elapsed() < LIMIT, "the mended engine gets no calls");
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
        let together = (number..number + 8).map(|n| complete(at, n));
        for got in futures_util::future::join_all(together).await {
            let refusal: RefusalBody = got.json().unwrap_or_else(|| panic!("{}", got.text()));
            let detail = refusal.error;
            assert!(detail.retry_after_ms.is_some(), "{detail:?}");
            assert!(detail.ran == Ran::No || detail.ran == Ran::Unknown);
        }
    }
    // Naive callers of a failing pool triple its load; here its engines are closed off instead.
    assert!(started(&cluster) < calls as u64 / 2, "{} attempts", started(&cluster));
    assert!(began.elapsed() < LIMIT, "refusals are held back");
}
