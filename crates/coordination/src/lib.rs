//! Coordination among the hosts of one fleet: gossip, outlier detection and quota leases.
//!
//! No I/O: [`coordinator::Coordinator`] is a state machine, `step(now, events)`, which returns the
//! actions to perform. Begin there. The transport of its messages may lose, duplicate, delay and
//! reorder them. Its parts:
//!
//! - [`events`]: the events and the actions.
//! - [`gossip_state`]: the newest report of each host ([`host_report`]), merged by version.
//! - [`outlier_detection`]: the verdict of all hosts' [`evidence`] on a node, and this host's
//!   policy for it; `ejections`: the ejected nodes, and the turns to probe them.
//! - [`quotas`], [`quota_lease`], [`borrowed_leases`] and `granted_leases`: quotas of a limit,
//!   which hosts lease to each other for a time. The sum of all quotas never exceeds the limit.
//! - [`gossip_message`], [`lease_message`] and [`gossip_codec`]: the messages, and the reasons why
//!   a message is rejected.
//!
//! A host that receives no message decides like a host without this package. No service depends on
//! this package, and no received message lets a host use more than the limit over all hosts allows.

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

/// The number of a host: its position among the settings' hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostNumber(pub u32);

/// The incarnation of a host's process. It distinguishes the processes of one host; the larger
/// incarnation is later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);
