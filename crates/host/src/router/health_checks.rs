//! Health checks that await their result.
//!
//! Called by the router when the scheduler requests a health check, when a node sends a result, and
//! when a connection ends. Memory: one entry for each health check that awaits its result.

use super::ConnId;
use grebecleat_scheduler::api::NodeId;
use std::collections::HashMap;

/// The outstanding health checks, by their id.
#[derive(Debug, Default)]
pub(super) struct HealthChecks {
    outstanding: HashMap<u64, (NodeId, ConnId)>,
}

impl HealthChecks {
    /// Records a health check that was put on a connection.
    pub(super) fn sent(&mut self, id: u64, node: NodeId, conn: ConnId) {
        self.outstanding.insert(id, (node, conn));
    }

    /// Removes a health check whose result has arrived, and returns its node. None: the id is
    /// unknown, or the connection of the health check has ended.
    pub(super) fn completed(&mut self, id: u64) -> Option<NodeId> {
        let (node, _) = self.outstanding.remove(&id)?;
        Some(node)
    }

    /// Removes the health checks of a connection that has ended, and returns their nodes.
    pub(super) fn connection_ended(&mut self, conn: ConnId) -> Vec<NodeId> {
        let of_conn = self.outstanding.extract_if(|_, check| check.1 == conn);
        of_conn.map(|(_, (node, _))| node).collect()
    }

    /// Returns whether no health check awaits its result.
    #[cfg(test)]
    pub(super) fn is_empty(&self) -> bool {
        self.outstanding.is_empty()
    }
}
