//! Calls begin on replaced weights only until the bound after the announcement of newer ones.

use std::time::Duration;

use cumintrail_daemon::{Gateway, GatewayOptions};
use cumintrail_tests::gateway_cluster::{
    Cluster, KEY, LIMIT, STREAM, WHOLE, events, options, send, settings, status,
};
use cumintrail_tests::standins::feed::FeedPlatform;
use cumintrail_tests::standins::replica::{Replica, Step};
use cumintrail_types::Digest;

const BOUND: Duration = Duration::from_secs(1);

fn declarations() -> String {
    let digest = Digest::of(KEY.as_bytes());
    let route = |name: &str, class: &str, attempts: u8| {
        format!(
            "[route {name}]\nhost = shop.example\nprefix = /{name}/\nclass = {class}\nto = curd\n\
             timeout_ms = 4000\nattempts = {attempts}\n"
        )
    };
    let routes = [
        route("flow", "stream", 1),
        route("resume", "resumable-stream", 2),
        route("read", "repeatable", 2),
        route("single", "repeatable", 1),
    ];
    format!(
        "[deployment]\nfirst_preset = day\n[preset day]\n[account coop]\nkey_digests = {digest}\n\
         requests_per_second = 1000000\n[model curd]\n{}",
        routes.concat()
    )
}

/// Starts a gateway in front of an engine that has version 1.
async fn spawn(old: &Replica) -> Cluster {
    let platform = FeedPlatform::new();
    platform.publish_declarations(1, &declarations());
    platform.list_engine("e0", "curd", 1, old.address());
    let options = GatewayOptions { weights_bound: BOUND, ..options() };
    let cluster = Cluster::spawn_with(settings(), &options, platform);
    cluster.until(Gateway::is_ready).await;
    cluster
}

/// Binds an engine that never responds.
async fn stalled() -> Replica {
    Replica::bind(|_| vec![Step::Pause(LIMIT)]).await.unwrap()
}

async fn received(engine: &Replica) {
    while engine.calls().is_empty() {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Waits until the connection of the only call of an engine has ended, before the engine ends it.
async fn ended(engine: &Replica) {
    let wait = async {
        while engine.ended() == 0 {
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
    };
    actix_rt::time::timeout(BOUND, wait).await.expect("the connection ends");
}

#[actix_rt::test]
async fn a_stream_that_waits_at_replaced_weights_is_sent_elsewhere_before_the_bound() {
    let old = stalled().await;
    let script = |_| vec![send(STREAM), events(1..=2), send("0\r\n\r\n")];
    let new = Replica::bind(script).await.unwrap();
    let cluster = spawn(&old).await;
    let mut caller = cluster.connect().await;
    caller.send("/resume/", "c-1", "connection: close\r\n", "").await;
    received(&old).await;
    cluster.platform.announce_version("curd", 2);
    cluster.platform.list_engine("e1", "curd", 2, new.address());
    let response = caller.rest().await;
    assert!(response.contains("id: 2") && response.ends_with("0\r\n\r\n"), "{response}");
    assert_eq!((old.calls().len(), new.calls().len()), (1, 1));
    ended(&old).await;
}

#[actix_rt::test]
async fn a_stream_that_runs_once_and_waits_at_replaced_weights_fails_before_the_bound() {
    let old = stalled().await;
    let cluster = spawn(&old).await;
    let mut caller = cluster.connect().await;
    caller.send("/flow/", "c-1", "connection: close\r\n", "").await;
    received(&old).await;
    cluster.platform.announce_version("curd", 2);
    let response = caller.rest().await;
    // The engine may have begun just then, so that nothing is promised.
    assert_eq!(status(&response), "502", "{response}");
    ended(&old).await;
}

#[actix_rt::test]
async fn a_stream_that_has_begun_goes_on_under_replaced_weights() {
    let script = |_| {
        let pause = Step::Pause(BOUND * 2);
        vec![send(STREAM), events(1..=1), pause, events(2..=2), send("0\r\n\r\n")]
    };
    let old = Replica::bind(script).await.unwrap();
    let cluster = spawn(&old).await;
    let mut caller = cluster.connect().await;
    caller.send("/flow/", "c-1", "connection: close\r\n", "").await;
    received(&old).await;
    cluster.platform.announce_version("curd", 2);
    let response = caller.rest().await;
    assert!(response.contains("id: 2") && response.ends_with("0\r\n\r\n"), "{response}");
}

#[actix_rt::test]
async fn a_large_response_that_is_passed_on_is_not_cut_when_its_weights_were_replaced() {
    const FIRST: usize = 300 << 10;
    let script = |_| {
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-cumintrail-call: {{id}}\r\ncontent-length: {}\r\n\r\n{}",
            FIRST + 3,
            "w".repeat(FIRST)
        );
        vec![send(&head), Step::Pause(BOUND * 2), send("end")]
    };
    let old = Replica::bind(script).await.unwrap();
    let cluster = spawn(&old).await;
    let mut caller = cluster.connect().await;
    caller.send("/read/", "c-1", "connection: close\r\n", "").await;
    received(&old).await;
    cluster.platform.announce_version("curd", 2);
    let response = caller.rest().await;
    assert!(response.ends_with("end\r\n0\r\n\r\n"), "{} bytes arrived", response.len());
}

#[actix_rt::test]
async fn a_response_whose_head_has_arrived_is_passed_on_though_its_weights_were_replaced() {
    let script = |_| {
        let head = "HTTP/1.1 200 OK\r\nx-cumintrail-call: {id}\r\ncontent-length: 5\r\n\r\nwh";
        vec![send(head), Step::Pause(BOUND * 2), send("eel")]
    };
    let old = Replica::bind(script).await.unwrap();
    let cluster = spawn(&old).await;
    let mut caller = cluster.connect().await;
    caller.send("/single/", "c-1", "connection: close\r\n", "").await;
    received(&old).await;
    cluster.platform.announce_version("curd", 2);
    let response = caller.rest().await;
    assert!(response.ends_with("wheel"), "{response}");
}

#[actix_rt::test]
async fn a_repeatable_call_that_began_before_the_announcement_is_answered() {
    let script = |_| vec![Step::Pause(BOUND * 3 / 2), send(WHOLE)];
    let old = Replica::bind(script).await.unwrap();
    let cluster = spawn(&old).await;
    let mut caller = cluster.connect().await;
    caller.send("/single/", "c-1", "connection: close\r\n", "").await;
    received(&old).await;
    cluster.platform.announce_version("curd", 2);
    let response = caller.rest().await;
    assert_eq!(status(&response), "200", "{response}");
}

#[actix_rt::test]
async fn a_repeatable_call_that_needs_longer_than_the_bound_is_answered_by_one_run() {
    let script = |_| vec![Step::Pause(BOUND * 3 / 2), send(WHOLE)];
    let old = Replica::bind(script).await.unwrap();
    let new = Replica::bind(script).await.unwrap();
    let cluster = spawn(&old).await;
    let mut caller = cluster.connect().await;
    caller.send("/read/", "c-1", "connection: close\r\n", "").await;
    received(&old).await;
    cluster.platform.announce_version("curd", 2);
    cluster.platform.list_engine("e1", "curd", 2, new.address());
    let response = caller.rest().await;
    assert_eq!((status(&response), old.calls().len() + new.calls().len()), ("200", 1));
}
