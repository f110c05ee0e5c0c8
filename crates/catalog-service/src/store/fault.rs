//! The faults of a store.
//!
//! Every operation of [`crate::store::Store`] and of [`crate::snapshot`] returns them, and
//! operators read their texts. This module alone translates the errors of the database library.

use super::schema::SCHEMA;
use std::fmt;

/// The reason why a store cannot serve. Operators see its text.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreFault {
    /// Another process has the file open.
    #[error("in use by another process")]
    Locked,
    /// The file was written by a newer program.
    #[error("of schema {schema}, and this program knows up to {SCHEMA}; use a newer program")]
    Newer {
        /// Schema number (of a snapshot: its format number) found in the file.
        schema: u64,
    },
    /// The contents differ from those that were written: a bad checksum, a missing or an older
    /// record.
    #[error("damaged: {what}; restore it from a snapshot")]
    Damaged {
        /// The place and the damage.
        what: String,
    },
    /// The disk is full, read-only or failing. No record of the batch is stored.
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
pub(super) fn damaged(what: impl fmt::Display) -> StoreFault {
    StoreFault::Damaged {
        what: what.to_string(),
    }
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
            redb::Error::Corrupted(what) => damaged(what),
            redb::Error::Io(error) if error.kind() == std::io::ErrorKind::InvalidData => {
                damaged("it is no store, or its head is gone")
            }
            redb::Error::Io(error) => disk(error),
            error @ (redb::Error::TableTypeMismatch { .. }
            | redb::Error::TypeDefinitionChanged { .. }) => damaged(error),
            error => disk(error),
        }
    }
}
