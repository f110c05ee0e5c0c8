//! The durable state of a site, in memory and on disk, for hosts, targets and the state service.
//!
//! - [`store`]: the file; [`group_commit`]: the thread that writes it; [`snapshot`]: a copy of the
//!   store in a plain file.
//! - [`codec`]: the messages of the file and of the wire; [`change_syntax`]: changes as text;
//!   [`declared_config`]: the changes that a settings file makes.
//! - [`service`]: the state service on its sockets; [`client`]: an operator's side of the protocol;
//!   `subscription`: the updates for an operator that watches.
//! - [`extents`]: the placement of extents, in little memory.
//!
//! This package does not decide where an extent is placed, which change is accepted, or anything
//! about a request. Begin with [`store`].

#![warn(missing_docs, clippy::unwrap_used, clippy::wildcard_imports)]

pub mod change_syntax;
pub mod client;
pub mod codec;
pub mod declared_config;
pub mod extents;
pub mod group_commit;
mod parts;
pub mod service;
pub mod snapshot;
pub mod store;
mod subscription;
