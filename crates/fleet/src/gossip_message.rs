//! What crosses between hosts, inside the frames' `GossipMessage`; a host that does not know it drops it.
//!
//! A word is taken whole or refused whole with one reason: half a word, or one with numbers near the end of
//! their range, could otherwise be joined and never be overtaken. What cannot be checked is who wrote an
//! entry that another passes on: hosts are trusted to be hosts of this fleet, not to be right.

use crate::gossip_state::{
    GossipEntry, HostReport, LeaseOffer, Observation, ServedUnits, VersionStamp,
};
use crate::quota_lease::{LeaseMessage, ReceivedLeaseMessage, WHOLE_LIMIT};
use crate::{HostNumber, Incarnation};
use prost::Message;
use std::time::Duration;

const FORMAT: u32 = 1;
/// Entries of a word, and facts of each kind of an entry: a word stays under 32 KiB.
pub const MAX_ENTRIES: usize = 16;
pub const MAX_FACTS: usize = 24;
pub const MAX_BYTES: usize = 32 << 10;
pub const MAX_SAYS: usize = 64;
/// Larger lives and counts than any host comes to are noise; believed, they could never be overtaken.
const MAX_INCARNATION: u64 = 1 << 48;
const MAX_COUNT: u64 = 1 << 40;
const MAX_AGE: u64 = 1 << 32;

#[derive(Clone, PartialEq, Message)]
struct WireObservation {
    #[prost(uint32, tag = "1")]
    node: u32,
    #[prost(uint64, tag = "2")]
    start: u64,
    #[prost(uint32, tag = "3")]
    sent: u32,
    #[prost(uint32, tag = "4")]
    bad: u32,
    #[prost(uint32, tag = "5")]
    ago_ms: u32,
    #[prost(bool, tag = "6")]
    contradicts_ejection: bool,
}

#[derive(Clone, PartialEq, Message)]
struct WireOffer {
    #[prost(uint64, tag = "1")]
    volume: u64,
    #[prost(uint32, tag = "2")]
    spare: u32,
}

#[derive(Clone, PartialEq, Message)]
struct WireServedUnits {
    #[prost(uint64, tag = "1")]
    volume: u64,
    #[prost(uint64, tag = "2")]
    units: u64,
}

#[derive(Clone, PartialEq, Message)]
struct WireEntry {
    #[prost(uint32, tag = "1")]
    writer: u32,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(uint64, tag = "3")]
    count: u64,
    #[prost(uint64, tag = "4")]
    age_ms: u64,
    #[prost(uint32, tag = "5")]
    tried: u32,
    #[prost(uint32, tag = "6")]
    badly: u32,
    #[prost(message, repeated, tag = "7")]
    observations: Vec<WireObservation>,
    #[prost(message, repeated, tag = "8")]
    offers: Vec<WireOffer>,
    #[prost(message, repeated, tag = "9")]
    served: Vec<WireServedUnits>,
}

#[derive(Clone, PartialEq, Message)]
struct WireLeaseMessage {
    #[prost(uint64, tag = "1")]
    volume: u64,
    #[prost(uint32, tag = "2")]
    sharers: u32,
    #[prost(uint32, tag = "3")]
    kind: u32,
    /// The ask, or the life that is cleared.
    #[prost(uint64, tag = "4")]
    number: u64,
    /// Or the life that asked.
    #[prost(uint64, tag = "5")]
    loan: u64,
    #[prost(uint32, tag = "6")]
    amount: u32,
}

#[derive(Clone, PartialEq, Message)]
struct WireGossipMessage {
    #[prost(uint32, tag = "1")]
    format: u32,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(bool, tag = "3")]
    requests_sync: bool,
    #[prost(message, repeated, tag = "4")]
    entries: Vec<WireEntry>,
    #[prost(message, repeated, tag = "5")]
    lease_messages: Vec<WireLeaseMessage>,
}

/// What one host tells another at a time.
#[derive(Debug, Clone, PartialEq)]
pub struct GossipMessage {
    /// The sender's.
    pub incarnation: Incarnation,
    /// It has just started, and wants to hear what is known, of itself too.
    pub requests_sync: bool,
    pub entries: Vec<GossipEntry>,
    /// By budget, with the number of its sharers.
    pub lease_messages: Vec<(u64, u32, LeaseMessage)>,
}

impl GossipMessage {
    pub fn to_bytes(&self) -> Vec<u8> {
        let entries = self.entries.iter().map(|e| WireEntry {
            writer: e.writer.0,
            incarnation: e.version.incarnation.0,
            count: e.version.count,
            age_ms: e.age.as_millis() as u64,
            tried: e.report.tried,
            badly: e.report.badly,
            observations: e
                .report
                .observations
                .iter()
                .map(|s| WireObservation {
                    node: s.node,
                    start: s.start,
                    sent: s.sent,
                    bad: s.bad,
                    ago_ms: s.age.as_millis().min(u128::from(u32::MAX)) as u32,
                    contradicts_ejection: s.contradicts_ejection,
                })
                .collect(),
            offers: e
                .report
                .offers
                .iter()
                .map(|o| WireOffer {
                    volume: o.volume,
                    spare: o.spare,
                })
                .collect(),
            served: e
                .report
                .served
                .iter()
                .map(|s| WireServedUnits {
                    volume: s.volume,
                    units: s.units,
                })
                .collect(),
        });
        let lease_messages = self.lease_messages.iter().map(|(volume, sharers, say)| {
            let (kind, number, loan, amount) = match *say {
                LeaseMessage::Request { ask, loan, amount } => (1, ask, loan, amount),
                LeaseMessage::Grant { ask, of, amount } => (2, ask, of.0, amount),
                LeaseMessage::Release { loan } => (3, 0, loan, 0),
                LeaseMessage::Cleared { of } => (4, of.0, 0, 0),
                LeaseMessage::Recovered => (5, 0, 0, 0),
            };
            WireLeaseMessage {
                volume: *volume,
                sharers: *sharers,
                kind,
                number,
                loan,
                amount,
            }
        });
        let (entries, lease_messages) = (entries.collect(), lease_messages.collect());
        WireGossipMessage {
            format: FORMAT,
            incarnation: self.incarnation.0,
            requests_sync: self.requests_sync,
            entries,
            lease_messages,
        }
        .encode_to_vec()
    }

    /// Why it is refused, where it is.
    pub fn from_bytes(bytes: &[u8]) -> Result<GossipMessage, String> {
        if bytes.len() > MAX_BYTES {
            return Err(format!(
                "{} bytes, expected at most {MAX_BYTES}",
                bytes.len()
            ));
        }
        let w = WireGossipMessage::decode(bytes).map_err(|e| format!("no word: {e}"))?;
        if w.format != FORMAT {
            return Err(format!("format {}, expected {FORMAT}", w.format));
        }
        let incarnation = incarnation_of(w.incarnation)?;
        within("entries", w.entries.len(), MAX_ENTRIES)?;
        within("says", w.lease_messages.len(), MAX_SAYS)?;
        let entries = w
            .entries
            .into_iter()
            .map(entry_of)
            .collect::<Result<_, _>>()?;
        let lease_messages = w
            .lease_messages
            .into_iter()
            .map(say_of)
            .collect::<Result<_, _>>()?;
        Ok(GossipMessage {
            incarnation,
            requests_sync: w.requests_sync,
            entries,
            lease_messages,
        })
    }

    /// What it says of budgets, as their budgets hear it.
    pub fn heard(
        &self,
        from: HostNumber,
    ) -> impl Iterator<Item = (u64, ReceivedLeaseMessage)> + '_ {
        let incarnation = self.incarnation;
        self.lease_messages
            .iter()
            .map(move |(volume, sharers, say)| {
                (
                    *volume,
                    ReceivedLeaseMessage {
                        from,
                        incarnation,
                        sharers: *sharers,
                        say: *say,
                    },
                )
            })
    }
}

fn within(what: &str, n: usize, most: usize) -> Result<(), String> {
    if n > most {
        return Err(format!("{n} {what}, expected at most {most}"));
    }
    Ok(())
}

fn incarnation_of(incarnation: u64) -> Result<Incarnation, String> {
    if !(1..MAX_INCARNATION).contains(&incarnation) {
        return Err(format!(
            "life {incarnation}, expected 1 to {}",
            MAX_INCARNATION - 1
        ));
    }
    Ok(Incarnation(incarnation))
}

fn entry_of(e: WireEntry) -> Result<GossipEntry, String> {
    let version = VersionStamp {
        incarnation: incarnation_of(e.incarnation)?,
        count: e.count,
    };
    if e.count >= MAX_COUNT || e.age_ms >= MAX_AGE {
        return Err(format!(
            "entry of host {}: count {} or age {} ms too large",
            e.writer, e.count, e.age_ms
        ));
    }
    for (what, n) in [
        ("sights", e.observations.len()),
        ("offers", e.offers.len()),
        ("served", e.served.len()),
    ] {
        within(what, n, MAX_FACTS)?;
    }
    if e.badly > e.tried || e.observations.iter().any(|s| s.bad > s.sent) {
        return Err(format!("entry of host {}: more bad than sent", e.writer));
    }
    if e.offers.iter().any(|o| o.spare > WHOLE_LIMIT) {
        return Err(format!(
            "entry of host {}: more offered than there is",
            e.writer
        ));
    }
    let observations = e.observations.into_iter().map(|s| {
        let ago = Duration::from_millis(u64::from(s.ago_ms));
        Observation {
            node: s.node,
            start: s.start,
            sent: s.sent,
            bad: s.bad,
            age: ago,
            contradicts_ejection: s.contradicts_ejection,
        }
    });
    let report = HostReport {
        tried: e.tried,
        badly: e.badly,
        observations: observations.collect(),
        offers: e
            .offers
            .into_iter()
            .map(|o| LeaseOffer {
                volume: o.volume,
                spare: o.spare,
            })
            .collect(),
        served: e
            .served
            .into_iter()
            .map(|s| ServedUnits {
                volume: s.volume,
                units: s.units,
            })
            .collect(),
    };
    Ok(GossipEntry {
        writer: HostNumber(e.writer),
        version,
        age: Duration::from_millis(e.age_ms),
        report,
    })
}

fn say_of(s: WireLeaseMessage) -> Result<(u64, u32, LeaseMessage), String> {
    if s.amount > WHOLE_LIMIT || s.sharers == 0 {
        return Err(format!(
            "volume {}: {} of {WHOLE_LIMIT} by {} sharers",
            s.volume, s.amount, s.sharers
        ));
    }
    let say = match s.kind {
        1 => LeaseMessage::Request {
            ask: s.number,
            loan: s.loan,
            amount: s.amount,
        },
        2 => LeaseMessage::Grant {
            ask: s.number,
            of: incarnation_of(s.loan)?,
            amount: s.amount,
        },
        3 => LeaseMessage::Release { loan: s.loan },
        4 => LeaseMessage::Cleared {
            of: incarnation_of(s.number)?,
        },
        5 => LeaseMessage::Recovered,
        kind => {
            return Err(format!(
                "volume {}: says {kind}, which is nothing",
                s.volume
            ))
        }
    };
    Ok((s.volume, s.sharers, say))
}
