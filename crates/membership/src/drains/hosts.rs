//! The table of hosts that send to nodes: which catalog version each has acknowledged, and whether it
//! is connected.
//!
//! [`Membership`](super::Membership) calls [`HostTable`] for each event of a host, and reads it to
//! decide whether a drain has reached all hosts. The table holds an entry for each host.

use super::nodes::Node;
use grebecleat_catalog::feed::HostNumber;
use grebecleat_catalog::records::Version;
use std::collections::BTreeMap;
use std::time::Duration;

/// Multiple of the longest attempt time after which attempts that no host counts have ended: once
/// until the attempt ends at the host, and once until it ends at the node.
const UNCOUNTED_TIME_FACTOR: u32 = 2;

/// The state of one host.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Host {
    /// The version of the catalog that the host has acknowledged. `None` if it never acknowledged
    /// one.
    acknowledged: Option<Version>,
    /// Whether an operator guarantees that the host sends nothing.
    removed: bool,
    connected: bool,
    incarnation: Option<u64>,
    /// When the last uncounted attempt has ended, at the host and at the node. Uncounted are those
    /// that an earlier incarnation had in flight, or this one before its connection was lost.
    uncounted_until: Duration,
}

/// All hosts; see the module documentation.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct HostTable {
    /// The longest time that an attempt may take.
    max_attempt_time: Duration,
    hosts: BTreeMap<HostNumber, Host>,
}

impl HostTable {
    /// Creates the table at the start of this process. Attempts from before the start may still be
    /// in flight, and hosts that restarted meanwhile no longer count them.
    pub fn new(
        now: Duration,
        max_attempt_time: Duration,
        hosts: impl IntoIterator<Item = HostNumber>,
    ) -> Self {
        let host = Host {
            uncounted_until: now + max_attempt_time * UNCOUNTED_TIME_FACTOR,
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

    /// Records that a host has acknowledged the catalog up to `version`.
    pub fn set_acknowledged(&mut self, number: HostNumber, version: Option<Version>) {
        let host = self.hosts.entry(number).or_default();
        // A new acknowledgement shows that the host is running, despite the operator's earlier
        // guarantee.
        host.removed &= host.acknowledged == version;
        host.acknowledged = version;
    }

    /// Records that an operator guarantees that a host sends nothing.
    pub fn set_removed(&mut self, number: HostNumber) {
        self.hosts.entry(number).or_default().removed = true;
    }

    /// Records that a host has connected.
    pub fn set_connected(&mut self, now: Duration, number: HostNumber, incarnation: u64) {
        let uncounted_until = self.uncounted_until(now);
        let host = self.hosts.entry(number).or_default();
        host.connected = true;
        host.removed = false;
        // An earlier incarnation may have sent attempts until now. If the incarnation is the same,
        // it counts its attempts in flight itself.
        if host.incarnation.replace(incarnation) != Some(incarnation) {
            host.uncounted_until = uncounted_until;
        }
    }

    /// Records that a host's connection was lost.
    pub fn set_disconnected(&mut self, now: Duration, number: HostNumber) {
        let uncounted_until = self.uncounted_until(now);
        let host = self.hosts.entry(number).or_default();
        host.connected = false;
        host.uncounted_until = uncounted_until;
    }

    pub fn is_connected(&self, number: HostNumber) -> bool {
        self.hosts.get(&number).is_some_and(|host| host.connected)
    }

    /// Returns the hosts that may still send attempts decided on a version before `version`, and
    /// whether each is connected.
    pub fn unnotified(&self, version: Version) -> Vec<(HostNumber, bool)> {
        let may_send = |host: &Host| {
            !host.removed
                && host
                    .acknowledged
                    .is_some_and(|acknowledged| acknowledged < version)
        };
        self.hosts
            .iter()
            .filter(|(_, host)| may_send(host))
            .map(|(number, host)| (*number, host.connected))
            .collect()
    }

    /// Returns when the last attempt of any host at a node has ended, as far as is known. `None`
    /// while a connected host has attempts in flight, or has not counted them since it applied the
    /// drain.
    pub fn quiescent_at(&self, node: &Node) -> Option<Duration> {
        let version = node.drain.as_ref()?.version;
        let mut quiescent_at = Duration::ZERO;
        for (number, host) in &self.hosts {
            if host.acknowledged.is_none() {
                continue;
            }
            let mut quiescent_at_host = host.uncounted_until;
            if host.connected {
                let report = node.reports.get(number)?;
                quiescent_at_host = quiescent_at_host.max(report.resolved_at(version)?);
            }
            quiescent_at = quiescent_at.max(quiescent_at_host);
        }
        Some(quiescent_at)
    }

    fn uncounted_until(&self, now: Duration) -> Duration {
        now + self.max_attempt_time * UNCOUNTED_TIME_FACTOR
    }
}
