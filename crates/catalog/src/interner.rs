//! Shares equal names and lists between volumes, so that each is stored in memory only once.
//!
//! Owned by [`crate::catalog`]. Thousands of volumes have the same plan, hosts and shards. Entries
//! are never removed, so memory use is one entry for each distinct name and list that any volume has
//! had.

use crate::records::{Name, Volume};
use std::collections::HashSet;
use std::hash::Hash;
use std::sync::Arc;

/// The shared names and lists. See the module documentation.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Interner {
    names: HashSet<Name>,
    host_sets: HashSet<Arc<[Name]>>,
    shard_sets: HashSet<Arc<[u32]>>,
}

impl Interner {
    /// Returns an equal volume whose plan name and lists are shared.
    pub fn share(&mut self, volume: Volume) -> Volume {
        Volume {
            plan: intern(&mut self.names, volume.plan),
            hosts: intern(&mut self.host_sets, volume.hosts),
            shards: intern(&mut self.shard_sets, volume.shards),
            blocks: volume.blocks,
        }
    }
}

fn intern<T: Clone + Eq + Hash>(known: &mut HashSet<T>, value: T) -> T {
    if let Some(shared) = known.get(&value) {
        return shared.clone();
    }
    known.insert(value.clone());
    value
}
