//! Crash-safe storage of the catalog, its audit log and the placement of extents, in one file.
//!
//! A caller opens the store with [`Store::open`], which reads and returns all contents. It then
//! calls [`Store::commit`] with batches of [`Record`]s. When a commit returns, its batch is stored
//! completely or not at all.
//!
//! The database is `redb`: one file, copy on write, atomic commits, no thread and no log of its
//! own. Alternatives that were considered: SQLite, which is written in C and needs its own build; a
//! log of this project's own, which would amount to writing a database again.
//!
//! This module adds integrity checks that `redb` does not promise. Every record carries a checksum
//! of its key and value, and the file carries one checksum over all records. The next start
//! therefore detects a corrupted byte, a missing record, and a stale record of an older page. It
//! reports the place, and does not serve the contents. Opening the file checks all its pages. The
//! store writes nothing to a file in which it has found damage.
//!
//! After a commit that failed, it is unknown whether the batch is stored. The store opens the file
//! again to find out. If that fails too, the result is [`StoreFault::Unknown`]; the next batch then
//! rolls back all stored revisions that the caller does not know.
//!
//! Memory: the contents that the caller retains, and the database's cache of 64 MiB.

mod backend;
mod batch;
mod checksum;
mod commit;
mod damage;
mod extent_chunk;
mod fault;
mod load;
mod migrate;
mod record;
mod schema;

pub use damage::{ContentError, Damage, RecordPlace, SnapshotDamage};
pub(crate) use fault::damaged;
pub use fault::StoreFault;
pub use record::{ExtentsByVolume, Record, StoreContents, StoredState};

use backend::{catch_panic, Backend};
use fault::StoreResult;
use grebecleat_catalog::records::Version;
use redb::{Database, StorageBackend};
use std::path::Path;

/// An open store. Only one process at a time can have a file open.
pub struct Store {
    backend: Backend,
    /// The open database; `None` after a failure, until the file could be opened again.
    database: Option<Database>,
    max_audit_log: u64,
    /// The version that the caller knows to be stored. The next batch rolls back any revision that
    /// is stored beyond it.
    version: Version,
}

impl Store {
    /// Opens the file, or creates it, and reads all its contents.
    ///
    /// `max_audit_log`: revisions that remain in the audit log, in addition to all revisions that
    /// are not yet stable. Any [`StoreFault`] except `Unknown` is possible.
    pub fn open(path: &Path, max_audit_log: u64) -> Result<(Store, StoreContents), StoreFault> {
        Store::open_backend(Backend::File(path.to_path_buf()), max_audit_log)
    }

    /// Opens a store on a simulated disk of a test, as [`Store::open`] does on a file.
    pub fn open_on(
        disk: impl Fn() -> Box<dyn StorageBackend> + Send + 'static,
        max_audit_log: u64,
    ) -> Result<(Store, StoreContents), StoreFault> {
        Store::open_backend(Backend::Custom(Box::new(disk)), max_audit_log)
    }

    fn open_backend(backend: Backend, max_audit_log: u64) -> StoreResult<(Store, StoreContents)> {
        catch_panic(move || {
            let mut database = backend.open()?;
            migrate::migrate(&mut database)?;
            let contents = load::load(&database)?;
            let store = Store {
                backend,
                database: Some(database),
                max_audit_log,
                version: contents.state.version,
            };
            Ok((store, contents))
        })
    }

    /// Stores a batch, completely or not at all. The caller may commit again after a fault.
    pub fn commit(&mut self, batch: &[Record]) -> Result<(), StoreFault> {
        let database = self.take_database()?;
        let committed =
            catch_panic(|| commit::commit(&database, batch, self.version, self.max_audit_log));
        match committed {
            Ok(version) => {
                self.version = version;
                self.database = Some(database);
                Ok(())
            }
            Err(StoreFault::Disk { what }) => {
                drop(database);
                self.resolve_failed_commit(batch, what)
            }
            Err(fault) => Err(fault),
        }
    }

    /// Opens the file again after a disk fault, to find out whether the batch is stored
    /// nevertheless.
    fn resolve_failed_commit(&mut self, batch: &[Record], what: String) -> StoreResult<()> {
        let reopened = catch_panic(|| {
            let database = self.backend.open()?;
            let version = load::load_version(&database)?;
            Ok((database, version))
        });
        let Ok((database, stored)) = reopened else {
            return Err(StoreFault::Unknown { what });
        };
        self.database = Some(database);
        match last_version(batch) {
            Some(last) if last == stored && last != self.version => {
                self.version = stored;
                Ok(())
            }
            _ => Err(StoreFault::Disk { what }),
        }
    }

    /// Reads and checks all stored contents again.
    pub fn read(&mut self) -> Result<StoreContents, StoreFault> {
        let database = self.take_database()?;
        let contents = catch_panic(|| load::load(&database));
        self.database = Some(database);
        contents
    }

    fn take_database(&mut self) -> StoreResult<Database> {
        match self.database.take() {
            Some(database) => Ok(database),
            None => self.backend.open(),
        }
    }
}

/// Returns the version of the catalog after a batch; `None` if the batch does not change the
/// catalog.
fn last_version(batch: &[Record]) -> Option<Version> {
    batch.iter().rev().find_map(|record| match record {
        Record::Revision(revision) | Record::EpochForced(revision) => Some(revision.version),
        Record::Snapshot { version, .. } => Some(*version),
        _ => None,
    })
}
