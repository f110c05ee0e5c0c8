//! Lease messages that wait to be sent, by receiver.
//!
//! Owned by [`crate::coordinator`], which adds them to gossip messages. Memory: what one step produces,
//! and what exceeds [`MAX_LEASE_MESSAGES`] for one receiver, until a later step sends it.

use crate::gossip_message::{VolumeLeaseMessage, MAX_LEASE_MESSAGES};
use crate::quotas::AddressedLeaseMessage;
use crate::HostNumber;
use std::collections::BTreeMap;

/// Lease messages that wait to be sent.
#[derive(Debug, Default)]
pub(crate) struct LeaseOutbox {
    /// No receiver has an empty list.
    waiting: BTreeMap<HostNumber, Vec<VolumeLeaseMessage>>,
}

impl LeaseOutbox {
    /// Adds messages behind those that wait.
    pub fn add(&mut self, messages: Vec<AddressedLeaseMessage>) {
        for addressed in messages {
            let waiting = self.waiting.entry(addressed.to).or_default();
            waiting.push(addressed.message);
        }
    }

    /// Hosts that messages wait for.
    pub fn receivers(&self) -> Vec<HostNumber> {
        self.waiting.keys().copied().collect()
    }

    /// Takes the first messages for a host, as many as fit into one gossip message.
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
