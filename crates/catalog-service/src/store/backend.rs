//! Opens the database, on a file or on a simulated disk of a test.

use super::damage::Damage;
use super::fault::{damaged, disk, StoreResult};
use super::migrate::migrate;
use redb::{Builder, Database, StorageBackend};
use std::panic::AssertUnwindSafe;
use std::path::{Path, PathBuf};

/// Size of the database's page cache. A smaller cache reads pages from the disk more often; a
/// larger one takes memory from the rest of the process.
const CACHE_BYTES: usize = 64 << 20;

/// The storage of the database, from which it can be opened again after a failure.
pub(super) enum Backend {
    File(PathBuf),
    /// A disk that a test provides: each call returns the same disk.
    Custom(Box<dyn Fn() -> Box<dyn StorageBackend> + Send>),
}

/// Implements [`StorageBackend`] for a boxed backend, as `redb` takes backends by value.
#[derive(Debug)]
struct BoxedBackend(Box<dyn StorageBackend>);

impl StorageBackend for BoxedBackend {
    fn len(&self) -> Result<u64, std::io::Error> {
        self.0.len()
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), std::io::Error> {
        self.0.read(offset, out)
    }
    fn set_len(&self, len: u64) -> Result<(), std::io::Error> {
        self.0.set_len(len)
    }
    fn sync_data(&self) -> Result<(), std::io::Error> {
        self.0.sync_data()
    }
    fn write(&self, offset: u64, data: &[u8]) -> Result<(), std::io::Error> {
        self.0.write(offset, data)
    }
    fn close(&self) -> Result<(), std::io::Error> {
        self.0.close()
    }
}

impl Backend {
    /// Opens the database and checks all its pages. Creates the file if it does not exist.
    pub fn open(&self) -> StoreResult<Database> {
        let mut builder = Builder::new();
        builder.set_cache_size(CACHE_BYTES);
        // Checks every page: without the check, opening trusts the pages, and damage may fail an
        // operation much later.
        builder.set_check_integrity_on_open(true);
        match self {
            Backend::File(path) => {
                if !path.exists() {
                    create_file(&builder, path)?;
                }
                Ok(builder.open(path)?)
            }
            Backend::Custom(backend) => Ok(builder.create_with_backend(BoxedBackend(backend()))?),
        }
    }
}

/// Creates a file under a temporary name and then renames it, so that a file whose creation was
/// interrupted is never opened as a store.
fn create_file(builder: &Builder, path: &Path) -> StoreResult<()> {
    let temporary = path.with_extension("making");
    let _ = std::fs::remove_file(&temporary);
    migrate(&mut builder.create(&temporary)?)?;
    std::fs::rename(&temporary, path).map_err(disk)
}

/// Turns a panic into a fault: the database library can panic on a damaged file.
pub(super) fn catch_panic<T>(operation: impl FnOnce() -> StoreResult<T>) -> StoreResult<T> {
    let payload = match std::panic::catch_unwind(AssertUnwindSafe(operation)) {
        Ok(result) => return result,
        Err(payload) => payload,
    };
    if let Some(message) = payload.downcast_ref::<String>() {
        let text = message.clone();
        return Err(damaged(Damage::Database { text }));
    }
    if let Some(message) = payload.downcast_ref::<&str>() {
        let text = message.to_string();
        return Err(damaged(Damage::Database { text }));
    }
    Err(damaged(Damage::Unreadable))
}
