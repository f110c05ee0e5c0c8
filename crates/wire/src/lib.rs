//! The messages between clients, hosts, nodes, discovery and the state service, and their traces.
//!
//! - [`pb`]: the messages; [`frame`]: their frames.
//! - [`delay`]: estimates how long a frame waited on its way; [`clock`]: the monotonic clock.
//! - [`trace`]: trace files, which record the frames of a process.
//!
//! This package decides nothing about a request. Begin with `proto/grebecleat.proto`.

#![warn(missing_docs, clippy::unwrap_used, clippy::wildcard_imports)]

pub mod clock;
pub mod delay;
pub mod frame;
pub mod trace;

/// The packages of the messages, under the names by which the messages refer to each other.
mod grebecleat {
    pub mod wire {
        pub mod v1 {
            #![allow(clippy::all, missing_docs)]
            include!(concat!(env!("OUT_DIR"), "/grebecleat.wire.v1.rs"));
        }
    }
}

/// The messages of `proto/grebecleat.proto` and `proto/plans.proto`.
pub use grebecleat::wire::v1 as pb;

/// The version of the messages that this program sends and accepts.
pub const VERSION: u32 = 1;
