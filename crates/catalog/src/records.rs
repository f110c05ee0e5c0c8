//! The records of the catalog: plans, volumes, nodes, drains, and the fixed properties of a
//! deployment.
//!
//! Plain data, used by every other module of this crate and by the crates that store and send it.
//! Rates are in units per second; times are wall-clock times since the Unix epoch.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Version number of the catalog. Every revision increases it; version 0 is the empty catalog.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(pub u64);

impl Version {
    /// The version after this one.
    pub fn next(self) -> Version {
        Version(self.0 + 1)
    }
}

/// Name of a plan, host, zone, target or author. The string is reference-counted, because thousands
/// of volumes have the same plan and hosts.
pub type Name = Arc<str>;

/// Service parameters of a volume, which hold for all hosts together.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Plan {
    /// Expected load, units per second.
    pub rate: f64,
    /// Guaranteed load, units per second.
    pub reservation: f64,
    /// Maximum sustained load, units per second. 0 means no limit.
    pub limit: f64,
    /// Capacity of the limit's token bucket, units.
    pub burst: f64,
    /// Units by which the load may exceed the limit, in addition to the burst.
    pub slack: f64,
    /// Priority weight. If not all reservations can be met, the volumes with the lowest weight lose
    /// theirs first.
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
    /// Unique name of the node for operators, or empty if the node has only a number.
    pub name: Name,
    /// Failure domain: all nodes of a zone may fail together.
    pub zone: Name,
    /// The shard that the node holds.
    pub shard: u32,
    /// Capacity, units per second. 0 means not configured.
    pub capacity: f64,
}

/// Progress of a drain, as far as it must survive a crash. Progress between two stages is not
/// stored: hosts report it, and report it again after a restart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum Stage {
    /// The drain waits until admission control has no objection. The node serves as before.
    Queued,
    /// Hosts send no new requests to the node.
    #[default]
    Draining,
    /// No attempt of any host is in flight at the node.
    Drained,
    /// The node is removed. A process that starts under its number receives no requests until an
    /// operator returns the node to service.
    Removed,
}

/// A request to empty a node.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Drain {
    /// The progress of the drain.
    pub stage: Stage,
    /// Timeout of the drain, counted from the start of draining. Zero means no timeout.
    pub timeout: Duration,
    /// The operator who first requested the drain. The leader fills in this field and the next two.
    pub author: Name,
    /// When the drain was first requested, as time since the Unix epoch.
    pub requested_at: Duration,
    /// When the stage last changed, as time since the Unix epoch.
    pub since: Duration,
}

impl Drain {
    /// Returns whether the drain has started, so that hosts must send no new requests to the node.
    pub fn holds(&self) -> bool {
        self.stage != Stage::Queued
    }
}

impl Stage {
    /// All stages, each with its name in the store and in output for operators.
    pub const NAMES: [(Stage, &'static str); 4] = [
        (Stage::Queued, "queued"),
        (Stage::Draining, "going"),
        (Stage::Drained, "empty"),
        (Stage::Removed, "out"),
    ];

    /// The stage's name in the store and in output for operators.
    pub fn name(self) -> &'static str {
        Stage::NAMES
            .iter()
            .find(|(stage, _)| *stage == self)
            .map_or("", |(_, name)| name)
    }

    /// Returns whether a drain may go from one stage to another, where `None` means no drain. A drain
    /// never returns to an earlier stage, because hosts have already acted on the later one and
    /// cannot revert that. Ending a drain is always allowed: to drain a removed node again, an
    /// operator first returns it to service.
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

/// Properties that the settings of a deployment fix, and that no change of the catalog modifies.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Deployment {
    /// Names of all hosts. Each volume is served through some of them.
    pub hosts: BTreeSet<Name>,
    /// Longest time between the decision to send an attempt and its sending. A plan's slack must
    /// cover the load that its limit allows in this time.
    pub max_dispatch_delay: Duration,
}
