//! What hosts of one fleet hold in common and decide with it.
//!
//! Free of I/O: [`fleet::Fleet`] is called as `step(now, events)` and answers actions; whoever carries words
//! between hosts may lose, double, delay and reorder them. Begin there. Its parts:
//!
//! - [`shared`]: entries, one writer each, joined by the larger, aged by spans;
//! - [`judgement`]: what all hosts' evidence says of a node, and what this host does with it;
//! - [`budget`]: parts of a whole, lent for a time, whose sum never passes the whole;
//! - [`word`]: what crosses between hosts, and what of it is refused.
//!
//! A host that hears nobody, and one alone, decides as one without this package: nothing here is a condition
//! of service, and nothing that is heard makes a host bolder than the sum over all hosts allows.

pub mod fleet;
pub mod gossip_message;
pub mod gossip_state;
pub mod outlier_detection;
pub mod quota_lease;

/// A host's place among the settings' hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostNumber(pub u32);

/// Tells the lives of one host apart; of two, the larger is the later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);
