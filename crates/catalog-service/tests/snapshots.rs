//! Tests of complete and truncated snapshots, of a restore over an existing store, and of group
//! commits of many callers.

use grebecleat_catalog::catalog::Catalog;
use grebecleat_catalog::change::{Change, ChangeContext, Revision, ScheduledChange};
use grebecleat_catalog::leader::Epoch;
use grebecleat_catalog::records::{Deployment, Drain, Node, Plan, Stage, Version, Volume};
use grebecleat_catalog_service::group_commit::GroupCommit;
use grebecleat_catalog_service::snapshot;
use grebecleat_catalog_service::store::{ExtentsByVolume, Record, Store, StoreFault};
use std::path::Path;
use std::sync::mpsc;
use std::time::Duration;

fn plan(name: &str, reservation: f64) -> Change {
    Change::Plan {
        name: name.into(),
        to: Some(Plan {
            reservation,
            ..Plan::default()
        }),
    }
}

/// Applies a revision with these changes to the catalog, and returns it.
fn next_revision(catalog: &mut Catalog, changes: Vec<Change>) -> Revision {
    let context = ChangeContext {
        author: "op",
        reason: "test",
        at: Duration::from_secs(7),
        ..ChangeContext::default()
    };
    let revision = catalog
        .propose(catalog.version(), context, changes)
        .unwrap();
    catalog.apply(revision.clone()).unwrap();
    revision
}

fn volume(id: u64) -> Change {
    let to = Volume {
        plan: "p".into(),
        hosts: ["h1".into()].into(),
        shards: [1, 2].into(),
        blocks: id,
    };
    Change::Volume { id, to: Some(to) }
}

fn node(id: u32, name: &str, zone: &str, capacity: f64) -> Change {
    let to = Node {
        name: name.into(),
        zone: zone.into(),
        shard: id,
        capacity,
    };
    Change::Node { id, to: Some(to) }
}

fn drain(stage: Stage) -> Change {
    let to = Drain {
        stage,
        timeout: Duration::from_secs(9),
        author: "ann".into(),
        requested_at: Duration::from_secs(5),
        since: Duration::from_secs(7),
    };
    Change::Drain {
        node: 1,
        to: Some(to),
    }
}

fn scheduled() -> Change {
    let to = ScheduledChange {
        at: Duration::from_secs(1 << 32),
        author: "n".into(),
        reason: "night".into(),
        force: true,
        changes: vec![plan("p", 4.0)],
        expects: vec![plan("p", 3.0)],
    };
    Change::Scheduled {
        id: 1,
        to: Some(to),
    }
}

fn empty_catalog() -> Catalog {
    let deployment = Deployment {
        hosts: ["h1".into()].into(),
        max_dispatch_delay: Duration::ZERO,
    };
    Catalog::new(deployment, 100)
}

/// Fills a store with records of every kind.
fn fill(path: &Path) {
    let mut catalog = empty_catalog();
    let target = Change::Target {
        name: "iqn.x".into(),
        to: Some([1, 2].into()),
    };
    let revisions = [
        std::iter::once(plan("p", 3.0))
            .chain((1..40).map(volume))
            .collect(),
        vec![node(1, "box1.example.org", "a", 5.5), node(2, "", "b", 0.0)],
        vec![drain(Stage::Draining), target, scheduled()],
        vec![drain(Stage::Drained)],
    ];
    let mut batch = vec![
        Record::Epoch(Epoch(5)),
        Record::PastEpoch {
            epoch: Epoch(4),
            up_to: Version(1),
        },
        Record::VersionCeiling(99),
    ];
    for changes in revisions {
        batch.push(Record::Revision(next_revision(&mut catalog, changes)));
    }
    for number in 0..500 {
        batch.push(Record::ExtentPlacement {
            volume: 1 + number % 3,
            extent: number * 7 % 300,
            shard: (number % 5) as u32,
        });
    }
    batch.push(Record::HostApplied {
        host: "h1".into(),
        version: Version(2),
    });
    batch.push(Record::Stable(Version(2)));
    let (mut store, _) = Store::open(path, 100).unwrap();
    store.commit(&batch).unwrap();
}

#[test]
fn a_snapshot_is_complete_and_a_restore_renames_the_former_store() {
    let directory = tempfile::tempdir().unwrap();
    let (path, snapshot_path) = (
        directory.path().join("s.store"),
        directory.path().join("s.snapshot"),
    );
    fill(&path);
    let all = Store::open(&path, 100).unwrap().0.read().unwrap();
    snapshot::write(&snapshot_path, &all, Duration::from_secs(3)).unwrap();
    let read = snapshot::read(&snapshot_path).unwrap();
    assert_eq!(read.state, all.state);
    let runs = |placements: &ExtentsByVolume| {
        placements
            .iter()
            .map(|(volume, extents)| (*volume, extents.iter().collect::<Vec<_>>()))
            .collect::<Vec<_>>()
    };
    assert_eq!(runs(&read.extents), runs(&all.extents));
    // A record that is stored after the snapshot remains only in the former store.
    let (mut store, ..) = Store::open(&path, 100).unwrap();
    store.commit(&[Record::VersionCeiling(1000)]).unwrap();
    drop(store);
    let moved_to = snapshot::restore(&snapshot_path, &path, Epoch(6))
        .unwrap()
        .expect("there was a former store");
    let (_, contents) = Store::open(&path, 100).unwrap();
    let (persisted, placements) = (contents.state, contents.extents);
    assert_eq!(
        (persisted.epoch, persisted.ceiling, persisted.restored),
        (Epoch(6), 99, true)
    );
    assert_eq!(
        persisted.epochs,
        [(Epoch(4), Version(1)), (Epoch(5), Version(4))]
    );
    assert_eq!(
        (&persisted.state, &persisted.audit_log, &persisted.hosts),
        (&all.state.state, &all.state.audit_log, &all.state.hosts)
    );
    assert_eq!(runs(&placements), runs(&all.extents));
    assert_eq!(Store::open(&moved_to, 100).unwrap().1.state.ceiling, 1000);
    assert!(!path.with_extension("restoring").exists());
}

#[test]
fn truncated_and_damaged_snapshots_are_rejected() {
    let directory = tempfile::tempdir().unwrap();
    let (path, snapshot_path) = (
        directory.path().join("s.store"),
        directory.path().join("s.snapshot"),
    );
    fill(&path);
    let all = Store::open(&path, 100).unwrap().0.read().unwrap();
    snapshot::write(&snapshot_path, &all, Duration::ZERO).unwrap();
    let bytes = std::fs::read(&snapshot_path).unwrap();
    let bad = directory.path().join("bad");
    let length = bytes.len();
    for cut_at in (0..length).step_by(length / 97) {
        std::fs::write(&bad, &bytes[..cut_at]).unwrap();
        let fault = snapshot::read(&bad).unwrap_err();
        assert!(
            matches!(fault, StoreFault::Damaged { .. }),
            "cut at {cut_at}: {fault}"
        );
        let mut damaged = bytes.clone();
        damaged[cut_at] ^= 0x10;
        std::fs::write(&bad, damaged).unwrap();
        assert!(snapshot::read(&bad).is_err(), "byte {cut_at}");
    }
    std::fs::write(&bad, [&bytes[..], &bytes[..]].concat()).unwrap();
    assert!(snapshot::read(&bad).is_err());
    // A failed restore does not change the store.
    assert!(snapshot::restore(&bad, &path, Epoch(9)).is_err());
    assert_eq!(Store::open(&path, 100).unwrap().1.state, all.state);
    // A snapshot that cannot be written is reported.
    let fault = snapshot::write(
        &directory.path().join("no/such/folder"),
        &all,
        Duration::ZERO,
    )
    .unwrap_err();
    assert!(matches!(fault, StoreFault::Disk { .. }), "{fault}");
}

#[test]
fn a_store_in_use_is_reported_as_locked() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("s.store");
    let _in_use = Store::open(&path, 100).unwrap();
    assert_eq!(Store::open(&path, 100).err(), Some(StoreFault::Locked));
}

/// One of many callers in one group commit commits a revision that does not follow the stored
/// version: only that caller's commit fails, and the results arrive in order.
#[test]
fn no_caller_fails_with_another_callers_fault() {
    let directory = tempfile::tempdir().unwrap();
    let (group_commit, ..) = GroupCommit::open(&directory.path().join("s.store"), 100).unwrap();
    let mut catalog = empty_catalog();
    let (to, from) = mpsc::channel();
    for caller in 0..30u64 {
        let to = to.clone();
        let records = match caller {
            13 => {
                let mut wrong = next_revision(&mut catalog.clone(), vec![plan("x", 1.0)]);
                (wrong.version, wrong.from) = (Version(500), Version(499));
                vec![Record::Revision(wrong)]
            }
            even if even % 2 == 0 => vec![Record::Revision(next_revision(
                &mut catalog,
                vec![plan("p", even as f64 + 1.0)],
            ))],
            odd => vec![Record::ExtentPlacement {
                volume: 1,
                extent: odd,
                shard: 2,
            }],
        };
        group_commit.commit(records, move |done| {
            to.send((caller, done.is_ok())).unwrap()
        });
    }
    let results: Vec<(u64, bool)> = from.iter().take(30).collect();
    let expected: Vec<(u64, bool)> = (0..30).map(|caller| (caller, caller != 13)).collect();
    assert_eq!(results, expected);
    let (seen, all) = mpsc::channel();
    group_commit.read(move |all| seen.send(all.unwrap()).unwrap());
    let contents = all.recv().unwrap();
    let (persisted, placements) = (contents.state, contents.extents);
    assert_eq!(
        (persisted.version, placements[&1].len()),
        (catalog.version(), 14)
    );
}
