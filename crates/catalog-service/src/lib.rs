//! Durable state of a site: what hosts, targets and the state service have in memory and on disk.
//!
//! - [`store`]: the file; [`group_commit`]: the thread that writes it; [`snapshot`]: a copy of it
//!   in a plain file.
//! - [`codec`]: the messages of the file and of the wire; [`change_syntax`]: changes as text;
//!   [`declared_config`]: the changes that a settings file makes.
//! - [`service`]: the state service on its sockets; [`client`]: an operator's side of it;
//!   `subscription`: what a watching operator learns.
//! - [`extents`]: the placement of extents, in little memory.
//!
//! Nothing here decides where an extent goes, which change is accepted, or anything about a
//! request. Begin with [`store`].

#![warn(missing_docs)]

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
