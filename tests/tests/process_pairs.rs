//! Two simultaneous faults on different kinds of links truncate no response and execute no call
//! twice.

use std::time::Duration;

use cumintrail_tests::cluster::{CALLER_KEY, LOOPBACK, Plan};
use cumintrail_tests::deployment::{Deployment, RESPONSE_TIMEOUT};
use cumintrail_tests::standins::engine::{Limits, response_text};
use cumintrail_tests::standins::platform;
use cumintrail_tests::standins::relay::Mode;
use cumintrail_types::{Ran, WeightVersion};
use cumintrail_wire::caller::{Completion, IDEMPOTENCY_KEY_HEADER, RefusalBody, STREAM_END};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

const BINARY: &str = env!("CARGO_BIN_EXE_cumintrail-tests");
const BLOCKS: usize = 6;
const TOKENS: u32 = 40;
/// The number of bytes that a slow caller reads at a time.
const SLOW_READ_BYTES: usize = 256;
/// The pause of a slow caller between two reads.
const SLOW_READ_PAUSE: Duration = Duration::from_millis(5);

fn plan() -> Plan {
    let engine = Limits {
        token_time: Duration::from_millis(30),
        prefill_per_second: 3_000,
        ..Limits::default()
    };
    Plan { engines: 2, daemons: 2, engine, ..Plan::default() }
}

fn expected(prompt: &str, tokens: u32) -> String {
    response_text(prompt, WeightVersion(1), tokens as usize)
}

#[actix_rt::test]
async fn a_silent_store_and_a_killed_engine() {
    let prompt = "Queso de bola, lot 7. ".repeat(BLOCKS * 400 / 22 + 1);
    let mut deployment = Deployment::spawn(BINARY, &plan()).await.unwrap();
    assert!(deployment.store_prompt(CALLER_KEY, &prompt, BLOCKS).await);
    deployment.store_links[0].set(Mode::SilenceAll);
    let asked = deployment.ask_until_streaming(0, CALLER_KEY, &prompt, TOKENS).await;
    let engine = deployment.busiest_engine();
    deployment.replace_engine(engine).await.unwrap();
    let reply = asked.await.unwrap();
    assert_eq!((reply.whole, reply.text), (true, expected(&prompt, TOKENS)));
}

#[actix_rt::test]
async fn a_platform_that_is_down_and_a_cut_between_the_daemons() {
    let deployment = Deployment::spawn(BINARY, &plan()).await.unwrap();
    let down = platform::Fault { down: true, ..platform::Fault::default() };
    deployment.platform.set_fault(down);
    deployment.set_pair(0, 1, Mode::Cut);
    for vm in 0..2 {
        let (unkeyed, keyed) = (format!("unkeyed-{vm}"), format!("keyed-{vm}"));
        let reply = deployment.ask(vm, CALLER_KEY, &unkeyed, 3).await;
        assert!(reply.whole, "vm {vm}: {reply:?}");
        assert_eq!(deployment.hold(vm, &unkeyed, &[]).await.status, 200);
        let refused = deployment.hold(vm, &keyed, &[(IDEMPOTENCY_KEY_HEADER, &keyed)]).await;
        assert_eq!(refused.json::<RefusalBody>().unwrap().error.ran, Ran::No);
        assert_eq!((deployment.executions(&unkeyed), deployment.executions(&keyed)), (1, 0));
    }
    deployment.platform.set_fault(platform::Fault::default());
    let newest = cumintrail_cli::switch_preset(&deployment.access, "peak").await.unwrap();
    assert!(
        deployment.in_force_everywhere(newest).await,
        "the change is not in force after the platform's recovery"
    );
    let held = deployment.hold(1, "keyed-0", &[(IDEMPOTENCY_KEY_HEADER, "keyed-0")]).await;
    assert_eq!((held.status, deployment.executions("keyed-0")), (200, 1));
}

#[actix_rt::test]
async fn a_frozen_daemon_and_a_silent_platform() {
    let deployment = Deployment::spawn(BINARY, &plan()).await.unwrap();
    deployment.vms[0].process.signal(nix::sys::signal::Signal::SIGSTOP);
    deployment.vms[1].platform.set(Mode::SilenceAll);
    for call in 0..4 {
        let prompt = format!("lesson {call}");
        let reply = deployment.ask(1, CALLER_KEY, &prompt, TOKENS).await;
        assert_eq!((reply.whole, reply.text), (true, expected(&prompt, TOKENS)));
    }
    deployment.vms[0].process.signal(nix::sys::signal::Signal::SIGCONT);
    let newest = cumintrail_cli::switch_preset(&deployment.access, "peak").await.unwrap();
    assert!(deployment.in_force_everywhere(newest).await);
}

/// Opens a connection with a small receive buffer and requests a streamed response over it.
async fn ask_slowly(deployment: &Deployment, prompt: &str, tokens: u32) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(SLOW_READ_BYTES as u32).unwrap();
    socket.bind(LOOPBACK).unwrap();
    let at = deployment.vms[0].process.addresses[0];
    let mut caller = socket.connect(at).await.unwrap();
    let body = serde_json::json!({
        "model": "curd", "prompt": prompt, "max_tokens": tokens, "stream": true,
    });
    let body = body.to_string();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         content-type: application/json\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    caller.write_all((head + &body).as_bytes()).await.unwrap();
    caller
}

/// Reads the response in small steps; returns whether it had an end marker, and its text.
async fn read_slowly(mut caller: TcpStream) -> (bool, String) {
    let (mut raw, mut buf) = (Vec::new(), [0; SLOW_READ_BYTES]);
    while let Ok(read) = caller.read(&mut buf).await {
        if read == 0 {
            break;
        }
        raw.extend_from_slice(&buf[..read]);
        actix_rt::time::sleep(SLOW_READ_PAUSE).await;
    }
    let raw = String::from_utf8_lossy(&raw).into_owned();
    let events = raw.lines().filter_map(|line| line.strip_prefix("data: "));
    let texts = events.clone().filter_map(|data| serde_json::from_str::<Completion>(data).ok());
    let text = texts.flat_map(|c| c.choices).filter_map(|c| c.text).collect::<Vec<_>>().concat();
    (events.into_iter().any(|data| data == STREAM_END), text)
}

#[actix_rt::test]
async fn a_caller_that_reads_slowly_and_a_resumed_engine() {
    const LONG: u32 = 400;
    let engine = Limits { token_time: Duration::from_millis(2), ..plan().engine };
    let plan = Plan { engines: 1, daemons: 1, engine, ..plan() };
    for mode in [Mode::Cut, Mode::SilenceOpen] {
        let deployment = Deployment::spawn(BINARY, &plan).await.unwrap();
        let caller = ask_slowly(&deployment, "dictation", LONG).await;
        let reading = actix_rt::spawn(read_slowly(caller));
        let streaming = |dump: &serde_json::Value| {
            dump["calls"].as_array().is_some_and(|c| c.iter().any(|c| c["phase"] == "streaming"))
        };
        assert!(deployment.until(0, RESPONSE_TIMEOUT, streaming).await, "{mode:?}: ended early");
        deployment.engine_links[0].set(mode);
        deployment.engine_links[0].set(Mode::Pass);
        let read = actix_rt::time::timeout(RESPONSE_TIMEOUT, reading).await.unwrap().unwrap();
        assert_eq!(read, (true, expected("dictation", LONG)), "{mode:?}");
        assert_eq!(deployment.engines[0].started(), 1, "{mode:?}: computed a second time");
    }
}
