//! Versions of an extent's bytes at a node: the last writer by version stays, whatever order writes
//! come in (Thomas's write rule, by byte). A write that is late by any time changes only what
//! nothing newer wrote.

/// Which version wrote which bytes: spans in order, without overlap. Its memory is a span for each
/// part that was last written by another version, at most one for each block of the extent.
#[derive(Debug, Clone, Default)]
pub struct Versions(Vec<(u32, u32, u64)>);

impl Versions {
    /// The parts of `from..end` that a write of that version may change, which it now holds; and
    /// the newest version that kept it from the rest. Its own version is no hindrance: a repeat
    /// writes the same.
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
mod tests;
