//! The records of the catalog: plans, volumes, nodes, drains, and the facts of a deployment.
//!
//! Plain data, used by every other module of this package and by the packages that store and send
//! it. Owns no state. Rates are in units a second; times are since 1970 by the wall clock.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Number of a state of the catalog. Every revision makes a higher version; version 0 is the empty
/// catalog.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(pub u64);

impl Version {
    /// The version after this one.
    pub fn next(self) -> Version {
        Version(self.0 + 1)
    }
}

/// Name of a plan, host, zone, target or author. The text is shared, because thousands of volumes
/// have the same plan and hosts.
pub type Name = Arc<str>;

/// The terms on which a volume is served, over all hosts together.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Plan {
    /// Expected load, units a second.
    pub rate: f64,
    /// Guaranteed load, units a second.
    pub reservation: f64,
    /// Load that is never exceeded for long, units a second; 0: no limit.
    pub limit: f64,
    /// Capacity of the limit's token bucket, units.
    pub burst: f64,
    /// Units by which the limit may be exceeded.
    pub slack: f64,
    /// Priority weight: where not all reservations can be met, the lightest give way first.
    pub weight: f64,
    /// Price, in the operator's own unit.
    pub price: f64,
}

/// A volume: its plan, the hosts that serve it and where its data may lie.
#[derive(Debug, Clone, PartialEq)]
pub struct Volume {
    /// Name of the volume's plan, which must exist.
    pub plan: Name,
    /// Hosts through which the volume is served; at least one, each once.
    pub hosts: Arc<[Name]>,
    /// Shards on which the volume's data may lie.
    pub shards: Arc<[u32]>,
    /// Size in blocks, above 0.
    pub blocks: u64,
}

/// A storage node.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Node {
    /// Operators' name of the node, unique. Empty: the node has only a number.
    pub name: Name,
    /// Failure domain: all nodes of a zone may fail together.
    pub zone: Name,
    /// The shard that the node holds.
    pub shard: u32,
    /// Capacity, units a second; 0: not configured.
    pub capacity: f64,
}

/// Progress of a drain, as far as it must survive a crash. Hosts report the progress between two
/// stages, and report it again after a restart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum Stage {
    /// The drain waits until there is no objection to it; the node serves as before.
    Queued,
    /// Hosts send the node nothing new.
    #[default]
    Draining,
    /// No attempt of any host is in flight at the node.
    Drained,
    /// The node is removed: a process that starts under its number gets no requests before an
    /// operator returns the node.
    Removed,
}

/// A request to empty a node.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Drain {
    /// The progress of the drain.
    pub stage: Stage,
    /// Timeout of the drain, counted from the start of draining; zero: none.
    pub timeout: Duration,
    /// The operator who first requested the drain. The leader fills in this field and the next two.
    pub author: Name,
    /// When the drain was first requested, since 1970.
    pub requested_at: Duration,
    /// When the stage last changed, since 1970.
    pub since: Duration,
}

impl Drain {
    /// Returns whether hosts must send the node nothing new.
    pub fn holds(&self) -> bool {
        self.stage != Stage::Queued
    }
}

impl Stage {
    /// All stages, each with its name as stored and as operators read it.
    pub const NAMES: [(Stage, &'static str); 4] = [
        (Stage::Queued, "queued"),
        (Stage::Draining, "going"),
        (Stage::Drained, "empty"),
        (Stage::Removed, "out"),
    ];

    /// The stage's name as stored and as operators read it.
    pub fn name(self) -> &'static str {
        Stage::NAMES
            .iter()
            .find(|(stage, _)| *stage == self)
            .map_or("", |(_, name)| name)
    }

    /// Returns whether a drain may go from one stage to another; None: there is no drain. A drain
    /// never goes back to an earlier stage: hosts have acted on the drained node's state and cannot
    /// revert that. A drain can only end. An operator returns a removed node first, and may drain
    /// it again.
    ///
    /// ```
    /// use grebecleat_catalog::records::Stage::{self, *};
    /// assert!(Stage::may_follow(None, Some(Queued)));
    /// assert!(Stage::may_follow(Some(Queued), Some(Draining)));
    /// assert!(!Stage::may_follow(Some(Drained), Some(Draining)));
    /// assert!(!Stage::may_follow(None, Some(Drained)));
    /// assert!(Stage::may_follow(Some(Removed), None));
    /// ```
    pub fn may_follow(from: Option<Stage>, to: Option<Stage>) -> bool {
        match (from, to) {
            (_, None) => true,
            (None, Some(to)) => to <= Stage::Draining,
            (Some(from), Some(to)) => from <= to,
        }
    }
}

/// The facts that the settings of a deployment fix, and that no change touches.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Deployment {
    /// Names of all hosts. Each volume is served through some of them.
    pub hosts: BTreeSet<Name>,
    /// Longest time between the decision to send an attempt and its sending. A plan's slack must
    /// cover the load of this time.
    pub max_dispatch_delay: Duration,
}
