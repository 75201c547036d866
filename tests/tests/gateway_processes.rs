//! Streams and the processes that send them, where the registry's entry of a target is still that of
//! an earlier process with other software.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::sleep;
use cumintrail_daemon::Gateway;
use cumintrail_tests::gateway_cluster::{Caller, Cluster, KEY, STREAM, declarations, events, send};
use cumintrail_tests::standins::feed::FeedPlatform;
use cumintrail_tests::standins::replica::{Replica, Step, header};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

/// Returns a target that sends two events and is cut off 300 ms later, and the rest of streams that
/// go on.
async fn breaking_target(end: Step) -> Replica {
    let target = Replica::bind_by_head(move |head| {
        if header(head, "last-event-id").is_some() {
            return vec![send(STREAM), events(3..=4), send("0\r\n\r\n")];
        }
        let pause = Step::Pause(Duration::from_millis(300));
        vec![send(STREAM), events(1..=2), pause, end.clone()]
    });
    target.await.unwrap()
}

/// Starts a stream at a target that is listed alone, and then lists another one with the same software.
async fn begin(began: &Replica, other: &Replica) -> (Cluster, Caller) {
    let platform = FeedPlatform::new();
    platform.publish_declarations(1, &declarations(KEY));
    platform.list_software("t0", "desk", began.address(), "v1");
    let cluster = Cluster::spawn_on(platform);
    cluster.until(Gateway::is_ready).await;
    let mut caller = cluster.connect().await;
    caller.send("/resume/", "c-1", "connection: close\r\n", "").await;
    caller.until("id: 2\n").await;
    cluster.platform.list_software("t1", "desk", other.address(), "v1");
    (cluster, caller)
}

/// Guards against a stream that goes on at a process whose entry is still that of an earlier one.
#[actix_rt::test]
async fn a_stream_goes_on_only_at_the_process_that_the_registry_lists() {
    let (began, other) = (breaking_target(Step::Reset).await, breaking_target(Step::Reset).await);
    other.restart();
    let (_cluster, mut caller) = begin(&began, &other).await;
    caller.rest().await;
    assert!(other.calls().is_empty(), "{:?}", other.calls());
}

/// Guards against a stream that counts as one of the software that the entry of its target still
/// lists, although a later process sent its events.
#[actix_rt::test]
async fn a_stream_of_a_process_that_is_not_listed_yet_does_not_go_on_at_the_listed_software() {
    let (began, other) = (breaking_target(Step::Crash).await, breaking_target(Step::Reset).await);
    began.restart();
    let (cluster, mut caller) = begin(&began, &other).await;
    sleep(Duration::from_millis(350)).await;
    cluster.platform.list_process("t0", 2, "desk", began.address(), "v2");
    caller.rest().await;
    assert!(other.calls().is_empty(), "{:?}", other.calls());
}

/// Guards against a stream that is cut although its process is the listed one and still runs.
#[actix_rt::test]
async fn a_stream_whose_connection_breaks_goes_on_at_a_target_with_the_software_of_its_process() {
    let (began, other) = (breaking_target(Step::Reset).await, breaking_target(Step::Reset).await);
    let (_cluster, mut caller) = begin(&began, &other).await;
    let rest = caller.rest().await;
    assert!(rest.contains("id: 4\n"), "{rest}");
    assert_eq!(other.calls().len(), 1);
}

/// The methods of the requests on a connection.
type Methods = Rc<RefCell<Vec<String>>>;

/// The response to an identity request, after which the connection can be used.
const IDENTITY: &str = "HTTP/1.1 204 No Content\r\nx-cumintrail-process-start: 1\r\n\r\n";

/// The same of a target that closes the connection.
const CLOSING_IDENTITY: &str =
    "HTTP/1.1 204 No Content\r\nx-cumintrail-process-start: 1\r\nconnection: close\r\n\r\n";

/// A response that ends with its connection.
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nx-cumintrail-call: {id}\r\n\r\nid: 1\ndata: 1\n\n";

/// A target that streams one event in response to each call, and answers identity requests. Responses
/// to calls whose path contains `/hold/` or ends in `unframed` end with their connections.
struct Target {
    cluster: Cluster,
    /// The connections that it accepted.
    connections: Rc<RefCell<Vec<Methods>>>,
}

impl Target {
    /// Starts a target that answers identity requests with `identity`, and a gateway in front of it.
    /// An empty one stands for no answer.
    async fn spawn(identity: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let platform = FeedPlatform::new();
        platform.publish_declarations(1, &declarations(KEY));
        platform.list_software("t0", "desk", listener.local_addr().unwrap(), "v1");
        let connections: Rc<RefCell<Vec<Methods>>> = Rc::default();
        let accepted = connections.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let methods = Methods::default();
                accepted.borrow_mut().push(methods.clone());
                actix_rt::spawn(serve(stream, methods, identity));
            }
        });
        let cluster = Cluster::spawn_on(platform);
        cluster.until(Gateway::is_ready).await;
        Self { cluster, connections }
    }
}

async fn serve(mut stream: TcpStream, methods: Methods, identity: &str) {
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            match stream.read_u8().await {
                Ok(byte) => head.push(byte),
                Err(_) => return,
            }
        }
        let head = String::from_utf8(head).unwrap();
        methods.borrow_mut().extend(head.split(' ').next().map(str::to_owned));
        let is_identity = head.starts_with("OPTIONS ");
        let is_unframed = head.contains(" /hold/") || head.contains("/unframed ");
        let id = header(&head, "x-cumintrail-call").unwrap_or_default();
        let response = if is_identity {
            identity.to_owned()
        } else if is_unframed {
            UNFRAMED.replace("{id}", id)
        } else {
            format!("{STREAM}f\r\nid: 1\ndata: 1\n\n\r\n0\r\n\r\n").replace("{id}", id)
        };
        stream.write_all(response.as_bytes()).await.unwrap();
        if is_unframed || is_identity && identity.contains("connection: close") {
            return;
        }
    }
}

/// Guards against a late response to an earlier call that passes for that of an identity request.
#[actix_rt::test]
async fn a_process_is_identified_on_a_connection_without_an_earlier_exchange() {
    let target = Target::spawn(IDENTITY).await;
    for path in ["/read/", "/read/", "/resume/", "/resume/"] {
        target.cluster.call(path).await;
    }
    let connections = target.connections.borrow();
    let methods: Vec<_> = connections.iter().map(|methods| methods.borrow().join(" ")).collect();
    assert!(methods.iter().any(|m| m.starts_with("OPTIONS POST POST")), "{methods:?}");
    assert!(methods.iter().all(|m| !m.contains("POST OPTIONS")), "{methods:?}");
}

/// Guards against a target that gets no streams because its process cannot be identified.
#[actix_rt::test]
async fn a_stream_begins_at_a_target_whose_process_cannot_be_identified() {
    for identity in
        [CLOSING_IDENTITY, "HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 404 Not Found\r\n\r\n"]
    {
        let target = Target::spawn(identity).await;
        let response = target.cluster.call("/resume/").await;
        assert!(response.ends_with("id: 1\ndata: 1\n\n\r\n0\r\n\r\n"), "{identity}: {response}");
    }
}

/// Guards against calls that are lost, or sent behind an identity request without an answer, at a
/// target whose process cannot be identified.
#[actix_rt::test]
async fn a_call_is_sent_once_to_a_target_whose_process_cannot_be_identified() {
    for identity in ["", "HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 404 Not Found\r\n\r\n"] {
        let target = Target::spawn(identity).await;
        for _ in 0..3 {
            let mut caller = target.cluster.connect().await;
            let headers = "connection: close\r\nx-cumintrail-deadline-ms: 800\r\n";
            caller.send("/hold/", "c-1", headers, "").await;
            caller.rest().await;
        }
        let connections = target.connections.borrow();
        let methods: Vec<_> = connections.iter().map(|m| m.borrow().join(" ")).collect();
        let calls = methods.iter().filter(|m| m.contains("POST")).count();
        assert_eq!(calls, 3, "{identity}: {methods:?}");
        assert!(methods.iter().all(|m| !m.contains("OPTIONS POST")), "{identity}: {methods:?}");
    }
}

/// Guards against complete streams that are cut because their target closes the connection on which
/// it states its process.
#[actix_rt::test]
async fn a_complete_stream_of_a_target_that_closes_identified_connections_is_not_cut() {
    let target = Target::spawn(CLOSING_IDENTITY).await;
    for call in 0..2 {
        let response = target.cluster.call("/resume/unframed").await;
        assert!(response.ends_with("0\r\n\r\n"), "call {call}: {response}");
    }
}

/// Guards against identity requests that nothing needs.
#[actix_rt::test]
async fn a_target_whose_responses_do_not_end_by_close_is_not_asked_for_its_process() {
    let target = Target::spawn(IDENTITY).await;
    for path in ["/read/", "/flow/", "/read/"] {
        target.cluster.call(path).await;
    }
    let connections = target.connections.borrow();
    let methods: Vec<_> = connections.iter().map(|m| m.borrow().join(" ")).collect();
    assert!(methods.iter().all(|m| !m.contains("OPTIONS")), "{methods:?}");
}
