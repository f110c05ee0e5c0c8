//! Reads HTTP/1.1 requests and responses, and encodes responses. This module performs no I/O.
//!
//! A [`MessageReader`] holds the bytes of one connection and returns its messages, or an error, after
//! which the connection cannot be used again. A message that two parsers could interpret differently
//! (both kinds of length, repeated or signed lengths) is an error, since it may hide a second message
//! (request smuggling). The constants of this module limit the size of a message.
//!
//! The modules read on where they stopped: `head` the start line and the headers, `body` a body with a
//! length or in chunks. `section` finds the lines of heads and trailers.

mod body;
mod encode;
mod head;
mod message;
mod message_buffer;
mod reader;
mod section;

pub use encode::{response_message, OutgoingMessage};
pub use message::{Headers, Request, Response};
pub use reader::MessageReader;

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

/// An error that makes a message unusable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct HttpError {
    /// The status of the error response to the client.
    pub status: u16,
    /// The fault, which is the body of the error response.
    pub reason: &'static str,
}

const fn error(status: u16, reason: &'static str) -> HttpError {
    HttpError { status, reason }
}
