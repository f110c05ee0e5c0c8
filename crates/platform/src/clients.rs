//! A client's exchange and the transfer it asks for.
//!
//! [`Words::read`] turns a whole request into a take, or says what is wrong with it; [`put_final`] turns a
//! final answer into a response. What cannot be understood, or does not exist, is answered here and never
//! becomes a transfer, so nothing of it can reach a node.

use crate::config::{Config, Kind};
use crate::http::{self, Fault, Request};
use bytes::Bytes;
use grebecleat_wire::pb;
use std::fmt::Write;
use std::time::Duration;

pub const READY: &str = "/health/ready";
const MOST_ID: usize = 512;

/// What a client wants.
#[derive(Debug)]
pub enum Wish {
    Ready,
    /// The take lacks its id, which the host gives. `id` is the client's own.
    Take {
        id: String,
        take: Box<pb::Take>,
    },
}

/// The words that a deployment knows.
#[derive(Debug)]
pub struct Words {
    kinds: Vec<Kind>,
    plans: Vec<String>,
    largest: f64,
}

const fn bad(what: &'static str) -> Fault {
    Fault { status: 400, what }
}

/// The place of the name that was told among the settings'. Settings may have been through the simulator's
/// wire, where spaces and commas are rewritten: that counts only where no name is told as it stands. The
/// other ways to read it are looked at only where it is none of the names letter by letter.
fn place<'n>(
    names: impl Iterator<Item = &'n str> + Clone, plain: &[u8], read: impl FnOnce() -> Vec<String>,
) -> Option<usize> {
    names.clone().position(|name| name.as_bytes() == plain).or_else(|| {
        let told = read();
        let is = |name: &str| told.iter().any(|t| t == name.trim());
        let rewritten = |name: &str| told.iter().any(|t| t.replace([' ', ','], "_") == name);
        names.clone().position(is).or_else(|| names.clone().position(rewritten))
    })
}

/// A part of a path, as it stands and percent-decoded.
fn in_path(part: &str) -> Vec<String> {
    let decoded = percent_encoding::percent_decode_str(part).decode_utf8();
    [part.to_string()].into_iter().chain(decoded.map(|d| d.into_owned())).collect()
}

/// A header's value: some clients write letters beyond ASCII in one way, and some in another.
fn in_header(value: &[u8]) -> Vec<String> {
    let latin = value.iter().map(|b| char::from(*b)).collect();
    String::from_utf8(value.to_vec()).into_iter().chain([latin]).collect()
}

/// Digits alone, so that no sign or space passes.
fn whole(text: &str) -> Option<u64> {
    (!text.is_empty() && text.len() <= 15 && text.bytes().all(|b| b.is_ascii_digit()))
        .then(|| text.parse().ok())
        .flatten()
}

fn hex16(text: &str) -> Option<u64> {
    let good = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    good.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

struct Placement {
    volume: u64,
    units: f64,
    cell: Option<u32>,
    hosts: u32,
}

fn placement(text: &str) -> Option<Placement> {
    let (mut volume, mut units, mut cell, mut hosts) = (None, None, None, None);
    for part in text.split(',') {
        let (name, value) = part.trim().split_once('=')?;
        // A second telling of the same is a fault as well: which one counts?
        let twice = match name {
            "volume" => volume.replace(hex16(value)?).is_some(),
            "units" => units.replace(value.parse::<f64>().ok()?).is_some(),
            "shard" if value == "-1" => cell.replace(None).is_some(),
            "shard" => cell.replace(Some(u32::try_from(whole(value)?).ok()?)).is_some(),
            "hosts" => hosts.replace(u32::try_from(whole(value)?).ok()?).is_some(),
            _ => false,
        };
        if twice {
            return None;
        }
    }
    Some(Placement { volume: volume?, units: units?, cell: cell?, hosts: hosts? })
}

impl Words {
    pub fn of(config: &Config) -> Self {
        Words {
            kinds: config.kinds.clone(),
            plans: config.settings.plans.iter().map(|p| p.name.clone()).collect(),
            largest: config.settings.units.largest,
        }
    }

    pub fn read(&self, r: &Request) -> Result<Wish, Fault> {
        let path = r.target.split(['?', '#']).next().unwrap_or_default();
        if path == READY && r.method == "GET" {
            return Ok(Wish::Ready);
        }
        if !matches!(r.method, "GET" | "PUT") {
            return Err(Fault { status: 405, what: "neither GET nor PUT" });
        }
        let absent = Fault { status: 404, what: "a path that is not known here" };
        let mut parts = path.strip_prefix('/').ok_or(absent)?.split('/');
        let (first, last) = (parts.next().ok_or(absent)?, parts.next_back().ok_or(absent)?);
        let kinds = self.kinds.iter().map(|k| k.name.as_str());
        let stream_type = place(kinds, first.as_bytes(), || in_path(first));
        let stream_type = stream_type.ok_or(absent)?;
        let kind = &self.kinds[stream_type];
        let key = hex16(last).ok_or(bad("a path that does not end in 16 hex digits"))?;
        let write = r.method == "PUT";
        if kind.write.is_some_and(|w| w != write) {
            return Err(Fault { status: 405, what: "a method that is not this path's" });
        }
        let h = &r.headers;
        let id = h.one("x-txn")?.filter(|id| !id.is_empty() && id.len() <= MOST_ID);
        let id = id.ok_or(bad("no X-Txn"))?;
        let plan = h.one_raw("x-qos-policy")?;
        let plans = self.plans.iter().map(String::as_str);
        let plan = plan.and_then(|told| place(plans, told, || in_header(told)));
        let plan = plan.ok_or(bad("X-Qos-Policy names no plan"))?;
        let left = h.one("x-remaining-ms")?.and_then(whole);
        let left = left.ok_or(bad("X-Remaining-Ms is no span"))?;
        let placed = h.one("x-placement")?.and_then(placement);
        let placed = placed.ok_or(bad("X-Placement cannot be read"))?;
        if !(placed.units > 0.0 && placed.units <= self.largest) {
            return Err(bad("X-Placement with units out of range"));
        }
        if placed.hosts == 0 {
            return Err(bad("X-Placement with no hosts"));
        }
        let repeat = h.one("idempotency-key")?.filter(|k| !k.is_empty());
        if kind.keyed && repeat.is_none() {
            return Err(bad("no Idempotency-Key"));
        }
        let mut head = format!("{} {} HTTP/1.1\r\nHost: {SERVICE}\r\nX-Txn: {id}\r\n", r.method, r.target);
        if let Some(k) = repeat {
            let _ = write!(head, "Idempotency-Key: {k}\r\n");
        }
        if write || !r.body.is_empty() {
            let _ = write!(head, "Content-Length: {}\r\n", r.body.len());
        }
        let take = pb::Take {
            piece: Bytes::from(head),
            stream_type: stream_type as u32,
            volume: placed.volume,
            cell: placed.cell,
            key: Some(key),
            units: placed.units,
            left_us: left * 1000,
            write,
            data: Bytes::copy_from_slice(&r.body),
            plan: Some(plan as u32),
            hosts: Some(placed.hosts),
            ..pb::Take::default()
        };
        Ok(Wish::Take { id: id.to_string(), take: Box::new(take) })
    }
}

/// What nodes and the list are called in a head.
pub const SERVICE: &str = "backend.local";

/// A final answer, as the client reads it. An abandoned transfer must not read as a deferred one.
pub fn put_final(to: &mut Vec<u8>, told: &pb::Final, keep: bool) {
    match told.outcome() {
        pb::Outcome::Done => http::put_response(to, 200, "", keep, &told.data),
        pb::Outcome::Deferred => {
            let wait = told.come_back_us.map(Duration::from_micros);
            let more = wait.map_or(String::new(), |w| format!("Retry-After: {:.3}\r\n", w.as_secs_f64()));
            http::put_response(to, 503, &more, keep, b"");
        }
        _ => http::put_response(to, 502, "", keep, b""),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn words() -> Words {
        let kind = |name: &str, keyed, write| Kind { name: name.into(), keyed, write: Some(write) };
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
        let Ok(Wish::Take { id, take: t }) = read(GOOD) else { panic!("a good request") };
        assert_eq!((id.as_str(), t.stream_type, t.plan, t.hosts), ("9b", 1, Some(1), Some(3)));
        assert_eq!((t.volume, t.units, t.cell, t.key), (0x3b4d60021, 2.0, Some(5), Some(0x7f3a9c21e0b4d655)));
        assert_eq!((t.left_us, &*t.data, t.write), (480_000, &b"hi"[..], true));
        let head = "PUT /row/7f3a9c21e0b4d655?a=1 HTTP/1.1\r\nHost: backend.local\r\nX-Txn: 9b\r\n\
            Idempotency-Key: k1\r\nContent-Length: 2\r\n";
        assert_eq!(t.piece, head);
        // Its time is up: for the decisions, not a fault.
        assert!(matches!(read(&GOOD.replace("480", "0")), Ok(Wish::Take { take, .. }) if take.left_us == 0));
        let new = GOOD.replace("shard=5", "shard=-1");
        assert!(matches!(read(&new), Ok(Wish::Take { take, .. }) if take.cell.is_none()));
    }

    #[test]
    fn names_are_the_settings_own_whatever_signs_are_in_them() {
        let kind = |name: &str| Kind { name: name.into(), keyed: false, write: None };
        let names = ["map read", "a,b", "gr\u{f6}\u{df}e", "a=b", "plain", "over_wire_"];
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
            let Ok(Wish::Take { take: t, .. }) = w.read(&http::request(&whole).unwrap().unwrap().0) else {
                panic!("{path}")
            };
            assert_eq!((t.stream_type as usize, t.plan), (place, Some(place as u32)), "{path}");
            assert!(t.piece.starts_with(format!("PUT /{path}/").as_bytes()), "it passes on unchanged");
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
            ("Content-Length: 2", "Content-Length: 2\r\nContent-Length: 2", 400),
            ("Content-Length: 2", "Content-Length: 2\r\nTransfer-Encoding: chunked", 400),
            ("Content-Length: 2", "Content-Length: 60000000", 413),
            ("X-Txn:", "X-Txn :", 400),
            ("HTTP/1.1", "HTTP/3.7", 400),
        ];
        for (from, to, status) in cases {
            let text = GOOD.replacen(from, to, 1);
            assert_eq!(read(&text).map(|_| ()).unwrap_err().status, status, "{from} -> {to}");
        }
    }

    #[test]
    fn each_outcome_reads_as_itself() {
        let cases = [
            (pb::Outcome::Done, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"),
            (
                pb::Outcome::Deferred,
                "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 0.250\r\n\r\n",
            ),
            (pb::Outcome::Abandoned, "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n"),
        ];
        for (outcome, text) in cases {
            let told = pb::Final {
                outcome: outcome.into(),
                come_back_us: Some(250_000),
                data: Bytes::from_static(b"hi"),
                ..pb::Final::default()
            };
            let mut to = Vec::new();
            put_final(&mut to, &told, true);
            assert_eq!(String::from_utf8(to).unwrap(), text);
        }
    }
}
