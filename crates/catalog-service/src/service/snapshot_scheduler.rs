//! Regularly writes a snapshot into a file with the store's name and the extension `snapshot`.
//!
//! Owned by [`super::owner`]. State: when the next snapshot is due, and the version of the last
//! one. A separate thread writes the file, so that hosts and operators do not wait for it.

use super::commit_pipeline::CommitPipeline;
use super::wall_time::wall_time;
use crate::snapshot;
use crate::store::{StoreContents, StoreFault};
use grebecleat_catalog::records::Version;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tracing::{error, info};

/// Decides when the next snapshot is written.
pub(super) struct SnapshotScheduler {
    path: PathBuf,
    interval: Duration,
    next_at: Instant,
    /// Version of the last snapshot; `None` before the first.
    last_version: Option<Version>,
}

impl SnapshotScheduler {
    /// Returns a scheduler whose first snapshot is due after one interval. `store`: path of the
    /// store.
    pub fn new(store: &Path, interval: Duration) -> Self {
        SnapshotScheduler {
            path: store.with_extension("snapshot"),
            interval,
            next_at: Instant::now() + interval,
            last_version: None,
        }
    }

    /// Starts a snapshot if one is due and the catalog has changed since the last one.
    pub fn write_if_due(&mut self, version: Version, commits: &CommitPipeline) {
        if Instant::now() < self.next_at || self.last_version == Some(version) {
            return;
        }
        self.next_at = Instant::now() + self.interval;
        self.last_version = Some(version);
        let path = self.path.clone();
        commits.read(move |contents| {
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
        Ok(version) => info!(revision = version.0, path = %path.display(), "snapshot written"),
        Err(fault) => error!(path = %path.display(), error = %fault, "snapshot not written"),
    }
}
