//! The simulator's line protocol: one message per line. The input consists of batches of events; the reply to a
//! batch consists of actions.

mod actions;
mod error;
mod events;
mod session;
mod values;

pub use error::{LineError, WireError};
pub use session::Session;
