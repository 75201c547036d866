//! Calls with a part of a prompt under which each target ends, beside sound calls.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cumintrail_daemon::Gateway;
use cumintrail_tests::gateway_cluster::{Cluster, KEY, STREAM, declarations, events, send, status};
use cumintrail_tests::standins::feed::FeedPlatform;
use cumintrail_tests::standins::replica::{Replica, Step, header};

const TARGETS: usize = 8;
/// The part under which targets end.
const CRASHING: &str = "c7";
/// Time from the end of a target until its successor is listed.
const RESTART: Duration = Duration::from_millis(300);
/// Time from the fifth end until no more than [`MOST_LATER`] calls with the part may be sent.
const CONTACT: Duration = Duration::from_secs(3);
const MOST_LATER: usize = 3;
const CALL_INTERVAL: Duration = Duration::from_millis(40);
const CRASHING_EACH: usize = 3;

/// Targets that end under calls with [`CRASHING`], and start again under new ids.
struct Pool {
    cluster: Cluster,
    running: RefCell<Vec<(String, Replica)>>,
    /// When each target ended.
    ended: RefCell<Vec<Instant>>,
    /// When each call with the part reached a target.
    arrived: Rc<RefCell<Vec<Instant>>>,
}

impl Pool {
    async fn spawn() -> Self {
        let platform = FeedPlatform::new();
        platform.publish_declarations(1, &declarations(KEY));
        let cluster = Cluster::spawn_on(platform);
        let pool = Self {
            cluster,
            running: RefCell::default(),
            ended: RefCell::default(),
            arrived: Rc::default(),
        };
        for number in 0..TARGETS {
            pool.start_target(number).await;
        }
        pool.cluster.until(Gateway::is_ready).await;
        pool
    }

    async fn start_target(&self, number: usize) {
        let arrived = self.arrived.clone();
        let script = move |head: &str| {
            let parts = header(head, "x-cumintrail-parts").unwrap_or_default();
            let pause = Step::Pause(Duration::from_millis(30));
            if parts.contains(CRASHING) {
                arrived.borrow_mut().push(Instant::now());
                vec![send(STREAM), events(1..=1), pause, Step::Crash]
            } else {
                vec![send(STREAM), events(1..=1), pause, events(2..=3), send("0\r\n\r\n")]
            }
        };
        let target = Replica::bind_by_head(script).await.unwrap();
        let id = format!("t{number}");
        self.cluster.platform.list_target(&id, 1, 1, "desk", target.address(), false);
        self.running.borrow_mut().push((id, target));
    }

    /// Starts successors of targets that ended, until the pool is dropped.
    async fn restart_targets(&self) {
        let mut due: Vec<Instant> = Vec::new();
        let mut number = TARGETS;
        loop {
            actix_rt::time::sleep(Duration::from_millis(5)).await;
            self.running.borrow_mut().retain(|(id, target)| {
                if target.has_crashed() {
                    self.ended.borrow_mut().push(Instant::now());
                    due.push(Instant::now() + RESTART);
                    self.cluster.platform.remove_target(id);
                }
                !target.has_crashed()
            });
            while due.first().is_some_and(|at| *at <= Instant::now()) {
                due.remove(0);
                self.start_target(number).await;
                number += 1;
            }
        }
    }

    /// Sends a call with these parts before its own; returns the response.
    async fn call(&self, number: usize, parts: &str) -> String {
        let mut caller = self.cluster.connect().await;
        let headers = format!(
            "connection: close\r\nx-cumintrail-parts: {parts},own{number}:10\r\n\
             x-cumintrail-deadline-ms: 2000\r\n"
        );
        caller.send("/resume/", &format!("c-{number}"), &headers, "").await;
        caller.rest().await
    }
}

/// Returns whether a stream of three events arrived whole.
fn is_served(response: &str) -> bool {
    response.contains("id: 3") && response.ends_with("0\r\n\r\n")
}

/// Runs `work` while targets that end are started again.
async fn with_restarts(pool: &Pool, work: impl Future<Output = ()>) {
    tokio::select! {
        () = pool.restart_targets() => {}
        () = work => {}
    }
}

#[actix_rt::test]
async fn a_part_that_crashes_targets_stops_reaching_them() {
    let pool = Pool::spawn().await;
    let begun = Instant::now();
    let mut sound = Vec::new();
    let drive = async {
        let mut calls = futures_util::stream::FuturesUnordered::new();
        for number in 0.. {
            let fifth = pool.ended.borrow().get(4).copied();
            let is_over = |at: Instant| at.elapsed() > CONTACT + Duration::from_secs(2);
            if fifth.is_some_and(is_over) || begun.elapsed() > Duration::from_secs(9) {
                break;
            }
            // Sound calls share all parts but the one that crashes targets.
            let (shared, pool) = (number % 2, &pool);
            let has_part = number % CRASHING_EACH == 0;
            let part = if has_part { format!(",{CRASHING}:50") } else { String::new() };
            let parts = format!("a:100,b{shared}:20{part}");
            calls.push(async move {
                let response = pool.call(number, &parts).await;
                (has_part, Instant::now(), response)
            });
            let next = actix_rt::time::sleep(CALL_INTERVAL);
            tokio::pin!(next);
            loop {
                tokio::select! {
                    () = &mut next => break,
                    Some(ended) = futures_util::StreamExt::next(&mut calls) => sound.push(ended),
                }
            }
        }
    };
    with_restarts(&pool, drive).await;

    let ended = pool.ended.borrow().clone();
    if let Some(fifth) = ended.get(4) {
        let later = pool.arrived.borrow().iter().filter(|at| **at > *fifth + CONTACT).count();
        assert!(later <= MOST_LATER, "{later} calls reached targets, {} ended", ended.len());
    }
    let is_late = |at: &Instant| at.elapsed() < Duration::from_secs(2);
    let late: Vec<_> = sound.iter().filter(|(has_part, at, _)| !has_part && is_late(at)).collect();
    let served = late.iter().filter(|(_, _, response)| is_served(response)).count();
    assert!(late.len() >= 20 && served * 2 >= late.len(), "{served} of {} served", late.len());
    let refused = sound.iter().rfind(|(has_part, ..)| *has_part).map(|(_, _, r)| r.to_lowercase());
    let refused = refused.expect("calls with the part were sent");
    assert_eq!(status(&refused), "503", "{refused}");
    assert!(refused.contains("\"ran\":\"no\"") && !refused.contains("retry-after"), "{refused}");
}

#[actix_rt::test]
async fn all_targets_that_crash_at_once_hold_up_no_sound_call() {
    let pool = Pool::spawn().await;
    let drive = async {
        for round in 0..3 {
            // No response was complete yet in the first round, so nothing clears the parts.
            let calls = (0..2 * TARGETS).map(|n| pool.call(100 * round + n, "a:100,b0:20"));
            let calls = futures_util::future::join_all(calls);
            let crash = async {
                actix_rt::time::sleep(Duration::from_millis(15)).await;
                pool.running.borrow().iter().for_each(|(_, target)| target.crash());
            };
            futures_util::future::join(calls, crash).await;
            actix_rt::time::sleep(RESTART + Duration::from_millis(400)).await;
        }
        let mut served = 0;
        for number in 900..920 {
            served += usize::from(is_served(&pool.call(number, "a:100,b0:20").await));
        }
        assert!(served >= 18, "{served} of 20 served");
    };
    with_restarts(&pool, drive).await;
}
