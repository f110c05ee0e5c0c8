//! A program that a test starts in the background.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

/// A process, killed when it is dropped, and where it printed that it listens.
pub struct Started(pub Child, pub String);

impl Drop for Started {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts it and waits until it listens. `log`: its standard error.
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
