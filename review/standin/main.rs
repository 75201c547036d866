//! The cases of the review that are scripts; the first argument names the case, the second its
//! folder. Exit code 1: the rule was broken, 0: it held, 2: the case could not run.

mod base;
mod engine;
mod extra_bytes;
mod killed_engine;
mod long_request;
mod repeated_bytes;
mod second_refusal;
mod streams;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: rig CASE FOLDER");
        return ExitCode::from(2);
    };
    if let ("engine", Some(port)) = (case.as_str(), arguments.get(3)) {
        return match killed_engine::serve_engine(folder, port) {
            Ok(_) => ExitCode::SUCCESS,
            Err(_) => ExitCode::from(2),
        };
    }
    let work = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    let outcome = std::fs::create_dir_all(&work).and_then(|()| run(case, Path::new(folder), &work));
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&work);
    } else {
        eprintln!("logs: {}", PathBuf::from(&work).display());
    }
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}

/// Returns whether the rule held.
fn run(case: &str, folder: &Path, work: &Path) -> std::io::Result<bool> {
    let record = base::Record::create(folder)?;
    record.line(&format!("case {case}, trouble {}", base::trouble()));
    match case {
        "long-request" => long_request::run(&record, work),
        "lost-origins" => streams::run(&record, work, false),
        "two-versions" => streams::run(&record, work, true),
        "extra-bytes" => extra_bytes::run(&record, work),
        "killed-engine" => killed_engine::run(&record, work),
        "repeated-bytes" => repeated_bytes::run(&record, work),
        "second-refusal" => second_refusal::run(&record, work),
        _ => Err(std::io::Error::other("no such case")),
    }
}
