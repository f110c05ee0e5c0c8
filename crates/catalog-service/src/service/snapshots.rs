//! The regular snapshot beside the store, written by a thread of its own.

use super::owner::Owner;
use super::wall_time::wall_time;
use crate::snapshot;
use crate::store::{StoreContents, StoreFault};
use std::path::Path;
use tracing::{error, info};

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
