//! Which commands of one volume must wait for which: those whose blocks overlap, where at least one writes.
//!
//! SAM-5 lets simple tasks pass each other, but initiators that send a read behind a write of the same blocks
//! in one window expect no surprise, and two writes that race through different attempts could end in either
//! order on different extents. So overlapping ones go in the order they came. A command that waits also holds
//! back later ones that overlap it, or a stream of reads could starve a write.
//!
//! A write that has ended, but of which an attempt may still run, rests: later writes pass it, since a node tells
//! them by their versions from the old one, and reads wait, or they could see it appear between two of them.
//! Once a later write has covered it, nothing of it can appear any more.
//!
//! Ranges are kept by their first block. A look-up for `[a, b)` goes from the first range that can reach `a`,
//! told by the longest range there is, which SCSI's block limits bound; it is measured against a plain list
//! in the tests by what it visits.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Range {
    pub start: u64,
    pub end: u64,
    pub writes: bool,
    /// COMPARE AND WRITE does both.
    pub reads: bool,
}

impl Range {
    fn meets(&self, other: &Range) -> bool {
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
    longest: u64,
    /// Ranges looked at so far.
    pub visited: u64,
}

#[derive(Debug)]
struct Entry {
    range: Range,
    /// Earlier ones that it waits for, and later ones that wait for it.
    before: usize,
    behind: VecDeque<u64>,
    rests: bool,
}

impl Overlaps {
    /// Takes a command; whether it may go at once.
    pub fn open(&mut self, no: u64, range: Range) -> bool {
        let from = (range.start.saturating_sub(self.longest), 0);
        let mut before = 0;
        for (_, other) in self.starts.range(from..(range.end, 0)) {
            self.visited += 1;
            let e = self.open.get_mut(other).expect("every start is open");
            if e.range.meets(&range) && (!e.rests || range.reads) {
                e.behind.push_back(no);
                before += 1;
            }
        }
        self.longest = self.longest.max(range.end.saturating_sub(range.start));
        self.starts.insert((range.start, no));
        self.open.insert(
            no,
            Entry {
                range,
                before,
                behind: VecDeque::new(),
                rests: false,
            },
        );
        before == 0
    }

    /// A command has ended; which may go now, in the order they came.
    pub fn close(&mut self, no: u64) -> Vec<u64> {
        let Some(e) = self.open.remove(&no) else {
            return Vec::new();
        };
        self.starts.remove(&(e.range.start, no));
        if self.open.is_empty() {
            self.longest = 0;
        }
        self.release(e.behind)
    }

    /// A write was carried out and has ended: what rested below it is over too.
    pub fn cover(&mut self, no: u64) -> Vec<u64> {
        let Some(range) = self.open.get(&no).map(|e| e.range) else {
            return Vec::new();
        };
        let below: Vec<u64> = self
            .starts
            .range((range.start, 0)..(range.end, 0))
            .map(|s| s.1)
            .collect();
        let over = |o: &u64| {
            self.open
                .get(o)
                .is_some_and(|e| e.rests && range.covers(&e.range))
        };
        let over: Vec<u64> = below.into_iter().filter(over).collect();
        let mut free: Vec<u64> = over.into_iter().flat_map(|o| self.close(o)).collect();
        free.extend(self.close(no));
        free.sort_unstable();
        free
    }

    /// A write has ended and may still have its effect: which writes may go now.
    pub fn rest(&mut self, no: u64) -> Vec<u64> {
        let Some(e) = self.open.get_mut(&no) else {
            return Vec::new();
        };
        e.rests = true;
        let behind = std::mem::take(&mut e.behind);
        let reads = |o: &u64| self.open.get(o).is_some_and(|e| e.range.reads);
        let (stay, go): (VecDeque<u64>, VecDeque<u64>) = behind.into_iter().partition(reads);
        if let Some(e) = self.open.get_mut(&no) {
            e.behind = stay;
        }
        self.release(go)
    }

    fn release(&mut self, behind: VecDeque<u64>) -> Vec<u64> {
        let mut free = Vec::new();
        for later in behind {
            // One that was closed while it waited is gone.
            let Some(e) = self.open.get_mut(&later) else {
                continue;
            };
            e.before -= 1;
            if e.before == 0 {
                free.push(later);
            }
        }
        free.sort_unstable();
        free
    }

    pub fn len(&self) -> usize {
        self.open.len()
    }

    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}

#[cfg(test)]
mod tests;
