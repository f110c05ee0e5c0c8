//! Errors in the input. Their texts use the protocol's names of messages and fields.

use grebecleat_adapter::settings::SettingError;
use std::io;

/// An error in the input, with its line number.
#[derive(Debug, thiserror::Error)]
#[error("line {number}: {error}")]
pub struct LineError {
    /// Line number, from 1.
    pub number: u64,
    /// The error in the line.
    #[source]
    pub error: WireError,
}

/// An error in a line of the input.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The input cannot be read.
    #[error("cannot read the input: {0}")]
    Io(#[from] io::Error),
    /// The line is not valid UTF-8.
    #[error("not UTF-8")]
    NotUtf8,
    /// The protocol has no message of this name.
    #[error("unknown message {0}")]
    UnknownMessage(String),
    /// A required value is absent.
    #[error("{message} lacks {field}")]
    MissingValue {
        /// Name of the message.
        message: String,
        /// Name of the field.
        field: &'static str,
    },
    /// A value cannot be parsed.
    #[error("{message} has a bad {field}: {value}")]
    BadValue {
        /// Name of the message.
        message: String,
        /// Name of the field.
        field: &'static str,
        /// The value found.
        value: String,
    },
    /// A value cannot be decoded. The error omits the value because it may be long.
    #[error("{message} has a bad {field}")]
    BadEncoding {
        /// Name of the message.
        message: String,
        /// Name of the field.
        field: &'static str,
    },
    /// The line has more values than its message allows.
    #[error("{0} has too many values")]
    TooManyValues(String),
    /// The message is for a host that was not created.
    #[error("{message} for unknown host {host}")]
    UnknownHost {
        /// Name of the message.
        message: String,
        /// Name of the host.
        host: String,
    },
    /// An attempt ended with an unknown result code.
    #[error("unknown result code {0}")]
    UnknownResult(u32),
    /// A request uses a traffic class or a plan that the settings of its host do not define.
    #[error("KNOCK has a cls or policy-no that the settings of its host do not define")]
    UndefinedClassOrPlan,
    /// A message is outside a batch.
    #[error("{0} outside a batch")]
    OutsideBatch(String),
    /// A batch begins before the previous batch has ended.
    #[error("a batch begins inside a batch")]
    NestedBatch,
    /// The input ends before the last batch has ended.
    #[error("input ends inside a batch")]
    UnfinishedBatch,
    /// An endpoint update has fewer entries than announced.
    #[error("expected {remaining} more ENTRY lines, found {found}")]
    MissingEntries {
        /// Number of missing entries.
        remaining: usize,
        /// Name of the message in their place.
        found: String,
    },
    /// A start-up setting cannot be parsed.
    #[error(transparent)]
    Setting(#[from] SettingError),
}
