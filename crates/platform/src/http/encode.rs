//! Encodes responses.

use bytes::Bytes;

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
