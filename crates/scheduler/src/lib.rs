//! The scheduler of one gateway host: decides which requests are sent to their storage node now, which are
//! queued, and which are rejected.
//!
//! All decisions on requests are made in [`scheduler`] and [`probing_window`]; start reading at
//! [`scheduler::Scheduler::step`]. [`api`] contains the input events, the output actions, the settings and the
//! metrics. The private module `state` contains the tables of nodes, requests and volumes. [`token_bucket`],
//! [`max_min_fair_share`], [`request_queue`], [`key_order`], [`interval_sample`], [`histogram`], [`rates`] and
//! [`rendezvous_hash`] are data structures and algorithms whose parameters come from the caller.
//! [`rejection_stats`] counts rejections for operators.

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
