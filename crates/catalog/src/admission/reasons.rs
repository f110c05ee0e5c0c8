//! What speaks against a change, as data and as operators read it.
//!
//! Made by [`crate::admission`], and by the drain machine of the membership package for nodes of
//! one zone.

use crate::planner::Out;
use crate::records::Name;
use std::fmt;

/// Volumes that are named in a text; of more only the number is given.
const MAX_NAMED_VOLUMES: usize = 8;

/// What speaks against a change. Amounts are units a second of reservations.
#[derive(Debug, Clone, PartialEq)]
pub enum Reason {
    /// Reservations that cannot be met.
    Short {
        /// How much in all.
        by: f64,
        /// The volumes that give way and by how much, the lightest first.
        volumes: Vec<(u64, f64)>,
    },
    /// Reservations of data that lies only where nothing can serve it.
    OutOfReach {
        /// How much in all.
        by: f64,
    },
    /// Reservations that could not be met with something out.
    Without {
        /// What is out.
        out: Out,
        /// Its name, if it is a zone.
        zone: Option<Name>,
        /// How much in all.
        by: f64,
    },
    /// The zone of a drained node is without other nodes too.
    Coincides {
        /// The node to be drained.
        node: u32,
        /// Its zone.
        zone: Name,
        /// The other nodes, and why they do not count.
        with: Vec<(u32, ExclusionReason)>,
    },
    /// Reservations that cannot be met while nodes of other zones are gone as well.
    Meanwhile {
        /// Those nodes.
        gone: Vec<u32>,
        /// How much in all.
        by: f64,
    },
    /// A node is to be taken out, and what was sent to it may still be in flight.
    NotEmpty {
        /// The node.
        node: u32,
    },
}

/// Why a node does not count as one that serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ExclusionReason {
    /// It is being drained.
    Draining,
    /// It has just started and its cache is empty.
    Warming,
    /// It does not answer as it should.
    Suspect,
    /// It is gone.
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

/// Of these unavailable nodes, those in the zone of a node, except itself.
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

/// What is found of a change's effect on promises.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AdmissionVerdict {
    /// The change is rejected for these, unless it is forced.
    pub objections: Vec<Reason>,
    /// The change lands; the author reads these.
    pub warnings: Vec<Reason>,
    /// Number of losses that were not examined, since it would have taken too long.
    pub unexamined_losses: usize,
    /// No node's capacity is configured, so nothing could be judged.
    pub capacity_unknown: bool,
}

/// Reasons as one line for operators.
pub fn join_reasons(reasons: &[Reason]) -> String {
    let texts: Vec<String> = reasons.iter().map(Reason::to_string).collect();
    texts.join("; ")
}
