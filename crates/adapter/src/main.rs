//! `grebecleat-adapter`: connects the scheduler to the simulator's line protocol.
//!
//! Reads batches of events from standard input and writes the actions that the scheduler returns to standard
//! output. The program only translates: every decision is made in `grebecleat_scheduler`. A malformed line ends
//! the process with an error that states the line number and the fault.

mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use wire::{LineError, Session, WireError};

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("grebecleat-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Processes lines until the input ends or the reader of the output closes it.
fn run() -> Result<(), LineError> {
    let mut input = io::stdin().lock();
    let mut output = io::BufWriter::new(io::stdout().lock());
    let mut session = Session::default();
    let mut line = Vec::new();
    let mut number = 0u64;
    loop {
        line.clear();
        number += 1;
        let at_line = |error: WireError| LineError { number, error };
        let length = input
            .read_until(b'\n', &mut line)
            .map_err(|error| at_line(error.into()))?;
        if length == 0 {
            return session.finish().map_err(at_line);
        }
        let text = std::str::from_utf8(&line).map_err(|_| at_line(WireError::NotUtf8))?;
        let text = text.trim_end_matches(['\n', '\r']);
        if let Some(reply) = session.handle_line(text).map_err(at_line)? {
            let written = output.write_all(reply.as_bytes());
            if written.and_then(|()| output.flush()).is_err() {
                return Ok(()); // the reader has closed the output
            }
        }
    }
}
