//! A planned stop ends with the last call, not with the last connection.

use std::time::{Duration, Instant};

use actix_http::Method;
use cumintrail_tests::cluster::{CALLER_KEY, Cluster, Plan};
use cumintrail_tests::http::send;
use futures_util::StreamExt;

const LIMIT: Duration = Duration::from_secs(10);
/// Leaving takes a few seconds when no call is in flight.
const STOP_LIMIT: Duration = Duration::from_secs(8);

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
    // Peers have sent digests over connections that they keep.
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    let begun = Instant::now();
    daemon.stop().await;
    let took = begun.elapsed();
    busy.abort();
    assert!(took < STOP_LIMIT, "the stop took {took:?}");
    let gone = send(Method::GET, at, "/livez", &[], "", LIMIT).await;
    assert_eq!(gone.status, 0);
}
