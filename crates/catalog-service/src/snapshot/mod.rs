//! A store as one plain file, and back.
//!
//! A snapshot is written under another name and moved once it is complete on the disk, so that the
//! last complete one exists at every moment. It consists of frames with checksums, and of a tail
//! that counts them: one that was cut short is recognised. Restoring builds a new store under
//! another name; the old store is moved aside and never deleted. A restored store begins a new
//! epoch, since hosts may have followed versions that the snapshot does not know.
//!
//! Called by the state service for its regular snapshots, and by the operator's commands. No state.

mod file;
mod read;
mod restore;
mod write;

pub use read::read;
pub use restore::restore;
pub use write::write;
