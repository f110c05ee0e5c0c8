//! The message that hosts exchange: reports of hosts, and lease messages about shared limits.
//!
//! Plain data; [`crate::gossip_codec`] encodes it. Bounds: [`MAX_ENTRIES`], [`MAX_REPORT_ITEMS`],
//! [`MAX_LEASE_MESSAGES`] and [`MAX_BYTES`].

use crate::host_report::GossipEntry;
use crate::lease_message::{LeaseMessage, ReceivedLeaseMessage};
use crate::{HostNumber, Incarnation};

/// Entries of a message; with [`MAX_REPORT_ITEMS`] a message stays under [`MAX_BYTES`].
pub const MAX_ENTRIES: usize = 16;
/// Items of each kind in a host's report.
pub const MAX_REPORT_ITEMS: usize = 24;
/// Bytes of an encoded message; a longer one is rejected.
pub const MAX_BYTES: usize = 32 << 10;
/// Lease messages of a message; further ones wait for the next.
pub const MAX_LEASE_MESSAGES: usize = 64;

/// A lease message with the volume it is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VolumeLeaseMessage {
    /// The volume's number.
    pub volume: u64,
    /// How many hosts share the volume's limit, as the sender knows it; at least 1.
    pub sharers: u32,
    /// What is sent about it.
    pub message: LeaseMessage,
}

/// What one host sends another at a time.
#[derive(Debug, Clone, PartialEq)]
pub struct GossipMessage {
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The sender has just started and asks for what is known, of itself too.
    pub requests_sync: bool,
    /// Reports of hosts, the sender's own among them.
    pub entries: Vec<GossipEntry>,
    /// About limits that both hosts share.
    pub lease_messages: Vec<VolumeLeaseMessage>,
}

/// A lease message that was received, with the volume it is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VolumeReceived {
    /// The volume's number.
    pub volume: u64,
    /// What was received about it.
    pub received: ReceivedLeaseMessage,
}

impl GossipMessage {
    /// Its lease messages, as the quota leases of their volumes take them.
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
