//! The host on the users' platform, where clients, nodes and discovery use HTTP/1.1.
//!
//! Begin with [`run`], which owns the sockets and the loop around the host's `RequestRouter`. The
//! scheduler decides about every request, as on every other route into the host. [`http`], [`clients`], [`nodes`]
//! and [`discovery`] are pure translation, `grebecleat_discovery` orders the calls to discovery,
//! [`config`] reads the configuration that the platform passes at the start, [`statistics`] composes
//! the debug line that counts rejections by cause. This package translates the platform's protocol
//! and settings; no other package knows them.

#![warn(missing_docs, clippy::unwrap_used, clippy::wildcard_imports)]

pub mod clients;
pub mod config;
pub mod discovery;
pub mod http;
pub mod nodes;
pub mod run;
pub mod statistics;
