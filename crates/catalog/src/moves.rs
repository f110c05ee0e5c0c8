//! Which extents to move so that reservations can be met again, at the least bytes.
//!
//! Called by the state service for an operator, with a site, the nodes that are to be emptied, and
//! the sizes of volumes; the answer names whole extents, from where to where, or says what stays
//! short whatever is moved. A linear program (by `microlp`) weighs what each volume could put on
//! each node against the bytes that it would cost. Extents are whole: on a small site the program
//! knows that; on a larger one, where an extent is little, its parts are rounded up, the answer is
//! checked by the flow, and where rounding has filled a node, the program is solved again with a
//! little less capacity. Pure functions.
//!
//! Of a large site only a part goes into the program, or it would take minutes: volumes with a home
//! from which nothing leads to spare capacity, the cheapest to move first, and nodes with the most
//! spare capacity. The answer is then good and not proven the least; [`Proposal::is_complete`] says
//! which.
//!
//! Memory: for the time of the call, a few words for each volume and node that goes in.

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
use types::EPSILON;

/// Capacity of each node that is left unused for rounding, as a part of it, from one try to the
/// next.
const ROUNDING_MARGINS: [f64; 4] = [0.0, 0.005, 0.02, 0.05];
/// Number of variables up to which the program is made one of whole numbers.
const MAX_INTEGER_VARIABLES: usize = 400;

/// What would mend the site, with these nodes emptied; None: nothing needs to move.
pub fn propose(site: &Site, empty: &BTreeSet<u32>, size: impl Fn(u64) -> Size) -> Option<Proposal> {
    let mut flow = IncrementalFlow::of(site);
    for node in empty {
        flow.set_up(*node, false);
    }
    let is_short = flow.shortfall().short > flow.slack();
    let must_leave = |volume: &Volume| volume.placement.iter().any(|home| empty.contains(&home.0));
    if !is_short && !site.volumes.iter().any(must_leave) {
        return None;
    }
    let scope = Scope::of(site, &flow, empty, &size);
    let mut least = None;
    for attempt in attempts(&scope) {
        if least.is_none() {
            let relaxed = scope.solve(Attempt::default());
            least = relaxed.map(|solution| solution.bytes);
        }
        let Some(solution) = scope.solve(attempt) else {
            continue;
        };
        let moves = scope.whole_extents(&solution.changes);
        let short = shortfall_after(&flow, &scope, &moves).short;
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
    // Nodes are emptied anyway, to wherever most capacity is spare; the rest stays short.
    let moves = scope.evacuation();
    let bytes = total_bytes(&moves);
    Some(Proposal {
        short: shortfall_after(&flow, &scope, &moves).short,
        moves,
        bytes,
        least: bytes as f64,
        is_complete: scope.is_complete,
    })
}

/// The programs to solve, one after the other until one gives an answer that holds.
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

/// A volume of so many extents as it lies after the moves.
fn moved(volume: &Volume, moves: &[Move], extents: u64) -> Volume {
    let mut placement: BTreeMap<u32, f64> = volume.placement.iter().copied().collect();
    for step in moves.iter().filter(|step| step.volume == volume.id) {
        let part = step.extents as f64 / extents.max(1) as f64;
        *placement.entry(step.from).or_default() -= part;
        *placement.entry(step.to).or_default() += part;
    }
    Volume {
        placement: placement
            .into_iter()
            .filter(|(_, part)| *part > EPSILON)
            .collect(),
        ..volume.clone()
    }
}
