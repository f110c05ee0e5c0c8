//! The errors of a store.
//!
//! Every operation of [`crate::store::Store`] and of [`crate::snapshot`] returns them, and
//! operators read their texts. Only this module converts the errors of the database library.

use super::damage::Damage;
use super::schema::SCHEMA;
use std::fmt;

/// The error of an operation on a store or a snapshot. Operators see its text.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum StoreFault {
    /// Another process has the file open.
    #[error("in use by another process")]
    Locked,
    /// The file was written by a newer program.
    #[error("found schema {schema}, expected at most {SCHEMA}; use a newer program")]
    Newer {
        /// Schema number (of a snapshot: its format number) found in the file.
        schema: u64,
    },
    /// The contents differ from those that were written: for instance a wrong checksum, a missing
    /// record, or a stale one.
    #[error("damaged: {damage}; restore it from a snapshot")]
    Damaged {
        /// The corruption, with its place.
        #[source]
        damage: Damage,
    },
    /// The disk is full, read-only or failing, or a revision does not follow the stored version. No
    /// record of the batch is stored.
    #[error("{what}")]
    Disk {
        /// The error of the disk.
        what: String,
    },
    /// The disk failed. Whether the batch is stored is unknown until the disk works again.
    #[error("{what}; whether it arrived shows when the disk works again")]
    Unknown {
        /// The error of the disk.
        what: String,
    },
}

/// The result of an operation on a store.
pub(crate) type StoreResult<T> = Result<T, StoreFault>;

/// Returns the fault of contents that differ from those that were written.
pub(crate) fn damaged(damage: impl Into<Damage>) -> StoreFault {
    StoreFault::Damaged {
        damage: damage.into(),
    }
}

/// Returns the fault of a corruption that the database library found.
fn database_damage(text: impl fmt::Display) -> StoreFault {
    damaged(Damage::Database {
        text: text.to_string(),
    })
}

/// Returns the fault of a disk that fails.
pub(super) fn disk(what: impl fmt::Display) -> StoreFault {
    StoreFault::Disk {
        what: what.to_string(),
    }
}

impl<T: Into<redb::Error>> From<T> for StoreFault {
    fn from(error: T) -> Self {
        match error.into() {
            redb::Error::DatabaseAlreadyOpen => StoreFault::Locked,
            redb::Error::Corrupted(what) => database_damage(what),
            redb::Error::Io(error) if error.kind() == std::io::ErrorKind::InvalidData => {
                damaged(Damage::NotAStore)
            }
            redb::Error::Io(error) => disk(error),
            error @ (redb::Error::TableTypeMismatch { .. }
            | redb::Error::TypeDefinitionChanged { .. }) => database_damage(error),
            error => disk(error),
        }
    }
}
