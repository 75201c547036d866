//! A request under which each target ends, and that comes again, beside sound calls.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use cumintrail_daemon::Gateway;
use cumintrail_tests::gateway_cluster::{Fleet, KEY, STREAM, WHOLE, events, send, status};
use cumintrail_tests::standins::replica::{Replica, Step, header};
use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

const DAEMONS: usize = 3;
/// Time from the end of a target until its successor is listed.
const RESTART: Duration = Duration::from_millis(1_200);
/// Time from the third end until no more than [`MOST_LATER`] further requests may be sent.
const CONTACT: Duration = Duration::from_secs(3);
const MOST_LATER: usize = 3;
const CALL_INTERVAL: Duration = Duration::from_millis(25);
/// Time between two repeats of the request at different gateways; the first and the second value
/// alternate.
type Repeats = [Duration; 2];
const ONE_BY_ONE: Repeats = [Duration::from_millis(400); 2];
const OVERLAPPING: Repeats = [Duration::from_millis(50), Duration::from_millis(600)];
/// The body of the request under which targets end.
const CRASHING: &str = "the wheel that ends them";

/// Targets that end under requests with the body [`CRASHING`], and start again under new ids.
struct Pool {
    fleet: Fleet,
    running: RefCell<Vec<(String, Replica)>>,
    ended: RefCell<Vec<Instant>>,
    /// When each crashing request reached a target.
    arrived: Rc<RefCell<Vec<Instant>>>,
    started: Cell<usize>,
}

impl Pool {
    async fn spawn(targets: usize) -> Self {
        let pool = Self {
            fleet: Fleet::spawn(DAEMONS, &[]).await,
            running: RefCell::default(),
            ended: RefCell::default(),
            arrived: Rc::default(),
            started: Cell::default(),
        };
        for _ in 0..targets {
            pool.start_target().await;
        }
        actix_rt::time::sleep(Duration::from_millis(500)).await;
        assert!(pool.fleet.gateways.iter().all(Gateway::is_ready));
        pool
    }

    async fn start_target(&self) {
        let arrived = self.arrived.clone();
        let script = move |call: &str| {
            let pause = Step::Pause(Duration::from_millis(20));
            let is_stream = header(call, "x-cumintrail-parts").is_some();
            match (call.ends_with(CRASHING), is_stream) {
                (true, _) => {
                    arrived.borrow_mut().push(Instant::now());
                    vec![Step::Pause(Duration::from_millis(80)), Step::Crash]
                }
                (false, true) => vec![send(STREAM), pause, events(1..=3), send("0\r\n\r\n")],
                (false, false) => vec![pause, send(WHOLE)],
            }
        };
        let target = Replica::bind_by_head(script).await.unwrap();
        let id = format!("t{}", self.started.get());
        self.started.set(self.started.get() + 1);
        self.fleet.platform.list_target(&id, 1, 1, "desk", target.address(), false);
        self.running.borrow_mut().push((id, target));
    }

    /// Starts successors of targets that ended, until the pool is dropped.
    async fn restart_targets(&self) {
        let mut due: Vec<Instant> = Vec::new();
        loop {
            actix_rt::time::sleep(Duration::from_millis(5)).await;
            self.running.borrow_mut().retain(|(id, target)| {
                if target.has_crashed() {
                    self.ended.borrow_mut().push(Instant::now());
                    due.push(Instant::now() + RESTART);
                    self.fleet.platform.remove_target(id);
                }
                !target.has_crashed()
            });
            while due.first().is_some_and(|at| *at <= Instant::now()) {
                due.remove(0);
                self.start_target().await;
            }
        }
    }

    /// Sends a request to a gateway; returns the response.
    async fn call(&self, number: usize, path: &str, parts: &str, body: &str) -> String {
        let gateway = &self.fleet.gateways[number % DAEMONS];
        let mut stream = TcpStream::connect(gateway.caller_address()).await.unwrap();
        let text = format!(
            "POST {path} HTTP/1.1\r\nhost: shop.example\r\nauthorization: Bearer {KEY}\r\n\
             x-cumintrail-call: c-{number}\r\ncontent-length: {}\r\nconnection: close\r\n\
             x-cumintrail-deadline-ms: 1500\r\n{parts}\r\n{body}",
            body.len()
        );
        stream.write_all(text.as_bytes()).await.unwrap();
        let mut response = String::new();
        let _reset = stream.read_to_string(&mut response).await;
        response
    }

    /// Lets the request come again at all gateways beside sound calls until some seconds after the
    /// third target ended; returns the responses to it and those to sound calls at the end.
    async fn drive(&self, path: &str, parts: &str, repeats: Repeats) -> (Vec<String>, Vec<String>) {
        let (mut responses, mut sound) = (Vec::new(), Vec::new());
        let begun = Instant::now();
        let mut next_crashing = begun + Duration::from_millis(300);
        let mut repeats = repeats.into_iter().cycle();
        let mut calls = FuturesUnordered::new();
        for number in 0.. {
            let third = self.ended.borrow().get(2).copied();
            let is_over = |at: Instant| at.elapsed() > CONTACT + Duration::from_secs(4);
            if third.is_some_and(is_over) || begun.elapsed() > Duration::from_secs(12) {
                break;
            }
            let is_crashing = Instant::now() >= next_crashing;
            if is_crashing {
                next_crashing += repeats.next().unwrap_or_default();
            }
            let unique = format!("wheel {number}");
            calls.push(async move {
                let body = if is_crashing { CRASHING } else { &unique };
                (is_crashing, Instant::now(), self.call(number, path, parts, body).await)
            });
            let next = actix_rt::time::sleep(CALL_INTERVAL);
            tokio::pin!(next);
            loop {
                tokio::select! {
                    () = &mut next => break,
                    Some((is_crashing, sent, response)) = calls.next() => {
                        if is_crashing {
                            responses.push(response);
                        } else {
                            sound.push((sent, response));
                        }
                    }
                }
            }
        }
        let last = |(sent, _): &(Instant, String)| sent.elapsed() < Duration::from_secs(2);
        let sound = sound.into_iter().filter(last).map(|(_, response)| response).collect();
        (responses, sound)
    }

    fn assert_stopped(&self, (responses, sound): &(Vec<String>, Vec<String>)) {
        let ended = self.ended.borrow();
        let third = ended.get(2).expect("targets ended");
        let later = self.arrived.borrow().iter().filter(|at| **at > *third + CONTACT).count();
        let count = ended.len();
        assert!(later <= MOST_LATER, "{later} requests were sent late, {count} targets ended");
        let refused = responses.last().expect("the request was sent").to_lowercase();
        assert_eq!(status(&refused), "503", "{refused}");
        assert!(refused.contains("\"ran\":\"no\"") && !refused.contains("retry-after"));
        let served = sound.iter().filter(|response| status(response) == "200").count();
        assert!(sound.len() >= 20 && served * 10 >= sound.len() * 9, "{served} of {}", sound.len());
    }
}

async fn check(targets: usize, path: &str, parts: &str, repeats: Repeats) {
    let pool = Pool::spawn(targets).await;
    let seen = tokio::select! {
        () = pool.restart_targets() => unreachable!("it runs until the pool is dropped"),
        seen = pool.drive(path, parts, repeats) => seen,
    };
    pool.assert_stopped(&seen);
}

const PARTS: &str = "x-cumintrail-parts: a:100,b:20,own:10\r\n";

#[actix_rt::test]
async fn a_request_with_a_prompt_that_crashes_targets_stops_reaching_them() {
    check(8, "/resume/", PARTS, ONE_BY_ONE).await;
}

#[actix_rt::test]
async fn a_request_that_crashes_all_targets_of_a_service_stops_reaching_them() {
    check(4, "/read/", "", ONE_BY_ONE).await;
}

#[actix_rt::test]
async fn a_request_that_crashes_both_targets_of_a_service_stops_reaching_them() {
    check(2, "/read/", "", ONE_BY_ONE).await;
}

#[actix_rt::test]
async fn a_request_whose_repeats_overlap_stops_reaching_targets() {
    check(4, "/read/", "", OVERLAPPING).await;
}

#[actix_rt::test]
async fn a_request_that_runs_once_and_crashes_targets_stops_reaching_them() {
    check(4, "/hold/", "", OVERLAPPING).await;
}
