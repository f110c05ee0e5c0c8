//! The format's constants, and what its reader and its writers share.

use crate::store::StoreFault;
use std::fmt::Display;
use std::fs::File;
use std::io;
use std::path::Path;

/// Format number of the file.
pub(super) const FORMAT: u32 = 1;
/// Bytes of the largest part: a volume, or a revision.
pub(super) const MAX_PART_BYTES: usize = 64 << 20;

/// The fault of a disk that fails, with the file.
pub(super) fn disk(path: &Path, error: &io::Error) -> StoreFault {
    StoreFault::Disk {
        what: format!("{}: {error}", path.display()),
    }
}

/// The fault of a file that cannot be what was written.
pub(super) fn damaged(path: &Path, what: impl Display) -> StoreFault {
    StoreFault::Damaged {
        what: format!("{}: {what}", path.display()),
    }
}

/// Makes a move within a file's folder durable.
pub(super) fn sync_folder(path: &Path) -> io::Result<()> {
    let folder = path
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()
}
