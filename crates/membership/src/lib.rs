//! The state of the storage nodes, and how nodes are drained. Free of input and output.
//!
//! For whoever must tell whether a node can be relied on, and empty a node before it is taken out.
//! Begin with [`node_status`], the table of precedence between what operators, the endpoint list
//! and a node's answers say; [`drains`] is the state machine, called as `step(now, wall, events)`.
//! Which drains may coincide is judged where they are committed, in
//! [`grebecleat_catalog::admission`]; where a single request goes is not decided here.

#![warn(missing_docs)]

pub mod answers;
pub mod drains;
pub mod list_reading;
pub mod node_status;
