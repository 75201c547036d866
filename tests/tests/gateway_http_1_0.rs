//! Responses to callers of HTTP/1.0, which know no chunks.

use std::io::{BufRead as _, BufReader};
use std::process::{Command, Stdio};
use std::time::Duration;

use actix_rt::time::timeout;
use cumintrail_daemon::Gateway;
use cumintrail_tests::gateway_cluster::{Cluster, KEY, STREAM, declarations, events, send};
use cumintrail_tests::standins::feed::FeedPlatform;
use cumintrail_tests::standins::replica::{Replica, Step};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// Names the target of a gateway that runs in a process of its own.
const CHILD_TARGET: &str = "CUMINTRAIL_TEST_TARGET";

/// Guards against a killed daemon whose system ends a response to an HTTP/1.0 caller as complete.
#[actix_rt::test]
async fn a_killed_daemon_does_not_end_a_response_to_an_http_1_0_caller_as_complete() {
    if let Ok(target) = std::env::var(CHILD_TARGET) {
        let platform = FeedPlatform::new();
        platform.publish_declarations(1, &declarations(KEY));
        platform.list_target("t0", 1, 1, "desk", target.parse().unwrap(), false);
        let cluster = Cluster::spawn_on(platform);
        cluster.until(Gateway::is_ready).await;
        println!("\ncallers {}", cluster.gateway.caller_address());
        return std::future::pending().await;
    }
    let script = [send(STREAM), events(1..=2), Step::Pause(Duration::from_secs(10))];
    let target = Replica::bind(move |_| script.to_vec()).await.unwrap();
    let name = "a_killed_daemon_does_not_end_a_response_to_an_http_1_0_caller_as_complete";
    let mut child = Command::new(std::env::current_exe().unwrap())
        .args(["--exact", name, "--nocapture"])
        .env(CHILD_TARGET, target.address().to_string())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines().map_while(Result::ok);
    let callers = lines.find_map(|line| line.strip_prefix("callers ").map(str::to_owned));
    let mut caller = TcpStream::connect(callers.unwrap()).await.unwrap();
    let request = format!(
        "POST /flow/ HTTP/1.0\r\nhost: shop.example\r\nauthorization: Bearer {KEY}\r\n\
         x-cumintrail-call: c-1\r\ncontent-length: 0\r\n\r\n"
    );
    caller.write_all(request.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    while !String::from_utf8_lossy(&response).contains("data: 2\n\n") {
        response.push(caller.read_u8().await.expect("the connection stays open"));
    }
    child.kill().unwrap();
    let _status = child.wait().unwrap();
    let end = timeout(Duration::from_secs(5), caller.read_to_end(&mut response)).await.unwrap();
    assert!(end.is_err(), "{}", String::from_utf8_lossy(&response));
}

/// Guards against chunks in a response to a caller of HTTP/1.0, which takes them for the body.
#[actix_rt::test]
async fn a_streamed_response_to_an_http_1_0_caller_has_no_chunks() {
    let script = [send(STREAM), events(1..=2), send("0\r\n\r\n")];
    let target = Replica::bind(move |_| script.to_vec()).await.unwrap();
    let cluster = Cluster::spawn(&[&target]).await;
    let mut caller = cluster.connect().await;
    let request = format!(
        "POST /flow/ HTTP/1.0\r\nhost: shop.example\r\nauthorization: Bearer {KEY}\r\n\
         x-cumintrail-call: c-1\r\ncontent-length: 0\r\n\r\n"
    );
    caller.0.write_all(request.as_bytes()).await.unwrap();
    let response = caller.rest().await;
    assert!(response.ends_with("\r\n\r\nid: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"), "{response}");
}
