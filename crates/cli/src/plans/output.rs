//! Output of a command: lines of text, or one JSON value.

use crate::args::Format;
use serde_json::Value;
use std::io::Write;

/// Prints results in the format that the operator chose.
pub struct Output {
    format: Format,
}

impl Output {
    pub fn new(format: Format) -> Self {
        Output { format }
    }

    pub fn print(&self, lines: impl IntoIterator<Item = String>, value: Value) {
        let mut out = std::io::stdout().lock();
        // Write errors are ignored: the reader has closed the pipe.
        let _ = match self.format {
            Format::Text => lines
                .into_iter()
                .try_for_each(|line| writeln!(out, "{line}")),
            Format::Json => writeln!(out, "{value:#}"),
        };
    }
}
