//! Runs one case of the second review: a platform store, replicas and callers in this process, and
//! daemons of the project as separate processes, all on loopback addresses.
//!
//! `review-standin-2 CASE FOLDER` writes `record.txt` to FOLDER and exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod cases;
mod daemons;
mod http;
mod replica;
mod store;

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::process::exit;
use std::sync::Mutex;
use std::time::Instant;

/// The record of a run: what was sent, answered and run, with the time in milliseconds.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { began: Instant::now(), file: Mutex::new(File::create(path)?) })
    }

    /// Returns the milliseconds since the start of the run.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Writes a line, also to standard output if `is_shown` is set.
    pub fn line(&self, is_shown: bool, text: &str) {
        let text = format!("{:>7} {text}", self.now_ms());
        if is_shown {
            println!("{text}");
        }
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{text}").expect("the record can be written");
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: review-standin-2 CASE FOLDER");
        exit(2);
    };
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("cannot write the record: {e}");
            exit(2);
        }
    };
    let record: &'static Record = Box::leak(Box::new(record));
    record.line(true, &format!("case={case} trouble={}", u8::from(is_troubled)));
    let code = match cases::run(case, record, is_troubled) {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(reason) => {
            record.line(true, &format!("could not run: {reason}"));
            2
        }
    };
    record.line(true, &format!("exit={code}"));
    exit(code);
}
