//! What a site knows beyond the life of a process.
//!
//! For: the facts that hosts and targets hold in memory and keep through a crash. [`extents`] is where extents
//! lie, in little memory. It must never decide where one goes, nor over any transfer.

pub mod extents;
