//! Any bytes parse to a message, an error or an incomplete message, without a panic. The result does
//! not depend on where a stream is split, and is that of httparse on the whole bytes.

mod reference;

use grebecleat_platform::discovery::EndpointNames;
use grebecleat_platform::http::{HttpError, MessageReader, MAX_HEAD, MAX_REQUEST_BODY};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use reference::{Kind, Message, Reference};

const REQUESTS: [&str; 8] = [
    "GET /read/7f3a9c21e0b4d655 HTTP/1.1\r\nX-Txn: 9b\r\nX-Remaining-Ms: 480\r\n\r\n",
    "PUT /row/7f3a9c21e0b4d655?q HTTP/1.1\r\nContent-Length: 5\r\nIdempotency-Key: k\r\n\r\nhello",
    "PUT /row/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nA: b\r\n\r\n",
    "PUT /row/1 HTTP/1.0\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n",
    "PUT /row/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\
     1\r\na\r\n1;x=\";\"\r\nb\r\nA \t;y\r\n0\r\n\r\n12345\r\n0;last\r\nA: b\r\nC:\r\n\r\n",
    "\r\n\nGET /a HTTP/1.1\nHost:x\n\r\n",
    "PUT /row/1 HTTP/1.1\r\nConnection: close\r\nTransfer-Encoding: Chunked\r\n\r\n0\r\n\r\n",
    "PUT /row/1 HTTP/1.1\r\nX: \r\nZ:\r\nContent-Length:  3 \r\nY:\t\u{e9}\t\r\n\r\n\r\n\r",
];
const RESPONSES: [&str; 5] = [
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Iops-Used: 86\r\n\r\ngood",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
    "\r\nHTTP/1.0 204\r\n\r\n",
    "HTTP/1.1 103 A\r\nLink: b\r\n\r\nHTTP/1.1 102\r\n\r\nHTTP/1.1 500 No\r\n\
     Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n2;e\r\nho\r\n0\r\nT: t\r\n\r\n",
];

/// Returns the corpus with the kind of each message.
fn corpus() -> impl Iterator<Item = (Kind, &'static [u8])> {
    let requests = REQUESTS.iter().map(|text| (Kind::Request, text.as_bytes()));
    let responses = RESPONSES.iter();
    requests.chain(responses.map(|text| (Kind::Response, text.as_bytes())))
}

fn reader(kind: Kind) -> MessageReader {
    match kind {
        Kind::Request => MessageReader::for_requests(),
        Kind::Response => MessageReader::for_responses(),
    }
}

/// Reads the current message.
fn read(kind: Kind, reader: &mut MessageReader) -> Result<Option<Message>, HttpError> {
    let message = match kind {
        Kind::Request => reader
            .read_request()?
            .map(|request| Message::from(&request)),
        Kind::Response => reader
            .read_response()?
            .map(|response| Message::from(&response)),
    };
    Ok(message)
}

/// What a reader returned: the complete messages, and the error or the number of bytes behind them.
type Outcome = (Vec<Message>, Result<usize, HttpError>);

/// Reads the messages in these pieces. Reads after each piece.
fn read_pieces<'b>(kind: Kind, pieces: impl IntoIterator<Item = &'b [u8]>) -> Outcome {
    let mut reader = reader(kind);
    let mut messages = Vec::new();
    for piece in pieces {
        reader.push(piece);
        loop {
            match read(kind, &mut reader) {
                Ok(Some(message)) => {
                    messages.push(message);
                    reader.finish();
                }
                Ok(None) => break,
                Err(error) => return (messages, Err(error)),
            }
        }
    }
    let is_empty = reader.is_empty();
    (messages, Ok(usize::from(!is_empty)))
}

/// Checks that the bytes give the same messages or the same error however they are cut.
fn assert_every_split_agrees(kind: Kind, bytes: &[u8], rng: &mut Pcg64Mcg) {
    let whole = read_pieces(kind, [bytes]);
    let text = String::from_utf8_lossy(bytes);
    for cut in 1..bytes.len() {
        let (first, second) = bytes.split_at(cut);
        assert_eq!(
            read_pieces(kind, [first, second]),
            whole,
            "{text:?} at {cut}"
        );
    }
    assert_eq!(
        read_pieces(kind, bytes.chunks(1)),
        whole,
        "{text:?} byte by byte"
    );
    for _ in 0..4 {
        let size = rng.random_range(2..9);
        let skipped = rng.random_range(0..size.min(bytes.len() + 1));
        let (first, rest) = bytes.split_at(skipped.min(bytes.len()));
        let pieces = std::iter::once(first).chain(rest.chunks(size));
        assert_eq!(read_pieces(kind, pieces), whole, "{text:?} by {size}");
    }
}

/// Checks the first message against the reference, which reads whole bytes with httparse alone.
fn assert_agrees_with_reference(kind: Kind, bytes: &[u8]) {
    let text = String::from_utf8_lossy(bytes);
    let mut reader = reader(kind);
    reader.push(bytes);
    let result = read(kind, &mut reader);
    match reference::read(kind, bytes) {
        Reference::Complete(message, used) => {
            assert_eq!(result, Ok(Some(message)), "{text:?}");
            assert_eq!(reader.bytes_behind(), bytes.len() - used, "{text:?}");
        }
        Reference::Incomplete => assert_eq!(result, Ok(None), "{text:?}"),
        // A malformed line may be found when it ends.
        Reference::Malformed if result == Ok(None) => {
            reader.push(b"\r\n\r\n");
            assert!(read(kind, &mut reader).is_err(), "{text:?}");
        }
        Reference::Malformed => assert!(result.is_err(), "{text:?}: {result:?}"),
    }
}

/// Changes some bytes.
fn mutate(bytes: &mut Vec<u8>, rng: &mut Pcg64Mcg) {
    const FRAGMENTS: [&[u8]; 12] = [
        b"\r\n",
        b"\r",
        b"\n\n",
        b"Content-Length: 99999999999999999999\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b":",
        b"\0",
        b"ffffffffffffffff\r\n",
        b" ",
        b"\t",
        b";",
        b"0\r\n",
    ];
    for _ in 0..rng.random_range(1..5) {
        let at = rng.random_range(0..=bytes.len());
        match rng.random_range(0..4) {
            0 if at < bytes.len() => bytes[at] = rng.random(),
            1 if at < bytes.len() => _ = bytes.remove(at),
            2 => bytes.truncate(at),
            _ => {
                let fragment = FRAGMENTS[rng.random_range(0..FRAGMENTS.len())];
                _ = bytes.splice(at..at, fragment.iter().copied());
            }
        }
    }
}

#[test]
fn a_message_parses_the_same_wherever_its_stream_is_split() {
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    for (kind, bytes) in corpus() {
        for end in 0..bytes.len() {
            let (messages, rest) = read_pieces(kind, [&bytes[..end]]);
            assert_eq!(
                (messages, rest.is_ok()),
                (vec![], true),
                "{:?} at {end}",
                String::from_utf8_lossy(bytes)
            );
        }
        assert_agrees_with_reference(kind, bytes);
        assert_every_split_agrees(kind, bytes, &mut rng);
        let twice = [bytes, bytes].concat();
        let (messages, rest) = read_pieces(kind, [&twice[..]]);
        assert_eq!((messages.len(), rest), (2, Ok(0)), "pipelined messages");
        assert_every_split_agrees(kind, &twice, &mut rng);
    }
}

/// Guards against results that depend on how a malformed message was cut, in every state of the reader.
#[test]
fn malformed_messages_give_the_same_error_wherever_their_stream_is_split() {
    let mut rng = Pcg64Mcg::seed_from_u64(57);
    for _ in 0..6_000 {
        let (kind, bytes) = corpus()
            .nth(rng.random_range(0..REQUESTS.len() + RESPONSES.len()))
            .expect("within the corpus");
        let mut bytes = bytes.to_vec();
        mutate(&mut bytes, &mut rng);
        assert_agrees_with_reference(kind, &bytes);
        assert_every_split_agrees(kind, &bytes, &mut rng);
    }
}

#[test]
fn random_bytes_cause_no_panic_and_bodies_stay_within_their_limit() {
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    for _ in 0..60_000 {
        let index = rng.random_range(0..REQUESTS.len() + RESPONSES.len());
        let (kind, text) = corpus().nth(index).expect("within");
        let mut bytes = text.to_vec();
        mutate(&mut bytes, &mut rng);
        let other = match kind {
            Kind::Request => Kind::Response,
            Kind::Response => Kind::Request,
        };
        for kind in [kind, other] {
            let mut reader = reader(kind);
            reader.push(&bytes);
            if let Ok(Some(message)) = read(kind, &mut reader) {
                assert!(message.body.len() <= MAX_REQUEST_BODY);
                assert!(reader.bytes_behind() <= bytes.len());
            }
        }
        let _ = EndpointNames::default().read(&bytes, 0.0);
    }
}

/// Returns the status of the error for a request that arrives in pieces of this size.
fn error_status(request: &[u8], piece: usize) -> u16 {
    let (messages, rest) = read_pieces(Kind::Request, request.chunks(piece));
    assert!(messages.is_empty(), "{messages:?}");
    rest.expect_err("the request is over a limit").status
}

#[test]
fn a_message_over_a_size_limit_is_an_error() {
    let chunked = "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    let cases = [
        (
            format!("GET / HTTP/1.1\r\nA: {}", "x".repeat(MAX_HEAD)),
            431,
        ),
        (
            format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(200)),
            431,
        ),
        (format!("GET / HTTP/1.1\r\n{}", "A: b\r\n".repeat(65)), 431),
        (format!("{chunked}{}", "1\r\nx\r\n".repeat(70_000)), 413),
        (format!("{chunked}1;{}\r\n", "x".repeat(9_000)), 400),
        (
            format!("{chunked}0\r\nA: {}\r\n\r\n", "x".repeat(9_000)),
            400,
        ),
        (format!("{chunked}{:x}\r\n", MAX_REQUEST_BODY + 1), 413),
        (format!("{chunked}ffffffffffffffff\r\n"), 413),
        (format!("{chunked};\r\n"), 400),
        (format!("{chunked}1;a\nb\r\n"), 400),
    ];
    for (request, status) in cases {
        for piece in [request.len(), 1000, 7, 1] {
            let head = &request[..request.len().min(80)];
            assert_eq!(
                error_status(request.as_bytes(), piece),
                status,
                "{head} by {piece}"
            );
        }
    }
    let interim = "HTTP/1.1 102 Wait\r\n\r\n".repeat(50);
    let (_, rest) = read_pieces(Kind::Response, [interim.as_bytes()]);
    assert!(rest.is_err());
}

/// Guards against framing that stays in memory: of a body in tiny chunks, the data alone are held.
#[test]
fn the_framing_of_chunks_is_not_held() {
    let mut reader = MessageReader::for_requests();
    reader.push(b"PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
    let head = reader.len();
    for _ in 0..8_000 {
        for byte in b"1;e\r\nx\r\n" {
            reader.push(&[*byte]);
            assert_eq!(reader.read_request(), Ok(None));
        }
    }
    assert_eq!(reader.len(), head + 8_000);
    assert!(reader.capacity() < 12_000, "{} bytes", reader.capacity());
}
