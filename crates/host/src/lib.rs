//! The running host.
//!
//! For: feeding the decisions with what really happens and carrying out what they answer. All that can be
//! stepped by a test or an emulator is free of sockets and clocks: [`desk`] (requests, attempts, connections as
//! seen from the decisions), and beside it what this package must itself decide: [`admission`], [`pool`],
//! [`renewal`], [`stall`], [`sights`], [`sharing`]; [`figures`] is what is shown. [`outbox`] is the seam to
//! the sockets; [`run`] holds the sockets, on `may` coroutines. Nothing here may choose which request goes
//! where: that is `grebecleat::control` alone. Begin with [`desk`].

// The tests' network serves the tests inside `desk` too, under the name it knows.
#[cfg(test)]
extern crate self as grebecleat_host;

#[cfg(test)]
#[path = "../tests/common/mod.rs"]
mod common;

pub mod admission;
pub mod config_follower;
pub mod endpoint_list;
pub mod metrics;
pub mod observations;
pub mod outbox;
pub mod poll_deadline;
pub mod pool;
pub mod process_pause;
pub mod quota_sharing;
pub mod router;
pub mod run;
