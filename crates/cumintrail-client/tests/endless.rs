//! A target that sends bytes without end, none of which complete a response, must cost bounded
//! memory and end in an error.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::{Method, RequestHead, ServiceConfig};
use cumintrail_client::{ClientError, Connection, HttpClient, ResponseBudget};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_secs(5);
/// What both sides of a loopback connection buffer at most, above the limit of the reader.
const SOCKET_BUFFERS: usize = 12 << 20;

/// Responds to one request with `start`, then repeats `again` until the peer closes; counts the
/// bytes that the peer's system accepted.
async fn endless(start: &'static str, again: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, sent) = (listener.local_addr().unwrap(), Arc::new(AtomicUsize::new(0)));
    let counter = sent.clone();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 4_096]).await;
        let block = again.repeat((64 << 10) / again.len());
        let mut next = start.as_bytes();
        while let Ok(written) = stream.write(next).await {
            counter.fetch_add(written, Ordering::Relaxed);
            next = block.as_bytes();
        }
    });
    (address, sent)
}

async fn read_head(at: SocketAddr) -> Result<u16, ClientError> {
    let mut connection = Connection::open(at, TIMEOUT, ServiceConfig::default()).await?;
    connection.start_exchange(RequestHead::default(), BodySize::None)?;
    connection.read_head().await.map(|head| head.status.as_u16())
}

#[actix_rt::test]
async fn a_head_without_end_is_malformed() {
    for (start, again) in [
        ("HTTP/1.1 200 OK\r\n", "x-name: value\r\n"),
        ("HTTP/1.1 200 OK\r\nx-name: ", "value"),
        ("HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("bytes of no protocol ", "and more of them "),
    ] {
        let (at, sent) = endless(start, again).await;
        let read = actix_rt::time::timeout(TIMEOUT, read_head(at)).await;
        let read = read.unwrap_or_else(|_| panic!("{start:?}: no end"));
        assert!(matches!(read, Err(ClientError::Malformed)), "{start:?}: {read:?}");
        assert!(sent.load(Ordering::Relaxed) < SOCKET_BUFFERS, "{start:?}");
    }
}

/// Guards against parts of a chunked body that are no content and are read until the peer closes.
#[actix_rt::test]
async fn framing_without_content_is_malformed() {
    const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    for (start, again) in [("1;", "x"), ("0", "0"), ("0\r\nx", "x"), ("0\r\n", "x-name: value\r\n")]
    {
        let (at, sent) = endless(format!("{CHUNKED}{start}").leak(), again).await;
        let read = async {
            let mut connection = Connection::open(at, TIMEOUT, ServiceConfig::default()).await?;
            connection.start_exchange(RequestHead::default(), BodySize::None)?;
            connection.read_head().await?;
            connection.read_chunk().await
        };
        let read = actix_rt::time::timeout(TIMEOUT, read).await;
        let read = read.unwrap_or_else(|_| panic!("{start:?}: no end"));
        assert!(matches!(read, Err(ClientError::Malformed)), "{start:?}: {read:?}");
        assert!(sent.load(Ordering::Relaxed) < SOCKET_BUFFERS, "{start:?}");
    }
}

#[actix_rt::test]
async fn a_body_without_end_is_cut_off_at_the_limit() {
    const LIMIT: usize = 256 << 10;
    for start in [
        "HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nfffffffff\r\n",
    ] {
        let (at, sent) = endless(start, " ").await;
        let client = HttpClient::unpooled(TIMEOUT).with_max_body(LIMIT);
        let exchange = client.exchange::<(), serde_json::Value>(Method::GET, at, "/", None);
        let read = actix_rt::time::timeout(TIMEOUT, exchange).await;
        assert!(read.expect("an end").is_err(), "{start:?}");
        let sent = sent.load(Ordering::Relaxed);
        assert!(sent < LIMIT + SOCKET_BUFFERS, "{start:?}: {sent} bytes were read");
    }
}

/// Guards against responses that are within their own limits, but hold too much together.
#[test]
fn responses_beyond_the_budget_hold_only_their_share() {
    const LIMIT: usize = 1_000;
    const SHARE: usize = 10;
    let budget = ResponseBudget::new(LIMIT, SHARE);
    let mut large = budget.open();
    assert!(large.hold(LIMIT));
    let mut small: Vec<_> = (0..LIMIT / SHARE).map(|_| budget.open()).collect();
    assert!(small.iter_mut().all(|held| held.hold(SHARE)));
    assert!(!budget.open().hold(SHARE + 1), "more than its share");
    assert!(!large.hold(LIMIT), "the small ones hold as much again");
    drop(small);
    assert!(large.hold(LIMIT), "the small ones were released");
    drop(large);
    assert!(budget.open().hold(LIMIT), "the large one was released");
    assert!(budget.open().hold(LIMIT), "a dropped refused one holds nothing");
}
