//! Parser for the start-up settings of the users' simulator and platform.
//!
//! The platform's host and the adapter program use the same parser, so that their defaults are the same.

#![warn(missing_docs, clippy::unwrap_used, clippy::wildcard_imports)]

pub mod settings;
