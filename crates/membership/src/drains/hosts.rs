//! The hosts that send to nodes: which catalog version each has acknowledged, and whether it is
//! connected.
//!
//! [`Membership`](super::Membership) calls [`HostTable`] for each event of a host, and reads it to
//! decide whether a drain has reached all hosts. Memory: an entry for each host.

use super::nodes::Node;
use grebecleat_catalog::feed::HostNumber;
use grebecleat_catalog::records::Version;
use std::collections::BTreeMap;
use std::time::Duration;

/// Factor of the longest attempt time that covers attempts of which no host has a count: one time
/// until the attempt ends at the host, and one until it is over at the node.
const UNACCOUNTED_FACTOR: u32 = 2;

/// A host's record.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Host {
    /// The version of the catalog that the host has acknowledged; None: it never acknowledged one.
    acknowledged: Option<Version>,
    /// Whether an operator guarantees that the host sends nothing.
    removed: bool,
    connected: bool,
    incarnation: Option<u64>,
    /// When the last attempt is over, at the host and at the node, that an earlier incarnation may
    /// have had in flight, or this incarnation before its connection was lost.
    unaccounted_until: Duration,
}

/// All hosts; see the module.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct HostTable {
    /// The longest time that an attempt may take.
    max_attempt_time: Duration,
    hosts: BTreeMap<HostNumber, Host>,
}

impl HostTable {
    /// The hosts at a start of this process. They may have lost, and forgotten, attempts that were
    /// in flight before.
    pub fn new(
        now: Duration,
        max_attempt_time: Duration,
        hosts: impl IntoIterator<Item = HostNumber>,
    ) -> Self {
        let host = Host {
            unaccounted_until: now + max_attempt_time * UNACCOUNTED_FACTOR,
            ..Host::default()
        };
        HostTable {
            max_attempt_time,
            hosts: hosts
                .into_iter()
                .map(|number| (number, host.clone()))
                .collect(),
        }
    }

    /// A host has acknowledged the catalog up to `version`.
    pub fn set_acknowledged(&mut self, number: HostNumber, version: Option<Version>) {
        let host = self.hosts.entry(number).or_default();
        // A new acknowledgement shows that the host is not removed, despite the operator's earlier
        // guarantee.
        host.removed &= host.acknowledged == version;
        host.acknowledged = version;
    }

    /// An operator guarantees that a host sends nothing.
    pub fn set_removed(&mut self, number: HostNumber) {
        self.hosts.entry(number).or_default().removed = true;
    }

    /// A host is connected.
    pub fn set_connected(&mut self, now: Duration, number: HostNumber, incarnation: u64) {
        let unaccounted_until = self.unaccounted_until(now);
        let host = self.hosts.entry(number).or_default();
        host.connected = true;
        host.removed = false;
        // An earlier incarnation may have sent up to now. The same incarnation counts its attempts
        // in flight itself.
        if host.incarnation.replace(incarnation) != Some(incarnation) {
            host.unaccounted_until = unaccounted_until;
        }
    }

    /// A host's connection is lost.
    pub fn set_disconnected(&mut self, now: Duration, number: HostNumber) {
        let unaccounted_until = self.unaccounted_until(now);
        let host = self.hosts.entry(number).or_default();
        host.connected = false;
        host.unaccounted_until = unaccounted_until;
    }

    /// Returns whether a host is connected.
    pub fn is_connected(&self, number: HostNumber) -> bool {
        self.hosts.get(&number).is_some_and(|host| host.connected)
    }

    /// Hosts that may still send by a version before `version`, and whether they are connected.
    pub fn unnotified(&self, version: Version) -> Vec<(HostNumber, bool)> {
        let may_send =
            |host: &Host| !host.removed && host.acknowledged.is_some_and(|known| known < version);
        self.hosts
            .iter()
            .filter(|(_, host)| may_send(host))
            .map(|(number, host)| (*number, host.connected))
            .collect()
    }

    /// When the last attempt in flight from any host to a node is over, as far as is known. None
    /// while a host still counts attempts, or has not counted them since it follows the drain.
    pub fn quiet_at(&self, node: &Node) -> Option<Duration> {
        let version = node.drain.as_ref()?.version;
        let mut quiet_at = Duration::ZERO;
        for (number, host) in &self.hosts {
            if host.acknowledged.is_none() {
                continue;
            }
            let mut quiet_at_host = host.unaccounted_until;
            if host.connected {
                let report = node.reports.get(number)?;
                quiet_at_host = quiet_at_host.max(report.resolved_at(version)?);
            }
            quiet_at = quiet_at.max(quiet_at_host);
        }
        Some(quiet_at)
    }

    fn unaccounted_until(&self, now: Duration) -> Duration {
        now + self.max_attempt_time * UNACCOUNTED_FACTOR
    }
}
