//! Encodes and decodes gossip messages, and rejects those with numbers out of range.
//!
//! The bytes travel inside the frames that hosts exchange; a host that does not know them drops
//! them. A message is accepted whole or rejected whole with one reason: half a message, or one with
//! numbers near the end of their range, could otherwise be merged and never be superseded. What
//! cannot be checked is who wrote an entry that another host passes on: hosts are trusted to be
//! hosts of this fleet, not to be right.

use crate::gossip_message::{
    GossipMessage, VolumeLeaseMessage, MAX_BYTES, MAX_ENTRIES, MAX_LEASE_MESSAGES, MAX_REPORT_ITEMS,
};
use crate::host_report::{
    GossipEntry, HostReport, LeaseOffer, Observation, ServedUnits, VersionStamp,
};
use crate::lease_message::{LeaseMessage, WHOLE_LIMIT};
use crate::{HostNumber, Incarnation};
use prost::Message;
use std::time::Duration;

/// Version of the encoding.
const FORMAT: u32 = 1;
/// Larger incarnations and counts than any host comes to are noise; accepted, they could never be
/// superseded.
const MAX_INCARNATION: u64 = 1 << 48;
const MAX_COUNT: u64 = 1 << 40;
/// In milliseconds.
const MAX_AGE_MS: u64 = 1 << 32;

/// `WireSay::kind` of each lease message.
const KIND_REQUEST: u32 = 1;
const KIND_GRANT: u32 = 2;
const KIND_RELEASE: u32 = 3;
const KIND_CLEARED: u32 = 4;
const KIND_RECOVERED: u32 = 5;

/// Why a message is rejected.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum GossipDecodeError {
    /// The message is longer than [`MAX_BYTES`].
    #[error("{bytes} bytes, expected at most {MAX_BYTES}")]
    TooLong {
        /// Its length.
        bytes: usize,
    },
    /// The bytes are no protobuf message of this kind.
    #[error("no word: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// Another version of the encoding.
    #[error("format {format}, expected {FORMAT}")]
    Format {
        /// The version of the message.
        format: u32,
    },
    /// A list has more items than allowed.
    #[error("{count} {list}, expected at most {limit}")]
    TooMany {
        /// Name of the list.
        list: &'static str,
        /// Its items.
        count: usize,
        /// Items that are allowed.
        limit: usize,
    },
    /// An incarnation that no host comes to.
    #[error("life {incarnation}, expected 1 to {}", MAX_INCARNATION - 1)]
    Incarnation {
        /// The incarnation of the message.
        incarnation: u64,
    },
    /// An entry with a count or an age that no host comes to.
    #[error("entry of host {writer}: count {count} or age {age_ms} ms too large")]
    EntryNumbers {
        /// The entry's writer.
        writer: u32,
        /// Its count.
        count: u64,
        /// Its age in milliseconds.
        age_ms: u64,
    },
    /// An entry with more bad attempts or nodes than there were.
    #[error("entry of host {writer}: more bad than sent")]
    MoreBadThanSent {
        /// The entry's writer.
        writer: u32,
    },
    /// An entry that offers more than a whole limit.
    #[error("entry of host {writer}: more offered than there is")]
    MoreOfferedThanWhole {
        /// The entry's writer.
        writer: u32,
    },
    /// A lease message about more than a whole limit, or a limit that no host shares.
    #[error("volume {volume}: {amount} of {WHOLE_LIMIT} by {sharers} sharers")]
    LeaseNumbers {
        /// The volume's number.
        volume: u64,
        /// The amount of the message.
        amount: u32,
        /// How many hosts share the limit.
        sharers: u32,
    },
    /// A lease message of an unknown kind.
    #[error("volume {volume}: says {kind}, which is nothing")]
    LeaseKind {
        /// The volume's number.
        volume: u64,
        /// The kind of the message.
        kind: u32,
    },
}

// The names of the wire messages and of their fields are part of the text of `Malformed`, which
// operators read in the log: they stay as they are.

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
    /// The request, or the incarnation that has recovered.
    #[prost(uint64, tag = "4")]
    number: u64,
    /// The lease, or the borrower's incarnation.
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

impl GossipMessage {
    /// The encoded message.
    pub fn to_bytes(&self) -> Vec<u8> {
        let wire = WireWord {
            format: FORMAT,
            incarnation: self.incarnation.0,
            asks: self.requests_sync,
            entries: self.entries.iter().map(encode_entry).collect(),
            says: self.lease_messages.iter().map(encode_lease).collect(),
        };
        wire.encode_to_vec()
    }

    /// Decodes a message and checks its numbers.
    pub fn from_bytes(bytes: &[u8]) -> Result<GossipMessage, GossipDecodeError> {
        if bytes.len() > MAX_BYTES {
            return Err(GossipDecodeError::TooLong { bytes: bytes.len() });
        }
        let wire = WireWord::decode(bytes)?;
        if wire.format != FORMAT {
            let format = wire.format;
            return Err(GossipDecodeError::Format { format });
        }
        let incarnation = decode_incarnation(wire.incarnation)?;
        check_count("entries", wire.entries.len(), MAX_ENTRIES)?;
        check_count("says", wire.says.len(), MAX_LEASE_MESSAGES)?;
        let entries = wire.entries.into_iter().map(decode_entry);
        let entries = entries.collect::<Result<_, _>>()?;
        let lease_messages = wire.says.into_iter().map(decode_lease);
        let lease_messages = lease_messages.collect::<Result<_, _>>()?;
        Ok(GossipMessage {
            incarnation,
            requests_sync: wire.asks,
            entries,
            lease_messages,
        })
    }
}

fn encode_entry(entry: &GossipEntry) -> WireEntry {
    let report = &entry.report;
    let offers = report.offers.iter().map(|offer| WireOffer {
        volume: offer.volume,
        spare: offer.spare,
    });
    let served = report.served.iter().map(|served| WireServed {
        volume: served.volume,
        units: served.units,
    });
    WireEntry {
        writer: entry.writer.0,
        incarnation: entry.version.incarnation.0,
        count: entry.version.count,
        age_ms: entry.age.as_millis() as u64,
        tried: report.tried,
        badly: report.bad,
        sights: report.observations.iter().map(encode_observation).collect(),
        offers: offers.collect(),
        served: served.collect(),
    }
}

fn encode_observation(observation: &Observation) -> WireSight {
    let ago_ms = observation.age.as_millis().min(u128::from(u32::MAX));
    WireSight {
        node: observation.node,
        start: observation.start,
        sent: observation.sent,
        bad: observation.bad,
        ago_ms: ago_ms as u32,
        clears: observation.contradicts_ejection,
    }
}

fn encode_lease(lease: &VolumeLeaseMessage) -> WireSay {
    let empty = WireSay {
        volume: lease.volume,
        sharers: lease.sharers,
        ..WireSay::default()
    };
    match lease.message {
        LeaseMessage::Request {
            request,
            lease,
            amount,
        } => WireSay {
            kind: KIND_REQUEST,
            number: request,
            loan: lease,
            amount,
            ..empty
        },
        LeaseMessage::Grant {
            request,
            borrower_incarnation,
            amount,
        } => WireSay {
            kind: KIND_GRANT,
            number: request,
            loan: borrower_incarnation.0,
            amount,
            ..empty
        },
        LeaseMessage::Release { lease } => WireSay {
            kind: KIND_RELEASE,
            loan: lease,
            ..empty
        },
        LeaseMessage::Cleared {
            recovered_incarnation,
        } => WireSay {
            kind: KIND_CLEARED,
            number: recovered_incarnation.0,
            ..empty
        },
        LeaseMessage::Recovered => WireSay {
            kind: KIND_RECOVERED,
            ..empty
        },
    }
}

fn check_count(list: &'static str, count: usize, limit: usize) -> Result<(), GossipDecodeError> {
    if count > limit {
        return Err(GossipDecodeError::TooMany { list, count, limit });
    }
    Ok(())
}

fn decode_incarnation(incarnation: u64) -> Result<Incarnation, GossipDecodeError> {
    if !(1..MAX_INCARNATION).contains(&incarnation) {
        return Err(GossipDecodeError::Incarnation { incarnation });
    }
    Ok(Incarnation(incarnation))
}

fn decode_entry(wire: WireEntry) -> Result<GossipEntry, GossipDecodeError> {
    let version = VersionStamp {
        incarnation: decode_incarnation(wire.incarnation)?,
        count: wire.count,
    };
    check_entry(&wire)?;
    let observations = wire.sights.into_iter().map(decode_observation);
    let offers = wire.offers.into_iter().map(|offer| LeaseOffer {
        volume: offer.volume,
        spare: offer.spare,
    });
    let served = wire.served.into_iter().map(|served| ServedUnits {
        volume: served.volume,
        units: served.units,
    });
    let report = HostReport {
        tried: wire.tried,
        bad: wire.badly,
        observations: observations.collect(),
        offers: offers.collect(),
        served: served.collect(),
    };
    Ok(GossipEntry {
        writer: HostNumber(wire.writer),
        version,
        age: Duration::from_millis(wire.age_ms),
        report,
    })
}

fn check_entry(wire: &WireEntry) -> Result<(), GossipDecodeError> {
    let writer = wire.writer;
    if wire.count >= MAX_COUNT || wire.age_ms >= MAX_AGE_MS {
        return Err(GossipDecodeError::EntryNumbers {
            writer,
            count: wire.count,
            age_ms: wire.age_ms,
        });
    }
    check_count("sights", wire.sights.len(), MAX_REPORT_ITEMS)?;
    check_count("offers", wire.offers.len(), MAX_REPORT_ITEMS)?;
    check_count("served", wire.served.len(), MAX_REPORT_ITEMS)?;
    let mut observations = wire.sights.iter();
    if wire.badly > wire.tried || observations.any(|observed| observed.bad > observed.sent) {
        return Err(GossipDecodeError::MoreBadThanSent { writer });
    }
    if wire.offers.iter().any(|offer| offer.spare > WHOLE_LIMIT) {
        return Err(GossipDecodeError::MoreOfferedThanWhole { writer });
    }
    Ok(())
}

fn decode_observation(wire: WireSight) -> Observation {
    Observation {
        node: wire.node,
        start: wire.start,
        sent: wire.sent,
        bad: wire.bad,
        age: Duration::from_millis(u64::from(wire.ago_ms)),
        contradicts_ejection: wire.clears,
    }
}

fn decode_lease(wire: WireSay) -> Result<VolumeLeaseMessage, GossipDecodeError> {
    if wire.amount > WHOLE_LIMIT || wire.sharers == 0 {
        return Err(GossipDecodeError::LeaseNumbers {
            volume: wire.volume,
            amount: wire.amount,
            sharers: wire.sharers,
        });
    }
    let message = match wire.kind {
        KIND_REQUEST => LeaseMessage::Request {
            request: wire.number,
            lease: wire.loan,
            amount: wire.amount,
        },
        KIND_GRANT => LeaseMessage::Grant {
            request: wire.number,
            borrower_incarnation: decode_incarnation(wire.loan)?,
            amount: wire.amount,
        },
        KIND_RELEASE => LeaseMessage::Release { lease: wire.loan },
        KIND_CLEARED => LeaseMessage::Cleared {
            recovered_incarnation: decode_incarnation(wire.number)?,
        },
        KIND_RECOVERED => LeaseMessage::Recovered,
        kind => {
            return Err(GossipDecodeError::LeaseKind {
                volume: wire.volume,
                kind,
            })
        }
    };
    Ok(VolumeLeaseMessage {
        volume: wire.volume,
        sharers: wire.sharers,
        message,
    })
}
