//! The store on disks that die, fail, fill up and rot: after each start the state is the one before or the
//! one after, nothing that was said to be kept is lost, the trail agrees with the state, and damage is told.

mod common;

use common::{Disk, Fails};
use grebecleat_plans::changes::*;
use grebecleat_plans::leader::Epoch;
use grebecleat_state::extents::Extents;
use grebecleat_state::store::{Record, Store, StoreFault, StoredState};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::Duration;

const AUDIT_LOG: u64 = 6;

/// What should be in the store.
#[derive(Clone)]
struct Model {
    catalog: Catalog,
    stable: Version,
    hosts: BTreeMap<Name, Version>,
    places: BTreeMap<(u64, u64), u32>,
    rng: Pcg64Mcg,
}

impl Model {
    fn new(seed: u64) -> Self {
        let facts = Deployment {
            hosts: ["h1", "h2"].map(Name::from).into(),
            max_dispatch_delay: Duration::ZERO,
        };
        let (stable, hosts, places) = (Version(0), BTreeMap::new(), BTreeMap::new());
        let rng = Pcg64Mcg::seed_from_u64(seed);
        Model {
            catalog: Catalog::new(facts, 1000),
            stable,
            hosts,
            places,
            rng,
        }
    }

    fn change(&mut self) -> Vec<Change> {
        let name: Name =
            ["basic", "gold", "a plan with a longer name"][self.rng.random_range(0..3)].into();
        let reservation = f64::from(self.rng.random_range(0..1000));
        let to = Some(Plan {
            rate: 1.0,
            reservation,
            ..Plan::default()
        });
        let plan = Change::Plan {
            name: name.clone(),
            to,
        };
        let id = self.rng.random_range(0..20);
        let hosts = ["h1".into(), "h2".into()].into();
        let to = Volume {
            plan: name,
            hosts,
            shards: (0..self.rng.random_range(1..40)).collect(),
            blocks: 8,
        };
        match self.rng.random_range(0..6) {
            0 => vec![Change::Volume { id, to: None }],
            _ => vec![plan, Change::Volume { id, to: Some(to) }],
        }
    }

    /// The next batch, laid over the model.
    fn batch(&mut self) -> Vec<Record> {
        let mut batch = Vec::new();
        for _ in 0..self.rng.random_range(1..4) {
            let changes = self.change();
            let by = ChangeContext {
                author: "op",
                reason: "test",
                ..ChangeContext::default()
            };
            if let Ok(revision) = self.catalog.propose(self.catalog.version(), by, changes) {
                self.catalog.apply(revision.clone()).unwrap();
                batch.push(Record::Revision(revision));
            }
            let (volume, extent, shard) = (
                self.rng.random_range(0..3),
                self.rng.random_range(0..300),
                self.rng.random_range(0..5),
            );
            self.places.insert((volume, extent), shard);
            batch.push(Record::Place {
                volume,
                extent,
                shard,
            });
        }
        if self.rng.random() {
            self.stable = Version(
                self.rng
                    .random_range(self.stable.0..=self.catalog.version().0),
            );
            batch.push(Record::Stable(self.stable));
        }
        if self.rng.random() {
            let (host, applied) = (Name::from("h1"), self.catalog.version());
            self.hosts.insert(host.clone(), applied);
            batch.push(Record::Has(host, applied));
        }
        batch
    }

    /// Whether that is what is in the store.
    fn is(&self, persisted: &StoredState, places: &BTreeMap<u64, Extents>) -> Result<(), String> {
        let then = Catalog::new(self.catalog.facts().clone(), 1000);
        let then = then.restored(
            persisted.version,
            persisted.state.clone(),
            persisted.audit_log.clone(),
        );
        let all = |l: &Catalog| l.state().collect::<Vec<_>>();
        let lies: BTreeMap<(u64, u64), u32> = places
            .iter()
            .flat_map(|(v, e)| {
                e.iter().flat_map(move |(from, n, shard)| {
                    (from..from + n).map(move |x| ((*v, x), shard))
                })
            })
            .collect();
        let own = (
            self.catalog.version(),
            self.stable,
            &self.hosts,
            &self.places,
        );
        let found = (persisted.version, persisted.stable, &persisted.hosts, &lies);
        if own != found || all(&then) != all(&self.catalog) {
            return Err(format!(
                "version {:?} and not {:?}, or not the same in it",
                persisted.version,
                self.catalog.version()
            ));
        }
        // The trail leads from where it begins to the state, and holds what is not settled.
        let first = persisted
            .audit_log
            .first()
            .map_or(persisted.version, |e| e.from);
        if first > self.stable
            || persisted
                .audit_log
                .iter()
                .zip(self.catalog.since(first).unwrap())
                .any(|(a, b)| a != b)
        {
            return Err("another trail".into());
        }
        Ok(())
    }
}

fn open(disk: &Disk) -> Result<(Store, StoredState, BTreeMap<u64, Extents>), StoreFault> {
    let disk = disk.clone();
    Store::open_on(move || disk.backend(), AUDIT_LOG)
}

/// Batches until one is not kept; the states that may be found then.
fn run(seed: u64, batches: usize, disk: &Disk) -> Vec<Model> {
    let mut model = Model::new(seed);
    let Ok((mut store, ..)) = open(disk) else {
        return vec![model];
    };
    for _ in 0..batches {
        let before = model.clone();
        let batch = model.batch();
        if store.keep(&batch).is_err() {
            return vec![before, model];
        }
    }
    vec![model]
}

#[test]
fn the_machine_dies_at_every_write_and_every_sync_in_turn() {
    let snapshot = Disk::default();
    run(1, 8, &snapshot);
    let made = Disk::default();
    drop(open(&made));
    let (from, to) = (made.ops(), snapshot.ops());
    assert!(to - from > 60, "{from} to {to}");
    let mut found = [0, 0];
    for at in 0..to {
        let disk = Disk::default();
        disk.fails(Fails::DiesAt(at));
        let may_be = run(1, 8, &disk);
        for seed in 0..4 {
            let disk = Disk::of(disk.after_death(at * 100 + seed));
            let (mut store, persisted, places) = match open(&disk) {
                Ok(opened) => opened,
                // Of a store whose making was cut off nothing was ever said to be kept.
                Err(_) if at < from => continue,
                Err(fault) => panic!("died at {at}, seed {seed}: {fault}"),
            };
            let which = may_be
                .iter()
                .position(|m| m.is(&persisted, &places).is_ok());
            let which = which.unwrap_or_else(|| {
                panic!(
                    "died at {at}, seed {seed}: {:?}",
                    may_be[0].is(&persisted, &places)
                )
            });
            found[which] += 1;
            // And it goes on from there.
            let mut model = may_be[which].clone();
            store.keep(&model.batch()).expect("the disk is well");
            let (persisted, places) = store.read().unwrap();
            model
                .is(&persisted, &places)
                .unwrap_or_else(|e| panic!("died at {at}, seed {seed}, gone on: {e}"));
        }
    }
    assert!(
        found[0] > 100 && found[1] > 10,
        "before the last batch {}, after it {}",
        found[0],
        found[1]
    );
}

/// One operation fails and the process lives on: whether the batch arrived or not, what is told then holds.
#[test]
fn every_operation_fails_once_and_the_process_goes_on() {
    let snapshot = Disk::default();
    run(2, 8, &snapshot);
    let made = Disk::default();
    drop(open(&made));
    let (mut failed, mut unknown) = (0, 0);
    for at in made.ops()..snapshot.ops() {
        for fails in [Fails::OnceAt(at), Fails::FullFrom(at, 12)] {
            let disk = Disk::default();
            let (mut store, ..) = open(&disk).unwrap();
            disk.fails(fails);
            let mut model = Model::new(2);
            for n in 0..10 {
                let before = model.clone();
                let batch = model.batch();
                if let Err(fault) = store.keep(&batch) {
                    match fault {
                        StoreFault::Disk { .. } => failed += 1,
                        StoreFault::Unknown { .. } => unknown += 1,
                        other => panic!("{fails:?}, batch {n}: {other:?}"),
                    }
                    // It was told that nothing of it was kept; what comes next is another batch.
                    model = Model {
                        rng: model.rng,
                        ..before
                    };
                    // Places and what hosts have may stand there: nobody was told that they do.
                    for keep in &batch {
                        if let Record::Place { volume, extent, .. } = keep {
                            model.places.remove(&(*volume, *extent));
                        }
                    }
                }
            }
            disk.fails(Fails::Never);
            store.keep(&[]).unwrap_or_else(|e| panic!("{fails:?}: {e}"));
            let (persisted, places) = store.read().unwrap_or_else(|e| panic!("{fails:?}: {e}"));
            model
                .like(&persisted, &places)
                .unwrap_or_else(|e| panic!("{fails:?}: {e}"));
            drop(store);
            let (_, persisted, places) = open(&disk).unwrap_or_else(|e| panic!("{fails:?}: {e}"));
            model
                .like(&persisted, &places)
                .unwrap_or_else(|e| panic!("{fails:?}, after a start: {e}"));
        }
    }
    assert!(
        failed > 60 && unknown > 20,
        "{failed} for certain, {unknown} not"
    );
}

impl Model {
    /// The catalog is as told; what else stands there may be more than was told.
    fn like(&self, persisted: &StoredState, places: &BTreeMap<u64, Extents>) -> Result<(), String> {
        let then = Catalog::new(self.catalog.facts().clone(), 1000);
        let then = then.restored(
            persisted.version,
            persisted.state.clone(),
            persisted.audit_log.clone(),
        );
        if persisted.version != self.catalog.version()
            || !then.changes_towards(&self.catalog).is_empty()
        {
            return Err(format!(
                "version {:?} and not {:?}",
                persisted.version,
                self.catalog.version()
            ));
        }
        let lost = self
            .places
            .iter()
            .find(|((v, x), shard)| places.get(v).and_then(|e| e.get(*x)) != Some(**shard));
        match lost {
            Some(lost) => Err(format!("{lost:?} is lost")),
            None => Ok(()),
        }
    }
}

#[test]
fn a_read_only_disk_and_a_full_one_are_told_and_nothing_is_lost() {
    let disk = Disk::default();
    let model = run(3, 6, &disk).remove(0);
    let (mut store, ..) = open(&disk).unwrap();
    disk.fails(Fails::ReadOnly);
    let fault = store.keep(&model.clone().batch()).unwrap_err();
    assert!(fault.to_string().contains("read-only"), "{fault}");
    disk.fails(Fails::FullFrom(0, u64::MAX));
    let fault = store.keep(&model.clone().batch()).unwrap_err();
    assert!(fault.to_string().contains("no space left"), "{fault}");
    disk.fails(Fails::Never);
    let (persisted, places) = store.read().unwrap();
    model.is(&persisted, &places).unwrap();
    let mut model = model;
    store.keep(&model.batch()).unwrap();
}

/// Whatever byte rots, the store says so or still has everything; it never serves something else, and never
/// writes to what it cannot read.
#[test]
fn a_byte_that_rots_is_told_or_does_not_matter() {
    //HOOK
    let disk = Disk::default();
    let mut model = Model::new(4);
    let (mut store, ..) = open(&disk).unwrap();
    let all: Vec<Record> = (0..150).flat_map(|_| model.batch()).collect();
    store.keep(&all).unwrap();
    drop(store);
    let bytes = disk.bytes();
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let (mut told, mut written) = (0, 0);
    let used: Vec<usize> = (0..bytes.len()).filter(|i| bytes[*i] != 0).collect();
    for n in 0..1500 {
        let at = used[rng.random_range(0..used.len())];
        let mut rotten = bytes.clone();
        rotten[at] ^= 1 << rng.random_range(0..8);
        let disk = Disk::of(rotten.clone());
        match open(&disk) {
            Ok((_, persisted, places)) => {
                assert_eq!(model.is(&persisted, &places), Ok(()), "byte {at}, look {n}");
            }
            Err(fault) => {
                told += 1;
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
    assert!(told > 200, "{told} of 1500 mattered and were told");
    assert_eq!(written, 0, "and nothing was written to what was damaged");
}

#[test]
fn a_newer_file_and_one_that_is_none_are_told() {
    let disk = Disk::default();
    run(5, 2, &disk);
    let db = redb::Builder::new()
        .create_with_backend(disk.clone())
        .unwrap();
    let write = db.begin_write().unwrap();
    write
        .open_table(redb::TableDefinition::<&str, u64>::new("meta"))
        .unwrap()
        .insert("schema", 9)
        .unwrap();
    write.commit().unwrap();
    drop(db);
    assert_eq!(open(&disk).err(), Some(StoreFault::Newer { schema: 9 }));
    let fault = open(&Disk::of(b"this is a letter to a friend".repeat(400)))
        .err()
        .unwrap();
    assert!(matches!(fault, StoreFault::Damaged { .. }), "{fault:?}");
}

#[test]
fn an_older_file_is_brought_to_todays_form() {
    let disk = Disk::default();
    let db = redb::Builder::new()
        .create_with_backend(disk.clone())
        .unwrap();
    let write = db.begin_write().unwrap();
    {
        let mut places = write
            .open_table(redb::TableDefinition::<(u64, u64), u32>::new("places"))
            .unwrap();
        (0..200u64).for_each(|x| _ = places.insert((7, x * 3), (x % 4) as u32).unwrap());
        write
            .open_table(redb::TableDefinition::<(), u64>::new("ceiling"))
            .unwrap()
            .insert((), 77)
            .unwrap();
    }
    write.commit().unwrap();
    drop(db);
    for _ in 0..2 {
        let (store, persisted, places) = open(&disk).unwrap();
        assert_eq!((persisted.ceiling, places[&7].len()), (77, 200));
        assert!((0..200u64).all(|x| places[&7].get(x * 3) == Some((x % 4) as u32)));
        drop(store);
    }
    // And at every operation of it the machine may die.
    let before = disk.bytes();
    let mut old = 0;
    for at in 0..40 {
        let disk = Disk::of(before.clone());
        disk.fails(Fails::DiesAt(at));
        drop(open(&disk));
        let disk = Disk::of(disk.after_death(at));
        let (_, persisted, places) = open(&disk).unwrap_or_else(|e| panic!("died at {at}: {e}"));
        assert_eq!(
            (persisted.ceiling, places[&7].len()),
            (77, 200),
            "died at {at}"
        );
        old += 1;
    }
    assert_eq!(old, 40);
}

#[test]
fn the_audit_log_is_as_long_as_it_may_be_and_keeps_what_is_not_stable() {
    let disk = Disk::default();
    let (mut store, ..) = open(&disk).unwrap();
    let mut model = Model::new(6);
    while model.catalog.version() < Version(40) {
        let batch: Vec<Record> = model
            .batch()
            .into_iter()
            .filter(|k| !matches!(k, Record::Stable(_)))
            .collect();
        store.keep(&batch).unwrap();
    }
    assert_eq!(
        store.read().unwrap().0.audit_log.len() as u64,
        model.catalog.version().0,
        "nothing is settled"
    );
    store
        .keep(&[Record::Stable(Version(30)), Record::Epoch(Epoch(4))])
        .unwrap();
    let (persisted, _) = store.read().unwrap();
    assert_eq!(persisted.audit_log.first().unwrap().version, Version(31));
    store
        .keep(&[Record::Stable(model.catalog.version())])
        .unwrap();
    assert_eq!(
        (
            store.read().unwrap().0.audit_log.len() as u64,
            store.read().unwrap().0.epoch
        ),
        (AUDIT_LOG, Epoch(4))
    );
}
