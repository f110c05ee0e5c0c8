//! grebecleat decides, on each host of a storage gateway, which requests go to their
//! storage node now, which are held, and which are turned away.
//!
//! [`control`] holds every decision on a request, [`window`] the search for a node's capacity. [`interface`]
//! holds what goes in and out of it, [`figures`] and [`account`] what is shown of it; [`state`] the records it
//! keeps; [`bucket`], [`filling`], [`held`], [`histogram`], [`lines`], [`ranking`] and [`spans`] are mechanical
//! helpers whose numbers come from the caller.

pub mod account;
pub mod bucket;
pub mod control;
pub mod figures;
pub mod filling;
pub mod held;
pub mod histogram;
pub mod interface;
pub mod lines;
pub mod ranking;
pub mod spans;
pub mod state;
pub mod window;
