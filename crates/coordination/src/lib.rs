//! What hosts of one fleet share and decide together: gossip, outlier detection and quota leases.
//!
//! Free of I/O: [`coordinator::Coordinator`] is called as `step(now, events)` and returns actions; the
//! transport of its messages may lose, double, delay and reorder them. Begin there. Its parts:
//!
//! - [`events`]: what goes into it and what comes out;
//! - [`gossip_state`]: a report of each host ([`host_report`]), merged by the later version;
//! - [`outlier_detection`]: what all hosts' [`evidence`] says of a node, and how this host treats
//!   it;
//! - [`quotas`], [`quota_lease`] and [`borrowed_leases`]: quotas of a limit, leased for a time,
//!   whose sum never passes the limit;
//! - [`gossip_message`], [`lease_message`] and [`gossip_codec`]: what hosts exchange, and what of
//!   it is rejected.
//!
//! A host that receives nothing, and one alone, decides as one without this package: nothing here
//! is a condition of service, and nothing that is received lets a host use more than the sum over
//! all hosts allows.

#![warn(missing_docs)]

mod attempts;
pub mod borrowed_leases;
pub mod coordinator;
pub mod events;
pub mod evidence;
pub mod gossip_codec;
pub mod gossip_message;
pub mod gossip_state;
pub mod host_report;
pub mod lease_message;
mod lease_outbox;
pub mod outlier_detection;
pub mod quota_lease;
pub mod quotas;
mod served_rates;

/// A host's place among the settings' hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostNumber(pub u32);

/// Tells the processes of one host apart; of two, the larger is the later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);
