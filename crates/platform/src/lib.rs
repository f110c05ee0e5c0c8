//! The users' platform as one more route into the host: clients, nodes and discovery speak
//! HTTP/1.1.
//!
//! Begin with [`run`], which owns the sockets and the loop around the host's `RequestRouter`; every
//! request's course is still decided by the one decision module. [`http`], [`clients`], [`nodes`]
//! and [`discovery`] are pure translation, `grebecleat_discovery` orders the calls to discovery,
//! [`config`] reads what the platform passes at the start, [`statistics`] logs at debug level what
//! was rejected and why. The platform's protocol and settings are translated in this package; no
//! other one knows them.

#![warn(missing_docs)]

pub mod clients;
pub mod config;
pub mod discovery;
pub mod http;
pub mod nodes;
pub mod run;
pub mod statistics;
