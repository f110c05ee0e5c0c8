//! Settings and scripts in Starlark, checked whole before anything starts.
//!
//! For: turning a file into [`Settings`], or into the list of all its faults, each with file, line,
//! field and what was expected. It must never hold a tuned value of the decisions, and never start
//! anything. Begin with [`settings`] for the meaning of each call, [`script`] for the language,
//! [`fields`] for the checks.

pub mod fields;
pub mod kinds;
pub mod script;
pub mod settings;

pub use fields::Fault;
pub use grebecleat_scheduler::api::{DeduplicationScope, Idempotency};
pub use kinds::Kind;
pub use settings::*;
