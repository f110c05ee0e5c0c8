//! Which commands of one volume must wait for which: those whose blocks overlap, where at least one
//! writes.
//!
//! Called by the engine when a command begins and ends. SAM-5 lets simple tasks pass each other,
//! but initiators that send a read behind a write of the same blocks in one window expect it to see
//! the write, and two writes that race through different attempts could end in either order on
//! different extents. So overlapping ones go in the order they came. A command that waits also
//! delays later ones that overlap it, or a stream of reads could starve a write.
//!
//! A write that has ended, but of which an attempt may still run, is *late*: later writes pass it,
//! since a node recognizes the old one by its version, and reads wait, or they could see it appear
//! between two of them. Once a later write has covered it, nothing of it can appear any more.
//!
//! Ranges are ordered by their first block. A look-up for `[a, b)` goes from the first range that
//! can reach `a`, given the longest range there is, which SCSI's block limits bound; the tests
//! count what it visits against a plain list.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The blocks of a command, from `start` up to and without `end`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Range {
    /// First block.
    pub start: u64,
    /// The block behind the last.
    pub end: u64,
    /// Whether the command writes.
    pub writes: bool,
    /// Whether it reads; COMPARE AND WRITE does both.
    pub reads: bool,
}

impl Range {
    fn conflicts_with(&self, other: &Range) -> bool {
        self.start < other.end && other.start < self.end && (self.writes || other.writes)
    }

    fn covers(&self, other: &Range) -> bool {
        self.start <= other.start && other.end <= self.end
    }
}

/// The open commands of one volume, by their owner's numbers, which only grow.
#[derive(Debug, Default)]
pub struct Overlaps {
    open: BTreeMap<u64, Entry>,
    /// First block and number of every open range.
    starts: BTreeSet<(u64, u64)>,
    /// Blocks of the longest range since there was none.
    longest: u64,
    /// Ranges looked at so far.
    pub visited: u64,
}

#[derive(Debug)]
struct Entry {
    range: Range,
    /// How many earlier commands it waits for.
    waits_for: usize,
    /// Later commands that wait for it.
    waiters: VecDeque<u64>,
    /// It has ended and may still take effect.
    late: bool,
}

impl Overlaps {
    /// Takes a command; whether it may go at once.
    pub fn open(&mut self, no: u64, range: Range) -> bool {
        let from = (range.start.saturating_sub(self.longest), 0);
        let mut waits_for = 0;
        for (_, other) in self.starts.range(from..(range.end, 0)) {
            self.visited += 1;
            let earlier = self.open.get_mut(other).expect("every start is open");
            if earlier.range.conflicts_with(&range) && (!earlier.late || range.reads) {
                earlier.waiters.push_back(no);
                waits_for += 1;
            }
        }
        self.longest = self.longest.max(range.end.saturating_sub(range.start));
        self.starts.insert((range.start, no));
        let entry = Entry {
            range,
            waits_for,
            waiters: VecDeque::new(),
            late: false,
        };
        self.open.insert(no, entry);
        waits_for == 0
    }

    /// A command has ended; which may go now, in the order they came.
    pub fn close(&mut self, no: u64) -> Vec<u64> {
        let Some(entry) = self.open.remove(&no) else {
            return Vec::new();
        };
        self.starts.remove(&(entry.range.start, no));
        if self.open.is_empty() {
            self.longest = 0;
        }
        self.release(entry.waiters)
    }

    /// A write was completed and has ended: late writes that it covers are over too. Which commands
    /// may go now, in the order they came.
    pub fn close_covering(&mut self, no: u64) -> Vec<u64> {
        let Some(entry) = self.open.get(&no) else {
            return Vec::new();
        };
        let range = entry.range;
        let nearby = self.starts.range((range.start, 0)..(range.end, 0));
        let covered: Vec<u64> = nearby
            .map(|(_, other)| *other)
            .filter(|other| {
                let other = &self.open[other];
                other.late && range.covers(&other.range)
            })
            .collect();
        let mut ready = Vec::new();
        for late in covered {
            ready.extend(self.close(late));
        }
        ready.extend(self.close(no));
        ready.sort_unstable();
        ready
    }

    /// A write has ended and may still take effect: it stays until it is closed or covered. Which
    /// writes may go now, in the order they came.
    pub fn set_late(&mut self, no: u64) -> Vec<u64> {
        let Some(entry) = self.open.get_mut(&no) else {
            return Vec::new();
        };
        entry.late = true;
        let waiters = std::mem::take(&mut entry.waiters);
        let reads = |waiter: &u64| match self.open.get(waiter) {
            Some(entry) => entry.range.reads,
            None => false,
        };
        let (readers, writers) = waiters.into_iter().partition(reads);
        if let Some(entry) = self.open.get_mut(&no) {
            entry.waiters = readers;
        }
        self.release(writers)
    }

    fn release(&mut self, waiters: VecDeque<u64>) -> Vec<u64> {
        let mut ready = Vec::new();
        for waiter in waiters {
            // One that was closed while it waited is gone.
            let Some(entry) = self.open.get_mut(&waiter) else {
                continue;
            };
            entry.waits_for -= 1;
            if entry.waits_for == 0 {
                ready.push(waiter);
            }
        }
        ready.sort_unstable();
        ready
    }

    /// Open commands, those that wait and late writes among them.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no command is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}

#[cfg(test)]
mod tests;
