//! The requests that this host is processing.

use super::{DesiredState, PendingRequest};
use crate::api::{Request, RequestId, TrafficClassId, VolumeId};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Index;
use std::time::Duration;

/// Requests without a final answer or with an attempt outstanding. Memory: one record for each request, and one
/// duration for each traffic class.
#[derive(Debug, Default)]
pub struct RequestTable {
    requests: BTreeMap<RequestId, PendingRequest>,
    /// Requests whose desired state has changed in this step.
    changed: Vec<RequestId>,
    /// Longest time from receipt to deadline seen in each traffic class.
    longest_deadline: BTreeMap<TrafficClassId, Duration>,
    /// Size of the smallest request seen, in units.
    smallest_units: Option<f64>,
}

impl RequestTable {
    /// Records the size and the deadline of a request that was just received. Returns by how much its time to
    /// the deadline is shorter than the longest of its traffic class.
    pub fn observe(&mut self, request: &Request, now: Duration) -> Duration {
        let remaining = request.deadline.saturating_sub(now);
        let longest = self
            .longest_deadline
            .entry(request.traffic_class)
            .or_default();
        *longest = remaining.max(*longest);
        let smallest = self
            .smallest_units
            .map_or(request.units, |least| least.min(request.units));
        self.smallest_units = Some(smallest);
        *longest - remaining
    }

    /// Returns the size of the smallest request seen, in units, or `None` if no request was received yet.
    pub fn smallest_units(&self) -> Option<f64> {
        self.smallest_units
    }

    /// Adds a request.
    pub fn insert(&mut self, pending: PendingRequest) {
        self.requests.insert(pending.request.id, pending);
    }

    /// Removes a request.
    pub fn remove(&mut self, id: RequestId) {
        self.requests.remove(&id);
    }

    /// Returns a request, if it is open or has an attempt outstanding.
    pub fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.requests.get(&id)
    }

    /// Returns a request, if it is open or has an attempt outstanding.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&id)
    }

    /// Marks the desired state of a request as changed.
    pub fn mark_changed(&mut self, id: RequestId) {
        self.changed.push(id);
    }

    /// Returns the requests whose desired state has changed since the last call.
    pub fn take_changed(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.changed)
    }

    /// Returns the queued requests of a volume.
    pub fn queued_of_volume(&self, volume: VolumeId) -> Vec<RequestId> {
        let is_queued = |pending: &PendingRequest| {
            pending.request.volume == volume && pending.desired == DesiredState::Queued
        };
        self.requests
            .iter()
            .filter(|(_, pending)| is_queued(pending))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Returns the volumes of all requests.
    pub fn volumes(&self) -> BTreeSet<VolumeId> {
        let requests = self.requests.values();
        requests.map(|pending| pending.request.volume).collect()
    }
}

impl Index<RequestId> for RequestTable {
    type Output = PendingRequest;

    /// Returns a request that is known to be in the table.
    fn index(&self, id: RequestId) -> &PendingRequest {
        &self.requests[&id]
    }
}
