//! Which nodes there are, how they are, and how they are drained, without input or output.
//!
//! For: whoever must say of a node whether it can be counted on, and bring one to rest so that it can be
//! taken out. [`node_status`] is the table of who is believed about a node; [`drains`] are the decisions, called as
//! `step(now, wall, events)`. What a drain may coincide with is judged where drains land, in
//! [`grebecleat_plans::admission`]; where a single request goes is decided by nobody here. Begin with
//! [`node_status`].

pub mod drains;
pub mod node_status;
