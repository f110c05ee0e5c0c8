//! The gossip message: the reports of hosts, and lease messages about shared limits.
//!
//! These types hold data only; [`crate::gossip_codec`] encodes them. [`MAX_ENTRIES`],
//! [`MAX_REPORT_ITEMS`], [`MAX_LEASE_MESSAGES`] and [`MAX_BYTES`] bound the size of a message.

use crate::host_report::GossipEntry;
use crate::lease_message::{LeaseMessage, ReceivedLeaseMessage};
use crate::{HostNumber, Incarnation};

/// The maximum number of entries in a message. Together with [`MAX_REPORT_ITEMS`] it keeps a message below
/// [`MAX_BYTES`]; with a smaller number it takes longer to send all reports in rotation.
pub const MAX_ENTRIES: usize = 16;
/// The maximum number of items of each kind in a host's report. A larger number makes a message too long;
/// with a smaller one a host cannot report all its urgent observations.
pub const MAX_REPORT_ITEMS: usize = 24;
/// The maximum length of an encoded message in bytes; a longer message is rejected. A larger bound costs
/// the receivers memory.
pub const MAX_BYTES: usize = 32 << 10;
/// The maximum number of lease messages in a gossip message; further ones wait for the next one. A larger
/// number makes a message too long; a smaller one delays leases.
pub const MAX_LEASE_MESSAGES: usize = 64;

/// A lease message, with the volume whose limit it is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VolumeLeaseMessage {
    /// The volume's number.
    pub volume: u64,
    /// The number of hosts that share the volume's limit, as the sender knows it; at least 1.
    pub sharers: u32,
    /// The message.
    pub message: LeaseMessage,
}

/// A message from one host to another.
#[derive(Debug, Clone, PartialEq)]
pub struct GossipMessage {
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The sender has just started and requests all entries, including those of itself.
    pub requests_sync: bool,
    /// Reports of hosts, which may include the sender's and the receiver's.
    pub entries: Vec<GossipEntry>,
    /// Lease messages about limits that the sender and the receiver share.
    pub lease_messages: Vec<VolumeLeaseMessage>,
}

/// A received lease message, with the volume whose limit it is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VolumeReceived {
    /// The volume's number.
    pub volume: u64,
    /// The message with its sender.
    pub received: ReceivedLeaseMessage,
}

impl GossipMessage {
    /// Returns the lease messages as messages that were received from `from`.
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
