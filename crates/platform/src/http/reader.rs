//! Reads the messages of one connection from bytes that arrive in any pieces.

use super::body::{Body, BodyReader};
use super::head::{text, Head, HeadKind, HeadReader, StartLine};
use super::message::{Request, Response};
use super::message_buffer::MessageBuffer;
use super::{error, HttpError, MAX_REQUEST_BODY, MAX_RESPONSE_BODY};

/// Maximum number of interim (1xx) responses before the final one. A larger value lets a node delay its
/// response; a smaller one rejects responses.
const MAX_INTERIM_RESPONSES: usize = 8;

/// Reads requests or responses, one after the other.
///
/// Reading resumes where it stopped, so the cost of a message depends on its length, and not on the
/// pieces in which it arrives. Memory: the bytes that were pushed and belong to no finished message. The
/// framing of a chunked body is not held.
///
/// ```
/// use grebecleat_platform::http::MessageReader;
/// let mut reader = MessageReader::for_requests();
/// reader.push(b"PUT /a/1 HTTP/1.1\r\nContent-Length: 2\r\n\r\nh");
/// assert!(reader.read_request().unwrap().is_none());
/// reader.push(b"iGET /b HTTP/1.1\r\n\r\n");
/// let request = reader.read_request().unwrap().unwrap();
/// assert_eq!((request.method, request.target, request.body), ("PUT", "/a/1", &b"hi"[..]));
/// reader.finish();
/// assert_eq!(reader.read_request().unwrap().unwrap().target, "/b");
///
/// let mut reader = MessageReader::for_requests();
/// reader.push(b"PUT /a HTTP/1.1\r\nContent-Length: +2\r\n\r\nhi");
/// assert_eq!(reader.read_request().unwrap_err().status, 400);
/// ```
#[derive(Debug)]
pub struct MessageReader {
    kind: HeadKind,
    max_body: usize,
    buffer: MessageBuffer,
    state: State,
    /// Number of interim responses before the current message.
    interim_responses: usize,
    /// Number of bytes of those responses.
    interim_bytes: usize,
}

/// How far the current message was read.
#[derive(Debug)]
enum State {
    Head(HeadReader),
    Body(Head, BodyReader),
    Complete(Head, Body),
    Failed(HttpError),
}

impl MessageReader {
    fn new(kind: HeadKind, max_body: usize) -> Self {
        MessageReader {
            kind,
            max_body,
            buffer: MessageBuffer::default(),
            state: State::Head(HeadReader::new(kind)),
            interim_responses: 0,
            interim_bytes: 0,
        }
    }

    /// Returns a reader of requests with bodies of at most [`MAX_REQUEST_BODY`] bytes.
    pub fn for_requests() -> Self {
        MessageReader::new(HeadKind::Request, MAX_REQUEST_BODY)
    }

    /// Returns a reader of responses with bodies of at most [`MAX_RESPONSE_BODY`] bytes.
    pub fn for_responses() -> Self {
        MessageReader::for_responses_up_to(MAX_RESPONSE_BODY)
    }

    /// Returns a reader of responses with bodies of at most `max_body` bytes.
    pub fn for_responses_up_to(max_body: usize) -> Self {
        MessageReader::new(HeadKind::Response, max_body)
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.push(bytes);
    }

    /// Reads the current request as far as it has arrived. Returns `None` if it is incomplete. It stays
    /// the current one until [`MessageReader::finish`].
    ///
    /// Returns an error, which is the response to the client, if the request is malformed or too large,
    /// or if this reader reads responses. The connection cannot be used again after it.
    pub fn read_request(&mut self) -> Result<Option<Request<'_>>, HttpError> {
        if !self.advance()? {
            return Ok(None);
        }
        let bytes = self.buffer.unfinished();
        let State::Complete(head, body) = &self.state else {
            return Ok(None);
        };
        let StartLine::Request { method, target } = &head.start_line else {
            return Err(error(500, "expected a reader of requests"));
        };
        let headers = head.headers(bytes);
        Ok(Some(Request {
            method: text(bytes, method),
            target: text(bytes, target),
            keep_alive: head.keeps_alive(&headers),
            headers,
            body: &bytes[body.range.clone()],
        }))
    }

    /// Reads the current response as far as it has arrived, and skips interim responses. Returns `None`
    /// if it is incomplete. It stays the current one until [`MessageReader::finish`].
    ///
    /// Returns an error if the response is malformed, too large, or has no length, or if this reader
    /// reads requests. The end of a response without a length is the end of its connection, which cannot
    /// be told from a broken connection.
    ///
    /// ```
    /// use grebecleat_platform::http::MessageReader;
    /// let mut reader = MessageReader::for_responses();
    /// reader.push(b"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
    /// let response = reader.read_response().unwrap().unwrap();
    /// assert_eq!((response.status, response.body), (200, &b"hi"[..]));
    /// let mut reader = MessageReader::for_responses();
    /// reader.push(b"HTTP/1.1 200 OK\r\n\r\nhi");
    /// assert!(reader.read_response().is_err());
    /// ```
    pub fn read_response(&mut self) -> Result<Option<Response<'_>>, HttpError> {
        if !self.advance()? {
            return Ok(None);
        }
        let bytes = self.buffer.unfinished();
        let State::Complete(head, body) = &self.state else {
            return Ok(None);
        };
        let StartLine::Response { status } = head.start_line else {
            return Err(error(500, "expected a reader of responses"));
        };
        let headers = head.headers(bytes);
        Ok(Some(Response {
            status,
            keep_alive: head.keeps_alive(&headers),
            headers,
            body: &bytes[body.range.clone()],
        }))
    }

    /// Removes the current message if it is complete. The next one begins behind it.
    pub fn finish(&mut self) {
        if let State::Complete(_, body) = &self.state {
            self.buffer.finish(body.end);
            self.begin_message();
            self.interim_responses = 0;
            self.interim_bytes = 0;
        }
    }

    /// Drops all bytes, and begins a new message.
    pub fn clear(&mut self) {
        *self = MessageReader::new(self.kind, self.max_body);
    }

    /// Returns whether no byte has arrived since the last finished message.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of bytes that are buffered since the last finished message, and of those of
    /// interim responses. The framing of a chunked body does not count.
    pub fn len(&self) -> usize {
        self.interim_bytes + self.buffer.unfinished().len()
    }

    /// Returns the number of bytes behind the current message, or zero if it is incomplete.
    pub fn bytes_behind(&self) -> usize {
        match &self.state {
            State::Complete(_, body) => self.buffer.unfinished().len() - body.end,
            _ => 0,
        }
    }

    /// Returns the bytes of memory that the messages take.
    pub fn capacity(&self) -> usize {
        let head = match &self.state {
            State::Body(head, _) | State::Complete(head, _) => head.capacity(),
            State::Head(_) | State::Failed(_) => 0,
        };
        self.buffer.capacity() + head
    }

    fn begin_message(&mut self) {
        self.state = State::Head(HeadReader::new(self.kind));
    }

    /// Reads on where the previous call stopped. Returns whether the current message is complete.
    fn advance(&mut self) -> Result<bool, HttpError> {
        let result = self.read_on();
        if let Err(error) = result {
            self.state = State::Failed(error);
        }
        result
    }

    fn read_on(&mut self) -> Result<bool, HttpError> {
        loop {
            match &mut self.state {
                State::Head(reader) => {
                    let Some(head) = reader.read(self.buffer.unfinished())? else {
                        return Ok(false);
                    };
                    self.end_head(head)?;
                }
                State::Body(_, reader) => {
                    let Some(body) = reader.read(self.buffer.unfinished_mut())? else {
                        self.buffer.remove(reader.take_decoded());
                        return Ok(false);
                    };
                    self.end_body(body);
                }
                State::Complete(..) => return Ok(true),
                State::Failed(error) => return Err(*error),
            }
        }
    }

    fn end_head(&mut self, head: Head) -> Result<(), HttpError> {
        if is_interim(&head.start_line) {
            return self.skip_interim_response(&head);
        }
        let headers = head.headers(self.buffer.unfinished());
        let length = head.body_length(&headers, self.max_body)?;
        let reader = BodyReader::new(length, head.length, self.max_body);
        self.state = State::Body(head, reader);
        Ok(())
    }

    fn skip_interim_response(&mut self, head: &Head) -> Result<(), HttpError> {
        self.interim_responses += 1;
        if self.interim_responses > MAX_INTERIM_RESPONSES {
            return Err(error(502, "too many interim responses"));
        }
        self.interim_bytes += head.length;
        self.buffer.finish(head.length);
        self.begin_message();
        Ok(())
    }

    fn end_body(&mut self, body: Body) {
        let state = std::mem::replace(&mut self.state, State::Head(HeadReader::new(self.kind)));
        if let State::Body(head, _) = state {
            self.state = State::Complete(head, body);
        }
    }
}

/// Returns whether a final response follows this one.
fn is_interim(start_line: &StartLine) -> bool {
    match start_line {
        StartLine::Request { .. } => false,
        StartLine::Response { status } => (100..200).contains(status) && *status != 101,
    }
}
