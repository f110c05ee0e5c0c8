//! The volumes that this host serves.

use super::Volume;
use crate::api::{VolumeId, VolumeTerms};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Index;

/// Volumes that this host serves, and retired volumes with open requests. Memory: one record for each.
#[derive(Debug, Default)]
pub struct VolumeTable {
    volumes: BTreeMap<VolumeId, Volume>,
    /// Volumes that are no longer served, and may still have open requests.
    retired: BTreeSet<VolumeId>,
}

impl VolumeTable {
    /// Returns a volume, if it is known.
    pub fn get(&self, id: VolumeId) -> Option<&Volume> {
        self.volumes.get(&id)
    }

    /// Returns a volume, if it is known.
    pub fn get_mut(&mut self, id: VolumeId) -> Option<&mut Volume> {
        self.volumes.get_mut(&id)
    }

    /// Returns all volumes, ordered by id.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&VolumeId, &mut Volume)> {
        self.volumes.iter_mut()
    }

    /// Adds a volume, unless it is known already.
    pub fn ensure(&mut self, id: VolumeId, new_volume: impl FnOnce() -> Volume) {
        self.volumes.entry(id).or_insert_with(new_volume);
    }

    /// Sets a volume's terms, and adds the volume if it is new. `reservation`: the plan's reservation, over
    /// all hosts.
    pub fn set_terms(&mut self, id: VolumeId, terms: VolumeTerms, reservation: f64) {
        self.retired.remove(&id);
        self.volumes
            .entry(id)
            .or_insert_with(|| Volume::new(terms, reservation))
            .set_terms(terms);
    }

    /// Retires a volume; its record is kept while it has open requests.
    pub fn retire(&mut self, id: VolumeId) {
        self.retired.insert(id);
    }

    /// Returns whether any volume is retired.
    pub fn has_retired(&self) -> bool {
        !self.retired.is_empty()
    }

    /// Removes the retired volumes without open requests, and returns them.
    pub fn remove_retired(&mut self, open: &BTreeSet<VolumeId>) -> Vec<VolumeId> {
        let (still_open, removed): (BTreeSet<_>, BTreeSet<_>) = std::mem::take(&mut self.retired)
            .into_iter()
            .partition(|id| open.contains(id));
        self.retired = still_open;
        for id in &removed {
            self.volumes.remove(id);
        }
        removed.into_iter().collect()
    }

    /// Adds the tokens of `seconds` seconds to all volumes' token buckets.
    pub fn refill(&mut self, seconds: f64) {
        for volume in self.volumes.values_mut() {
            volume.refill(seconds);
        }
    }
}

impl Index<VolumeId> for VolumeTable {
    type Output = Volume;

    /// Returns a volume that is known to be in the table: one with a flow or an open request.
    fn index(&self, id: VolumeId) -> &Volume {
        &self.volumes[&id]
    }
}
