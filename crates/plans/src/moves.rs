//! Which extents to move so that promises hold again, at the least bytes.
//!
//! Called with a site, the nodes that are to be emptied, and how large volumes are; the answer names whole
//! extents, from where to where, or says what stays short whatever is moved. A linear program (by `microlp`)
//! weighs what each volume could put on each node against the bytes that it would cost to let it. Extents are
//! whole: on a small site the program is told so; on a larger one, where an extent is little, its parts are
//! rounded up, the answer is checked by the flow, and where rounding has filled a node, the program is asked
//! again with a little less room. Without input or output.
//!
//! Of a large site only a part goes into the program, or it would take minutes: volumes with a home where
//! nothing leads to room, the cheapest to move first, and nodes with the most room. The answer is then good
//! and not proven the least; [`Proposal::snapshot`] says which.
//!
//! Memory: for the time of the call, a few words for each volume and node that goes in.

use crate::incremental_flow::IncrementalFlow;
use crate::planner::{Node, Site, Volume};
use microlp::{ComparisonOp, LinearExpr, OptimizationDirection, Problem, SolveOptions, Variable};
use std::collections::{BTreeMap, BTreeSet};

/// Volumes and targets that go into the program, beside those of nodes to be emptied.
const MAX_VOLUMES: usize = 300;
const MAX_TARGETS: usize = 6;
/// Room that is kept back for rounding, as a part of each node, from one try to the next.
const PERSISTED_BACK: [f64; 4] = [0.0, 0.005, 0.02, 0.05];
/// Numbers of extents up to which the program is told that they are whole, and how long it may search then.
const MAX_WHOLE: usize = 400;
const MAX_SEARCH: u64 = 5_000;
/// A part below this is none.
const NOTHING: f64 = 1e-7;

/// What it costs to move a volume.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Size {
    pub extents: u64,
    /// Of one extent.
    pub bytes: u64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Move {
    pub volume: u64,
    pub from: u32,
    pub to: u32,
    pub extents: u64,
    pub bytes: u64,
}

#[derive(Debug, Clone, Default, PartialEq)]
pub struct Proposal {
    pub moves: Vec<Move>,
    pub bytes: u64,
    /// The program's own optimum, below which no answer with whole extents can lie, of what went into it.
    pub least: f64,
    /// Reserves that stay unmet.
    pub short: f64,
    /// Everything went into the program.
    pub snapshot: bool,
}

/// What would mend the site, with these nodes emptied; None: nothing needs to move.
pub fn propose(site: &Site, empty: &BTreeSet<u32>, size: impl Fn(u64) -> Size) -> Option<Proposal> {
    let mut volumes_of_plan = IncrementalFlow::of(site);
    empty.iter().for_each(|n| volumes_of_plan.set_up(*n, false));
    let leaves = |v: &Volume| v.homes.iter().any(|h| empty.contains(&h.0));
    if volumes_of_plan.shortfall().short <= volumes_of_plan.slack()
        && !site.volumes.iter().any(leaves)
    {
        return None;
    }
    let scope = Scope::of(site, &volumes_of_plan, empty, &size);
    let mut least = None;
    let numbers = scope
        .volumes
        .iter()
        .map(|v| v.homes.len() + scope.targets.len())
        .sum::<usize>();
    let snapshot = (scope.snapshot && numbers <= MAX_WHOLE).then_some((0.0, true));
    for (persisted_back, snapshot) in snapshot
        .into_iter()
        .chain(PERSISTED_BACK.map(|k| (k, false)))
    {
        least = least.or_else(|| Some(scope.solve(0.0, false, &size)?.1));
        let Some((parts, _)) = scope.solve(persisted_back, snapshot, &size) else {
            continue;
        };
        let moves = scope.whole_extents(&parts, &size);
        let mut after = volumes_of_plan.clone();
        after.set_volumes(
            scope
                .volumes
                .iter()
                .map(|v| (v.id, Some(moved(v, &moves, &size)))),
        );
        let short = after.shortfall().short;
        if short <= after.slack() {
            let bytes = moves.iter().map(|m| m.bytes).sum();
            let least = least.unwrap_or_default();
            return Some(Proposal {
                moves,
                bytes,
                least,
                short: 0.0,
                snapshot: scope.snapshot,
            });
        }
    }
    // What is to be emptied goes anyway, to wherever most room is; the rest stays short.
    let moves = scope.anyhow(&size);
    let mut after = volumes_of_plan.clone();
    after.set_volumes(
        scope
            .volumes
            .iter()
            .map(|v| (v.id, Some(moved(v, &moves, &size)))),
    );
    let bytes: u64 = moves.iter().map(|m| m.bytes).sum();
    let (short, snapshot) = (after.shortfall().short, scope.snapshot);
    Some(Proposal {
        moves,
        bytes,
        least: bytes as f64,
        short,
        snapshot,
    })
}

/// A volume as it lies after the moves.
fn moved(v: &Volume, moves: &[Move], size: impl Fn(u64) -> Size) -> Volume {
    let mut homes: BTreeMap<u32, f64> = v.homes.iter().copied().collect();
    for m in moves.iter().filter(|m| m.volume == v.id) {
        let quota = m.extents as f64 / size(v.id).extents.max(1) as f64;
        *homes.entry(m.from).or_default() -= quota;
        *homes.entry(m.to).or_default() += quota;
    }
    Volume {
        homes: homes.into_iter().filter(|h| h.1 > NOTHING).collect(),
        ..v.clone()
    }
}

/// What goes into the program.
struct Scope<'a> {
    volumes: Vec<&'a Volume>,
    targets: Vec<u32>,
    empty: &'a BTreeSet<u32>,
    /// Room of nodes beside what the volumes left out carry there.
    room: BTreeMap<u32, f64>,
    spread: f64,
    snapshot: bool,
}

/// Extents that leave and extents that come in, by volume and node.
type Parts = BTreeMap<(u64, u32), (f64, f64)>;

impl<'a> Scope<'a> {
    fn of(
        site: &'a Site,
        volumes_of_plan: &IncrementalFlow,
        empty: &'a BTreeSet<u32>,
        size: impl Fn(u64) -> Size,
    ) -> Self {
        let up = |n: &&Node| !empty.contains(&n.id) && n.capacity > 0.0;
        let leaves = |v: &Volume| v.homes.iter().any(|h| empty.contains(&h.0));
        let small = site.volumes.len() <= MAX_VOLUMES && site.nodes.len() <= 4 * MAX_TARGETS;
        let mut targets: Vec<&Node> = site.nodes.iter().filter(up).collect();
        targets.sort_by(|a, b| {
            volumes_of_plan
                .room(b.id)
                .total_cmp(&volumes_of_plan.room(a.id))
                .then(a.id.cmp(&b.id))
        });
        if !small {
            targets.truncate(MAX_TARGETS);
        }
        let tight = |v: &Volume| v.homes.iter().any(|h| volumes_of_plan.is_tight(h.0));
        // Bytes that it costs to take a unit a second off a node.
        let cost = |v: &&Volume| {
            let s = size(v.id);
            (s.extents * s.bytes) as f64 / v.reserve.max(1e-3)
        };
        let (mut volumes, mut others): (Vec<&Volume>, Vec<&Volume>) =
            site.volumes.iter().partition(|v| small || leaves(v));
        others.retain(|v| tight(v) && v.reserve > 0.0);
        others.sort_by(|a, b| cost(a).total_cmp(&cost(b)).then(a.id.cmp(&b.id)));
        volumes.extend(others.into_iter().take(MAX_VOLUMES));
        let inside: BTreeSet<u64> = volumes.iter().map(|v| v.id).collect();
        let carried = volumes_of_plan.carried_beside(&inside);
        let room = site.nodes.iter().filter(up);
        let room = room.map(|n| {
            (
                n.id,
                (n.capacity - carried.get(&n.id).copied().unwrap_or(0.0)).max(0.0),
            )
        });
        let targets = targets.iter().map(|n| n.id).collect();
        Scope {
            volumes,
            targets,
            empty,
            room: room.collect(),
            spread: site.spread,
            snapshot: small,
        }
    }

    /// Extents to move at the least bytes, and these; None where no moves would do.
    fn solve(
        &self,
        persisted_back: f64,
        snapshot: bool,
        size: impl Fn(u64) -> Size,
    ) -> Option<(Parts, f64)> {
        let mut p = Problem::new(OptimizationDirection::Minimize);
        let mut on: BTreeMap<u32, LinearExpr> = BTreeMap::new();
        let mut vars: BTreeMap<(u64, u32), (Option<Variable>, Option<Variable>)> = BTreeMap::new();
        // Costs in parts of the largest volume: the solver wants figures of like size.
        let bytes = |v: &Volume| (size(v.id).extents * size(v.id).bytes) as f64;
        let largest = self.volumes.iter().map(|v| bytes(v)).fold(1.0, f64::max);
        for v in &self.volumes {
            let lies: BTreeMap<u32, f64> = v.homes.iter().copied().collect();
            let nodes: BTreeSet<u32> = lies.keys().chain(&self.targets).copied().collect();
            let (mut balance, mut carried, mut stuck) =
                (LinearExpr::empty(), LinearExpr::empty(), 0.0);
            for n in nodes {
                let quota = lies.get(&n).copied().unwrap_or(0.0);
                let leaves = self.empty.contains(&n);
                if !leaves && !self.room.contains_key(&n) {
                    stuck += quota; // nobody knows the node, and nobody can read what lies there
                    continue;
                }
                let all = size(v.id).extents.max(1) as f64;
                let here = (quota * all).round();
                let least = if leaves { here } else { 0.0 };
                let mut extents = |cost: f64, from: f64, to: f64| match snapshot {
                    true => p.add_integer_var(cost, (from as i32, to as i32)),
                    false => p.add_var(cost, (from, to)),
                };
                let out = (here > 0.0).then(|| extents(bytes(v) / all / largest, least, here));
                let target = self.targets.contains(&n) && !leaves;
                let comes = target.then(|| extents(0.0, 0.0, all));
                out.into_iter().for_each(|o| balance.add(o, 1.0));
                comes.into_iter().for_each(|i| balance.add(i, -1.0));
                vars.insert((v.id, n), (out, comes));
                if leaves {
                    continue;
                }
                let load = p.add_var(0.0, (0.0, v.reserve));
                let each = v.reserve * self.spread;
                let mut within = LinearExpr::empty();
                within.add(load, 1.0);
                out.into_iter().for_each(|o| within.add(o, each / all));
                comes.into_iter().for_each(|i| within.add(i, -each / all));
                p.add_constraint(within, ComparisonOp::Le, each * quota);
                carried.add(load, 1.0);
                on.entry(n).or_insert_with(LinearExpr::empty).add(load, 1.0);
            }
            p.add_constraint(balance, ComparisonOp::Eq, 0.0);
            p.add_constraint(
                carried,
                ComparisonOp::Ge,
                v.reserve * (1.0 - stuck).max(0.0),
            );
        }
        for (n, sum) in on {
            p.add_constraint(
                sum,
                ComparisonOp::Le,
                self.room[&n] * (1.0 - persisted_back) + NOTHING,
            );
        }
        let mut options = SolveOptions::default();
        options.node_limit = Some(MAX_SEARCH); // and no time limit: the same site gets the same answer
        let found = p.solve_with(options).ok()?.into_solution().ok()?;
        let value = |v: Option<Variable>| v.map_or(0.0, |v| found.var_value(v).max(0.0));
        let parts = vars
            .into_iter()
            .map(|(at, (out, comes))| (at, (value(out), value(comes))));
        Some((parts.collect(), found.objective() * largest))
    }

    /// Whole extents, at least as many as the program says.
    fn whole_extents(&self, parts: &Parts, size: impl Fn(u64) -> Size) -> Vec<Move> {
        let mut moves = Vec::new();
        for v in &self.volumes {
            let s = size(v.id);
            let of = |n: u32| parts.get(&(v.id, n)).copied().unwrap_or_default();
            let nodes = parts
                .range((v.id, 0)..=(v.id, u32::MAX))
                .map(|(k, p)| (k.1, *p));
            // What comes in beyond what leaves is wanted; the reverse leaves for others.
            let net = |(o, i): (f64, f64)| i - o;
            let up = |extents: f64| (extents - 1e-4).ceil().max(0.0) as u64;
            let mut expected: Vec<(u32, f64)> = nodes
                .filter(|(_, p)| net(*p) > NOTHING)
                .map(|(n, p)| (n, net(p)))
                .collect();
            expected.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
            for (from, quota) in &v.homes {
                let here = (quota * s.extents as f64).round();
                let leaves = if self.empty.contains(from) {
                    here
                } else {
                    -net(of(*from))
                };
                let mut left = up(leaves).min(here as u64);
                while left > 0 {
                    let Some(want) = expected.first_mut() else {
                        break;
                    };
                    let extents = left.min(up(want.1).max(1));
                    let bytes = extents * s.bytes;
                    moves.push(Move {
                        volume: v.id,
                        from: *from,
                        to: want.0,
                        extents,
                        bytes,
                    });
                    left -= extents;
                    want.1 -= extents as f64;
                    if want.1 <= NOTHING && expected.len() > 1 {
                        expected.remove(0);
                    }
                }
            }
        }
        moves
    }

    /// Everything off the nodes to be emptied, spread over the targets with most room.
    fn anyhow(&self, size: impl Fn(u64) -> Size) -> Vec<Move> {
        let mut room: BTreeMap<u32, f64> =
            self.targets.iter().map(|t| (*t, self.room[t])).collect();
        let mut moves = Vec::new();
        for v in &self.volumes {
            let s = size(v.id);
            for (from, quota) in v.homes.iter().filter(|h| self.empty.contains(&h.0)) {
                let best = room
                    .iter()
                    .max_by(|a, b| a.1.total_cmp(b.1))
                    .map(|(n, _)| *n);
                let extents = (quota * s.extents as f64).round() as u64;
                let Some(to) = best.filter(|_| extents > 0) else {
                    continue;
                };
                room.entry(to).and_modify(|r| *r -= v.reserve * quota);
                moves.push(Move {
                    volume: v.id,
                    from: *from,
                    to,
                    extents,
                    bytes: extents * s.bytes,
                });
            }
        }
        moves
    }
}
