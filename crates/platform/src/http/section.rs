//! Finds the lines of a section that an empty line ends: a head or a trailer.

use std::ops::Range;

/// A control byte, which no line of a section may hold.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct ControlByte;

/// Finds lines in bytes that arrive in pieces, and looks at each byte once.
#[derive(Debug, Default)]
pub(super) struct LineScanner {
    /// Where the current line starts.
    line_start: usize,
    /// Number of bytes that were looked at.
    scanned: usize,
}

impl LineScanner {
    /// Returns the range of the next complete line, with its line end, or `None` if it is incomplete.
    /// `bytes` begins with the bytes of the previous calls.
    pub(super) fn next_line(&mut self, bytes: &[u8]) -> Result<Option<Range<usize>>, ControlByte> {
        for byte in &bytes[self.scanned.min(bytes.len())..] {
            self.scanned += 1;
            match byte {
                b'\n' => {
                    let line = self.line_start..self.scanned;
                    self.line_start = self.scanned;
                    return Ok(Some(line));
                }
                b'\r' | b'\t' => {}
                byte if byte.is_ascii_control() => return Err(ControlByte),
                _ => {}
            }
        }
        Ok(None)
    }

    /// Returns where the current line starts.
    pub(super) fn line_start(&self) -> usize {
        self.line_start
    }
}

/// Returns whether a line with its line end has no other bytes.
pub(super) fn is_empty_line(line: &[u8]) -> bool {
    matches!(line, b"\n" | b"\r\n")
}
