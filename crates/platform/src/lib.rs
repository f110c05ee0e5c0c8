//! The host on the users' platform, where clients, nodes and discovery use HTTP/1.1.
//!
//! [`run`] is the entry point: it owns the sockets and the event loop around the host's
//! `RequestRouter`. The scheduler decides about every request, as it does for the other protocols of
//! the host. [`http`], [`clients`], [`nodes`] and [`discovery`] translate messages and perform no I/O.
//! `grebecleat_discovery` decides when to call discovery. [`config`] reads the configuration that the
//! platform passes at startup. [`statistics`] formats the debug log line that counts rejections by
//! cause. The platform's protocol and settings are known to this package only.

#![warn(missing_docs, clippy::unwrap_used, clippy::wildcard_imports)]

pub mod clients;
pub mod config;
pub mod discovery;
pub mod http;
pub mod nodes;
pub mod run;
pub mod statistics;
