//! Streams go on only at the software version of the target that began them.

use std::time::{Duration, Instant};

use cumintrail_daemon::Gateway;
use cumintrail_tests::gateway_cluster::{Cluster, KEY, STREAM, declarations, events, send, status};
use cumintrail_tests::standins::feed::FeedPlatform;
use cumintrail_tests::standins::replica::{Replica, Step, header};
use cumintrail_wire::platform::SOFTWARE_HISTORY_KEY;
use tokio::io::AsyncWriteExt as _;

const CALLS: usize = 12;

/// Starts a gateway in front of targets with these software versions.
async fn spawn(targets: &[(&Replica, &str)]) -> Cluster {
    let platform = FeedPlatform::new();
    platform.publish_declarations(1, &declarations(KEY));
    for (i, (target, software)) in targets.iter().enumerate() {
        platform.list_software(&format!("t{i}"), "desk", target.address(), software);
    }
    let cluster = Cluster::spawn_on(platform);
    cluster.until(Gateway::is_ready).await;
    cluster
}

/// Starts a gateway on a platform that others have used.
async fn spawn_again(platform: &FeedPlatform) -> Cluster {
    let cluster = Cluster::spawn_on(platform.clone());
    cluster.until(Gateway::is_ready).await;
    cluster
}

/// Binds a target that sends two events, then `end`, and the rest of each stream that it resumes.
async fn target(end: Step) -> Replica {
    let resumed = |head: &str| header(head, "last-event-id").is_some();
    let script = move |head: &str| {
        if resumed(head) {
            vec![send(STREAM), events(3..=4), send("0\r\n\r\n")]
        } else {
            vec![send(STREAM), events(1..=2), end.clone()]
        }
    };
    Replica::bind_by_head(script).await.unwrap()
}

/// Returns the ids of the calls that a target got, and whether each resumed a stream.
fn calls(target: &Replica) -> Vec<(String, bool)> {
    let id = |head: &String| header(head, "x-cumintrail-call").unwrap_or_default().to_owned();
    let resumed = |head: &String| header(head, "last-event-id").is_some();
    target.calls().iter().map(|head| (id(head), resumed(head))).collect()
}

#[actix_rt::test]
async fn a_broken_stream_is_resumed_at_its_software_version_only() {
    let (old, new) = (target(Step::Reset).await, target(Step::Reset).await);
    let cluster = spawn(&[(&old, "v1"), (&new, "v2")]).await;
    for i in 0..CALLS {
        let mut caller = cluster.connect().await;
        caller.send("/resume/", &format!("c-{i}"), "connection: close\r\n", "").await;
        caller.rest().await;
    }
    let mut resumed = 0;
    for target in [&old, &new] {
        let calls = calls(target);
        resumed += calls.iter().filter(|(_, resumed)| *resumed).count();
        let began = |id: &str| calls.iter().any(|(other, resumed)| other == id && !resumed);
        let strays: Vec<_> = calls.iter().filter(|(id, resumed)| *resumed && !began(id)).collect();
        assert!(strays.is_empty(), "began at another version: {strays:?}");
    }
    assert!(resumed > 0, "no stream was resumed");
}

/// Guards against a stream that is bound to no software version because its caller's call has no id.
#[actix_rt::test]
async fn a_broken_stream_without_an_id_is_resumed_at_its_software_version_only() {
    let (old, new) = (target(Step::Reset).await, target(Step::Reset).await);
    let cluster = spawn(&[(&old, "v1"), (&new, "v2")]).await;
    for i in 0..CALLS {
        let mut caller = cluster.connect().await;
        let text = format!(
            "POST /resume/{i}/ HTTP/1.1\r\nhost: shop.example\r\nauthorization: Bearer {KEY}\r\n\
             connection: close\r\ncontent-length: 0\r\n\r\n"
        );
        caller.0.write_all(text.as_bytes()).await.unwrap();
        let response = caller.rest().await;
        assert!(response.contains("id: 2"), "{response}");
    }
    let mut resumed = 0;
    for target in [&old, &new] {
        let calls = target.calls();
        let path = |head: &String| head.split(' ').nth(1).unwrap_or_default().to_owned();
        let is_resumed = |head: &&String| header(head, "last-event-id").is_some();
        let began: Vec<String> = calls.iter().filter(|head| !is_resumed(head)).map(path).collect();
        let again: Vec<String> = calls.iter().filter(is_resumed).map(path).collect();
        resumed += again.len();
        assert!(
            again.iter().all(|path| began.contains(path)),
            "began {began:?}, resumed {again:?}"
        );
    }
    assert!(resumed > 0, "no stream was resumed");
}

#[actix_rt::test]
async fn a_caller_that_resumes_a_stream_gets_the_rest_from_its_software_version() {
    let pause = Step::Pause(Duration::from_secs(5));
    let (old, new) = (target(pause.clone()).await, target(pause).await);
    let cluster = spawn(&[(&old, "v1"), (&new, "v2")]).await;
    for i in 0..CALLS {
        let (first, again) = (format!("c-{i}"), format!("r-{i}"));
        let mut caller = cluster.connect().await;
        caller.send("/resume/", &first, "", "").await;
        caller.until("data: 2\n\n").await;
        drop(caller);
        let mut caller = cluster.connect().await;
        let headers =
            format!("connection: close\r\nlast-event-id: 2\r\nx-cumintrail-resumes: {first}\r\n");
        caller.send("/resume/", &again, &headers, "").await;
        let rest = caller.rest().await;
        assert!(rest.contains("id: 4") && rest.ends_with("0\r\n\r\n"), "{rest}");
        let has = |target: &Replica, id: &str| calls(target).iter().any(|(other, _)| other == id);
        assert_eq!(has(&old, &first), has(&old, &again), "call {i} changed its version");
    }
}

#[actix_rt::test]
async fn a_stream_of_unknown_software_version_is_refused_at_once() {
    let (old, new) = (target(Step::Reset).await, target(Step::Reset).await);
    let cluster = spawn(&[(&old, "v1"), (&new, "v2")]).await;
    let mut caller = cluster.connect().await;
    let headers = "connection: close\r\nlast-event-id: 2\r\nx-cumintrail-resumes: never-seen\r\n";
    caller.send("/resume/", "c-1", headers, "").await;
    let response = caller.rest().await.to_lowercase();
    assert_eq!(status(&response), "503", "{response}");
    assert!(response.contains("\"ran\":\"no\"") && response.contains("retry-after"), "{response}");
    assert!(old.calls().is_empty() && new.calls().is_empty());
}

#[actix_rt::test]
async fn a_stream_is_resumed_without_its_origin_while_there_is_one_software_version() {
    let only = target(Step::Reset).await;
    let cluster = spawn(&[(&only, "v1")]).await;
    let mut caller = cluster.connect().await;
    let headers = "connection: close\r\nlast-event-id: 2\r\nx-cumintrail-resumes: never-seen\r\n";
    caller.send("/resume/", "c-1", headers, "").await;
    let response = caller.rest().await;
    assert!(response.contains("id: 4") && response.ends_with("0\r\n\r\n"), "{response}");
}

#[actix_rt::test]
async fn a_gateway_that_starts_after_a_version_ended_refuses_streams_that_it_may_have_begun() {
    let (old, new) = (target(Step::Reset).await, target(Step::Reset).await);
    let before = spawn(&[(&old, "v1"), (&new, "v2")]).await;
    let platform = before.platform.clone();
    let written = async {
        while platform.row(SOFTWARE_HISTORY_KEY).is_none() {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
    };
    actix_rt::time::timeout(Duration::from_secs(5), written).await.expect("versions are recorded");
    drop(before);
    platform.remove_target("t0");

    let cluster = spawn_again(&platform).await;
    let mut caller = cluster.connect().await;
    let headers = "connection: close\r\nlast-event-id: 2\r\nx-cumintrail-resumes: of-v1\r\n";
    caller.send("/resume/", "c-1", headers, "").await;
    let response = caller.rest().await;
    assert_eq!(status(&response), "503", "{response}");
    assert!(response.contains("unknown-stream"), "{response}");
    assert!(new.calls().is_empty());
}

#[actix_rt::test]
async fn a_gateway_that_cannot_read_the_recent_versions_serves_all_but_resumed_streams() {
    let only = target(Step::Pause(Duration::from_millis(10))).await;
    let platform = FeedPlatform::new();
    platform.publish_declarations(1, &declarations(KEY));
    platform.list_software("t0", "desk", only.address(), "v1");
    platform.set_rows_unreadable(true);
    let cluster = spawn_again(&platform).await;
    let resume = "connection: close\r\nlast-event-id: 2\r\nx-cumintrail-resumes: c-0\r\n";
    let mut caller = cluster.connect().await;
    caller.send("/resume/", "c-1", resume, "").await;
    assert_eq!(status(&caller.rest().await), "503");
    let mut caller = cluster.connect().await;
    caller.send("/resume/", "c-2", "connection: close\r\n", "").await;
    assert_eq!(status(&caller.until("data: 2\n\n").await), "200");

    platform.set_rows_unreadable(false);
    let deadline = Instant::now() + Duration::from_secs(5);
    loop {
        let mut caller = cluster.connect().await;
        caller.send("/resume/", "c-1", resume, "").await;
        if status(&caller.rest().await) == "200" {
            break;
        }
        assert!(Instant::now() < deadline, "the row is not read again");
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
}
