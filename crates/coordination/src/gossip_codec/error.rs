//! The reasons why a gossip message is rejected.

use super::wire::{FORMAT, MAX_INCARNATION};
use crate::gossip_message::MAX_BYTES;
use crate::lease_message::FULL_LIMIT;

/// The reason why a message is rejected. The host logs its text.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum GossipDecodeError {
    /// The message is longer than [`MAX_BYTES`].
    #[error("{bytes} bytes, expected at most {MAX_BYTES}")]
    TooLong {
        /// The message's length in bytes.
        bytes: usize,
    },
    /// The bytes are no protobuf message of this kind.
    #[error("no word: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// The message has another version of the encoding.
    #[error("format {format}, expected {FORMAT}")]
    Format {
        /// The version of the message.
        format: u32,
    },
    /// A list has more items than allowed.
    #[error("{count} {list}, expected at most {limit}")]
    TooMany {
        /// The list's name.
        list: &'static str,
        /// Number of the list's items.
        count: usize,
        /// Number of items that are allowed.
        limit: usize,
    },
    /// The message has an incarnation that no host reaches.
    #[error("life {incarnation}, expected 1 to {}", MAX_INCARNATION - 1)]
    Incarnation {
        /// The incarnation of the message.
        incarnation: u64,
    },
    /// An entry has a count or an age that no host reaches.
    #[error("entry of host {writer}: count {count} or age {age_ms} ms too large")]
    EntryNumbers {
        /// The entry's writer.
        writer: u32,
        /// The entry's count.
        count: u64,
        /// The entry's age in milliseconds.
        age_ms: u64,
    },
    /// An entry has more bad attempts than attempts, or more bad nodes than nodes.
    #[error("entry of host {writer}: more bad than sent")]
    MoreBadThanSent {
        /// The entry's writer.
        writer: u32,
    },
    /// An entry offers more than a complete limit.
    #[error("entry of host {writer}: more offered than there is")]
    OfferAboveLimit {
        /// The entry's writer.
        writer: u32,
    },
    /// A lease message concerns more than a complete limit, or a limit that no host shares.
    #[error("volume {volume}: {amount} of {FULL_LIMIT} by {sharers} sharers")]
    LeaseNumbers {
        /// The volume's number.
        volume: u64,
        /// The message's amount.
        amount: u32,
        /// Number of hosts that share the limit.
        sharers: u32,
    },
    /// A lease message has an unknown kind.
    #[error("volume {volume}: says {kind}, which is nothing")]
    LeaseKind {
        /// The volume's number.
        volume: u64,
        /// The message's kind.
        kind: u32,
    },
}
