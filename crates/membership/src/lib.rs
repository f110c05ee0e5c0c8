//! The status of the storage nodes, and how nodes are drained. No I/O.
//!
//! The catalog service uses it to decide which nodes are available, and to drain a node before its
//! removal. Begin with [`node_status`], the table of precedence between operators, the endpoint list
//! and a node's answers. [`drains`] is the state machine, called as `step(now, wall, events)`.
//! [`grebecleat_catalog::admission`] decides which drains may coincide, where they are committed. No
//! decision about a single request is made here.

#![warn(missing_docs, clippy::unwrap_used, clippy::wildcard_imports)]

pub mod answers;
pub mod drains;
pub mod list_reading;
pub mod node_status;
