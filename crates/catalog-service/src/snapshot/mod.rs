//! Snapshots: writes a store as one plain file, and restores a store from it.
//!
//! A snapshot is written under a temporary name, and renamed after it is complete on the disk. The
//! last complete snapshot therefore exists at every moment. A snapshot consists of frames with
//! checksums, and a tail that counts them; the reader thus detects a truncated file.
//!
//! A restore builds a new store under a temporary name. It renames the former store and never
//! deletes it. A restored store begins a new epoch, because hosts may have followed versions that the
//! snapshot does not contain.
//!
//! The state service calls it for its regular snapshots, and the operator's commands call it. No
//! state.

mod file;
mod read;
mod restore;
mod write;

pub use read::read;
pub use restore::restore;
pub use write::write;
