//! The host's observations of nodes, which it reports to the state service: only the rows that have
//! changed since the last report.
//!
//! The router makes a row for each node in its periodic sweep; [`ObservationReport::changes`] returns
//! the rows to send. A row is not sent for a value that only changes with the passing of time, such
//! as an age. The time for which an attempt may still run counts as changed only when it starts or
//! reaches zero. After a new connection to the service, all rows are sent. Memory: a row for each
//! node of the endpoint list, and a count for each shard.

use grebecleat_discovery::endpoint_list::KnownEndpoint;
use grebecleat_membership::answers::{AttemptMeasurements, ResponseHealth};
use grebecleat_scheduler::api::{NodeId, NodeState};
use grebecleat_scheduler::scheduler::Scheduler;
use grebecleat_wire::clock::micros;
use grebecleat_wire::pb;
use std::collections::BTreeMap;
use std::time::Duration;

/// The progress of this host in draining a node.
#[derive(Debug, Clone, Copy)]
pub struct DrainProgress {
    /// The version of the catalog that this host has applied.
    pub applied: u64,
    /// Outstanding attempts of this host at the node.
    pub outstanding: u32,
    /// For how long an attempt that ended without a response may still run at the node.
    pub may_run_for: Duration,
}

/// The rows that were last reported.
#[derive(Debug, Default)]
pub struct ObservationReport {
    reported: BTreeMap<u32, pb::NodeObservation>,
    /// The number of extents by shard, or `None` while the portal of this process has not reported it.
    extents_by_shard: Option<BTreeMap<u32, u64>>,
}

impl ObservationReport {
    /// Forgets the reported rows, because the service has restarted or is another one.
    pub fn forget(&mut self) {
        self.reported.clear();
    }

    /// Replaces the number of extents in each shard that the portal knows.
    pub fn set_extents_by_shard(&mut self, extents: BTreeMap<u32, u64>) {
        self.extents_by_shard = Some(extents);
    }

    /// Returns how well the node answered according to the last report.
    pub fn answers(&self, node: u32) -> ResponseHealth {
        let reported = self.reported.get(&node);
        match reported.map(|observation| observation.answers()) {
            Some(pb::Answering::Well) => ResponseHealth::Good,
            Some(pb::Answering::Badly) => ResponseHealth::Bad,
            _ => ResponseHealth::None,
        }
    }

    /// Returns the row of a node. `drain` is `None` for a node in service: its attempts change all the
    /// time, and no operator waits for their end.
    pub fn row(
        &self,
        now: Duration,
        node: NodeId,
        known: &KnownEndpoint,
        health: Option<&AttemptMeasurements>,
        drain: Option<DrainProgress>,
    ) -> pb::NodeObservation {
        let before = self.answers(node.0);
        let answers = health.map_or(ResponseHealth::None, |health| {
            ResponseHealth::of(*health, before)
        });
        let uptime = |started: Duration| micros(now.saturating_sub(started));
        let extents = self.extents_by_shard.as_ref();
        let observation = pb::NodeObservation {
            node: node.0,
            listed: state_to_proto(known.state).into(),
            start: known.start,
            up_us: known.started.map(uptime),
            revision: known.revision,
            answers: answers_to_proto(answers).into(),
            extents: extents.map(|extents| extents.get(&known.shard.0).copied().unwrap_or(0)),
            ..pb::NodeObservation::default()
        };
        match drain {
            None => observation,
            Some(drain) => pb::NodeObservation {
                follows: drain.applied,
                attempts: drain.outstanding,
                unsure_us: micros(drain.may_run_for),
                ..observation
            },
        }
    }

    /// Returns the rows that differ from those last reported, and records them as reported.
    pub fn changes(
        &mut self,
        rows: impl IntoIterator<Item = pb::NodeObservation>,
    ) -> Vec<pb::NodeObservation> {
        let mut changed = Vec::new();
        for row in rows {
            let reported = self.reported.get(&row.node);
            if reported.is_none_or(|reported| stable_part(reported) != stable_part(&row)) {
                self.reported.insert(row.node, row);
                changed.push(row);
            }
        }
        changed
    }
}

/// Returns the health of each node as the scheduler sees it.
pub fn node_health(scheduler: &Scheduler, now: Duration) -> BTreeMap<NodeId, AttemptMeasurements> {
    let health = scheduler.nodes().map(|node| {
        let succeeded = !node.last_success.is_zero();
        let since_success = now.saturating_sub(node.last_success);
        let health = AttemptMeasurements {
            admission_level: node.admission_level,
            consecutive_failures: node.consecutive_failures,
            since_success: succeeded.then_some(since_success),
        };
        (node.node, health)
    });
    health.collect()
}

/// Returns a row without the values that change with the passing of time alone. The time for which an
/// attempt may still run is reduced to whether it is above zero.
fn stable_part(row: &pb::NodeObservation) -> pb::NodeObservation {
    pb::NodeObservation {
        // A process that restarts has another `start`, so its uptime needs no comparison.
        up_us: None,
        unsure_us: u64::from(row.unsure_us > 0),
        ..*row
    }
}

fn state_to_proto(state: NodeState) -> pb::NodeState {
    match state {
        NodeState::Ready => pb::NodeState::Ready,
        NodeState::Draining => pb::NodeState::Draining,
        NodeState::Gone => pb::NodeState::Gone,
    }
}

fn answers_to_proto(answers: ResponseHealth) -> pb::Answering {
    match answers {
        ResponseHealth::None => pb::Answering::NotAsked,
        ResponseHealth::Good => pb::Answering::Well,
        ResponseHealth::Bad => pb::Answering::Badly,
    }
}

#[cfg(test)]
mod tests;
