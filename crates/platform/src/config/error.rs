//! What can be wrong with a configuration.

use grebecleat_adapter::settings::SettingError;
use std::io;
use std::path::PathBuf;

/// Why a configuration is not taken.
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
        /// Why.
        source: io::Error,
    },
    /// The file is not JSON.
    #[error("{}: is no JSON: {source}", file.display())]
    NotJson {
        /// The file.
        file: PathBuf,
        /// Where, and what was expected.
        source: serde_json::Error,
    },
    /// A value is absent or bad.
    #[error("{}: {path}: {problem}", file.display())]
    Value {
        /// The file.
        file: PathBuf,
        /// The value's path in it, its parts joined by dots.
        path: String,
        /// What is wrong with it.
        problem: ValueError,
    },
}

/// What is wrong with a value.
#[derive(Debug, thiserror::Error)]
pub enum ValueError {
    /// There is none.
    #[error("missing")]
    Missing,
    /// There is no object.
    #[error("missing; expected an object")]
    MissingObject,
    /// It is not a text that holds something.
    #[error("expected a text, found {0}")]
    NotText(serde_json::Value),
    /// It is not an address with a port.
    #[error("expected an address and port, found {0}")]
    NotAddress(String),
    /// It is not a hexadecimal number of 64 bits.
    #[error("expected hex digits, found {0}")]
    NotHex(String),
    /// It is not a number in its range.
    #[error("expected a number from {least} to {most}, found {found}")]
    OutOfRange {
        /// The least that it may be.
        least: u64,
        /// The most that it may be.
        most: u64,
        /// What it is.
        found: serde_json::Value,
    },
    /// The settings cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// Why settings cannot be used. Paths are the settings' own, their parts joined by dots.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// A list has no entry.
    #[error("{list}: none; expected at least one")]
    Empty {
        /// The list's path.
        list: &'static str,
    },
    /// A span is zero or absent.
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
