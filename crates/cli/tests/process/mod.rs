//! Processes that a test starts in the background.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

/// A process, which is killed on drop, and the address from its ready line.
pub struct Started(pub Child, pub String);

impl Drop for Started {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts the process and waits for its ready line. `log`: where its standard error goes.
pub fn start(command: &mut Command, log: Stdio) -> Started {
    let command = command.stdin(Stdio::null()).stdout(Stdio::piped());
    let mut child = command.stderr(log).spawn().unwrap();
    let mut line = String::new();
    let mut output = BufReader::new(child.stdout.take().unwrap());
    output.read_line(&mut line).unwrap();
    let address = line.trim().strip_prefix("listening ").expect(&line);
    let address = address.to_string();
    Started(child, address)
}
