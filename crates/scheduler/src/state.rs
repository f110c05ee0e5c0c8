//! Tables of the decisions: nodes, requests and volumes, and the small records in them.
//!
//! Owned by [`crate::scheduler::Scheduler`]. The tables hold records and look them up; they decide nothing. The
//! state of each mechanism is a type of that mechanism's module, which alone writes it.

mod attempts;
mod node;
mod node_table;
mod request;
mod request_table;
mod volume;
mod volume_table;

pub use attempts::OutstandingAttempts;
pub use node::Node;
pub use node_table::NodeTable;
pub use request::{DesiredState, PendingRequest};
pub use request_table::RequestTable;
pub use volume::Volume;
pub use volume_table::VolumeTable;
