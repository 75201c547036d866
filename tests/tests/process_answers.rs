//! A caller receives the complete response to its own request, or can tell that it is incomplete.

use std::time::Duration;

use cumintrail_tests::cluster::{CALLER_KEY, Plan};
use cumintrail_tests::deployment::{Deployment, RESPONSE_TIMEOUT, Reply, ask};
use cumintrail_tests::standins::engine::{Fault, Limits, response_text};
use cumintrail_tests::standins::relay::Mode;
use cumintrail_types::{Ran, WeightVersion};
use nix::sys::signal::Signal;

const BINARY: &str = env!("CARGO_BIN_EXE_cumintrail-tests");
const PROMPT: &str = "draft a reply to the buyer in Iloilo";
const TOKENS: u32 = 50;

fn plan(engines: usize) -> Plan {
    let engine = Limits { token_time: Duration::from_millis(30), ..Limits::default() };
    Plan { engines, daemons: 1, services: 0, stores: 0, engine, ..Plan::default() }
}

fn expected() -> String {
    response_text(PROMPT, WeightVersion(1), TOKENS as usize)
}

fn assert_complete(reply: &Reply, fault: &str) {
    assert_eq!((reply.whole, &reply.text), (true, &expected()), "{fault}: {reply:?}");
}

/// Checks that the caller received a prefix of its own response that is not marked as complete.
fn assert_marked_incomplete(reply: &Reply, fault: &str) {
    assert!(!reply.whole, "{fault}: an incomplete response is marked as complete: {reply:?}");
    assert!(expected().starts_with(&reply.text), "{fault}: {reply:?}");
}

#[actix_rt::test]
async fn an_answer_goes_on_after_its_connection_to_the_target_is_lost() {
    for mode in [Mode::Cut, Mode::SilenceOpen] {
        let deployment = Deployment::spawn(BINARY, &plan(1)).await.unwrap();
        let call = deployment.ask_until_streaming(0, CALLER_KEY, PROMPT, TOKENS).await;
        deployment.engine_links[0].set(mode);
        deployment.engine_links[0].set(Mode::Pass);
        assert_complete(&call.await.unwrap(), &format!("{mode:?}"));
        assert_eq!(deployment.engines[0].started(), 1, "{mode:?}: computed a second time");
    }
}

#[actix_rt::test]
async fn an_answer_goes_on_at_another_target() {
    type Break = fn(&Deployment, usize);
    let breaks: [(&str, Break); 4] = [
        ("the link stays silent", |d, i| d.engine_links[i].set(Mode::SilenceAll)),
        ("the link stays cut", |d, i| d.engine_links[i].set(Mode::Cut)),
        ("streams are forgotten", |d, i| {
            d.engines[i].set_fault(Fault { forget_streams: true, ..Fault::default() });
            d.engine_links[i].set(Mode::Cut);
            d.engine_links[i].set(Mode::Pass);
        }),
        ("each connection goes silent", |d, i| {
            d.engines[i].set_fault(Fault { silent_after: 5, ..Fault::default() });
        }),
    ];
    for (fault, cause) in breaks {
        let deployment = Deployment::spawn(BINARY, &plan(2)).await.unwrap();
        let call = deployment.ask_until_streaming(0, CALLER_KEY, PROMPT, TOKENS).await;
        cause(&deployment, deployment.busiest_engine());
        assert_complete(&call.await.unwrap(), fault);
    }
}

#[actix_rt::test]
async fn an_answer_outlives_its_engine() {
    let mut deployment = Deployment::spawn(BINARY, &plan(2)).await.unwrap();
    let call = deployment.ask_until_streaming(0, CALLER_KEY, PROMPT, TOKENS).await;
    let engine = deployment.busiest_engine();
    deployment.replace_engine(engine).await.unwrap();
    assert_complete(&call.await.unwrap(), "the engine died");
}

#[actix_rt::test]
async fn an_answer_that_cannot_be_finished_does_not_look_whole() {
    let deployment = Deployment::spawn(BINARY, &plan(1)).await.unwrap();
    let at = deployment.vms[0].callers.address();
    let unstreamed = actix_rt::spawn(ask(at, CALLER_KEY, PROMPT, TOKENS, false));
    let streamed = deployment.ask_until_streaming(0, CALLER_KEY, PROMPT, TOKENS).await;
    let both = |dump: &serde_json::Value| {
        let calls = dump["calls"].as_array().cloned().unwrap_or_default();
        calls.iter().filter(|c| c["phase"] == "streaming").count() == 2
    };
    assert!(deployment.until(0, RESPONSE_TIMEOUT, both).await);
    deployment.engine_links[0].set(Mode::Cut);
    assert_marked_incomplete(&streamed.await.unwrap(), "streamed");
    let refusal = unstreamed.await.unwrap().refusal.expect("refused").error;
    assert_eq!(refusal.ran, Ran::Unknown, "the engine had started the call");
}

#[actix_rt::test]
async fn a_daemon_killed_mid_answer_leaves_a_visibly_broken_one() {
    let mut deployment = Deployment::spawn(BINARY, &plan(1)).await.unwrap();
    let call = deployment.ask_until_streaming(0, CALLER_KEY, PROMPT, TOKENS).await;
    deployment.vms[0].process.kill();
    assert_marked_incomplete(&call.await.unwrap(), "kill -9");
    deployment.restart(0).unwrap();
    deployment.wait_ready().await.unwrap();
    assert_complete(&deployment.ask(0, CALLER_KEY, PROMPT, TOKENS).await, "after the restart");
}

#[actix_rt::test]
async fn a_paused_daemon_finishes_its_answers_when_it_goes_on() {
    let deployment = Deployment::spawn(BINARY, &plan(2)).await.unwrap();
    let call = deployment.ask_until_streaming(0, CALLER_KEY, PROMPT, TOKENS).await;
    deployment.vms[0].process.signal(Signal::SIGSTOP);
    // Longer than the expected gap between two tokens, so every timer expires during the pause.
    actix_rt::time::sleep(Duration::from_millis(1_200)).await;
    deployment.vms[0].process.signal(Signal::SIGCONT);
    assert_complete(&call.await.unwrap(), "SIGSTOP and SIGCONT");
}

#[actix_rt::test]
async fn a_caller_whose_connection_is_lost_gets_the_answer_by_asking_again() {
    for mode in [Mode::Cut, Mode::SilenceOpen] {
        let deployment = Deployment::spawn(BINARY, &plan(1)).await.unwrap();
        let call = deployment.ask_until_streaming(0, CALLER_KEY, PROMPT, TOKENS).await;
        deployment.vms[0].callers.set(mode);
        deployment.vms[0].callers.set(Mode::Pass);
        let again = deployment.ask(0, CALLER_KEY, PROMPT, TOKENS).await;
        assert_complete(&again, &format!("{mode:?}"));
        match mode {
            Mode::Cut => assert_marked_incomplete(&call.await.unwrap(), "the first connection"),
            _ => call.abort(),
        }
    }
}

#[actix_rt::test]
async fn a_silent_link_and_an_outage_of_the_platform_together_cut_no_answer() {
    let deployment = Deployment::spawn(BINARY, &plan(2)).await.unwrap();
    let call = deployment.ask_until_streaming(0, CALLER_KEY, PROMPT, TOKENS).await;
    let down = cumintrail_tests::standins::platform::Fault { down: true, ..Default::default() };
    deployment.platform.set_fault(down);
    deployment.engine_links[deployment.busiest_engine()].set(Mode::SilenceAll);
    assert_complete(&call.await.unwrap(), "two faults");
    assert_complete(&deployment.ask(0, CALLER_KEY, PROMPT, TOKENS).await, "a new call");
}
