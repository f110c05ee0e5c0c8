//! Calls that wait for their answer.
//!
//! Owned by [`super::peer_table`]. State: one row for each call of a peer that the leader has not
//! answered, and the counter from which all call numbers come. A peer bounds its own rows: its
//! connection ends when it leaves too many answers unread.

use grebecleat_catalog::leader::CallId;
use std::collections::BTreeMap;

/// The first number is the next one; the settings' declaration has number 0.
const LAST_RESERVED_CALL: u64 = 1;

/// A call of a peer that waits for its answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct PeerCall {
    /// The peer's connection.
    pub conn: u64,
    /// The peer's number of the call.
    pub call: u64,
}

/// Numbers calls, and maps the leader's number of a call to the peer's.
#[derive(Debug)]
pub(super) struct CallTable {
    calls: BTreeMap<CallId, PeerCall>,
    /// The last number that was given to a call.
    last_call: u64,
}

impl CallTable {
    /// Returns a table without calls.
    pub fn new() -> Self {
        CallTable {
            calls: BTreeMap::new(),
            last_call: LAST_RESERVED_CALL,
        }
    }

    /// Returns an unused number, for a call of this service itself.
    pub fn allocate(&mut self) -> CallId {
        self.last_call += 1;
        CallId(self.last_call)
    }

    /// Returns an unused number for a peer's call, and stores the call until it is answered.
    pub fn register(&mut self, conn: u64, call: u64) -> CallId {
        let registered = self.allocate();
        self.calls.insert(registered, PeerCall { conn, call });
        registered
    }

    /// Removes a peer's call. Returns None if its peer has disconnected.
    pub fn take(&mut self, id: CallId) -> Option<PeerCall> {
        self.calls.remove(&id)
    }

    /// Removes all calls of a connection, and returns their numbers in ascending order.
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
