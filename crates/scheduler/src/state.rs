//! Tables of the scheduler: nodes, requests and volumes, and their records.
//!
//! Owned by [`crate::scheduler::Scheduler`]. The tables store records and look them up; they make no
//! decisions. The state of each mechanism is a type of that mechanism's module, and only that module modifies
//! it.

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
