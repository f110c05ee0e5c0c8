//! The errors of the gossip decoder.

use super::wire::{FORMAT, KIND_RECOVERING, KIND_REQUEST, MAX_AGE_MS, MAX_COUNT, MAX_INCARNATION};
use crate::gossip_message::MAX_BYTES;
use crate::lease_message::FULL_LIMIT;

/// The reason why a gossip message is rejected. The host writes its text to the log.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum GossipDecodeError {
    /// The message is longer than [`MAX_BYTES`].
    #[error("{bytes} bytes, expected at most {MAX_BYTES}")]
    TooLong {
        /// The message's length in bytes.
        bytes: usize,
    },
    /// The bytes are not a valid protobuf encoding of a gossip message.
    #[error("not a valid gossip message: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// The message has an unsupported encoding version.
    #[error("format {format}, expected {FORMAT}")]
    Format {
        /// The encoding version that the message states.
        format: u32,
    },
    /// A list of the message has too many items.
    #[error("{count} {list}, expected at most {limit}")]
    TooMany {
        /// The list's name.
        list: &'static str,
        /// The number of items that were received.
        count: usize,
        /// The maximum number of items.
        limit: usize,
    },
    /// The message contains an incarnation outside the valid range.
    #[error("incarnation {incarnation}, expected 1 to {}", MAX_INCARNATION - 1)]
    Incarnation {
        /// The incarnation that was received.
        incarnation: u64,
    },
    /// The sequence number or the age of an entry is outside the valid range.
    #[error(
        "entry of host {writer}: count {count}, age {age_ms} ms; expected a count below {MAX_COUNT} \
         and an age below {MAX_AGE_MS} ms"
    )]
    EntryNumbers {
        /// The host that wrote the entry.
        writer: u32,
        /// The entry's sequence number.
        count: u64,
        /// The entry's age in milliseconds.
        age_ms: u64,
    },
    /// An entry reports more failed attempts than attempts, or more bad nodes than nodes.
    #[error(
        "entry of host {writer}: more failed attempts than attempts sent, or more bad nodes than \
         nodes tried"
    )]
    MoreBadThanSent {
        /// The host that wrote the entry.
        writer: u32,
    },
    /// An entry offers to lease more than the complete limit of a volume.
    #[error("entry of host {writer}: lease offer above the complete limit of {FULL_LIMIT}")]
    OfferAboveLimit {
        /// The host that wrote the entry.
        writer: u32,
    },
    /// The amount of a lease message exceeds the complete limit, or the number of sharers is 0.
    #[error(
        "volume {volume}: lease message with amount {amount} and {sharers} sharers, expected an \
         amount of at most {FULL_LIMIT} and at least 1 sharer"
    )]
    LeaseNumbers {
        /// The volume's number.
        volume: u64,
        /// The amount of the lease message.
        amount: u32,
        /// The number of hosts that share the limit, as the message states it.
        sharers: u32,
    },
    /// A lease message has an unknown kind.
    #[error(
        "volume {volume}: lease message of unknown kind {kind}, expected {KIND_REQUEST} to \
         {KIND_RECOVERING}"
    )]
    LeaseKind {
        /// The volume's number.
        volume: u64,
        /// The kind that was received.
        kind: u32,
    },
}
