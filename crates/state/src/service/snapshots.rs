//! The regular snapshot beside the store, written by a thread of its own.

use super::owner::Owner;
use super::wall_time;
use crate::snapshot;
use crate::store::{StoreContents, StoreFault};
use grebecleat_plans::changes::Version;
use std::path::Path;
use std::time::{Duration, Instant};
use tracing::{error, info};

/// When the next snapshot is due.
pub(super) struct SnapshotSchedule {
    interval: Duration,
    next_at: Instant,
    /// Version of the last snapshot; None before the first.
    last_version: Option<Version>,
}

impl SnapshotSchedule {
    pub fn new(interval: Duration) -> Self {
        SnapshotSchedule {
            interval,
            next_at: Instant::now() + interval,
            last_version: None,
        }
    }

    /// Whether to write a snapshot of that version now; the next is then due after the interval.
    fn take_due(&mut self, version: Version) -> bool {
        if Instant::now() < self.next_at || self.last_version == Some(version) {
            return false;
        }
        self.next_at = Instant::now() + self.interval;
        self.last_version = Some(version);
        true
    }
}

impl Owner<'_> {
    /// Writes a snapshot when it is due and something has changed since the last.
    pub(super) fn write_snapshot_if_due(&mut self) {
        if !self.snapshots.take_due(self.leader.persisted()) {
            return;
        }
        let path = self.options.store.with_extension("snapshot");
        self.group_commit.read(move |contents| {
            std::thread::spawn(move || write_snapshot(&path, contents));
        });
    }
}

fn write_snapshot(path: &Path, contents: Result<StoreContents, StoreFault>) {
    let written = contents.and_then(|contents| {
        snapshot::write(path, &contents, wall_time())?;
        Ok(contents.state.version)
    });
    match written {
        Ok(version) => info!(version = version.0, path = %path.display(), "snapshot written"),
        Err(fault) => error!(%fault, "snapshot failed"),
    }
}
