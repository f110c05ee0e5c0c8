//! Coordination among the hosts of one fleet: gossip, outlier detection and quota leases.
//!
//! The entry point is [`coordinator::Coordinator`], a state machine without I/O: `step(now, events)`
//! returns the actions to perform. The transport may lose, duplicate, delay and reorder the
//! messages. The modules:
//!
//! - [`events`]: the events and the actions of the state machine.
//! - [`gossip_state`]: the newest report ([`host_report`]) of each host, merged by version.
//! - [`outlier_detection`]: judges each node by the [`evidence`] of all hosts, and chooses this host's
//!   policy for it; `ejections`: the ejected nodes, and the schedule of probes.
//! - [`quotas`], [`quota_lease`], [`borrowed_leases`] and `granted_leases`: the quotas of a
//!   limit, parts of which hosts lease to each other. The sum of all quotas never exceeds the limit.
//! - [`gossip_message`], [`lease_message`] and [`gossip_codec`]: the messages, their encoding, and
//!   the errors of the decoder.
//!
//! A host that receives no messages uses its base quotas and its own evidence only, as if it had no
//! peers. No service depends on this package, and no received message makes the hosts together exceed a limit.

#![warn(missing_docs, clippy::unwrap_used, clippy::wildcard_imports)]

mod attempts;
pub mod borrowed_leases;
pub mod coordinator;
mod ejections;
pub mod events;
pub mod evidence;
pub mod gossip_codec;
pub mod gossip_message;
pub mod gossip_state;
mod granted_leases;
pub mod host_report;
pub mod lease_message;
mod lease_outbox;
pub mod outlier_detection;
mod own_incarnation;
pub mod quota_lease;
pub mod quotas;
mod report_store;
mod served_rates;

/// The number of a host: its position in the list of hosts in the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostNumber(pub u32);

/// The incarnation of a host. Each process of a host has another one; a later process has a larger
/// one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);
