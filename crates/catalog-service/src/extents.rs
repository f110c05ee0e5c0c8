//! Run-length index of the shards on which a volume's extents are placed.
//!
//! Extents are numbers that mostly come in runs on one shard, because new extents are placed on the
//! first node of their volume's ranking until that node is full enough. The index therefore stores
//! runs, of twelve bytes each, in chunks of at most [`MAX_RUNS_PER_CHUNK`]. An ordered map finds a
//! chunk by its first extent. A look-up is one step in the map and one binary search in a chunk.
//!
//! Memory: twelve bytes a run, and a chunk is at least half full after a split. A plain ordered map
//! takes about fourteen bytes an extent. If every run is one extent long, the index is no smaller
//! than that (measured by `grebecleat-bench extents`). No I/O.

use std::collections::BTreeMap;

/// Maximum number of runs of one chunk; a chunk with more is split. A larger chunk costs more for each
/// insertion, which moves its runs; a smaller one costs more map entries.
pub const MAX_RUNS_PER_CHUNK: usize = 256;
/// Runs for which a chunk reserves memory after a split, beyond the runs that remain in it. More
/// wastes memory in chunks that never grow; fewer costs an allocation at the next insertion.
const SPARE_RUNS: usize = 8;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Run {
    /// Offset of the run's first extent from the chunk's base.
    start: u32,
    length: u32,
    shard: u32,
}

impl Run {
    fn single(start: u32, shard: u32) -> Run {
        Run {
            start,
            length: 1,
            shard,
        }
    }

    /// Returns the offset after the run's last extent.
    fn end(&self) -> u64 {
        u64::from(self.start) + u64::from(self.length)
    }
}

/// Consecutive extents on one shard, as [`Extents::iter`] returns them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExtentRun {
    /// Number of the first extent.
    pub first: u64,
    /// Number of extents; at least one.
    pub length: u64,
    /// The shard on which the extents lie.
    pub shard: u32,
}

/// The shard of each extent of a volume.
///
/// ```
/// use grebecleat_catalog_service::extents::{ExtentRun, Extents};
/// let mut extents: Extents = (0..1000).map(|extent| (extent, 7)).collect();
/// extents.insert(500, 8);
/// assert_eq!((extents.get(499), extents.get(500), extents.get(1000)), (Some(7), Some(8), None));
/// assert_eq!((extents.len(), extents.runs()), (1000, 3));
/// let run = |first, length, shard| ExtentRun { first, length, shard };
/// let runs: Vec<_> = extents.iter().collect();
/// assert_eq!(runs, [run(0, 500, 7), run(500, 1, 8), run(501, 499, 7)]);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Extents {
    /// Chunks by their first extent. No chunk is empty, and no chunk reaches into the next one.
    chunks: BTreeMap<u64, Vec<Run>>,
    extents: u64,
    runs: usize,
}

impl Extents {
    /// Returns the shard of an extent; `None` if the extent is not placed.
    pub fn get(&self, extent: u64) -> Option<u32> {
        let (base, chunk) = self.chunks.range(..=extent).next_back()?;
        let offset = extent - base;
        let after = chunk.partition_point(|run| u64::from(run.start) <= offset);
        let run = chunk.get(after.checked_sub(1)?)?;
        (offset < run.end()).then_some(run.shard)
    }

    /// Places an extent on a shard, and replaces an earlier placement of the extent.
    pub fn insert(&mut self, extent: u64, shard: u32) {
        let Some(base) = self.chunk_base(extent) else {
            self.chunks.insert(extent, vec![Run::single(0, shard)]);
            self.extents += 1;
            self.runs += 1;
            return;
        };
        let chunk = self.chunks.get_mut(&base).expect("found above");
        let runs_before = chunk.len();
        let offset = (extent - base) as u32;
        match insert_run(chunk, offset, shard) {
            Inserted::Unchanged => return,
            Inserted::Moved => {}
            Inserted::Added => self.extents += 1,
        }
        // The new run is at most one index further. The run and its neighbours may now be one run.
        let new = chunk.partition_point(|run| run.start <= offset) - 1;
        join_with_next(chunk, new);
        if let Some(previous) = new.checked_sub(1) {
            join_with_next(chunk, previous);
        }
        self.runs = self.runs + chunk.len() - runs_before;
        if chunk.len() > MAX_RUNS_PER_CHUNK {
            let upper = split(chunk);
            self.chunks
                .insert(base + u64::from(upper.first), upper.runs);
        }
    }

    /// Returns the base of the extent's chunk; `None` if the extent must begin a new chunk.
    fn chunk_base(&mut self, extent: u64) -> Option<u64> {
        if let Some((base, _)) = self.chunks.range(..=extent).next_back() {
            return (extent - base < u64::from(u32::MAX)).then_some(*base);
        }
        // The extent lies below all chunks: the first chunk now begins earlier, if its offsets fit.
        let (base, chunk) = self.chunks.first_key_value()?;
        let base = *base;
        let shift = base - extent;
        let end = chunk.last().map_or(0, Run::end);
        if end + shift >= u64::from(u32::MAX) {
            return None;
        }
        let mut chunk = self.chunks.remove(&base).expect("looked up above");
        for run in &mut chunk {
            run.start += shift as u32;
        }
        self.chunks.insert(extent, chunk);
        Some(extent)
    }

    /// Returns the number of extents that are placed.
    pub fn len(&self) -> u64 {
        self.extents
    }

    /// Returns whether no extent is placed.
    pub fn is_empty(&self) -> bool {
        self.extents == 0
    }

    /// Returns the number of runs.
    pub fn runs(&self) -> usize {
        self.runs
    }

    /// Returns the runs in order. Two consecutive runs may have the same shard where a chunk ends.
    pub fn iter(&self) -> impl Iterator<Item = ExtentRun> + '_ {
        let runs = self
            .chunks
            .iter()
            .flat_map(|(base, chunk)| chunk.iter().map(move |run| (base, run)));
        runs.map(|(base, run)| ExtentRun {
            first: base + u64::from(run.start),
            length: u64::from(run.length),
            shard: run.shard,
        })
    }
}

impl FromIterator<(u64, u32)> for Extents {
    fn from_iter<T: IntoIterator<Item = (u64, u32)>>(placements: T) -> Self {
        let mut extents = Extents::default();
        for (extent, shard) in placements {
            extents.insert(extent, shard);
        }
        extents
    }
}

/// The effect of an insertion on the extent's chunk.
enum Inserted {
    /// The extent lay on that shard already.
    Unchanged,
    /// The extent lay on another shard.
    Moved,
    /// The extent was not placed before.
    Added,
}

/// Places the extent at `offset` of a chunk on a shard, as a separate run.
fn insert_run(chunk: &mut Vec<Run>, offset: u32, shard: u32) -> Inserted {
    let after = chunk.partition_point(|run| run.start <= offset);
    let containing = after
        .checked_sub(1)
        .filter(|index| u64::from(offset) < chunk[*index].end());
    let Some(index) = containing else {
        chunk.insert(after, Run::single(offset, shard));
        return Inserted::Added;
    };
    let former = chunk[index];
    if former.shard == shard {
        return Inserted::Unchanged;
    }
    let left_length = offset - former.start;
    let left = Run {
        length: left_length,
        ..former
    };
    let right = Run {
        start: offset + 1,
        length: former.length - left_length - 1,
        shard: former.shard,
    };
    let parts = [left, Run::single(offset, shard), right];
    let parts = parts.into_iter().filter(|run| run.length > 0);
    chunk.splice(index..=index, parts);
    Inserted::Moved
}

/// Joins a run with the next one if the two are adjacent and on one shard.
fn join_with_next(chunk: &mut Vec<Run>, index: usize) {
    if let [run, next, ..] = chunk[index..] {
        if run.shard == next.shard && run.end() == u64::from(next.start) {
            chunk[index].length += next.length;
            chunk.remove(index + 1);
        }
    }
}

/// The upper half of a chunk that was split.
struct UpperHalf {
    /// The base of the upper half, relative to the base of the chunk that was split.
    first: u32,
    runs: Vec<Run>,
}

fn split(chunk: &mut Vec<Run>) -> UpperHalf {
    let mut runs = chunk.split_off(MAX_RUNS_PER_CHUNK / 2);
    chunk.shrink_to(MAX_RUNS_PER_CHUNK / 2 + SPARE_RUNS);
    let first = runs[0].start;
    for run in &mut runs {
        run.start -= first;
    }
    UpperHalf { first, runs }
}

#[cfg(test)]
mod tests;
