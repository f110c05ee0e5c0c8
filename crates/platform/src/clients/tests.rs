use super::*;

fn words() -> Words {
    let kind = |name: &str, keyed, write| Kind {
        name: name.into(),
        keyed,
        write: Some(write),
    };
    Words {
        kinds: vec![kind("read", false, false), kind("row", true, true)],
        plans: vec!["basic".into(), "gold".into()],
        largest: 6.0,
    }
}

const GOOD: &str =
    "PUT /row/7f3a9c21e0b4d655?a=1 HTTP/1.1\r\nHost: x\r\nX-Txn: 9b\r\nX-Qos-Policy: gold\r\n\
        X-Remaining-Ms: 480\r\nContent-Length: 2\r\nIdempotency-Key: k1\r\n\
        X-Placement: volume=00000003b4d60021,units=2,shard=5,hosts=3\r\n\r\nhi";

fn read(text: &str) -> Result<Wish, Fault> {
    words().read(&http::request(text.as_bytes())?.expect("whole").0)
}

#[test]
fn a_whole_request_is_a_take_and_passes_on_unchanged() {
    let Ok(Wish::Take { id, take: t }) = read(GOOD) else {
        panic!("a good request")
    };
    assert_eq!(
        (id.as_str(), t.traffic_class, t.plan, t.hosts),
        ("9b", 1, Some(1), Some(3))
    );
    assert_eq!(
        (t.volume, t.units, t.shard, t.key),
        (0x3b4d60021, 2.0, Some(5), Some(0x7f3a9c21e0b4d655))
    );
    assert_eq!((t.left_us, &*t.data, t.write), (480_000, &b"hi"[..], true));
    let head = "PUT /row/7f3a9c21e0b4d655?a=1 HTTP/1.1\r\nHost: backend.local\r\nX-Txn: 9b\r\n\
            Idempotency-Key: k1\r\nContent-Length: 2\r\n";
    assert_eq!(t.piece, head);
    // Its time is up: for the decisions, not a fault.
    assert!(
        matches!(read(&GOOD.replace("480", "0")), Ok(Wish::Take { take, .. }) if take.left_us == 0)
    );
    let new = GOOD.replace("shard=5", "shard=-1");
    assert!(matches!(read(&new), Ok(Wish::Take { take, .. }) if take.shard.is_none()));
}

#[test]
fn names_are_the_settings_own_whatever_signs_are_in_them() {
    let kind = |name: &str| Kind {
        name: name.into(),
        keyed: false,
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
    let w = Words {
        kinds: names.iter().map(|n| kind(n)).collect(),
        plans: names.iter().map(|n| n.to_string()).collect(),
        largest: 6.0,
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
    for (path, plan, place) in cases {
        let (before, after) = GOOD.split_once("gold").unwrap();
        let before = before.replace("/row/", &format!("/{path}/"));
        let whole = [before.as_bytes(), plan, after.as_bytes()].concat();
        let Ok(Wish::Take { take: t, .. }) = w.read(&http::request(&whole).unwrap().unwrap().0)
        else {
            panic!("{path}")
        };
        assert_eq!(
            (t.traffic_class as usize, t.plan),
            (place, Some(place as u32)),
            "{path}"
        );
        assert!(
            t.piece.starts_with(format!("PUT /{path}/").as_bytes()),
            "it passes on unchanged"
        );
    }
}

#[test]
fn what_makes_no_sense_is_a_clients_fault() {
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
fn each_outcome_reads_as_itself() {
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
        let told = pb::Response {
            outcome: outcome.into(),
            retry_after_us: Some(250_000),
            data: Bytes::from_static(b"hi"),
            ..pb::Response::default()
        };
        let mut to = Vec::new();
        put_final(&mut to, &told, true);
        assert_eq!(String::from_utf8(to).unwrap(), text);
    }
}
