//! How nodes are drained, and what all hosts together observe of them.
//!
//! Called as `step(now, wall, events)` for every batch of what the catalog, the hosts and the store
//! brought; it returns what to propose to the catalog, what to tell admission and what to tell
//! operators. [`Membership::wake_at`] says when it must be called again. Each step brings two
//! things up to date: the stage of every drain (`stages`), and which nodes admission counts as
//! unavailable (`status`).
//!
//! A drain is queued, draining, drained, removed. The stages are in the catalog, each as a change
//! of its own that is persisted and distributed like any other, so that a crash at any moment finds
//! the drain where it was; what lies between them only hosts know, and they report it again to a
//! process that starts anew:
//!
//! - a host is *notified* once it has acknowledged the catalog up to the drain, and that nothing
//!   decided before can still be sent. A host that was never heard of serves nothing; one that is
//!   dead holds the drain up until it is back or an operator vouches for it, since it might send
//!   again by what it knew;
//! - a node is *quiet* at a host that counted its attempts after it followed the drain and found
//!   none, once those that ended without an answer have had the longest time that any may take.
//!   What a host had in flight when its connection was lost, or what an earlier incarnation of it
//!   had up to when the next one came, is given twice that time: to end at the host, and to be over
//!   at the node;
//! - a node is *drained* when every host is notified and quiet. It does not go back: nobody sends
//!   to it.
//!
//! A queued drain is proposed when nothing in its zone is known to conflict with it, the earliest
//! request of a zone first; admission has the last word, at each try anew. A drain that is not
//! finished within its time is given up, and the node serves again: its operator wanted it soon or
//! not at all. Time is counted by this process's clock; over a restart by the wall clock, which may
//! have been set, so at least [`MIN_TIME_AFTER_RESTART`] remains.
//!
//! At a start everything that the catalog has goes into one step: a drain whose hosts come in a
//! later one would be taken for one that no host need be notified of.
//!
//! Free of input and output. Memory: a few words for each node and host, and for each node that is
//! known.

mod events;
mod messages;
mod records;
mod stages;
mod status;
mod view;

pub use messages::{Action, Event, NodeFacts, NodeObservation, ProposalId};
pub use view::{DrainView, NodeView, Phase};

use grebecleat_catalog::feed::HostNumber;
use grebecleat_catalog::records::{Stage, Version};
use records::{Host, Node};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// What a drain with a time limit keeps of it at a restart of ours, whatever the wall clock says.
pub const MIN_TIME_AFTER_RESTART: Duration = Duration::from_secs(10);
/// A queued drain is proposed again after this, if nothing that is known here has changed: what
/// blocks it may be elsewhere in the catalog.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// The state machine of nodes and their drains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Membership {
    warm_up_time: Duration,
    max_attempt_time: Duration,
    now: Duration,
    wall: Duration,
    /// Up to which version the catalog is persisted.
    version: Version,
    hosts: BTreeMap<HostNumber, Host>,
    nodes: BTreeMap<u32, Node>,
    last_proposal: u64,
    /// Nodes whose status must be reckoned again.
    changed_nodes: BTreeSet<u32>,
    /// Something changed that a queued drain may have waited for.
    retry_queued: bool,
}

/// For state exploration: how many proposals were made before makes no difference to what follows.
impl Hash for Membership {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.now.hash(state);
        self.wall.hash(state);
        self.version.hash(state);
        self.hosts.hash(state);
        self.nodes.hash(state);
        self.changed_nodes.hash(state);
        self.retry_queued.hash(state);
    }
}

impl Membership {
    /// `warm_up_time`: until a node that started can do all its work; `max_attempt_time`: the
    /// longest that an attempt may take.
    pub fn new(
        now: Duration,
        warm_up_time: Duration,
        max_attempt_time: Duration,
        hosts: impl IntoIterator<Item = HostNumber>,
    ) -> Self {
        // Hosts may have lost, and forgotten, what they had in flight before this process started.
        let host = Host {
            unaccounted_until: now + max_attempt_time * 2,
            ..Host::default()
        };
        Membership {
            warm_up_time,
            max_attempt_time,
            now,
            wall: Duration::ZERO,
            version: Version(0),
            hosts: hosts
                .into_iter()
                .map(|number| (number, host.clone()))
                .collect(),
            nodes: BTreeMap::new(),
            last_proposal: 0,
            changed_nodes: BTreeSet::new(),
            retry_queued: false,
        }
    }

    /// Takes in what has happened. `now`: this process's clock; `wall`: time since 1970.
    pub fn step(&mut self, now: Duration, wall: Duration, events: Vec<Event>) -> Vec<Action> {
        self.now = now.max(self.now);
        self.wall = wall;
        let mut actions = Vec::new();
        for event in events {
            self.apply(event, &mut actions);
        }
        for node in self.nodes_to_update() {
            self.update_status(node, &mut actions);
        }
        self.propose_stages(&mut actions);
        actions
    }

    /// Takes the nodes that something changed about, and adds those whose time has come.
    fn nodes_to_update(&mut self) -> BTreeSet<u32> {
        let mut nodes = std::mem::take(&mut self.changed_nodes);
        let due = |node: &u32| self.due_at(*node).is_some_and(|at| at <= self.now);
        nodes.extend(self.nodes.keys().copied().filter(due));
        nodes
    }

    /// When `step` must be called again if nothing happens before.
    pub fn wake_at(&self) -> Option<Duration> {
        let due = self.nodes.keys().filter_map(|node| self.due_at(*node));
        due.filter(|at| *at > self.now).min()
    }

    /// When time alone may change something about a node.
    fn due_at(&self, node: u32) -> Option<Duration> {
        let times = [
            self.warm_at(node),
            self.quiet_due_at(node),
            self.retry_due_at(node),
            self.expiry_due_at(node),
        ];
        times.into_iter().flatten().min()
    }

    /// Whether hosts send a node nothing new, as far as the catalog says.
    pub fn blocks_new_requests(&self, node: u32) -> bool {
        self.nodes.get(&node).is_some_and(Node::blocks_new_requests)
    }

    fn drain_stage(&self, node: u32) -> Option<Stage> {
        self.nodes.get(&node).and_then(Node::drain_stage)
    }
}
