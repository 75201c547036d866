//! `cumintrail`: the operators' command line.

use std::process::ExitCode;

use clap::Parser;
use cumintrail_cli::{Arguments, run_to_exit};

fn main() -> ExitCode {
    run_to_exit(Arguments::parse())
}
