//! Tests what targets say about themselves in responses, and a platform that is restored from an
//! older copy, end to end.

use std::time::Duration;

use cumintrail_tests::gateway_cluster::{
    Cluster, KEY, STREAM, WHOLE, declarations, events, send, status,
};
use cumintrail_tests::standins::replica::Replica;

const LEAVING: &str = "x-cumintrail-leaving: 1\r\n";

fn with_header(response: &str, header: &str) -> String {
    response.replacen("\r\n", &format!("\r\n{header}"), 1)
}

/// A refusal by which a target asks for no requests for some seconds.
fn quiet(seconds: &str) -> String {
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nx-cumintrail-call: {{id}}\r\n\
         x-cumintrail-not-run: 1\r\nretry-after: {seconds}\r\ncontent-length: 0\r\n\r\n"
    )
}

#[actix_rt::test]
async fn a_target_that_says_it_leaves_gets_nothing_new_and_its_stream_ends_whole() {
    let head = with_header(STREAM, LEAVING);
    let pause = cumintrail_tests::standins::replica::Step::Pause(Duration::from_millis(300));
    let leaving = Replica::bind(move |_| {
        vec![send(&head), events(1..=1), pause.clone(), events(2..=2), send("0\r\n\r\n")]
    });
    let leaving = leaving.await.unwrap();
    let cluster = Cluster::spawn(&[&leaving]).await;
    let mut streaming = cluster.connect().await;
    streaming.send("/flow/", "c-1", "connection: close\r\n", "").await;
    streaming.until("id: 1").await;
    let stays = Replica::bind(|_| vec![send(WHOLE)]).await.unwrap();
    cluster.platform.list_target("t1", 1, 1, "desk", stays.address(), false);
    actix_rt::time::sleep(Duration::from_millis(400)).await;
    for _ in 0..20 {
        assert_eq!(status(&cluster.call("/read/").await), "200");
    }
    assert_eq!((leaving.calls().len(), stays.calls().len()), (1, 20));
    let rest = streaming.rest().await;
    assert!(rest.contains("id: 2") && rest.ends_with("0\r\n\r\n"), "{rest}");
    // A later write of its entry, or a new connection to the platform, does not bring it back.
    cluster.platform.list_target("t0", 1, 9, "desk", leaving.address(), false);
    cluster.platform.discard_history();
    actix_rt::time::sleep(Duration::from_millis(400)).await;
    for _ in 0..10 {
        assert_eq!(status(&cluster.call("/read/").await), "200");
    }
    assert_eq!(leaving.calls().len(), 1);
}

#[actix_rt::test]
async fn a_failure_that_says_its_target_leaves_counts_too() {
    let failed = format!(
        "HTTP/1.1 500 Failed\r\nx-cumintrail-call: {{id}}\r\n{LEAVING}content-length: 0\r\n\r\n"
    );
    let leaving = Replica::bind(move |_| vec![send(&failed)]).await.unwrap();
    let stays = Replica::bind(|_| vec![send(WHOLE)]).await.unwrap();
    let cluster = Cluster::spawn(&[&leaving, &stays]).await;
    for _ in 0..30 {
        cluster.call("/hold/").await;
    }
    assert!(leaving.calls().len() <= 1, "{} calls", leaving.calls().len());
}

#[actix_rt::test]
async fn a_target_that_asks_for_quiet_gets_nothing_until_its_end() {
    let refusal = quiet("0.9");
    let quiet = Replica::bind(move |n| vec![send(if n == 0 { &refusal } else { WHOLE })]);
    let (quiet, other) =
        (quiet.await.unwrap(), Replica::bind(|_| vec![send(WHOLE)]).await.unwrap());
    let cluster = Cluster::spawn(&[&quiet, &other]).await;
    while quiet.calls().is_empty() {
        assert_eq!(status(&cluster.call("/hold/").await), "200");
    }
    let asked = std::time::Instant::now();
    while asked.elapsed() < Duration::from_millis(700) {
        assert_eq!(status(&cluster.call("/hold/").await), "200");
    }
    assert_eq!(quiet.calls().len(), 1);
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    for _ in 0..30 {
        assert_eq!(status(&cluster.call("/hold/").await), "200");
    }
    assert!(quiet.calls().len() > 1, "the target is never used again");
}

#[actix_rt::test]
async fn calls_are_refused_at_once_while_all_targets_ask_for_quiet() {
    let refusal = quiet("30");
    let target = Replica::bind(move |_| vec![send(&refusal)]).await.unwrap();
    let cluster = Cluster::spawn(&[&target]).await;
    let started = std::time::Instant::now();
    for _ in 0..5 {
        let response = cluster.call("/hold/").await;
        assert_eq!(status(&response), "503", "{response}");
    }
    assert!(started.elapsed() < Duration::from_secs(1), "{:?}", started.elapsed());
    assert_eq!(target.calls().len(), 1);
}

/// The platform forgets a configuration, a leaving mark and a target, and gives versions out again.
#[actix_rt::test]
async fn a_restored_platform_takes_nothing_back_that_is_in_force() {
    let [leaving, stays, joined] = [(); 3].map(|()| Replica::bind(|_| vec![send(WHOLE)]));
    let (leaving, stays, joined) =
        (leaving.await.unwrap(), stays.await.unwrap(), joined.await.unwrap());
    let cluster = Cluster::spawn(&[&leaving, &stays]).await;
    let copy = cluster.platform.copy();
    cluster.platform.publish_declarations(4, &declarations("another key"));
    cluster.platform.list_target("t0", 1, 2, "desk", leaving.address(), true);
    cluster.until(|g| g.generation().0 == 4).await;
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    cluster.platform.restore(copy);
    // Under versions that were given out before.
    cluster.platform.list_target("t2", 1, 1, "desk", joined.address(), false);
    cluster.platform.list_target("t1", 1, 2, "desk", stays.address(), false);
    actix_rt::time::sleep(Duration::from_millis(800)).await;
    assert_eq!(cluster.gateway.generation().0, 4);
    assert_eq!(status(&cluster.call("/read/").await), "401", "a withdrawn key is in use again");
    cluster.platform.publish_declarations(5, &declarations(KEY));
    cluster.until(|g| g.generation().0 == 5).await;
    let before = leaving.calls().len();
    for _ in 0..20 {
        assert_eq!(status(&cluster.call("/read/").await), "200");
    }
    assert_eq!(leaving.calls().len(), before, "a target that leaves is in use again");
    cluster.platform.remove_target("t1");
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(status(&cluster.call("/read/").await), "200");
    assert!(!joined.calls().is_empty(), "a target that joined after the restore is not in use");
}
