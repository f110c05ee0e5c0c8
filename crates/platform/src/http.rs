//! HTTP/1.1 heads and bodies, in both directions: pure functions on bytes.
//!
//! Begin with [`request`] and [`response`]: each is given all that has come so far and answers a whole
//! message and its length, nothing (more must come), or a fault, after which the connection is of no further
//! use. What two readers of one stream could take differently (both lengths, repeated or signed ones) is a
//! fault, since it may hide a second message. Nothing here keeps more than it is given; heads and bodies are
//! bounded.

use std::borrow::Cow;
use std::io::Write;

pub const MAX_HEAD: usize = 16 << 10;
/// Of a client's.
pub const MAX_BODY: usize = 64 << 10;
/// Of an answer's: nodes were seen to give 200 KB, and what is dropped here has run for nothing.
pub const MAX_ANSWER: usize = 512 << 10;
const MAX_HEADERS: usize = 64;
/// Interim heads before an answer.
const MAX_INTERIM: usize = 8;
/// A chunked body may take this much for its own marks.
const CHUNK_MARKS: usize = 4 << 10;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fault {
    /// What a client is answered.
    pub status: u16,
    pub what: &'static str,
}

/// Something whole and how many bytes it took; None: more must come.
pub type Whole<T> = Option<(T, usize)>;

const fn fault(status: u16, what: &'static str) -> Fault {
    Fault { status, what }
}

#[derive(Debug, PartialEq)]
pub struct Headers<'b>(Vec<(&'b str, &'b [u8])>);

impl<'b> Headers<'b> {
    fn of(headers: &[httparse::Header<'b>]) -> Self {
        Headers(headers.iter().map(|h| (h.name, h.value)).collect())
    }

    fn all(&self, name: &'static str) -> impl Iterator<Item = &'b [u8]> + '_ {
        self.0
            .iter()
            .filter(move |(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.trim_ascii())
    }

    /// The value of a header that stands once.
    pub fn one(&self, name: &'static str) -> Result<Option<&'b str>, Fault> {
        let text = |v| std::str::from_utf8(v).map_err(|_| fault(400, "a header that is no text"));
        self.one_raw(name)?.map(text).transpose()
    }

    /// The same, whatever it is written in.
    pub fn one_raw(&self, name: &'static str) -> Result<Option<&'b [u8]>, Fault> {
        let mut all = self.all(name);
        let first = all.next();
        match all.next() {
            None => Ok(first),
            Some(_) => Err(fault(400, "a header that must stand once stands twice")),
        }
    }

    fn has_token(&self, name: &'static str, token: &str) -> bool {
        let is = |part: &[u8]| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes());
        self.all(name).any(|v| v.split(|b| *b == b',').any(is))
    }
}

#[derive(Debug, PartialEq)]
pub struct Request<'b> {
    pub method: &'b str,
    pub target: &'b str,
    pub headers: Headers<'b>,
    pub body: Cow<'b, [u8]>,
    /// Whether the client keeps the connection.
    pub keep: bool,
}

#[derive(Debug, PartialEq)]
pub struct Response<'b> {
    pub status: u16,
    pub headers: Headers<'b>,
    pub body: Cow<'b, [u8]>,
    pub keep: bool,
}

/// How the length of a body is told.
enum Length {
    None,
    Is(usize),
    Chunked,
}

fn length(headers: &Headers, most: usize) -> Result<Length, Fault> {
    let told = headers
        .one("content-length")
        .map_err(|_| fault(400, "more than one length"))?;
    let mut codings = headers.all("transfer-encoding");
    match (told, codings.next(), codings.next()) {
        (None, None, _) => Ok(Length::None),
        (Some(_), Some(_), _) => Err(fault(400, "both a length and a transfer coding")),
        (None, Some(c), None) if c.eq_ignore_ascii_case(b"chunked") => Ok(Length::Chunked),
        (None, ..) => Err(fault(400, "a transfer coding that is not known here")),
        (Some(text), ..) => {
            if text.is_empty() || text.len() > 18 || !text.bytes().all(|b| b.is_ascii_digit()) {
                return Err(fault(400, "a length that is no number"));
            }
            let n: u64 = text
                .parse()
                .map_err(|_| fault(400, "a length that is no number"))?;
            match usize::try_from(n) {
                Ok(n) if n <= most => Ok(Length::Is(n)),
                _ => Err(fault(413, "a body that is too large")),
            }
        }
    }
}

/// The body that begins where the head ended, and how long it is on the wire; None: more must come.
fn body(rest: &[u8], length: Length, most: usize) -> Result<Whole<Cow<'_, [u8]>>, Fault> {
    match length {
        Length::None => Ok(Some((Cow::Borrowed(&[]), 0))),
        Length::Is(n) => Ok(rest.get(..n).map(|b| (Cow::Borrowed(b), n))),
        Length::Chunked => chunked(rest, most),
    }
}

fn chunked(rest: &[u8], most: usize) -> Result<Whole<Cow<'_, [u8]>>, Fault> {
    let (mut whole, mut at) = (Vec::new(), 0);
    loop {
        if at > most + CHUNK_MARKS {
            return Err(fault(413, "a body that is too large"));
        }
        let size = httparse::parse_chunk_size(&rest[at..]);
        let (mark, n) = match size.map_err(|_| fault(400, "a chunk without a size"))? {
            httparse::Status::Partial if rest.len() - at > CHUNK_MARKS => {
                return Err(fault(400, "a chunk's size without end"));
            }
            httparse::Status::Partial => return Ok(None),
            httparse::Status::Complete(size) => size,
        };
        if n > (most - whole.len()) as u64 {
            return Err(fault(413, "a body that is too large"));
        }
        at += mark;
        if n == 0 {
            return trailer(rest, at, whole);
        }
        let n = n as usize;
        let Some(chunk) = rest.get(at..at + n) else {
            return Ok(None);
        };
        whole.extend_from_slice(chunk);
        match rest.get(at + n..at + n + 2) {
            None => return Ok(None),
            Some(b"\r\n") => at += n + 2,
            Some(_) => return Err(fault(400, "a chunk longer than its size")),
        }
    }
}

fn trailer(rest: &[u8], at: usize, whole: Vec<u8>) -> Result<Whole<Cow<'_, [u8]>>, Fault> {
    let mut headers = [httparse::EMPTY_HEADER; 8];
    match httparse::parse_headers(&rest[at..], &mut headers) {
        Ok(httparse::Status::Complete((used, _))) => Ok(Some((Cow::Owned(whole), at + used))),
        Ok(httparse::Status::Partial) if rest.len() - at <= CHUNK_MARKS => Ok(None),
        _ => Err(fault(400, "a trailer that cannot be read")),
    }
}

/// A client's message.
///
/// ```
/// use grebecleat_platform::http::request;
/// let whole = b"PUT /a/1 HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi";
/// let (r, used) = request(whole).unwrap().unwrap();
/// assert_eq!((r.method, r.target, &*r.body, used, r.keep), ("PUT", "/a/1", &b"hi"[..], whole.len(), true));
/// assert!((0..whole.len()).all(|n| request(&whole[..n]).unwrap().is_none()));
/// assert_eq!(request(b"PUT /a HTTP/1.1\r\nContent-Length: +2\r\n\r\nhi").unwrap_err().status, 400);
/// ```
pub fn request(bytes: &[u8]) -> Result<Whole<Request<'_>>, Fault> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let used = match head.parse(&bytes[..bytes.len().min(MAX_HEAD)]) {
        Ok(httparse::Status::Complete(used)) => used,
        Ok(httparse::Status::Partial) if bytes.len() >= MAX_HEAD => {
            return Err(fault(431, "a head without end"))
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(fault(431, "too many headers")),
        Err(httparse::Error::Version) => {
            return Err(fault(400, "a version that is not known here"))
        }
        Err(_) => return Err(fault(400, "a head that cannot be read")),
    };
    let (Some(method), Some(target), Some(version)) = (head.method, head.path, head.version) else {
        return Err(fault(400, "a head that cannot be read"));
    };
    let headers = Headers::of(head.headers);
    let keep = keeps(version, &headers);
    let Some((body, more)) = body(&bytes[used..], length(&headers, MAX_BODY)?, MAX_BODY)? else {
        return Ok(None);
    };
    Ok(Some((
        Request {
            method,
            target,
            headers,
            body,
            keep,
        },
        used + more,
    )))
}

fn keeps(version: u8, headers: &Headers) -> bool {
    version == 1 && !headers.has_token("connection", "close")
}

/// A node's or the list's answer, past interim heads. One without a length has no end that could be told from
/// a break, and is a fault.
///
/// ```
/// use grebecleat_platform::http::response;
/// let told = b"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 2";
/// let (r, used) = response(told).unwrap().unwrap();
/// assert_eq!((r.status, &*r.body, told.len() - used), (200, &b"hi"[..], 10));
/// assert!(response(b"HTTP/1.1 200 OK\r\n\r\nhi").is_err());
/// ```
pub fn response(bytes: &[u8]) -> Result<Whole<Response<'_>>, Fault> {
    let mut at = 0;
    for _ in 0..=MAX_INTERIM {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let rest = &bytes[at..];
        let used = match head.parse(&rest[..rest.len().min(MAX_HEAD)]) {
            Ok(httparse::Status::Complete(used)) => used,
            Ok(httparse::Status::Partial) if rest.len() < MAX_HEAD => return Ok(None),
            _ => return Err(fault(502, "a head that cannot be read")),
        };
        let (Some(status), Some(version)) = (head.code, head.version) else {
            return Err(fault(502, "a head that cannot be read"));
        };
        if (100..200).contains(&status) && status != 101 {
            at += used;
            continue;
        }
        let headers = Headers::of(head.headers);
        let keep = keeps(version, &headers);
        let length = match length(&headers, MAX_ANSWER)? {
            Length::None if !matches!(status, 204 | 304) => return Err(fault(502, "no length")),
            length => length,
        };
        let Some((body, more)) = body(&bytes[at + used..], length, MAX_ANSWER)? else {
            return Ok(None);
        };
        return Ok(Some((
            Response {
                status,
                headers,
                body,
                keep,
            },
            at + used + more,
        )));
    }
    Err(fault(502, "interim answers without end"))
}

fn reason(status: u16) -> &'static str {
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

/// Appends an answer. `more`: further header lines, each with its end.
pub fn put_response(to: &mut Vec<u8>, status: u16, more: &str, keep: bool, body: &[u8]) {
    let close = if keep { "" } else { "Connection: close\r\n" };
    let length = body.len();
    // Writing to memory cannot fail.
    let _ = write!(
        to,
        "HTTP/1.1 {status} {}\r\nContent-Length: {length}\r\n{close}{more}\r\n",
        reason(status)
    );
    to.extend_from_slice(body);
}
