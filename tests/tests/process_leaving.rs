//! A leaving target gets no new work after a few seconds, whether the VM list, the target itself or
//! a peer reports first that it is leaving.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use cumintrail_tests::cluster::{CALLER_KEY, Plan, domain};
use cumintrail_tests::deployment::{Deployment, ask, hold};
use cumintrail_tests::standins::relay::Mode;
use cumintrail_tests::standins::{engine, platform, service};
use cumintrail_wire::platform::{ListedRole, ListedVm};

const BINARY: &str = env!("CARGO_BIN_EXE_cumintrail-tests");
/// The time within which all daemons must stop sending new work to a leaving target.
const DETECTION_LIMIT: Duration = Duration::from_secs(5);
/// The time for which a target is observed after `DETECTION_LIMIT`.
const OBSERVATION_TIME: Duration = Duration::from_secs(2);

fn plan() -> Plan {
    Plan { engines: 2, services: 2, stores: 0, daemons: 2, ..Plan::default() }
}

/// Publishes a VM list with all daemons and one target, which is leaving or not.
fn list(deployment: &Deployment, target: std::net::SocketAddr, leaving: bool) {
    let entry = |address, role, leaving, i| ListedVm { address, domain: domain(i), role, leaving };
    let vms = deployment.vms.iter().enumerate();
    let mut listed: Vec<ListedVm> =
        vms.map(|(i, vm)| entry(vm.peers.address(), ListedRole::Daemon, false, i)).collect();
    listed.push(entry(target, ListedRole::Target, leaving, 0));
    deployment.platform.list_vms(listed);
}

/// Sends model and service calls through all daemons until it is dropped.
struct Load {
    stop: Rc<Cell<bool>>,
    completed: Rc<Cell<u32>>,
}

impl Load {
    fn spawn(deployment: &Deployment) -> Self {
        let load = Self { stop: Rc::default(), completed: Rc::default() };
        for (i, vm) in deployment.vms.iter().enumerate() {
            let (stop, completed, at) =
                (load.stop.clone(), load.completed.clone(), vm.callers.address());
            actix_rt::spawn(async move {
                for n in 0.. {
                    if stop.get() {
                        return;
                    }
                    let call = format!("{i}-{n}");
                    let (reply, held) = futures_util::future::join(
                        ask(at, CALLER_KEY, &call, 3, true),
                        hold(at, &call, &[]),
                    )
                    .await;
                    let both = reply.whole && held.status == 200;
                    completed.set(completed.get() + u32::from(both));
                }
            });
        }
        load
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stop.set(true);
    }
}

/// Checks that a target gets no new work once `DETECTION_LIMIT` has passed, while others do.
async fn gets_no_more_work(work: impl Fn() -> u64, load: &Load) {
    actix_rt::time::sleep(DETECTION_LIMIT).await;
    let (before, completed) = (work(), load.completed.get());
    actix_rt::time::sleep(OBSERVATION_TIME).await;
    assert_eq!(work(), before, "a leaving target got new work");
    assert!(load.completed.get() > completed, "the other target got no work either");
}

async fn is_used(work: impl Fn() -> u64) -> bool {
    cumintrail_tests::cluster::eventually(Duration::from_secs(10), || work() > 0).await
}

fn service_work(deployment: &Deployment) -> impl Fn() -> u64 + use<> {
    let service = deployment.services[0].clone();
    move || service.executions().values().sum()
}

#[actix_rt::test]
async fn a_target_that_the_vm_list_calls_leaving_and_an_older_list_does_not_revive_it() {
    let deployment = Deployment::spawn(BINARY, &plan()).await.unwrap();
    let load = Load::spawn(&deployment);
    let engine = deployment.engines[0].clone();
    let work = move || engine.started();
    assert!(is_used(&work).await);
    list(&deployment, deployment.engine_links[0].address(), true);
    gets_no_more_work(&work, &load).await;
    let older = platform::Fault { list_stuck_at: 1, ..platform::Fault::default() };
    deployment.platform.set_fault(older);
    gets_no_more_work(&work, &load).await;
}

#[actix_rt::test]
async fn a_target_that_says_it_leaves_while_the_platform_is_down() {
    let deployment = Deployment::spawn(BINARY, &plan()).await.unwrap();
    let load = Load::spawn(&deployment);
    let work = service_work(&deployment);
    assert!(is_used(&work).await);
    let down = platform::Fault { down: true, ..platform::Fault::default() };
    deployment.platform.set_fault(down);
    deployment.services[0].set_fault(service::Fault { leaving: true, ..Default::default() });
    gets_no_more_work(&work, &load).await;
}

#[actix_rt::test]
async fn a_daemon_that_is_cut_off_from_the_platform_learns_of_leaving_from_its_peer() {
    let deployment = Deployment::spawn(BINARY, &plan()).await.unwrap();
    let load = Load::spawn(&deployment);
    let engine = deployment.engines[0].clone();
    let work = move || engine.started();
    assert!(is_used(&work).await);
    deployment.vms[0].platform.set(Mode::Cut);
    list(&deployment, deployment.engine_links[0].address(), true);
    gets_no_more_work(&work, &load).await;
}

#[actix_rt::test]
async fn a_mark_passes_around_a_cut_between_one_pair_of_daemons() {
    let cases = [Mode::Cut, Mode::SilenceAll];
    futures_util::future::join_all(cases.map(mark_passes_around)).await;
}

async fn mark_passes_around(mode: Mode) {
    let deployment = Deployment::spawn(BINARY, &Plan { daemons: 3, ..plan() }).await.unwrap();
    let load = Load::spawn(&deployment);
    let engine = deployment.engines[0].clone();
    let work = move || engine.started();
    assert!(is_used(&work).await);
    // The first daemon can receive the report only from the third.
    deployment.set_pair(0, 1, mode);
    deployment.vms[0].platform.set(mode);
    list(&deployment, deployment.engine_links[0].address(), true);
    gets_no_more_work(&work, &load).await;
    for vm in 0..3 {
        let targets = deployment.dump(vm).await.unwrap()["targets"].as_array().unwrap().clone();
        let marked = targets.iter().any(|t| t["leaving"] == true);
        assert!(marked, "{mode:?}: vm {vm}: {targets:?}");
    }
}

#[actix_rt::test]
async fn a_leaving_engine_refuses_and_its_calls_are_answered_elsewhere() {
    let deployment = Deployment::spawn(BINARY, &plan()).await.unwrap();
    deployment.engines[0].set_fault(engine::Fault { leaving: true, ..Default::default() });
    for i in 0..6 {
        let reply = deployment.ask(i % 2, CALLER_KEY, &format!("call {i}"), 3).await;
        assert!(reply.whole, "{reply:?}");
    }
    assert_eq!(deployment.engines[0].started(), 0);
}
