//! The constants of the file format, and the functions that its reader and its writers share.

use crate::store::StoreFault;
use std::fmt::Display;
use std::fs::File;
use std::io;
use std::path::Path;

/// Format number of the file.
pub(super) const FORMAT: u32 = 1;
/// Bytes of the largest part, which is a volume or a revision. With a smaller limit a valid
/// snapshot could be rejected; with a larger one a damaged length could occupy more memory.
pub(super) const MAX_PART_BYTES: usize = 64 << 20;

/// Returns the fault of a disk that fails, with the path of the file.
pub(super) fn disk(path: &Path, error: &io::Error) -> StoreFault {
    StoreFault::Disk {
        what: format!("{}: {error}", path.display()),
    }
}

/// Returns the fault of a file whose contents differ from those that were written.
pub(super) fn damaged(path: &Path, what: impl Display) -> StoreFault {
    StoreFault::Damaged {
        what: format!("{}: {what}", path.display()),
    }
}

/// Makes a rename within a file's folder durable.
pub(super) fn sync_folder(path: &Path) -> io::Result<()> {
    let folder = path
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()
}
