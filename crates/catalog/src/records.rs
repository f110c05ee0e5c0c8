//! The records that the catalog holds: plans, volumes, nodes, drains, and what a deployment fixes.
//!
//! Plain data, used by every other module of this package and by the packages that store and send
//! it. Owns no state. Rates are in units a second; times are since 1970 by the wall clock.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Number of a state of the catalog; every revision makes a higher one. 0: the empty catalog.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(pub u64);

impl Version {
    /// The version after this one.
    pub fn next(self) -> Version {
        Version(self.0 + 1)
    }
}

/// Name of a plan, host, zone, target or author; shared, since thousands of volumes have the same.
pub type Name = Arc<str>;

/// Terms on which a volume is served, over all hosts together.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Plan {
    /// Expected load, units a second.
    pub rate: f64,
    /// Load that is promised, units a second.
    pub reservation: f64,
    /// Load that is never passed for long, units a second; 0: no limit.
    pub limit: f64,
    /// Capacity of the limit's token bucket, units.
    pub burst: f64,
    /// Units by which the limit may be passed.
    pub slack: f64,
    /// Priority weight: where not all reservations can be met, the lightest give way first.
    pub weight: f64,
    /// Price, in the operator's own unit.
    pub price: f64,
}

/// A volume: its plan, the hosts that serve it and where its data may lie.
#[derive(Debug, Clone, PartialEq)]
pub struct Volume {
    /// Name of its plan, which must exist.
    pub plan: Name,
    /// Hosts through which it is served; at least one, each once.
    pub hosts: Arc<[Name]>,
    /// Shards on which its data may lie.
    pub shards: Arc<[u32]>,
    /// Size in blocks, above 0.
    pub blocks: u64,
}

/// A storage node.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Node {
    /// Operators' name of the node, unique. Empty: it goes by its number.
    pub name: Name,
    /// Failure domain: all its nodes may fail together.
    pub zone: Name,
    /// The shard that it holds.
    pub shard: u32,
    /// Units a second; 0: not configured.
    pub capacity: f64,
}

/// Progress of a drain, as far as it must survive a crash. Steps in between are reported by hosts
/// as they are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum Stage {
    /// It waits until nothing speaks against it; the node serves as before.
    Queued,
    /// Hosts send the node nothing new.
    #[default]
    Draining,
    /// Nothing that any host sent to the node is in flight.
    Drained,
    /// The node is taken out: a process that comes back under its number gets no work before an
    /// operator returns the node.
    Removed,
}

/// A request to empty a node.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Drain {
    /// How far it has come.
    pub stage: Stage,
    /// Timeout, counted from the start of draining; zero: none.
    pub timeout: Duration,
    /// Who asked first. The leader fills in this and the next two.
    pub author: Name,
    /// When it was first asked for, since 1970.
    pub requested_at: Duration,
    /// When the stage last changed, since 1970.
    pub since: Duration,
}

impl Drain {
    /// Whether the node is to get nothing new.
    pub fn holds(&self) -> bool {
        self.stage != Stage::Queued
    }
}

impl Stage {
    /// Every stage with its name as stored and as operators read it.
    pub const NAMES: [(Stage, &'static str); 4] = [
        (Stage::Queued, "queued"),
        (Stage::Draining, "going"),
        (Stage::Drained, "empty"),
        (Stage::Removed, "out"),
    ];

    /// Name as stored and as operators read it.
    pub fn name(self) -> &'static str {
        Stage::NAMES
            .iter()
            .find(|(stage, _)| *stage == self)
            .map_or("", |(_, name)| name)
    }

    /// Whether a drain may go from one stage to another; None: there is no drain. A stage never
    /// goes back except to none at all: hosts have acted on a drained node's state and cannot take
    /// that back. A node that was removed is returned first, and perhaps drained anew.
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

/// What the settings of a deployment fix and no change touches.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Deployment {
    /// Names of all hosts; a volume is served through some of them.
    pub hosts: BTreeSet<Name>,
    /// Longest time between the decision to send an attempt and its sending: a limit's slack must
    /// cover it.
    pub max_dispatch_delay: Duration,
}
