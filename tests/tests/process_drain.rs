//! A planned stop of a daemon or of a target interrupts no call.

use std::time::Duration;

use actix_http::Method;
use cumintrail_tests::cluster::{CALLER_KEY, OPERATOR_KEY, Plan};
use cumintrail_tests::deployment::{Deployment, RESPONSE_TIMEOUT, ask, hold};
use cumintrail_tests::http::send;
use cumintrail_tests::standins::engine::{Fault, Limits, response_text};
use cumintrail_types::{Ran, WeightVersion};
use cumintrail_wire::caller::RefusalBody;
use nix::sys::signal::Signal;

const BINARY: &str = env!("CARGO_BIN_EXE_cumintrail-tests");
const CALLS: usize = 12;
const TOKENS: u32 = 40;

fn plan(daemons: usize) -> Plan {
    let engine = Limits { token_time: Duration::from_millis(30), ..Limits::default() };
    Plan { engines: 2, daemons, services: 1, stores: 0, engine, ..Plan::default() }
}

#[actix_rt::test]
async fn a_stopping_daemon_finishes_its_calls_and_exits_cleanly() {
    let mut deployment = Deployment::spawn(BINARY, &plan(2)).await.unwrap();
    let at = deployment.vms[0].callers.address();
    let calls = (0..CALLS).map(|i| {
        actix_rt::spawn(async move {
            let prompt = format!("order {i}");
            (ask(at, CALLER_KEY, &prompt, TOKENS, i % 2 == 0).await, prompt)
        })
    });
    let calls: Vec<_> = calls.collect();
    deployment.services[0].set_fault(cumintrail_tests::standins::service::Fault {
        slow_ms: 800,
        ..Default::default()
    });
    let held = actix_rt::spawn(async move { hold(at, "the last wheel", &[]).await });
    let all_dispatched = |dump: &serde_json::Value| {
        let calls = dump["calls"].as_array().cloned().unwrap_or_default();
        calls.iter().filter(|c| c["phase"] != "queued").count() > CALLS
    };
    assert!(deployment.until(0, RESPONSE_TIMEOUT, all_dispatched).await);
    deployment.vms[0].process.signal(Signal::SIGTERM);

    // The readiness probe fails soon after the signal. A call that a load balancer still sends is
    // completed or refused with `ran: no`.
    let operators = deployment.vms[0].process.addresses[1];
    let key = format!("Bearer {OPERATOR_KEY}");
    let headers = [("authorization", key.as_str())];
    let not_ready = async {
        while send(Method::GET, operators, "/readyz", &headers, "", RESPONSE_TIMEOUT).await.status
            == 200
        {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
    };
    actix_rt::time::timeout(Duration::from_secs(5), not_ready).await.expect("still ready");
    let late = ask(at, CALLER_KEY, "late", 2, true).await;
    let refused = late.refusal.as_ref().is_some_and(|r| r.error.ran == Ran::No);
    assert!(late.whole || refused, "{late:?}");

    for call in calls {
        let (reply, prompt) = call.await.unwrap();
        let expected = response_text(&prompt, WeightVersion(1), TOKENS as usize);
        assert_eq!((reply.whole, reply.text), (true, expected), "{prompt}");
    }
    assert_eq!(held.await.unwrap().status, 200);
    let status = deployment.vms[0].process.ended(RESPONSE_TIMEOUT).await;
    assert!(status.is_some_and(|s| s.success()), "{status:?}");
    assert!(deployment.ask(1, CALLER_KEY, "elsewhere", 2).await.whole);
}

#[actix_rt::test]
async fn a_rolling_stop_of_all_daemons_cuts_no_call_of_callers_that_follow_readiness() {
    let mut deployment = Deployment::spawn(BINARY, &plan(2)).await.unwrap();
    for stopped in 0..2 {
        let at = deployment.vms[stopped].callers.address();
        let calls = (0..6).map(|i| {
            actix_rt::spawn(async move { ask(at, CALLER_KEY, &format!("{i}"), 20, true).await })
        });
        let calls: Vec<_> = calls.collect();
        let all_received = |dump: &serde_json::Value| {
            dump["calls"].as_array().is_some_and(|calls| calls.len() == 6)
        };
        assert!(deployment.until(stopped, RESPONSE_TIMEOUT, all_received).await);
        deployment.vms[stopped].process.signal(Signal::SIGTERM);
        for call in calls {
            assert!(call.await.unwrap().whole);
        }
        let status = deployment.vms[stopped].process.ended(RESPONSE_TIMEOUT).await;
        assert!(status.is_some_and(|s| s.success()));
        deployment.restart(stopped).unwrap();
        deployment.wait_ready().await.unwrap();
    }
}

#[actix_rt::test]
async fn a_leaving_target_finishes_what_it_runs() {
    let deployment = Deployment::spawn(BINARY, &plan(1)).await.unwrap();
    let mut calls = Vec::new();
    for i in 0..6 {
        let prompt = format!("lesson {i}");
        let asked = deployment.ask_until_streaming(0, CALLER_KEY, &prompt, TOKENS).await;
        calls.push((prompt, asked));
    }
    let leaving = deployment.busiest_engine();
    deployment.engines[leaving].set_fault(Fault { leaving: true, ..Fault::default() });
    for (prompt, call) in calls {
        let reply = call.await.unwrap();
        let expected = response_text(&prompt, WeightVersion(1), TOKENS as usize);
        assert_eq!((reply.whole, reply.text), (true, expected), "{prompt}");
    }
    // The state that an operator checks before stopping the VM.
    let drained = |dump: &serde_json::Value| {
        let targets = dump["targets"].as_array().cloned().unwrap_or_default();
        targets.iter().any(|t| t["leaving"] == true && t["in_flight"] == 0)
    };
    assert!(deployment.until(0, RESPONSE_TIMEOUT, drained).await);
}

#[actix_rt::test]
async fn a_daemon_that_takes_no_more_work_says_that_a_call_did_not_run() {
    let deployment = Deployment::spawn(BINARY, &plan(1)).await.unwrap();
    let asked = deployment.ask_until_streaming(0, CALLER_KEY, "long", 100).await;
    deployment.vms[0].process.signal(Signal::SIGTERM);
    let stopping = |dump: &serde_json::Value| dump["stopping"] == true;
    assert!(deployment.until(0, RESPONSE_TIMEOUT, stopping).await);
    let got = deployment.hold(0, "too late", &[]).await;
    let refusal: RefusalBody = got.json().unwrap_or_else(|| panic!("{}", got.text()));
    assert_eq!(refusal.error.ran, Ran::No);
    assert!(refusal.error.retry_after_ms.is_some());
    assert!(asked.await.unwrap().whole);
    assert_eq!(deployment.executions("too late"), 0);
}
