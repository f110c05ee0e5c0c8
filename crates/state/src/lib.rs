//! Durable state of a site: what hosts, targets and the state service have in memory and store on
//! disk.
//!
//! [`store`] is the file, [`codec`] its messages and those of the wire; [`group_commit`] is the
//! thread that writes it, [`snapshot`] copies it to a plain file. [`service`] serves the
//! configuration on sockets, [`client`] is an operator's side of it, and [`subscription`] what a
//! watching operator learns. [`change_syntax`] is the text form of changes, [`declared_config`]
//! those that a settings file makes. [`extents`] is the placement of extents in little memory.
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
pub mod subscription;
