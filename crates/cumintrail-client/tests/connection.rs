//! Exchanges on reused connections with targets whose responses are truncated, malformed or
//! followed by other bytes.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::{Method, RequestHead, ServiceConfig};
use bytes::Bytes;
use cumintrail_client::{
    ClientError, Connection, ConnectionPool, ProcessDemand, ResponseBudget, RetrySafety,
};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

const TIMEOUT: Duration = Duration::from_secs(2);
const COMPLETE_RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Accepts one connection, responds to each request with the next of `responses`, then closes or
/// resets the connection.
async fn target(responses: Vec<String>, resets: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        for response in responses {
            read_head(&mut stream).await;
            stream.write_all(response.as_bytes()).await.unwrap();
        }
        if resets {
            actix_rt::time::sleep(Duration::from_millis(50)).await;
            socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
        }
    });
    at
}

async fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
}

async fn open(responses: &[&str], resets: bool) -> Connection {
    let at = target(responses.iter().map(|a| (*a).to_owned()).collect(), resets).await;
    Connection::open(at, TIMEOUT, ServiceConfig::default()).await.unwrap()
}

async fn exchange(connection: &mut Connection) -> Result<Vec<u8>, ClientError> {
    connection.start_exchange(RequestHead::default(), BodySize::None)?;
    connection.read_head().await?;
    read_body(connection).await
}

async fn read_body(connection: &mut Connection) -> Result<Vec<u8>, ClientError> {
    let mut body = Vec::new();
    while let Some(chunk) = connection.read_chunk().await? {
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}

#[actix_rt::test]
async fn a_clean_exchange_lets_another_follow() {
    let mut connection = open(&[COMPLETE_RESPONSE, COMPLETE_RESPONSE], false).await;
    for _ in 0..2 {
        assert_eq!(exchange(&mut connection).await.unwrap(), b"ok");
    }
    assert!(connection.has_been_used());
}

#[actix_rt::test]
async fn bytes_after_a_response_make_the_connection_unusable() {
    let mut connection = open(&[&format!("{COMPLETE_RESPONSE}HTTP/1.1 200 OK\r\n")], false).await;
    assert_eq!(exchange(&mut connection).await.unwrap(), b"ok");
    assert_eq!(connection.reusable_for(), None);
}

#[actix_rt::test]
async fn a_response_to_another_call_is_skipped() {
    let mut connection =
        open(&[&format!("{COMPLETE_RESPONSE}{}", COMPLETE_RESPONSE.replace("ok", "OK"))], false)
            .await;
    connection.start_exchange(RequestHead::default(), BodySize::None).unwrap();
    connection.read_head().await.unwrap();
    read_body(&mut connection).await.unwrap();
    connection.expect_response();
    connection.read_head().await.unwrap();
    assert_eq!(read_body(&mut connection).await.unwrap(), b"OK");
}

#[actix_rt::test]
async fn a_truncated_response_is_an_error() {
    for response in [
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nok",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n",
        "HTTP/1.1 200 OK\r\ncontent-len",
    ] {
        let mut connection = open(&[response], false).await;
        assert!(exchange(&mut connection).await.is_err(), "{response}");
    }
}

#[actix_rt::test]
async fn a_response_without_length_ends_at_a_close_but_not_at_a_reset() {
    let response = "HTTP/1.1 200 OK\r\n\r\nok";
    let mut closed = open(&[response], false).await;
    assert_eq!(exchange(&mut closed).await.unwrap(), b"ok");
    assert_eq!(closed.reusable_for(), None);
    let mut reset = open(&[response], true).await;
    assert!(exchange(&mut reset).await.is_err());
}

/// Guards against a response that counts as complete and empty although a body follows its head.
#[actix_rt::test]
async fn a_body_that_the_head_does_not_frame_is_not_dropped() {
    let identity = "HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n\r\nok";
    assert_eq!(exchange(&mut open(&[identity], false).await).await.unwrap(), b"ok");
    assert!(exchange(&mut open(&[identity], true).await).await.is_err());
    let upgrade = "HTTP/1.1 200 OK\r\nupgrade: websocket\r\ncontent-length: 2\r\n\r\nok";
    let body = exchange(&mut open(&[upgrade], false).await).await;
    assert!(body.as_deref().is_ok_and(|body| body == b"ok") || body.is_err(), "{body:?}");
}

/// Guards against an interim response that passes for the response of the call.
#[actix_rt::test]
async fn interim_responses_come_before_the_response() {
    for interim in ["100 Continue", "102 Processing", "103 Early Hints"] {
        let response = format!("HTTP/1.1 {interim}\r\nlink: a\r\n\r\n{COMPLETE_RESPONSE}");
        let mut connection = open(&[&response], false).await;
        assert_eq!(exchange(&mut connection).await.unwrap(), b"ok", "{interim}");
    }
}

/// Guards against a reset whose error the write of the request consumes.
#[actix_rt::test]
async fn a_reset_during_the_request_does_not_end_a_response_without_length() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_head(&mut stream).await;
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nok").await.unwrap();
        actix_rt::time::sleep(Duration::from_millis(50)).await;
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
    });
    let mut connection = Connection::open(at, TIMEOUT, ServiceConfig::default()).await.unwrap();
    let mut head = RequestHead::default();
    head.method = Method::POST;
    let length = 32 << 20;
    connection.start_exchange(head, BodySize::Sized(length)).unwrap();
    connection.queue_body(Some(Bytes::from(vec![b'x'; length as usize]))).unwrap();
    connection.read_head().await.unwrap();
    assert!(read_body(&mut connection).await.is_err(), "the response counts as complete");
}

#[actix_rt::test]
async fn a_response_to_head_has_no_body_whatever_it_declares() {
    for response in ["HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n"] {
        let mut connection = open(&[response, COMPLETE_RESPONSE], false).await;
        let mut head = RequestHead::default();
        head.method = Method::HEAD;
        connection.start_exchange(head, BodySize::None).unwrap();
        connection.read_head().await.unwrap();
        let body = actix_rt::time::timeout(TIMEOUT, read_body(&mut connection)).await;
        assert_eq!(body.expect("no wait for a body").unwrap(), b"", "{response}");
        assert!(connection.reusable_for().is_some());
        assert_eq!(exchange(&mut connection).await.unwrap(), b"ok");
    }
}

#[actix_rt::test]
async fn bytes_that_are_no_response_are_invalid() {
    let mut connection = open(&["whey and curds\r\n\r\n"], false).await;
    assert!(matches!(exchange(&mut connection).await, Err(ClientError::Malformed)));
}

#[actix_rt::test]
async fn a_response_before_the_end_of_the_request_body_leaves_the_connection_unusable() {
    let mut connection = open(&[COMPLETE_RESPONSE], false).await;
    connection.start_exchange(RequestHead::default(), BodySize::Sized(1_000)).unwrap();
    connection.queue_body(Some(Bytes::from_static(b"the first bytes"))).unwrap();
    connection.read_head().await.unwrap();
    assert_eq!(read_body(&mut connection).await.unwrap(), b"ok");
    assert_eq!(connection.reusable_for(), None);
}

#[actix_rt::test]
async fn a_connection_that_closed_while_idle_is_not_taken_from_the_pool() {
    let pool = ConnectionPool::open(TIMEOUT, ResponseBudget::new(1 << 20, 1 << 20));
    let at = target(vec![COMPLETE_RESPONSE.into()], false).await;
    let mut connection = pool
        .acquire(at, &"t0".into(), ProcessDemand::None, RetrySafety::AtMostOnce, &[])
        .await
        .unwrap();
    assert_eq!(exchange(&mut connection).await.unwrap(), b"ok");
    pool.release(connection);
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    // The target no longer listens, so only the closed connection could have been returned.
    assert!(matches!(
        pool.acquire(at, &"t0".into(), ProcessDemand::None, RetrySafety::Retryable, &[]).await,
        Err(ClientError::NotSent)
    ));
}

#[actix_rt::test]
async fn a_connection_that_the_target_closes_is_not_reused() {
    let response =
        COMPLETE_RESPONSE.replace("content-length", "connection: close\r\ncontent-length");
    let mut connection = open(&[&response], false).await;
    assert_eq!(exchange(&mut connection).await.unwrap(), b"ok");
    assert_eq!(connection.reusable_for(), None);
}

/// A cut link keeps sent bytes in the sender's buffer, and delivers them once it heals unless the
/// connection was reset.
#[actix_rt::test]
async fn a_connection_that_is_given_up_during_an_exchange_is_reset() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    for given_up in [true, false] {
        let mut connection = Connection::open(at, TIMEOUT, ServiceConfig::default()).await.unwrap();
        let (mut stream, _) = listener.accept().await.unwrap();
        connection.start_exchange(RequestHead::default(), BodySize::None).unwrap();
        let respond = async {
            read_head(&mut stream).await;
            if !given_up {
                stream.write_all(COMPLETE_RESPONSE.as_bytes()).await.unwrap();
            }
        };
        let read = actix_rt::time::timeout(Duration::from_millis(100), connection.read_head());
        let (head, ()) = tokio::join!(read, respond);
        if head.is_ok() {
            assert_eq!(read_body(&mut connection).await.unwrap(), b"ok");
        }
        drop(connection);
        let end = stream.read(&mut [0; 8]).await;
        assert_eq!(end.is_err(), given_up, "{end:?}");
    }
}

#[actix_rt::test]
async fn a_connection_that_may_have_an_unanswered_keep_alive_probe_is_not_reused() {
    for (idle, is_reused) in
        [(Duration::from_millis(200), true), (Duration::from_millis(1_050), false)]
    {
        let at = target(
            vec![COMPLETE_RESPONSE.replace("\r\n\r\n", "\r\nkeep-alive: timeout=60\r\n\r\n"); 2],
            false,
        )
        .await;
        let pool = ConnectionPool::open(TIMEOUT, ResponseBudget::new(1 << 20, 1 << 20));
        let mut connection = pool
            .acquire(at, &"t0".into(), ProcessDemand::None, RetrySafety::Retryable, &[])
            .await
            .unwrap();
        exchange(&mut connection).await.unwrap();
        pool.release(connection);
        actix_rt::time::sleep(idle).await;
        let connection =
            pool.acquire(at, &"t0".into(), ProcessDemand::None, RetrySafety::Retryable, &[]).await;
        let has_been_used = connection.is_ok_and(|connection| connection.has_been_used());
        assert_eq!(has_been_used, is_reused, "after {idle:?}");
    }
}
