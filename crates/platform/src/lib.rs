//! The users' platform as one more route into the host: clients, nodes and list speak HTTP/1.1.
//!
//! Begin with [`run`], which owns the sockets and the loop around the host's `Desk`; every request's course
//! is still decided by the one decision module. [`http`], [`clients`], [`nodes`] and [`discovery`] are pure
//! translation, [`calls`] says what the list is asked, [`config`] reads what the platform tells at the start,
//! [`account`] says at debug level what was given up and why. The platform's words end at this package.

pub mod account;
pub mod calls;
pub mod clients;
pub mod config;
pub mod discovery;
pub mod http;
pub mod nodes;
pub mod run;
