//! Reads HTTP messages that arrive in pieces, without sockets: the cost of a byte by the form of the message,
//! its size, and the size of the pieces.
//!
//! The nanoseconds depend on the load of the machine; the instruction count of
//! `valgrind --tool=callgrind` does not. The difference between the counts of two runs with `--messages`,
//! divided by the difference between their bytes, is the cost of one byte.

use grebecleat_platform::http::MessageReader;
use std::time::Instant;

/// Sizes of one message in the table, in bytes.
const MESSAGE_BYTES: [usize; 3] = [4 << 10, 16 << 10, 60 << 10];
/// Sizes of the pieces in the table, in bytes.
const PIECE_BYTES: [usize; 4] = [1, 6, 1 << 10, 64 << 10];
/// Number of bytes that each cell of the table reads.
const CELL_BYTES: usize = 8 << 20;
/// Largest head, trailer and extension, below the reader's limits.
const MAX_HEAD_BYTES: usize = 15 << 10;
const MAX_TRAILER_BYTES: usize = 4000;
/// Number of bytes of one extension.
const EXTENSION_BYTES: usize = 40;

/// The form of the message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Form {
    /// A head with many headers, at most 15 KiB, and no body.
    Head,
    /// A body with a length.
    Length,
    /// A body in chunks of one byte.
    Chunks,
    /// A body in chunks of 64 bytes with an extension each.
    Extensions,
    /// Headers behind the last chunk, at most 4000 bytes.
    Trailer,
    /// A node's response with a body in chunks of one byte.
    Response,
}

const FORMS: [Form; 6] = [
    Form::Head,
    Form::Length,
    Form::Chunks,
    Form::Extensions,
    Form::Trailer,
    Form::Response,
];

impl Form {
    /// Returns a message of about this size.
    fn message(self, bytes: usize) -> Vec<u8> {
        const CHUNKED: &str = "PUT /a/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
        const CHUNK: &str = "1\r\nx\r\n";
        let text = match self {
            Form::Head => {
                let value = "v".repeat(bytes.min(MAX_HEAD_BYTES) / 50);
                let headers = format!("X-Header: {value}\r\n").repeat(50);
                format!("GET /a/1 HTTP/1.1\r\n{headers}\r\n")
            }
            Form::Length => {
                let body = "x".repeat(bytes);
                format!("PUT /a/1 HTTP/1.1\r\nContent-Length: {bytes}\r\n\r\n{body}")
            }
            Form::Chunks => {
                let chunks = CHUNK.repeat(bytes / CHUNK.len());
                format!("{CHUNKED}{chunks}0\r\n\r\n")
            }
            Form::Extensions => {
                let extension = "e".repeat(EXTENSION_BYTES);
                let chunk = format!("40;{extension}\r\n{}\r\n", "x".repeat(64));
                let chunks = chunk.repeat(bytes / chunk.len());
                format!("{CHUNKED}{chunks}0\r\n\r\n")
            }
            Form::Trailer => {
                let value = "v".repeat(bytes.min(MAX_TRAILER_BYTES) / 5);
                let trailer = format!("A: {value}\r\n").repeat(5);
                format!("{CHUNKED}0\r\n{trailer}\r\n")
            }
            Form::Response => {
                let chunks = CHUNK.repeat(bytes / CHUNK.len());
                format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n")
            }
        };
        text.into_bytes()
    }

    fn reader(self) -> MessageReader {
        match self {
            Form::Response => MessageReader::for_responses(),
            _ => MessageReader::for_requests(),
        }
    }

    /// Reads the current message, and returns whether it is complete.
    fn is_complete(self, reader: &mut MessageReader) -> bool {
        let result = match self {
            Form::Response => reader.read_response().map(|message| message.is_some()),
            _ => reader.read_request().map(|message| message.is_some()),
        };
        result.expect("the message is valid")
    }
}

/// Messages to read.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Their form.
    pub form: Form,
    /// The size of one message in bytes.
    pub message_bytes: usize,
    /// The size of one piece in bytes.
    pub piece_bytes: usize,
}

/// Reads so many messages, and returns the number of their bytes and the nanoseconds that it took.
fn read(load: Load, messages: u64) -> (usize, f64) {
    let message = load.form.message(load.message_bytes);
    let mut reader = load.form.reader();
    let began_at = Instant::now();
    for _ in 0..messages {
        let mut is_complete = false;
        for piece in message.chunks(load.piece_bytes) {
            reader.push(piece);
            is_complete = load.form.is_complete(&mut reader);
        }
        assert!(is_complete, "{load:?}: the message is incomplete");
        reader.finish();
    }
    let nanos = began_at.elapsed().as_nanos() as f64;
    (message.len() * messages as usize, nanos)
}

/// Reads so many messages and prints the number of their bytes.
pub fn run_fixed(load: Load, messages: u64) {
    let (bytes, nanos) = read(load, messages);
    println!(
        "{load:?}: {bytes} bytes, {:.1} ns per byte",
        nanos / bytes as f64
    );
}

/// Prints a table of nanoseconds per byte.
pub fn measure() {
    println!("| form | message, bytes | piece, bytes | ns per byte |");
    println!("| --- | ---: | ---: | ---: |");
    for form in FORMS {
        for message_bytes in MESSAGE_BYTES {
            for piece_bytes in PIECE_BYTES {
                let load = Load {
                    form,
                    message_bytes,
                    piece_bytes,
                };
                let messages = (CELL_BYTES / message_bytes) as u64;
                let (bytes, nanos) = read(load, messages);
                let form = format!("{form:?}").to_lowercase();
                let cost = nanos / bytes as f64;
                println!("| {form} | {message_bytes} | {piece_bytes} | {cost:.1} |");
            }
        }
    }
}
