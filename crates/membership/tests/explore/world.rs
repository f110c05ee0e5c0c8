//! One state of the model, and the invariants that must hold in every state.

use grebecleat_catalog::admission::ExclusionReason;
use grebecleat_catalog::records::{Drain, Stage, Version};
use grebecleat_membership::drains::{Event, Membership, NodeObservation};
use grebecleat_membership::list_entry::ListedState;
use grebecleat_membership::node_status::NodeStatus;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

pub const NODES: usize = 2;
/// The longest time that an attempt may take, in ticks.
pub const MAX_ATTEMPT_TIME: u64 = 1;
/// Time from a node's start until it has its full capacity, in ticks.
pub const WARM_UP_TIME: u64 = 1;
/// The first tick.
pub const FIRST_TICK: u64 = 10;

pub fn ticks(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// The stage of each node's drain.
pub type Drains = [Option<Stage>; NODES];

pub fn blocks_new_requests(stage: Option<Stage>) -> bool {
    stage.is_some_and(|stage| stage != Stage::Queued)
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct Host {
    pub alive: bool,
    pub incarnation: u64,
    /// Whether the connection to the service is open, as the host sees it.
    pub connected: bool,
    /// Whether the connection is open, as the service sees it.
    pub service_sees_connected: bool,
    /// The version of the catalog that the host has applied, and the drains in it.
    pub applied: (u64, Drains),
    pub persisted: (u64, Drains),
    /// The version of an acknowledgement that has not arrived yet.
    pub acknowledging: Option<u64>,
    /// The last observations on this connection, and whether they have arrived.
    pub observations: Option<([NodeObservation; NODES], bool)>,
    /// When the attempt in flight was sent.
    pub attempt: Option<u64>,
    /// When the last attempt without a known outcome has ended.
    pub unresolved_until: u64,
    /// The state and incarnation of the first node in the host's last endpoint list.
    pub list: (ListedState, u64),
}

/// The first node, which is the only one that is sent attempts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct Node {
    pub up: bool,
    pub incarnation: u64,
    pub started: Option<u64>,
    /// When the last attempt that no host counts as in flight has ended at the node.
    pub runs_until: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct World {
    pub now: u64,
    /// The catalog's version.
    pub version: u64,
    pub drains: Drains,
    /// The version and the author of the last change of each drain.
    pub last_changed: [(u64, u8); NODES],
    /// The exclusions that the membership has reported to admission.
    pub excluded: [Option<ExclusionReason>; NODES],
    pub membership: Membership,
    /// The version that each host has acknowledged to the catalog.
    pub acknowledged: Vec<Option<u64>>,
    pub hosts: Vec<Host>,
    pub node: Node,
    /// The second operator's base version.
    pub operator_version: u64,
    pub operator_changes: u8,
    pub failures: u8,
    pub attempts_sent: u8,
}

impl World {
    /// Returns the state and incarnation of the first node in the current endpoint list.
    pub fn listed(&self) -> (ListedState, u64) {
        let state = match self.node.up {
            true => ListedState::Ready,
            false => ListedState::Gone,
        };
        (state, self.node.incarnation)
    }

    /// Returns the catalog's events for the last change of a node's drain.
    pub fn committed(&self, node: usize) -> Vec<Event> {
        let to = self.drains[node].map(|stage| Drain {
            stage,
            ..Drain::default()
        });
        let version = Version(self.version);
        vec![
            Event::Persisted { version },
            Event::Drain {
                node: node as u32,
                to,
                version,
            },
        ]
    }

    /// Returns the first violated invariant and the state, if there is a violation.
    pub fn check(&self) -> Option<String> {
        if self.drains.iter().all(|drain| blocks_new_requests(*drain)) {
            return Some(format!(
                "both nodes of the zone are blocked by drains: {self:?}"
            ));
        }
        if matches!(self.drains[0], Some(Stage::Drained | Stage::Removed)) {
            let in_flight = self.hosts.iter().any(|host| host.attempt.is_some());
            if in_flight || self.node.runs_until > self.now {
                return Some(format!(
                    "the first node is drained with an attempt in flight: {self:?}"
                ));
            }
        }
        (0..NODES).find_map(|node| self.check_node(node))
    }

    fn check_node(&self, node: usize) -> Option<String> {
        let status = self.membership.node_status(node as u32);
        let blocked = blocks_new_requests(self.drains[node]);
        let serves = matches!(
            status,
            NodeStatus::Ready | NodeStatus::Warming | NodeStatus::Suspect
        );
        if blocked && serves {
            return Some(format!(
                "node {node} is blocked by its drain, but has status {status}: {self:?}"
            ));
        }
        if blocked != self.membership.blocks_new_requests(node as u32) {
            return Some(format!(
                "node {node}: the catalog and the membership disagree on its drain: {self:?}"
            ));
        }
        None
    }

    /// Returns a hash of the state. It has 128 bits, so that different states are very unlikely to
    /// have the same hash.
    pub fn state_hash(&self) -> u128 {
        let half = |salt: u8| {
            let mut hasher = DefaultHasher::new();
            salt.hash(&mut hasher);
            self.hash(&mut hasher);
            u128::from(hasher.finish())
        };
        half(1) << 64 | half(2)
    }
}
