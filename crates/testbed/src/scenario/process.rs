//! One child process of a scenario.

use super::ScenarioError;
use grebecleat_wire::clock;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// The word before the address in the line that a process prints once it listens.
const READY_PREFIX: &str = "listening ";
/// Interval at which the end of a process is polled. A longer interval delays the end of the
/// scenario; a shorter one costs processor time.
const EXIT_POLL: Duration = Duration::from_millis(10);

/// A child process; it is killed when the value is dropped.
pub(super) struct ChildProcess(Child);

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // Both fail only if the process has ended already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl ChildProcess {
    /// Starts a process, and waits for its ready line. Returns the text after the prefix.
    pub(super) fn start(
        program: &Path,
        name: &str,
        args: &[String],
        log: PathBuf,
    ) -> Result<(Self, String), ScenarioError> {
        let file = File::options().create(true).append(true).open(&log)?;
        let mut command = Command::new(program);
        command
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(file);
        let mut process = ChildProcess(command.spawn()?);
        let stdout = process.0.stdout.take().expect("stdout is piped above");
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let Some(ready) = line.trim().strip_prefix(READY_PREFIX) else {
            let name = name.to_string();
            return Err(ScenarioError::NotStarted { name, log });
        };
        Ok((process, ready.to_string()))
    }

    /// Sends a signal, by the name that `kill -s` takes.
    pub(super) fn signal(&self, signal: &'static str) -> Result<(), ScenarioError> {
        let process = self.0.id();
        let status = Command::new("kill")
            .args(["-s", signal, &process.to_string()])
            .status()?;
        if status.success() {
            return Ok(());
        }
        Err(ScenarioError::Signal { signal, process })
    }

    /// Waits for the end of the process. Returns its exit code, or `None` after the timeout or if
    /// a signal ended it.
    pub(super) fn wait_for_exit(
        &mut self,
        timeout: Duration,
    ) -> Result<Option<i32>, ScenarioError> {
        let deadline = clock::now() + timeout;
        while clock::now() < deadline {
            if let Some(status) = self.0.try_wait()? {
                return Ok(status.code());
            }
            std::thread::sleep(EXIT_POLL);
        }
        Ok(None)
    }
}
