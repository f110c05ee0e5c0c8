//! What a site knows beyond the life of a process.
//!
//! For: the facts that hosts and targets hold in memory and keep through a crash. Without input or output.
//! [`changes`] is the ledger of plans and volumes; [`extents`] is where extents lie, in little memory. It
//! must never decide where one goes, nor over any transfer. [`planner`] says whether promises can be kept.

pub mod changes;
pub mod extents;
pub mod feed;
pub mod planner;
