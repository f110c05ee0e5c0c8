//! Reading of complete HTTP requests and responses from a socket.

use grebecleat_platform::http::MessageReader;
use std::io::Read;
use std::net::TcpStream;

/// Reads the next complete request, as text; `None` if the connection ends first. `buffered` keeps the
/// bytes of later requests.
pub fn next_exchange(stream: &mut TcpStream, buffered: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(length) = request_length(buffered) {
            let text = String::from_utf8_lossy(&buffered[..length]).into_owned();
            buffered.drain(..length);
            return Some(text);
        }
        read_more(stream, buffered)?;
    }
}

/// Reads the status, head and body of the next response; `None` if the connection ends first.
pub fn answer(stream: &mut TcpStream) -> Option<(u16, String, Vec<u8>)> {
    let mut buffered = Vec::new();
    loop {
        let mut reader = MessageReader::for_responses();
        reader.push(&buffered);
        if let Ok(Some(response)) = reader.read_response() {
            let (status, body) = (response.status, response.body.to_vec());
            let length = buffered.len() - reader.bytes_behind();
            let head = String::from_utf8_lossy(&buffered[..length - body.len()]).into_owned();
            return Some((status, head, body));
        }
        read_more(stream, &mut buffered)?;
    }
}

/// Returns the length of the request with which the bytes begin; `None` if it is incomplete.
pub fn request_length(bytes: &[u8]) -> Option<usize> {
    let mut reader = MessageReader::for_requests();
    reader.push(bytes);
    let is_complete = matches!(reader.read_request(), Ok(Some(_)));
    is_complete.then(|| bytes.len() - reader.bytes_behind())
}

fn read_more(stream: &mut TcpStream, buffered: &mut Vec<u8>) -> Option<()> {
    let mut buffer = [0; 4096];
    match stream.read(&mut buffer) {
        Ok(length @ 1..) => {
            buffered.extend_from_slice(&buffer[..length]);
            Some(())
        }
        _ => None,
    }
}

/// Returns the value of a header.
pub fn header<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    text.lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}

/// Returns the target of a request.
pub fn target(request: &str) -> &str {
    request.split(' ').nth(1).unwrap_or_default()
}

/// Returns a numeric query parameter of a request target. `name` includes the equals sign.
pub fn query_number(target: &str, name: &str) -> Option<u64> {
    target.split(name).nth(1)?.split('&').next()?.parse().ok()
}
