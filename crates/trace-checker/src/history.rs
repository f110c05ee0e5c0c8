//! Whether what reads of one block saw can have come about by reads and writes that each took
//! effect at one moment between their beginning and their end (linearizability; Herlihy and Wing,
//! 1990).
//!
//! The moments are found just in time: going through beginnings and ends in order, all states that
//! the block can be in are kept, each with which of the open commands have had their effect in it.
//! At an end the command must have had its own; others go before it only where they help. A state
//! is left out where another holds the same with fewer commands used up that need never have had
//! it. A command that nobody answered, or of which nobody knows the outcome, may have its effect at
//! any later time or never: it has no end.

use std::collections::{BTreeSet, HashSet};
use std::time::Duration;

/// States that are looked at for one end; beyond, the block is left undecided.
const MAX_STATES: usize = 50_000;

/// What a command did to the block, by sums of its content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deed {
    Read(u64),
    Write(u64),
    /// COMPARE AND WRITE that was carried out.
    Swap {
        with: u64,
        then: u64,
    },
}

#[derive(Debug, Clone, Copy)]
pub struct Op {
    pub from: Duration,
    /// None: its effect may come at any later time, or never.
    pub to: Option<Duration>,
    pub deed: Deed,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Found {
    InOrder,
    /// No order explains the end of that one.
    Disorder {
        at: usize,
    },
    Undecided,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    value: u64,
    /// Open commands that have had their effect.
    used: BTreeSet<usize>,
}

impl State {
    /// A read that can have had its effect now has: it changes nothing, and waiting cannot help it.
    fn see(mut self, open: &[usize], ops: &[Op]) -> State {
        let sees = |i: &&usize| ops[**i].deed == Deed::Read(self.value);
        let seen: Vec<usize> = open.iter().filter(sees).copied().collect();
        self.used.extend(seen);
        self
    }

    fn after(&self, i: usize, op: &Op) -> Option<State> {
        let value = match op.deed {
            Deed::Write(v) => v,
            Deed::Swap { with, then } if with == self.value => then,
            _ => return None,
        };
        let mut used = self.used.clone();
        used.insert(i);
        Some(State { value, used })
    }
}

/// Judges one block's history, which begins with that content.
///
/// ```
/// use grebecleat_trace_checker::history::{check, Deed, Found, Op};
/// use std::time::Duration;
/// let op = |from, to, deed| Op {
///     from: Duration::from_millis(from), to: Some(Duration::from_millis(to)), deed,
/// };
/// let mut ops = vec![op(0, 2, Deed::Write(7)), op(1, 4, Deed::Read(0)), op(5, 6, Deed::Read(7))];
/// assert_eq!(check(0, &ops), Found::InOrder);
/// ops.push(op(7, 8, Deed::Read(0)));
/// assert_eq!(check(0, &ops), Found::Disorder { at: 3 });
/// ```
pub fn check(first: u64, ops: &[Op]) -> Found {
    let begins = ops.iter().enumerate().map(|(i, o)| (o.from, false, i));
    let ends = ops
        .iter()
        .enumerate()
        .filter_map(|(i, o)| Some((o.to?, true, i)));
    let mut events: Vec<(Duration, bool, usize)> = begins.chain(ends).collect();
    events.sort_unstable(); // of one moment, beginnings first: what may have overlapped is taken to have
    let mut open: Vec<usize> = Vec::new();
    let mut states = vec![State {
        value: first,
        used: BTreeSet::new(),
    }];
    for (_, over, i) in events {
        if !over {
            open.push(i);
            states = states.into_iter().map(|s| s.see(&open, ops)).collect();
            continue;
        }
        let (mut todo, mut seen, mut found) = (states, HashSet::new(), Vec::new());
        while let Some(state) = todo.pop() {
            if seen.len() > MAX_STATES {
                return Found::Undecided;
            }
            if state.used.contains(&i) {
                found.push(state);
                continue;
            }
            let free = open.iter().filter(|o| !state.used.contains(o));
            for next in free.filter_map(|o| state.after(*o, &ops[*o])) {
                let next = next.see(&open, ops);
                if seen.insert(next.clone()) {
                    todo.push(next);
                }
            }
        }
        open.retain(|o| *o != i);
        for s in &mut found {
            s.used.remove(&i);
        }
        states = least(found, ops);
        if states.is_empty() {
            return Found::Disorder { at: i };
        }
    }
    Found::InOrder
}

/// Without those that another makes needless: it holds the same and has used up only some of the
/// same, of which the rest need never have an effect. One that must yet have its effect is no gain
/// while it is open.
fn least(mut states: Vec<State>, ops: &[Op]) -> Vec<State> {
    states.sort_by_key(|s| s.used.len());
    let mut kept: Vec<State> = Vec::new();
    for s in states {
        let needless = |k: &State| {
            let spare = |i: &usize| ops[*i].to.is_none();
            k.value == s.value && k.used.is_subset(&s.used) && s.used.difference(&k.used).all(spare)
        };
        if !kept.iter().any(needless) {
            kept.push(s);
        }
    }
    kept
}

#[cfg(test)]
mod tests;
