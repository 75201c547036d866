//! Tests weight rollouts: one lease holder sends orders at a time, loads stay within their slots,
//! and a call uses one weight version.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::Method;
use cumintrail_control::rollout::{
    LEASE_DURATION, LeaseMachine, LeaseRequest, LeaseRow, LoadPolicy, OrderOutcome, Rollout,
    RolloutRequest, TargetView, next_loads, takeover_delay,
};
use cumintrail_control::{Order, OrderKind};
use cumintrail_tests::cluster::{CALLER_KEY, Cluster, Plan};
use cumintrail_tests::http::send;
use cumintrail_tests::standins::engine::{self, response_text};
use cumintrail_types::{FencingNumber, Key, ModelKey, Moment, TargetKey, WeightVersion};
use cumintrail_wire::caller::Completion;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const STEP: Duration = Duration::from_millis(100);
/// The time that an engine takes to load weights.
const LOAD: Duration = Duration::from_secs(2);
const LIMIT: Duration = Duration::from_secs(30);
const OLD: WeightVersion = WeightVersion(1);
const NEW: WeightVersion = WeightVersion(2);

#[derive(Clone, Copy)]
struct Engine {
    version: WeightVersion,
    loading_until: Option<Moment>,
    highest: FencingNumber,
    checks_fencing: bool,
}

struct Holder {
    rollout: Rollout,
    paused_until: Moment,
}

/// Simulates daemons that may hold the lease, the table and engines in virtual time.
struct World {
    now: Moment,
    row: Option<LeaseRow>,
    /// How often the table was restored; the first era is zero unless a test sets it.
    era: u64,
    engines: Vec<Engine>,
    holders: Vec<Holder>,
    /// Orders that an engine accepted: time, index of the holder, fencing number.
    orders: Vec<(Moment, usize, FencingNumber)>,
    /// Returns whether the response of a table request at this time is lost.
    lose: Box<dyn FnMut(Moment) -> bool>,
    most_loading: usize,
    fewest_serving: usize,
}

impl World {
    fn new(engines: usize, holders: usize, checks_fencing: bool) -> Self {
        let engine =
            Engine { version: OLD, loading_until: None, highest: FencingNumber(0), checks_fencing };
        let holder = |i: usize| Holder {
            rollout: Rollout::new(format!("vm-{i}").into()),
            paused_until: Moment::default(),
        };
        Self {
            now: Moment::from_millis(1_000),
            row: None,
            era: 0,
            engines: vec![engine; engines],
            holders: (0..holders).map(holder).collect(),
            orders: Vec::new(),
            lose: Box::new(|_| false),
            most_loading: 0,
            fewest_serving: engines,
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            self.finish_loads();
            for i in 0..self.holders.len() {
                if self.holders[i].paused_until <= self.now {
                    let (now, view) = (self.now, self.view());
                    let requests = self.holders[i].rollout.tick(
                        now,
                        &view,
                        LoadPolicy::with_slots(2),
                        i as u32,
                        false,
                    );
                    for request in requests {
                        self.follow(i, request);
                    }
                }
            }
            let loading = self.engines.iter().filter(|e| e.loading_until.is_some()).count();
            self.most_loading = self.most_loading.max(loading);
            self.fewest_serving = self.fewest_serving.min(self.engines.len() - loading);
        }
    }

    fn finish_loads(&mut self) {
        for engine in &mut self.engines {
            if engine.loading_until.is_some_and(|at| at <= self.now) {
                (engine.loading_until, engine.version) = (None, NEW);
            }
        }
    }

    fn view(&self) -> Vec<TargetView> {
        let view = |(i, engine): (usize, &Engine)| TargetView {
            key: TargetKey::from_index(i),
            model: ModelKey(0),
            declared: NEW,
            reported: Some(engine.version),
            loading: engine.loading_until.is_some(),
            reported_at: Some(self.now),
            usable: true,
        };
        self.engines.iter().enumerate().map(view).collect()
    }

    fn follow(&mut self, holder: usize, request: RolloutRequest) {
        match request {
            RolloutRequest::Drain(_) | RolloutRequest::Probe(_) => {}
            RolloutRequest::Order(order) => self.order(holder, &order),
            RolloutRequest::Lease(LeaseRequest::Read) => {
                if (self.lose)(self.now) {
                    return self.holders[holder].rollout.handle_lease_failure(self.now);
                }
                let (row, now) = (self.row.clone(), self.now);
                self.holders[holder].rollout.record_era(now, self.era);
                let next = self.holders[holder].rollout.handle_lease_read(self.now, row.as_ref());
                if let Some(request) = next {
                    self.follow(holder, request);
                }
            }
            RolloutRequest::Lease(LeaseRequest::Write(write)) => {
                let committed = self.row.as_ref().map_or(0, |r| r.version) == write.expected;
                if committed {
                    self.row = Some(LeaseRow {
                        version: write.expected + 1,
                        holder: write.holder,
                        fencing: write.fencing,
                        released: write.released,
                    });
                }
                let rollout = &mut self.holders[holder].rollout;
                rollout.record_era(self.now, self.era);
                if (self.lose)(self.now) {
                    rollout.handle_lease_failure(self.now);
                } else {
                    rollout.handle_lease_written(self.now, self.now, committed, None);
                }
            }
        }
    }

    fn order(&mut self, holder: usize, order: &Order) {
        assert!(
            self.now < order.not_after,
            "an order was sent although another daemon may hold the lease"
        );
        let engine = &mut self.engines[order.target.index()];
        if engine.checks_fencing && order.fencing < engine.highest {
            let rollout = &mut self.holders[holder].rollout;
            return rollout.handle_order_end(self.now, order.target, OrderOutcome::OldFencing);
        }
        assert_eq!(order.kind, OrderKind::Load(NEW));
        engine.highest = engine.highest.max(order.fencing);
        engine.loading_until = Some(self.now + LOAD);
        self.orders.push((self.now, holder, order.fencing));
        let outcome = OrderOutcome::Unknown;
        self.holders[holder].rollout.handle_order_end(self.now, order.target, outcome);
    }

    fn check(&self) {
        let numbers = self.orders.iter().map(|(_, _, fencing)| *fencing);
        assert!(numbers.is_sorted(), "an order carries an older fencing number: {:?}", self.orders);
        let mut holders = BTreeMap::new();
        for (_, holder, fencing) in &self.orders {
            let first = holders.entry(fencing).or_insert(holder);
            assert_eq!(*first, holder, "two holders sent orders under fencing number {fencing}");
        }
        assert!(self.most_loading <= 2, "{} loads at once", self.most_loading);
        assert!(self.fewest_serving >= 1, "no target serves");
    }

    fn is_done(&self) -> bool {
        self.engines.iter().all(|e| e.version == NEW && e.loading_until.is_none())
    }

    fn sender(&self) -> Option<usize> {
        let now = self.now;
        self.holders.iter().position(|h| h.rollout.lease().is_some_and(|l| l.may_send(now)))
    }
}

#[test]
fn loads_stay_within_the_slots_and_a_target_keeps_serving() {
    let mut world = World::new(2, 3, true);
    world.run(Duration::from_secs(20));
    world.check();
    assert!(world.is_done() && world.most_loading == 1);
    let mut world = World::new(7, 3, true);
    world.run(Duration::from_secs(20));
    world.check();
    assert!(world.is_done() && world.most_loading == 2);
    assert_eq!(world.orders.len(), 7, "expected one order per target");
    assert!(world.row.as_ref().is_some_and(|row| row.released), "the lease was not released");
}

#[test]
fn a_paused_holder_sends_nothing_when_it_wakes_and_the_next_one_finishes() {
    for checks_fencing in [true, false] {
        let mut world = World::new(30, 2, checks_fencing);
        world.run(Duration::from_secs(3));
        let first = world.sender().unwrap();
        let before = world.orders.len();
        world.holders[first].paused_until = world.now + LEASE_DURATION * 3;
        let paused = world.now;
        world.run((LEASE_DURATION * 3).saturating_sub(STEP));
        assert!(world.orders[before..].iter().all(|(at, holder, _)| {
            *holder != first && at.since(paused) > Duration::from_secs(4)
        }));
        assert_eq!(world.sender(), Some(1 - first));
        let orders_before_wake = world.orders.len();
        world.run(Duration::from_secs(60));
        assert!(world.orders[orders_before_wake..].iter().all(|(_, holder, _)| *holder != first));
        world.check();
        assert!(world.is_done());
    }
}

#[test]
fn lost_answers_of_the_table_delay_a_rollout_and_never_make_two_senders() {
    let mut world = World::new(6, 3, false);
    let mut count = 0;
    world.lose = Box::new(move |_| {
        count += 1;
        count % 3 == 0
    });
    for _ in 0..600 {
        world.run(STEP);
        let senders = world.holders.iter();
        let senders = senders.filter(|h| h.rollout.lease().is_some_and(|l| l.may_send(world.now)));
        assert!(senders.count() <= 1);
    }
    world.check();
    assert!(world.is_done());
}

#[test]
fn a_refused_order_gives_the_lease_up() {
    let mut world = World::new(2, 1, true);
    world.engines.iter_mut().for_each(|e| e.highest = FencingNumber(5));
    world.run(Duration::from_secs(1));
    assert!(world.sender().is_none() && world.orders.is_empty());
}

/// Pauses by holder, step and length; outages by step and length; whether targets check fencing
/// numbers.
type Input = (Vec<(usize, u32, u32)>, Vec<(u32, u32)>, bool);

#[test]
fn numbers_only_rise_under_pauses_and_outages() {
    let pause = (0..3_usize, 0..400_u32, 1..200_u32);
    let outage = (0..400_u32, 1..150_u32);
    let input =
        (prop::collection::vec(pause, 0..6), prop::collection::vec(outage, 0..4), any::<bool>());
    let run = |(pauses, outages, checks): Input| {
        let mut world = World::new(6, 3, checks);
        let start = world.now;
        let outages: Vec<(Moment, Moment)> = outages
            .iter()
            .map(|(at, len)| (start + STEP * *at, start + STEP * (at + len)))
            .collect();
        world.lose = Box::new(move |now| outages.iter().any(|(a, b)| *a <= now && now < *b));
        for step in 0..400_u32 {
            for (holder, at, len) in &pauses {
                if *at == step {
                    world.holders[*holder].paused_until = world.now + STEP * *len;
                }
            }
            world.run(STEP);
        }
        world.run(Duration::from_secs(120));
        world.check();
        assert!(world.is_done());
        Ok(())
    };
    let config = Config { cases: 256, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    TestRunner::new_with_rng(config, rng).run(&input, run).unwrap();
}

/// Writes of the row that a restore forgets, and the step of the restore, twice; whether targets
/// check fencing numbers.
type Restores = (Vec<(u32, usize)>, bool);

/// A table that is restored from an older copy forgets who holds the lease and gives versions out
/// again. Holders learn of it from their next exchange only.
#[test]
fn a_restored_table_makes_no_two_senders_and_numbers_only_rise() {
    let input = (prop::collection::vec((1..120_u32, 0..6_usize), 1..4), any::<bool>());
    let run = |(restores, checks): Restores| {
        let mut world = World::new(40, 3, checks);
        world.era = 1;
        let mut copies: Vec<Option<LeaseRow>> = vec![None];
        for step in 0..200_u32 {
            for (_, back) in restores.iter().filter(|(at, _)| *at == step) {
                let kept = copies.len().saturating_sub(*back).max(1);
                copies.truncate(kept);
                world.row = copies.last().cloned().flatten();
                world.era += 1;
            }
            world.run(STEP);
            if copies.last() != Some(&world.row) {
                copies.push(world.row.clone());
            }
            let senders = world
                .holders
                .iter()
                .filter(|h| h.rollout.lease().is_some_and(|l| l.may_send(world.now)));
            assert!(senders.count() <= 1, "two holders may order at {}", world.now);
        }
        world.run(Duration::from_secs(160));
        world.check();
        assert!(world.is_done());
        Ok(())
    };
    let config = Config { cases: 256, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[12; 32]);
    TestRunner::new_with_rng(config, rng).run(&input, run).unwrap();
}

/// Requests a completion of a fixed prompt and returns its text.
async fn complete(at: SocketAddr, max_tokens: usize) -> String {
    let bearer = format!("Bearer {CALLER_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let body = serde_json::json!({ "model": "curd", "prompt": "ripen", "max_tokens": max_tokens });
    let body = body.to_string();
    let got = send(Method::POST, at, "/v1/completions", &headers, body, LIMIT).await;
    let completion: Completion = got.json().unwrap_or_else(|| panic!("{}", got.text()));
    completion.choices[0].text.clone().unwrap_or_default()
}

#[actix_rt::test]
async fn new_calls_use_the_new_version_and_a_run_keeps_its_own() {
    let cluster = Cluster::spawn(&Plan { engines: 3, ..Plan::default() }).await.unwrap();
    let at = cluster.daemons[0].caller_address();
    let long = actix_rt::spawn(complete(at, 2_000));
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    let path = cluster.declarations.path().join("deployment.ini");
    let text = std::fs::read_to_string(path).unwrap();
    cluster.reapply(&text.replace("version = 1", "version = 2")).await.unwrap();

    let deadline = std::time::Instant::now() + LIMIT;
    while cluster.engines.iter().any(|engine| engine.orders().is_empty()) {
        assert!(std::time::Instant::now() < deadline, "not all engines received an order");
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    let new = response_text("ripen", NEW, 4);
    while complete(at, 4).await != new {
        assert!(std::time::Instant::now() < deadline, "new calls use the old version");
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(long.await.unwrap(), response_text("ripen", OLD, 2_000));
    let numbers =
        cluster.engines.iter().flat_map(engine::Engine::orders).map(|(fencing, _)| fencing);
    assert!(numbers.clone().all(|n| n >= FencingNumber(1)));
}

#[test]
fn the_oldest_weights_are_replaced_first() {
    let view = |(i, reported): (usize, &u64)| TargetView {
        key: TargetKey::from_index(i),
        model: ModelKey(0),
        declared: WeightVersion(4),
        reported: Some(WeightVersion(*reported)),
        loading: false,
        reported_at: Some(Moment(0)),
        usable: true,
    };
    let views: Vec<TargetView> = [3, 3, 2, 4, 2, 3].iter().enumerate().map(view).collect();
    let chosen = next_loads(Moment(1), &views, &BTreeMap::new(), 2);
    let chosen: Vec<usize> = chosen.iter().map(|target| target.key.index()).collect();
    assert_eq!(chosen, [2, 4]);
}

#[test]
fn a_lease_passes_on_although_some_readings_of_its_row_fail() {
    let row =
        LeaseRow { version: 7, holder: "gone".into(), fencing: FencingNumber(1), released: false };
    let mut machine = LeaseMachine::new("next".into());
    let mut now = Moment::default();
    let mut reads = 0;
    let acquired = loop {
        now = now + STEP;
        assert!(now < Moment::default() + LIMIT, "the lease was not taken over in time");
        match machine.tick(now, true, 0) {
            Some(LeaseRequest::Read) => {
                reads += 1;
                // Every fourth read of the row fails.
                if reads % 4 == 0 {
                    machine.handle_failure(now);
                } else if let Some(LeaseRequest::Write(write)) =
                    machine.handle_read(now, Some(&row))
                {
                    break write;
                }
            }
            Some(LeaseRequest::Write(write)) => break write,
            None => {}
        }
    };
    assert_eq!((acquired.expected, acquired.fencing), (7, FencingNumber(2)));
    assert!(now.since(Moment::default()) >= takeover_delay(), "taken over too early");
}

#[test]
fn an_unanswered_order_is_soon_repeated_where_it_names_the_orders_before_it() {
    const SOON: Duration = Duration::from_millis(1_500);
    let policy = LoadPolicy { resend_delay: Duration::from_secs(1), ..LoadPolicy::with_slots(1) };
    let mut rollout = Rollout::new("vm-0".into());
    let mut now = Moment::from_millis(1_000);
    let mut ordered: Vec<Moment> = Vec::new();
    while ordered.len() < 2 {
        now = now + STEP;
        assert!(now < Moment::from_millis(1_000) + LIMIT, "ordered at {ordered:?}");
        let view = TargetView {
            key: TargetKey::from_index(0),
            model: ModelKey(0),
            declared: NEW,
            reported: Some(OLD),
            loading: false,
            reported_at: Some(now),
            usable: true,
        };
        for request in rollout.tick(now, &[view], policy, 0, false) {
            match request {
                RolloutRequest::Lease(LeaseRequest::Read) => {
                    let _ = rollout.handle_lease_read(now, None);
                    rollout.handle_lease_written(now, now, true, None);
                }
                RolloutRequest::Lease(LeaseRequest::Write(_)) => {
                    rollout.handle_lease_written(now, now, true, None);
                }
                RolloutRequest::Order(order) => {
                    ordered.push(now);
                    rollout.handle_order_end(now, order.target, OrderOutcome::Unknown);
                }
                RolloutRequest::Drain(_) | RolloutRequest::Probe(_) => {}
            }
        }
    }
    assert!(ordered[1].since(ordered[0]) <= SOON, "{ordered:?}");
}
