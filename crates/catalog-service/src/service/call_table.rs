//! The calls of peers that wait for their answer.
//!
//! Owned by [`super::peer_table`]. State: one entry for each call of a peer that the leader has not
//! answered, and the counter from which all call IDs come. The number of a peer's entries is bounded:
//! its connection is closed when it leaves too many answers unread.

use grebecleat_catalog::leader::CallId;
use std::collections::BTreeMap;

/// IDs up to this one are not given to calls; the proposal of the settings has ID 0.
const LAST_RESERVED_CALL_ID: u64 = 1;

/// A call of a peer that waits for its answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct PeerCall {
    /// The peer's connection.
    pub conn: u64,
    /// The peer's own number of the call.
    pub call: u64,
}

/// Allocates call IDs, and maps the ID that the leader knows to the peer's own number of the call.
#[derive(Debug)]
pub(super) struct CallTable {
    calls: BTreeMap<CallId, PeerCall>,
    /// The last ID that was given to a call.
    last_call: u64,
}

impl CallTable {
    /// Returns a table without calls.
    pub fn new() -> Self {
        CallTable {
            calls: BTreeMap::new(),
            last_call: LAST_RESERVED_CALL_ID,
        }
    }

    /// Returns an unused ID, for a call of this service itself.
    pub fn allocate(&mut self) -> CallId {
        self.last_call += 1;
        CallId(self.last_call)
    }

    /// Returns an unused ID for a peer's call, and stores the call until it is answered.
    pub fn register(&mut self, conn: u64, call: u64) -> CallId {
        let registered = self.allocate();
        self.calls.insert(registered, PeerCall { conn, call });
        registered
    }

    /// Removes and returns a peer's call; `None` if its peer has disconnected.
    pub fn take(&mut self, id: CallId) -> Option<PeerCall> {
        self.calls.remove(&id)
    }

    /// Removes all calls of a connection, and returns their IDs in ascending order.
    pub fn remove_connection(&mut self, conn: u64) -> Vec<CallId> {
        let removed: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, peer_call)| peer_call.conn == conn)
            .map(|(id, _)| *id)
            .collect();
        for call in &removed {
            self.calls.remove(call);
        }
        removed
    }
}
