//! Complete messages and their headers.

use super::{error, HttpError};

/// The headers of one message.
#[derive(Debug, PartialEq)]
pub struct Headers<'b>(Vec<(&'b str, &'b [u8])>);

impl<'b> Headers<'b> {
    /// Returns the headers with these names and values.
    pub(super) fn new(headers: Vec<(&'b str, &'b [u8])>) -> Self {
        Headers(headers)
    }

    /// Returns the values of the headers with a name, without the white space around them.
    pub(super) fn all(&self, name: &'static str) -> impl Iterator<Item = &'b [u8]> + '_ {
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

    /// Returns whether a header that is a list holds a token.
    pub(super) fn has_token(&self, name: &'static str, token: &str) -> bool {
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
    pub body: &'b [u8],
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
    pub body: &'b [u8],
    /// Whether the connection may carry another exchange.
    pub keep_alive: bool,
}
