//! The lease messages that wait to be sent, by receiver.
//!
//! [`crate::coordinator`] owns the outbox and adds its messages to gossip messages. The outbox holds the
//! messages of one step. Messages for one receiver beyond [`MAX_LEASE_MESSAGES`] stay until a later step
//! sends them.

use crate::gossip_message::{VolumeLeaseMessage, MAX_LEASE_MESSAGES};
use crate::quotas::AddressedLeaseMessage;
use crate::HostNumber;
use std::collections::BTreeMap;

/// The lease messages that wait to be sent.
#[derive(Debug, Default)]
pub(crate) struct LeaseOutbox {
    /// The waiting messages by receiver. No list is empty.
    waiting: BTreeMap<HostNumber, Vec<VolumeLeaseMessage>>,
}

impl LeaseOutbox {
    /// Appends messages to those that already wait.
    pub fn add(&mut self, messages: Vec<AddressedLeaseMessage>) {
        for addressed in messages {
            let waiting = self.waiting.entry(addressed.to).or_default();
            waiting.push(addressed.message);
        }
    }

    /// Returns the hosts for which messages wait.
    pub fn receivers(&self) -> Vec<HostNumber> {
        self.waiting.keys().copied().collect()
    }

    /// Removes and returns the first messages for a host, at most as many as one gossip message carries.
    pub fn take_for(&mut self, to: HostNumber) -> Vec<VolumeLeaseMessage> {
        let Some(mut messages) = self.waiting.remove(&to) else {
            return Vec::new();
        };
        let rest = messages.split_off(messages.len().min(MAX_LEASE_MESSAGES));
        if !rest.is_empty() {
            self.waiting.insert(to, rest);
        }
        messages
    }
}
