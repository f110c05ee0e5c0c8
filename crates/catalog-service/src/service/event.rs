//! The events that the other threads send to the owner of the state.

use super::frame_sender::FrameSender;
use grebecleat_wire::pb::{self, frame::Body};

/// An event for the owner of the state.
pub(super) enum ServiceEvent {
    /// A peer has connected and sent its hello.
    Connected {
        conn: u64,
        hello: Box<pb::Hello>,
        frames: FrameSender,
    },
    /// A peer sent a frame.
    Frame { conn: u64, body: Box<Body> },
    /// A connection has ended.
    Disconnected { conn: u64 },
    /// All records up to that sequence number are stored.
    Persisted { up_to: u64 },
    /// The record of that sequence number, and all records after it, are not stored.
    PersistFailed { number: u64, reason: String },
    /// The result of a query that a separate thread has computed.
    QueryResult {
        conn: u64,
        result: Box<pb::QueryResult>,
    },
    /// The service has to end after all its decisions are stored.
    Stop,
}
