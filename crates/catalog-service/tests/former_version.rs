//! Stores and snapshots that an earlier version wrote (`tests/data`) are read as it wrote them.

use grebecleat_catalog::records::Version;
use grebecleat_catalog_service::change_syntax::format_change;
use grebecleat_catalog_service::snapshot;
use grebecleat_catalog_service::store::{Store, StoreContents, StoredState};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

const MAX_AUDIT_LOG: u64 = 1000;

fn data(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../tests/data")
        .join(name)
}

/// A store is opened for writing, so a copy of the file is.
fn copy_of(name: &str, dir: &tempfile::TempDir) -> PathBuf {
    let copy = dir.path().join(name);
    std::fs::copy(data(name), &copy).unwrap();
    copy
}

fn lines(state: &StoredState) -> BTreeSet<String> {
    state.state.iter().map(format_change).collect()
}

#[test]
fn a_store_of_an_earlier_version_is_read_as_that_version_listed_it() {
    let dir = tempfile::tempdir().unwrap();
    let (_store, contents) = Store::open(&copy_of("state.store", &dir), MAX_AUDIT_LOG).unwrap();
    let StoreContents { state, extents } = contents;
    let shown = std::fs::read_to_string(data("state.txt")).unwrap();
    let mut shown = shown.lines();
    assert_eq!(shown.next(), Some("entry 12, settled 12"));
    assert_eq!((state.version, state.stable), (Version(12), Version(12)));
    let shown: BTreeSet<String> = shown.map(str::to_string).collect();
    assert_eq!(shown.len(), 27);
    assert_eq!(lines(&state), shown);
    assert!(extents.is_empty());

    let hosts: Vec<&str> = state.hosts.keys().map(|host| &**host).collect();
    assert_eq!(hosts, ["host-1", "host-2", "host-3"]);
    let numbers: Vec<u64> = state.audit_log.iter().map(|r| r.version.0).collect();
    assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]));
    assert_eq!(numbers.last(), Some(&12));
    let last = state.audit_log.last().unwrap();
    assert_eq!(last.author, "clerk");
    assert_eq!((last.changes.len(), last.before.len()), (1, 1));
    assert_eq!(
        format_change(&last.changes[0]),
        "plan capped rate=20 reservation=4 limit=10 burst=20 slack=4 weight=1 price=1"
    );
}

#[test]
fn a_snapshot_of_an_earlier_version_is_read_and_restored() {
    let StoreContents { state, extents } = snapshot::read(&data("state.snapshot")).unwrap();
    assert!(extents.is_empty());
    assert!(state.version > Version(1) && state.version < Version(12));
    assert_eq!(state.state.len(), 27);

    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("restored.store");
    let epoch = grebecleat_catalog::leader::Epoch(7);
    let moved_to = snapshot::restore(&data("state.snapshot"), &path, epoch).unwrap();
    assert_eq!(moved_to, None);
    let (_store, contents) = Store::open(&path, MAX_AUDIT_LOG).unwrap();
    let restored = contents.state;
    assert_eq!(lines(&restored), lines(&state));
    assert_eq!(restored.audit_log, state.audit_log);
    assert_eq!((restored.epoch, restored.restored), (epoch, true));
}

#[test]
fn a_host_store_of_an_earlier_version_is_read_with_its_extent_placements() {
    let dir = tempfile::tempdir().unwrap();
    let (_store, contents) = Store::open(&copy_of("portal.store", &dir), MAX_AUDIT_LOG).unwrap();
    let StoreContents { state, extents } = contents;
    assert_eq!(extents.len(), 4);
    assert_eq!(extents.values().map(|of| of.len()).sum::<u64>(), 80);
    assert!(state.ceiling > 0);
}
