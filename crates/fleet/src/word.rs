//! What crosses between hosts, inside the frames' `Word`; a host that does not know it drops it.
//!
//! A word is taken whole or refused whole with one reason: half a word, or one with numbers near the end of
//! their range, could otherwise be joined and never be overtaken. What cannot be checked is who wrote an
//! entry that another passes on: hosts are trusted to be hosts of this fleet, not to be right.

use crate::budget::{Heard, Say, WHOLE};
use crate::shared::{Entry, Facts, Mark, Offer, Served, Sight};
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
struct WireSight {
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
    clears: bool,
}

#[derive(Clone, PartialEq, Message)]
struct WireOffer {
    #[prost(uint64, tag = "1")]
    volume: u64,
    #[prost(uint32, tag = "2")]
    spare: u32,
}

#[derive(Clone, PartialEq, Message)]
struct WireServed {
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
    sights: Vec<WireSight>,
    #[prost(message, repeated, tag = "8")]
    offers: Vec<WireOffer>,
    #[prost(message, repeated, tag = "9")]
    served: Vec<WireServed>,
}

#[derive(Clone, PartialEq, Message)]
struct WireSay {
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
struct WireWord {
    #[prost(uint32, tag = "1")]
    format: u32,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(bool, tag = "3")]
    asks: bool,
    #[prost(message, repeated, tag = "4")]
    entries: Vec<WireEntry>,
    #[prost(message, repeated, tag = "5")]
    says: Vec<WireSay>,
}

/// What one host tells another at a time.
#[derive(Debug, Clone, PartialEq)]
pub struct Word {
    /// The sender's.
    pub incarnation: Incarnation,
    /// It has just started, and wants to hear what is known, of itself too.
    pub asks: bool,
    pub entries: Vec<Entry>,
    /// By budget, with the number of its sharers.
    pub says: Vec<(u64, u32, Say)>,
}

impl Word {
    pub fn to_bytes(&self) -> Vec<u8> {
        let entries = self.entries.iter().map(|e| WireEntry {
            writer: e.writer.0,
            incarnation: e.mark.incarnation.0,
            count: e.mark.count,
            age_ms: e.age.as_millis() as u64,
            tried: e.facts.tried,
            badly: e.facts.badly,
            sights: e
                .facts
                .sights
                .iter()
                .map(|s| WireSight {
                    node: s.node,
                    start: s.start,
                    sent: s.sent,
                    bad: s.bad,
                    ago_ms: s.ago.as_millis().min(u128::from(u32::MAX)) as u32,
                    clears: s.clears,
                })
                .collect(),
            offers: e
                .facts
                .offers
                .iter()
                .map(|o| WireOffer {
                    volume: o.volume,
                    spare: o.spare,
                })
                .collect(),
            served: e
                .facts
                .served
                .iter()
                .map(|s| WireServed {
                    volume: s.volume,
                    units: s.units,
                })
                .collect(),
        });
        let says = self.says.iter().map(|(volume, sharers, say)| {
            let (kind, number, loan, amount) = match *say {
                Say::Want { ask, loan, amount } => (1, ask, loan, amount),
                Say::Lend { ask, of, amount } => (2, ask, of.0, amount),
                Say::Home { loan } => (3, 0, loan, 0),
                Say::Clear { of } => (4, of.0, 0, 0),
                Say::Born => (5, 0, 0, 0),
            };
            WireSay {
                volume: *volume,
                sharers: *sharers,
                kind,
                number,
                loan,
                amount,
            }
        });
        let (entries, says) = (entries.collect(), says.collect());
        WireWord {
            format: FORMAT,
            incarnation: self.incarnation.0,
            asks: self.asks,
            entries,
            says,
        }
        .encode_to_vec()
    }

    /// Why it is refused, where it is.
    pub fn from_bytes(bytes: &[u8]) -> Result<Word, String> {
        if bytes.len() > MAX_BYTES {
            return Err(format!(
                "{} bytes, expected at most {MAX_BYTES}",
                bytes.len()
            ));
        }
        let w = WireWord::decode(bytes).map_err(|e| format!("no word: {e}"))?;
        if w.format != FORMAT {
            return Err(format!("format {}, expected {FORMAT}", w.format));
        }
        let incarnation = incarnation_of(w.incarnation)?;
        within("entries", w.entries.len(), MAX_ENTRIES)?;
        within("says", w.says.len(), MAX_SAYS)?;
        let entries = w
            .entries
            .into_iter()
            .map(entry_of)
            .collect::<Result<_, _>>()?;
        let says = w.says.into_iter().map(say_of).collect::<Result<_, _>>()?;
        Ok(Word {
            incarnation,
            asks: w.asks,
            entries,
            says,
        })
    }

    /// What it says of budgets, as their budgets hear it.
    pub fn heard(&self, from: HostNumber) -> impl Iterator<Item = (u64, Heard)> + '_ {
        let incarnation = self.incarnation;
        self.says.iter().map(move |(volume, sharers, say)| {
            (
                *volume,
                Heard {
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

fn entry_of(e: WireEntry) -> Result<Entry, String> {
    let mark = Mark {
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
        ("sights", e.sights.len()),
        ("offers", e.offers.len()),
        ("served", e.served.len()),
    ] {
        within(what, n, MAX_FACTS)?;
    }
    if e.badly > e.tried || e.sights.iter().any(|s| s.bad > s.sent) {
        return Err(format!("entry of host {}: more bad than sent", e.writer));
    }
    if e.offers.iter().any(|o| o.spare > WHOLE) {
        return Err(format!(
            "entry of host {}: more offered than there is",
            e.writer
        ));
    }
    let sights = e.sights.into_iter().map(|s| {
        let ago = Duration::from_millis(u64::from(s.ago_ms));
        Sight {
            node: s.node,
            start: s.start,
            sent: s.sent,
            bad: s.bad,
            ago,
            clears: s.clears,
        }
    });
    let facts = Facts {
        tried: e.tried,
        badly: e.badly,
        sights: sights.collect(),
        offers: e
            .offers
            .into_iter()
            .map(|o| Offer {
                volume: o.volume,
                spare: o.spare,
            })
            .collect(),
        served: e
            .served
            .into_iter()
            .map(|s| Served {
                volume: s.volume,
                units: s.units,
            })
            .collect(),
    };
    Ok(Entry {
        writer: HostNumber(e.writer),
        mark,
        age: Duration::from_millis(e.age_ms),
        facts,
    })
}

fn say_of(s: WireSay) -> Result<(u64, u32, Say), String> {
    if s.amount > WHOLE || s.sharers == 0 {
        return Err(format!(
            "volume {}: {} of {WHOLE} by {} sharers",
            s.volume, s.amount, s.sharers
        ));
    }
    let say = match s.kind {
        1 => Say::Want {
            ask: s.number,
            loan: s.loan,
            amount: s.amount,
        },
        2 => Say::Lend {
            ask: s.number,
            of: incarnation_of(s.loan)?,
            amount: s.amount,
        },
        3 => Say::Home { loan: s.loan },
        4 => Say::Clear {
            of: incarnation_of(s.number)?,
        },
        5 => Say::Born,
        kind => {
            return Err(format!(
                "volume {}: says {kind}, which is nothing",
                s.volume
            ))
        }
    };
    Ok((s.volume, s.sharers, say))
}
