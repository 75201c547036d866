//! Request bodies that are longer than what a daemon buffers reach their targets while they arrive.

use std::time::Duration;

use cumintrail_daemon::Gateway;
use cumintrail_tests::gateway_cluster::{
    BODY_LIMIT, Caller, Cluster, KEY, LIMIT, WHOLE, declarations, send, status,
};
use cumintrail_tests::standins::feed::FeedPlatform;
use cumintrail_tests::standins::replica::Replica;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

/// The size limit of a body in these tests, in bytes.
const LONG_BODY_LIMIT: usize = 1_000_000;
const PIECE_BYTES: usize = 20_000;

/// Starts a gateway that accepts long bodies, in front of one target.
async fn spawn(target: std::net::SocketAddr) -> Cluster {
    let platform = FeedPlatform::new();
    let limit = |bytes: usize| format!("caller_body_bytes = {bytes}\n");
    let text = declarations(KEY).replace(&limit(BODY_LIMIT), &limit(LONG_BODY_LIMIT));
    platform.publish_declarations(1, &text);
    platform.list_target("t0", 1, 1, "desk", target, false);
    let cluster = Cluster::spawn_on(platform);
    cluster.until(Gateway::is_ready).await;
    cluster
}

fn body(length: usize) -> Vec<u8> {
    (0..length).map(|at| b'a' + (at % 23) as u8).collect()
}

async fn send_head(caller: &mut Caller, path: &str, framing: &str) {
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: shop.example\r\nauthorization: Bearer {KEY}\r\n\
         x-cumintrail-call: c-1\r\n{framing}\r\n\r\n"
    );
    caller.0.write_all(head.as_bytes()).await.unwrap();
}

async fn send_in_pieces(caller: &mut Caller, body: &[u8]) {
    for piece in body.chunks(PIECE_BYTES) {
        caller.0.write_all(piece).await.unwrap();
        actix_rt::time::sleep(Duration::from_millis(3)).await;
    }
}

#[actix_rt::test]
async fn a_body_beyond_the_buffer_reaches_its_target_whole() {
    let target = Replica::bind(|_| vec![send(WHOLE)]).await.unwrap();
    let cluster = spawn(target.address()).await;
    for path in ["/read/", "/hold/"] {
        for length in [60_000, 70_000, 90_000, 400_000] {
            let mut caller = cluster.connect().await;
            send_head(&mut caller, path, &format!("content-length: {length}")).await;
            send_in_pieces(&mut caller, &body(length)).await;
            let response = caller.until("\r\n\r\n").await;
            assert_eq!(status(&response), "200", "{path} with {length} bytes: {response}");
            let call = target.calls().pop().unwrap();
            assert!(call.into_bytes().ends_with(&body(length)), "{path} with {length} bytes");
        }
    }
}

#[actix_rt::test]
async fn a_planned_stop_waits_for_a_body_beyond_the_buffer() {
    let target = Replica::bind(|_| vec![send(WHOLE)]).await.unwrap();
    let cluster = spawn(target.address()).await;
    let mut caller = cluster.connect().await;
    let body = body(200_000);
    send_head(&mut caller, "/hold/", &format!("content-length: {}", body.len())).await;
    let (before, after) = body.split_at(100_000);
    send_in_pieces(&mut caller, before).await;
    let stopped = actix_rt::spawn(cluster.gateway.stop());
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    send_in_pieces(&mut caller, after).await;
    assert_eq!(status(&caller.rest().await), "200");
    actix_rt::time::timeout(LIMIT, stopped).await.expect("the stop ends").unwrap();
}

#[actix_rt::test]
async fn a_target_that_responds_early_receives_the_rest_of_the_body() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let cluster = spawn(listener.local_addr().unwrap()).await;
    let length = 300_000;
    let target = actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.unwrap());
        }
        let response = WHOLE.replace("{id}", "c-1");
        let (first, last) = response.split_at(response.len() - 3);
        stream.write_all(first.as_bytes()).await.unwrap();
        let mut received = vec![0; length];
        stream.read_exact(&mut received).await.unwrap();
        stream.write_all(last.as_bytes()).await.unwrap();
        received
    });
    let mut caller = cluster.connect().await;
    send_head(&mut caller, "/hold/", &format!("content-length: {length}")).await;
    send_in_pieces(&mut caller, &body(length)).await;
    let response = caller.until("wheel").await;
    assert_eq!(status(&response), "200", "{response}");
    assert!(target.await.unwrap() == body(length), "the body was changed");
}

#[actix_rt::test]
async fn a_body_beyond_the_limit_is_refused_after_its_start_was_forwarded() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let cluster = spawn(listener.local_addr().unwrap()).await;
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = tokio::io::copy(&mut stream, &mut tokio::io::sink()).await;
    });
    let mut caller = cluster.connect().await;
    send_head(&mut caller, "/hold/", "transfer-encoding: chunked").await;
    let chunk = format!("{PIECE_BYTES:x}\r\n{}\r\n", "x".repeat(PIECE_BYTES));
    let sending = async {
        for _ in 0..=LONG_BODY_LIMIT / PIECE_BYTES {
            // The daemon may have refused the call and closed the connection.
            let _ = caller.0.write_all(chunk.as_bytes()).await;
        }
        caller.until("\r\n\r\n").await
    };
    let response = actix_rt::time::timeout(LIMIT, sending).await.expect("a response arrives");
    assert_eq!(status(&response), "413", "{response}");
}
