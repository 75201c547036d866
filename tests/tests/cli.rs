//! The operators' command line against real daemons.

use std::path::Path;
use std::time::Duration;

use actix_http::Method;
use clap::{CommandFactory, Parser};
use cumintrail_cli::drain::drain;
use cumintrail_cli::{Arguments, CliError, Missing, OperatorClient, run};
use cumintrail_client::{ClientError, ObjectStore};
use cumintrail_config::{Problem, Problems};
use cumintrail_tests::cluster::{CALLER_KEY, Cluster, OPERATOR_KEY, Plan, eventually};
use cumintrail_tests::http::send;
use cumintrail_tests::standins::{platform, service};
use cumintrail_types::{Digest, Generation};
use cumintrail_wire::caller::IDEMPOTENCY_KEY_HEADER;
use cumintrail_wire::operator::DrainRequest;
use cumintrail_wire::peer::material_name;
use serde_json::Value;

const LIMIT: Duration = Duration::from_secs(10);

/// Runs a command with JSON output.
async fn json(cluster: &Cluster, arguments: &[&str]) -> Result<Value, CliError> {
    let at = cluster.platform.address();
    let access = cluster.declarations.path().join("operator.conf");
    let text = format!(
        "[platform]\ntable = {at}\nobjects = {at}\nvm_list = {at}\n[operator]\nkey = {OPERATOR_KEY}\n"
    );
    std::fs::write(&access, text).unwrap();
    let path = access.display().to_string();
    let line = ["cumintrail", "--format", "json", "--access", &path];
    let parsed = Arguments::try_parse_from(line.iter().chain(arguments)).unwrap();
    let output = run(parsed).await?;
    Ok(serde_json::from_str(&output).unwrap_or_else(|e| panic!("{arguments:?}: {e}: {output}")))
}

fn append(directory: &Path, text: &str) {
    let path = directory.join("deployment.ini");
    let before = std::fs::read_to_string(&path).unwrap();
    std::fs::write(path, before + text).unwrap();
}

#[actix_rt::test]
async fn all_commands_write_json() {
    let cluster = Cluster::spawn(&Plan::default()).await.unwrap();
    let directory = cluster.declarations.path().display().to_string();
    assert_eq!(json(&cluster, &["check", &directory]).await.unwrap(), directory.as_str());
    let plan = json(&cluster, &["plan", &directory]).await.unwrap();
    assert_eq!(plan["preset"], "ordinary");
    let generation = json(&cluster, &["preset", "switch", "peak", "--wait", "5"]).await.unwrap();
    assert_eq!(generation, 2);
    assert_eq!(json(&cluster, &["apply", &directory, "--wait", "5"]).await.unwrap(), 2);
    let presets = json(&cluster, &["preset", "list"]).await.unwrap();
    assert_eq!(presets.as_array().map(Vec::len), Some(3));
    assert_eq!(json(&cluster, &["status"]).await.unwrap()["generation"], 2);
    assert_eq!(json(&cluster, &["dump", "--vm", "vm-0"]).await.unwrap()["vm"], "vm-0");
    assert!(json(&cluster, &["completions", "bash"]).await.unwrap().is_string());
    let unknown = json(&cluster, &["drain", "--target", "engine-9"]).await.unwrap_err();
    assert_eq!(unknown.exit_code(), 2, "{unknown}");
    let unknown = json(&cluster, &["lift", "00c0ffee00c0ffee"]).await.unwrap_err();
    assert_eq!(unknown.exit_code(), 2, "{unknown}");
}

#[actix_rt::test]
async fn a_drained_target_is_safe_only_after_its_last_call() {
    let cluster = Cluster::spawn(&Plan { engines: 1, ..Plan::default() }).await.unwrap();
    let at = cluster.daemons[1].caller_address();
    let ask = async move || {
        let bearer = format!("Bearer {CALLER_KEY}");
        let headers = [("authorization", bearer.as_str())];
        let body = r#"{"model":"curd","prompt":"age","max_tokens":1000}"#;
        send(Method::POST, at, "/v1/completions", &headers, body, LIMIT).await
    };
    let call = actix_rt::spawn(async move { ask().await });
    assert!(eventually(LIMIT, || cluster.engines[0].started() == 1).await);

    let request = DrainRequest::Target("engine-0".into());
    let not_drained = drain(&cluster.access, &request, Duration::ZERO).await.unwrap_err();
    assert_eq!(not_drained.exit_code(), 5);
    assert!(not_drained.to_string().contains("batangas"), "{not_drained}");
    let drained = drain(&cluster.access, &request, LIMIT).await.unwrap();
    assert!(drained.safe && call.is_finished(), "reported as safe before the call ended");
    assert!(call.await.unwrap().is_complete);
    assert_eq!(ask().await.status, 503, "a drained target got new work");
    assert_eq!(cluster.engines[0].started(), 1);
}

#[actix_rt::test]
async fn a_drained_vm_finishes_its_calls_and_takes_no_more() {
    let cluster = Cluster::spawn(&Plan::default()).await.unwrap();
    let request = DrainRequest::Vm("vm-1".into());
    drain(&cluster.access, &request, LIMIT).await.unwrap();
    assert!(!cluster.daemons[1].is_ready() && cluster.daemons[0].is_ready());
}

#[actix_rt::test]
async fn a_drained_vm_is_safe_only_when_its_outcomes_are_recorded() {
    let cluster = Cluster::spawn(&Plan::default()).await.unwrap();
    let slow = service::Fault { slow_ms: 300, ..service::Fault::default() };
    cluster.services[0].set_fault(slow);
    let (at, operators) =
        (cluster.daemons[1].caller_address(), cluster.daemons[1].operator_address());
    let (written, _) = cluster.platform.table_use();
    let call = actix_rt::spawn(async move {
        let bearer = format!("Bearer {CALLER_KEY}");
        let headers = [("authorization", bearer.as_str()), (IDEMPOTENCY_KEY_HEADER, "wheel-1")];
        send(Method::POST, at, "/services/holds/place", &headers, "a wheel", LIMIT).await
    });
    assert!(eventually(LIMIT, || cluster.platform.table_use().0 > written).await);
    cluster.platform.set_fault(platform::Fault { down: true, ..Default::default() });
    assert_eq!(call.await.unwrap().status, 200);

    let file = cluster.declarations.path().join("operator.conf");
    let table = cluster.platform.address();
    let text = format!(
        "[platform]\ntable = {table}\nobjects = {table}\nvm_list = {table}\n\
         [operator]\nkey = {OPERATOR_KEY}\ndaemons = {operators}\n"
    );
    std::fs::write(&file, text).unwrap();
    let access = OperatorClient::open(&file).unwrap();
    let request = DrainRequest::Vm("vm-1".into());
    let not_drained = drain(&access, &request, Duration::from_secs(1)).await.unwrap_err();
    assert!(not_drained.to_string().contains("1 outcome"), "{not_drained}");
    cluster.platform.set_fault(platform::Fault::default());
    assert!(drain(&access, &request, LIMIT).await.unwrap().safe);
}

#[actix_rt::test]
async fn a_text_file_of_shared_material_is_uploaded_and_named_by_its_digest() {
    let cluster = Cluster::spawn(&Plan::default()).await.unwrap();
    let directory = cluster.declarations.path();
    append(directory, "[material catalogue]\naccount = kesong\nmodel = curd\ntext_file = c.txt\n");
    let path = directory.display().to_string();
    let missing = json(&cluster, &["apply", &path]).await.unwrap_err();
    assert_eq!(missing.exit_code(), 2);
    let text = missing.to_string();
    assert!(text.contains("deployment.ini:") && text.contains("c.txt"), "{text}");

    std::fs::write(directory.join("c.txt"), "all our cheeses").unwrap();
    json(&cluster, &["apply", &path, "--wait", "5"]).await.unwrap();
    let name = material_name(&Digest::of(b"all our cheeses"));
    let stored = cluster.access.platform.get(&name).await.unwrap();
    assert_eq!(stored.as_deref(), Some(&b"all our cheeses"[..]));
}

#[test]
fn help_and_errors_read_well() {
    insta::assert_snapshot!("help", Arguments::command().term_width(100).render_long_help());
    let mut command = Arguments::command().term_width(100);
    let help = command.find_subcommand_mut("drain").unwrap().render_long_help();
    insta::assert_snapshot!("help_drain", help);

    let mut missing = Missing::default();
    missing.add("cluj", "10.0.0.7:7000: no answer");
    missing.add("sibiu", "10.0.0.8:7000: 2 calls in flight");
    let problem = Problem {
        file: "deployment.ini".into(),
        line: 7,
        message: "unknown key `adress`".into(),
        hint: "did you mean `address`?".into(),
    };
    let changes = "  set     [account kesong]\n  preset in force: peak".into();
    let what = "the platform".into();
    let hint = "the platform may be down; nothing is lost, try again";
    let errors = [
        CliError::Invalid { source: Problems(vec![problem]) },
        CliError::Usage { message: "no daemon of VM `x` answers".into(), hint: "look".into() },
        CliError::Unreachable { what, source: ClientError::NotSent, hint },
        CliError::Unsettled { source: ClientError::Timeout },
        CliError::Conflict { committed: Generation(8), changes },
        CliError::Unconfirmed { generation: Generation(8), missing: missing.clone() },
        CliError::NotDrained { name: "engine-0".into(), missing },
    ];
    let lines = errors.iter().map(|e| format!("{} {}\n{e}\n", e.exit_code(), e.code()));
    insta::assert_snapshot!("errors", lines.collect::<Vec<_>>().join("\n"));
}
