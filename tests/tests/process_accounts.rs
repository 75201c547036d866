//! Client accounts with equal prompts share no state, and a response never reaches another call.

use std::time::Duration;

use cumintrail_tests::cluster::{CALLER_KEY, OTHER_KEY, Plan, eventually};
use cumintrail_tests::deployment::{Deployment, RESPONSE_TIMEOUT};
use cumintrail_tests::standins::engine::{FOREIGN_TEXT, Fault, Limits, response_text};
use cumintrail_types::WeightVersion;

const BINARY: &str = env!("CARGO_BIN_EXE_cumintrail-tests");
const BLOCKS: usize = 8;
const TOKENS: u32 = 4;

fn course_book() -> String {
    "Ana are mere. ".repeat(BLOCKS * 400 / 14 + 2)
}

fn plan() -> Plan {
    let engine = Limits { prefill_per_second: 5_000, ..Limits::default() };
    Plan { engines: 1, daemons: 1, services: 0, engine, ..Plan::default() }
}

async fn reused(deployment: &Deployment, key: &str) -> u32 {
    let reply = deployment.ask(0, key, &course_book(), TOKENS).await;
    let expected = response_text(&course_book(), WeightVersion(1), TOKENS as usize);
    assert_eq!((reply.whole, reply.text.as_str()), (true, expected.as_str()), "{reply:?}");
    reply.reused()
}

#[actix_rt::test]
async fn equal_prompts_of_two_accounts_share_neither_memory_nor_stores() {
    let deployment = Deployment::spawn(BINARY, &plan()).await.unwrap();
    assert_eq!(reused(&deployment, CALLER_KEY).await, 0);
    assert_eq!(reused(&deployment, OTHER_KEY).await, 0, "reused another account's engine memory");
    let written = || deployment.stores[0].blocks().len() >= 2 * BLOCKS;
    assert!(eventually(RESPONSE_TIMEOUT, written).await, "the accounts' blocks have equal keys");
}

#[actix_rt::test]
async fn a_restarted_daemon_keeps_the_listed_blocks_of_two_accounts_apart() {
    let mut deployment = Deployment::spawn(BINARY, &plan()).await.unwrap();
    assert!(deployment.store_prompt(CALLER_KEY, &course_book(), BLOCKS).await);
    deployment.restart(0).unwrap();
    deployment.wait_ready().await.unwrap();
    let listed = |dump: &serde_json::Value| dump["kept_blocks"].as_u64() >= Some(BLOCKS as u64);
    assert!(deployment.until(0, RESPONSE_TIMEOUT, listed).await);
    assert_eq!(reused(&deployment, OTHER_KEY).await, 0, "imported another account's blocks");
    deployment.engines[0].evict_all();
    assert!(reused(&deployment, CALLER_KEY).await > 0, "the account did not reuse its own blocks");
}

#[actix_rt::test]
async fn an_answer_with_a_foreign_call_id_is_dropped() {
    let deployment = Deployment::spawn(BINARY, &plan()).await.unwrap();
    let foreign = Fault { foreign_answers: true, ..Fault::default() };
    deployment.engines[0].set_fault(foreign);
    let reply = deployment.ask(0, CALLER_KEY, "dictation", TOKENS).await;
    assert!(!reply.text.contains(FOREIGN_TEXT) && !reply.whole, "{reply:?}");
    assert!(deployment.metrics(0).await.contains(r#"reason="foreign""#));
}

#[actix_rt::test]
async fn an_answer_that_turns_foreign_midway_is_finished_with_its_own_text() {
    let engine = Limits { token_time: Duration::from_millis(40), ..Limits::default() };
    let plan = Plan { engines: 2, engine, ..plan() };
    let deployment = Deployment::spawn(BINARY, &plan).await.unwrap();
    let asked = deployment.ask_until_streaming(0, CALLER_KEY, "dictation", 40).await;
    let busiest = deployment.busiest_engine();
    deployment.engines[busiest].set_fault(Fault { foreign_answers: true, ..Fault::default() });
    let reply = asked.await.unwrap();
    let expected = response_text("dictation", WeightVersion(1), 40);
    assert_eq!((reply.whole, reply.text), (true, expected));
}

#[actix_rt::test]
async fn concurrent_answers_of_two_accounts_do_not_cross_when_connections_break() {
    let engine = Limits { token_time: Duration::from_millis(20), ..Limits::default() };
    let plan = Plan { engines: 2, daemons: 2, services: 0, engine, ..Plan::default() };
    let deployment = Deployment::spawn(BINARY, &plan).await.unwrap();
    let calls = (0..12).map(|i| {
        let key = if i % 2 == 0 { CALLER_KEY } else { OTHER_KEY };
        let at = deployment.vms[i % 2].callers.address();
        actix_rt::spawn(async move {
            let prompt = format!("lesson {i}");
            let reply = cumintrail_tests::deployment::ask(at, key, &prompt, 40, true).await;
            (prompt, reply)
        })
    });
    let calls: Vec<_> = calls.collect();
    for round in 0..4 {
        let link = &deployment.engine_links[round % 2];
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        link.set(cumintrail_tests::standins::relay::Mode::Cut);
        link.set(cumintrail_tests::standins::relay::Mode::Pass);
    }
    for call in calls {
        let (prompt, reply) = call.await.unwrap();
        let expected = response_text(&prompt, WeightVersion(1), 40);
        assert!(expected.starts_with(&reply.text), "{prompt}: {reply:?}");
        assert!(!reply.whole || reply.text == expected, "{prompt}: {reply:?}");
    }
}
