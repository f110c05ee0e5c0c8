//! Which commands of one volume must wait for which: those whose blocks overlap, where at least one writes.
//!
//! SAM-5 lets simple tasks pass each other, but initiators that send a read behind a write of the same blocks
//! in one window expect no surprise, and two writes that race through different legs could end in either
//! order on different extents. So overlapping ones go in the order they came. A command that waits also holds
//! back later ones that overlap it, or a stream of reads could starve a write.
//!
//! A write that has ended, but of which a leg may still run, rests: later writes pass it, since a node tells
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
        self.open.insert(no, Entry { range, before, behind: VecDeque::new(), rests: false });
        before == 0
    }

    /// A command has ended; which may go now, in the order they came.
    pub fn close(&mut self, no: u64) -> Vec<u64> {
        let Some(e) = self.open.remove(&no) else { return Vec::new() };
        self.starts.remove(&(e.range.start, no));
        if self.open.is_empty() {
            self.longest = 0;
        }
        self.release(e.behind)
    }

    /// A write was carried out and has ended: what rested below it is over too.
    pub fn cover(&mut self, no: u64) -> Vec<u64> {
        let Some(range) = self.open.get(&no).map(|e| e.range) else { return Vec::new() };
        let below: Vec<u64> = self.starts.range((range.start, 0)..(range.end, 0)).map(|s| s.1).collect();
        let over = |o: &u64| self.open.get(o).is_some_and(|e| e.rests && range.covers(&e.range));
        let over: Vec<u64> = below.into_iter().filter(over).collect();
        let mut free: Vec<u64> = over.into_iter().flat_map(|o| self.close(o)).collect();
        free.extend(self.close(no));
        free.sort_unstable();
        free
    }

    /// A write has ended and may still have its effect: which writes may go now.
    pub fn rest(&mut self, no: u64) -> Vec<u64> {
        let Some(e) = self.open.get_mut(&no) else { return Vec::new() };
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
            let Some(e) = self.open.get_mut(&later) else { continue };
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
mod tests {
    use super::*;
    use rand::{Rng, SeedableRng};
    use rand_pcg::Pcg64Mcg;

    fn range(start: u64, end: u64, writes: bool) -> Range {
        Range { start, end, writes, reads: !writes }
    }

    #[test]
    fn reads_pass_reads_and_nothing_passes_an_overlapping_write() {
        let mut o = Overlaps::default();
        assert!(o.open(1, range(0, 8, false)) && o.open(2, range(4, 12, false)));
        assert!(!o.open(3, range(10, 20, true)), "behind the read of 10 and 11");
        assert!(!o.open(4, range(18, 19, false)), "behind the write that itself waits");
        assert!(o.open(5, range(20, 30, true)), "touching is no overlap");
        assert!(o.close(1).is_empty());
        assert_eq!(o.close(2), [3]);
        assert_eq!(o.close(3), [4]);
        assert!(o.close(4).is_empty() && o.close(5).is_empty() && o.is_empty() && o.close(5).is_empty());
    }

    #[test]
    fn writes_pass_what_rests_and_reads_wait_until_it_is_covered_or_over() {
        let mut o = Overlaps::default();
        let both = Range { reads: true, ..range(0, 6, true) };
        assert!(o.open(1, range(0, 8, true)));
        assert!(!o.open(2, range(2, 4, false)) && !o.open(3, range(0, 4, true)) && !o.open(4, both));
        assert!(o.rest(1).is_empty(), "the write is behind the read of its blocks");
        assert!(o.open(5, range(6, 8, true)) && !o.open(6, range(7, 9, false)));
        assert!(o.cover(5).is_empty(), "the rest is not covered whole");
        assert_eq!(o.close(1), [2, 6], "over: the reads go");
        assert_eq!((o.close(2), o.close(3), o.close(4)), (vec![3], vec![4], vec![]));
        o.close(6);
        // Covered by a later write that was carried out, or by one that rests in its turn.
        assert!(o.open(10, range(0, 4, true)) && !o.open(11, range(0, 8, true)));
        assert_eq!(o.rest(10), [11]);
        assert!(!o.open(12, range(1, 2, false)));
        assert_eq!(o.cover(11), [12]);
        assert!(o.close(10).is_empty() && o.close(12).is_empty() && o.is_empty(), "nothing rests any more");
    }

    #[test]
    fn it_orders_as_a_plain_list_does() {
        for seed in 0..200 {
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            let (mut o, mut plain, mut running) =
                (Overlaps::default(), Vec::<(u64, Range)>::new(), Vec::new());
            let may_go =
                |plain: &[(u64, Range)], at: usize| plain[..at].iter().all(|e| !e.1.meets(&plain[at].1));
            for no in 0..120 {
                if rng.random_range(0..3) > 0 || running.is_empty() {
                    let start = rng.random_range(0..60);
                    let r = range(start, start + rng.random_range(1..12), rng.random());
                    plain.push((no, r));
                    let go = o.open(no, r);
                    assert_eq!(go, may_go(&plain, plain.len() - 1), "seed {seed}");
                    running.extend(go.then_some(no));
                } else {
                    let done = running.swap_remove(rng.random_range(0..running.len()));
                    plain.retain(|e| e.0 != done);
                    running.extend(o.close(done));
                }
                let mut expected: Vec<u64> =
                    (0..plain.len()).filter(|i| may_go(&plain, *i)).map(|i| plain[i].0).collect();
                running.sort_unstable();
                expected.sort_unstable();
                assert_eq!(running, expected, "seed {seed}");
            }
        }
    }

    #[test]
    fn a_look_visits_what_is_near_and_not_all_that_is_open() {
        let mut o = Overlaps::default();
        (0..10_000).for_each(|n| assert!(o.open(n, range(n * 100, n * 100 + 8, true))));
        o.visited = 0;
        (0..1000).for_each(|n| assert!(o.open(10_000 + n, range(n * 1000 + 50, n * 1000 + 58, true))));
        assert!(o.visited < 2000, "{} ranges looked at; a plain list looks at 10,000,000", o.visited);
    }
}
