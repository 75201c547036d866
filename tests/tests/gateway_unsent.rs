//! Calls that were dispatched but not sent do not reach targets that may get no calls any more.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::{sleep, timeout};
use cumintrail_daemon::Gateway;
use cumintrail_tests::gateway_cluster::{
    Caller, Cluster, KEY, LIMIT, STREAM, WHOLE, declarations, events, send, status,
};
use cumintrail_tests::standins::feed::FeedPlatform;
use cumintrail_tests::standins::replica::{Replica, Step, header};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Calls after which both of two equally loaded targets would have had one.
const CALLS: usize = 24;
const CLOSE: &str = "connection: close\r\n";

/// A target that holds identity requests back.
#[derive(Clone)]
struct SlowTarget {
    address: SocketAddr,
    /// How often it was asked for its process, and how often it has answered or the request ended.
    asked: Rc<Cell<usize>>,
    answered: Rc<Cell<usize>>,
    streams: Rc<Cell<usize>>,
    calls: Rc<Cell<usize>>,
    /// The response to calls that are no streams. It closes connections, like those to identity
    /// requests, if it says so.
    response: Rc<Cell<&'static str>>,
    is_released: Rc<watch::Sender<bool>>,
}

impl SlowTarget {
    /// Listens on a free loopback port.
    async fn bind() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let target = Self {
            address: listener.local_addr().unwrap(),
            asked: Rc::default(),
            answered: Rc::default(),
            streams: Rc::default(),
            calls: Rc::default(),
            response: Rc::new(Cell::new(WHOLE)),
            is_released: Rc::new(watch::Sender::new(false)),
        };
        let served = target.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let served = served.clone();
                actix_rt::spawn(async move { served.serve(stream).await });
            }
        });
        target
    }

    async fn serve(&self, mut stream: TcpStream) -> Option<()> {
        loop {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                head.push(stream.read_u8().await.ok()?);
            }
            let head = String::from_utf8(head).ok()?;
            let text = match header(&head, "x-cumintrail-call") {
                None => self.hold_identity(&mut stream).await,
                Some(id) if head.starts_with("POST /resume/ ") => {
                    self.streams.set(self.streams.get() + 1);
                    format!("{}0\r\n\r\n", STREAM.replace("{id}", id))
                }
                Some(id) => {
                    self.calls.set(self.calls.get() + 1);
                    self.response.get().replace("{id}", id)
                }
            };
            stream.write_all(text.as_bytes()).await.ok()?;
            if text.contains(CLOSE) {
                return None;
            }
        }
    }

    async fn hold_identity(&self, stream: &mut TcpStream) -> String {
        self.asked.set(self.asked.get() + 1);
        let mut is_released = self.is_released.subscribe();
        let mut byte = [0];
        tokio::select! {
            _ = is_released.wait_for(|is_released| *is_released) => {}
            _ = stream.read(&mut byte) => {}
        }
        self.answered.set(self.answered.get() + 1);
        let connection = if self.response.get().contains(CLOSE) { CLOSE } else { "" };
        format!("HTTP/1.1 204 No Content\r\n{connection}x-cumintrail-process-start: 1\r\n\r\n")
    }
}

/// A stream that waits for the identity of its target, and another target.
struct Waiting {
    cluster: Cluster,
    caller: Caller,
    slow: SlowTarget,
    other: Replica,
    /// A call that keeps the other target as busy as the first one.
    _held: Caller,
}

impl Waiting {
    /// Sends a stream to a target that is listed alone, in failure domain `a`, and then lists another
    /// one in domain `b`.
    async fn spawn() -> Self {
        let slow = SlowTarget::bind().await;
        let other = Replica::bind_by_head(|head| {
            if head.starts_with("POST /resume/ ") {
                return vec![send(STREAM), events(1..=2), send("0\r\n\r\n")];
            }
            if head.starts_with("POST /hold/ ") {
                return vec![Step::Pause(LIMIT)];
            }
            vec![send(WHOLE)]
        });
        let other = other.await.unwrap();
        let platform = FeedPlatform::new();
        platform.publish_declarations(1, &declarations(KEY));
        platform.list_software("t0", "desk", slow.address, "v1");
        let cluster = Cluster::spawn_on(platform);
        cluster.until(Gateway::is_ready).await;
        let mut caller = cluster.connect().await;
        caller.send("/resume/", "c-1", "connection: close\r\n", "").await;
        until(|| slow.asked.get() > 0).await;
        cluster.platform.list_software_in_domain("t1", "desk", other.address(), "v1", "b");
        while other.calls().is_empty() {
            cluster.call("/read/").await;
        }
        let mut held = cluster.connect().await;
        held.send("/hold/", "c-2", "", "").await;
        until(|| other.calls().iter().any(|call| call.starts_with("POST /hold/ "))).await;
        Self { cluster, caller, slow, other, _held: held }
    }

    /// Answers the identity request once the daemon sends no new calls to the target; asserts that the
    /// stream is sent to the other target only.
    async fn expect_sent_elsewhere(mut self) {
        let unused = async {
            loop {
                let (slow, other) = (self.slow.calls.get(), self.other.calls().len());
                for _ in 0..CALLS {
                    self.cluster.call("/read/").await;
                }
                if self.slow.calls.get() == slow && self.other.calls().len() > other {
                    return;
                }
            }
        };
        timeout(LIMIT, unused).await.expect("the target gets no new calls");
        let _ = timeout(Duration::from_millis(300), until(|| self.slow.answered.get() > 0)).await;
        self.slow.is_released.send_replace(true);
        let response = self.caller.rest().await;
        assert_eq!(self.slow.streams.get(), 0, "{response}");
        assert!(response.contains("id: 2\n") && response.ends_with("0\r\n\r\n"), "{response}");
    }
}

async fn until(holds: impl Fn() -> bool) {
    let wait = async {
        while !holds() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(LIMIT, wait).await.expect("the expected state is reached");
}

#[actix_rt::test]
async fn a_stream_whose_target_begins_to_drain_before_it_is_sent_goes_elsewhere() {
    let waiting = Waiting::spawn().await;
    waiting.cluster.platform.list_target("t0", 1, 2, "desk", waiting.slow.address, true);
    waiting.expect_sent_elsewhere().await;
}

#[actix_rt::test]
async fn a_stream_whose_target_is_gone_before_it_is_sent_goes_elsewhere() {
    let waiting = Waiting::spawn().await;
    waiting.cluster.platform.remove_target("t0");
    waiting.expect_sent_elsewhere().await;
}

#[actix_rt::test]
async fn a_stream_whose_target_says_that_it_leaves_before_it_is_sent_goes_elsewhere() {
    let response = "HTTP/1.1 200 OK\r\nx-cumintrail-call: {id}\r\nx-cumintrail-leaving: 1\r\n\
        content-length: 0\r\n\r\n";
    let waiting = Waiting::spawn().await;
    waiting.slow.response.set(response);
    waiting.expect_sent_elsewhere().await;
}

#[actix_rt::test]
async fn a_stream_whose_failure_domain_is_evacuated_before_it_is_sent_goes_elsewhere() {
    let waiting = Waiting::spawn().await;
    waiting.cluster.platform.set_evacuated("a", true);
    waiting.expect_sent_elsewhere().await;
}

#[actix_rt::test]
async fn a_stream_whose_target_asks_for_no_calls_before_it_is_sent_goes_elsewhere() {
    let response = "HTTP/1.1 503 Service Unavailable\r\nx-cumintrail-call: {id}\r\n\
        x-cumintrail-not-run: 1\r\nretry-after: 3\r\ncontent-length: 0\r\n\r\n";
    let waiting = Waiting::spawn().await;
    waiting.slow.response.set(response);
    waiting.expect_sent_elsewhere().await;
}

#[actix_rt::test]
async fn a_call_that_runs_once_and_was_not_sent_goes_elsewhere() {
    let slow = SlowTarget::bind().await;
    let platform = FeedPlatform::new();
    platform.publish_declarations(1, &declarations(KEY));
    platform.list_target("t0", 1, 1, "desk", slow.address, false);
    let cluster = Cluster::spawn_on(platform);
    cluster.until(Gateway::is_ready).await;
    // Once a response ends with its connection, later calls wait for the identity of the process.
    slow.response
        .set("HTTP/1.1 200 OK\r\nx-cumintrail-call: {id}\r\nconnection: close\r\n\r\nwheel");
    slow.is_released.send_replace(true);
    cluster.call("/hold/").await;
    slow.is_released.send_replace(false);
    let (asked, calls) = (slow.asked.get(), slow.calls.get());
    let mut caller = cluster.connect().await;
    caller.send("/hold/", "c-1", "connection: close\r\n", "").await;
    until(|| slow.asked.get() > asked).await;
    let other = Replica::bind(|_| vec![send(WHOLE)]).await.unwrap();
    cluster.platform.list_target("t1", 1, 1, "desk", other.address(), false);
    cluster.platform.list_target("t0", 1, 2, "desk", slow.address, true);
    let response = caller.rest().await;
    assert_eq!(status(&response), "200", "{response}");
    assert_eq!((slow.calls.get() - calls, other.calls().len()), (0, 1));
}

#[actix_rt::test]
async fn a_call_that_was_sent_goes_on_at_a_target_that_begins_to_drain() {
    for path in ["/hold/", "/read/"] {
        let script = |_| vec![Step::Pause(Duration::from_millis(500)), send(WHOLE)];
        let drains = Replica::bind(script).await.unwrap();
        let cluster = Cluster::spawn(&[&drains]).await;
        let mut caller = cluster.connect().await;
        caller.send(path, "c-1", "connection: close\r\n", "").await;
        until(|| !drains.calls().is_empty()).await;
        cluster.platform.list_target("t0", 1, 2, "desk", drains.address(), true);
        let response = caller.rest().await;
        assert_eq!(status(&response), "200", "{path}: {response}");
        assert_eq!(drains.calls().len(), 1, "{path}");
    }
}
