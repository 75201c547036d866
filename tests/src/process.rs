//! Child processes for failure tests, which start, kill, pause and continue them.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Controls a child process and kills it on drop.
pub struct Process {
    child: Child,
    /// The addresses that the process printed when it was ready.
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

    /// Starts a daemon with a settings file; it prints its caller and operator addresses.
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
        // The error is ignored: a process that has ended needs no signal.
        let _ = kill(pid, signal);
    }

    /// Kills the process with SIGKILL, as the loss of its VM would, and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the exit status, or `None` while the process runs.
    pub fn status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits up to `limit` for the process to end, without blocking other tasks.
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

    /// Waits up to `limit` for the process to end, blocking the thread.
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
