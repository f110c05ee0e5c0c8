//! What crosses the sockets, and the record of it.
//!
//! For: the messages between clients, hosts, nodes and the list ([`pb`]), their frames ([`frame`]), the
//! estimate of what a frame waited on its way ([`delay`]), and trace files ([`trace`]). It must never decide
//! anything about a transfer. Begin with `proto/grebecleat.proto`.

pub mod clock;
pub mod delay;
pub mod frame;
pub mod trace;

/// The messages, made from `proto/grebecleat.proto`.
pub mod pb {
    #![allow(clippy::all)]
    include!(concat!(env!("OUT_DIR"), "/grebecleat.wire.v1.rs"));
}

/// The version of the messages that this program speaks.
pub const VERSION: u32 = 1;
