//! Model of the discovery service: it publishes the announced endpoints after a lag.
//!
//! State machine: [`DiscoveryService::announce`] queues an announcement, and
//! [`DiscoveryService::advance`] returns the changes that are published. No I/O and no clock; times
//! are since the start of the scenario. [`crate::serve`] calls it.
//!
//! Bounds: one entry for each node; the pending announcements are not bounded.

use grebecleat_wire::{clock, pb};
use std::collections::BTreeMap;
use std::time::Duration;

/// An announced endpoint.
#[derive(Debug, Clone)]
struct PublishedEndpoint {
    endpoint: pb::Endpoint,
    /// The start of the process; `None` if it started before the scenario.
    started: Option<Duration>,
}

impl PublishedEndpoint {
    /// Returns the endpoint with its uptime at `now`.
    fn at(&self, now: Duration) -> pb::Endpoint {
        let uptime = self.started.map(|started| now.saturating_sub(started));
        pb::Endpoint {
            up_us: uptime.map(clock::micros),
            ..self.endpoint.clone()
        }
    }
}

/// The published endpoint list, and the announcements that are not published yet.
#[derive(Debug, Default)]
pub struct DiscoveryService {
    published: BTreeMap<u32, PublishedEndpoint>,
    /// The announcements with the times of their publication, by time.
    pending: Vec<(Duration, PublishedEndpoint)>,
    revision: u64,
}

impl DiscoveryService {
    /// Queues a node's announcement, which is published after `lag`.
    pub fn announce(&mut self, now: Duration, endpoint: pb::Endpoint, lag: Duration) {
        let uptime = endpoint.up_us.map(Duration::from_micros);
        let started = uptime.map(|uptime| now.saturating_sub(uptime));
        let announced = PublishedEndpoint { endpoint, started };
        self.pending.push((now + lag, announced));
        self.pending.sort_by_key(|pending| pending.0);
    }

    /// Publishes the announcements whose lag is over. Returns the update for the watchers, or
    /// `None` if nothing changed.
    pub fn advance(&mut self, now: Duration) -> Option<pb::EndpointUpdate> {
        let due = self.pending.partition_point(|pending| pending.0 <= now);
        let changes = self.pending.drain(..due).map(|pending| pending.1);
        let changes: Vec<PublishedEndpoint> = changes.collect();
        if changes.is_empty() {
            return None;
        }
        self.revision += 1;
        let endpoints = changes.iter().map(|change| change.at(now)).collect();
        for change in changes {
            self.published.insert(change.endpoint.node, change);
        }
        Some(self.update(pb::EndpointUpdateKind::Delta, endpoints))
    }

    /// Returns the complete list, without the endpoints whose process is gone.
    pub fn snapshot(&self, now: Duration) -> pb::EndpointUpdate {
        let published = self.published.values();
        let running =
            published.filter(|published| published.endpoint.state() != pb::NodeState::Gone);
        let endpoints = running.map(|published| published.at(now)).collect();
        self.update(pb::EndpointUpdateKind::Snapshot, endpoints)
    }

    fn update(
        &self,
        kind: pb::EndpointUpdateKind,
        endpoints: Vec<pb::Endpoint>,
    ) -> pb::EndpointUpdate {
        pb::EndpointUpdate {
            kind: kind.into(),
            revision: self.revision,
            endpoints,
        }
    }
}

#[cfg(test)]
mod tests;
