//! The durable state of a site, in memory and on disk. Hosts, targets and the state service use it.
//!
//! - [`store`]: the database file; [`group_commit`]: the thread that writes it; [`snapshot`]: a copy
//!   of the store in a plain file.
//! - [`codec`]: changes and revisions as protobuf messages, for the file and for the wire;
//!   [`change_syntax`]: changes as text; [`declared_config`]: the changes that a settings file
//!   declares.
//! - [`service`]: the server of the state service; [`client`]: its client for operators;
//!   `subscription`: the updates for an operator that watches.
//! - [`extents`]: a compact index of the placement of extents.
//!
//! This crate does not decide where an extent is placed, which change is accepted, or how a request
//! is handled. Start reading with [`store`].

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
