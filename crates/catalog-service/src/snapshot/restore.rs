//! Builds a store from a snapshot.

use super::file::{disk, sync_parent_directory};
use super::read::read;
use crate::store::{Record, Store, StoreContents, StoreFault};
use grebecleat_catalog::leader::Epoch;
use std::path::{Path, PathBuf};

/// Number of extent placements in one commit. A larger number takes more memory for a commit; a smaller
/// one makes the restore slower, since each commit waits for the disk.
const PLACEMENTS_PER_COMMIT: usize = 20_000;

/// Builds a store from a snapshot, in a new epoch. Returns the new path of the former store, if
/// there was one.
///
/// Returns a fault if the snapshot cannot be read or the store cannot be written; the former store
/// then stays in its place.
pub fn restore(snapshot: &Path, store: &Path, epoch: Epoch) -> Result<Option<PathBuf>, StoreFault> {
    let contents = read(snapshot)?;
    let temporary = store.with_extension("restoring");
    let _ = std::fs::remove_file(&temporary);
    fill(&temporary, contents, epoch)?;
    let mut former = None;
    if store.exists() {
        let unused = unused_path(store);
        std::fs::rename(store, &unused).map_err(|error| disk(store, &error))?;
        former = Some(unused);
    }
    std::fs::rename(&temporary, store)
        .and_then(|()| sync_parent_directory(store))
        .map_err(|error| disk(store, &error))?;
    Ok(former)
}

/// Returns the first numbered name in the store's folder that no file has.
fn unused_path(store: &Path) -> PathBuf {
    let mut number = 1u64;
    loop {
        let path = store.with_extension(format!("before-{number}"));
        if !path.exists() {
            return path;
        }
        number += 1;
    }
}

fn fill(path: &Path, contents: StoreContents, epoch: Epoch) -> Result<(), StoreFault> {
    let (mut store, _) = Store::open(path, u64::MAX)?;
    let StoreContents { state, extents } = contents;
    let mut batch = vec![
        Record::Snapshot {
            version: state.version,
            state: state.state,
            audit_log: state.audit_log,
        },
        Record::Stable(state.stable),
        Record::EpochForcedAt(state.epoch_forced_at),
        Record::VersionCeiling(state.ceiling),
        Record::PastEpoch {
            epoch: state.epoch,
            up_to: state.version,
        },
        Record::Epoch(epoch),
    ];
    for (epoch, up_to) in state.epochs {
        batch.push(Record::PastEpoch { epoch, up_to });
    }
    // Hosts that the snapshot does not name may have joined after it; see `Record::Restored`.
    batch.push(Record::Restored);
    for (host, version) in state.hosts {
        batch.push(Record::HostApplied { host, version });
    }
    store.commit(&batch)?;
    let mut batch = Vec::new();
    for (volume, extents) in &extents {
        for run in extents.iter() {
            for extent in run.first..run.first + run.length {
                batch.push(Record::ExtentPlacement {
                    volume: *volume,
                    extent,
                    shard: run.shard,
                });
                if batch.len() == PLACEMENTS_PER_COMMIT {
                    store.commit(&std::mem::take(&mut batch))?;
                }
            }
        }
    }
    store.commit(&batch)
}
