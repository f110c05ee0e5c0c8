//! The control endpoint.
pub mod accounts;
pub mod ring;
