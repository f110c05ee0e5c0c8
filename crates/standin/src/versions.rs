//! Versions of an extent's bytes at a node: the last writer by version stays, whatever order writes come in
//! (Thomas's write rule, by byte). A write that is late by any time changes only what nothing newer wrote.

/// Which version wrote which bytes: spans in order, without overlap. Its memory is a span for each part that
/// was last written by another version, at most one for each block of the extent.
#[derive(Debug, Clone, Default)]
pub struct Versions(Vec<(u32, u32, u64)>);

impl Versions {
    /// The parts of `from..end` that a write of that version may change, which it now holds; and the newest
    /// version that kept it from the rest. Its own version is no hindrance: a repeat writes the same.
    ///
    /// ```
    /// use grebecleat_standin::versions::Versions;
    /// let mut v = Versions::default();
    /// assert_eq!(v.write(0, 100, 5), (vec![(0, 100)], None));
    /// assert_eq!(v.write(50, 150, 4), (vec![(100, 150)], Some(5)));
    /// assert_eq!(v.write(10, 20, 6), (vec![(10, 20)], None));
    /// assert_eq!(v.write(0, 100, 5), (vec![(0, 10), (20, 100)], Some(6)));
    /// ```
    pub fn write(&mut self, from: u32, end: u32, version: u64) -> (Vec<(u32, u32)>, Option<u64>) {
        let (mut parts, mut newer, mut at) = (Vec::new(), None, from);
        let mut kept = Vec::with_capacity(self.0.len() + 2);
        for &(a, b, v) in &self.0 {
            if b <= from || a >= end {
                kept.push((a, b, v));
            } else if v > version {
                kept.push((a, b, v));
                newer = newer.max(Some(v));
                if at < a {
                    parts.push((at, a));
                }
                at = at.max(b);
            } else {
                // What sticks out on either side stays its own.
                kept.extend((a < from).then_some((a, from, v)));
                kept.extend((b > end).then_some((end, b, v)));
            }
        }
        if at < end {
            parts.push((at, end));
        }
        kept.extend(parts.iter().map(|(a, b)| (*a, *b, version)));
        kept.sort_unstable();
        kept.dedup_by(|next, last| {
            let joins = last.1 == next.0 && last.2 == next.2;
            if joins {
                last.1 = next.1;
            }
            joins
        });
        self.0 = kept;
        (parts, newer)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{Rng, SeedableRng};
    use rand_pcg::Pcg64Mcg;

    #[test]
    fn each_byte_holds_its_newest_version_as_in_a_plain_table() {
        for seed in 0..300 {
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            let (mut v, mut plain) = (Versions::default(), [0u64; 64]);
            for _ in 0..60 {
                let from = rng.random_range(0..63u32);
                let (end, version) = (rng.random_range(from + 1..=64), rng.random_range(1..30));
                let newer = plain[from as usize..end as usize].iter().copied().filter(|p| *p > version).max();
                let (parts, said) = v.write(from, end, version);
                assert_eq!(said, newer, "seed {seed}");
                for b in from..end {
                    let may = plain[b as usize] <= version;
                    assert_eq!(parts.iter().any(|p| (p.0..p.1).contains(&b)), may, "seed {seed} byte {b}");
                    plain[b as usize] = plain[b as usize].max(version);
                }
                assert!(v.0.windows(2).all(|w| w[0].1 <= w[1].0 && (w[0].1 < w[1].0 || w[0].2 != w[1].2)));
            }
        }
    }
}
