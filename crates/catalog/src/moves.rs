//! Proposes which extents to move so that reservations can be met, with the fewest bytes to copy.
//!
//! The catalog service calls [`propose`] for an operator, with a site, the nodes to evacuate and the
//! sizes of volumes. The proposal lists moves of whole extents; if no moves can meet all
//! reservations, it states the remaining shortfall. A linear program (solved by `microlp`) determines
//! how many extents to move, and how much load each volume then puts on each node. Only whole extents
//! can be moved. On a small site, the program has integer variables for them. On a larger site, a
//! single extent matters little: fractions of extents are rounded up, and the flow checks the result.
//! If rounding has overloaded a node, the program is solved again with slightly less capacity. All
//! functions are pure.
//!
//! The program of a large site would take minutes, so only a part of the site is included: the
//! volumes on bottleneck nodes, beginning with the cheapest to move, and the nodes with the most
//! spare capacity. The proposal is then good but not proven to be optimal;
//! [`Proposal::is_complete`] states whether the complete site was included.
//!
//! Memory use is a few words for each volume and node in the program, for the duration of the call.

mod program;
mod rounding;
mod scope;
mod types;

pub use types::{Move, Proposal, Size};

use crate::incremental_flow::{IncrementalFlow, Shortfall};
use crate::planner::{Site, Volume};
use program::Attempt;
use scope::Scope;
use std::collections::{BTreeMap, BTreeSet};
use types::{has_extents_on, EPSILON};

/// Fraction of each node's capacity that is reserved for rounding, by attempt. A larger margin moves
/// more bytes than necessary; with a smaller one, rounding makes more attempts fail.
const ROUNDING_MARGINS: [f64; 4] = [0.0, 0.005, 0.02, 0.05];
/// Maximum number of variables of a program with integer variables. With more, the search takes too
/// long; with a smaller maximum, more proposals depend on rounding.
const MAX_INTEGER_VARIABLES: usize = 400;

/// Proposes moves after which the site meets its reservations and the evacuated nodes have no
/// extents. Returns `None` if no moves are needed.
pub fn propose(
    site: &Site,
    evacuated: &BTreeSet<u32>,
    size: impl Fn(u64) -> Size,
) -> Option<Proposal> {
    let mut flow = IncrementalFlow::of(site);
    for node in evacuated {
        flow.set_up(*node, false);
    }
    let is_short = flow.shortfall().short > flow.slack();
    let must_leave = |volume: &Volume| has_extents_on(volume, |node| evacuated.contains(&node));
    if !is_short && !site.volumes.iter().any(must_leave) {
        return None;
    }
    let scope = Scope::of(site, &flow, evacuated, &size);
    let optimal = optimal_proposal(&scope, &flow);
    Some(optimal.unwrap_or_else(|| evacuation_proposal(&scope, &flow)))
}

/// The proposal of the first attempt whose moves meet all reservations.
fn optimal_proposal(scope: &Scope, flow: &IncrementalFlow) -> Option<Proposal> {
    let mut least = None;
    for attempt in attempts(scope) {
        if least.is_none() {
            let relaxed = scope.solve(Attempt::default());
            least = relaxed.map(|solution| solution.bytes);
        }
        let Some(solution) = scope.solve(attempt) else {
            continue;
        };
        let moves = scope.whole_extent_moves(&solution.changes);
        let short = shortfall_after(flow, scope, &moves).short;
        if short <= flow.slack() {
            return Some(Proposal {
                bytes: total_bytes(&moves),
                moves,
                least: least.unwrap_or_default(),
                short: 0.0,
                is_complete: scope.is_complete,
            });
        }
    }
    None
}

/// The proposal that evacuates the nodes although some reservations remain unmet.
fn evacuation_proposal(scope: &Scope, flow: &IncrementalFlow) -> Proposal {
    let moves = scope.evacuation();
    let bytes = total_bytes(&moves);
    Proposal {
        short: shortfall_after(flow, scope, &moves).short,
        moves,
        bytes,
        least: bytes as f64,
        is_complete: scope.is_complete,
    }
}

/// The attempts, in order. The first whose moves meet all reservations is used.
fn attempts(scope: &Scope) -> Vec<Attempt> {
    let variables: usize = scope
        .volumes
        .iter()
        .map(|volume| volume.placement.len() + scope.targets.len())
        .sum();
    let mut attempts = Vec::new();
    if scope.is_complete && variables <= MAX_INTEGER_VARIABLES {
        attempts.push(Attempt {
            margin: 0.0,
            is_integer: true,
        });
    }
    attempts.extend(ROUNDING_MARGINS.map(|margin| Attempt {
        margin,
        is_integer: false,
    }));
    attempts
}

fn total_bytes(moves: &[Move]) -> u64 {
    moves.iter().map(|extents| extents.bytes).sum()
}

fn shortfall_after(flow: &IncrementalFlow, scope: &Scope, moves: &[Move]) -> Shortfall {
    let mut after = flow.clone();
    after.set_volumes(scope.volumes.iter().map(|volume| {
        let extents = (scope.size)(volume.id).extents;
        (volume.id, Some(moved(volume, moves, extents)))
    }));
    after.shortfall()
}

/// The volume with its placement after the moves. `extents` is its number of extents.
fn moved(volume: &Volume, moves: &[Move], extents: u64) -> Volume {
    let mut placement: BTreeMap<u32, f64> = volume.placement.iter().copied().collect();
    for step in moves.iter().filter(|step| step.volume == volume.id) {
        let fraction = step.extents as f64 / extents.max(1) as f64;
        *placement.entry(step.from).or_default() -= fraction;
        *placement.entry(step.to).or_default() += fraction;
    }
    Volume {
        placement: placement
            .into_iter()
            .filter(|(_, fraction)| *fraction > EPSILON)
            .collect(),
        ..volume.clone()
    }
}
