//! A store as one plain file, and back.
//!
//! A snapshot is written under another name and moved once it is complete on the disk, so that the last
//! complete one exists at every moment. It consists of frames with checksums, and of a tail that counts them:
//! one that was cut short is recognised. Restoring builds a new store under another name; the old store is
//! moved aside and never deleted. A restored store begins a new epoch, since hosts may have followed versions
//! that the snapshot does not know.
//!
//! Called by the state service for its regular snapshots, and by the operator's commands. No state.

mod read;
mod restore;
mod write;

pub use read::read;
pub use restore::restore;
pub use write::write;

use crate::store::StoreFault;
use std::fmt::Display;
use std::fs::File;
use std::io;
use std::path::Path;

/// Format number of the file.
const FORMAT: u32 = 1;
/// Bytes of the largest part: a volume, or a revision.
const MAX_PART_BYTES: usize = 64 << 20;

fn disk(path: &Path, error: &io::Error) -> StoreFault {
    StoreFault::Disk {
        what: format!("{}: {error}", path.display()),
    }
}

fn damaged(path: &Path, what: impl Display) -> StoreFault {
    StoreFault::Damaged {
        what: format!("{}: {what}", path.display()),
    }
}

/// Makes a move within a file's folder durable.
fn sync_folder(path: &Path) -> io::Result<()> {
    let folder = path
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()
}
