//! The scheduler of one gateway host: decides which requests are sent to their storage node now, which are
//! queued, and which are rejected.
//!
//! [`scheduler`] and [`probing_window`] hold every decision on a request; begin with
//! [`scheduler::Scheduler::step`]. [`api`] holds the events that go in, the actions that come out, and the
//! settings and metrics. The private module `state` holds the tables of nodes, requests and volumes.
//! [`token_bucket`], [`max_min_fair_share`], [`request_queue`], [`key_order`], [`interval_sample`],
//! [`histogram`], [`rates`] and [`rendezvous_hash`] are mechanical helpers that take their figures from the
//! caller; [`rejection_stats`] is for operators.

#![warn(missing_docs, clippy::unwrap_used, clippy::wildcard_imports)]

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
