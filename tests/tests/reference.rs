//! Checks that docs/OPERATIONS.md lists exactly the settings, declarations, refusal codes, exit
//! codes and metrics of the code.

use std::collections::BTreeSet;
use std::time::Duration;

use actix_http::Method;
use cumintrail_cli::CliError;
use cumintrail_config::{KeyReference, SectionReference, Settings, Snapshot};
use cumintrail_daemon::{EXIT_CODES, METRICS, MetricKind, install_recorder};
use cumintrail_tests::cluster::{CALLER_KEY, Cluster, OPERATOR_KEY, Plan};
use cumintrail_tests::http::send;
use cumintrail_types::RefusalCode;

const PAGE: &str = include_str!("../../docs/OPERATIONS.md");
const LIMIT: Duration = Duration::from_secs(10);

/// Returns the rows of the first table below a heading, as trimmed cells.
fn table(heading: &str) -> Vec<Vec<String>> {
    let (_, rest) = PAGE
        .split_once(&format!("\n{heading}\n"))
        .unwrap_or_else(|| panic!("docs/OPERATIONS.md lacks the heading `{heading}`"));
    let lines = rest.lines().skip_while(|line| !line.starts_with('|'));
    let rows = lines.take_while(|line| line.starts_with('|')).skip(2);
    let cells = |row: &str| row.trim_matches('|').split('|').map(|c| c.trim().into()).collect();
    rows.map(cells).collect()
}

fn first_column(heading: &str) -> BTreeSet<String> {
    table(heading).iter().map(|row| row[0].trim_matches('`').to_owned()).collect()
}

fn or_none(text: &str) -> &str {
    if text.is_empty() { "none" } else { text }
}

fn check_keys(section: &SectionReference) {
    let rows: Vec<Vec<String>> =
        table(&format!("#### `[{}]`", section.kind)).into_iter().map(|r| r[..3].into()).collect();
    let row = |k: &KeyReference| {
        vec![format!("`{}`", k.key), or_none(&k.default).into(), or_none(&k.range).into()]
    };
    let expected: Vec<Vec<String>> = section.keys.iter().map(row).collect();
    let format_rows = |rows: &[Vec<String>]| {
        rows.iter().map(|r| format!("| {} |", r.join(" | "))).collect::<Vec<_>>().join("\n")
    };
    assert_eq!(format_rows(&rows), format_rows(&expected), "section [{}]", section.kind);
}

#[test]
fn all_settings_are_documented_with_default_and_range() {
    Settings::reference().iter().for_each(check_keys);
}

#[test]
fn all_declarations_are_documented_with_default_and_range() {
    Snapshot::reference().iter().for_each(check_keys);
}

#[test]
fn all_refusal_codes_are_documented_with_their_status() {
    let expected: Vec<(String, String)> = RefusalCode::ALL
        .iter()
        .map(|code| (format!("`{code}`"), code.status().to_string()))
        .collect();
    let rows = table("### Refusal codes");
    let documented: Vec<(String, String)> =
        rows.iter().map(|row| (row[0].clone(), row[1].clone())).collect();
    assert_eq!(documented, expected);
}

#[test]
fn all_exit_codes_are_documented() {
    let text = |codes: &[u8]| -> BTreeSet<String> {
        codes.iter().chain(&[0]).map(ToString::to_string).collect()
    };
    assert_eq!(first_column("#### Exit codes of `cumintraild`"), text(&EXIT_CODES));
    assert_eq!(first_column("#### Exit codes of `cumintrail`"), text(&CliError::EXIT_CODES));
}

#[test]
fn all_metrics_are_documented_with_kind_and_label() {
    let kind = |kind: MetricKind| match kind {
        MetricKind::Counter => "counter",
        MetricKind::Gauge => "gauge",
        MetricKind::Histogram => "histogram",
    };
    let expected: Vec<Vec<String>> = METRICS
        .iter()
        .map(|m| {
            let label = m.label.map_or("none".into(), |label| format!("`{label}`"));
            vec![format!("`{}`", m.name), kind(m.kind).into(), label]
        })
        .collect();
    let rows: Vec<Vec<String>> =
        table("### Metrics").into_iter().map(|row| row[..3].into()).collect();
    assert_eq!(rows, expected);
}

#[actix_rt::test]
async fn a_daemon_shows_no_metric_that_is_not_described() {
    install_recorder();
    let cluster = Cluster::spawn(&Plan::default()).await.unwrap();
    let daemon = &cluster.daemons[0];
    let bearer = format!("Bearer {CALLER_KEY}");
    let body = r#"{"model":"curd","prompt":"tag this inquiry","max_tokens":2}"#;
    let headers = [("authorization", bearer.as_str())];
    let at = daemon.caller_address();
    send(Method::POST, at, "/v1/completions", &headers, body, LIMIT).await;
    send(Method::POST, at, "/v1/completions", &headers, "{", LIMIT).await;
    // The control thread publishes its gauges once a second.
    actix_rt::time::sleep(Duration::from_millis(1_500)).await;

    let bearer = format!("Bearer {OPERATOR_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let got = send(Method::GET, daemon.operator_address(), "/metrics", &headers, "", LIMIT).await;
    let text = got.text();
    let exposed: BTreeSet<&str> =
        text.lines().filter_map(|l| l.strip_prefix("# TYPE ")?.split(' ').next()).collect();
    let described: BTreeSet<&str> = METRICS.iter().map(|m| m.name).collect();
    let unknown: Vec<_> = exposed.difference(&described).collect();
    assert!(unknown.is_empty(), "{unknown:?}");
    for name in ["cumintrail_control_queue", "cumintrail_process_resident_bytes"] {
        assert!(exposed.contains(name), "{name} is missing in {text}");
    }
    assert!(text.contains("cumintrail_first_token_seconds_bucket"), "{text}");
}
