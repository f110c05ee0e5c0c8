//! Checks whether the reads and writes of one block are linearizable: each took effect at one
//! moment between its beginning and its end (Herlihy and Wing, 1990).
//!
//! [`check`] finds the moments just in time. It visits beginnings and ends in order, and keeps all
//! states that the block can be in, each with the set of open operations that have taken effect in
//! it. At the end of an operation, the operation must have taken effect. Other operations take
//! effect before it only where that helps. A state is dropped where another state holds the same
//! value, and has used only a part of the operations that need never take effect. An operation without a
//! response, or with an unknown outcome, may take effect at any later time or never: it has no end.
//!
//! [`crate::commands`] calls [`check`] for each block. The module owns no state, and bounds the
//! states that it visits.

use std::collections::{BTreeSet, HashSet};
use std::time::Duration;

/// Bounds the states visited for the end of one operation. Beyond it, the block is undecided. With
/// a larger bound one block may take minutes and much memory; with a smaller one more blocks are
/// undecided.
const MAX_STATES: usize = 50_000;

/// Access to the block, by checksums of the content. Violations print it: its names are output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BlockAccess {
    /// Read that returned this content.
    Read(u64),
    /// Write of this content.
    Write(u64),
    /// COMPARE AND WRITE that succeeded.
    Swap {
        /// Content that the block had.
        with: u64,
        /// Content that the block has afterwards.
        then: u64,
    },
}

/// Operation on the block.
#[derive(Debug, Clone, Copy)]
pub struct Operation {
    /// Time of its beginning.
    pub from: Duration,
    /// Time of its end; None if it may take effect at any later time, or never.
    pub to: Option<Duration>,
    /// Access to the block.
    pub access: BlockAccess,
}

/// Result of the check of one block's history.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HistoryResult {
    /// An order of the operations explains all results.
    Linearizable,
    /// No order explains the end of an operation.
    NotLinearizable {
        /// Index of the operation.
        at: usize,
    },
    /// The check reached its bound on states.
    Undecided,
}

/// State that the block can be in.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    value: u64,
    /// Open operations that have taken effect.
    used: BTreeSet<usize>,
}

impl State {
    /// Lets each open read of the current value take effect. A read changes nothing, so that a
    /// later effect cannot help.
    fn apply_reads(mut self, open: &[usize], operations: &[Operation]) -> State {
        let reads_value =
            |index: &&usize| operations[**index].access == BlockAccess::Read(self.value);
        let reads: Vec<usize> = open.iter().filter(reads_value).copied().collect();
        self.used.extend(reads);
        self
    }

    /// Returns the state after a write takes effect, if it can.
    fn after(&self, index: usize, operation: &Operation) -> Option<State> {
        let value = match operation.access {
            BlockAccess::Write(value) => value,
            BlockAccess::Swap { with, then } if with == self.value => then,
            _ => return None,
        };
        let mut used = self.used.clone();
        used.insert(index);
        Some(State { value, used })
    }
}

/// Checks the history of one block, whose content at first is `first`.
///
/// ```
/// use grebecleat_trace_checker::history::{check, BlockAccess, HistoryResult, Operation};
/// use std::time::Duration;
/// let operation = |from, to, access| Operation {
///     from: Duration::from_millis(from), to: Some(Duration::from_millis(to)), access,
/// };
/// let mut operations = vec![
///     operation(0, 2, BlockAccess::Write(7)),
///     operation(1, 4, BlockAccess::Read(0)),
///     operation(5, 6, BlockAccess::Read(7)),
/// ];
/// assert_eq!(check(0, &operations), HistoryResult::Linearizable);
/// operations.push(operation(7, 8, BlockAccess::Read(0)));
/// assert_eq!(check(0, &operations), HistoryResult::NotLinearizable { at: 3 });
/// ```
pub fn check(first: u64, operations: &[Operation]) -> HistoryResult {
    let mut open: Vec<usize> = Vec::new();
    let mut states = vec![State {
        value: first,
        used: BTreeSet::new(),
    }];
    for (_, is_end, index) in events(operations) {
        if !is_end {
            open.push(index);
            let applied = states.into_iter();
            states = applied
                .map(|state| state.apply_reads(&open, operations))
                .collect();
            continue;
        }
        let Some(mut found) = states_after(index, states, &open, operations) else {
            return HistoryResult::Undecided;
        };
        open.retain(|other| *other != index);
        for state in &mut found {
            state.used.remove(&index);
        }
        states = without_redundant(found, operations);
        if states.is_empty() {
            return HistoryResult::NotLinearizable { at: index };
        }
    }
    HistoryResult::Linearizable
}

/// Returns the beginnings and ends (true) of the operations in order of time. At one moment,
/// beginnings come first: operations that may have overlapped count as overlapping.
fn events(operations: &[Operation]) -> Vec<(Duration, bool, usize)> {
    let indexed = || operations.iter().enumerate();
    let beginnings = indexed().map(|(index, operation)| (operation.from, false, index));
    let ends = indexed().filter_map(|(index, operation)| Some((operation.to?, true, index)));
    let mut events: Vec<(Duration, bool, usize)> = beginnings.chain(ends).collect();
    events.sort_unstable();
    events
}

/// Returns all states in which the operation that ends has taken effect; None if there are too many
/// states.
fn states_after(
    ending: usize,
    states: Vec<State>,
    open: &[usize],
    operations: &[Operation],
) -> Option<Vec<State>> {
    let mut pending = states;
    let mut visited = HashSet::new();
    let mut found = Vec::new();
    while let Some(state) = pending.pop() {
        if visited.len() > MAX_STATES {
            return None;
        }
        if state.used.contains(&ending) {
            found.push(state);
            continue;
        }
        let unused = open.iter().filter(|index| !state.used.contains(index));
        for next in unused.filter_map(|index| state.after(*index, &operations[*index])) {
            let next = next.apply_reads(open, operations);
            if visited.insert(next.clone()) {
                pending.push(next);
            }
        }
    }
    Some(found)
}

/// Drops the states that another state makes redundant. The other state holds the same value, and
/// has used a part of the same operations; the rest of them need never take effect. A state that
/// lacks an operation with an end makes no state redundant, because that operation must still take
/// effect.
fn without_redundant(mut states: Vec<State>, operations: &[Operation]) -> Vec<State> {
    states.sort_by_key(|state| state.used.len());
    let mut remaining: Vec<State> = Vec::new();
    for state in states {
        let is_redundant = |other: &State| {
            let need_not_end = |index: &usize| operations[*index].to.is_none();
            other.value == state.value
                && other.used.is_subset(&state.used)
                && state.used.difference(&other.used).all(need_not_end)
        };
        if !remaining.iter().any(is_redundant) {
            remaining.push(state);
        }
    }
    remaining
}

#[cfg(test)]
mod tests;
