//! Reads the head of a message: its start line and its headers.
//!
//! The end of each line is searched once, as the bytes arrive. The start line is parsed when it is
//! complete, and the headers when the empty line behind them has arrived; httparse parses both.

use super::body::BodyLength;
use super::message::Headers;
use super::section::{is_empty_line, ControlByte, LineScanner};
use super::{error, HttpError, MAX_HEAD};
use std::ops::Range;

/// Maximum number of headers of one message. A larger value takes more stack; a smaller one rejects
/// messages with many headers.
const MAX_HEADERS: usize = 64;
/// The bytes with which the start line of every response that can be read begins.
const RESPONSE_PREFIX: &[u8] = b"HTTP/1.";

const MALFORMED_REQUEST_HEAD: HttpError = error(400, "malformed start line or headers");
const MALFORMED_RESPONSE_HEAD: HttpError = error(502, "malformed start line or headers");

/// The kind of message that a head begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HeadKind {
    Request,
    Response,
}

impl HeadKind {
    fn malformed(self) -> HttpError {
        match self {
            HeadKind::Request => MALFORMED_REQUEST_HEAD,
            HeadKind::Response => MALFORMED_RESPONSE_HEAD,
        }
    }

    fn too_long(self) -> HttpError {
        match self {
            HeadKind::Request => error(431, "headers too long"),
            HeadKind::Response => MALFORMED_RESPONSE_HEAD,
        }
    }

    fn too_many_headers(self) -> HttpError {
        match self {
            HeadKind::Request => error(431, "too many headers"),
            HeadKind::Response => MALFORMED_RESPONSE_HEAD,
        }
    }
}

/// A parsed start line. Ranges count from the start of the message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum StartLine {
    Request {
        method: Range<usize>,
        target: Range<usize>,
    },
    Response {
        status: u16,
    },
}

/// The position of one header. Ranges count from the start of the message.
#[derive(Debug, PartialEq, Eq)]
struct HeaderPosition {
    name: Range<usize>,
    value: Range<usize>,
}

/// A complete head, as positions in the bytes of its message.
#[derive(Debug)]
pub(super) struct Head {
    pub(super) start_line: StartLine,
    headers: Vec<HeaderPosition>,
    /// Minor version of HTTP/1.
    version: u8,
    /// Number of bytes of the head.
    pub(super) length: usize,
}

impl Head {
    /// Returns the headers. `bytes` are those of the message.
    pub(super) fn headers<'b>(&self, bytes: &'b [u8]) -> Headers<'b> {
        let headers = self.headers.iter();
        let headers = headers.map(|header| {
            let name = text(bytes, &header.name);
            (name, &bytes[header.value.clone()])
        });
        Headers::new(headers.collect())
    }

    /// Returns whether the connection may carry another message behind this one.
    pub(super) fn keeps_alive(&self, headers: &Headers) -> bool {
        self.version == 1 && !headers.has_token("connection", "close")
    }

    /// Returns how the head declares the length of the message's body.
    pub(super) fn body_length(
        &self,
        headers: &Headers,
        max_body: usize,
    ) -> Result<BodyLength, HttpError> {
        let declared = BodyLength::declared(headers, max_body)?;
        let has_body = match self.start_line {
            StartLine::Request { .. } => false,
            StartLine::Response { status } => !matches!(status, 204 | 304),
        };
        match declared {
            BodyLength::None if has_body => Err(error(502, "no length")),
            length => Ok(length),
        }
    }

    /// Returns the bytes of memory that the positions take.
    pub(super) fn capacity(&self) -> usize {
        self.headers.capacity() * size_of::<HeaderPosition>()
    }
}

/// Returns a range of bytes that httparse has found to be text.
pub(super) fn text<'b>(bytes: &'b [u8], range: &Range<usize>) -> &'b str {
    std::str::from_utf8(&bytes[range.clone()]).unwrap_or_default()
}

/// Reads one head.
#[derive(Debug)]
pub(super) struct HeadReader {
    kind: HeadKind,
    lines: LineScanner,
    start_line: Option<ParsedStartLine>,
    /// Number of lines behind the start line.
    header_lines: usize,
}

/// A start line, and where the headers begin.
#[derive(Debug)]
struct ParsedStartLine {
    start_line: StartLine,
    version: u8,
    headers_start: usize,
}

impl HeadReader {
    /// Returns a reader of a head of this kind.
    pub(super) fn new(kind: HeadKind) -> Self {
        HeadReader {
            kind,
            lines: LineScanner::default(),
            start_line: None,
            header_lines: 0,
        }
    }

    /// Reads on where the previous call stopped. `bytes` are those of the message that have arrived.
    /// Returns `None` if the head is incomplete.
    pub(super) fn read(&mut self, bytes: &[u8]) -> Result<Option<Head>, HttpError> {
        let bytes = &bytes[..bytes.len().min(MAX_HEAD)];
        loop {
            let line = self.lines.next_line(bytes);
            let Some(line) = line.map_err(|ControlByte| self.kind.malformed())? else {
                self.check_incomplete(bytes)?;
                return Ok(None);
            };
            let is_empty = is_empty_line(&bytes[line.clone()]);
            match self.start_line.take() {
                // Empty lines ahead of a message are ignored, as HTTP recommends.
                None if is_empty => {}
                None => self.start_line = Some(self.parse_start_line(bytes, line)?),
                Some(start_line) if is_empty => {
                    return self.parse_headers(bytes, start_line, line.end).map(Some)
                }
                Some(start_line) => {
                    self.start_line = Some(start_line);
                    self.header_lines += 1;
                    if self.header_lines > MAX_HEADERS {
                        return Err(self.kind.too_many_headers());
                    }
                }
            }
        }
    }

    /// Returns an error if no further bytes can complete the head.
    fn check_incomplete(&self, bytes: &[u8]) -> Result<(), HttpError> {
        if self.kind == HeadKind::Response && self.start_line.is_none() {
            let line = &bytes[self.lines.line_start()..];
            let length = line.len().min(RESPONSE_PREFIX.len());
            let is_prefix = line[..length] == RESPONSE_PREFIX[..length];
            if !is_prefix && line != b"\r" {
                return Err(self.kind.malformed());
            }
        }
        if bytes.len() == MAX_HEAD {
            return Err(self.kind.too_long());
        }
        Ok(())
    }

    fn parse_start_line(
        &self,
        bytes: &[u8],
        line: Range<usize>,
    ) -> Result<ParsedStartLine, HttpError> {
        let headers_start = line.end;
        let parsed = match self.kind {
            HeadKind::Request => parse_request_line(bytes, line),
            HeadKind::Response => parse_status_line(bytes, line),
        };
        let (start_line, version) = parsed?;
        Ok(ParsedStartLine {
            start_line,
            version,
            headers_start,
        })
    }

    fn parse_headers(
        &self,
        bytes: &[u8],
        parsed: ParsedStartLine,
        length: usize,
    ) -> Result<Head, HttpError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let section = &bytes[parsed.headers_start..length];
        let headers = match httparse::parse_headers(section, &mut headers) {
            Ok(httparse::Status::Complete((used, headers))) if used == section.len() => headers,
            Err(httparse::Error::TooManyHeaders) => return Err(self.kind.too_many_headers()),
            _ => return Err(self.kind.malformed()),
        };
        let positions = headers.iter().map(|header| HeaderPosition {
            name: position(bytes, header.name.as_bytes()),
            value: position(bytes, header.value),
        });
        Ok(Head {
            start_line: parsed.start_line,
            headers: positions.collect(),
            version: parsed.version,
            length,
        })
    }
}

/// Returns the range of a part of `bytes`. The part may lie elsewhere if it is empty.
fn position(bytes: &[u8], part: &[u8]) -> Range<usize> {
    let start = (part.as_ptr() as usize).wrapping_sub(bytes.as_ptr() as usize);
    let end = start.wrapping_add(part.len());
    if part.is_empty() || end > bytes.len() {
        return 0..0;
    }
    start..end
}

fn parse_request_line(bytes: &[u8], line: Range<usize>) -> Result<(StartLine, u8), HttpError> {
    let mut request = httparse::Request::new(&mut []);
    match request.parse(&bytes[line]) {
        // The headers are missing.
        Ok(_) => {}
        Err(httparse::Error::Version) => return Err(error(400, "unsupported HTTP version")),
        Err(_) => return Err(MALFORMED_REQUEST_HEAD),
    }
    match (request.method, request.path, request.version) {
        (Some(method), Some(target), Some(version)) => {
            let method = position(bytes, method.as_bytes());
            let target = position(bytes, target.as_bytes());
            Ok((StartLine::Request { method, target }, version))
        }
        _ => Err(MALFORMED_REQUEST_HEAD),
    }
}

fn parse_status_line(bytes: &[u8], line: Range<usize>) -> Result<(StartLine, u8), HttpError> {
    let mut response = httparse::Response::new(&mut []);
    response
        .parse(&bytes[line])
        .map_err(|_| MALFORMED_RESPONSE_HEAD)?;
    match (response.code, response.version) {
        (Some(status), Some(version)) => Ok((StartLine::Response { status }, version)),
        _ => Err(MALFORMED_RESPONSE_HEAD),
    }
}
