//! Errors of the input. Their texts name the message and the field as the wire does.

use grebecleat_adapter::settings::SettingError;
use std::io;

/// A fault of the input, with its line.
#[derive(Debug, thiserror::Error)]
#[error("line {number}: {error}")]
pub struct LineError {
    /// Number of the line, from 1.
    pub number: u64,
    /// The fault.
    #[source]
    pub error: WireError,
}

/// A fault of a line.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The input cannot be read.
    #[error("cannot read: {0}")]
    Io(#[from] io::Error),
    /// The line is not text.
    #[error("not UTF-8")]
    NotUtf8,
    /// No message has this name.
    #[error("unknown message {0}")]
    UnknownMessage(String),
    /// A value is absent.
    #[error("{message} lacks {field}")]
    MissingValue {
        /// Name of the message.
        message: String,
        /// Name of the value.
        field: &'static str,
    },
    /// A value cannot be parsed.
    #[error("{message} has a bad {field}: {value}")]
    BadValue {
        /// Name of the message.
        message: String,
        /// Name of the value.
        field: &'static str,
        /// The value.
        value: String,
    },
    /// A value cannot be decoded, and is too long to be shown.
    #[error("{message} has a bad {field}")]
    BadEncoding {
        /// Name of the message.
        message: String,
        /// Name of the value.
        field: &'static str,
    },
    /// The line has more values than its message.
    #[error("{0} has too many values")]
    TooManyValues(String),
    /// No host of this name was created.
    #[error("{message} for unknown host {host}")]
    UnknownHost {
        /// Name of the message.
        message: String,
        /// Name of the host.
        host: String,
    },
    /// An attempt ended with a code that has no meaning.
    #[error("unknown result {0}")]
    UnknownResult(u32),
    /// A request names a traffic class or plan beyond the settings.
    #[error("KNOCK names a cls or policy-no that no setting describes")]
    UndescribedClassOrPlan,
    /// A message stands outside a batch.
    #[error("{0} outside a batch")]
    OutsideBatch(String),
    /// A batch begins before the last one has ended.
    #[error("a batch begins inside a batch")]
    NestedBatch,
    /// The input ends before its last batch.
    #[error("input ends inside a batch")]
    UnfinishedBatch,
    /// An endpoint update has fewer entries than announced.
    #[error("expected {remaining} more ENTRY lines, found {found}")]
    MissingEntries {
        /// Number of entries that are absent.
        remaining: usize,
        /// Name of the message in their place.
        found: String,
    },
    /// A start-up setting cannot be parsed.
    #[error(transparent)]
    Setting(#[from] SettingError),
}
