//! Queues frames for the writer thread of a connection, without blocking.

use grebecleat_wire::pb::frame::Body;
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc::{SyncSender, TrySendError};
use std::sync::Arc;
use tracing::warn;

/// Maximum number of frames that wait to be written; a peer that leaves more unread is disconnected.
/// A smaller limit disconnects peers that read long answers; a larger one costs memory for each slow
/// peer.
pub(super) const MAX_QUEUED_FRAMES: usize = 1024;

/// Sends frames to a connection's writer thread.
#[derive(Clone)]
pub(super) struct FrameSender {
    queue: SyncSender<Body>,
    stream: Arc<TcpStream>,
}

impl FrameSender {
    /// Returns a sender. `queue`: the queue that the connection's writer thread reads.
    pub fn new(queue: SyncSender<Body>, stream: Arc<TcpStream>) -> Self {
        FrameSender { queue, stream }
    }

    /// Queues a frame; disconnects a peer that leaves too many unread.
    pub fn send(&self, body: Body) {
        if let Err(TrySendError::Full(_)) = self.queue.try_send(body) {
            warn!(
                frames = MAX_QUEUED_FRAMES,
                "slow consumer disconnected: its queue of unread frames is full"
            );
            self.disconnect();
        }
    }

    /// Closes the connection, which ends both of its threads.
    pub fn disconnect(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}
