//! Reads the body of a message.
//!
//! A body in chunks is decoded in place: the chunks' data move ahead, over the size lines and line ends,
//! which are thus not held.

use super::message::Headers;
use super::section::{is_empty_line, ControlByte, LineScanner};
use super::{error, HttpError};
use std::ops::Range;

/// Maximum number of headers in the trailer of a chunked body. A larger value takes more stack; a
/// smaller one rejects messages with many trailer headers.
const MAX_TRAILER_HEADERS: usize = 8;
/// Maximum number of bytes of a chunked body's size lines and line ends together, and also of a single
/// size line or trailer. A larger value costs more work for each body; a smaller one rejects bodies of
/// many chunks.
const MAX_CHUNK_OVERHEAD: usize = 4 << 10;
/// Maximum number of digits of a length, so that it fits into 64 bits.
const MAX_LENGTH_DIGITS: usize = 18;

const BODY_TOO_LARGE: HttpError = error(413, "body too large");
const INVALID_LENGTH: HttpError = error(400, "Content-Length: expected decimal digits");
const MALFORMED_CHUNK_SIZE: HttpError = error(400, "malformed chunk size");
const MALFORMED_TRAILER: HttpError = error(400, "malformed or too long trailer");

/// How a head declares the length of its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodyLength {
    None,
    Bytes(usize),
    Chunked,
}

impl BodyLength {
    /// Returns the length that the headers declare.
    pub(super) fn declared(headers: &Headers, max_body: usize) -> Result<Self, HttpError> {
        let length = headers
            .one("content-length")
            .map_err(|_| error(400, "Content-Length occurs twice or is not UTF-8"))?;
        let mut codings = headers.all("transfer-encoding");
        match (length, codings.next(), codings.next()) {
            (None, None, _) => Ok(BodyLength::None),
            (Some(_), Some(_), _) => Err(error(400, "both Content-Length and Transfer-Encoding")),
            (None, Some(coding), None) if coding.eq_ignore_ascii_case(b"chunked") => {
                Ok(BodyLength::Chunked)
            }
            (None, ..) => Err(error(400, "Transfer-Encoding: expected chunked alone")),
            (Some(text), ..) => Ok(BodyLength::Bytes(parse_length(text, max_body)?)),
        }
    }
}

/// Parses a length that consists of digits only: parsers differ in how they treat a sign or a space.
fn parse_length(text: &str, max_body: usize) -> Result<usize, HttpError> {
    let is_decimal = !text.is_empty()
        && text.len() <= MAX_LENGTH_DIGITS
        && text.bytes().all(|byte| byte.is_ascii_digit());
    if !is_decimal {
        return Err(INVALID_LENGTH);
    }
    let length: u64 = text.parse().map_err(|_| INVALID_LENGTH)?;
    match usize::try_from(length) {
        Ok(length) if length <= max_body => Ok(length),
        _ => Err(BODY_TOO_LARGE),
    }
}

/// A complete body. Positions count from the start of the message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Body {
    pub(super) range: Range<usize>,
    /// Where the message ends.
    pub(super) end: usize,
}

/// Reads one body.
#[derive(Debug)]
pub(super) enum BodyReader {
    /// A body of this many bytes, which begins at `start`.
    Bytes {
        start: usize,
        length: usize,
    },
    Chunked(ChunkedReader),
}

impl BodyReader {
    /// Returns the reader of a body that begins at `start`.
    pub(super) fn new(length: BodyLength, start: usize, max_body: usize) -> Self {
        match length {
            BodyLength::None => BodyReader::Bytes { start, length: 0 },
            BodyLength::Bytes(length) => BodyReader::Bytes { start, length },
            BodyLength::Chunked => BodyReader::Chunked(ChunkedReader::new(start, max_body)),
        }
    }

    /// Reads on where the previous call stopped. `bytes` are those of the message that have arrived.
    /// Returns `None` if the body is incomplete.
    pub(super) fn read(&mut self, bytes: &mut [u8]) -> Result<Option<Body>, HttpError> {
        match self {
            BodyReader::Bytes { start, length } => {
                let end = *start + *length;
                let body = Body {
                    range: *start..end,
                    end,
                };
                Ok((bytes.len() >= end).then_some(body))
            }
            BodyReader::Chunked(chunked) => chunked.read(bytes),
        }
    }

    /// Returns the range of the bytes that are decoded and not needed any more, and expects that they are
    /// removed.
    pub(super) fn take_decoded(&mut self) -> Range<usize> {
        match self {
            BodyReader::Bytes { start, .. } => *start..*start,
            BodyReader::Chunked(chunked) => chunked.take_decoded(),
        }
    }
}

/// What a chunked body continues with.
#[derive(Debug)]
enum ChunkState {
    /// A size line.
    SizeLine { scanned: usize },
    /// This many bytes of a chunk's data.
    Data { left: usize },
    /// The line end behind a chunk's data, of which this many bytes were read.
    LineEnd { read: usize },
    /// The headers behind the last chunk, and an empty line.
    Trailer(LineScanner),
}

impl ChunkState {
    const START: ChunkState = ChunkState::SizeLine { scanned: 0 };
}

/// Reads a body in chunks.
#[derive(Debug)]
pub(super) struct ChunkedReader {
    state: ChunkState,
    /// Where the body begins.
    start: usize,
    /// Where the decoded data end.
    decoded_end: usize,
    /// Where the bytes that are not decoded begin.
    read_end: usize,
    /// Number of bytes of the complete size lines, data and line ends that were read.
    wire_bytes: usize,
    max_body: usize,
}

impl ChunkedReader {
    fn new(start: usize, max_body: usize) -> Self {
        ChunkedReader {
            state: ChunkState::START,
            start,
            decoded_end: start,
            read_end: start,
            wire_bytes: 0,
            max_body,
        }
    }

    fn take_decoded(&mut self) -> Range<usize> {
        let decoded = self.decoded_end..self.read_end;
        self.read_end = self.decoded_end;
        decoded
    }

    fn read(&mut self, bytes: &mut [u8]) -> Result<Option<Body>, HttpError> {
        loop {
            let is_complete = match &mut self.state {
                ChunkState::SizeLine { .. } => self.read_size_line(bytes)?,
                ChunkState::Data { .. } => self.read_data(bytes),
                ChunkState::LineEnd { .. } => self.read_line_end(bytes)?,
                ChunkState::Trailer(_) => return self.read_trailer(bytes),
            };
            if !is_complete {
                return Ok(None);
            }
        }
    }

    /// Advances behind bytes that were read.
    fn advance(&mut self, bytes: usize) {
        self.read_end += bytes;
        self.wire_bytes += bytes;
    }

    /// Returns whether the size line is complete.
    fn read_size_line(&mut self, bytes: &[u8]) -> Result<bool, HttpError> {
        if self.wire_bytes > self.max_body + MAX_CHUNK_OVERHEAD {
            return Err(BODY_TOO_LARGE);
        }
        let ChunkState::SizeLine { scanned } = &mut self.state else {
            return Ok(true);
        };
        let rest = &bytes[self.read_end..];
        let Some(first) = rest.first() else {
            return Ok(false);
        };
        // A line without a digit could be read as the last chunk.
        if !first.is_ascii_hexdigit() {
            return Err(MALFORMED_CHUNK_SIZE);
        }
        let line = &rest[..rest.len().min(MAX_CHUNK_OVERHEAD)];
        let line_end = line[*scanned..].iter().position(|byte| *byte == b'\n');
        let Some(line_end) = line_end else {
            *scanned = line.len();
            if line.len() == MAX_CHUNK_OVERHEAD {
                return Err(error(400, "chunk size line too long"));
            }
            return Ok(false);
        };
        let length = *scanned + line_end + 1;
        let size = match httparse::parse_chunk_size(&line[..length]) {
            Ok(httparse::Status::Complete((used, size))) if used == length => size,
            _ => return Err(MALFORMED_CHUNK_SIZE),
        };
        let room = self.max_body - (self.decoded_end - self.start);
        let size = usize::try_from(size).map_err(|_| BODY_TOO_LARGE)?;
        if size > room {
            return Err(BODY_TOO_LARGE);
        }
        self.advance(length);
        self.state = match size {
            0 => ChunkState::Trailer(LineScanner::default()),
            left => ChunkState::Data { left },
        };
        Ok(true)
    }

    /// Moves the data of a chunk behind those of the previous one. Returns whether they are complete.
    fn read_data(&mut self, bytes: &mut [u8]) -> bool {
        let ChunkState::Data { left } = &mut self.state else {
            return true;
        };
        let arrived = (bytes.len() - self.read_end).min(*left);
        *left -= arrived;
        let is_complete = *left == 0;
        bytes.copy_within(self.read_end..self.read_end + arrived, self.decoded_end);
        self.decoded_end += arrived;
        self.advance(arrived);
        if is_complete {
            self.state = ChunkState::LineEnd { read: 0 };
        }
        is_complete
    }

    /// Returns whether the line end behind a chunk's data is complete.
    fn read_line_end(&mut self, bytes: &[u8]) -> Result<bool, HttpError> {
        const LINE_END: &[u8] = b"\r\n";
        let ChunkState::LineEnd { read } = &mut self.state else {
            return Ok(true);
        };
        let expected = &LINE_END[*read..];
        let rest = &bytes[self.read_end..];
        let length = rest.len().min(expected.len());
        if rest[..length] != expected[..length] {
            return Err(error(400, "chunk not followed by a line end"));
        }
        *read += length;
        let is_complete = *read == LINE_END.len();
        self.advance(length);
        if is_complete {
            self.state = ChunkState::START;
        }
        Ok(is_complete)
    }

    fn read_trailer(&mut self, bytes: &[u8]) -> Result<Option<Body>, HttpError> {
        let ChunkState::Trailer(lines) = &mut self.state else {
            return Ok(None);
        };
        let rest = &bytes[self.read_end..];
        let section = &rest[..rest.len().min(MAX_CHUNK_OVERHEAD)];
        let length = loop {
            match lines.next_line(section) {
                Ok(Some(line)) if is_empty_line(&section[line.clone()]) => break line.end,
                Ok(Some(_)) => {}
                Ok(None) if section.len() < MAX_CHUNK_OVERHEAD => return Ok(None),
                Ok(None) | Err(ControlByte) => return Err(MALFORMED_TRAILER),
            }
        };
        let mut headers = [httparse::EMPTY_HEADER; MAX_TRAILER_HEADERS];
        match httparse::parse_headers(&section[..length], &mut headers) {
            Ok(httparse::Status::Complete((used, _))) if used == length => {}
            _ => return Err(MALFORMED_TRAILER),
        }
        Ok(Some(Body {
            range: self.start..self.decoded_end,
            end: self.read_end + length,
        }))
    }
}
