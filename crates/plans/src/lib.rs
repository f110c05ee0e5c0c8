//! Plans as data, without input or output.
//!
//! For: what is decided about plans and volumes while they are in service, by whom, and when it is in force.
//! [`changes`] is the ledger; [`feed`] says who follows which version of it and what a host may send
//! meanwhile; [`planner`] says whether promises can be kept. It must never decide over a single transfer.
//! Begin with [`changes`].

pub mod admission;
pub mod changes;
pub mod feed;
pub mod flow;
pub mod moves;
pub mod planner;
pub mod standing;
