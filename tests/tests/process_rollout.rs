//! Only one lease holder at a time sends orders to targets, also during pauses and outages.

use std::time::Duration;

use cumintrail_tests::cluster::{CALLER_KEY, Plan, eventually};
use cumintrail_tests::deployment::{Deployment, IN_FORCE_LIMIT, RESPONSE_TIMEOUT};
use cumintrail_tests::standins::engine::{Engine, Limits};
use cumintrail_tests::standins::platform;
use cumintrail_tests::standins::relay::Mode;
use cumintrail_types::WeightVersion;
use cumintrail_wire::platform::{LEASE_KEY, LeaseRecord};
use nix::sys::signal::Signal;

const BINARY: &str = env!("CARGO_BIN_EXE_cumintrail-tests");
/// Longer than a lease of six seconds plus the time that an order may take.
const TAKEOVER_TIME: Duration = Duration::from_millis(7_500);
/// Time for a resumed daemon to execute what it had planned before its pause.
const RESUME_TIME: Duration = Duration::from_millis(1_500);

fn plan() -> Plan {
    let engine = Limits { checks_fencing: false, ..Limits::default() };
    Plan { engines: 3, daemons: 2, services: 0, stores: 0, engine, ..Plan::default() }
}

/// Declares a version and waits until daemon `vm` has it in force.
async fn declare(deployment: &Deployment, version: u64, vm: usize) {
    let text = deployment.text.replace("version = 1", &format!("version = {version}"));
    let generation = deployment.reapply(&text).await.unwrap();
    assert!(deployment.in_force(vm, generation, IN_FORCE_LIMIT).await);
}

fn all_ordered(engines: &[Engine], version: u64) -> bool {
    let ordered = |e: &Engine| e.orders().last().is_some_and(|o| o.1 == WeightVersion(version));
    engines.iter().all(ordered)
}

/// Checks that no engine received an order of an earlier lease holder after one of a later holder.
/// The engines of this file do not check fencing numbers themselves.
fn assert_in_order(deployment: &Deployment, case: &str) {
    for (i, engine) in deployment.engines.iter().enumerate() {
        let orders = engine.orders();
        assert!(orders.is_sorted_by_key(|(fencing, _)| *fencing), "{case}: engine {i}: {orders:?}");
    }
}

#[actix_rt::test]
async fn a_declared_version_is_loaded_and_answers() {
    let deployment = Deployment::spawn(BINARY, &plan()).await.unwrap();
    declare(&deployment, 2, 1).await;
    assert!(eventually(RESPONSE_TIMEOUT, || all_ordered(&deployment.engines, 2)).await);
    assert_in_order(&deployment, "quiet");
    assert!(deployment.ask(0, CALLER_KEY, "x", 2).await.whole);
}

#[actix_rt::test]
async fn a_holder_that_wakes_after_its_lease_has_lapsed_sends_no_old_order() {
    // The delays pause the holder before, during and after its first orders.
    let cases = [0, 150, 350, 600];
    futures_util::future::join_all(cases.map(pause_holder)).await;
}

async fn pause_holder(after_ms: u64) {
    let deployment = Deployment::spawn(BINARY, &plan()).await.unwrap();
    declare(&deployment, 2, 1).await;
    let held = || holder(&deployment).is_some();
    assert!(eventually(RESPONSE_TIMEOUT, held).await, "no daemon acquired the lease");
    let paused = holder(&deployment).unwrap();
    actix_rt::time::sleep(Duration::from_millis(after_ms)).await;
    deployment.vms[paused].process.signal(Signal::SIGSTOP);
    // The holder resumes without contact to the table or its peer, with an old version in force.
    deployment.isolate(paused, Mode::SilenceAll);
    declare(&deployment, 3, 1 - paused).await;
    let taken_over = || all_ordered(&deployment.engines, 3);
    assert!(
        eventually(RESPONSE_TIMEOUT, taken_over).await,
        "{after_ms} ms: no other daemon completed the rollout"
    );
    deployment.vms[paused].process.signal(Signal::SIGCONT);
    actix_rt::time::sleep(RESUME_TIME).await;
    assert_in_order(&deployment, &format!("{after_ms} ms"));
    deployment.isolate(paused, Mode::Pass);
    assert!(eventually(RESPONSE_TIMEOUT, taken_over).await, "{after_ms} ms");
    assert_in_order(&deployment, &format!("{after_ms} ms, healed"));
}

/// Returns the daemon that holds the lease according to the table.
fn holder(deployment: &Deployment) -> Option<usize> {
    let row = deployment.platform.row(LEASE_KEY)?;
    let lease: LeaseRecord = serde_json::from_str(&row).ok()?;
    let vm = |i: &usize| lease.holder.starts_with(&format!("vm-{i}-"));
    (0..deployment.vms.len()).find(vm).filter(|_| !lease.released)
}

#[actix_rt::test]
async fn a_holder_that_is_cut_off_from_the_table_is_succeeded_without_overlap() {
    for mode in [Mode::Cut, Mode::SilenceAll] {
        let deployment = Deployment::spawn(BINARY, &plan()).await.unwrap();
        declare(&deployment, 2, 1).await;
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        deployment.vms[0].platform.set(mode);
        declare(&deployment, 3, 1).await;
        assert!(
            eventually(RESPONSE_TIMEOUT, || all_ordered(&deployment.engines, 3)).await,
            "{mode:?}"
        );
        assert_in_order(&deployment, &format!("{mode:?}"));
    }
}

#[actix_rt::test]
async fn lost_answers_of_the_table_give_no_two_holders() {
    let deployment = Deployment::spawn(BINARY, &plan()).await.unwrap();
    let lost = platform::Fault { lose_commits: true, ..platform::Fault::default() };
    declare(&deployment, 2, 1).await;
    deployment.platform.set_fault(lost);
    actix_rt::time::sleep(TAKEOVER_TIME).await;
    deployment.platform.set_fault(platform::Fault::default());
    assert!(eventually(RESPONSE_TIMEOUT, || all_ordered(&deployment.engines, 2)).await);
    assert_in_order(&deployment, "lost answers");
}

#[actix_rt::test]
async fn daemons_that_want_the_lease_at_once_never_hold_it_under_one_number() {
    let plan = Plan { daemons: 4, ..plan() };
    let deployment = Deployment::spawn(BINARY, &plan).await.unwrap();
    // Each daemon considers itself the only one that can hold the lease.
    deployment.vms.iter().for_each(|vm| vm.peers.set(Mode::Cut));
    let are_peers_silent = |dump: &serde_json::Value| {
        let peers = dump["peers"].as_array().cloned().unwrap_or_default();
        peers.len() == 3 && peers.iter().all(|p| p[1]["liveness"] == "silent")
    };
    for vm in 0..4 {
        assert!(deployment.until(vm, IN_FORCE_LIMIT, are_peers_silent).await);
    }
    // All daemons have read the row before the first write of any takes effect.
    let slow = platform::Fault { slow_ms: 400, ..platform::Fault::default() };
    deployment.platform.set_fault(slow);
    declare(&deployment, 2, 1).await;
    assert!(eventually(RESPONSE_TIMEOUT, || all_ordered(&deployment.engines, 2)).await);
    let mut holders = std::collections::BTreeMap::new();
    for value in deployment.platform.written(LEASE_KEY) {
        let lease: LeaseRecord = serde_json::from_str(&value).unwrap();
        let first = holders.entry(lease.fencing).or_insert(lease.holder.clone());
        assert_eq!(*first, lease.holder, "two holders with fencing number {}", lease.fencing);
    }
    assert!(!holders.is_empty());
}

#[actix_rt::test]
async fn a_killed_holder_is_succeeded() {
    let mut deployment = Deployment::spawn(BINARY, &plan()).await.unwrap();
    declare(&deployment, 2, 1).await;
    actix_rt::time::sleep(Duration::from_millis(200)).await;
    deployment.vms[0].process.kill();
    assert!(eventually(RESPONSE_TIMEOUT, || all_ordered(&deployment.engines, 2)).await);
    assert_in_order(&deployment, "killed");
    deployment.restart(0).unwrap();
    deployment.wait_ready().await.unwrap();
    assert!(deployment.ask(0, CALLER_KEY, "x", 2).await.whole);
}
