//! Parses HTTP/1.1 requests and responses, and encodes responses. This module performs no I/O.
//!
//! [`request`] and [`response`] are the entry points. Each takes all bytes received so far and returns
//! a complete message and its length, `None` if the message is incomplete, or an error, after which
//! the connection cannot be used again. A message that two parsers could interpret differently (both
//! kinds of length, repeated or signed lengths) is an error, since it may hide a second message
//! (request smuggling). The constants of this module limit the size of a message.

use bytes::Bytes;
use std::borrow::Cow;

/// Maximum size in bytes of a message's head: its start line and headers. A larger value lets peers
/// take more memory; a smaller one rejects long heads.
pub const MAX_HEAD: usize = 16 << 10;
/// Maximum size in bytes of a request's body. A larger value lets clients take more memory; a smaller
/// one rejects large requests.
pub const MAX_REQUEST_BODY: usize = 64 << 10;
/// Maximum size in bytes of a response's body. Nodes have been observed to send 200 KB. A smaller
/// value drops responses of attempts that have run, whose work is then lost; a larger one lets nodes
/// take more memory.
pub const MAX_RESPONSE_BODY: usize = 512 << 10;
/// Maximum size in bytes of an endpoint list. The list grows with the fleet, by about 210 bytes for
/// each node if the JSON is indented. A smaller value rejects the list of a large fleet; a larger one
/// lets discovery take more memory.
pub const MAX_ENDPOINT_LIST: usize = 4 << 20;
/// Maximum number of headers of one message. A larger value takes more stack; a smaller one rejects
/// messages with many headers.
const MAX_HEADERS: usize = 64;
/// Maximum number of headers in the trailer of a chunked body. A larger value takes more stack; a
/// smaller one rejects messages with many trailer headers.
const MAX_TRAILER_HEADERS: usize = 8;
/// Maximum number of interim (1xx) responses before the final one. A larger value lets a node delay its
/// response; a smaller one rejects responses.
const MAX_INTERIM_RESPONSES: usize = 8;
/// Maximum number of bytes of a chunked body's size lines and line ends together, and also of a single
/// size line or trailer. A larger value lets peers take more memory; a smaller one rejects bodies of
/// many chunks.
const MAX_CHUNK_OVERHEAD: usize = 4 << 10;
/// Maximum number of digits of a length, so that it fits into 64 bits.
const MAX_LENGTH_DIGITS: usize = 18;

/// An error that makes a message unusable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct HttpError {
    /// The status of the error response to the client.
    pub status: u16,
    /// The fault, which is the body of the error response.
    pub reason: &'static str,
}

/// A parsed value and the number of bytes that it took, or `None` if it is incomplete.
pub type Parsed<T> = Option<(T, usize)>;

const fn error(status: u16, reason: &'static str) -> HttpError {
    HttpError { status, reason }
}

const MALFORMED_REQUEST_HEAD: HttpError = error(400, "malformed start line or headers");
const MALFORMED_RESPONSE_HEAD: HttpError = error(502, "malformed start line or headers");
const BODY_TOO_LARGE: HttpError = error(413, "body too large");
const INVALID_LENGTH: HttpError = error(400, "Content-Length: expected decimal digits");

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

    /// Returns the value of a header as text. Returns an error if the header occurs more than once or is
    /// not UTF-8.
    pub fn one(&self, name: &'static str) -> Result<Option<&'b str>, HttpError> {
        let Some(value) = self.one_raw(name)? else {
            return Ok(None);
        };
        let text = std::str::from_utf8(value);
        text.map(Some)
            .map_err(|_| error(400, "header value is not UTF-8"))
    }

    /// Returns the bytes of a header's value. Returns an error if the header occurs more than once.
    pub fn one_raw(&self, name: &'static str) -> Result<Option<&'b [u8]>, HttpError> {
        let mut all = self.all(name);
        let first = all.next();
        match all.next() {
            None => Ok(first),
            Some(_) => Err(error(400, "header occurs twice, expected at most once")),
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
    /// Its body, without the framing of chunks.
    pub body: Cow<'b, [u8]>,
    /// Whether the client keeps the connection open for another request.
    pub keep_alive: bool,
}

/// A response of a node or of discovery.
#[derive(Debug, PartialEq)]
pub struct Response<'b> {
    /// Its status.
    pub status: u16,
    /// Its headers.
    pub headers: Headers<'b>,
    /// Its body, without the framing of chunks.
    pub body: Cow<'b, [u8]>,
    /// Whether the connection may carry another exchange.
    pub keep_alive: bool,
}

/// How a head declares the length of its body.
enum BodyLength {
    None,
    Bytes(usize),
    Chunked,
}

fn body_length(headers: &Headers, max_body: usize) -> Result<BodyLength, HttpError> {
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

/// Returns the body that follows the head, and its size on the wire, or `None` if it is incomplete.
fn body(
    rest: &[u8],
    length: BodyLength,
    max_body: usize,
) -> Result<Parsed<Cow<'_, [u8]>>, HttpError> {
    match length {
        BodyLength::None => Ok(Some((Cow::Borrowed(&[]), 0))),
        BodyLength::Bytes(length) => {
            Ok(rest.get(..length).map(|body| (Cow::Borrowed(body), length)))
        }
        BodyLength::Chunked => chunked_body(rest, max_body),
    }
}

fn chunked_body(rest: &[u8], max_body: usize) -> Result<Parsed<Cow<'_, [u8]>>, HttpError> {
    let mut body = Vec::new();
    let mut offset = 0;
    loop {
        if offset > max_body + MAX_CHUNK_OVERHEAD {
            return Err(BODY_TOO_LARGE);
        }
        let size = httparse::parse_chunk_size(&rest[offset..]);
        let (size_line, size) = match size.map_err(|_| error(400, "malformed chunk size"))? {
            httparse::Status::Partial if rest.len() - offset > MAX_CHUNK_OVERHEAD => {
                return Err(error(400, "chunk size line too long"));
            }
            httparse::Status::Partial => return Ok(None),
            httparse::Status::Complete(size) => size,
        };
        if size > (max_body - body.len()) as u64 {
            return Err(BODY_TOO_LARGE);
        }
        offset += size_line;
        if size == 0 {
            return trailer(rest, offset, body);
        }
        let end = offset + size as usize;
        let Some(chunk) = rest.get(offset..end) else {
            return Ok(None);
        };
        body.extend_from_slice(chunk);
        match rest.get(end..end + 2) {
            None => return Ok(None),
            Some(b"\r\n") => offset = end + 2,
            Some(_) => return Err(error(400, "chunk not followed by a line end")),
        }
    }
}

fn trailer(rest: &[u8], offset: usize, body: Vec<u8>) -> Result<Parsed<Cow<'_, [u8]>>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_TRAILER_HEADERS];
    match httparse::parse_headers(&rest[offset..], &mut headers) {
        Ok(httparse::Status::Complete((used, _))) => Ok(Some((Cow::Owned(body), offset + used))),
        Ok(httparse::Status::Partial) if rest.len() - offset <= MAX_CHUNK_OVERHEAD => Ok(None),
        _ => Err(error(400, "malformed or too long trailer")),
    }
}

/// Parses a client's request.
///
/// Returns an error, which is the response to the client, if the request is malformed or too large.
/// The connection cannot be used again after it.
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
            return Err(error(431, "headers too long"))
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(error(431, "too many headers")),
        Err(httparse::Error::Version) => return Err(error(400, "unsupported HTTP version")),
        Err(_) => return Err(MALFORMED_REQUEST_HEAD),
    };
    let (Some(method), Some(target), Some(version)) = (head.method, head.path, head.version) else {
        return Err(MALFORMED_REQUEST_HEAD);
    };
    let headers = Headers::of(head.headers);
    let keep_alive = keeps_alive(version, &headers);
    let Some((body, body_size)) = body(
        &bytes[used..],
        body_length(&headers, MAX_REQUEST_BODY)?,
        MAX_REQUEST_BODY,
    )?
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
        used + body_size,
    )))
}

fn keeps_alive(version: u8, headers: &Headers) -> bool {
    version == 1 && !headers.has_token("connection", "close")
}

/// Parses a response of a node or of discovery, and skips interim responses.
///
/// Returns an error if the response is malformed, too large, or has no length. The end of a response
/// without a length is the end of its connection, which cannot be told from a broken connection.
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
    response_up_to(bytes, MAX_RESPONSE_BODY)
}

/// Parses a response with a body of at most `max_body` bytes. Returns errors as [`response`] does.
pub fn response_up_to(bytes: &[u8], max_body: usize) -> Result<Parsed<Response<'_>>, HttpError> {
    let mut offset = 0;
    for _ in 0..=MAX_INTERIM_RESPONSES {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let rest = &bytes[offset..];
        let used = match head.parse(&rest[..rest.len().min(MAX_HEAD)]) {
            Ok(httparse::Status::Complete(used)) => used,
            Ok(httparse::Status::Partial) if rest.len() < MAX_HEAD => return Ok(None),
            _ => return Err(MALFORMED_RESPONSE_HEAD),
        };
        let (Some(status), Some(version)) = (head.code, head.version) else {
            return Err(MALFORMED_RESPONSE_HEAD);
        };
        if (100..200).contains(&status) && status != 101 {
            offset += used;
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
        let Some((body, body_size)) = body(&bytes[offset + used..], length, max_body)? else {
            return Ok(None);
        };
        return Ok(Some((
            Response {
                status,
                headers,
                body,
                keep_alive,
            },
            offset + used + body_size,
        )));
    }
    Err(error(502, "too many interim responses"))
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

/// A message to be written, in two parts. The body is shared with the request or the response that it
/// belongs to.
#[derive(Debug, Default, PartialEq)]
pub struct OutgoingMessage {
    /// The start line and the headers, with the empty line that ends them.
    pub head: Vec<u8>,
    /// The body, as declared in the head.
    pub body: Bytes,
}

/// Returns a response. `headers` holds additional header lines, each with its line end.
pub fn response_message(
    status: u16,
    headers: &str,
    keep_alive: bool,
    body: Bytes,
) -> OutgoingMessage {
    let close = if keep_alive {
        ""
    } else {
        "Connection: close\r\n"
    };
    let length = body.len();
    let reason = reason_phrase(status);
    let head =
        format!("HTTP/1.1 {status} {reason}\r\nContent-Length: {length}\r\n{close}{headers}\r\n");
    OutgoingMessage {
        head: head.into_bytes(),
        body,
    }
}
