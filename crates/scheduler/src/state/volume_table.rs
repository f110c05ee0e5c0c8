//! The volumes that this host serves.

use super::Volume;
use crate::api::{VolumeId, VolumeTerms};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Index;

/// Maximum number of volumes that are known from their requests alone and are not in use. With a smaller
/// value, volumes that pause lose their tokens; a larger one lets clients that name ever new volumes take
/// more memory.
const MAX_IDLE_VOLUMES: usize = 4096;

/// Maximum number of volumes that are known from their requests alone, including those in use. Requests
/// that name further ones must be rejected.
const MAX_NAMED_VOLUMES: usize = 4 * MAX_IDLE_VOLUMES;

/// Volumes that this host serves, and retired volumes with open requests. Memory: one record for each. The
/// settings or the catalog bound those that they define. Of those that requests name, the ones in use and
/// [`MAX_IDLE_VOLUMES`] others are kept, at most [`MAX_NAMED_VOLUMES`] together.
#[derive(Debug, Default)]
pub struct VolumeTable {
    volumes: BTreeMap<VolumeId, Volume>,
    /// Volumes that are no longer served, and may still have open requests.
    retired: BTreeSet<VolumeId>,
    /// Volumes known from their requests alone, with the number of the last request.
    named_by_requests: BTreeMap<VolumeId, u64>,
    /// Number of requests so far.
    requests: u64,
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

    /// Records a request for a volume, and adds the volume unless it is known already.
    pub fn requested(&mut self, id: VolumeId, new_volume: impl FnOnce() -> Volume) {
        self.requests += 1;
        let is_known = self.volumes.contains_key(&id);
        if let Some(last_request) = self.named_by_requests.get_mut(&id) {
            *last_request = self.requests;
        } else if !is_known {
            self.named_by_requests.insert(id, self.requests);
        }
        self.volumes.entry(id).or_insert_with(new_volume);
    }

    /// Removes the volumes with the oldest requests if too many are known from their requests alone. Those
    /// in use are kept. A volume that is requested again starts with a reservation as a new one, and with an
    /// empty bucket of its limit, so that no limit is exceeded.
    pub fn forget_idle(&mut self, is_in_use: impl Fn(&VolumeId) -> bool) {
        let named = self.named_by_requests.iter();
        let idle = named.filter(|(id, _)| !is_in_use(id));
        let mut idle: Vec<(u64, VolumeId)> = idle.map(|(id, last)| (*last, *id)).collect();
        idle.sort_unstable();
        let excess = idle.len().saturating_sub(MAX_IDLE_VOLUMES);
        for (_, id) in idle.into_iter().take(excess) {
            self.named_by_requests.remove(&id);
            self.volumes.remove(&id);
        }
    }

    /// Returns whether a request may name this volume.
    pub fn has_place_for(&self, id: VolumeId) -> bool {
        self.named_by_requests.len() < MAX_NAMED_VOLUMES || self.volumes.contains_key(&id)
    }

    /// Returns the number of volumes.
    pub fn len(&self) -> usize {
        self.volumes.len()
    }

    /// Returns whether more volumes are known from their requests alone than are kept if idle.
    pub fn has_excess(&self) -> bool {
        self.named_by_requests.len() > MAX_IDLE_VOLUMES
    }

    /// Sets a volume's terms, and adds the volume if it is new. `reservation`: the plan's reservation, over
    /// all hosts.
    pub fn set_terms(&mut self, id: VolumeId, terms: VolumeTerms, reservation: f64) {
        self.retired.remove(&id);
        self.named_by_requests.remove(&id);
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
