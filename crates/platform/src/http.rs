//! HTTP/1.1 heads and bodies, in both directions: pure functions on bytes.
//!
//! Begin with [`request`] and [`response`]: each takes all bytes that have come so far and returns a
//! complete message and its length, nothing (more bytes must come), or an error, after which the
//! connection cannot be used again. A message that two readers of one stream could interpret
//! differently (both kinds of length, repeated or signed lengths) is an error, since it may hide a
//! second message (request smuggling). No state. Bounds: the constants of this module.

use std::borrow::Cow;
use std::io::Write;

/// The largest number of bytes of a head. A larger value lets peers take memory; a smaller one
/// rejects long heads.
pub const MAX_HEAD: usize = 16 << 10;
/// The largest number of bytes of a request's body. Larger and smaller values: as for a head.
pub const MAX_BODY: usize = 64 << 10;
/// The largest number of bytes of a response's body. Nodes were observed to send 200 KB. A smaller
/// value drops responses whose attempts have run, so that their work is lost; a larger one lets nodes
/// take memory.
pub const MAX_ANSWER: usize = 512 << 10;
/// The largest number of bytes of an endpoint list. Its length grows with the fleet, and it may be
/// indented, at some 210 bytes for each node. A smaller value makes the list of a large fleet
/// unreadable; a larger one lets discovery take memory.
pub const MAX_LIST: usize = 4 << 20;
/// The largest number of headers of one head. A larger value costs stack; a smaller one rejects
/// messages.
const MAX_HEADERS: usize = 64;
/// The largest number of headers of a chunked body's trailer. Larger and smaller values: as above.
const MAX_TRAILER_HEADERS: usize = 8;
/// The largest number of interim heads before a response. A larger value lets a node delay its
/// response; a smaller one rejects responses.
const MAX_INTERIM: usize = 8;
/// The largest number of bytes that a chunked body may take for its sizes and line ends, and the
/// largest number of bytes of one size line or trailer. A larger value lets peers take memory; a
/// smaller one rejects bodies of many chunks.
const CHUNK_OVERHEAD: usize = 4 << 10;
/// The largest number of digits of a length, so that it fits into 64 bits.
const MAX_LENGTH_DIGITS: usize = 18;

/// Why a message cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct HttpError {
    /// The status of the response to the client.
    pub status: u16,
    /// The fault, as the response's body names it.
    pub reason: &'static str,
}

/// A complete value and its number of bytes; None: more bytes must come.
pub type Parsed<T> = Option<(T, usize)>;

const fn error(status: u16, reason: &'static str) -> HttpError {
    HttpError { status, reason }
}

const UNREADABLE_HEAD: HttpError = error(400, "a head that cannot be read");
const UNREADABLE_ANSWER_HEAD: HttpError = error(502, "a head that cannot be read");
const BODY_TOO_LARGE: HttpError = error(413, "a body that is too large");
const LENGTH_IS_NO_NUMBER: HttpError = error(400, "a length that is no number");

/// The headers of one message.
#[derive(Debug, PartialEq)]
pub struct Headers<'b>(Vec<(&'b str, &'b [u8])>);

impl<'b> Headers<'b> {
    fn of(headers: &[httparse::Header<'b>]) -> Self {
        let headers = headers.iter();
        Headers(headers.map(|header| (header.name, header.value)).collect())
    }

    fn all(&self, name: &'static str) -> impl Iterator<Item = &'b [u8]> + '_ {
        self.0
            .iter()
            .filter(move |(other, _)| other.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.trim_ascii())
    }

    /// Returns the value of a header that occurs at most once, as text.
    ///
    /// Errors: the header occurs more than once, or is not UTF-8.
    pub fn one(&self, name: &'static str) -> Result<Option<&'b str>, HttpError> {
        let Some(value) = self.one_raw(name)? else {
            return Ok(None);
        };
        let text = std::str::from_utf8(value);
        text.map(Some)
            .map_err(|_| error(400, "a header that is no text"))
    }

    /// Returns the value of a header that occurs at most once, in any encoding.
    ///
    /// Errors: the header occurs more than once.
    pub fn one_raw(&self, name: &'static str) -> Result<Option<&'b [u8]>, HttpError> {
        let mut all = self.all(name);
        let first = all.next();
        match all.next() {
            None => Ok(first),
            Some(_) => Err(error(400, "a header that must stand once stands twice")),
        }
    }

    fn has_token(&self, name: &'static str, token: &str) -> bool {
        let is_token = |part: &[u8]| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes());
        self.all(name)
            .any(|value| value.split(|byte| *byte == b',').any(is_token))
    }
}

/// A client's request.
#[derive(Debug, PartialEq)]
pub struct Request<'b> {
    /// Its method, as sent.
    pub method: &'b str,
    /// Its path and query, as sent.
    pub target: &'b str,
    /// Its headers.
    pub headers: Headers<'b>,
    /// Its body, without chunks.
    pub body: Cow<'b, [u8]>,
    /// Whether the client lets the connection stay open.
    pub keep_alive: bool,
}

/// A response of a node or of discovery.
#[derive(Debug, PartialEq)]
pub struct Response<'b> {
    /// Its status.
    pub status: u16,
    /// Its headers.
    pub headers: Headers<'b>,
    /// Its body, without chunks.
    pub body: Cow<'b, [u8]>,
    /// Whether the connection stays open.
    pub keep_alive: bool,
}

/// How a head declares the length of its body.
enum BodyLength {
    None,
    Bytes(usize),
    Chunked,
}

fn body_length(headers: &Headers, most: usize) -> Result<BodyLength, HttpError> {
    let length = headers
        .one("content-length")
        .map_err(|_| error(400, "more than one length"))?;
    let mut codings = headers.all("transfer-encoding");
    match (length, codings.next(), codings.next()) {
        (None, None, _) => Ok(BodyLength::None),
        (Some(_), Some(_), _) => Err(error(400, "both a length and a transfer coding")),
        (None, Some(coding), None) if coding.eq_ignore_ascii_case(b"chunked") => {
            Ok(BodyLength::Chunked)
        }
        (None, ..) => Err(error(400, "a transfer coding that is not known here")),
        (Some(text), ..) => Ok(BodyLength::Bytes(parse_length(text, most)?)),
    }
}

/// Parses a length of digits alone. Two readers could interpret a sign or a space differently.
fn parse_length(text: &str, most: usize) -> Result<usize, HttpError> {
    let is_decimal = !text.is_empty()
        && text.len() <= MAX_LENGTH_DIGITS
        && text.bytes().all(|byte| byte.is_ascii_digit());
    if !is_decimal {
        return Err(LENGTH_IS_NO_NUMBER);
    }
    let length: u64 = text.parse().map_err(|_| LENGTH_IS_NO_NUMBER)?;
    match usize::try_from(length) {
        Ok(length) if length <= most => Ok(length),
        _ => Err(BODY_TOO_LARGE),
    }
}

/// Returns the body after the head, and its number of bytes on the wire; None: more bytes must come.
fn body(rest: &[u8], length: BodyLength, most: usize) -> Result<Parsed<Cow<'_, [u8]>>, HttpError> {
    match length {
        BodyLength::None => Ok(Some((Cow::Borrowed(&[]), 0))),
        BodyLength::Bytes(length) => {
            Ok(rest.get(..length).map(|body| (Cow::Borrowed(body), length)))
        }
        BodyLength::Chunked => chunked_body(rest, most),
    }
}

fn chunked_body(rest: &[u8], most: usize) -> Result<Parsed<Cow<'_, [u8]>>, HttpError> {
    let mut body = Vec::new();
    let mut at = 0;
    loop {
        if at > most + CHUNK_OVERHEAD {
            return Err(BODY_TOO_LARGE);
        }
        let size = httparse::parse_chunk_size(&rest[at..]);
        let (size_line, size) = match size.map_err(|_| error(400, "a chunk without a size"))? {
            httparse::Status::Partial if rest.len() - at > CHUNK_OVERHEAD => {
                return Err(error(400, "a chunk's size without end"));
            }
            httparse::Status::Partial => return Ok(None),
            httparse::Status::Complete(size) => size,
        };
        if size > (most - body.len()) as u64 {
            return Err(BODY_TOO_LARGE);
        }
        at += size_line;
        if size == 0 {
            return trailer(rest, at, body);
        }
        let end = at + size as usize;
        let Some(chunk) = rest.get(at..end) else {
            return Ok(None);
        };
        body.extend_from_slice(chunk);
        match rest.get(end..end + 2) {
            None => return Ok(None),
            Some(b"\r\n") => at = end + 2,
            Some(_) => return Err(error(400, "a chunk longer than its size")),
        }
    }
}

fn trailer(rest: &[u8], at: usize, body: Vec<u8>) -> Result<Parsed<Cow<'_, [u8]>>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_TRAILER_HEADERS];
    match httparse::parse_headers(&rest[at..], &mut headers) {
        Ok(httparse::Status::Complete((used, _))) => Ok(Some((Cow::Owned(body), at + used))),
        Ok(httparse::Status::Partial) if rest.len() - at <= CHUNK_OVERHEAD => Ok(None),
        _ => Err(error(400, "a trailer that cannot be read")),
    }
}

/// Parses a client's request.
///
/// Errors: the response to the client. The connection cannot be used again.
///
/// ```
/// use grebecleat_platform::http::request;
/// let message = b"PUT /a/1 HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi";
/// let (parsed, used) = request(message).unwrap().unwrap();
/// assert_eq!(
///     (parsed.method, parsed.target, &*parsed.body, used, parsed.keep_alive),
///     ("PUT", "/a/1", &b"hi"[..], message.len(), true)
/// );
/// assert!((0..message.len()).all(|n| request(&message[..n]).unwrap().is_none()));
/// let signed_length = b"PUT /a HTTP/1.1\r\nContent-Length: +2\r\n\r\nhi";
/// assert_eq!(request(signed_length).unwrap_err().status, 400);
/// ```
pub fn request(bytes: &[u8]) -> Result<Parsed<Request<'_>>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let used = match head.parse(&bytes[..bytes.len().min(MAX_HEAD)]) {
        Ok(httparse::Status::Complete(used)) => used,
        Ok(httparse::Status::Partial) if bytes.len() >= MAX_HEAD => {
            return Err(error(431, "a head without end"))
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(error(431, "too many headers")),
        Err(httparse::Error::Version) => {
            return Err(error(400, "a version that is not known here"))
        }
        Err(_) => return Err(UNREADABLE_HEAD),
    };
    let (Some(method), Some(target), Some(version)) = (head.method, head.path, head.version) else {
        return Err(UNREADABLE_HEAD);
    };
    let headers = Headers::of(head.headers);
    let keep_alive = keeps_alive(version, &headers);
    let Some((body, more)) = body(&bytes[used..], body_length(&headers, MAX_BODY)?, MAX_BODY)?
    else {
        return Ok(None);
    };
    Ok(Some((
        Request {
            method,
            target,
            headers,
            body,
            keep_alive,
        },
        used + more,
    )))
}

fn keeps_alive(version: u8, headers: &Headers) -> bool {
    version == 1 && !headers.has_token("connection", "close")
}

/// Parses a response of a node or of discovery, and skips interim heads.
///
/// Errors: the response cannot be read, or has no length. A response without a length ends with its
/// connection, which cannot be distinguished from a broken connection.
///
/// ```
/// use grebecleat_platform::http::response;
/// let bytes = b"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi\
///     HTTP/1.1 2";
/// let (parsed, used) = response(bytes).unwrap().unwrap();
/// assert_eq!((parsed.status, &*parsed.body, bytes.len() - used), (200, &b"hi"[..], 10));
/// assert!(response(b"HTTP/1.1 200 OK\r\n\r\nhi").is_err());
/// ```
pub fn response(bytes: &[u8]) -> Result<Parsed<Response<'_>>, HttpError> {
    response_up_to(bytes, MAX_ANSWER)
}

/// Parses a response with a body of at most `max_body` bytes, see [`response`].
///
/// Errors: as [`response`].
pub fn response_up_to(bytes: &[u8], max_body: usize) -> Result<Parsed<Response<'_>>, HttpError> {
    let mut at = 0;
    for _ in 0..=MAX_INTERIM {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let rest = &bytes[at..];
        let used = match head.parse(&rest[..rest.len().min(MAX_HEAD)]) {
            Ok(httparse::Status::Complete(used)) => used,
            Ok(httparse::Status::Partial) if rest.len() < MAX_HEAD => return Ok(None),
            _ => return Err(UNREADABLE_ANSWER_HEAD),
        };
        let (Some(status), Some(version)) = (head.code, head.version) else {
            return Err(UNREADABLE_ANSWER_HEAD);
        };
        if (100..200).contains(&status) && status != 101 {
            at += used;
            continue;
        }
        let headers = Headers::of(head.headers);
        let keep_alive = keeps_alive(version, &headers);
        let length = match body_length(&headers, max_body)? {
            BodyLength::None if !matches!(status, 204 | 304) => {
                return Err(error(502, "no length"))
            }
            length => length,
        };
        let Some((body, more)) = body(&bytes[at + used..], length, max_body)? else {
            return Ok(None);
        };
        return Ok(Some((
            Response {
                status,
                headers,
                body,
                keep_alive,
            },
            at + used + more,
        )));
    }
    Err(error(502, "interim answers without end"))
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        _ => "Answer",
    }
}

/// Appends a response. `headers`: further header lines, each with its line end.
pub fn put_response(to: &mut Vec<u8>, status: u16, headers: &str, keep_alive: bool, body: &[u8]) {
    let close = if keep_alive {
        ""
    } else {
        "Connection: close\r\n"
    };
    let length = body.len();
    let reason = reason_phrase(status);
    // Writing to memory cannot fail.
    let _ = write!(
        to,
        "HTTP/1.1 {status} {reason}\r\nContent-Length: {length}\r\n{close}{headers}\r\n"
    );
    to.extend_from_slice(body);
}
