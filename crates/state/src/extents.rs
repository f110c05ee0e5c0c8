//! Where the extents of a volume lie: an index for runs.
//!
//! Extents are numbers that mostly come in runs on one shard, since new ones go to the first node of their
//! volume's ranking until that has enough. So what is kept is runs, of twelve bytes, in chunks of at most
//! [`MOST`], found by their first extent in an ordered map. A look-up is one step in the map and one binary
//! search in a chunk. Memory: twelve bytes a run, a chunk at least half full after a split; a plain ordered
//! map takes some fourteen bytes an extent. Without any runs it is no smaller than that (measured by
//! `grebecleat-bench extents`).

use std::collections::BTreeMap;

/// Runs of one chunk.
pub const MOST: usize = 256;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Run {
    /// From the chunk's base.
    start: u32,
    length: u32,
    shard: u32,
}

impl Run {
    fn end(&self) -> u64 {
        u64::from(self.start) + u64::from(self.length)
    }
}

/// Shards by extent.
///
/// ```
/// use grebecleat_state::extents::Extents;
/// let mut e = Extents::default();
/// (0..1000).for_each(|extent| e.insert(extent, 7));
/// e.insert(500, 8);
/// assert_eq!((e.get(499), e.get(500), e.get(1000)), (Some(7), Some(8), None));
/// assert_eq!((e.len(), e.runs()), (1000, 3));
/// let runs: Vec<_> = e.iter().collect();
/// assert_eq!(runs, [(0, 500, 7), (500, 1, 8), (501, 499, 7)]);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Extents {
    /// Chunks by their first extent; none is empty, and none reaches into the next.
    chunks: BTreeMap<u64, Vec<Run>>,
    extents: u64,
    runs: usize,
}

impl Extents {
    pub fn get(&self, extent: u64) -> Option<u32> {
        let (base, chunk) = self.chunks.range(..=extent).next_back()?;
        let at = extent - base;
        let place = chunk.partition_point(|r| u64::from(r.start) <= at);
        chunk
            .get(place.checked_sub(1)?)
            .filter(|r| at < r.end())
            .map(|r| r.shard)
    }

    /// Puts an extent on a shard, wherever it lay.
    pub fn insert(&mut self, extent: u64, shard: u32) {
        let Some(base) = self.home(extent) else {
            self.chunks.insert(
                extent,
                vec![Run {
                    start: 0,
                    length: 1,
                    shard,
                }],
            );
            (self.extents, self.runs) = (self.extents + 1, self.runs + 1);
            return;
        };
        let chunk = self.chunks.get_mut(&base).expect("found above");
        let (before, at) = (chunk.len(), (extent - base) as u32);
        let place = chunk.partition_point(|r| r.start <= at);
        let inside = place
            .checked_sub(1)
            .filter(|p| u64::from(at) < chunk[*p].end());
        match inside {
            Some(p) if chunk[p].shard == shard => return,
            Some(p) => {
                let Run {
                    start,
                    length,
                    shard: old,
                } = chunk[p];
                let left = Run {
                    start,
                    length: at - start,
                    shard: old,
                };
                let right = Run {
                    start: at + 1,
                    length: length - (at - start) - 1,
                    shard: old,
                };
                let one = Run {
                    start: at,
                    length: 1,
                    shard,
                };
                let parts = [left, one, right].into_iter().filter(|r| r.length > 0);
                chunk.splice(p..=p, parts);
            }
            None => {
                self.extents += 1;
                chunk.insert(
                    place,
                    Run {
                        start: at,
                        length: 1,
                        shard,
                    },
                );
            }
        }
        // The new run is at most one place on; it and its neighbours may now be one.
        let new = chunk.partition_point(|r| r.start <= at) - 1;
        join(chunk, new);
        if let Some(p) = new.checked_sub(1) {
            join(chunk, p);
        }
        self.runs = self.runs + chunk.len() - before;
        if chunk.len() > MOST {
            let mut upper = chunk.split_off(MOST / 2);
            chunk.shrink_to(MOST / 2 + 8);
            let first = upper[0].start;
            upper.iter_mut().for_each(|r| r.start -= first);
            self.chunks.insert(base + u64::from(first), upper);
        }
    }

    /// The base of the chunk that the extent belongs into; None where it must begin one.
    fn home(&mut self, extent: u64) -> Option<u64> {
        let near = |base: &u64| extent - base < u64::from(u32::MAX);
        if let Some((base, _)) = self.chunks.range(..=extent).next_back() {
            return Some(*base).filter(near);
        }
        // Below all: the first chunk begins earlier from here on, as long as its numbers allow it.
        let (base, chunk) = self.chunks.first_key_value()?;
        let (base, down) = (*base, base - extent);
        let reach = chunk.last().map_or(0, Run::end);
        if reach + down >= u64::from(u32::MAX) {
            return None;
        }
        let mut chunk = self.chunks.remove(&base).expect("looked up above");
        chunk.iter_mut().for_each(|r| r.start += down as u32);
        self.chunks.insert(extent, chunk);
        Some(extent)
    }

    pub fn len(&self) -> u64 {
        self.extents
    }

    pub fn is_empty(&self) -> bool {
        self.extents == 0
    }

    pub fn runs(&self) -> usize {
        self.runs
    }

    /// Runs in order: first extent, how many, shard. Two that follow each other on one shard may stand apart
    /// where a chunk ends.
    pub fn iter(&self) -> impl Iterator<Item = (u64, u64, u32)> + '_ {
        let runs = self
            .chunks
            .iter()
            .flat_map(|(base, chunk)| chunk.iter().map(move |r| (base, r)));
        runs.map(|(base, r)| (base + u64::from(r.start), u64::from(r.length), r.shard))
    }
}

impl FromIterator<(u64, u32)> for Extents {
    fn from_iter<T: IntoIterator<Item = (u64, u32)>>(all: T) -> Self {
        let mut extents = Extents::default();
        all.into_iter()
            .for_each(|(extent, shard)| extents.insert(extent, shard));
        extents
    }
}

/// Makes one of a run and the next, where they are.
fn join(chunk: &mut Vec<Run>, p: usize) {
    if let [a, b, ..] = chunk[p..] {
        if a.shard == b.shard && a.end() == u64::from(b.start) {
            chunk[p].length += b.length;
            chunk.remove(p + 1);
        }
    }
}

#[cfg(test)]
mod tests;
