//! Targets that send bytes without end, or stop inside a response, must not keep a call beyond its
//! deadline.

use std::time::Duration;

use cumintrail_tests::gateway_cluster::{Cluster, WHOLE, send, status};
use cumintrail_tests::standins::replica::{Replica, Step};
use tokio::io::AsyncReadExt as _;

const OWN: &str = "x-cumintrail-call: {id}\r\n";
const REFUSED: &str = "x-cumintrail-call: {id}\r\nx-cumintrail-not-run: 1\r\n";
const FOREIGN: &str = "x-cumintrail-call: another\r\n";
/// Parts of a chunked body that are no content, and what follows them without end.
const FRAMING: [(&str, &str); 4] =
    [("1;", "x"), ("0", "0"), ("0\r\nx", "x"), ("0\r\n", "x-name: value\r\n")];
/// Twice the timeout of the routes.
const LIMIT: Duration = Duration::from_secs(6);

async fn respond_always(script: Vec<Step>) -> (Replica, Cluster) {
    let target = Replica::bind(move |_| script.clone()).await.unwrap();
    let cluster = Cluster::spawn(&[&target]).await;
    (target, cluster)
}

async fn is_no_success(path: &str, script: Vec<Step>) {
    let (_target, cluster) = respond_always(script.clone()).await;
    let response = actix_rt::time::timeout(LIMIT, cluster.call(path)).await;
    let response = response.unwrap_or_else(|_| panic!("{path}, {script:?}: no response"));
    assert!(status(&response).starts_with('5'), "{path}, {script:?}: {response}");
}

fn head(status: &str, fields: &str, framing: &str) -> Step {
    send(&format!("HTTP/1.1 {status}\r\n{fields}{framing}\r\n\r\n"))
}

/// Guards against a refusal whose body never ends and that keeps its call for good.
#[actix_rt::test]
async fn a_refusal_without_the_end_of_its_body_is_a_refusal() {
    for path in ["/read/", "/hold/", "/flow/", "/resume/"] {
        let stop = Step::Pause(Duration::from_secs(60));
        let length = head("503 Full", REFUSED, "content-length: 5");
        is_no_success(path, vec![length, stop]).await;
        for (start, again) in FRAMING {
            let chunked = head("503 Full", REFUSED, "transfer-encoding: chunked");
            is_no_success(path, vec![chunked, send(start), Step::Repeat(again.into())]).await;
        }
    }
}

/// Guards against a response to another call that never ends and that keeps the call for good.
#[actix_rt::test]
async fn a_foreign_response_without_end_is_given_up() {
    for path in ["/read/", "/hold/"] {
        let stop = Step::Pause(Duration::from_secs(60));
        let length = head("200 OK", FOREIGN, "content-length: 5");
        is_no_success(path, vec![length, stop]).await;
        for (start, again) in FRAMING {
            let chunked = head("200 OK", FOREIGN, "transfer-encoding: chunked");
            is_no_success(path, vec![chunked, send(start), Step::Repeat(again.into())]).await;
        }
        let endless = head("200 OK", FOREIGN, "content-length: 99999999999");
        is_no_success(path, vec![endless, Step::Repeat("x".into())]).await;
    }
}

/// Guards against heads, framing and events without end that keep a call or the daemon busy.
#[actix_rt::test]
async fn bytes_without_end_that_are_no_response_are_no_success() {
    for path in ["/read/", "/flow/"] {
        for (start, again) in [
            ("HTTP/1.1 200 OK\r\nx-name: ", "value"),
            ("HTTP/1.1 200 OK\r\n", "x-name: value\r\n"),
            ("HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"),
            ("HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n"),
            ("bytes of no protocol ", "and more of them "),
        ] {
            is_no_success(path, vec![send(start), Step::Repeat(again.into())]).await;
        }
        for (start, again) in FRAMING {
            let chunked = head("200 OK", OWN, "transfer-encoding: chunked");
            is_no_success(path, vec![chunked, send(start), Step::Repeat(again.into())]).await;
        }
    }
    let stream = head("200 OK", OWN, "content-length: 99999999999");
    is_no_success("/flow/", vec![stream, send("id: 1\ndata: "), Step::Repeat("x".into())]).await;
}

/// Guards against a response that outlives the deadline of its call while the caller reads it.
#[actix_rt::test]
async fn a_body_without_end_ends_at_the_deadline() {
    for (path, again) in [("/read/", "x"), ("/flow/", ": comment\n\n")] {
        for framing in ["content-length: 999999999999", "x-framing: close"] {
            let script = vec![head("200 OK", OWN, framing), Step::Repeat(again.into())];
            let (_target, cluster) = respond_always(script).await;
            let mut caller = cluster.connect().await;
            caller.send(path, "c-1", "connection: close\r\n", "").await;
            let mut buf = vec![0; 1 << 20];
            let read = async { while matches!(caller.0.read(&mut buf).await, Ok(1..)) {} };
            let read = actix_rt::time::timeout(LIMIT, read).await;
            assert!(read.is_ok(), "{path}, {framing}: no end");
        }
    }
}

/// Guards against a target without end that keeps calls at another target from being answered.
#[actix_rt::test]
async fn calls_to_other_targets_are_answered_meanwhile() {
    let endless = vec![send("HTTP/1.1 200 OK\r\nx-name: "), Step::Repeat("value".into())];
    let faulty = Replica::bind(move |_| endless.clone()).await.unwrap();
    let sound = Replica::bind(|_| vec![send(WHOLE)]).await.unwrap();
    let cluster = Cluster::spawn(&[&faulty, &sound]).await;
    for _ in 0..20 {
        assert_eq!(status(&cluster.call("/read/").await), "200");
    }
}
