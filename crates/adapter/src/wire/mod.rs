//! The simulator's wire: one message a line, batches of events in, actions out.

mod actions;
mod error;
mod events;
mod session;
mod values;

pub use error::{LineError, WireError};
pub use session::Session;
