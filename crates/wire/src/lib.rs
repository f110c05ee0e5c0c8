//! What crosses the sockets, and the record of it.
//!
//! For: the messages between clients, hosts, nodes and the list ([`pb`]), their frames ([`frame`]), the
//! estimate of what a frame waited on its way ([`delay`]), and trace files ([`trace`]); and what consoles and
//! the control endpoint say to each other ([`console`]). It must never decide
//! anything about a request. Begin with `proto/grebecleat.proto`.

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
    pub mod console {
        pub mod v1 {
            #![allow(clippy::all)]
            include!(concat!(env!("OUT_DIR"), "/grebecleat.console.v1.rs"));
        }
    }
}

/// The messages of `proto/console.proto`.
pub use grebecleat::console::v1 as console;
/// The messages of `proto/grebecleat.proto` and `proto/plans.proto`.
pub use grebecleat::wire::v1 as pb;

/// The version of the messages that this program speaks.
pub const VERSION: u32 = 1;
