//! The kinds of corruption that a check of a store or of a snapshot finds, with their places.

use crate::codec::DecodeError;
use std::fmt;
use std::path::PathBuf;

/// The place of a damaged record. Its text is part of the fault that operators see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordPlace {
    /// The record of a subject.
    Change {
        /// The first byte of the record's key, which is the kind of the subject; `None` if the key
        /// is empty.
        kind: Option<u8>,
    },
    /// A revision of the audit log.
    Revision {
        /// The revision's version.
        version: u64,
    },
    /// A chunk of extents.
    Extents {
        /// Number of the volume.
        volume: u64,
        /// The first extent of the chunk.
        first: u64,
    },
}

impl fmt::Display for RecordPlace {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RecordPlace::Change { kind } => {
                write!(formatter, "a state record of kind {:?}", kind.as_ref())
            }
            RecordPlace::Revision { version } => {
                write!(formatter, "entry {version} of the trail")
            }
            RecordPlace::Extents { volume, first } => {
                write!(
                    formatter,
                    "the record of volume {volume} for the extents from {first} on"
                )
            }
        }
    }
}

/// The reason why the bytes of a record cannot be decoded as a change or a revision.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ContentError {
    /// The bytes are not a valid protobuf message.
    #[error(transparent)]
    Message(#[from] prost::DecodeError),
    /// The message is not a valid change or revision.
    #[error(transparent)]
    Content(#[from] DecodeError),
}

/// The corruption that was found in a store or in a snapshot. Operators see its text.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Damage {
    /// The database library reported the corruption, or panicked with a message.
    #[error("{text}")]
    Database {
        /// The library's text.
        text: String,
    },
    /// The database library panicked without a message.
    #[error("the database library panicked without a message while it accessed the file")]
    Unreadable,
    /// The file is not a database.
    #[error("the file is not a store, or its header is damaged")]
    NotAStore,
    /// A record is shorter than its checksum.
    #[error("{place}: expected at least the 4 bytes of its checksum, found fewer")]
    Truncated {
        /// The record.
        place: RecordPlace,
    },
    /// The checksum of a record does not match its key and value.
    #[error("{place} has a wrong checksum")]
    WrongChecksum {
        /// The record.
        place: RecordPlace,
    },
    /// The checksum of a record of extents is correct, but its value is invalid.
    #[error("{place}: its checksum is correct, but it contains an invalid run of extents")]
    Invalid {
        /// The record.
        place: RecordPlace,
    },
    /// A record cannot be decoded.
    #[error("{place}: {error}")]
    Undecodable {
        /// The record.
        place: RecordPlace,
        /// The decoder's error.
        #[source]
        error: ContentError,
    },
    /// A stored revision that has to be rolled back cannot be decoded.
    #[error(transparent)]
    Content(#[from] ContentError),
    /// A record has the key of another subject, or no value.
    #[error("the record of {subject} has the key of another subject, or no value")]
    WrongKey {
        /// The subject, as text.
        subject: String,
    },
    /// A revision does not follow the one before it, or is stored under another version.
    #[error(
        "{place}: it has another version than its key, or does not follow the entry before it"
    )]
    WrongOrder {
        /// The revision.
        place: RecordPlace,
    },
    /// A revision that has to be rolled back is missing.
    #[error("entry {version} of the trail is missing")]
    MissingRevision {
        /// The revision's version.
        version: u64,
    },
    /// The audit log does not end at the version of the catalog.
    #[error("the trail does not end at the version of the catalog, {version}")]
    ShortAuditLog {
        /// The version of the catalog.
        version: u64,
    },
    /// The table `meta` has an unknown key.
    #[error("unknown key {name} in the table meta")]
    UnknownMetaKey {
        /// The key.
        name: String,
    },
    /// The checksum over all records is wrong.
    #[error("wrong checksum over all records: some are missing, or older than the rest")]
    WrongFileChecksum,
    /// A snapshot is damaged.
    #[error("{}: {damage}", path.display())]
    Snapshot {
        /// Path of the snapshot.
        path: PathBuf,
        /// The damage.
        #[source]
        damage: SnapshotDamage,
    },
}

/// The corruption that was found in a snapshot. Operators see its text.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum SnapshotDamage {
    /// A frame is invalid.
    #[error("the frame after {parts} valid parts: {fault}")]
    Frame {
        /// Number of valid parts before the frame.
        parts: u64,
        /// The frame's fault.
        #[source]
        fault: grebecleat_wire::frame::FrameFault,
    },
    /// The file has no tail.
    #[error("the file ends before its tail")]
    Truncated,
    /// The file continues after its tail.
    #[error("the file continues after its tail")]
    PartAfterTail,
    /// A part is not a valid change or revision.
    #[error(transparent)]
    Content(#[from] DecodeError),
    /// The number or the checksum of the parts is wrong.
    #[error("the tail does not match the number or the checksum of the parts before it")]
    MissingParts,
    /// The file does not begin with a head, or has a second head or an unknown part.
    #[error("not a snapshot: the first part is not a head, or a later part is a head or unknown")]
    NotASnapshot,
    /// The end of a run of extents exceeds the range of extent numbers.
    #[error("the end of a run of extents exceeds the largest extent number")]
    ExtentOverflow,
}
