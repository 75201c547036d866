//! Shared prompt material is preloaded into the engines while the preset in force enables it.

use std::time::Duration;

use actix_http::Method;
use cumintrail_tests::cluster::{CALLER_KEY, Cluster, Plan, eventually};
use cumintrail_tests::http::send;
use cumintrail_tests::standins::engine::Engine;
use serde_json::Value;

const LIMIT: Duration = Duration::from_secs(15);

#[actix_rt::test]
async fn a_peak_preset_loads_material_into_each_engine_once() {
    let cluster = Cluster::spawn(&Plan::default()).await.unwrap();
    let directory = cluster.declarations.path();
    let catalogue = "goat cheese of the highlands, ".repeat(200);
    std::fs::write(directory.join("catalogue.txt"), &catalogue).unwrap();
    let text = std::fs::read_to_string(directory.join("deployment.ini")).unwrap();
    let material = "[material c]\naccount = kesong\nmodel = curd\ntext_file = catalogue.txt\n";
    cluster.reapply(&(text + material)).await.unwrap();
    let started = || cluster.engines.iter().map(Engine::started).collect::<Vec<_>>();
    assert!(!eventually(Duration::from_millis(1_500), || started() != [0, 0]).await);

    cumintrail_cli::switch_preset(&cluster.access, "peak").await.unwrap();
    assert!(eventually(LIMIT, || started() == [1, 1]).await, "{:?}", started());
    assert!(!eventually(Duration::from_millis(2_500), || started() != [1, 1]).await);

    let bearer = format!("Bearer {CALLER_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let body = serde_json::json!({ "model": "curd", "prompt": catalogue, "max_tokens": 1 });
    let at = cluster.daemons[0].caller_address();
    let path = "/v1/completions";
    let got = send(Method::POST, at, path, &headers, body.to_string(), LIMIT).await;
    let response: Value = got.json().unwrap();
    let cached = response["usage"]["cached_tokens"].as_u64();
    assert_eq!(cached, Some(1_500), "{}", got.text());
}
