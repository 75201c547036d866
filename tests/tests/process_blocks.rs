//! No response is computed from a stored block that was freed, torn, replaced or damaged.

use std::time::Duration;

use actix_http::Method;
use cumintrail_tests::cluster::{CALLER_KEY, Plan, eventually};
use cumintrail_tests::deployment::{Deployment, RESPONSE_TIMEOUT, Reply, ask};
use cumintrail_tests::http::send;
use cumintrail_tests::standins::engine::{CORRUPTED_TEXT, Limits, response_text};
use cumintrail_tests::standins::relay::Mode;
use cumintrail_tests::standins::store::Fault;
use cumintrail_types::{Digest, WeightVersion, WriteId};
use cumintrail_wire::store::{DIGEST_HEADER, WRITE_ID_HEADER};

const BINARY: &str = env!("CARGO_BIN_EXE_cumintrail-tests");
const BLOCKS: usize = 12;
const BLOCK_TEXT_BYTES: usize = 400;
const TOKENS: u32 = 6;

fn catalogue() -> String {
    let line = |i| format!("{i}: kesong puti, lot {}\n", i * 7 % 101);
    let mut text: String = (0..400).map(line).collect();
    text.truncate(BLOCKS * BLOCK_TEXT_BYTES + 11);
    text
}

/// Prefill is so slow that every placement policy imports stored blocks where there are any.
fn plan() -> Plan {
    let engine = Limits { prefill_per_second: 3_000, ..Limits::default() };
    Plan { engines: 1, daemons: 1, services: 0, engine, ..Plan::default() }
}

async fn spawn_with_stored_blocks() -> Deployment {
    let deployment = Deployment::spawn(BINARY, &plan()).await.unwrap();
    assert!(
        deployment.store_prompt(CALLER_KEY, &catalogue(), BLOCKS).await,
        "the blocks of the prompt were not stored"
    );
    deployment
}

async fn ask_again(deployment: &Deployment) -> Reply {
    let reply = deployment.ask(0, CALLER_KEY, &catalogue(), TOKENS).await;
    assert!(!reply.text.contains(CORRUPTED_TEXT), "computed from the wrong state: {}", reply.text);
    assert!(reply.whole, "{reply:?}");
    assert_eq!(reply.text, response_text(&catalogue(), WeightVersion(1), TOKENS as usize));
    reply
}

#[actix_rt::test]
async fn intact_state_is_imported() {
    let deployment = spawn_with_stored_blocks().await;
    let reply = ask_again(&deployment).await;
    assert!(reply.usage.unwrap().imported_tokens > 0, "{reply:?}");
}

#[actix_rt::test]
async fn a_block_with_damaged_bytes_and_an_unchanged_seal_is_a_miss() {
    let deployment = spawn_with_stored_blocks().await;
    deployment.stores[0].corrupt_all();
    let reply = ask_again(&deployment).await;
    assert_eq!(reply.usage.unwrap().imported_tokens, 0);
    assert!(deployment.metrics(0).await.contains(r#"outcome="mismatch""#));
}

#[actix_rt::test]
async fn a_torn_write_is_a_miss() {
    let deployment = Deployment::spawn(BINARY, &plan()).await.unwrap();
    deployment.stores[0].set_fault(Fault { torn_writes: true, ..Fault::default() });
    assert!(deployment.store_prompt(CALLER_KEY, &catalogue(), BLOCKS).await);
    let reply = ask_again(&deployment).await;
    assert_eq!(reply.usage.unwrap().imported_tokens, 0);
    assert!(deployment.metrics(0).await.contains(r#"outcome="mismatch""#));
}

#[actix_rt::test]
async fn a_freed_block_is_a_miss() {
    let deployment = spawn_with_stored_blocks().await;
    deployment.stores[0].free_all();
    let reply = ask_again(&deployment).await;
    assert_eq!(reply.usage.unwrap().imported_tokens, 0);
}

#[actix_rt::test]
async fn a_freed_and_reused_place_is_a_miss() {
    let deployment = spawn_with_stored_blocks().await;
    let store = &deployment.stores[0];
    let old = store.blocks();
    store.free_all();
    for (i, sealed) in old.iter().enumerate() {
        let bytes = vec![i as u8; sealed.length.0 as usize];
        let write_id = WriteId([i as u8; 16]).to_string();
        let digest = Digest::of(&bytes).to_string();
        let headers = [(WRITE_ID_HEADER, write_id.as_str()), (DIGEST_HEADER, digest.as_str())];
        let path = format!("/blocks/{}", sealed.key);
        let got =
            send(Method::PUT, store.address(), &path, &headers, bytes, RESPONSE_TIMEOUT).await;
        assert_eq!(got.status, 200);
    }
    let reply = ask_again(&deployment).await;
    assert_eq!(reply.usage.unwrap().imported_tokens, 0);
}

/// Starts a call and returns once the store has begun to send a block for it.
async fn ask_until_transfer(deployment: &Deployment) -> actix_rt::task::JoinHandle<Reply> {
    let before = deployment.stores[0].sent_bytes();
    let at = deployment.vms[0].callers.address();
    let asked =
        actix_rt::spawn(async move { ask(at, CALLER_KEY, &catalogue(), TOKENS, true).await });
    let store = deployment.stores[0].clone();
    let started = || store.sent_bytes() > before;
    assert!(eventually(RESPONSE_TIMEOUT, started).await);
    asked
}

#[actix_rt::test]
async fn a_store_that_dies_or_is_lost_mid_transfer_costs_no_answer() {
    for mode in [None, Some(Mode::Cut), Some(Mode::SilenceOpen), Some(Mode::SilenceAll)] {
        let mut deployment = spawn_with_stored_blocks().await;
        // A block takes longer than any policy waits for it, so the fault hits an open transfer.
        deployment.stores[0].set_fault(Fault { slow_factor: 1_000_000, ..Fault::default() });
        let asked = ask_until_transfer(&deployment).await;
        match mode {
            Some(mode) => deployment.store_links[0].set(mode),
            None => deployment.replace_store(0).await.unwrap(),
        }
        let reply = asked.await.unwrap();
        let expected = response_text(&catalogue(), WeightVersion(1), TOKENS as usize);
        assert_eq!((reply.whole, reply.text.as_str()), (true, expected.as_str()), "{mode:?}");
        // The next call finds the store unreachable, silent or empty, and must also complete.
        deployment.engines[0].evict_all();
        ask_again(&deployment).await;
    }
}

#[actix_rt::test]
async fn a_daemon_killed_mid_import_leaves_nothing_that_a_later_answer_uses_wrongly() {
    let mut deployment = spawn_with_stored_blocks().await;
    deployment.stores[0].set_fault(Fault { slow_factor: 1_000, ..Fault::default() });
    let asked = ask_until_transfer(&deployment).await;
    deployment.vms[0].process.kill();
    assert!(!asked.await.unwrap().whole);
    deployment.stores[0].set_fault(Fault::default());
    deployment.stores[0].corrupt_all();
    deployment.restart(0).unwrap();
    deployment.wait_ready().await.unwrap();
    let known = |dump: &serde_json::Value| dump["kept_blocks"].as_u64() >= Some(BLOCKS as u64);
    assert!(
        deployment.until(0, Duration::from_secs(10), known).await,
        "the stored blocks were not listed after a restart"
    );
    ask_again(&deployment).await;
}
