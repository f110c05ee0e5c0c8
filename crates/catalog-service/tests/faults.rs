//! Tests of the store on disks that lose power, fail, are full, or corrupt bytes. After each start
//! the state is the one before or the one after the last batch, no batch that was reported as stored
//! is lost, the audit log agrees with the state, and damage is reported.

mod common;

use common::model::{open, run, Model, MAX_AUDIT_LOG};
use common::{Disk, DiskFault};
use grebecleat_catalog::leader::Epoch;
use grebecleat_catalog::records::Version;
use grebecleat_catalog_service::store::{Record, StoreFault};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

#[test]
fn after_power_loss_at_any_write_or_sync_the_state_is_before_or_after_the_batch() {
    let full_run = Disk::default();
    run(1, 8, &full_run);
    let new_store = Disk::default();
    drop(open(&new_store));
    let creation_end = new_store.operations();
    let end = full_run.operations();
    assert!(end - creation_end > 60, "{creation_end} to {end}");
    let mut found = [0, 0];
    for at in 0..end {
        let disk = Disk::default();
        disk.set_fault(DiskFault::PowerLossAt(at));
        let candidates = run(1, 8, &disk);
        for seed in 0..4 {
            let disk = Disk::of(disk.after_power_loss(at * 100 + seed));
            let (mut store, contents) = match open(&disk) {
                Ok(opened) => opened,
                // No batch was reported as stored in a store whose creation was interrupted.
                Err(_) if at < creation_end => continue,
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
            // The store accepts further batches in that state.
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

/// Returns the model after a batch that was reported as not stored: the state before the batch, with
/// the advanced random generator, so that the next batch differs.
fn after_unstored_batch(model: Model, before: Model, batch: &[Record]) -> Model {
    let mut after = Model {
        rng: model.rng,
        ..before
    };
    // Placements and hosts' versions may be stored, although they were not reported as stored.
    for record in batch {
        if let Record::ExtentPlacement { volume, extent, .. } = record {
            after.placements.remove(&(*volume, *extent));
        }
    }
    after
}

/// One or twelve operations fail and the process continues. The result of each commit is correct,
/// whether the batch is stored or not.
#[test]
fn after_any_disk_failure_the_store_has_what_was_reported() {
    let full_run = Disk::default();
    run(2, 8, &full_run);
    let new_store = Disk::default();
    drop(open(&new_store));
    let (mut failed, mut unknown) = (0, 0);
    for at in new_store.operations()..full_run.operations() {
        for disk_fault in [DiskFault::OnceAt(at), DiskFault::FullFrom(at, 12)] {
            let disk = Disk::default();
            let (mut store, ..) = open(&disk).unwrap();
            disk.set_fault(disk_fault);
            let mut model = Model::new(2);
            for number in 0..10 {
                let before = model.clone();
                let batch = model.batch();
                if let Err(fault) = store.commit(&batch) {
                    match fault {
                        StoreFault::Disk { .. } => failed += 1,
                        StoreFault::Unknown { .. } => unknown += 1,
                        other => panic!("{disk_fault:?}, batch {number}: {other:?}"),
                    }
                    model = after_unstored_batch(model, before, &batch);
                }
            }
            disk.set_fault(DiskFault::Never);
            store
                .commit(&[])
                .unwrap_or_else(|error| panic!("{disk_fault:?}: {error}"));
            let contents = store
                .read()
                .unwrap_or_else(|error| panic!("{disk_fault:?}: {error}"));
            model
                .check_contains(&contents)
                .unwrap_or_else(|error| panic!("{disk_fault:?}: {error}"));
            drop(store);
            let (_, contents) =
                open(&disk).unwrap_or_else(|error| panic!("{disk_fault:?}: {error}"));
            model
                .check_contains(&contents)
                .unwrap_or_else(|error| panic!("{disk_fault:?}, after a start: {error}"));
        }
    }
    assert!(
        failed > 60 && unknown > 20,
        "{failed} commits failed, {unknown} have an unknown result"
    );
}

#[test]
fn read_only_and_full_disks_are_reported_and_nothing_is_lost() {
    let disk = Disk::default();
    let model = run(3, 6, &disk).remove(0);
    let (mut store, ..) = open(&disk).unwrap();
    disk.set_fault(DiskFault::ReadOnly);
    let fault = store.commit(&model.clone().batch()).unwrap_err();
    assert!(fault.to_string().contains("read-only"), "{fault}");
    disk.set_fault(DiskFault::FullFrom(0, u64::MAX));
    let fault = store.commit(&model.clone().batch()).unwrap_err();
    assert!(fault.to_string().contains("no space left"), "{fault}");
    disk.set_fault(DiskFault::Never);
    model.check_equal(&store.read().unwrap()).unwrap();
    let mut model = model;
    store.commit(&model.batch()).unwrap();
}

/// If a byte is corrupted, the store reports it or still has all contents. It never serves other
/// contents, and never writes to a file in which it finds damage.
#[test]
fn a_corrupted_byte_is_reported_or_has_no_effect() {
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
        let mut corrupted = bytes.clone();
        corrupted[at] ^= 1 << rng.random_range(0..8);
        let disk = Disk::of(corrupted.clone());
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
                written += u32::from(disk.bytes() != corrupted);
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
        "only {reported} of 1500 corrupted bytes were reported"
    );
    assert_eq!(written, 0, "damaged files to which the store wrote");
}

#[test]
fn newer_schemas_and_files_that_are_not_stores_are_reported() {
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
        let mut table = write
            .open_table(redb::TableDefinition::<(u64, u64), u32>::new("places"))
            .unwrap();
        for index in 0..200u64 {
            table.insert((7, index * 3), (index % 4) as u32).unwrap();
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
        let (persisted, placements) = (contents.state, contents.extents);
        assert_eq!((persisted.ceiling, placements[&7].len()), (77, 200));
        let is_placed = |index: u64| placements[&7].get(index * 3) == Some((index % 4) as u32);
        assert!((0..200u64).all(is_placed));
        drop(store);
    }
    // Power may be lost at any operation of the migration.
    let before = disk.bytes();
    let mut migrated = 0;
    for at in 0..40 {
        let disk = Disk::of(before.clone());
        disk.set_fault(DiskFault::PowerLossAt(at));
        drop(open(&disk));
        let disk = Disk::of(disk.after_power_loss(at));
        let (_, contents) =
            open(&disk).unwrap_or_else(|error| panic!("power lost at {at}: {error}"));
        let (persisted, placements) = (contents.state, contents.extents);
        assert_eq!(
            (persisted.ceiling, placements[&7].len()),
            (77, 200),
            "power lost at {at}"
        );
        migrated += 1;
    }
    assert_eq!(migrated, 40);
}

#[test]
fn the_audit_log_is_trimmed_to_its_maximum_length_but_keeps_unstable_revisions() {
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
        "no revision is stable, so the audit log has all of them"
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
        (MAX_AUDIT_LOG, Epoch(4))
    );
}
