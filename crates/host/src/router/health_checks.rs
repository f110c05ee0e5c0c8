//! Outstanding health checks.
//!
//! An entry is added when the scheduler requests a health check, and removed when the node sends the
//! result or the connection ends.

use super::ConnId;
use grebecleat_scheduler::api::NodeId;
use std::collections::HashMap;

/// The outstanding health checks by their identifiers.
#[derive(Debug, Default)]
pub(super) struct HealthChecks {
    outstanding: HashMap<u64, (NodeId, ConnId)>,
}

impl HealthChecks {
    /// Records a health check that was put into the outbox of a connection.
    pub(super) fn sent(&mut self, id: u64, node: NodeId, conn: ConnId) {
        self.outstanding.insert(id, (node, conn));
    }

    /// Removes a health check whose result has arrived, and returns its node. Returns `None` if the id
    /// is unknown or the connection on which the health check was sent has ended.
    pub(super) fn completed(&mut self, id: u64) -> Option<NodeId> {
        let (node, _) = self.outstanding.remove(&id)?;
        Some(node)
    }

    /// Removes the health checks of a connection that has ended, and returns their nodes.
    pub(super) fn connection_ended(&mut self, conn: ConnId) -> Vec<NodeId> {
        let of_conn = self.outstanding.extract_if(|_, check| check.1 == conn);
        of_conn.map(|(_, (node, _))| node).collect()
    }

    /// Returns whether no health check is outstanding.
    #[cfg(test)]
    pub(super) fn is_empty(&self) -> bool {
        self.outstanding.is_empty()
    }
}
