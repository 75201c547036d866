//! Real processes for failure tests: started, killed, paused and continued.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Runs a child process that is killed when dropped.
pub struct Process {
    child: Child,
    /// The addresses that it printed when it was ready.
    pub addresses: Vec<SocketAddr>,
}

impl Process {
    /// Starts `cumintrail-tests` with arguments and waits for the line with its addresses.
    ///
    /// Integration tests pass `env!("CARGO_BIN_EXE_cumintrail-tests")` as `binary`.
    pub fn spawn(binary: &str, arguments: &[&str]) -> std::io::Result<Self> {
        let mut child = Command::new(binary)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        let stdout = child.stdout.take().ok_or(std::io::ErrorKind::BrokenPipe)?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let addresses = line.split_whitespace().filter_map(|word| word.parse().ok()).collect();
        Ok(Self { child, addresses })
    }

    /// Starts a daemon with a settings file; its addresses are those of callers and operators.
    pub fn daemon(binary: &str, settings: &Path) -> std::io::Result<Self> {
        Self::spawn(binary, &["cumintraild", "--settings", &settings.display().to_string()])
    }

    /// Returns the id of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(i32::try_from(self.child.id()).unwrap_or(0));
        // A process that is gone already needs no signal.
        let _ = kill(pid, signal);
    }

    /// Kills the process at once, as `kill -9` or the loss of its VM does.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns how the process ended, if it has.
    pub fn status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits for the process to end by itself, while the caller's other tasks go on.
    pub async fn ended(&mut self, limit: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if let Some(status) = self.status() {
                return Some(status);
            }
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        None
    }

    /// Waits for the process to end by itself.
    pub fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if let Some(status) = self.status() {
                return Some(status);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.signal(Signal::SIGCONT);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
