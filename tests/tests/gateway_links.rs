//! Responses without length or chunks that reach the daemon through something that closes
//! connections normally and goes on to accept them.

use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::time::sleep;
use cumintrail_daemon::Gateway;
use cumintrail_tests::gateway_cluster::{Cluster, KEY, declarations, send};
use cumintrail_tests::standins::feed::FeedPlatform;
use cumintrail_tests::standins::replica::{Replica, Step};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

/// The head of a response that ends with its connection.
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nx-cumintrail-call: {id}\r\n\r\n";
const TWO_EVENTS: &str = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n";
/// The end of a stream that its caller takes for complete.
const LAST_CHUNK: &str = "0\r\n\r\n";

/// When a proxy passes on that a target has closed a connection.
#[derive(Debug, Clone, Copy)]
struct Delays {
    /// For connections that have carried a response.
    used: Duration,
    /// For connections that have carried nothing.
    idle: Duration,
    /// How long a connection stays open whose target cannot be reached.
    unreachable: Duration,
}

/// Forwards connections to a target, and accepts them whether the target is running or not.
async fn proxy(to: SocketAddr, delays: Delays) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            actix_rt::spawn(forward(near, to, delays));
        }
    });
    at
}

async fn forward(near: TcpStream, to: SocketAddr, delays: Delays) {
    let Ok(far) = TcpStream::connect(to).await else {
        return sleep(delays.unreachable).await;
    };
    let (mut from_near, mut to_near) = near.into_split();
    let (mut from_far, mut to_far) = far.into_split();
    let requests =
        actix_rt::spawn(async move { tokio::io::copy(&mut from_near, &mut to_far).await });
    let (mut bytes, mut used) = ([0; 1_024], false);
    while let Ok(read @ 1..) = from_far.read(&mut bytes).await {
        used = true;
        to_near.write_all(&bytes[..read]).await.unwrap();
    }
    sleep(if used { delays.used } else { delays.idle }).await;
    requests.abort();
}

/// Makes a call to a target behind a proxy; the target sends two events, and does `end` later.
async fn call(path: &str, end: Step, delays: Delays) -> String {
    let pause = Step::Pause(Duration::from_millis(50));
    let script = [send(UNFRAMED), send(TWO_EVENTS), pause, end];
    let target = Replica::bind(move |_| script.to_vec()).await.unwrap();
    let at = proxy(target.address(), delays).await;
    let platform = FeedPlatform::new();
    platform.publish_declarations(1, &declarations(KEY));
    platform.list_target("t0", 1, 1, "desk", at, false);
    let cluster = Cluster::spawn_on(platform);
    cluster.until(Gateway::is_ready).await;
    cluster.call(path).await
}

/// Guards against an idle connection of the successor, opened while the system of a killed target
/// still closes the connections, that passes for one of the target.
#[actix_rt::test]
async fn a_replaced_target_whose_idle_connection_ends_first_does_not_count_as_running() {
    let used = Duration::from_millis(10);
    let successor = Delays { used, idle: Duration::ZERO, unreachable: Duration::ZERO };
    let listener_only = Delays { unreachable: Duration::from_millis(500), ..successor };
    let mut wrong = Vec::new();
    for (end, delays) in [(Step::Restart, successor), (Step::Kill, listener_only)] {
        for path in ["/flow/", "/resume/"] {
            let response = call(path, end.clone(), delays).await;
            if response.ends_with(LAST_CHUNK) {
                wrong.push(format!("{path}, {end:?}: {response}"));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against a proxy that makes complete responses look like those of killed targets.
#[actix_rt::test]
async fn a_stream_of_a_running_target_behind_a_proxy_is_complete() {
    for ms in [0, 10, 100] {
        let used = Duration::from_millis(ms);
        let delays = Delays { used, idle: Duration::ZERO, unreachable: Duration::ZERO };
        for path in ["/flow/", "/resume/"] {
            let response = call(path, Step::Close, delays).await;
            assert!(response.ends_with(LAST_CHUNK), "{path}, {ms} ms: {response}");
        }
    }
}
