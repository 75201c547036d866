//! Targets that name a limit of the requests that they take from all daemons together.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cumintrail_tests::gateway_cluster::{Fleet, WHOLE, send, status};
use cumintrail_tests::standins::replica::Replica;
use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;

/// Time from the first response that names a limit until the limit must be kept.
const CONTACT: Duration = Duration::from_secs(3);
/// The period over which the requests that reach a target are counted.
const WINDOW: Duration = Duration::from_secs(4);
const CALL_INTERVAL: Duration = Duration::from_millis(20);
const DAEMONS: usize = 4;
/// Requests a second that the limited target takes.
const RATE: f64 = 2.0;

/// The most requests of one window: half as many again as the limit allows, and five.
fn allowed(rate: f64) -> usize {
    (rate * WINDOW.as_secs_f64()).mul_add(1.5, 5.0) as usize
}

/// Returns the most requests within one window that began at `since` or later.
fn most_in_window(arrived: &[Instant], since: Instant) -> usize {
    let judged = || arrived.iter().filter(|at| **at >= since);
    let counts = judged()
        .map(|first| judged().filter(|at| **at >= *first && **at < *first + WINDOW).count());
    counts.max().unwrap_or(0)
}

/// Starts a target that names the present limit, if there is one, and records its requests.
async fn limited_target(limit: &Rc<RefCell<Option<f64>>>) -> (Replica, Rc<RefCell<Vec<Instant>>>) {
    let arrived: Rc<RefCell<Vec<Instant>>> = Rc::default();
    let (limit, log) = (limit.clone(), arrived.clone());
    let script = move |_: &str| {
        log.borrow_mut().push(Instant::now());
        let named = limit.borrow().map(|rate| format!("\r\nx-cumintrail-limit: {rate}"));
        vec![send(&WHOLE.replacen("\r\n", &format!("{}\r\n", named.unwrap_or_default()), 1))]
    };
    (Replica::bind_by_head(script).await.unwrap(), arrived)
}

/// Sends calls to all daemons in turn for some time; returns how many were served, and how many
/// were not.
async fn drive(fleet: &Fleet, time: Duration) -> (usize, usize) {
    let (begun, mut calls) = (Instant::now(), FuturesUnordered::new());
    let (mut served, mut failed) = (0, 0);
    let mut count = |response: &str| match status(response) {
        "200" => served += 1,
        _ => failed += 1,
    };
    for number in 0.. {
        if begun.elapsed() > time {
            break;
        }
        let call = async move {
            fleet.call(number % fleet.gateways.len(), "/read/", &format!("c-{number}")).await
        };
        calls.push(call);
        let next = actix_rt::time::sleep(CALL_INTERVAL);
        tokio::pin!(next);
        loop {
            tokio::select! {
                () = &mut next => break,
                Some(response) = calls.next() => count(&response),
            }
        }
    }
    while let Some(response) = calls.next().await {
        count(&response);
    }
    (served, failed)
}

#[actix_rt::test]
async fn a_limit_that_a_target_names_is_kept_by_all_daemons_together_and_used() {
    let limit = Rc::new(RefCell::new(Some(RATE)));
    let (limited, arrived) = limited_target(&limit).await;
    let other = Replica::bind(|_| vec![send(WHOLE)]).await.unwrap();
    let fleet = Fleet::spawn(DAEMONS, &[("t0", &limited), ("t1", &other)]).await;

    let (served, failed) = drive(&fleet, CONTACT + WINDOW + Duration::from_secs(1)).await;

    let arrived = arrived.borrow();
    let judged_from = arrived[0] + CONTACT;
    let most = most_in_window(&arrived, judged_from);
    assert!(most <= allowed(RATE), "{most} requests in 4 s, {} allowed", allowed(RATE));
    assert!(most as f64 >= RATE * WINDOW.as_secs_f64() / 2.0, "only {most} requests in 4 s");
    assert!(failed * 100 <= served, "{failed} calls failed and {served} were served");
}
