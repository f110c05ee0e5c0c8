//! Encodes and decodes gossip messages, and rejects those with numbers out of range.
//!
//! [`crate::coordinator`] calls [`GossipMessage::to_bytes`] and [`GossipMessage::from_bytes`]. The
//! bytes travel inside the frames that hosts exchange; a host that does not know them drops them.
//! No state, no I/O.
//!
//! A message is accepted or rejected as a unit, with one reason. Otherwise a part of a message, or
//! a message with numbers near the end of their range, could be merged and never be superseded. The
//! writer of an entry that another host passes on cannot be checked: hosts are trusted to be hosts
//! of this fleet, but not to send valid messages.

mod decode;
mod encode;
mod error;
mod wire;

pub use error::GossipDecodeError;

use crate::gossip_message::{GossipMessage, MAX_BYTES, MAX_ENTRIES, MAX_LEASE_MESSAGES};
use decode::{check_count, decode_entry, decode_incarnation, decode_lease};
use encode::{encode_entry, encode_lease};
use prost::Message;
use wire::{WireWord, FORMAT};

impl GossipMessage {
    /// Returns the encoded message.
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
    ///
    /// Returns the reason if the message is rejected.
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
