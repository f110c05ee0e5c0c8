//! Reads batches of events from standard input and writes the actions that grebecleat answers.
//! Translation only: every decision is made in the library's `scheduler` module.

mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use wire::Fault;

fn run() -> Result<(), Fault> {
    let mut input = io::stdin().lock();
    let mut output = io::BufWriter::new(io::stdout().lock());
    let mut desk = wire::Desk::default();
    let mut line = Vec::new();
    let mut number = 0u64;
    loop {
        line.clear();
        number += 1;
        let read = input
            .read_until(b'\n', &mut line)
            .map_err(|e| Fault::at(number, format!("cannot read: {e}")))?;
        if read == 0 {
            return desk.closed().map_err(|f| Fault::at(number, f));
        }
        let text = std::str::from_utf8(&line).map_err(|_| Fault::at(number, "not UTF-8".into()))?;
        let text = text.trim_end_matches(['\n', '\r']);
        if let Some(reply) = desk.line(text).map_err(|f| Fault::at(number, f))? {
            let sent = output
                .write_all(reply.as_bytes())
                .and_then(|()| output.flush());
            if sent.is_err() {
                return Ok(()); // nobody reads any more
            }
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("grebecleat-adapter: {fault}");
            ExitCode::FAILURE
        }
    }
}
