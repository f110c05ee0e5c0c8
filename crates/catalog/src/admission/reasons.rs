//! Objections and warnings of admission control, as data and as text for operators.
//!
//! [`crate::admission`] creates them. The membership crate also uses [`ExclusionReason`], for the
//! nodes of one zone. This module holds no state.

use crate::planner::Outage;
use crate::records::Name;
use std::fmt;

/// Maximum number of volumes that a message lists; of the others it states only the count. A larger
/// number makes the line too long to read; a smaller one hides volumes.
const MAX_NAMED_VOLUMES: usize = 8;

/// An objection or a warning. Amounts are reservations in units per second.
#[derive(Debug, Clone, PartialEq)]
pub enum Reason {
    /// Reservations that cannot be met.
    Unmet {
        /// The sum of the unmet amounts.
        by: f64,
        /// The volumes whose reservations cannot be met, each with the unmet amount, in order of
        /// increasing weight.
        volumes: Vec<(u64, f64)>,
    },
    /// Reservations for data on nodes that do not serve.
    OutOfReach {
        /// The sum of the unmet amounts.
        by: f64,
    },
    /// Reservations that could not be met during an outage of a node or a zone.
    UnmetDuringOutage {
        /// The node or zone that is out.
        out: Outage,
        /// The zone's name for the outage of a zone, otherwise `None`.
        zone: Option<Name>,
        /// The sum of the unmet amounts.
        by: f64,
    },
    /// Other nodes in the zone of the node to be drained are unavailable.
    ZoneUnavailable {
        /// The node to be drained.
        node: u32,
        /// The node's zone.
        zone: Name,
        /// The other nodes, and why they are unavailable.
        unavailable_nodes: Vec<(u32, ExclusionReason)>,
    },
    /// Reservations that cannot be met because nodes of other zones are removed as well.
    UnmetWithRemovedNodes {
        /// The removed nodes of other zones.
        gone: Vec<u32>,
        /// The sum of the unmet amounts.
        by: f64,
    },
    /// A node is removed before its drain is complete, so attempts may still be in flight there.
    NotDrained {
        /// The node.
        node: u32,
    },
}

/// The reason why a node does not count as available.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ExclusionReason {
    /// The node is being drained.
    Draining,
    /// The node has just started and its cache is empty.
    Warming,
    /// The node does not respond correctly.
    Suspect,
    /// The node was removed.
    Removed,
}

impl fmt::Display for ExclusionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ExclusionReason::Draining => "drains",
            ExclusionReason::Warming => "has just started and is cold",
            ExclusionReason::Suspect => "does not answer as it should",
            ExclusionReason::Removed => "is gone",
        })
    }
}

/// Returns those of the other unavailable nodes that are in the same zone as `node`.
///
/// ```
/// use grebecleat_catalog::admission::{excluded_in_zone, ExclusionReason::*};
/// let zone = |n: u32| if n < 10 { 'a' } else { 'b' };
/// let others = [(1, Draining), (2, Warming), (11, Removed), (3, Draining)];
/// assert_eq!(excluded_in_zone(3, zone, others), [(1, Draining), (2, Warming)]);
/// ```
pub fn excluded_in_zone<Z: PartialEq>(
    node: u32,
    zone: impl Fn(u32) -> Z,
    others: impl IntoIterator<Item = (u32, ExclusionReason)>,
) -> Vec<(u32, ExclusionReason)> {
    let own_zone = zone(node);
    others
        .into_iter()
        .filter(|(other, _)| *other != node && zone(*other) == own_zone)
        .collect()
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Unmet { by, volumes } => write_short(f, *by, volumes),
            Reason::OutOfReach { by } => {
                write!(f, "{by:.1} units a second of reserves lie out of reach")
            }
            Reason::UnmetDuringOutage { out, zone, by } => {
                let what = match (out, zone) {
                    (Outage::Node(id), _) => format!("node {id}"),
                    (_, Some(zone)) => format!("zone {zone}"),
                    _ => "a part".into(),
                };
                write!(
                    f,
                    "with {what} out, {by:.1} units a second of reserves could not be met"
                )
            }
            Reason::ZoneUnavailable {
                node,
                zone,
                unavailable_nodes,
            } => {
                let others: Vec<String> = unavailable_nodes
                    .iter()
                    .map(|(other, reason)| format!("node {other} {reason}"))
                    .collect();
                let others = others.join(" and ");
                write!(
                    f,
                    "node {node} must not drain while in zone {zone} {others}"
                )
            }
            Reason::UnmetWithRemovedNodes { gone, by } => write_meanwhile(f, gone, *by),
            Reason::NotDrained { node } => write!(
                f,
                "what was sent to node {node} may still be under way; \
                 it is empty when its drain says so"
            ),
        }
    }
}

fn write_short(f: &mut fmt::Formatter<'_>, by: f64, volumes: &[(u64, f64)]) -> fmt::Result {
    write!(
        f,
        "{by:.1} units a second of reserves cannot be met; what gives way:"
    )?;
    for (id, by) in volumes.iter().take(MAX_NAMED_VOLUMES) {
        write!(f, " volume {id} by {by:.1}")?;
    }
    match volumes.len().saturating_sub(MAX_NAMED_VOLUMES) {
        0 => Ok(()),
        more => write!(f, " and {more} more"),
    }
}

fn write_meanwhile(f: &mut fmt::Formatter<'_>, gone: &[u32], by: f64) -> fmt::Result {
    let numbers: Vec<String> = gone.iter().map(u32::to_string).collect();
    let subject = if gone.len() == 1 { "node" } else { "nodes" };
    let verb = if gone.len() == 1 { "is" } else { "are" };
    write!(
        f,
        "while {subject} {} {verb} gone, {by:.1} units a second of reserves cannot be met",
        numbers.join(", ")
    )
}

/// The effect of a change on reservations.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AdmissionVerdict {
    /// Objections. If there are any, the change is rejected unless it is forced.
    pub objections: Vec<Reason>,
    /// Warnings, which are reported to the author and do not prevent the change.
    pub warnings: Vec<Reason>,
    /// Number of outages that were not evaluated, because that would have taken too long.
    pub unevaluated_outages: usize,
    /// Whether no node's capacity is configured, so that reservations could not be evaluated.
    pub capacity_unknown: bool,
}

/// Joins reasons into one line for operators.
pub fn join_reasons(reasons: &[Reason]) -> String {
    let texts: Vec<String> = reasons.iter().map(Reason::to_string).collect();
    texts.join("; ")
}
