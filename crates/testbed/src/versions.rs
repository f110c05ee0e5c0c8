//! Versions of an extent's bytes at a node: for each byte the write with the highest version wins, in
//! whatever order the writes arrive (the Thomas write rule). However late a write arrives, it changes
//! only the bytes that no newer version wrote.

/// The version of each byte, as sorted spans (start, end, version) that do not overlap. It holds one
/// span for each run of bytes with the same version, at most one for each block of the extent.
#[derive(Debug, Clone, Default)]
pub struct Versions(Vec<(u32, u32, u64)>);

impl Versions {
    /// Records a write of `from..end`. Returns the parts that it may change, which have its version from
    /// now on, and the newest version that excludes it from the rest. An equal version does not exclude
    /// it, as a repeated write has the same content.
    ///
    /// ```
    /// use grebecleat_testbed::versions::Versions;
    /// let mut v = Versions::default();
    /// assert_eq!(v.write(0, 100, 5), (vec![(0, 100)], None));
    /// assert_eq!(v.write(50, 150, 4), (vec![(100, 150)], Some(5)));
    /// assert_eq!(v.write(10, 20, 6), (vec![(10, 20)], None));
    /// assert_eq!(v.write(0, 100, 5), (vec![(0, 10), (20, 100)], Some(6)));
    /// ```
    pub fn write(&mut self, from: u32, end: u32, version: u64) -> (Vec<(u32, u32)>, Option<u64>) {
        let (mut parts, mut newer, mut at) = (Vec::new(), None, from);
        let mut spans = Vec::with_capacity(self.0.len() + 2);
        for &(a, b, v) in &self.0 {
            if b <= from || a >= end {
                spans.push((a, b, v));
            } else if v > version {
                spans.push((a, b, v));
                newer = newer.max(Some(v));
                if at < a {
                    parts.push((at, a));
                }
                at = at.max(b);
            } else {
                // The parts of the old span outside the write keep their version.
                spans.extend((a < from).then_some((a, from, v)));
                spans.extend((b > end).then_some((end, b, v)));
            }
        }
        if at < end {
            parts.push((at, end));
        }
        spans.extend(parts.iter().map(|(a, b)| (*a, *b, version)));
        spans.sort_unstable();
        spans.dedup_by(|next, last| {
            let joins = last.1 == next.0 && last.2 == next.2;
            if joins {
                last.1 = next.1;
            }
            joins
        });
        self.0 = spans;
        (parts, newer)
    }
}

#[cfg(test)]
mod tests;
