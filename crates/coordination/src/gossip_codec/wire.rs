//! The protobuf messages of the encoding, and the valid ranges of their numbers.

use prost::Message;

/// The version of the encoding.
pub(super) const FORMAT: u32 = 1;
/// Incarnations must be below this bound. No host reaches it. An incarnation at the end of the range of
/// integers could never be superseded by a larger one.
pub(super) const MAX_INCARNATION: u64 = 1 << 48;
/// Sequence numbers of entries must be below this bound. No host reaches it. A sequence number at the end
/// of the range of integers could never be superseded by a larger one.
pub(super) const MAX_COUNT: u64 = 1 << 40;
/// Ages of entries must be below this bound, in milliseconds. Entries expire long before it.
pub(super) const MAX_AGE_MS: u64 = 1 << 32;

/// `WireSay::kind` of [`crate::lease_message::LeaseMessage::Request`].
pub(super) const KIND_REQUEST: u32 = 1;
/// `WireSay::kind` of [`crate::lease_message::LeaseMessage::Grant`].
pub(super) const KIND_GRANT: u32 = 2;
/// `WireSay::kind` of [`crate::lease_message::LeaseMessage::Release`].
pub(super) const KIND_RELEASE: u32 = 3;
/// `WireSay::kind` of [`crate::lease_message::LeaseMessage::Cleared`].
pub(super) const KIND_CLEARED: u32 = 4;
/// `WireSay::kind` of [`crate::lease_message::LeaseMessage::Recovering`].
pub(super) const KIND_RECOVERING: u32 = 5;

// The error text of `GossipDecodeError::Malformed`, which operators read in the log, contains the names of
// these messages and of their fields. The names therefore must not change.

/// Encodes [`crate::host_report::Observation`].
#[derive(Clone, PartialEq, Message)]
pub(super) struct WireSight {
    #[prost(uint32, tag = "1")]
    pub(super) node: u32,
    #[prost(uint64, tag = "2")]
    pub(super) start: u64,
    #[prost(uint32, tag = "3")]
    pub(super) sent: u32,
    #[prost(uint32, tag = "4")]
    pub(super) bad: u32,
    #[prost(uint32, tag = "5")]
    pub(super) ago_ms: u32,
    #[prost(bool, tag = "6")]
    pub(super) clears: bool,
}

/// Encodes [`crate::host_report::LeaseOffer`].
#[derive(Clone, PartialEq, Message)]
pub(super) struct WireOffer {
    #[prost(uint64, tag = "1")]
    pub(super) volume: u64,
    #[prost(uint32, tag = "2")]
    pub(super) spare: u32,
}

/// Encodes [`crate::host_report::ServedUnits`].
#[derive(Clone, PartialEq, Message)]
pub(super) struct WireServed {
    #[prost(uint64, tag = "1")]
    pub(super) volume: u64,
    #[prost(uint64, tag = "2")]
    pub(super) units: u64,
}

/// Encodes [`crate::host_report::GossipEntry`].
#[derive(Clone, PartialEq, Message)]
pub(super) struct WireEntry {
    #[prost(uint32, tag = "1")]
    pub(super) writer: u32,
    #[prost(uint64, tag = "2")]
    pub(super) incarnation: u64,
    #[prost(uint64, tag = "3")]
    pub(super) count: u64,
    #[prost(uint64, tag = "4")]
    pub(super) age_ms: u64,
    #[prost(uint32, tag = "5")]
    pub(super) tried: u32,
    #[prost(uint32, tag = "6")]
    pub(super) badly: u32,
    #[prost(message, repeated, tag = "7")]
    pub(super) sights: Vec<WireSight>,
    #[prost(message, repeated, tag = "8")]
    pub(super) offers: Vec<WireOffer>,
    #[prost(message, repeated, tag = "9")]
    pub(super) served: Vec<WireServed>,
}

/// Encodes [`crate::gossip_message::VolumeLeaseMessage`].
#[derive(Clone, PartialEq, Message)]
pub(super) struct WireSay {
    #[prost(uint64, tag = "1")]
    pub(super) volume: u64,
    #[prost(uint32, tag = "2")]
    pub(super) sharers: u32,
    #[prost(uint32, tag = "3")]
    pub(super) kind: u32,
    /// The request number of a request or grant, or the recovering incarnation of `Cleared`.
    #[prost(uint64, tag = "4")]
    pub(super) number: u64,
    /// The lease number of a request or release, or the borrower's incarnation of a grant.
    #[prost(uint64, tag = "5")]
    pub(super) loan: u64,
    #[prost(uint32, tag = "6")]
    pub(super) amount: u32,
}

/// Encodes [`crate::gossip_message::GossipMessage`].
#[derive(Clone, PartialEq, Message)]
pub(super) struct WireWord {
    #[prost(uint32, tag = "1")]
    pub(super) format: u32,
    #[prost(uint64, tag = "2")]
    pub(super) incarnation: u64,
    #[prost(bool, tag = "3")]
    pub(super) asks: bool,
    #[prost(message, repeated, tag = "4")]
    pub(super) entries: Vec<WireEntry>,
    #[prost(message, repeated, tag = "5")]
    pub(super) says: Vec<WireSay>,
}
