//! A truncated response of a plain service must be reported as an error.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::Method;
use cumintrail_client::{HttpService, Service, ServiceCall};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Responds to one request with `bytes` and closes the connection.
async fn respond_once(bytes: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 4_096];
        let _ = stream.read(&mut buf).await;
        stream.write_all(bytes).await.unwrap();
        stream.shutdown().await.unwrap();
        // The process runs on.
        let _idle = listener.accept().await;
        std::future::pending::<()>().await;
    });
    address
}

/// Responds to one request with `bytes`; then the process ends, and another one listens at its
/// address at once.
async fn respond_and_restart(bytes: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let accept_all = async || {
            let mut accepted = Vec::new();
            loop {
                accepted.push(listener.accept().await.unwrap());
            }
        };
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 4_096];
        let _ = stream.read(&mut buf).await;
        stream.write_all(bytes).await.unwrap();
        let _ = actix_rt::time::timeout(Duration::from_millis(30), accept_all()).await;
        drop(stream);
        accept_all().await;
    });
    address
}

async fn call(bytes: &'static [u8]) -> Result<Vec<u8>, bool> {
    call_at(respond_once(bytes).await).await
}

async fn call_at(at: SocketAddr) -> Result<Vec<u8>, bool> {
    let call = ServiceCall {
        method: Method::POST,
        path: "/place".into(),
        headers: Vec::new(),
        body: "two wheels".into(),
        response_timeout: Duration::from_secs(5),
    };
    let response = HttpService::open().call(at, &call).await;
    response.map(|r| r.body.to_vec()).map_err(|e| e.may_have_arrived())
}

#[actix_rt::test]
async fn a_body_that_breaks_off_is_an_error_after_sending() {
    let complete = call(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nheld").await;
    assert_eq!(complete, Ok(b"held".to_vec()));
    let chunked =
        call(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nheld\r\n0\r\n\r\n");
    assert_eq!(chunked.await, Ok(b"held".to_vec()));

    let short = call(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nheld").await;
    assert_eq!(short, Err(true));
    assert_eq!(call(b"HTTP/1.1 200 OK\r\n").await, Err(true));
    assert_eq!(call(b"").await, Err(true));
}

#[actix_rt::test]
async fn a_chunked_body_without_its_last_chunk_is_an_error() {
    let unterminated =
        call(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nheld\r\n").await;
    assert_eq!(unterminated, Err(true));
}

#[actix_rt::test]
async fn a_body_that_ends_with_its_connection_is_read_whole() {
    assert_eq!(call(b"HTTP/1.1 200 OK\r\n\r\nheld").await, Ok(b"held".to_vec()));
    assert_eq!(call(b"HTTP/1.0 200 OK\r\n\r\nheld").await, Ok(b"held".to_vec()));
    assert_eq!(call(b"HTTP/1.1 204 No Content\r\n\r\n").await, Ok(Vec::new()));
}

/// Guards against the end of a killed process that passes for the end of its response.
#[actix_rt::test]
async fn a_body_without_length_of_a_service_that_restarts_is_an_error() {
    let at = respond_and_restart(b"HTTP/1.1 200 OK\r\n\r\nhe").await;
    assert_eq!(call_at(at).await, Err(true));
}
