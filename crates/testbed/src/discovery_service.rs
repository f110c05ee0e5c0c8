//! The list of nodes, late and sometimes silent, without sockets.

use grebecleat_wire::{clock, pb};
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Debug, Clone)]
struct PublishedEndpoint {
    entry: pb::Endpoint,
    /// When the process started, by our clock; None: long ago.
    since: Option<Duration>,
}

#[derive(Debug, Default)]
pub struct DiscoveryService {
    shown: BTreeMap<u32, PublishedEndpoint>,
    coming: Vec<(Duration, PublishedEndpoint)>,
    pub revision: u64,
}

impl DiscoveryService {
    /// A node's state was announced; it shows after `lag`.
    pub fn announce(&mut self, now: Duration, entry: pb::Endpoint, lag: Duration) {
        let since = entry
            .up_us
            .map(|us| now.saturating_sub(Duration::from_micros(us)));
        self.coming
            .push((now + lag, PublishedEndpoint { entry, since }));
        self.coming.sort_by_key(|c| c.0);
    }

    pub fn due(&self) -> Option<Duration> {
        self.coming.first().map(|c| c.0)
    }

    /// What has begun to show; a change for each watcher.
    pub fn advance(&mut self, now: Duration) -> Option<pb::EndpointUpdate> {
        let ready = self.coming.partition_point(|c| c.0 <= now);
        let lines: Vec<PublishedEndpoint> = self.coming.drain(..ready).map(|c| c.1).collect();
        if lines.is_empty() {
            return None;
        }
        self.revision += 1;
        let endpoints = lines.iter().map(|l| Self::as_of(now, l)).collect();
        for line in lines {
            self.shown.insert(line.entry.node, line);
        }
        Some(pb::EndpointUpdate {
            kind: pb::EndpointUpdateKind::Delta.into(),
            revision: self.revision,
            endpoints,
        })
    }

    pub fn snapshot(&self, now: Duration) -> pb::EndpointUpdate {
        let there = self
            .shown
            .values()
            .filter(|l| l.entry.state() != pb::NodeState::Gone);
        let endpoints = there.map(|l| Self::as_of(now, l)).collect();
        pb::EndpointUpdate {
            kind: pb::EndpointUpdateKind::Snapshot.into(),
            revision: self.revision,
            endpoints,
        }
    }

    fn as_of(now: Duration, line: &PublishedEndpoint) -> pb::Endpoint {
        let up_us = line.since.map(|s| clock::micros(now.saturating_sub(s)));
        pb::Endpoint {
            up_us,
            ..line.entry.clone()
        }
    }
}

#[cfg(test)]
mod tests;
