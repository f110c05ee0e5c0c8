//! Determines the status of the storage nodes and drains nodes. Performs no I/O.
//!
//! The catalog service uses this crate to decide which nodes are available, and to drain a node
//! before its removal. Begin with [`node_status`], which ranks the sources of evidence on a node:
//! operators, the endpoint list, and the node's responses to attempts. [`drains`] is the state
//! machine, called as `step(now, wall, events)`. [`grebecleat_catalog::admission`] decides which
//! drains may run at the same time, when they are committed. This crate makes no
//! decision about individual requests.

#![warn(missing_docs, clippy::unwrap_used, clippy::wildcard_imports)]

pub mod answers;
pub mod drains;
pub mod list_entry;
pub mod node_status;
