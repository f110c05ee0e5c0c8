use super::*;
use crate::http::MessageReader;

#[test]
fn only_a_rejected_attempt_counts_as_never_run() {
    let cases = [
        (
            "200 OK",
            "X-Iops-Used: 86\r\nX-Rho: 3",
            pb::Result::Ok,
            Some(86.0),
            3.0,
        ),
        (
            "200 OK",
            "X-Iops-Used: soup\r\nX-Rho: -1",
            pb::Result::Ok,
            None,
            0.0,
        ),
        (
            "200 OK",
            "X-Iops-Used: 1\r\nX-Iops-Used: 2",
            pb::Result::Ok,
            None,
            0.0,
        ),
        ("503 No", "X-Turned-Away: 1", pb::Result::Full, None, 0.0),
        ("504 No", "X-Turned-Away: 1", pb::Result::Full, None, 0.0),
        ("503 No", "A: b", pb::Result::Error, None, 0.0),
        ("504 No", "X-Turned-Away: 0", pb::Result::Error, None, 0.0),
        ("500 No", "X-Turned-Away: 1", pb::Result::Error, None, 0.0),
        ("404 No", "A: b", pb::Result::Error, None, 0.0),
    ];
    for (status, headers, result, reported, others) in cases {
        let text = format!("HTTP/1.1 {status}\r\n{headers}\r\nContent-Length: 2\r\n\r\nhi");
        let mut reader = MessageReader::for_responses();
        reader.push(text.as_bytes());
        let read = attempt_response(9, &reader.read_response().unwrap().unwrap());
        assert_eq!(
            (read.attempt, read.result(), read.reported, read.others),
            (9, result, reported, others),
            "{text}"
        );
        assert_eq!(
            &*read.data,
            if result == pb::Result::Ok {
                &b"hi"[..]
            } else {
                b""
            }
        );
    }
}

#[test]
fn an_attempt_carries_the_time_that_is_left() {
    let attempt = pb::Attempt {
        piece: Bytes::from_static(b"GET /a HTTP/1.1\r\n"),
        left_us: 479_100,
        data: Bytes::from_static(b"x"),
        ..pb::Attempt::default()
    };
    let message = attempt_message(&attempt);
    assert_eq!(
        [&message.head, &message.body[..]].concat(),
        b"GET /a HTTP/1.1\r\nX-Remaining-Ms: 480\r\n\r\nx"
    );
}
