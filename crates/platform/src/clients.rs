//! A client's exchange and the request it asks for.
//!
//! [`Words::read`] turns a whole request into a take, or says what is wrong with it; [`put_final`] turns a
//! final answer into a response. What cannot be understood, or does not exist, is answered here and never
//! becomes a request, so nothing of it can reach a node.

use crate::config::{Config, Kind};
use crate::http::{self, Fault, Request};
use bytes::Bytes;
use grebecleat_wire::pb;
use std::fmt::Write;
use std::time::Duration;

pub const READY: &str = "/health/ready";
const MAX_ID: usize = 512;

/// What a client wants.
#[derive(Debug)]
pub enum Wish {
    Ready,
    /// The take lacks its id, which the host gives. `id` is the client's own.
    Take {
        id: String,
        take: Box<pb::SubmitRequest>,
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
    names: impl Iterator<Item = &'n str> + Clone,
    plain: &[u8],
    read: impl FnOnce() -> Vec<String>,
) -> Option<usize> {
    names
        .clone()
        .position(|name| name.as_bytes() == plain)
        .or_else(|| {
            let told = read();
            let is = |name: &str| told.iter().any(|t| t == name.trim());
            let rewritten = |name: &str| told.iter().any(|t| t.replace([' ', ','], "_") == name);
            names
                .clone()
                .position(is)
                .or_else(|| names.clone().position(rewritten))
        })
}

/// A part of a path, as it stands and percent-decoded.
fn in_path(part: &str) -> Vec<String> {
    let decoded = percent_encoding::percent_decode_str(part).decode_utf8();
    [part.to_string()]
        .into_iter()
        .chain(decoded.map(|d| d.into_owned()))
        .collect()
}

/// A header's value: some clients write letters beyond ASCII in one way, and some in another.
fn in_header(value: &[u8]) -> Vec<String> {
    let latin = value.iter().map(|b| char::from(*b)).collect();
    String::from_utf8(value.to_vec())
        .into_iter()
        .chain([latin])
        .collect()
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
    shard: Option<u32>,
    hosts: u32,
}

fn placement(text: &str) -> Option<Placement> {
    let (mut volume, mut units, mut shard, mut hosts) = (None, None, None, None);
    for part in text.split(',') {
        let (name, value) = part.trim().split_once('=')?;
        // A second telling of the same is a fault as well: which one counts?
        let twice = match name {
            "volume" => volume.replace(hex16(value)?).is_some(),
            "units" => units.replace(value.parse::<f64>().ok()?).is_some(),
            "shard" if value == "-1" => shard.replace(None).is_some(),
            "shard" => shard
                .replace(Some(u32::try_from(whole(value)?).ok()?))
                .is_some(),
            "hosts" => hosts.replace(u32::try_from(whole(value)?).ok()?).is_some(),
            _ => false,
        };
        if twice {
            return None;
        }
    }
    Some(Placement {
        volume: volume?,
        units: units?,
        shard: shard?,
        hosts: hosts?,
    })
}

impl Words {
    pub fn of(config: &Config) -> Self {
        Words {
            kinds: config.kinds.clone(),
            plans: config
                .settings
                .plans
                .iter()
                .map(|p| p.name.clone())
                .collect(),
            largest: config.settings.units.largest,
        }
    }

    pub fn read(&self, r: &Request) -> Result<Wish, Fault> {
        let path = r.target.split(['?', '#']).next().unwrap_or_default();
        if path == READY && r.method == "GET" {
            return Ok(Wish::Ready);
        }
        if !matches!(r.method, "GET" | "PUT") {
            return Err(Fault {
                status: 405,
                what: "neither GET nor PUT",
            });
        }
        let absent = Fault {
            status: 404,
            what: "a path that is not known here",
        };
        let mut parts = path.strip_prefix('/').ok_or(absent)?.split('/');
        let (first, last) = (
            parts.next().ok_or(absent)?,
            parts.next_back().ok_or(absent)?,
        );
        let kinds = self.kinds.iter().map(|k| k.name.as_str());
        let traffic_class = place(kinds, first.as_bytes(), || in_path(first));
        let traffic_class = traffic_class.ok_or(absent)?;
        let kind = &self.kinds[traffic_class];
        let key = hex16(last).ok_or(bad("a path that does not end in 16 hex digits"))?;
        let write = r.method == "PUT";
        if kind.write.is_some_and(|w| w != write) {
            return Err(Fault {
                status: 405,
                what: "a method that is not this path's",
            });
        }
        let h = &r.headers;
        let id = h
            .one("x-txn")?
            .filter(|id| !id.is_empty() && id.len() <= MAX_ID);
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
        let mut head = format!(
            "{} {} HTTP/1.1\r\nHost: {SERVICE}\r\nX-Txn: {id}\r\n",
            r.method, r.target
        );
        if let Some(k) = repeat {
            let _ = write!(head, "Idempotency-Key: {k}\r\n");
        }
        if write || !r.body.is_empty() {
            let _ = write!(head, "Content-Length: {}\r\n", r.body.len());
        }
        let take = pb::SubmitRequest {
            piece: Bytes::from(head),
            traffic_class: traffic_class as u32,
            volume: placed.volume,
            shard: placed.shard,
            key: Some(key),
            units: placed.units,
            left_us: left * 1000,
            write,
            data: Bytes::copy_from_slice(&r.body),
            plan: Some(plan as u32),
            hosts: Some(placed.hosts),
            ..pb::SubmitRequest::default()
        };
        Ok(Wish::Take {
            id: id.to_string(),
            take: Box::new(take),
        })
    }
}

/// What nodes and the list are called in a head.
pub const SERVICE: &str = "backend.local";

/// A final answer, as the client reads it. An abandoned request must not read as a deferred one.
pub fn put_final(to: &mut Vec<u8>, told: &pb::Response, keep: bool) {
    match told.outcome() {
        pb::Outcome::Completed => http::put_response(to, 200, "", keep, &told.data),
        pb::Outcome::Rejected => {
            let wait = told.retry_after_us.map(Duration::from_micros);
            let more = wait.map_or(String::new(), |w| {
                format!("Retry-After: {:.3}\r\n", w.as_secs_f64())
            });
            http::put_response(to, 503, &more, keep, b"");
        }
        _ => http::put_response(to, 502, "", keep, b""),
    }
}

#[cfg(test)]
mod tests;
