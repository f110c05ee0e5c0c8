//! Objections and warnings of admission control, as data and as operators read them.
//!
//! [`crate::admission`] makes them. The membership package uses [`ExclusionReason`] for nodes of one
//! zone. Owns no state.

use crate::planner::Out;
use crate::records::Name;
use std::fmt;

/// Most volumes that a text names. For the others, it states only their number. A larger number
/// makes the line too long to read; a smaller one hides volumes.
const MAX_NAMED_VOLUMES: usize = 8;

/// An objection or a warning. Amounts are units a second of reservations.
#[derive(Debug, Clone, PartialEq)]
pub enum Reason {
    /// Reservations that cannot be met.
    Short {
        /// The sum of the unmet amounts.
        by: f64,
        /// The volumes whose reservations are unmet, with the amounts; lowest weight first.
        volumes: Vec<(u64, f64)>,
    },
    /// Reservations of data on nodes that cannot serve it.
    OutOfReach {
        /// The sum of the unmet amounts.
        by: f64,
    },
    /// Reservations that could not be met with a node or a zone out.
    Without {
        /// The node or zone that is out.
        out: Out,
        /// The zone's name, if a zone is out.
        zone: Option<Name>,
        /// The sum of the unmet amounts.
        by: f64,
    },
    /// Other nodes in the zone of a drained node are unavailable.
    Coincides {
        /// The node to be drained.
        node: u32,
        /// The node's zone.
        zone: Name,
        /// The other nodes, and why they are unavailable.
        with: Vec<(u32, ExclusionReason)>,
    },
    /// Reservations that cannot be met while nodes of other zones are gone as well.
    Meanwhile {
        /// The nodes of other zones.
        gone: Vec<u32>,
        /// The sum of the unmet amounts.
        by: f64,
    },
    /// A node is removed while attempts may still be in flight there.
    NotEmpty {
        /// The node.
        node: u32,
    },
}

/// The reason why a node does not count as serving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ExclusionReason {
    /// The node is being drained.
    Draining,
    /// The node has just started and its cache is empty.
    Warming,
    /// The node does not answer correctly.
    Suspect,
    /// The node is gone.
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

/// Unavailable nodes in the zone of a node, except the node itself.
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
            Reason::Short { by, volumes } => write_short(f, *by, volumes),
            Reason::OutOfReach { by } => {
                write!(f, "{by:.1} units a second of reserves lie out of reach")
            }
            Reason::Without { out, zone, by } => {
                let what = match (out, zone) {
                    (Out::Node(id), _) => format!("node {id}"),
                    (_, Some(zone)) => format!("zone {zone}"),
                    _ => "a part".into(),
                };
                write!(
                    f,
                    "with {what} out, {by:.1} units a second of reserves could not be met"
                )
            }
            Reason::Coincides { node, zone, with } => {
                let others: Vec<String> = with
                    .iter()
                    .map(|(other, reason)| format!("node {other} {reason}"))
                    .collect();
                let others = others.join(" and ");
                write!(
                    f,
                    "node {node} must not drain while in zone {zone} {others}"
                )
            }
            Reason::Meanwhile { gone, by } => write_meanwhile(f, gone, *by),
            Reason::NotEmpty { node } => write!(
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
    /// Objections: the change is rejected unless it is forced.
    pub objections: Vec<Reason>,
    /// Warnings: the change lands, and the author reads them.
    pub warnings: Vec<Reason>,
    /// Number of losses that were not examined, because that would have taken too long.
    pub unexamined_losses: usize,
    /// Whether no node's capacity is configured, so that nothing could be evaluated.
    pub capacity_unknown: bool,
}

/// Joins reasons to one line for operators.
pub fn join_reasons(reasons: &[Reason]) -> String {
    let texts: Vec<String> = reasons.iter().map(Reason::to_string).collect();
    texts.join("; ")
}
