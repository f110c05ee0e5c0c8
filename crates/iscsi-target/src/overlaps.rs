//! Orders the commands of one volume whose blocks overlap and of which at least one writes.
//!
//! The engine calls it when a command starts and ends. SAM-5 allows simple tasks to be reordered,
//! but initiators that send a read after a write of the same blocks within one window expect it to
//! see the write, and two concurrent writes could be applied in a different order on different
//! extents. Overlapping commands are therefore executed in the order of arrival. A waiting command
//! also delays later ones that overlap it, since a stream of reads could otherwise starve a write.
//!
//! A write that has ended, but of which an attempt may still be running, is *late*. Later writes do
//! not wait for it, since a node recognizes the older write by its version. Reads wait, since its
//! data could otherwise appear between two reads. Once a later write has covered it, it can no
//! longer take effect.
//!
//! Ranges are ordered by their first block. A lookup for `[a, b)` starts at the first range that
//! can reach `a`, given the length of the longest open range, which the SCSI block limits bound.
//! The tests compare the results with a linear search and count the visited ranges.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The blocks of a command, `start` inclusive to `end` exclusive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Range {
    /// First block.
    pub start: u64,
    /// First block after the range.
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

/// The open commands of one volume, by command number. Numbers ascend in the order of arrival.
#[derive(Debug, Default)]
pub struct Overlaps {
    open: BTreeMap<u64, Entry>,
    /// First block and number of every open range.
    starts: BTreeSet<(u64, u64)>,
    /// Length in blocks of the longest range since the set was last empty.
    longest: u64,
    /// Number of ranges visited by lookups so far.
    pub visited: u64,
}

#[derive(Debug)]
struct Entry {
    range: Range,
    /// Number of earlier commands that it waits for.
    waits_for: usize,
    /// Later commands that wait for it.
    waiters: VecDeque<u64>,
    /// The command has ended, but may still take effect.
    late: bool,
}

impl Overlaps {
    /// Adds a command; returns whether it may start at once.
    pub fn open(&mut self, no: u64, range: Range) -> bool {
        let from = (range.start.saturating_sub(self.longest), 0);
        let mut waits_for = 0;
        for (_, other) in self.starts.range(from..(range.end, 0)) {
            self.visited += 1;
            let earlier = self
                .open
                .get_mut(other)
                .expect("every range in `starts` is also in `open`");
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

    /// Removes a command that has ended; returns the commands that may start now, in the order of
    /// arrival.
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

    /// Removes a completed write and the late writes that it covers; returns the commands that may
    /// start now, in the order of arrival.
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

    /// Marks a write that has ended as late: it stays until it is closed or covered. Returns the
    /// writes that may start now, in the order of arrival.
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
            // A command that was closed while waiting is no longer in the map.
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

    /// Number of open commands, including waiting commands and late writes.
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
