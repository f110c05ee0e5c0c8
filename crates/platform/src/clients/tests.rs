use super::*;

fn parser() -> RequestParser {
    let class = |name: &str, requires_key, write| ClassProtocol {
        name: name.into(),
        requires_key,
        write: Some(write),
    };
    RequestParser {
        traffic_classes: vec![class("read", false, false), class("row", true, true)],
        plans: vec!["basic".into(), "gold".into()],
        max_units: 6.0,
    }
}

const GOOD: &str =
    "PUT /row/7f3a9c21e0b4d655?a=1 HTTP/1.1\r\nHost: x\r\nX-Txn: 9b\r\nX-Qos-Policy: gold\r\n\
        X-Remaining-Ms: 480\r\nContent-Length: 2\r\nIdempotency-Key: k1\r\n\
        X-Placement: volume=00000003b4d60021,units=2,shard=5,hosts=3\r\n\r\nhi";

fn parse(parser: &RequestParser, message: &[u8]) -> Result<ClientRequest, HttpError> {
    let mut reader = http::MessageReader::for_requests();
    reader.push(message);
    let request = reader.read_request()?.expect("the request is complete");
    parser.parse(&request)
}

fn read(text: &str) -> Result<ClientRequest, HttpError> {
    parse(&parser(), text.as_bytes())
}

#[test]
fn a_complete_request_is_submitted_with_its_head_unchanged() {
    let Ok(ClientRequest::Submit { id, submit }) = read(GOOD) else {
        panic!("expected a valid request")
    };
    assert_eq!(
        (id.as_str(), submit.traffic_class, submit.plan, submit.hosts),
        ("9b", 1, Some(1), Some(3))
    );
    assert_eq!(
        (submit.volume, submit.units, submit.shard, submit.key),
        (0x3b4d60021, 2.0, Some(5), Some(0x7f3a9c21e0b4d655))
    );
    assert_eq!(
        (submit.left_us, &*submit.data, submit.write),
        (480_000, &b"hi"[..], true)
    );
    let head = "PUT /row/7f3a9c21e0b4d655?a=1 HTTP/1.1\r\nHost: backend.local\r\nX-Txn: 9b\r\n\
            Idempotency-Key: k1\r\nContent-Length: 2\r\n";
    assert_eq!(submit.piece, head);
    // A request without time left is valid; the scheduler rejects it.
    let expired = read(&GOOD.replace("480", "0"));
    assert!(matches!(expired, Ok(ClientRequest::Submit { submit, .. }) if submit.left_us == 0));
    let new = GOOD.replace("shard=5", "shard=-1");
    assert!(
        matches!(read(&new), Ok(ClientRequest::Submit { submit, .. }) if submit.shard.is_none())
    );
}

#[test]
fn names_match_the_settings_whatever_characters_they_hold() {
    let class = |name: &str| ClassProtocol {
        name: name.into(),
        requires_key: false,
        write: None,
    };
    let names = [
        "map read",
        "a,b",
        "gr\u{f6}\u{df}e",
        "a=b",
        "plain",
        "over_wire_",
    ];
    let parser = RequestParser {
        traffic_classes: names.iter().map(|name| class(name)).collect(),
        plans: names.iter().map(|n| n.to_string()).collect(),
        max_units: 6.0,
    };
    let cases: [(&str, &[u8], usize); 9] = [
        ("map%20read", b"map read", 0),
        ("a,b", b"a,b", 1),
        ("a%2Cb", b"  a,b ", 1),
        ("gr%C3%B6%C3%9Fe", "gr\u{f6}\u{df}e".as_bytes(), 2),
        ("gr\u{f6}\u{df}e", b"gr\xf6\xdfe", 2),
        ("a=b", b"a=b", 3),
        ("a%3db", b"a=b", 3),
        ("plain", b"plain", 4),
        ("over%20wire,", b"over wire,", 5),
    ];
    for (path, plan, index) in cases {
        let (before, after) = GOOD.split_once("gold").unwrap();
        let before = before.replace("/row/", &format!("/{path}/"));
        let message = [before.as_bytes(), plan, after.as_bytes()].concat();
        let Ok(ClientRequest::Submit { submit, .. }) = parse(&parser, &message) else {
            panic!("{path}")
        };
        assert_eq!(
            (submit.traffic_class as usize, submit.plan),
            (index, Some(index as u32)),
            "{path}"
        );
        assert!(
            submit.piece.starts_with(format!("PUT /{path}/").as_bytes()),
            "the path is forwarded unchanged"
        );
    }
}

#[test]
fn a_malformed_request_is_answered_with_a_client_error() {
    let cases = [
        ("/row/", "/nothing/", 404),
        ("/row/7f3a9c21e0b4d655", "/row", 404),
        ("7f3a9c21e0b4d655", "7f3a9c21e0b4d65", 400),
        ("PUT", "GET", 405),
        ("PUT", "POST", 405),
        ("gold", "tin", 400),
        ("480", "soon", 400),
        ("480", "-4", 400),
        ("480", "99999999999999999999", 400),
        ("X-Txn: 9b\r\n", "", 400),
        ("X-Txn: 9b\r\n", "X-Txn: 9b\r\nX-Txn: 9c\r\n", 400),
        ("Idempotency-Key: k1\r\n", "", 400),
        ("units=2", "units=NaN", 400),
        ("units=2", "units=-1", 400),
        ("units=2", "units=7", 400),
        ("units=2", "units=2,units=3", 400),
        ("hosts=3", "hosts=0", 400),
        ("shard=5", "shard=-2", 400),
        ("shard=5", "shard=99999999999", 400),
        ("volume=00000003b4d60021", "volume=x", 400),
        ("X-Placement", "X-Elsewhere", 400),
        ("Content-Length: 2", "Content-Length: -2", 400),
        (
            "Content-Length: 2",
            "Content-Length: 2\r\nContent-Length: 2",
            400,
        ),
        (
            "Content-Length: 2",
            "Content-Length: 2\r\nTransfer-Encoding: chunked",
            400,
        ),
        ("Content-Length: 2", "Content-Length: 60000000", 413),
        ("X-Txn:", "X-Txn :", 400),
        ("HTTP/1.1", "HTTP/3.7", 400),
    ];
    for (from, to, status) in cases {
        let text = GOOD.replacen(from, to, 1);
        assert_eq!(
            read(&text).map(|_| ()).unwrap_err().status,
            status,
            "{from} -> {to}"
        );
    }
}

#[test]
fn each_outcome_has_its_own_response() {
    let cases = [
        (
            pb::Outcome::Completed,
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
        ),
        (
            pb::Outcome::Rejected,
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 0.250\r\n\r\n",
        ),
        (
            pb::Outcome::Failed,
            "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n",
        ),
    ];
    for (outcome, text) in cases {
        let response = pb::Response {
            outcome: outcome.into(),
            retry_after_us: Some(250_000),
            data: Bytes::from_static(b"hi"),
            ..pb::Response::default()
        };
        let message = final_response(&response, true);
        let bytes = [&message.head, &message.body[..]].concat();
        assert_eq!(String::from_utf8(bytes).unwrap(), text);
    }
}
