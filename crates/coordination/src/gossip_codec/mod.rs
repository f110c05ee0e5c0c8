//! Encodes and decodes gossip messages, and rejects messages with numbers out of range.
//!
//! [`crate::coordinator`] calls [`GossipMessage::to_bytes`] and [`GossipMessage::from_bytes`]. The
//! bytes are the payload of a frame between two hosts; a host that does not know this kind of
//! payload drops it. The module has no state and does no I/O.
//!
//! The decoder accepts or rejects a message as a whole and returns the first error. Otherwise an
//! entry of an invalid message, or an entry with a version near the end of its range, could be
//! merged, and no later entry could supersede it. The decoder cannot check who wrote an entry that
//! another host forwards: it trusts that a sender belongs to the fleet, but not that its messages
//! are valid.

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

    /// Decodes a message and checks that its numbers are in range.
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
        check_count("lease messages", wire.says.len(), MAX_LEASE_MESSAGES)?;
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
