//! The running host: it hands events to the scheduler and performs the scheduler's actions.
//!
//! Begin with [`router`], which carries requests, attempts and connections between the sockets and
//! the scheduler. The other modules own the decisions that this package makes itself:
//! [`admission`], [`memory_budget`], [`pool`], [`process_pause`], [`observations`],
//! [`config_follower`], [`quota_sharing`] and [`metrics`]. [`grebecleat_discovery`] owns the endpoint list. None of them
//! reads sockets or clocks, so that a test or an emulator can step them. [`outbox`] is the boundary to
//! the sockets; [`server`] owns the sockets, on `may` coroutines. [`log_event`] writes the log. Nothing
//! here chooses the node of a request: only [`grebecleat_scheduler::scheduler`] does.

#![warn(missing_docs, clippy::unwrap_used, clippy::wildcard_imports)]

// The unit tests of `router` share the simulated network of the integration tests, which imports this
// package by its public name.
#[cfg(test)]
extern crate self as grebecleat_host;

#[cfg(test)]
#[path = "../tests/common/mod.rs"]
#[allow(missing_docs)] // used by tests only
mod common;

pub mod admission;
pub mod config_follower;
pub mod log_event;
pub mod memory_budget;
pub mod metrics;
pub mod observations;
pub mod outbox;
pub mod pool;
pub mod process_pause;
pub mod quota_sharing;
pub mod router;
pub mod server;
