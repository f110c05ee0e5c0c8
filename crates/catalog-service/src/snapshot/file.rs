//! The constants of the snapshot format, and functions that the reader and the writer share.

use crate::store::{self, Damage, SnapshotDamage, StoreFault};
use std::fs::File;
use std::io;
use std::path::Path;

/// Format number of a snapshot.
pub(super) const FORMAT: u32 = 1;
/// Maximum size of a part. The largest parts are volumes and revisions. With a smaller limit a valid
/// snapshot could be rejected; with a larger one a damaged length could occupy more memory.
pub(super) const MAX_PART_BYTES: usize = 64 << 20;

/// Returns the fault of a disk that fails, with the path of the file.
pub(super) fn disk(path: &Path, error: &io::Error) -> StoreFault {
    StoreFault::Disk {
        what: format!("{}: {error}", path.display()),
    }
}

/// Returns the fault of a file whose contents differ from those that were written.
pub(super) fn damaged(path: &Path, damage: impl Into<SnapshotDamage>) -> StoreFault {
    store::damaged(Damage::Snapshot {
        path: path.to_path_buf(),
        damage: damage.into(),
    })
}

/// Syncs the directory of a file, which makes a rename within it durable.
pub(super) fn sync_parent_directory(path: &Path) -> io::Result<()> {
    let directory = path
        .parent()
        .filter(|directory| !directory.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    File::open(directory)?.sync_all()
}
