//! The store on disks that lose power, fail, fill up and rot. After each start the state is the one
//! before or the one after the last batch. No batch that was reported as stored is lost. The audit
//! log agrees with the state. Damage is reported.

mod common;

use common::model::{open, run, Model, AUDIT_LOG};
use common::{Disk, Fails};
use grebecleat_catalog::leader::Epoch;
use grebecleat_catalog::records::Version;
use grebecleat_catalog_service::store::{Record, StoreFault};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

#[test]
fn after_power_loss_at_any_write_or_sync_the_state_is_before_or_after_the_batch() {
    let full_run = Disk::default();
    run(1, 8, &full_run);
    let created = Disk::default();
    drop(open(&created));
    let created_at = created.ops();
    let end = full_run.ops();
    assert!(end - created_at > 60, "{created_at} to {end}");
    let mut found = [0, 0];
    for at in 0..end {
        let disk = Disk::default();
        disk.fails(Fails::PowerLossAt(at));
        let candidates = run(1, 8, &disk);
        for seed in 0..4 {
            let disk = Disk::of(disk.after_power_loss(at * 100 + seed));
            let (mut store, contents) = match open(&disk) {
                Ok(opened) => opened,
                // No batch was reported as stored in a store whose creation was interrupted.
                Err(_) if at < created_at => continue,
                Err(fault) => panic!("power lost at {at}, seed {seed}: {fault}"),
            };
            let which = candidates
                .iter()
                .position(|model| model.check_equal(&contents).is_ok());
            let which = which.unwrap_or_else(|| {
                panic!(
                    "power lost at {at}, seed {seed}: {:?}",
                    candidates[0].check_equal(&contents)
                )
            });
            found[which] += 1;
            // The store continues from that state.
            let mut model = candidates[which].clone();
            store.commit(&model.batch()).expect("the disk works");
            let contents = store.read().unwrap();
            model.check_equal(&contents).unwrap_or_else(|error| {
                panic!("power lost at {at}, seed {seed}, continued: {error}")
            });
        }
    }
    assert!(
        found[0] > 100 && found[1] > 10,
        "before the last batch {}, after it {}",
        found[0],
        found[1]
    );
}

/// Returns the model after a batch that was reported as not stored: the state before it, and
/// another next batch.
fn after_unstored_batch(model: Model, before: Model, batch: &[Record]) -> Model {
    let mut after = Model {
        rng: model.rng,
        ..before
    };
    // Placements and hosts' versions may be stored, although they were not reported as stored.
    for record in batch {
        if let Record::ExtentPlacement { volume, extent, .. } = record {
            after.places.remove(&(*volume, *extent));
        }
    }
    after
}

/// One operation fails and the process continues. The report is correct, whether the batch is
/// stored or not.
#[test]
fn after_any_single_disk_failure_the_store_has_what_was_reported() {
    let full_run = Disk::default();
    run(2, 8, &full_run);
    let created = Disk::default();
    drop(open(&created));
    let (mut failed, mut unknown) = (0, 0);
    for at in created.ops()..full_run.ops() {
        for fails in [Fails::OnceAt(at), Fails::FullFrom(at, 12)] {
            let disk = Disk::default();
            let (mut store, ..) = open(&disk).unwrap();
            disk.fails(fails);
            let mut model = Model::new(2);
            for number in 0..10 {
                let before = model.clone();
                let batch = model.batch();
                if let Err(fault) = store.commit(&batch) {
                    match fault {
                        StoreFault::Disk { .. } => failed += 1,
                        StoreFault::Unknown { .. } => unknown += 1,
                        other => panic!("{fails:?}, batch {number}: {other:?}"),
                    }
                    model = after_unstored_batch(model, before, &batch);
                }
            }
            disk.fails(Fails::Never);
            store
                .commit(&[])
                .unwrap_or_else(|error| panic!("{fails:?}: {error}"));
            let contents = store
                .read()
                .unwrap_or_else(|error| panic!("{fails:?}: {error}"));
            model
                .check_contains(&contents)
                .unwrap_or_else(|error| panic!("{fails:?}: {error}"));
            drop(store);
            let (_, contents) = open(&disk).unwrap_or_else(|error| panic!("{fails:?}: {error}"));
            model
                .check_contains(&contents)
                .unwrap_or_else(|error| panic!("{fails:?}, after a start: {error}"));
        }
    }
    assert!(
        failed > 60 && unknown > 20,
        "{failed} for certain, {unknown} not"
    );
}

#[test]
fn a_read_only_disk_and_a_full_one_are_reported_and_nothing_is_lost() {
    let disk = Disk::default();
    let model = run(3, 6, &disk).remove(0);
    let (mut store, ..) = open(&disk).unwrap();
    disk.fails(Fails::ReadOnly);
    let fault = store.commit(&model.clone().batch()).unwrap_err();
    assert!(fault.to_string().contains("read-only"), "{fault}");
    disk.fails(Fails::FullFrom(0, u64::MAX));
    let fault = store.commit(&model.clone().batch()).unwrap_err();
    assert!(fault.to_string().contains("no space left"), "{fault}");
    disk.fails(Fails::Never);
    model.check_equal(&store.read().unwrap()).unwrap();
    let mut model = model;
    store.commit(&model.batch()).unwrap();
}

/// If a byte rots, the store reports it or still has all contents. It never serves other contents,
/// and never writes to a file that it cannot read.
#[test]
fn a_byte_that_rots_is_reported_or_does_not_matter() {
    let disk = Disk::default();
    let mut model = Model::new(4);
    let (mut store, ..) = open(&disk).unwrap();
    let all: Vec<Record> = (0..150).flat_map(|_| model.batch()).collect();
    store.commit(&all).unwrap();
    drop(store);
    let bytes = disk.bytes();
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let (mut reported, mut written) = (0, 0);
    let used: Vec<usize> = (0..bytes.len()).filter(|i| bytes[*i] != 0).collect();
    for attempt in 0..1500 {
        let at = used[rng.random_range(0..used.len())];
        let mut rotten = bytes.clone();
        rotten[at] ^= 1 << rng.random_range(0..8);
        let disk = Disk::of(rotten.clone());
        match open(&disk) {
            Ok((_, contents)) => {
                assert_eq!(
                    model.check_equal(&contents),
                    Ok(()),
                    "byte {at}, attempt {attempt}"
                );
            }
            Err(fault) => {
                reported += 1;
                written += u32::from(disk.bytes() != rotten);
                assert!(
                    matches!(
                        fault,
                        StoreFault::Damaged { .. }
                            | StoreFault::Newer { .. }
                            | StoreFault::Disk { .. }
                    ),
                    "{fault:?}"
                );
            }
        }
    }
    assert!(
        reported > 200,
        "{reported} of 1500 mattered and were reported"
    );
    assert_eq!(written, 0, "and nothing was written to what was damaged");
}

#[test]
fn a_newer_file_and_one_that_is_no_store_are_reported() {
    let disk = Disk::default();
    run(5, 2, &disk);
    let database = redb::Builder::new()
        .create_with_backend(disk.clone())
        .unwrap();
    let write = database.begin_write().unwrap();
    write
        .open_table(redb::TableDefinition::<&str, u64>::new("meta"))
        .unwrap()
        .insert("schema", 9)
        .unwrap();
    write.commit().unwrap();
    drop(database);
    assert_eq!(open(&disk).err(), Some(StoreFault::Newer { schema: 9 }));
    let fault = open(&Disk::of(b"this is a letter to a friend".repeat(400)))
        .err()
        .unwrap();
    assert!(matches!(fault, StoreFault::Damaged { .. }), "{fault:?}");
}

/// Returns a disk with a file of schema 1: 200 placements, and the ceiling 77.
fn disk_of_schema_1() -> Disk {
    let disk = Disk::default();
    let database = redb::Builder::new()
        .create_with_backend(disk.clone())
        .unwrap();
    let write = database.begin_write().unwrap();
    {
        let mut places = write
            .open_table(redb::TableDefinition::<(u64, u64), u32>::new("places"))
            .unwrap();
        for index in 0..200u64 {
            places.insert((7, index * 3), (index % 4) as u32).unwrap();
        }
        write
            .open_table(redb::TableDefinition::<(), u64>::new("ceiling"))
            .unwrap()
            .insert((), 77)
            .unwrap();
    }
    write.commit().unwrap();
    drop(database);
    disk
}

#[test]
fn a_file_of_schema_1_is_migrated() {
    let disk = disk_of_schema_1();
    for _ in 0..2 {
        let (store, contents) = open(&disk).unwrap();
        let (persisted, places) = (contents.state, contents.extents);
        assert_eq!((persisted.ceiling, places[&7].len()), (77, 200));
        let is_placed = |index: u64| places[&7].get(index * 3) == Some((index % 4) as u32);
        assert!((0..200u64).all(is_placed));
        drop(store);
    }
    // The machine may lose power at any operation of the migration.
    let before = disk.bytes();
    let mut migrated = 0;
    for at in 0..40 {
        let disk = Disk::of(before.clone());
        disk.fails(Fails::PowerLossAt(at));
        drop(open(&disk));
        let disk = Disk::of(disk.after_power_loss(at));
        let (_, contents) =
            open(&disk).unwrap_or_else(|error| panic!("power lost at {at}: {error}"));
        let (persisted, places) = (contents.state, contents.extents);
        assert_eq!(
            (persisted.ceiling, places[&7].len()),
            (77, 200),
            "power lost at {at}"
        );
        migrated += 1;
    }
    assert_eq!(migrated, 40);
}

#[test]
fn the_audit_log_has_its_maximum_length_and_all_that_is_not_stable() {
    let disk = Disk::default();
    let (mut store, ..) = open(&disk).unwrap();
    let mut model = Model::new(6);
    while model.catalog.version() < Version(40) {
        let batch: Vec<Record> = model
            .batch()
            .into_iter()
            .filter(|record| !matches!(record, Record::Stable(_)))
            .collect();
        store.commit(&batch).unwrap();
    }
    assert_eq!(
        store.read().unwrap().state.audit_log.len() as u64,
        model.catalog.version().0,
        "nothing is stable"
    );
    store
        .commit(&[Record::Stable(Version(30)), Record::Epoch(Epoch(4))])
        .unwrap();
    let persisted = store.read().unwrap().state;
    assert_eq!(persisted.audit_log.first().unwrap().version, Version(31));
    store
        .commit(&[Record::Stable(model.catalog.version())])
        .unwrap();
    assert_eq!(
        (
            store.read().unwrap().state.audit_log.len() as u64,
            store.read().unwrap().state.epoch
        ),
        (AUDIT_LOG, Epoch(4))
    );
}
