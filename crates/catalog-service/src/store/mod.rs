//! The catalog, its audit log and the placement of extents, in one file that survives crashes.
//!
//! Called as [`Store::open`] at a start, which reads and returns everything, and then
//! [`Store::commit`] with batches of [`Record`]s, each of which is stored completely or not at all
//! when it returns. `redb` is the database: one file, copy on write, atomic commits, no thread and
//! no log of its own. Considered instead: SQLite, which is C and needs its own build; a log of our
//! own, which would be a database written again.
//!
//! What `redb` does not promise is added here. Every record carries a checksum of its key and
//! value, and the file one sum over all of them, so that a byte that rots, a record that goes
//! missing or one that returns from an older page is found at the next start and reported with its
//! place, instead of served. All pages are checked when the file is opened, and nothing is written
//! to a file in which something is wrong.
//!
//! After a commit that failed it is unknown whether it is stored. The file is opened again to see;
//! where even that fails, [`StoreFault::Unknown`] says so, and what is then stored beyond what the
//! caller knows is rolled back with the next batch.
//!
//! Memory: what the caller retains of the contents, and the database's cache of 64 MiB.

mod backend;
mod batch;
mod checksum;
mod commit;
mod extent_chunk;
mod fault;
mod load;
mod migrate;
mod record;
mod schema;

pub use fault::StoreFault;
pub use record::{ExtentsByVolume, Record, StoreContents, StoredState};

use backend::{catch_panic, Backend};
use fault::StoreResult;
use grebecleat_catalog::records::Version;
use redb::{Database, StorageBackend};
use std::path::Path;

/// An open store. One process at a time has a file open.
pub struct Store {
    backend: Backend,
    /// None after a failure, until it could be opened again.
    database: Option<Database>,
    max_audit_log: u64,
    /// The version that the caller knows to be stored.
    version: Version,
}

impl Store {
    /// Opens the file, or creates it, and reads everything in it.
    ///
    /// `max_audit_log`: revisions that remain in the audit log, besides all that are not yet
    /// stable. Any [`StoreFault`] but `Unknown` is possible.
    pub fn open(path: &Path, max_audit_log: u64) -> Result<(Store, StoreContents), StoreFault> {
        Store::open_backend(Backend::File(path.to_path_buf()), max_audit_log)
    }

    /// The same on a disk that a test provides.
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

    /// Stores a batch, completely or not at all. After a fault it may be called again.
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

    /// Opens the file again after a disk fault, to see whether the batch arrived nevertheless.
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

    /// Reads and checks everything again, as it is stored.
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

/// The version of the catalog that a batch leads to; None if it does not change the catalog.
fn last_version(batch: &[Record]) -> Option<Version> {
    batch.iter().rev().find_map(|record| match record {
        Record::Revision(revision) | Record::EpochForced(revision) => Some(revision.version),
        Record::Snapshot { version, .. } => Some(*version),
        _ => None,
    })
}
