//! A new call uses no KV cache state of another weight version, and a response never mixes two
//! versions.

use std::time::Duration;

use actix_http::Method;
use cumintrail_tests::cluster::{CALLER_KEY, Plan, eventually};
use cumintrail_tests::deployment::{Deployment, IN_FORCE_LIMIT, RESPONSE_TIMEOUT, Reply};
use cumintrail_tests::http::send;
use cumintrail_tests::standins::engine::{CORRUPTED_TEXT, Fault, Limits, response_text};
use cumintrail_tests::standins::relay::Mode;
use cumintrail_types::{FencingNumber, WeightVersion};
use cumintrail_wire::engine::LoadOrder;

const BINARY: &str = env!("CARGO_BIN_EXE_cumintrail-tests");
const BLOCKS: usize = 8;
const TOKENS: u32 = 40;
const OLD: WeightVersion = WeightVersion(1);
const NEW: WeightVersion = WeightVersion(2);

fn catalogue() -> String {
    "queso de bola, 400 g; ".repeat(BLOCKS * 400 / 22 + 2)
}

fn plan(engines: usize, daemons: usize) -> Plan {
    let token_time = Duration::from_millis(25);
    let engine = Limits { prefill_per_second: 5_000, token_time, ..Limits::default() };
    Plan { engines, daemons, services: 0, engine, ..Plan::default() }
}

/// Declares another weight version and loads it on all engines, as in an operator's swap.
async fn swap(deployment: &Deployment, version: WeightVersion) {
    let text = deployment.text.replace("version = 1", &format!("version = {version}"));
    let generation = deployment.reapply(&text).await.unwrap();
    for vm in 0..deployment.vms.len() {
        assert!(deployment.in_force(vm, generation, IN_FORCE_LIMIT).await);
    }
    for engine in 0..deployment.engines.len() {
        load(deployment, engine, version).await;
    }
}

/// Sends a load order directly to an engine, bypassing the daemons: a daemon that lags behind sees
/// a swap in the same way.
async fn load(deployment: &Deployment, engine: usize, version: WeightVersion) {
    // The fencing number is above any that a daemon assigns in a test.
    let order = LoadOrder { fencing: FencingNumber(1_000_000 + version.0), version };
    let body = serde_json::to_vec(&order).unwrap();
    let at = deployment.engines[engine].address();
    let got = send(Method::POST, at, "/v1/orders", &[], body, RESPONSE_TIMEOUT).await;
    assert_eq!(got.status, 200);
}

fn version_of(reply: &Reply, prompt: &str) -> Option<WeightVersion> {
    let text = |version| response_text(prompt, version, TOKENS as usize);
    (1..=20).map(WeightVersion).find(|version| reply.text == text(*version))
}

async fn known_everywhere(deployment: &Deployment, version: u64) -> bool {
    let known = |dump: &serde_json::Value| {
        let targets = dump["targets"].as_array().cloned().unwrap_or_default();
        targets.iter().all(|t| t["version"] == version)
    };
    for vm in 0..deployment.vms.len() {
        if !deployment.until(vm, RESPONSE_TIMEOUT, known).await {
            return false;
        }
    }
    true
}

#[actix_rt::test]
async fn state_of_the_old_version_is_neither_imported_nor_reused_after_a_swap() {
    let deployment = Deployment::spawn(BINARY, &plan(1, 1)).await.unwrap();
    let prompt = catalogue();
    assert!(deployment.store_prompt(CALLER_KEY, &prompt, BLOCKS).await);
    assert!(deployment.ask(0, CALLER_KEY, &prompt, TOKENS).await.reused() > 0);
    swap(&deployment, NEW).await;
    assert!(known_everywhere(&deployment, NEW.0).await);

    let reply = deployment.ask(0, CALLER_KEY, &prompt, TOKENS).await;
    assert!(reply.whole && !reply.text.contains(CORRUPTED_TEXT), "{reply:?}");
    assert_eq!(version_of(&reply, &prompt), Some(NEW));
    assert_eq!(reply.reused(), 0, "the new version used state of the old version: {reply:?}");
    // The blocks of the new version are stored in addition to those of the old version.
    let written = || deployment.stores[0].blocks().len() >= 2 * BLOCKS;
    assert!(eventually(RESPONSE_TIMEOUT, written).await);
}

#[actix_rt::test]
async fn a_run_that_goes_on_across_a_swap_keeps_its_version() {
    for lost in [None, Some(Mode::Cut), Some(Mode::SilenceOpen)] {
        let deployment = Deployment::spawn(BINARY, &plan(1, 1)).await.unwrap();
        let asked = deployment.ask_until_streaming(0, CALLER_KEY, "spelling", TOKENS).await;
        swap(&deployment, NEW).await;
        if let Some(mode) = lost {
            deployment.engine_links[0].set(mode);
            deployment.engine_links[0].set(Mode::Pass);
        }
        let reply = asked.await.unwrap();
        assert!(reply.whole, "{lost:?}: {reply:?}");
        assert_eq!(version_of(&reply, "spelling"), Some(OLD), "{lost:?}");
    }
}

#[actix_rt::test]
async fn an_answer_that_outlives_its_engine_is_not_finished_by_another_version() {
    let deployment = Deployment::spawn(BINARY, &plan(2, 1)).await.unwrap();
    let asked = deployment.ask_until_streaming(0, CALLER_KEY, "spelling", TOKENS).await;
    let engine = deployment.busiest_engine();
    load(&deployment, 1 - engine, NEW).await;
    let swapped = |dump: &serde_json::Value| {
        dump["targets"].as_array().is_some_and(|t| t.iter().any(|t| t["version"] == NEW.0))
    };
    assert!(deployment.until(0, RESPONSE_TIMEOUT, swapped).await);
    let forget = Fault { forget_streams: true, ..Fault::default() };
    deployment.engines[engine].set_fault(forget);
    deployment.engine_links[engine].set(Mode::Cut);
    let reply = asked.await.unwrap();
    let old = response_text("spelling", OLD, TOKENS as usize);
    assert!(old.starts_with(&reply.text), "two versions are mixed: {reply:?}");
    assert!(!reply.whole || reply.text == old, "{reply:?}");
}

#[actix_rt::test]
async fn answers_during_repeated_swaps_are_each_of_one_version() {
    let deployment = Deployment::spawn(BINARY, &plan(2, 2)).await.unwrap();
    let calls = (0..16).map(|i| {
        let at = deployment.vms[i % 2].callers.address();
        actix_rt::spawn(async move {
            let prompt = format!("{} {i}", catalogue());
            let mut replies = Vec::new();
            for _ in 0..3 {
                let ask = cumintrail_tests::deployment::ask;
                replies.push(ask(at, CALLER_KEY, &prompt, TOKENS, true).await);
            }
            (prompt, replies)
        })
    });
    let calls: Vec<_> = calls.collect();
    for version in 2..=4 {
        swap(&deployment, WeightVersion(version)).await;
    }
    let mut completed = 0;
    for call in calls {
        let (prompt, replies) = call.await.unwrap();
        for reply in replies.iter().filter(|r| !r.text.is_empty()) {
            assert!(!reply.text.contains(CORRUPTED_TEXT), "{reply:?}");
            let is_one_version = (1..=4).any(|version| {
                let text = response_text(&prompt, WeightVersion(version), TOKENS as usize);
                if reply.whole { text == reply.text } else { text.starts_with(&reply.text) }
            });
            assert!(is_one_version, "two versions are mixed: {}", reply.text);
            completed += usize::from(reply.whole);
        }
    }
    assert!(completed > 0, "no call completed during the swaps");
}
