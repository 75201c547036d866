//! Tests relayed calls end to end: callers, a gateway, scripted targets, and a platform with
//! a change feed.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cumintrail_daemon::Gateway;
use cumintrail_tests::gateway_cluster::{
    BODY_LIMIT, Cluster, KEY, LIMIT, STREAM, WHOLE, declarations, events, send, status,
};
use cumintrail_tests::standins::feed::FeedPlatform;
use cumintrail_tests::standins::replica::{Replica, Step, header};
use cumintrail_types::{Clock, since_boot};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

#[actix_rt::test]
async fn a_call_reaches_its_target_unchanged_but_for_what_the_system_names() {
    let target = Replica::bind(|_| vec![send(WHOLE)]).await.unwrap();
    let cluster = Cluster::spawn(&[&target]).await;
    let mut caller = cluster.connect().await;
    let headers = "x-own: kept\r\nx-cumintrail-account: forged\r\n";
    caller.send("/hold/a%20b?q=1", "c-7", headers, "two wheels").await;
    let response = caller.until("wheel").await;
    assert_eq!((status(&response), header(&response, "x-cumintrail-call")), ("200", Some("c-7")));
    let call = target.calls().remove(0);
    assert!(call.starts_with("POST /hold/a%20b?q=1 HTTP/1.1"), "{call}");
    assert!(call.ends_with("two wheels"), "{call}");
    assert_eq!(header(&call, "x-own"), Some("kept"));
    assert_eq!(header(&call, "x-cumintrail-account"), Some("coop"));
    assert_eq!(header(&call, "x-cumintrail-instance"), Some("t0"));
    assert_eq!(header(&call, "host"), Some("shop.example"));
    assert!(!call.contains(KEY), "the caller key was forwarded to the target");
    let left: u64 = header(&call, "x-cumintrail-deadline-ms").unwrap().parse().unwrap();
    assert!(left <= 3_000, "{left}");
}

#[actix_rt::test]
async fn nothing_is_relayed_without_route_key_or_configuration() {
    let target = Replica::bind(|_| vec![send(WHOLE)]).await.unwrap();
    let cluster = Cluster::spawn_on(FeedPlatform::new());
    assert_eq!(status(&cluster.call("/read/").await), "503");
    assert!(!cluster.gateway.is_ready());
    cluster.platform.publish_declarations(1, &declarations("another key"));
    cluster.platform.list_target("t0", 1, 1, "desk", target.address(), false);
    cluster.until(Gateway::is_ready).await;
    assert_eq!(status(&cluster.call("/read/").await), "401");
    assert_eq!(status(&cluster.call("/nowhere/").await), "404");
    assert!(target.calls().is_empty());
}

#[actix_rt::test]
async fn requests_that_could_hide_another_are_refused_and_closed() {
    let target = Replica::bind(|_| vec![send(WHOLE)]).await.unwrap();
    let cluster = Cluster::spawn(&[&target]).await;
    let head = "POST /read/ HTTP/1.1\r\nhost: shop.example\r\n";
    let padding = "x".repeat(2_100);
    for (rest, expected) in [
        ("content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n".to_owned(), "400"),
        ("content-length: 4\r\ncontent-length: 5\r\n\r\nabcd".to_owned(), "400"),
        ("host: other.example\r\n\r\n".to_owned(), "400"),
        (format!("x-long: {padding}\r\n\r\n"), "431"),
        ("content-length: 99999999\r\n\r\n".to_owned(), "401"),
    ] {
        let mut caller = cluster.connect().await;
        caller.0.write_all(format!("{head}{rest}").as_bytes()).await.unwrap();
        caller.0.shutdown().await.unwrap();
        assert_eq!(status(&caller.rest().await), expected, "{rest}");
    }
    assert!(target.calls().is_empty());
}

#[actix_rt::test]
async fn a_body_over_the_limit_is_refused_and_its_target_never_gets_a_whole_call() {
    let target = Replica::bind(|_| vec![send(WHOLE)]).await.unwrap();
    let cluster = Cluster::spawn(&[&target]).await;
    let head = format!(
        "POST /hold/ HTTP/1.1\r\nhost: shop.example\r\nauthorization: Bearer {KEY}\r\n\
         x-cumintrail-call: c-1\r\n"
    );
    let most = "x".repeat(BODY_LIMIT);
    for (rest, expected) in [
        (format!("content-length: {}\r\n\r\n", BODY_LIMIT + 1), "413"),
        (
            format!(
                "transfer-encoding: chunked\r\n\r\n{BODY_LIMIT:x}\r\n{most}\r\n1\r\nx\r\n0\r\n\r\n"
            ),
            "413",
        ),
        (format!("content-length: {BODY_LIMIT}\r\nconnection: close\r\n\r\n{most}"), "200"),
    ] {
        let mut caller = cluster.connect().await;
        caller.0.write_all(format!("{head}{rest}").as_bytes()).await.unwrap();
        let response = caller.rest().await;
        assert_eq!(status(&response), expected, "{}", &rest[..40]);
    }
    assert_eq!(target.calls().len(), 1, "only the call within the body limit arrives");
}

#[actix_rt::test]
async fn a_repeatable_call_goes_elsewhere_and_a_call_that_runs_once_does_not() {
    let broken = Replica::bind(|_| vec![Step::Reset]).await.unwrap();
    let sound = Replica::bind(|_| vec![send(WHOLE)]).await.unwrap();
    let cluster = Cluster::spawn(&[&broken, &sound]).await;
    let mut lost = 0;
    for _ in 0..12 {
        assert_eq!(status(&cluster.call("/read/").await), "200");
        let before = broken.calls().len() + sound.calls().len();
        let response = cluster.call("/hold/").await;
        assert_eq!(broken.calls().len() + sound.calls().len(), before + 1);
        lost += usize::from(status(&response) == "502");
    }
    assert!(lost > 0, "no call was sent to the broken target");
}

#[actix_rt::test]
async fn a_late_second_answer_is_never_that_of_the_next_call() {
    let late = WHOLE.replace("wheel", "whey!");
    let target = Replica::bind(move |n| match n {
        // The second response carries the id of the first call and arrives while the
        // connection is idle.
        0 => vec![send(WHOLE), Step::Pause(Duration::from_millis(30)), send(&late)],
        _ => vec![send(WHOLE)],
    });
    let target = target.await.unwrap();
    let cluster = Cluster::spawn(&[&target]).await;
    for _ in 0..3 {
        let response = cluster.call("/hold/").await;
        assert!(response.ends_with("wheel"), "{response}");
        actix_rt::time::sleep(Duration::from_millis(60)).await;
    }
}

#[actix_rt::test]
async fn a_broken_stream_is_resumed_if_it_may_be_and_else_does_not_look_complete() {
    let broken = || vec![send(STREAM), events(1..=2), send("9\r\nid: 3\ndat"), Step::Reset];
    let whole = || vec![send(STREAM), events(3..=4), send("0\r\n\r\n")];
    let target = Replica::bind(move |n| if n == 0 { broken() } else { whole() }).await.unwrap();
    let cluster = Cluster::spawn(&[&target]).await;
    let response = cluster.call("/resume/").await;
    let ids: Vec<&str> = response.lines().filter_map(|l| l.strip_prefix("id: ")).collect();
    assert_eq!(ids, ["1", "2", "3", "4"], "{response}");
    assert!(response.ends_with("0\r\n\r\n"), "{response}");
    assert_eq!(header(&target.calls()[1], "last-event-id"), Some("2"));

    let target = Replica::bind(move |_| broken()).await.unwrap();
    let cluster = Cluster::spawn(&[&target]).await;
    let response = cluster.call("/flow/").await;
    assert!(response.contains("id: 2") && !response.contains("id: 3"), "{response}");
    assert!(!response.ends_with("0\r\n\r\n"), "{response}");
    assert_eq!(target.calls().len(), 1);
}

#[actix_rt::test]
async fn a_stream_that_ends_inside_an_event_is_never_ended_as_complete() {
    let unframed = "HTTP/1.1 200 OK\r\nx-cumintrail-call: {id}\r\n\r\n";
    let counted = unframed.replace("\r\n\r\n", "\r\ncontent-length: 26\r\n\r\n");
    let part = "id: 1\ndata: 1\n\nid: 2\ndata:";
    let scripts = [
        vec![send(unframed), send(part), Step::Close],
        vec![send(&counted), send(part)],
        vec![send(STREAM), send(&format!("1a\r\n{part}\r\n0\r\n\r\n"))],
    ];
    for script in scripts {
        let broken = script.clone();
        let whole = || vec![send(unframed), send("id: 2\ndata: 2\n\n"), Step::Close];
        let target = Replica::bind(move |n| if n == 0 { broken.clone() } else { whole() });
        let target = target.await.unwrap();
        let cluster = Cluster::spawn(&[&target]).await;
        let response = cluster.call("/resume/").await;
        let events = response.lines().filter(|l| l.starts_with("id:") || l.starts_with("data:"));
        let events: Vec<&str> = events.collect();
        assert_eq!(events, ["id: 1", "data: 1", "id: 2", "data: 2"], "{script:?}: {response}");
        assert!(response.ends_with("0\r\n\r\n"), "{script:?}: {response}");
        assert_eq!(header(&target.calls()[1], "last-event-id"), Some("1"));

        let broken = script.clone();
        let target = Replica::bind(move |_| broken.clone()).await.unwrap();
        let cluster = Cluster::spawn(&[&target]).await;
        let response = cluster.call("/flow/").await;
        assert!(response.contains("data: 1\n\n"), "{script:?}: {response}");
        assert!(!response.contains("id: 2"), "{script:?}: {response}");
        assert!(!response.ends_with("0\r\n\r\n"), "{script:?}: {response}");
        assert_eq!(target.calls().len(), 1);
    }
}

/// Guards against a gap in a resumed stream: events in one read with malformed bytes were dropped.
#[actix_rt::test]
async fn events_before_malformed_bytes_reach_the_caller_before_the_stream_is_resumed() {
    let event = |id: u64| format!("id: {id}\ndata: {id}\n\n");
    let chunk = |text: String| send(&format!("{:x}\r\n{text}\r\n", text.len()));
    let malformed = [event(1).repeat(4), "x".repeat(100_000)];
    for malformed in &malformed {
        for begun in [0, 2] {
            let start: String = (1..=begun).map(event).collect();
            let rest: String = (begun + 1..=4).map(event).collect::<String>() + malformed;
            let mut broken = vec![send(STREAM)];
            if !start.is_empty() {
                broken.extend([chunk(start), Step::Pause(Duration::from_millis(30))]);
            }
            broken.extend([chunk(rest), Step::Pause(LIMIT)]);
            let whole = || vec![send(STREAM), events(5..=6), send("0\r\n\r\n")];
            let target = Replica::bind(move |n| if n == 0 { broken.clone() } else { whole() });
            let target = target.await.unwrap();
            let cluster = Cluster::spawn(&[&target]).await;
            let response = cluster.call("/resume/").await;
            let ids: Vec<&str> = response.lines().filter_map(|l| l.strip_prefix("id: ")).collect();
            assert_eq!(ids, ["1", "2", "3", "4", "5", "6"], "{response}");
            assert!(response.ends_with("0\r\n\r\n"), "{response}");
            assert_eq!(header(&target.calls()[1], "last-event-id"), Some("4"));
        }
    }
}

/// Guards against the close by the system of a killed target that passes for the end of a response.
#[actix_rt::test]
async fn a_response_without_length_of_a_killed_target_is_never_ended_as_complete() {
    let unframed = "HTTP/1.1 200 OK\r\nx-cumintrail-call: {id}\r\n\r\n";
    let event = |id: u64| format!("id: {id}\ndata: {id}\n\n");
    let stream = [event(1), event(2)].concat();
    let large = "w".repeat(300_000);
    let cases = [
        ("/resume/", &stream, true),
        ("/flow/", &stream, false),
        ("/hold/", &"whe".to_owned(), false),
        ("/read/", &"whe".to_owned(), true),
        ("/hold/", &large, false),
    ];
    for (path, start, continues) in cases {
        let (mut targets, killed) = (Vec::new(), Rc::new(Cell::new(false)));
        for _ in 0..2 {
            let (start, killed) = (send(start), killed.clone());
            let script = move |head: &str| match header(head, "last-event-id") {
                Some(_) => vec![send(STREAM), events(3..=4), send("0\r\n\r\n")],
                None if killed.replace(true) => vec![send(WHOLE)],
                None => {
                    let pause = Step::Pause(Duration::from_millis(20));
                    vec![send(unframed), start.clone(), pause, Step::Kill]
                }
            };
            targets.push(Replica::bind_by_head(script).await.unwrap());
        }
        let cluster = Cluster::spawn(&[&targets[0], &targets[1]]).await;
        let response = cluster.call(path).await;
        let end = &response[response.len().saturating_sub(200)..];
        let is_whole = match path {
            "/resume/" => end.contains("id: 4\n") && end.ends_with("0\r\n\r\n"),
            "/read/" => end.ends_with("wheel"),
            "/hold/" if start.len() < 100 => status(&response) != "502",
            _ => end.ends_with("0\r\n\r\n"),
        };
        assert_eq!(is_whole, continues, "{path}: {end}");
    }
}

#[actix_rt::test]
async fn a_truncated_response_to_an_http_1_0_caller_is_reset() {
    let broken = vec![send(STREAM), events(1..=2), Step::Reset];
    let large = "HTTP/1.1 200 OK\r\nx-cumintrail-call: {id}\r\ncontent-length: 600000\r\n\r\n";
    let large = large.to_owned() + &"w".repeat(300_000);
    for (path, script) in [("/flow/", broken), ("/hold/", vec![send(&large), Step::Reset])] {
        let target = Replica::bind(move |_| script.clone()).await.unwrap();
        let cluster = Cluster::spawn(&[&target]).await;
        let mut caller = cluster.connect().await.0;
        let head = format!(
            "POST {path} HTTP/1.0\r\nhost: shop.example\r\nauthorization: Bearer {KEY}\r\n\
             x-cumintrail-call: c-1\r\ncontent-length: 0\r\n\r\n"
        );
        caller.write_all(head.as_bytes()).await.unwrap();
        let mut response = Vec::new();
        let read = actix_rt::time::timeout(LIMIT, caller.read_to_end(&mut response)).await;
        let read = read.expect("the connection ends");
        assert!(response.starts_with(b"HTTP/1.0 200"), "{path}");
        assert!(read.is_err(), "{path}: ended as complete after {} bytes", response.len());
    }
}

#[actix_rt::test]
async fn the_response_of_a_later_attempt_never_begins_inside_an_earlier_one() {
    let failed = "HTTP/1.1 500 Failed\r\nx-cumintrail-call: {id}\r\ncontent-length: 5\r\n\r\nstale";
    let unnumbered = "data: 1\n\n";
    let unnumbered = format!("{:x}\r\n{unnumbered}\r\n", unnumbered.len());
    let large = "HTTP/1.1 200 OK\r\nx-cumintrail-call: {id}\r\ncontent-length: 600000\r\n\r\n";
    let large = large.to_owned() + &"w".repeat(300_000);
    let again = || vec![send(STREAM), events(1..=2), send("0\r\n\r\n")];
    let cases = [
        ("/resume/", vec![send(STREAM), events(1..=2), Step::Reset], vec![send(failed)]),
        ("/resume/", vec![send(STREAM), send(&unnumbered), Step::Reset], again()),
        ("/read/", vec![send(&large), Step::Reset], vec![send(WHOLE)]),
    ];
    for (path, first, second) in cases {
        let target = Replica::bind(move |n| if n == 0 { first.clone() } else { second.clone() });
        let target = target.await.unwrap();
        let cluster = Cluster::spawn(&[&target]).await;
        let response = cluster.call(path).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{path}: {response}");
        let end = &response[response.len().saturating_sub(200)..];
        assert_eq!(response.matches("HTTP/1.1").count(), 1, "{path}: {end}");
        assert!(response.matches("data: 1\n").count() <= 1, "{path}: {end}");
        assert!(!response.ends_with("0\r\n\r\n"), "{path}: {end}");
    }
}

#[actix_rt::test]
async fn targets_that_leave_or_vanish_get_nothing_new() {
    let leaving = Replica::bind(|_| vec![send(WHOLE)]).await.unwrap();
    let removed = Replica::bind(|_| vec![send(WHOLE)]).await.unwrap();
    let stays = Replica::bind(|_| vec![send(WHOLE)]).await.unwrap();
    let cluster = Cluster::spawn(&[&leaving, &removed, &stays]).await;
    cluster.platform.discard_history();
    cluster.platform.list_target("t0", 1, 2, "desk", leaving.address(), true);
    cluster.platform.remove_target("t1");
    actix_rt::time::sleep(Duration::from_millis(600)).await;
    let before = (leaving.calls().len(), removed.calls().len());
    for _ in 0..20 {
        assert_eq!(status(&cluster.call("/read/").await), "200");
    }
    assert_eq!((leaving.calls().len(), removed.calls().len()), before);
    assert!(stays.calls().len() >= 20);
}

/// Guards against marks of an incarnation that is gone: they blocked its address, and with it the
/// next incarnation there.
#[actix_rt::test]
async fn a_new_run_at_the_address_of_one_that_is_gone_gets_calls() {
    let misdirected = "HTTP/1.1 421 Misdirected Request\r\nx-cumintrail-call: {id}\r\n\
        x-cumintrail-instance: t9\r\ncontent-length: 0\r\n\r\n";
    let target = Replica::bind(move |n| vec![send(if n == 0 { misdirected } else { WHOLE })]);
    let target = target.await.unwrap();
    let cluster = Cluster::spawn(&[&target]).await;
    assert_eq!(status(&cluster.call("/hold/").await), "503");
    assert_eq!(
        status(&cluster.call("/hold/").await),
        "503",
        "a call was sent to an incarnation that is gone"
    );
    cluster.platform.remove_target("t0");
    cluster.platform.list_target("t9", 2, 1, "desk", target.address(), false);
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(status(&cluster.call("/hold/").await), "200");
    assert_eq!(target.calls().len(), 2);
}

#[actix_rt::test]
async fn a_revoked_key_stays_revoked_whatever_older_rows_are_read() {
    let target = Replica::bind(|_| vec![send(WHOLE)]).await.unwrap();
    let cluster = Cluster::spawn(&[&target]).await;
    cluster.platform.publish_declarations(5, &declarations("another key"));
    cluster.until(|g| g.generation().0 == 5).await;
    assert_eq!(status(&cluster.call("/read/").await), "401");
    cluster.platform.publish_declarations(4, &declarations(KEY));
    cluster.platform.publish_declarations(9, "no declarations at all");
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(status(&cluster.call("/read/").await), "401");
    assert_eq!(cluster.gateway.generation().0, 5);
}

#[actix_rt::test]
async fn calls_go_on_while_the_platform_is_away() {
    let target = Replica::bind(|_| vec![send(WHOLE)]).await.unwrap();
    let cluster = Cluster::spawn(&[&target]).await;
    cluster.platform.set_down(true);
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(status(&cluster.call("/read/").await), "200");
    cluster.platform.publish_declarations(2, &declarations("another key"));
    cluster.platform.set_down(false);
    cluster.until(|g| g.generation().0 == 2).await;
}

#[actix_rt::test]
async fn a_caller_that_leaves_ends_the_work_of_its_target() {
    let slow = || vec![Step::Pause(LIMIT), send(WHOLE)];
    let target = Replica::bind(move |_| slow()).await.unwrap();
    let cluster = Cluster::spawn(&[&target]).await;
    let mut caller = cluster.connect().await;
    caller.send("/read/", "c-1", "", "").await;
    let wait = async {
        while target.calls().is_empty() {
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
        drop(caller);
        while target.ended() == 0 {
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let within = Duration::from_millis(500);
    actix_rt::time::timeout(within, wait).await.expect("the connection to the target ends");
}

/// The time for which the VM of the next test was suspended, in milliseconds.
static SUSPENDED: AtomicU64 = AtomicU64::new(0);

fn with_suspension() -> Duration {
    since_boot() + Duration::from_millis(SUSPENDED.load(Ordering::Relaxed))
}

#[actix_rt::test]
async fn a_suspended_holder_orders_nothing_under_the_lease_that_it_had() {
    let engine = Replica::bind(|_| vec![send(WHOLE)]).await.unwrap();
    let platform = FeedPlatform::new();
    platform.publish_declarations(1, &format!("{}[model curd]\n", declarations(KEY)));
    platform.list_engine("e0", "curd", 1, engine.address());
    platform.announce_version("curd", 2);
    let cluster = Cluster::spawn_by(Clock::with_source(with_suspension), platform);
    let lease_acquired = async {
        while cluster.platform.lease().is_none() {
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
    };
    actix_rt::time::timeout(LIMIT, lease_acquired).await.expect("the lease is acquired");
    // The engine drains for 0.6 s before the load order; the VM is suspended during the drain.
    cluster.platform.set_silent(true);
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    SUSPENDED.store(5_000, Ordering::Relaxed);
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    assert!(cluster.platform.loads().is_empty(), "an order was sent under an expired lease");
    cluster.platform.set_silent(false);
    let ordered = async {
        while cluster.platform.loads().is_empty() {
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
    };
    actix_rt::time::timeout(LIMIT, ordered).await.expect("the order is sent under a new lease");
    assert_eq!(cluster.platform.loads(), [engine.address()]);
}

#[actix_rt::test]
async fn a_stop_cuts_no_answer_and_sends_callers_elsewhere() {
    let slow = || {
        vec![
            send(STREAM),
            events(1..=1),
            Step::Pause(Duration::from_millis(600)),
            events(2..=2),
            send("0\r\n\r\n"),
        ]
    };
    let target = Replica::bind(move |n| if n == 0 { slow() } else { vec![send(WHOLE)] });
    let target = target.await.unwrap();
    let cluster = Cluster::spawn(&[&target]).await;
    let mut streaming = cluster.connect().await;
    let mut idle = cluster.connect().await;
    streaming.send("/flow/", "c-1", "", "").await;
    streaming.until("id: 1").await;
    let stopped = actix_rt::spawn(cluster.gateway.stop());
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    idle.send("/read/", "c-2", "", "").await;
    let response = idle.rest().await;
    assert_eq!((status(&response), header(&response, "connection")), ("200", Some("close")));
    let response = streaming.rest().await;
    assert!(response.contains("id: 2") && response.ends_with("0\r\n\r\n"), "{response}");
    actix_rt::time::timeout(LIMIT, stopped).await.expect("the stop ends").unwrap();
}
