//! A model of a store's contents: generates random batches, and compares itself with the stored
//! contents.

use super::Disk;
use grebecleat_catalog::catalog::Catalog;
use grebecleat_catalog::change::{Change, ChangeContext};
use grebecleat_catalog::records::{Deployment, Name, Plan, Version, Volume};
use grebecleat_catalog_service::extents::ExtentRun;
use grebecleat_catalog_service::store::{
    ExtentsByVolume, Record, Store, StoreContents, StoreFault,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::Duration;

/// Revisions that the store retains in its audit log.
pub const MAX_AUDIT_LOG: u64 = 6;

/// The contents that the store should have.
#[derive(Clone)]
pub struct Model {
    pub catalog: Catalog,
    pub stable: Version,
    pub hosts: BTreeMap<Name, Version>,
    pub placements: BTreeMap<(u64, u64), u32>,
    pub rng: Pcg64Mcg,
}

impl Model {
    /// Returns the model of an empty store. `seed`: determines all batches.
    pub fn new(seed: u64) -> Self {
        let deployment = Deployment {
            hosts: ["h1", "h2"].map(Name::from).into(),
            max_dispatch_delay: Duration::ZERO,
        };
        Model {
            catalog: Catalog::new(deployment, 1000),
            stable: Version(0),
            hosts: BTreeMap::new(),
            placements: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Returns random changes, which the catalog may accept or reject.
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

    /// Generates the next batch and applies it to the model.
    pub fn batch(&mut self) -> Vec<Record> {
        let mut batch = Vec::new();
        for _ in 0..self.rng.random_range(1..4) {
            let changes = self.change();
            let context = ChangeContext {
                author: "op",
                reason: "test",
                ..ChangeContext::default()
            };
            if let Ok(revision) = self
                .catalog
                .propose(self.catalog.version(), context, changes)
            {
                self.catalog.apply(revision.clone()).unwrap();
                batch.push(Record::Revision(revision));
            }
            let (volume, extent, shard) = (
                self.rng.random_range(0..3),
                self.rng.random_range(0..300),
                self.rng.random_range(0..5),
            );
            self.placements.insert((volume, extent), shard);
            batch.push(Record::ExtentPlacement {
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
            batch.push(Record::HostApplied {
                host,
                version: applied,
            });
        }
        batch
    }

    /// Returns an error if the contents are not exactly the model's.
    pub fn check_equal(&self, contents: &StoreContents) -> Result<(), String> {
        let persisted = &contents.state;
        let found_catalog = Catalog::new(self.catalog.facts().clone(), 1000);
        let found_catalog = found_catalog.restored(
            persisted.version,
            persisted.state.clone(),
            persisted.audit_log.clone(),
        );
        let all = |catalog: &Catalog| catalog.state().collect::<Vec<_>>();
        let found_placements = placements(&contents.extents);
        let expected = (
            self.catalog.version(),
            self.stable,
            &self.hosts,
            &self.placements,
        );
        let found = (
            persisted.version,
            persisted.stable,
            &persisted.hosts,
            &found_placements,
        );
        if expected != found || all(&found_catalog) != all(&self.catalog) {
            return Err(format!(
                "found version {:?}, expected {:?}, or the contents of the version differ",
                persisted.version,
                self.catalog.version()
            ));
        }
        // The audit log leads from its first revision to the state, and has all revisions that are
        // not yet stable.
        let first = persisted
            .audit_log
            .first()
            .map_or(persisted.version, |revision| revision.from);
        if first > self.stable
            || persisted
                .audit_log
                .iter()
                .zip(self.catalog.since(first).unwrap())
                .any(|(a, b)| a != b)
        {
            return Err(
                "the audit log differs from the model's, or begins after the stable version".into(),
            );
        }
        Ok(())
    }

    /// Returns an error if the catalog is not exactly the model's, or if a placement is lost. Other
    /// records may be stored although their commit was reported as failed.
    pub fn check_contains(&self, contents: &StoreContents) -> Result<(), String> {
        let persisted = &contents.state;
        let found_catalog = Catalog::new(self.catalog.facts().clone(), 1000);
        let found_catalog = found_catalog.restored(
            persisted.version,
            persisted.state.clone(),
            persisted.audit_log.clone(),
        );
        if persisted.version != self.catalog.version()
            || !found_catalog.changes_towards(&self.catalog).is_empty()
        {
            return Err(format!(
                "found version {:?}, expected {:?}, or the contents of the version differ",
                persisted.version,
                self.catalog.version()
            ));
        }
        let lost = self.placements.iter().find(|((volume, extent), shard)| {
            let extents = contents.extents.get(volume);
            extents.and_then(|extents| extents.get(*extent)) != Some(**shard)
        });
        match lost {
            Some(lost) => Err(format!("{lost:?} is lost")),
            None => Ok(()),
        }
    }
}

/// Returns the shard of each extent, by volume and extent number.
fn placements(extents: &ExtentsByVolume) -> BTreeMap<(u64, u64), u32> {
    let mut placements = BTreeMap::new();
    for (volume, extents) in extents {
        for run in extents.iter() {
            let ExtentRun {
                first,
                length,
                shard,
            } = run;
            for extent in first..first + length {
                placements.insert((*volume, extent), shard);
            }
        }
    }
    placements
}

/// Opens the store on a disk.
pub fn open(disk: &Disk) -> Result<(Store, StoreContents), StoreFault> {
    let disk = disk.clone();
    Store::open_on(move || disk.backend(), MAX_AUDIT_LOG)
}

/// Commits batches until one fails, and returns the states that the store may then have.
pub fn run(seed: u64, batches: usize, disk: &Disk) -> Vec<Model> {
    let mut model = Model::new(seed);
    let Ok((mut store, ..)) = open(disk) else {
        return vec![model];
    };
    for _ in 0..batches {
        let before = model.clone();
        let batch = model.batch();
        if store.commit(&batch).is_err() {
            return vec![before, model];
        }
    }
    vec![model]
}
