//! Shares equal names and lists between volumes, so that each stands in memory once.
//!
//! Owned by [`crate::catalog`]; thousands of volumes have the same plan, hosts and shards. Bounded
//! by the number of different ones ever seen.

use crate::records::{Name, Volume};
use std::collections::HashSet;
use std::hash::Hash;
use std::sync::Arc;

#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Interner {
    names: HashSet<Name>,
    host_sets: HashSet<Arc<[Name]>>,
    shard_sets: HashSet<Arc<[u32]>>,
}

impl Interner {
    /// The same volume, with its plan's name and its lists shared.
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
