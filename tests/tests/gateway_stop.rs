//! Tests what callers of a gateway get around the end of its planned stop.

use std::time::Duration;

use cumintrail_tests::gateway_cluster::{
    Caller, Cluster, LIMIT, STREAM, WHOLE, events, send, status,
};
use cumintrail_tests::standins::replica::{Replica, Step, header};
use tokio::io::AsyncWriteExt as _;

/// The time after which the stopping gateway ends calls that are still open.
const STOP_LIMIT: Duration = Duration::from_secs(2);
/// Longer than a stop takes, and shorter than the timeout of the routes.
const SLOW: Duration = Duration::from_millis(2_500);
/// Time between two steps of a test that happen in this order.
const STEP: Duration = Duration::from_millis(50);
/// More calls than one target gets at a time.
const CALLS: usize = 14;

async fn slow_target() -> Replica {
    Replica::bind(|_| vec![Step::Pause(SLOW), send(WHOLE)]).await.unwrap()
}

/// Opens connections that are accepted before the stop, on which calls arrive during it.
async fn keep_connections<const N: usize>(cluster: &Cluster) -> [Caller; N] {
    let mut callers = Vec::new();
    for _ in 0..N {
        let mut caller = cluster.connect().await;
        caller.send("/none/", "c-0", "", "").await;
        caller.until("}").await;
        callers.push(caller);
    }
    callers.try_into().ok().unwrap()
}

fn assert_not_run(response: &str) {
    assert_eq!(status(response), "503", "{response}");
    assert!(response.contains(r#""code":"stopping","ran":"no""#), "{response}");
    assert_eq!(header(response, "connection"), Some("close"), "{response}");
    let after = header(response, "retry-after").and_then(|text| text.parse::<f64>().ok());
    assert!(after.is_some_and(|seconds| seconds <= 0.1), "{response}");
}

fn assert_may_have_run(response: &str) {
    assert_eq!(status(response), "502", "{response}");
    assert!(response.contains(r#""code":"stopping","ran":"unknown""#), "{response}");
}

async fn stop(cluster: Cluster) -> impl Future<Output = ()> {
    let stopped = actix_rt::spawn(cluster.gateway.stop());
    actix_rt::time::sleep(STEP).await;
    async { actix_rt::time::timeout(LIMIT, stopped).await.expect("the stop ends").unwrap() }
}

#[actix_rt::test]
async fn no_payment_that_the_end_of_a_stop_could_cut_is_passed_on() {
    let target = slow_target().await;
    let cluster = Cluster::spawn_stopping_within(STOP_LIMIT, &[&target]).await;
    let [mut payment, mut stream] = keep_connections(&cluster).await;
    let stopped = stop(cluster).await;
    payment.send("/hold/", "c-1", "", "").await;
    stream.send("/flow/", "c-2", "", "").await;
    assert_not_run(&payment.rest().await);
    assert_not_run(&stream.rest().await);
    stopped.await;
    assert_eq!(target.calls().len(), 0);
}

#[actix_rt::test]
async fn a_payment_whose_deadline_lies_before_the_end_of_a_stop_is_served() {
    let target = Replica::bind(|_| vec![send(WHOLE)]).await.unwrap();
    let cluster = Cluster::spawn_stopping_within(STOP_LIMIT, &[&target]).await;
    let [mut payment] = keep_connections(&cluster).await;
    let stopped = stop(cluster).await;
    payment.send("/hold/", "c-1", "x-cumintrail-deadline-ms: 500\r\n", "").await;
    let response = payment.rest().await;
    assert_eq!((status(&response), header(&response, "connection")), ("200", Some("close")));
    stopped.await;
}

#[actix_rt::test]
async fn a_payment_that_waits_is_not_sent_after_a_stop_has_begun() {
    let target = Replica::bind(|_| vec![Step::Pause(STEP * 8), send(WHOLE)]).await.unwrap();
    let cluster = Cluster::spawn_stopping_within(STOP_LIMIT, &[&target]).await;
    let (mut callers, mut refused) = (Vec::new(), 0);
    for number in 0..CALLS {
        let mut caller = cluster.connect().await;
        caller.send("/hold/", &format!("c-{number}"), "", "").await;
        callers.push(caller);
    }
    actix_rt::time::sleep(STEP).await;
    let before = target.calls().len();
    let stopped = stop(cluster).await;
    for mut caller in callers {
        let response = caller.rest().await;
        if status(&response) == "503" {
            assert_not_run(&response);
            refused += 1;
        }
    }
    stopped.await;
    assert_eq!((target.calls().len(), refused), (before, CALLS - before));
    assert!(refused > 0, "all calls were sent at once");
}

#[actix_rt::test]
async fn calls_that_the_end_of_a_stop_interrupts_are_answered() {
    let target = slow_target().await;
    let cluster = Cluster::spawn_stopping_within(STOP_LIMIT, &[&target]).await;
    let [mut payment, mut read, mut incomplete] = keep_connections(&cluster).await;
    payment.send("/hold/", "c-1", "", "").await;
    read.send("/read/", "c-2", "", "").await;
    let head = "POST /read/ HTTP/1.1\r\nhost: shop.example\r\nauthorization: Bearer \
                caller-key-of-cheese\r\nx-cumintrail-call: c-3\r\ncontent-length: 9\r\n\r\nhalf";
    incomplete.0.write_all(head.as_bytes()).await.unwrap();
    actix_rt::time::sleep(STEP).await;
    assert_eq!(target.calls().len(), 2);
    let stopped = stop(cluster).await;
    assert_may_have_run(&payment.rest().await);
    assert_may_have_run(&read.rest().await);
    assert_not_run(&incomplete.rest().await);
    stopped.await;
}

#[actix_rt::test]
async fn a_stream_that_the_end_of_a_stop_interrupts_does_not_look_complete() {
    let steps = || vec![send(STREAM), events(1..=1), Step::Pause(SLOW), send("0\r\n\r\n")];
    let target = Replica::bind(move |_| steps()).await.unwrap();
    let cluster = Cluster::spawn_stopping_within(STOP_LIMIT, &[&target]).await;
    let mut caller = cluster.connect().await;
    caller.send("/flow/", "c-1", "", "").await;
    let begun = caller.until("id: 1").await;
    let stopped = stop(cluster).await;
    let rest = caller.rest().await;
    assert_eq!(status(&begun), "200");
    assert!(!rest.contains("0\r\n\r\n") && !rest.contains("HTTP/1.1"), "{rest}");
    stopped.await;
}

#[actix_rt::test]
async fn repeatable_calls_are_served_while_a_stop_begins() {
    let target = Replica::bind(|_| vec![send(WHOLE)]).await.unwrap();
    let cluster = Cluster::spawn_stopping_within(STOP_LIMIT, &[&target]).await;
    let [mut read] = keep_connections(&cluster).await;
    let stopped = stop(cluster).await;
    read.send("/read/", "c-1", "", "").await;
    assert_eq!(status(&read.rest().await), "200");
    stopped.await;
}
