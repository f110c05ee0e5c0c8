//! Which commands of one volume must wait for which: those whose blocks overlap, where at least one writes.
//!
//! SAM-5 lets simple tasks pass each other, but initiators that send a read behind a write of the same blocks
//! in one window expect no surprise, and two writes that race through different legs could end in either
//! order on different extents. So overlapping ones go in the order they came. A command that waits also holds
//! back later ones that overlap it, or a stream of reads could starve a write.
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
}

impl Range {
    fn meets(&self, other: &Range) -> bool {
        self.start < other.end && other.start < self.end && (self.writes || other.writes)
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
}

impl Overlaps {
    /// Takes a command; whether it may go at once.
    pub fn open(&mut self, no: u64, range: Range) -> bool {
        let from = (range.start.saturating_sub(self.longest), 0);
        let mut before = 0;
        for (_, other) in self.starts.range(from..(range.end, 0)) {
            self.visited += 1;
            let e = self.open.get_mut(other).expect("every start is open");
            if e.range.meets(&range) {
                e.behind.push_back(no);
                before += 1;
            }
        }
        self.longest = self.longest.max(range.end.saturating_sub(range.start));
        self.starts.insert((range.start, no));
        self.open.insert(no, Entry { range, before, behind: VecDeque::new() });
        before == 0
    }

    /// A command has ended; which may go now, in the order they came.
    pub fn close(&mut self, no: u64) -> Vec<u64> {
        let Some(e) = self.open.remove(&no) else { return Vec::new() };
        self.starts.remove(&(e.range.start, no));
        if self.open.is_empty() {
            self.longest = 0;
        }
        let mut free = Vec::new();
        for later in e.behind {
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
        Range { start, end, writes }
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
