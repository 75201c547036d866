//! Exchanges with a platform that stops responding.

use std::time::Duration;

use cumintrail_client::{HttpPlatform, Table as _};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

/// The limit of an exchange with the platform.
const TIMEOUT: Duration = Duration::from_millis(1_500);

/// Guards against a platform that falls silent within a response and holds up a read twice as long.
#[actix_rt::test]
async fn the_limit_of_a_read_includes_the_body_of_the_response() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _request = stream.read(&mut [0; 4_096]).await.unwrap();
        actix_rt::time::sleep(TIMEOUT.mul_f64(0.5)).await;
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n").await.unwrap();
        std::future::pending::<()>().await;
    });
    let platform = HttpPlatform::open(at, at, at);
    // Timers that are due at the same moment leave the exchange the first turn.
    tokio::select! {
        biased;
        row = platform.read("head") => assert!(row.is_err(), "there is no body"),
        () = actix_rt::time::sleep(TIMEOUT.mul_f64(1.25)) => panic!("the exchange goes on"),
    }
}

/// Guards against an exchange that counts as one whose connection broke, although its request cannot
/// be sent.
#[actix_rt::test]
async fn a_request_without_a_valid_path_was_not_sent() {
    let at = "127.0.0.1:1".parse().unwrap();
    let failed = HttpPlatform::open(at, at, at).read("a b").await.unwrap_err();
    assert!(!failed.may_have_arrived(), "{failed:?}");
}
