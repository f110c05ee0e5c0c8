//! The linear program: how many extents leave and arrive, by volume and node, at the least bytes.

use super::scope::Scope;
use super::types::EPSILON;
use crate::planner::Volume;
use microlp::{ComparisonOp, LinearExpr, OptimizationDirection, Problem, SolveOptions, Variable};
use std::collections::{BTreeMap, BTreeSet};

/// Most nodes of the search tree where extents are whole. There is no time limit: the same site
/// always gets the same answer.
const MAX_SEARCH_NODES: u64 = 5_000;

/// How to solve the program.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Attempt {
    /// Capacity of each node that is left unused, as a part of it.
    pub margin: f64,
    /// Whether extents are whole.
    pub is_integer: bool,
}

/// Extents of a volume that leave a node and that arrive there.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ExtentChange {
    pub leaving: f64,
    pub arriving: f64,
}

/// By volume and node.
pub(super) type ExtentChanges = BTreeMap<(u64, u32), ExtentChange>;

pub(super) struct Solution {
    pub changes: ExtentChanges,
    /// What it costs.
    pub bytes: f64,
}

/// The variables of a volume on a node, where it can leave or arrive.
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
    /// By node: the sum of the loads on it.
    load_sums: BTreeMap<u32, LinearExpr>,
    /// Bytes of the largest volume. Costs are parts of it: the solver needs figures of like size.
    cost_unit: f64,
}

/// The sums over the nodes of one volume.
struct VolumeSums {
    /// Extents that leave, less those that arrive.
    balance: LinearExpr,
    /// Loads on all nodes.
    carried: LinearExpr,
    /// Part of the extents on nodes that are unknown or cannot serve: nothing can read what lies
    /// there.
    unreachable: f64,
}

impl Scope<'_> {
    /// Extents to move at the least bytes; None where no moves would do.
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
        let parts: BTreeMap<u32, f64> = volume.placement.iter().copied().collect();
        let nodes: BTreeSet<u32> = parts.keys().chain(&self.scope.targets).copied().collect();
        let mut sums = VolumeSums {
            balance: LinearExpr::empty(),
            carried: LinearExpr::empty(),
            unreachable: 0.0,
        };
        for node in nodes {
            let part = parts.get(&node).copied().unwrap_or(0.0);
            let is_emptied = self.scope.empty.contains(&node);
            if !is_emptied && !self.scope.available.contains_key(&node) {
                sums.unreachable += part;
                continue;
            }
            self.add_home(volume, node, part, is_emptied, &mut sums);
        }
        self.problem
            .add_constraint(sums.balance, ComparisonOp::Eq, 0.0);
        let reachable = volume.reservation * (1.0 - sums.unreachable).max(0.0);
        self.problem
            .add_constraint(sums.carried, ComparisonOp::Ge, reachable);
    }

    /// Adds the variables of a volume on a node that has that part of its extents.
    fn add_home(
        &mut self,
        volume: &Volume,
        node: u32,
        part: f64,
        is_emptied: bool,
        sums: &mut VolumeSums,
    ) {
        let size = self.scope.size_of(volume);
        let all = size.extents.max(1) as f64;
        let here = (part * all).round();
        let least = if is_emptied { here } else { 0.0 };
        let cost = size.total_bytes() / all / self.cost_unit;
        let leaving = (here > 0.0).then(|| self.add_extents(cost, least, here));
        let is_target = self.scope.targets.contains(&node) && !is_emptied;
        let arriving = is_target.then(|| self.add_extents(0.0, 0.0, all));
        if let Some(leaving) = leaving {
            sums.balance.add(leaving, 1.0);
        }
        if let Some(arriving) = arriving {
            sums.balance.add(arriving, -1.0);
        }
        let variables = ChangeVariables { leaving, arriving };
        self.variables.insert((volume.id, node), variables);
        if is_emptied {
            return;
        }
        let load = self.problem.add_var(0.0, (0.0, volume.reservation));
        // What all extents together let a node carry.
        let max_load = volume.reservation * self.scope.spread;
        let mut within = LinearExpr::empty();
        within.add(load, 1.0);
        if let Some(leaving) = leaving {
            within.add(leaving, max_load / all);
        }
        if let Some(arriving) = arriving {
            within.add(arriving, -max_load / all);
        }
        self.problem
            .add_constraint(within, ComparisonOp::Le, max_load * part);
        sums.carried.add(load, 1.0);
        self.load_sums
            .entry(node)
            .or_insert_with(LinearExpr::empty)
            .add(load, 1.0);
    }

    fn add_extents(&mut self, cost: f64, least: f64, most: f64) -> Variable {
        if self.attempt.is_integer {
            self.problem
                .add_integer_var(cost, (least as i32, most as i32))
        } else {
            self.problem.add_var(cost, (least, most))
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
                .map(|(home, variables)| (home, change(variables)))
                .collect(),
            bytes: solution.objective() * self.cost_unit,
        })
    }
}
