//! Tests the exit codes, messages and logs of the binaries as real processes.

use std::io::Read;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::Duration;

use actix_http::Method;
use cumintrail_tests::cluster::{
    CALLER_KEY, Cluster, LOOPBACK, OPERATOR_KEY, Plan, domain, settings_text,
};
use cumintrail_tests::http::send;
use cumintrail_tests::standins::engine::response_text;
use cumintrail_types::WeightVersion;
use cumintrail_wire::platform::{ListedRole, ListedVm};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

const BINARY: &str = env!("CARGO_BIN_EXE_cumintrail-tests");
const LIMIT: Duration = Duration::from_secs(10);
const PROMPT: &str = "sixteen wheels for the sari-sari store";
/// All secret keys in the settings files that the tests write.
const SECRETS: [&str; 3] = [OPERATOR_KEY, "peer-key-for-all-tests", "block-secret-for-tests"];

fn run(arguments: &[&str]) -> Output {
    Command::new(BINARY).args(arguments).output().unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn write(directory: &Path, name: &str, text: &str) -> PathBuf {
    let path = directory.join(name);
    std::fs::write(&path, text).unwrap();
    path
}

fn access_text(platform: std::net::SocketAddr) -> String {
    format!(
        "[platform]\ntable = {platform}\nobjects = {platform}\nvm_list = {platform}\n\
         [operator]\nkey = {OPERATOR_KEY}\n"
    )
}

#[test]
fn good_settings_pass_the_check() {
    let directory = tempfile::tempdir().unwrap();
    let text = settings_text(0, LOOPBACK, LOOPBACK, LOOPBACK, &[]);
    let path = write(directory.path(), "vm.ini", &text);
    let output = run(&["cumintraild", "--settings", path.to_str().unwrap(), "--check"]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
}

#[test]
fn wrong_settings_name_file_line_and_remedy() {
    let directory = tempfile::tempdir().unwrap();
    let text = settings_text(0, LOOPBACK, LOOPBACK, LOOPBACK, &[])
        .replace("stop_grace_ms", "stop_grase_ms");
    let line = text.lines().position(|l| l.starts_with("stop_grase_ms")).unwrap() + 1;
    let path = write(directory.path(), "vm.ini", &text);
    for check in [&["--check"][..], &[]] {
        let path = path.to_str().unwrap();
        let arguments = [&["cumintraild", "--settings", path], check].concat();
        let output = run(&arguments);
        assert_eq!(output.status.code(), Some(2));
        let expected = format!(
            "{path}:{line}: unknown key `stop_grase_ms`\n  hint: did you mean `stop_grace_ms`?\n"
        );
        assert_eq!(stderr(&output), expected);
    }
}

#[test]
fn an_address_in_use_is_named_with_its_setting() {
    let listener = std::net::TcpListener::bind(LOOPBACK).unwrap();
    let address = listener.local_addr().unwrap();
    let directory = tempfile::tempdir().unwrap();
    let text = settings_text(0, address, LOOPBACK, LOOPBACK, &[]);
    let path = write(directory.path(), "vm.ini", &text);
    let output = run(&["cumintraild", "--settings", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(3));
    let text = stderr(&output);
    assert!(text.contains(&address.to_string()) && text.contains("caller_address"), "{text}");
}

#[test]
fn the_command_line_fails_with_documented_codes() {
    let directory = tempfile::tempdir().unwrap();
    let declarations = directory.path().join("declarations");
    std::fs::create_dir(&declarations).unwrap();
    write(&declarations, "a.ini", "[deployment]\nfirst_preset = ordinary\n");
    let declarations = declarations.to_str().unwrap();
    let wrong = run(&["cumintrail", "check", declarations]);
    assert_eq!(wrong.status.code(), Some(2));
    assert!(stderr(&wrong).contains("a.ini:2: preset `ordinary`"), "{}", stderr(&wrong));

    let closed = std::net::TcpListener::bind(LOOPBACK).unwrap().local_addr().unwrap();
    let access = write(directory.path(), "operator.ini", &access_text(closed));
    let access = access.to_str().unwrap();
    let unreachable = run(&["cumintrail", "--access", access, "status"]);
    assert_eq!(unreachable.status.code(), Some(3));
    assert!(stderr(&unreachable).contains("hint:"), "{}", stderr(&unreachable));
}

/// Runs a command on another thread, so that the stand-ins' thread is not blocked.
async fn run_on_thread(arguments: Vec<String>) -> Output {
    let blocking = move || Command::new(BINARY).args(arguments).output().unwrap();
    actix_rt::task::spawn_blocking(blocking).await.unwrap()
}

#[actix_rt::test]
async fn a_daemon_that_has_not_confirmed_is_named() {
    let cluster = Cluster::spawn(&Plan::default()).await.unwrap();
    let silent = std::net::TcpListener::bind(LOOPBACK).unwrap().local_addr().unwrap();
    let mut listed: Vec<ListedVm> = cluster
        .daemons
        .iter()
        .enumerate()
        .map(|(i, daemon)| ListedVm {
            address: daemon.operator_address(),
            domain: domain(i),
            role: ListedRole::Daemon,
            leaving: false,
        })
        .collect();
    let unreachable = ListedVm {
        address: silent,
        domain: "bulacan".into(),
        role: ListedRole::Daemon,
        leaving: false,
    };
    listed.push(unreachable);
    cluster.platform.list_vms(listed);

    let directory = tempfile::tempdir().unwrap();
    let access = access_text(cluster.platform.address());
    let access = write(directory.path(), "operator.ini", &access).display().to_string();
    let arguments = ["cumintrail", "--access", &access, "preset", "switch", "peak", "--wait", "2"];
    let output = run_on_thread(arguments.map(String::from).into()).await;
    assert_eq!(output.status.code(), Some(5), "{}", stderr(&output));
    let expected = format!("not confirmed by: bulacan ({silent})");
    assert!(stderr(&output).contains(&expected), "{}", stderr(&output));

    let arguments = ["cumintrail", "--access", &access, "status"];
    let output = run_on_thread(arguments.map(String::from).into()).await;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let headline = "generation 2 is in force in 2 of 3 failure domains; not confirmed by: bulacan";
    assert!(text.starts_with(headline), "{text}");
    assert!(!text.contains('\x1b'), "colour codes without a terminal: {text}");
}

/// Starts a daemon process with JSON logs, lets it serve a call, stops it, and returns its log.
async fn logged_run(cluster: &Cluster) -> String {
    let directory = tempfile::tempdir().unwrap();
    let text = settings_text(7, LOOPBACK, LOOPBACK, cluster.platform.address(), &[]);
    let path = write(directory.path(), "vm.ini", &(text + "[log]\nformat = json\nlevel = debug\n"));
    let mut child = Command::new(BINARY)
        .args(["cumintraild", "--settings", path.to_str().unwrap()])
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut first = String::new();
    let stdout = child.stdout.as_mut().unwrap();
    std::io::BufRead::read_line(&mut std::io::BufReader::new(stdout), &mut first).unwrap();
    let at = first.split_whitespace().find_map(|word| word.parse().ok()).unwrap();
    let ready = || async { send(Method::GET, at, "/readyz", &[], "", LIMIT).await.status == 200 };
    while !ready().await {
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    let response = complete(at).await;
    assert!(response.contains(&response_text(PROMPT, WeightVersion(1), 3)), "{response}");
    kill(Pid::from_raw(child.id().cast_signed()), Signal::SIGTERM).unwrap();
    let log = actix_rt::task::spawn_blocking(move || {
        let mut log = String::new();
        child.stderr.take().unwrap().read_to_string(&mut log).unwrap();
        assert_eq!(child.wait().unwrap().code(), Some(0));
        log
    });
    log.await.unwrap()
}

async fn complete(at: std::net::SocketAddr) -> String {
    let bearer = format!("Bearer {CALLER_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let body = serde_json::json!({ "model": "curd", "prompt": PROMPT, "max_tokens": 3 });
    send(Method::POST, at, "/v1/completions", &headers, body.to_string(), LIMIT).await.text()
}

#[actix_rt::test]
async fn logs_are_json_objects_of_state_changes_without_secrets() {
    let cluster = Cluster::spawn(&Plan::default()).await.unwrap();
    let log = logged_run(&cluster).await;
    let messages: Vec<String> = log
        .lines()
        .map(|line| {
            let entry: serde_json::Value =
                serde_json::from_str(line).unwrap_or_else(|_| panic!("not JSON: {line}"));
            assert!(entry["time"].is_string() && entry["level"].is_string(), "{line}");
            entry["message"].as_str().unwrap().to_owned()
        })
        .collect();
    for expected in ["serves callers on", "generation 1 is in force", "begins a planned stop"] {
        assert!(messages.iter().any(|m| m.contains(expected)), "{expected}: {messages:?}");
    }
    assert_no_secret("log", &log);
}

fn assert_no_secret(place: &str, text: &str) {
    let output = response_text(PROMPT, WeightVersion(1), 3);
    let hidden = SECRETS.iter().copied().chain([CALLER_KEY, PROMPT, output.trim()]);
    for secret in hidden {
        assert!(!text.contains(secret), "{place} shows `{secret}`: {text}");
    }
}

#[actix_rt::test]
async fn no_secret_prompt_or_answer_is_shown_to_operators() {
    cumintrail_daemon::install_recorder();
    let cluster = Cluster::spawn(&Plan::default()).await.unwrap();
    let daemon = &cluster.daemons[0];
    complete(daemon.caller_address()).await;
    let bearer = format!("Bearer {OPERATOR_KEY}");
    let headers = [("authorization", bearer.as_str())];
    for path in ["/debug/state", "/operator/status", "/metrics"] {
        let got = send(Method::GET, daemon.operator_address(), path, &headers, "", LIMIT).await;
        assert_eq!(got.status, 200, "{path}");
        assert_no_secret(path, &got.text());
        let without_key = send(Method::GET, daemon.operator_address(), path, &[], "", LIMIT).await;
        assert_eq!(without_key.status, 401, "{path} without a key");
        let bearer = format!("Bearer {CALLER_KEY}");
        let headers = [("authorization", bearer.as_str())];
        let with_caller_key =
            send(Method::GET, daemon.operator_address(), path, &headers, "", LIMIT).await;
        assert_eq!(with_caller_key.status, 401, "{path} with a caller's key");
    }
}
