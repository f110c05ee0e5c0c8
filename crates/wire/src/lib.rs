//! What crosses the sockets, and the record of it.
//!
//! The messages between clients, hosts, nodes, discovery and the state service ([`pb`]), their
//! frames ([`frame`]), the estimate of what a frame waited on its way ([`delay`]), and trace files
//! ([`trace`]). Nothing here decides anything about a request. Begin with `proto/grebecleat.proto`.

pub mod clock;
pub mod delay;
pub mod frame;
pub mod trace;

/// As the messages' packages name each other.
mod grebecleat {
    pub mod wire {
        pub mod v1 {
            #![allow(clippy::all)]
            include!(concat!(env!("OUT_DIR"), "/grebecleat.wire.v1.rs"));
        }
    }
}

/// The messages of `proto/grebecleat.proto` and `proto/plans.proto`.
pub use grebecleat::wire::v1 as pb;

/// The version of the messages that this program speaks.
pub const VERSION: u32 = 1;
