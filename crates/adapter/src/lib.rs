//! The start-up settings of the users' simulator and platform, parsed into the scheduler's types.
//!
//! The platform's host and the adapter program use the same parser, so that no default differs
//! between them.

#![warn(missing_docs, clippy::unwrap_used, clippy::wildcard_imports)]

pub mod settings;
