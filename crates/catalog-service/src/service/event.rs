//! What the other threads report to the owner of the state.

use super::frame_sender::FrameSender;
use grebecleat_wire::pb::{self, frame::Body};

/// An event for the owner of the state.
pub(super) enum ServiceEvent {
    /// A peer has connected and said hello.
    Connected {
        conn: u64,
        hello: Box<pb::Hello>,
        frames: FrameSender,
    },
    /// A peer sent a frame.
    Frame { conn: u64, body: Box<Body> },
    /// A connection has ended.
    Disconnected { conn: u64 },
    /// Everything up to that number is stored.
    Persisted { up_to: u64 },
    /// What has that number, and everything after it, is not stored.
    PersistFailed { number: u64, reason: String },
    /// The result of a query that was worked on by a thread of its own.
    QueryResult {
        conn: u64,
        result: Box<pb::QueryResult>,
    },
    /// The service shall end.
    Stop,
}
