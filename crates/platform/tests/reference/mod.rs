//! Reads the first message of whole bytes, from its first byte, with httparse alone.

use grebecleat_platform::http::{Request, Response};

/// The kind of message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Request,
    Response,
}

/// A message with its parts in its own memory.
#[derive(Debug, PartialEq)]
pub struct Message {
    /// Method and target, or the status.
    pub start: String,
    pub body: Vec<u8>,
    pub keep_alive: bool,
    /// Values of some headers.
    pub headers: Vec<Vec<u8>>,
}

const HEADERS: [&str; 5] = ["x-txn", "a", "y", "connection", "content-length"];

impl From<&Request<'_>> for Message {
    fn from(request: &Request) -> Self {
        let value = |name| request.headers.one_raw(name).ok().flatten();
        Message {
            start: format!("{} {}", request.method, request.target),
            body: request.body.to_vec(),
            keep_alive: request.keep_alive,
            headers: HEADERS
                .map(|name| value(name).unwrap_or_default().to_vec())
                .into(),
        }
    }
}

impl From<&Response<'_>> for Message {
    fn from(response: &Response) -> Self {
        let value = |name| response.headers.one_raw(name).ok().flatten();
        Message {
            start: response.status.to_string(),
            body: response.body.to_vec(),
            keep_alive: response.keep_alive,
            headers: HEADERS
                .map(|name| value(name).unwrap_or_default().to_vec())
                .into(),
        }
    }
}

/// The result of reading whole bytes.
pub enum Reference {
    /// A message, and the number of bytes that it took.
    Complete(Message, usize),
    Incomplete,
    Malformed,
}

use Reference::{Complete, Incomplete, Malformed};

/// Reads the first message.
pub fn read(kind: Kind, bytes: &[u8]) -> Reference {
    let mut offset = 0;
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 64];
        let (parsed, start, version) = match kind {
            Kind::Request => {
                let mut request = httparse::Request::new(&mut headers);
                let parsed = request.parse(&bytes[offset..]);
                let method = request.method.unwrap_or_default();
                let start = format!("{method} {}", request.path.unwrap_or_default());
                (parsed, start, request.version)
            }
            Kind::Response => {
                let mut response = httparse::Response::new(&mut headers);
                let parsed = response.parse(&bytes[offset..]);
                let start = response.code.unwrap_or_default().to_string();
                (parsed, start, response.version)
            }
        };
        let used = match parsed {
            Err(_) => return Malformed,
            Ok(httparse::Status::Partial) => return Incomplete,
            Ok(httparse::Status::Complete(used)) => used,
        };
        offset += used;
        if kind == Kind::Response && start.starts_with('1') && start != "101" {
            continue;
        }
        return message(kind, bytes, offset, &headers, (start, version == Some(1)));
    }
}

fn message(
    kind: Kind,
    bytes: &[u8],
    offset: usize,
    headers: &[httparse::Header],
    (start, is_current): (String, bool),
) -> Reference {
    let all = |name: &str| -> Vec<&[u8]> {
        let named = headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name));
        named.map(|header| header.value.trim_ascii()).collect()
    };
    let closes = all("connection").iter().any(|value| {
        let mut tokens = value.split(|byte| *byte == b',');
        tokens.any(|token| token.trim_ascii().eq_ignore_ascii_case(b"close"))
    });
    let body = match (&all("content-length")[..], &all("transfer-encoding")[..]) {
        ([], []) if kind == Kind::Request || start == "204" || start == "304" => {
            Some((Vec::new(), offset))
        }
        ([length], []) => match plain_body(bytes, offset, length) {
            Ok(body) => body,
            Err(()) => return Malformed,
        },
        ([], [coding]) if coding.eq_ignore_ascii_case(b"chunked") => {
            match chunked_body(bytes, offset) {
                Ok(body) => body,
                Err(()) => return Malformed,
            }
        }
        _ => return Malformed,
    };
    let Some((body, end)) = body else {
        return Incomplete;
    };
    let value = |name: &str| match &all(name)[..] {
        [value] => value.to_vec(),
        _ => Vec::new(),
    };
    let message = Message {
        start,
        body,
        keep_alive: is_current && !closes,
        headers: HEADERS.map(value).into(),
    };
    Complete(message, end)
}

/// A body and where it ends, or `None` if it is incomplete.
type BodyResult = Result<Option<(Vec<u8>, usize)>, ()>;

fn plain_body(bytes: &[u8], offset: usize, length: &[u8]) -> BodyResult {
    let text = std::str::from_utf8(length).map_err(|_| ())?;
    let is_decimal = text.bytes().all(|byte| byte.is_ascii_digit());
    let length: usize = text.parse().map_err(|_| ())?;
    if !is_decimal || length > 512 << 10 {
        return Err(());
    }
    let body = bytes.get(offset..offset + length);
    Ok(body.map(|body| (body.to_vec(), offset + length)))
}

fn chunked_body(bytes: &[u8], mut offset: usize) -> BodyResult {
    let mut body = Vec::new();
    loop {
        if bytes
            .get(offset)
            .is_some_and(|byte| !byte.is_ascii_hexdigit())
        {
            return Err(());
        }
        // A line end without a carriage return is read differently by other parsers.
        let line_end = bytes[offset..].iter().position(|byte| *byte == b'\n');
        if line_end.is_some_and(|end| end == 0 || bytes[offset + end - 1] != b'\r') {
            return Err(());
        }
        let (used, size) = match httparse::parse_chunk_size(&bytes[offset..]).map_err(|_| ())? {
            httparse::Status::Partial => return Ok(None),
            httparse::Status::Complete(parsed) => parsed,
        };
        if size > 512 << 10 {
            return Err(());
        }
        offset += used;
        if size == 0 {
            let mut headers = [httparse::EMPTY_HEADER; 8];
            let trailer = httparse::parse_headers(&bytes[offset..], &mut headers);
            return match trailer.map_err(|_| ())? {
                httparse::Status::Partial => Ok(None),
                httparse::Status::Complete((used, _)) => Ok(Some((body, offset + used))),
            };
        }
        let end = offset + size as usize;
        let Some(data) = bytes.get(offset..end) else {
            return Ok(None);
        };
        body.extend_from_slice(data);
        let line_end = &bytes[end..bytes.len().min(end + 2)];
        if !b"\r\n".starts_with(line_end) {
            return Err(());
        }
        if line_end.len() < 2 {
            return Ok(None);
        }
        offset = end + 2;
    }
}
