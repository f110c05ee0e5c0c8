//! What the decisions know: volumes, nodes and requests, and the bookkeeping on them.
//!
//! Owned by [`crate::scheduler::Scheduler`], which decides what the figures mean and what follows from them.
//! Nothing is decided here.

mod attempts;
mod node;
mod request;
mod scheduler_state;
mod volume;

pub use attempts::OutstandingAttempts;
pub use node::Node;
pub use request::{DesiredState, PendingRequest};
pub use scheduler_state::SchedulerState;
pub use volume::Volume;
