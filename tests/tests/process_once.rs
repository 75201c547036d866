//! Under every fault, a call that must not be repeated executes at most once, and a refusal with
//! `ran: no` is sent only for a call that has not executed.

use std::time::Duration;

use actix_http::Method;
use cumintrail_tests::cluster::{CALLER_KEY, Plan, eventually};
use cumintrail_tests::deployment::{Deployment, RESPONSE_TIMEOUT, hold};
use cumintrail_tests::http::{ClientResponse, send};
use cumintrail_tests::standins::relay::Mode;
use cumintrail_tests::standins::{platform, service};
use cumintrail_types::{Ran, RefusalCode};
use cumintrail_wire::caller::{IDEMPOTENCY_KEY_HEADER, OperationKeyResponse, RefusalBody};
use cumintrail_wire::record::claim_key;
use nix::sys::signal::Signal;

const BINARY: &str = env!("CARGO_BIN_EXE_cumintrail-tests");
const REPEATS: usize = 4;
const SERVICE_TIMEOUT_MS: u64 = 1_500;
/// A claim expires after the timeout of its call plus an equal time for recording the outcome.
const CLAIM_TIME: Duration = Duration::from_millis(2 * SERVICE_TIMEOUT_MS);

fn plan() -> Plan {
    Plan { engines: 0, stores: 0, services: 2, daemons: 2, ..Plan::default() }
}

async fn spawn() -> Deployment {
    let timeout = format!("timeout_ms = {SERVICE_TIMEOUT_MS}");
    let edit = |text: String| text.replace("timeout_ms = 5000", &timeout);
    Deployment::spawn_with(BINARY, &plan(), edit).await.unwrap()
}

async fn keyed(deployment: &Deployment, vm: usize, operation: &str) -> ClientResponse {
    deployment.hold(vm, operation, &[(IDEMPOTENCY_KEY_HEADER, operation)]).await
}

/// Checks one response against the number of executions so far.
fn assert_truthful(deployment: &Deployment, operation: &str, got: &ClientResponse) {
    let ran = deployment.executions(operation);
    assert!(ran <= 1, "{operation} executed {ran} times");
    let refusal = got.json::<RefusalBody>().map(|body| body.error);
    let reports_not_run = refusal.as_ref().is_some_and(|r| r.ran == Ran::No);
    assert!(
        !reports_not_run || ran == 0,
        "{operation}: refused with `ran: no` after an execution: {refusal:?}"
    );
    assert!(got.status != 200 || ran == 1, "{operation}: status 200 without an execution");
}

/// Repeats a keyed call through all daemons, like a caller that received no response.
async fn repeat(deployment: &Deployment, operation: &str) {
    for i in 0..REPEATS {
        let got = keyed(deployment, i % deployment.vms.len(), operation).await;
        let ran = deployment.executions(operation);
        assert!(ran <= 1, "{operation} executed {ran} times: {}", got.text());
        assert!(got.status != 200 || ran == 1, "{operation}: status 200 without an execution");
    }
}

async fn ran(deployment: &Deployment, operation: &str) -> bool {
    eventually(RESPONSE_TIMEOUT, || deployment.executions(operation) > 0).await
}

#[actix_rt::test]
async fn a_daemon_killed_between_claim_and_outcome_leaves_a_claim_that_nobody_runs_again() {
    let mut deployment = spawn().await;
    for service in &deployment.services {
        service.set_fault(service::Fault { slow_ms: 600, ..service::Fault::default() });
    }
    let at = deployment.vms[0].callers.address();
    let call = actix_rt::spawn(async move {
        hold(at, "hold-killed", &[(IDEMPOTENCY_KEY_HEADER, "hold-killed")]).await
    });
    let sent = |dump: &serde_json::Value| {
        dump["calls"].as_array().is_some_and(|calls| calls.iter().any(|c| c["phase"] != "queued"))
    };
    assert!(deployment.until(0, RESPONSE_TIMEOUT, sent).await);
    deployment.vms[0].process.kill();
    assert_ne!(call.await.unwrap().status, 200);
    repeat(&deployment, "hold-killed").await;
    deployment.restart(0).unwrap();
    deployment.wait_ready().await.unwrap();
    repeat(&deployment, "hold-killed").await;
}

#[actix_rt::test]
async fn a_lost_answer_of_the_service_is_not_followed_by_a_second_run() {
    let deployment = spawn().await;
    for service in &deployment.services {
        service.set_fault(service::Fault { lose_answers: true, ..service::Fault::default() });
    }
    for (operation, key) in [("pay-unkeyed", None), ("pay-keyed", Some("pay-keyed"))] {
        let headers: Vec<_> = key.into_iter().map(|key| (IDEMPOTENCY_KEY_HEADER, key)).collect();
        let got = deployment.hold(0, operation, &headers).await;
        assert_truthful(&deployment, operation, &got);
        assert_eq!(got.json::<RefusalBody>().unwrap().error.ran, Ran::Unknown);
    }
    for service in &deployment.services {
        service.set_fault(service::Fault::default());
    }
    repeat(&deployment, "pay-keyed").await;
}

#[actix_rt::test]
async fn a_cut_or_silent_link_to_the_service_causes_no_second_run() {
    for mode in [Mode::Cut, Mode::SilenceOpen, Mode::SilenceAll] {
        let deployment = spawn().await;
        for service in &deployment.services {
            // The service executes the call but withholds the response, so the link fails between
            // the execution and the response.
            service.set_fault(service::Fault { lose_answers: true, ..service::Fault::default() });
        }
        let at = deployment.vms[0].callers.address();
        let calls = ["unkeyed", "keyed"].map(|operation| {
            actix_rt::spawn(async move {
                let key = [(IDEMPOTENCY_KEY_HEADER, operation)];
                let headers = if operation == "keyed" { &key[..] } else { &[] };
                hold(at, operation, headers).await
            })
        });
        assert!(ran(&deployment, "keyed").await && ran(&deployment, "unkeyed").await);
        for link in &deployment.service_links {
            link.set(mode);
            if mode == Mode::Cut {
                // New connections work at once, so a second attempt would reach the service.
                link.set(Mode::Pass);
            }
        }
        for (call, operation) in calls.into_iter().zip(["unkeyed", "keyed"]) {
            assert_truthful(&deployment, operation, &call.await.unwrap());
        }
        for (link, service) in deployment.service_links.iter().zip(&deployment.services) {
            link.set(Mode::Pass);
            service.set_fault(service::Fault::default());
        }
        repeat(&deployment, "keyed").await;
        assert_eq!(deployment.executions("unkeyed"), 1, "{mode:?}");
    }
}

#[actix_rt::test]
async fn a_service_that_cannot_be_reached_truly_did_not_run_the_call() {
    let deployment = spawn().await;
    for service in &deployment.services {
        service.server.kill().await;
    }
    for link in &deployment.service_links {
        link.set(Mode::Cut);
    }
    for i in 0..4 {
        let operation = format!("unreachable-{i}");
        let got = deployment.hold(i % 2, &operation, &[]).await;
        assert_truthful(&deployment, &operation, &got);
    }
}

#[actix_rt::test]
async fn lost_answers_and_outages_of_the_platform_cause_no_second_run() {
    let deployment = spawn().await;
    let faults = [
        platform::Fault { lose_answers: true, ..Default::default() },
        platform::Fault { down: true, ..Default::default() },
        platform::Fault { slow_ms: 400, ..Default::default() },
    ];
    for (i, fault) in faults.into_iter().enumerate() {
        let operation = format!("hold-platform-{i}");
        deployment.platform.set_fault(fault);
        let got = keyed(&deployment, 0, &operation).await;
        assert_truthful(&deployment, &operation, &got);
        deployment.platform.set_fault(platform::Fault::default());
        repeat(&deployment, &operation).await;
    }
}

#[actix_rt::test]
async fn an_outage_of_the_table_and_the_death_of_a_daemon_together_cause_no_second_run() {
    let mut deployment = spawn().await;
    deployment.platform.set_fault(platform::Fault { down: true, ..Default::default() });
    let got = keyed(&deployment, 0, "hold-twice").await;
    assert_truthful(&deployment, "hold-twice", &got);
    deployment.vms[0].process.kill();
    deployment.platform.set_fault(platform::Fault::default());
    deployment.restart(0).unwrap();
    deployment.wait_ready().await.unwrap();
    repeat(&deployment, "hold-twice").await;
    assert_eq!(
        deployment.executions("hold-twice"),
        1,
        "the table is available again, so the call must execute"
    );
}

#[actix_rt::test]
async fn a_daemon_paused_around_its_claim_causes_no_second_run() {
    let deployment = spawn().await;
    for service in &deployment.services {
        service.set_fault(service::Fault { slow_ms: 200, ..service::Fault::default() });
    }
    for (i, pause_after) in [0, 5, 20, 80].into_iter().enumerate() {
        let operation = format!("hold-paused-{i}");
        let (at, name) = (deployment.vms[0].callers.address(), operation.clone());
        let call =
            actix_rt::spawn(
                async move { hold(at, &name, &[(IDEMPOTENCY_KEY_HEADER, &name)]).await },
            );
        actix_rt::time::sleep(Duration::from_millis(pause_after)).await;
        deployment.vms[0].process.signal(Signal::SIGSTOP);
        let meanwhile = keyed(&deployment, 1, &operation).await;
        actix_rt::time::sleep(Duration::from_millis(1_800)).await;
        deployment.vms[0].process.signal(Signal::SIGCONT);
        let first = call.await.unwrap();
        let answered = [&meanwhile, &first].iter().filter(|g| g.status == 200).count();
        repeat(&deployment, &operation).await;
        assert!(answered == 0 || deployment.executions(&operation) == 1);
    }
}

#[actix_rt::test]
async fn a_daemon_paused_between_its_claim_and_the_first_byte_causes_no_second_run() {
    const KEY: &str = "hold-claimed";
    let deployment = spawn().await;
    let held = platform::Fault { hold_commits: true, ..platform::Fault::default() };
    deployment.platform.set_fault(held);
    let at = deployment.vms[0].callers.address();
    let call =
        actix_rt::spawn(async move { hold(at, KEY, &[(IDEMPOTENCY_KEY_HEADER, KEY)]).await });
    let row = claim_key("kesong", "holds", KEY);
    let claimed = || deployment.platform.row(&row).is_some();
    assert!(eventually(RESPONSE_TIMEOUT, claimed).await);
    deployment.vms[0].process.signal(Signal::SIGSTOP);
    // The response to the claim is now buffered in the paused daemon's socket.
    deployment.platform.set_fault(platform::Fault::default());
    let meanwhile = keyed(&deployment, 1, KEY).await;
    assert_truthful(&deployment, KEY, &meanwhile);
    actix_rt::time::sleep(CLAIM_TIME + Duration::from_secs(1)).await;
    let after_expiry = keyed(&deployment, 1, KEY).await;
    let refusal = after_expiry.json::<RefusalBody>().unwrap().error;
    assert_eq!((refusal.code, refusal.ran), (RefusalCode::OutcomeUnknown, Ran::Unknown));
    assert_eq!(deployment.executions(KEY), 0, "an expired claim was taken over");

    deployment.vms[0].process.signal(Signal::SIGCONT);
    let first = call.await.unwrap();
    // Leaves time for a request that the resumed daemon may still send to the service.
    actix_rt::time::sleep(CLAIM_TIME).await;
    assert_truthful(&deployment, KEY, &first);
    repeat(&deployment, KEY).await;
}

#[actix_rt::test]
async fn racing_callers_of_two_daemons_during_a_platform_cut_run_once() {
    let deployment = spawn().await;
    deployment.vms[1].platform.set(Mode::SilenceOpen);
    let calls = (0..10).map(|i| keyed(&deployment, i % 2, "attendance"));
    let got = futures_util::future::join_all(calls).await;
    assert_eq!(deployment.executions("attendance"), 1);
    assert!(got.iter().any(|g| g.status == 200));
}

#[actix_rt::test]
async fn an_operation_key_runs_once_through_an_outage_and_the_death_of_its_issuer() {
    let mut deployment = spawn().await;
    let down = platform::Fault { down: true, ..Default::default() };
    deployment.platform.set_fault(down);
    let bearer = format!("Bearer {CALLER_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let issuer = deployment.vms[0].callers.address();
    let got =
        send(Method::POST, issuer, "/v1/operation-keys", &headers, "", RESPONSE_TIMEOUT).await;
    let key = got.json::<OperationKeyResponse>().unwrap_or_else(|| panic!("{}", got.text())).key;
    let use_key = [(IDEMPOTENCY_KEY_HEADER, key.as_str())];
    let calls = (0..6).map(|i| deployment.hold(i % 2, "mark", &use_key));
    futures_util::future::join_all(calls).await;
    assert_eq!(deployment.executions("mark"), 1);
    deployment.restart(0).unwrap();
    for vm in [1, 0] {
        let got = deployment.hold(vm, "mark", &use_key).await;
        assert_ne!(got.status, 200, "{}", got.text());
        assert_eq!(deployment.executions("mark"), 1);
    }
}
