//! The gossip message: reports of hosts, and lease messages about shared limits.
//!
//! Plain data; [`crate::gossip_codec`] encodes it. Bounds: [`MAX_ENTRIES`], [`MAX_REPORT_ITEMS`],
//! [`MAX_LEASE_MESSAGES`] and [`MAX_BYTES`].

use crate::host_report::GossipEntry;
use crate::lease_message::{LeaseMessage, ReceivedLeaseMessage};
use crate::{HostNumber, Incarnation};

/// Entries of a message, at most. Together with [`MAX_REPORT_ITEMS`] the number keeps a message
/// below [`MAX_BYTES`]; with a smaller one the rotation of all reports takes longer.
pub const MAX_ENTRIES: usize = 16;
/// Items of each kind in a host's report, at most. More items make a message too long; with fewer a
/// host cannot report all its urgent observations.
pub const MAX_REPORT_ITEMS: usize = 24;
/// Bytes of an encoded message, at most; a longer message is rejected. A larger bound costs the
/// receivers memory.
pub const MAX_BYTES: usize = 32 << 10;
/// Lease messages of a message, at most; further ones wait for the next message. More make a
/// message too long; fewer delay leases.
pub const MAX_LEASE_MESSAGES: usize = 64;

/// A lease message with its volume.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VolumeLeaseMessage {
    /// The volume's number.
    pub volume: u64,
    /// Number of hosts that share the volume's limit, as the sender knows it; at least 1.
    pub sharers: u32,
    /// The message.
    pub message: LeaseMessage,
}

/// The message that one host sends to another.
#[derive(Debug, Clone, PartialEq)]
pub struct GossipMessage {
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The sender has just started and requests all entries, including entries of itself.
    pub requests_sync: bool,
    /// Reports of hosts, including the sender's own.
    pub entries: Vec<GossipEntry>,
    /// Lease messages about limits that both hosts share.
    pub lease_messages: Vec<VolumeLeaseMessage>,
}

/// A received lease message with its volume.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VolumeReceived {
    /// The volume's number.
    pub volume: u64,
    /// The message with its sender.
    pub received: ReceivedLeaseMessage,
}

impl GossipMessage {
    /// Returns the lease messages, as the quota leases of their volumes handle them.
    pub fn received_from(&self, from: HostNumber) -> impl Iterator<Item = VolumeReceived> + '_ {
        let incarnation = self.incarnation;
        self.lease_messages.iter().map(move |lease| VolumeReceived {
            volume: lease.volume,
            received: ReceivedLeaseMessage {
                from,
                incarnation,
                sharers: lease.sharers,
                message: lease.message,
            },
        })
    }
}
