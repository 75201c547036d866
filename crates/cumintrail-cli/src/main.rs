//! `cumintrail`: the operators' command line.

use std::process::ExitCode;

use clap::Parser;
use cumintrail_cli::{Arguments, run};

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match actix_rt::System::new().block_on(run(arguments)) {
        Ok(output) => {
            println!("{output}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(e.exit_code())
        }
    }
}
