//! What the platform passes to a host at its start: a variable, and the file that it names.
//!
//! Begin with [`Config::read`]. The settings are the object that the users' bench gives its
//! adapter; they are flattened to the bench's pairs (`document`) and read by the adapter's own
//! reader (`settings`), so that no default can differ between the two. What is not there (names,
//! waits, limits of this process) is read here, and a file is taken completely or not at all. An
//! error names the file, the path in it, and what is wrong.

mod descriptors;
mod document;
mod error;
mod settings;

pub use descriptors::Descriptors;
pub use error::{ConfigError, SettingsError, ValueError};
pub use settings::{ClassProtocol, DISCOVERY_TERM};

use document::{flatten, Document};
use grebecleat_adapter::settings::Pairs;
use grebecleat_settings::Settings;
use serde_json::Value;
use settings::{read_settings, Process};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The variable that names the configuration's file.
const FILE_VARIABLE: &str = "LB_CONFIG";
/// Megabytes of memory that the platform may allow a host.
const MEMORY_RANGE_MB: RangeInclusive<u64> = 8..=1 << 24;
/// Descriptors that the platform may allow a host.
const SOCKETS_RANGE: RangeInclusive<u64> = 48..=1 << 20;

/// A host's configuration.
#[derive(Debug, Clone)]
pub struct Config {
    /// The host's name.
    pub name: String,
    /// Where it listens for clients.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Seed of its random numbers, new at each start.
    pub seed: u64,
    /// How its descriptors are shared out.
    pub descriptors: Descriptors,
    /// The endpoint list as this host last had it, in discovery's form.
    pub cached_endpoints: Option<Vec<u8>>,
    /// The traffic classes, in the settings' order.
    pub traffic_classes: Vec<ClassProtocol>,
    /// The settings of the decisions and the router.
    pub settings: Arc<Settings>,
}

impl Config {
    /// From the file that the variable names, which is returned too.
    ///
    /// Errors: see [`ConfigError`].
    pub fn from_env() -> Result<(PathBuf, Self), ConfigError> {
        let path = std::env::var_os(FILE_VARIABLE).ok_or(ConfigError::MissingVariable)?;
        let path = PathBuf::from(path);
        let config = Config::load(&path)?;
        Ok((path, config))
    }

    /// From a file.
    ///
    /// Errors: see [`ConfigError`].
    pub fn load(file: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read(file).map_err(|source| ConfigError::Unreadable {
            file: file.to_path_buf(),
            source,
        })?;
        Config::read(file, &text)
    }

    /// From a file's text; `file` is named in errors.
    ///
    /// Errors: see [`ConfigError`].
    pub fn read(file: &Path, text: &[u8]) -> Result<Self, ConfigError> {
        let document = Document::parse(file, text)?;
        let name = document.text("name")?.to_string();
        let listen = document.address("listen")?;
        let discovery = document.address("discovery")?;
        let seed = document.hex("seed")?;
        let memory_mb = document.number(&["limits", "memory_mb"], MEMORY_RANGE_MB)? as usize;
        let sockets = document.number(&["limits", "sockets"], SOCKETS_RANGE)? as usize;
        let cached_endpoints = match document.get("known") {
            None | Some(Value::Null) => None,
            Some(cached) => Some(cached.to_string().into_bytes()),
        };
        let Some(settings @ Value::Object(_)) = document.get("settings") else {
            return Err(document.error("settings", ValueError::MissingObject));
        };
        let pairs = flatten(settings);
        let pairs = pairs
            .iter()
            .map(|(path, value)| (path.as_str(), value.as_str()));
        let process = Process {
            name: &name,
            listen,
            discovery,
            memory_mb,
            descriptors: Descriptors::of(sockets),
        };
        let read = read_settings(&process, &Pairs::of(pairs))
            .map_err(|error| document.error("settings", error.into()))?;
        let descriptors = process.descriptors;
        Ok(Config {
            name,
            listen,
            discovery,
            seed,
            descriptors,
            cached_endpoints,
            traffic_classes: read.traffic_classes,
            settings: Arc::new(read.settings),
        })
    }
}

#[cfg(test)]
pub(crate) mod tests;
