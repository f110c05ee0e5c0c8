//! The damage that a check of a store or of a snapshot finds, with its place.

use crate::codec::DecodeError;
use std::fmt;
use std::path::PathBuf;

/// The place of a damaged record. Its text is part of the fault that operators see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordPlace {
    /// The record of a subject; the first byte of its key, if it has one.
    Change {
        /// The kind of the subject.
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
                write!(formatter, "a record of kind {:?}", kind.as_ref())
            }
            RecordPlace::Revision { version } => {
                write!(formatter, "entry {version} of the trail")
            }
            RecordPlace::Extents { volume, first } => {
                write!(
                    formatter,
                    "the record of extents {first} on of volume {volume}"
                )
            }
        }
    }
}

/// The reason why the bytes of a record are no change and no revision.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ContentError {
    /// The bytes are no protobuf message.
    #[error(transparent)]
    Message(#[from] prost::DecodeError),
    /// The message is no change or no revision.
    #[error(transparent)]
    Content(#[from] DecodeError),
}

/// A damage of a store or of a snapshot. Operators see its text.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Damage {
    /// The database library found the damage; the library's text.
    #[error("{text}")]
    Database {
        /// The library's text.
        text: String,
    },
    /// The database library panicked without a text.
    #[error("it cannot be read")]
    Unreadable,
    /// The file is no database.
    #[error("it is no store, or its head is gone")]
    NoStore,
    /// A record is shorter than its checksum.
    #[error("{place} is cut short")]
    CutShort {
        /// The record.
        place: RecordPlace,
    },
    /// The checksum of a record is wrong.
    #[error("{place} has a wrong checksum")]
    WrongChecksum {
        /// The record.
        place: RecordPlace,
    },
    /// The checksum of a record is right, but its value is invalid.
    #[error("{place} makes no sense")]
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
    /// A stored revision that has to be undone cannot be decoded.
    #[error(transparent)]
    Content(#[from] ContentError),
    /// A record has the key of another subject.
    #[error("{subject} stands in the place of another")]
    WrongKey {
        /// The subject, as text.
        subject: String,
    },
    /// A revision does not follow the one before it.
    #[error("{place} does not follow the one before it")]
    WrongOrder {
        /// The revision.
        place: RecordPlace,
    },
    /// A revision is missing.
    #[error("entry {version} is missing")]
    MissingRevision {
        /// The revision's version.
        version: u64,
    },
    /// The audit log does not reach the version of the catalog.
    #[error("the trail ends before version {version}")]
    ShortAuditLog {
        /// The version of the catalog.
        version: u64,
    },
    /// The file has a figure of an unknown name.
    #[error("a figure named {name}")]
    UnknownFigure {
        /// The figure's name.
        name: String,
    },
    /// The sum over all records is wrong.
    #[error("records are missing, or older than the rest")]
    WrongSum,
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

/// A damage of a snapshot. Operators see its text.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum SnapshotDamage {
    /// A frame is invalid.
    #[error("after {parts} parts: {fault}")]
    Frame {
        /// Number of valid parts before the frame.
        parts: u64,
        /// The frame's fault.
        #[source]
        fault: grebecleat_wire::frame::FrameFault,
    },
    /// The file has no tail.
    #[error("it ends early")]
    CutShort,
    /// The file continues after its tail.
    #[error("it goes on after its end")]
    PartAfterTail,
    /// A part is no change or no revision.
    #[error(transparent)]
    Content(#[from] DecodeError),
    /// The number or the checksum of the parts is wrong.
    #[error("parts are missing")]
    MissingParts,
    /// The file does not begin with a head, or has an unknown part.
    #[error("it is no snapshot")]
    NoSnapshot,
    /// The numbers of a run of extents are too large.
    #[error("extents without end")]
    EndlessExtents,
}
