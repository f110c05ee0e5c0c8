//! Any bytes parse to a message, an error or an incomplete message, without a panic. The result does
//! not depend on where a stream is split.

use grebecleat_platform::discovery::EndpointNames;
use grebecleat_platform::http::{request, response, MAX_HEAD, MAX_REQUEST_BODY};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const REQUESTS: [&str; 4] = [
    "GET /read/7f3a9c21e0b4d655 HTTP/1.1\r\nX-Txn: 9b\r\nX-Remaining-Ms: 480\r\n\r\n",
    "PUT /row/7f3a9c21e0b4d655?q HTTP/1.1\r\nContent-Length: 5\r\nIdempotency-Key: k\r\n\r\nhello",
    "PUT /row/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nA: b\r\n\r\n",
    "PUT /row/1 HTTP/1.0\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n",
];
const RESPONSES: [&str; 3] = [
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Iops-Used: 86\r\n\r\ngood",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
];

#[test]
fn a_message_parses_the_same_wherever_its_stream_is_split() {
    for text in REQUESTS {
        let bytes = text.as_bytes();
        for end in 0..bytes.len() {
            let parsed = request(&bytes[..end]);
            assert!(matches!(parsed, Ok(None)), "{text} at {end}");
        }
        assert_eq!(request(bytes).unwrap().unwrap().1, bytes.len(), "{text}");
        let twice = [bytes, bytes].concat();
        assert_eq!(
            request(&twice).unwrap().unwrap().1,
            bytes.len(),
            "{text}: a pipelined message stays in the buffer"
        );
    }
    for text in RESPONSES {
        let bytes = text.as_bytes();
        for end in 0..bytes.len() {
            let parsed = response(&bytes[..end]);
            assert!(matches!(parsed, Ok(None)), "{text} at {end}");
        }
        assert_eq!(response(bytes).unwrap().unwrap().1, bytes.len(), "{text}");
    }
}

#[test]
fn random_bytes_cause_no_panic_and_bodies_stay_within_their_limit() {
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    let fragments: [&[u8]; 8] = [
        b"\r\n",
        b"\r",
        b"\n\n",
        b"Content-Length: 99999999999999999999\r\n",
        b":",
        b"\0",
        b"ffffffffffffffff\r\n",
        b" ",
    ];
    for _ in 0..60_000 {
        let index = rng.random_range(0..REQUESTS.len() + RESPONSES.len());
        let text = REQUESTS
            .iter()
            .chain(&RESPONSES)
            .nth(index)
            .expect("within");
        let mut bytes = text.as_bytes().to_vec();
        for _ in 0..rng.random_range(1..5) {
            let at = rng.random_range(0..=bytes.len());
            match rng.random_range(0..3) {
                0 if at < bytes.len() => bytes[at] = rng.random(),
                1 if at < bytes.len() => _ = bytes.remove(at),
                _ => {
                    _ = bytes.splice(
                        at..at,
                        fragments[rng.random_range(0..fragments.len())]
                            .iter()
                            .copied(),
                    )
                }
            }
        }
        if let Ok(Some((parsed, used))) = request(&bytes) {
            assert!(used <= bytes.len() && parsed.body.len() <= MAX_REQUEST_BODY);
        }
        if let Ok(Some((_, used))) = response(&bytes) {
            assert!(used <= bytes.len());
        }
        let _ = EndpointNames::default().read(&bytes, 0.0);
    }
}

#[test]
fn a_message_over_a_size_limit_is_an_error() {
    let head = [b"GET / HTTP/1.1\r\nA: ".to_vec(), vec![b'x'; MAX_HEAD]].concat();
    assert_eq!(request(&head).unwrap_err().status, 431);
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(200));
    assert_eq!(request(many.as_bytes()).unwrap_err().status, 431);
    let interim = "HTTP/1.1 102 Wait\r\n\r\n".repeat(50);
    assert!(response(interim.as_bytes()).is_err());
    let chunks = format!(
        "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{}",
        "1\r\nx\r\n".repeat(70_000)
    );
    assert_eq!(request(chunks.as_bytes()).unwrap_err().status, 413);
}
