//! What a site knows beyond the life of a process.
//!
//! For: the facts that hosts and targets hold in memory and keep through a crash. Without input or output.
//! [`extents`] is where a volume's extents lie, in little memory. It must never decide where one goes.

pub mod extents;
