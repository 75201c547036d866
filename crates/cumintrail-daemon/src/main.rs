//! `cumintraild`: serves callers on one entry VM.

use std::process::ExitCode;

use clap::Parser;
use cumintrail_daemon::{Arguments, run};

fn main() -> ExitCode {
    run(&Arguments::parse())
}
