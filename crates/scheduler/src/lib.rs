//! grebecleat decides, on each host of a storage gateway, which requests go to their storage node now, which
//! are queued, and which are rejected.
//!
//! [`scheduler`] and [`probing_window`] hold every decision on a request; begin with
//! [`scheduler::Scheduler::step`]. [`api`] holds the events that go in and the actions that come out,
//! `state` the records that the decisions work on. [`token_bucket`], [`max_min_fair_share`], [`request_queue`],
//! [`key_order`], [`interval_sample`], [`histogram`], [`rates`] and [`rendezvous_hash`] are mechanical helpers whose
//! numbers come from the caller; [`rejection_stats`] is for operators.

#![warn(missing_docs)]

pub mod api;
pub mod histogram;
pub mod interval_sample;
pub mod key_order;
pub mod max_min_fair_share;
pub mod probing_window;
pub mod rates;
pub mod rejection_stats;
pub mod rendezvous_hash;
pub mod request_queue;
pub mod scheduler;
mod state;
pub mod token_bucket;
