//! The linear program that determines how many extents of each volume leave and arrive at each node,
//! with the fewest bytes to copy.
//!
//! [`crate::moves`] builds and solves it once for each attempt.

use super::scope::Scope;
use super::types::EPSILON;
use crate::planner::Volume;
use microlp::{ComparisonOp, LinearExpr, OptimizationDirection, Problem, SolveOptions, Variable};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of search tree nodes for a program with integer variables. With a larger number,
/// the search takes longer; with a smaller one, it misses solutions. There is no time limit, so that
/// the same site always results in the same proposal.
const MAX_SEARCH_NODES: u64 = 5_000;

/// How to solve the program.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Attempt {
    /// Fraction of each node's capacity that is left unused.
    pub margin: f64,
    /// Whether the variables are integers, so that only whole extents move.
    pub is_integer: bool,
}

/// Extents of a volume that leave a node and that arrive there.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ExtentChange {
    /// Extents that leave the node.
    pub leaving: f64,
    /// Extents that arrive at the node.
    pub arriving: f64,
}

/// The changes by number of the volume and of the node.
pub(super) type ExtentChanges = BTreeMap<(u64, u32), ExtentChange>;

/// A solution of the program.
pub(super) struct Solution {
    /// The extents to move.
    pub changes: ExtentChanges,
    /// The bytes to move.
    pub bytes: f64,
}

/// The variables for the extents of a volume that can leave a node or arrive there.
#[derive(Clone, Copy)]
struct ChangeVariables {
    leaving: Option<Variable>,
    arriving: Option<Variable>,
}

/// The program while it is built.
struct Program<'a> {
    scope: &'a Scope<'a>,
    attempt: Attempt,
    problem: Problem,
    variables: BTreeMap<(u64, u32), ChangeVariables>,
    /// The sum of the loads on each node, by node.
    load_sums: BTreeMap<u32, LinearExpr>,
    /// Size of the largest volume in bytes. Costs are fractions of it, because the solver needs values
    /// of similar magnitude.
    cost_unit: f64,
}

/// The sums over the nodes of one volume.
struct VolumeSums {
    /// Extents that leave minus extents that arrive.
    balance: LinearExpr,
    /// Loads on all nodes.
    carried: LinearExpr,
    /// Fraction of the extents on nodes that are unknown or cannot serve, so that these extents cannot
    /// be read.
    unreachable: f64,
}

impl Scope<'_> {
    /// Solves the program. Returns `None` if no moves meet the reservations, or the search found none.
    pub fn solve(&self, attempt: Attempt) -> Option<Solution> {
        let mut program = Program::new(self, attempt);
        for volume in &self.volumes {
            program.add_volume(volume);
        }
        program.limit_nodes();
        program.solve()
    }
}

impl<'a> Program<'a> {
    fn new(scope: &'a Scope<'a>, attempt: Attempt) -> Self {
        let bytes = scope
            .volumes
            .iter()
            .map(|volume| scope.size_of(volume).total_bytes());
        Program {
            scope,
            attempt,
            problem: Problem::new(OptimizationDirection::Minimize),
            variables: BTreeMap::new(),
            load_sums: BTreeMap::new(),
            cost_unit: bytes.fold(1.0, f64::max),
        }
    }

    fn add_volume(&mut self, volume: &Volume) {
        let fractions: BTreeMap<u32, f64> = volume.placement.iter().copied().collect();
        let nodes: BTreeSet<u32> = fractions
            .keys()
            .chain(&self.scope.targets)
            .copied()
            .collect();
        let mut sums = VolumeSums {
            balance: LinearExpr::empty(),
            carried: LinearExpr::empty(),
            unreachable: 0.0,
        };
        for node in nodes {
            let fraction = fractions.get(&node).copied().unwrap_or(0.0);
            let is_evacuated = self.scope.evacuated.contains(&node);
            if !is_evacuated && !self.scope.available.contains_key(&node) {
                sums.unreachable += fraction;
                continue;
            }
            let variables = self.add_changes(volume, node, fraction, &mut sums);
            if !is_evacuated {
                self.add_load(volume, node, fraction, variables, &mut sums);
            }
        }
        self.problem
            .add_constraint(sums.balance, ComparisonOp::Eq, 0.0);
        let reachable = volume.reservation * (1.0 - sums.unreachable).max(0.0);
        self.problem
            .add_constraint(sums.carried, ComparisonOp::Ge, reachable);
    }

    /// Adds the variables for the extents of a volume that leave and arrive at a node, which now has
    /// `fraction` of the volume's extents.
    fn add_changes(
        &mut self,
        volume: &Volume,
        node: u32,
        fraction: f64,
        sums: &mut VolumeSums,
    ) -> ChangeVariables {
        let size = self.scope.size_of(volume);
        let extent_count = size.extents.max(1) as f64;
        let extents_here = (fraction * extent_count).round();
        let is_evacuated = self.scope.evacuated.contains(&node);
        let min = if is_evacuated { extents_here } else { 0.0 };
        let cost = size.total_bytes() / extent_count / self.cost_unit;
        let leaving = (extents_here > 0.0).then(|| self.add_extents(cost, min, extents_here));
        let is_target = self.scope.targets.contains(&node) && !is_evacuated;
        let arriving = is_target.then(|| self.add_extents(0.0, 0.0, extent_count));
        if let Some(leaving) = leaving {
            sums.balance.add(leaving, 1.0);
        }
        if let Some(arriving) = arriving {
            sums.balance.add(arriving, -1.0);
        }
        let variables = ChangeVariables { leaving, arriving };
        self.variables.insert((volume.id, node), variables);
        variables
    }

    /// Adds the variable for the load of a volume on a node. The number of extents on the node after
    /// the moves bounds the load.
    fn add_load(
        &mut self,
        volume: &Volume,
        node: u32,
        fraction: f64,
        variables: ChangeVariables,
        sums: &mut VolumeSums,
    ) {
        let extent_count = self.scope.size_of(volume).extents.max(1) as f64;
        let load = self.problem.add_var(0.0, (0.0, volume.reservation));
        // The maximum load on a node that has all extents.
        let max_load = volume.reservation * self.scope.spread;
        let mut bound = LinearExpr::empty();
        bound.add(load, 1.0);
        if let Some(leaving) = variables.leaving {
            bound.add(leaving, max_load / extent_count);
        }
        if let Some(arriving) = variables.arriving {
            bound.add(arriving, -max_load / extent_count);
        }
        self.problem
            .add_constraint(bound, ComparisonOp::Le, max_load * fraction);
        sums.carried.add(load, 1.0);
        self.load_sums
            .entry(node)
            .or_insert_with(LinearExpr::empty)
            .add(load, 1.0);
    }

    fn add_extents(&mut self, cost: f64, min: f64, max: f64) -> Variable {
        if self.attempt.is_integer {
            self.problem.add_integer_var(cost, (min as i32, max as i32))
        } else {
            self.problem.add_var(cost, (min, max))
        }
    }

    fn limit_nodes(&mut self) {
        for (node, load_sum) in std::mem::take(&mut self.load_sums) {
            let usable = self.scope.available[&node] * (1.0 - self.attempt.margin);
            self.problem
                .add_constraint(load_sum, ComparisonOp::Le, usable + EPSILON);
        }
    }

    fn solve(self) -> Option<Solution> {
        let mut options = SolveOptions::default();
        options.node_limit = Some(MAX_SEARCH_NODES);
        let solved = self.problem.solve_with(options).ok()?;
        let solution = solved.into_solution().ok()?;
        let value = |variable: Option<Variable>| {
            variable.map_or(0.0, |variable| solution.var_value(variable).max(0.0))
        };
        let change = |variables: ChangeVariables| ExtentChange {
            leaving: value(variables.leaving),
            arriving: value(variables.arriving),
        };
        Some(Solution {
            changes: self
                .variables
                .into_iter()
                .map(|(placement, variables)| (placement, change(variables)))
                .collect(),
            bytes: solution.objective() * self.cost_unit,
        })
    }
}
