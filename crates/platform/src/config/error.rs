//! Faults of a configuration.

use grebecleat_adapter::settings::SettingError;
use std::io;
use std::path::PathBuf;

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The variable that names the file is not set.
    #[error("LB_CONFIG: missing; expected the configuration's path")]
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
        /// The place in the file, and the expected token.
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

/// Why a value cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ValueError {
    /// The value is absent.
    #[error("missing")]
    Missing,
    /// The object is absent.
    #[error("missing; expected an object")]
    MissingObject,
    /// The value is not a text, or an empty one.
    #[error("expected a text, found {0}")]
    NotText(serde_json::Value),
    /// The value is not an address with a port.
    #[error("expected an address and port, found {0}")]
    NotAddress(String),
    /// The value is not a hexadecimal number of 64 bits.
    #[error("expected hex digits, found {0}")]
    NotHex(String),
    /// The value is not a number in its range.
    #[error("expected a number from {least} to {most}, found {found}")]
    OutOfRange {
        /// The least allowed value.
        least: u64,
        /// The greatest allowed value.
        most: u64,
        /// The value that was found.
        found: serde_json::Value,
    },
    /// The settings cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// Why settings cannot be used. Paths are paths in the settings, their parts joined by dots.
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
        /// The span's path.
        path: String,
    },
    /// The sizes of requests are zero or absent.
    #[error("family-info.largest, family-info.mean-units: expected numbers above zero")]
    NoUnits,
    /// A name is absent.
    #[error("{path}: missing")]
    MissingName {
        /// The name's path.
        path: String,
    },
    /// A value that the simulator has too cannot be parsed.
    #[error(transparent)]
    Shared(#[from] SettingError),
}
