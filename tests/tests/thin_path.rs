//! The full path of a call, from the caller's socket to the target's and back.

use std::time::Duration;

use actix_http::Method;
use cumintrail_tests::cluster::{CALLER_KEY, Cluster, Plan};
use cumintrail_tests::http::{ClientResponse, send};
use cumintrail_tests::standins::engine::response_text;
use cumintrail_types::{RefusalCode, WeightVersion};
use cumintrail_wire::caller::{Completion, RefusalBody};

const LIMIT: Duration = Duration::from_secs(10);

async fn post(cluster: &Cluster, path: &str, key: &str, body: String) -> ClientResponse {
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str()), ("content-type", "application/json")];
    send(Method::POST, cluster.daemons[0].caller_address(), path, &headers, body, LIMIT).await
}

#[actix_rt::test]
async fn a_prompt_is_answered_whole_with_and_without_streaming() {
    let cluster = Cluster::spawn(&Plan::default()).await.unwrap();
    let body = |stream| {
        serde_json::json!({
            "model": "curd", "prompt": "list the cheeses", "max_tokens": 5, "stream": stream,
        })
        .to_string()
    };
    let expected = response_text("list the cheeses", WeightVersion(1), 5);

    let whole = post(&cluster, "/v1/completions", CALLER_KEY, body(false)).await;
    assert_eq!(whole.status, 200, "{}", whole.text());
    let completion: Completion = whole.json().unwrap();
    assert_eq!(completion.choices[0].text.as_deref(), Some(expected.as_str()));

    let streamed = post(&cluster, "/v1/completions", CALLER_KEY, body(true)).await;
    assert!(streamed.is_complete && streamed.text().ends_with("data: [DONE]\n\n"));
}

#[actix_rt::test]
async fn a_plain_service_is_reached_below_its_name() {
    let cluster = Cluster::spawn(&Plan::default()).await.unwrap();
    let got = post(&cluster, "/services/holds/place", CALLER_KEY, "two wheels".into()).await;
    assert_eq!(got.status, 200, "{}", got.text());
    assert_eq!(cluster.services[0].executions()["two wheels"], 1);
}

#[actix_rt::test]
async fn bad_requests_get_their_documented_answer() {
    let cluster = Cluster::spawn(&Plan::default()).await.unwrap();
    let prompt = r#"{"model":"curd","prompt":"x","max_tokens":1}"#;
    let large = "x".repeat(5 << 20);
    let cases = [
        ("/v1/completions", "wrong-key", prompt.to_owned(), RefusalCode::Unauthorized),
        ("/v1/completions", CALLER_KEY, "{".to_owned(), RefusalCode::BadRequest),
        ("/v1/completions", CALLER_KEY, large, RefusalCode::TooLarge),
        ("/v1/completions", CALLER_KEY, prompt.replace("curd", "whey"), RefusalCode::NotFound),
        ("/services/nothing/", CALLER_KEY, String::new(), RefusalCode::NotFound),
        ("/nowhere", CALLER_KEY, String::new(), RefusalCode::NotFound),
    ];
    for (path, key, body, code) in cases {
        let got = post(&cluster, path, key, body).await;
        let refusal: RefusalBody = got.json().unwrap_or_else(|| panic!("{path}: {}", got.text()));
        assert_eq!((refusal.error.code, got.status), (code, code.status()), "{path}");
    }
}
