//! The running host.
//!
//! It feeds the decisions with what really happens and carries out what they return. All that can
//! be stepped by a test or an emulator is free of sockets and clocks: [`router`] (requests,
//! attempts and connections as seen from the decisions), and beside it what this package must
//! itself decide: [`admission`], [`pool`], [`poll_deadline`], [`process_pause`], [`observations`],
//! [`quota_sharing`]; [`metrics`] is what is shown. [`outbox`] is the seam to the sockets;
//! [`server`] holds the sockets, on `may` coroutines. Nothing here may choose which request goes
//! where: that is `grebecleat_scheduler::scheduler` alone. Begin with [`router`].

#![warn(missing_docs)]

// The tests' network serves the tests inside `router` too, under the name it knows.
#[cfg(test)]
extern crate self as grebecleat_host;

#[cfg(test)]
#[path = "../tests/common/mod.rs"]
#[allow(missing_docs)] // a test's helper
mod common;

pub mod admission;
pub mod config_follower;
pub mod endpoint_list;
pub mod log_event;
pub mod metrics;
pub mod observations;
pub mod outbox;
pub mod poll_deadline;
pub mod pool;
pub mod process_pause;
pub mod quota_sharing;
pub mod router;
pub mod server;
