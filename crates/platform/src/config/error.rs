//! Errors of reading a configuration.

use grebecleat_adapter::settings::SettingError;
use std::io;
use std::path::PathBuf;

/// An error in the configuration or in reading it.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The variable that names the file is not set.
    #[error("LB_CONFIG: missing; expected the path of the configuration file")]
    MissingVariable,
    /// The file cannot be read.
    #[error("{}: cannot read: {source}", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file is not JSON.
    #[error("{}: is no JSON: {source}", file.display())]
    NotJson {
        /// The file.
        file: PathBuf,
        /// The parse error, with its position in the file.
        source: serde_json::Error,
    },
    /// A value is absent or invalid.
    #[error("{}: {path}: {problem}", file.display())]
    Value {
        /// The file.
        file: PathBuf,
        /// The value's path in the file, its parts joined by dots.
        path: String,
        /// The fault.
        problem: ValueError,
    },
}

/// An error in one value of the configuration.
#[derive(Debug, thiserror::Error)]
pub enum ValueError {
    /// The value is absent.
    #[error("missing")]
    Missing,
    /// The object is absent, or the value is not an object.
    #[error("missing; expected an object")]
    MissingObject,
    /// The value is not a string, or it is empty.
    #[error("expected a text, found {0}")]
    NotText(serde_json::Value),
    /// The value is not an IP address with a port.
    #[error("expected an address and port, found {0}")]
    NotAddress(String),
    /// The value is not a hexadecimal number of at most 64 bits.
    #[error("expected hex digits, found {0}")]
    NotHex(String),
    /// The value is not a number within its range.
    #[error("expected a number from {least} to {most}, found {found}")]
    OutOfRange {
        /// The smallest allowed value.
        least: u64,
        /// The largest allowed value.
        most: u64,
        /// The value that was found.
        found: serde_json::Value,
    },
    /// The object `settings` is invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// An error in the object `settings`. Paths are relative to that object, their parts joined by dots.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// A list has no entries.
    #[error("{list}: none; expected at least one")]
    Empty {
        /// The list's path.
        list: &'static str,
    },
    /// A time span is zero or absent.
    #[error("{path}: expected a span above zero")]
    ZeroSpan {
        /// The path of the time span.
        path: String,
    },
    /// The maximum or mean size of requests is zero or absent.
    #[error("family-info.largest, family-info.mean-units: expected numbers above zero")]
    NoUnits,
    /// A name is absent.
    #[error("{path}: missing")]
    MissingName {
        /// The name's path.
        path: String,
    },
    /// A value that the adapter's parser reads is malformed.
    #[error(transparent)]
    Shared(#[from] SettingError),
}
