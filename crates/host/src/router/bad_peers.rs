//! The number of log lines written about each peer that violates the protocol.
//!
//! Called by the router before it logs such a peer. Memory: one entry for each connection that was
//! logged, until the connection ends.

use super::ConnId;
use std::collections::BTreeMap;

/// Log lines that name one bad peer. Without this bound, a peer that violates the protocol with
/// every frame fills the log.
const MAX_LOG_LINES_PER_PEER: u32 = 3;

/// Log lines written so far, by connection.
#[derive(Debug, Default)]
pub(super) struct BadPeers {
    lines: BTreeMap<ConnId, u32>,
}

impl BadPeers {
    /// Counts a violation by the peer and returns whether it is to be logged.
    pub(super) fn may_log(&mut self, conn: ConnId) -> bool {
        let lines = self.lines.entry(conn).or_default();
        *lines += 1;
        *lines <= MAX_LOG_LINES_PER_PEER
    }

    /// Forgets a connection that has ended.
    pub(super) fn connection_ended(&mut self, conn: ConnId) {
        self.lines.remove(&conn);
    }
}
