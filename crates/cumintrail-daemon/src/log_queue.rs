//! Writes log lines on a separate thread, so that a slow reader of the log never delays a call.

use std::io::{self, Write as _};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;

use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use log::Record;

use crate::metric;

/// The capacity of the queue of log lines; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 2_048;
/// The largest number of queued lines that one write appends to its first line.
const MAX_BATCHED_LINES: usize = 64;
const TIME_FORMAT: &str = "%Y-%m-%dT%H:%M:%S%.3f";

/// Sends log lines to the thread that writes them to standard output.
pub struct LogQueue {
    lines: SyncSender<String>,
}

impl LogQueue {
    /// Starts the thread that writes log lines.
    pub fn spawn() -> io::Result<Self> {
        let (lines, queued) = sync_channel(MAX_QUEUED_LINES);
        thread::Builder::new().name("log".into()).spawn(move || write_lines(&queued))?;
        Ok(Self { lines })
    }
}

impl LogWriter for LogQueue {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let time = now.format(TIME_FORMAT);
        let line = format!("{time} level={} {}", record.level(), record.args());
        if self.lines.try_send(end_line(line)).is_err() {
            metrics::counter!(metric::DROPPED_LOG_LINES).increment(1);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

/// Ends a line; control characters within it are escaped, so that a text cannot begin another one.
fn end_line(mut line: String) -> String {
    if line.contains(char::is_control) {
        let mut escaped = String::with_capacity(line.len() + 8);
        for c in line.chars() {
            match c {
                c if c.is_control() => escaped.extend(c.escape_default()),
                c => escaped.push(c),
            }
        }
        line = escaped;
    }
    line.push('\n');
    line
}

fn write_lines(queued: &Receiver<String>) {
    while let Ok(first) = queued.recv() {
        let mut text = first;
        for line in queued.try_iter().take(MAX_BATCHED_LINES) {
            text.push_str(&line);
        }
        // An error cannot be logged, since standard output is the log.
        let _ = io::stdout().write_all(text.as_bytes());
    }
}
