//! The load tool measures real daemons and counts only complete responses.

use std::process::Command;

const BINARY: &str = env!("CARGO_BIN_EXE_cumintrail-tests");

#[test]
fn a_short_run_is_answered_whole_and_reported_as_one_object() {
    // Daemons read from the platform every one to two seconds, so a shorter run may contain no
    // complete exchange.
    let arguments = ["load", "--daemons", "2", "--seconds", "5", "--rate", "2", "--accounts", "5"];
    let output = Command::new(BINARY).args(arguments).args(["--format", "json"]).output().unwrap();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    for path in ["through", "direct"] {
        assert_eq!((&report[path]["answered"], &report[path]["failed"]), (&10.into(), &0.into()));
    }
    let cost = &report["load"];
    assert!(cost["processor_share"].as_f64().unwrap() > 0.0, "{report}");
    assert!(cost["resident_bytes"].as_u64().unwrap() > 1 << 20, "{report}");
    for link in ["engines", "peers", "platform"] {
        assert!(cost["control_bytes"][link].as_f64().unwrap() > 0.0, "{report}");
    }
    assert!(cost["peer_bytes_per_second"].as_f64().unwrap() > 0.0, "{report}");
}

#[test]
fn sizes_are_bounded() {
    let output = Command::new(BINARY).args(["load", "--daemons", "97"]).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
}
