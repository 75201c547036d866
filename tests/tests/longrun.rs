//! A short randomised run with a fixed seed; `cumintrail-tests longrun` starts longer runs.

use std::time::Duration;

use cumintrail_tests::longrun::{Options, run};

const BINARY: &str = env!("CARGO_BIN_EXE_cumintrail-tests");

#[actix_rt::test]
async fn no_rule_is_broken_in_a_short_run() {
    let options = Options { seed: 20_261_207, run: Duration::from_secs(14) };
    let verdict = run(BINARY, &options).await.unwrap();
    let report = serde_json::to_string_pretty(&verdict).unwrap();
    assert!(verdict.violations.is_empty(), "{report}");
    // Guards against a run without activity, in which no rule can be broken.
    assert!(verdict.answered > 0 && verdict.reused_tokens > 0, "{report}");
    assert!(verdict.operations_run > 0 && verdict.generation.0 >= 1, "{report}");
    assert!(verdict.stopped_calls > 0, "{report}");
}
