//! A connected peer, and a call of a peer.

use super::frame_sender::FrameSender;
use grebecleat_catalog::feed::HostNumber;

/// A connected host or operator.
pub(super) struct Peer {
    /// Where its frames are sent.
    pub frames: FrameSender,
    /// The name of its hello.
    pub name: String,
    /// None: an operator.
    pub host: Option<HostNumber>,
    /// The same host has connected again; frames on this connection no longer count.
    pub superseded: bool,
}

/// A call of a peer that waits for its answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct PeerCall {
    /// The peer's connection.
    pub conn: u64,
    /// The peer's number of the call.
    pub call: u64,
}
