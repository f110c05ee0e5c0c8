//! Limits the log lines about peers that violate the protocol.
//!
//! The router asks before it logs a violation. The limiter stores one entry for each connection with
//! a violation, until the connection ends.

use super::ConnId;
use std::collections::BTreeMap;

/// The most violations that are logged for one connection. Without this bound, a peer that violates
/// the protocol with every frame would fill the log.
const MAX_LOGGED_VIOLATIONS: u32 = 3;

/// Counts violations of the protocol by connection.
#[derive(Debug, Default)]
pub(super) struct ViolationLogLimiter {
    violations: BTreeMap<ConnId, u32>,
}

impl ViolationLogLimiter {
    /// Counts a violation on a connection and returns whether to log it.
    pub(super) fn count_violation(&mut self, conn: ConnId) -> bool {
        let count = self.violations.entry(conn).or_default();
        *count += 1;
        *count <= MAX_LOGGED_VIOLATIONS
    }

    /// Removes the count of a connection that has ended.
    pub(super) fn connection_ended(&mut self, conn: ConnId) {
        self.violations.remove(&conn);
    }
}
