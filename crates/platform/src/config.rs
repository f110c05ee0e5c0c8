//! The configuration that the platform passes to a host at startup: a JSON file, whose path is in an
//! environment variable.
//!
//! [`Config::read`] is the entry point. The object `settings` of the file is the one that the users'
//! simulator passes to its adapter. This module flattens it to the simulator's pairs of path and value
//! (`document`) and parses them with the adapter's parser (`settings`), so that defaults cannot differ
//! between the two. This module parses the other values (names, timeouts, limits of this process)
//! itself. A file with any error is rejected as a whole. An error names the file, the path in it, and
//! the fault.

mod descriptors;
mod document;
mod error;
mod memory;
mod settings;

pub use descriptors::Descriptors;
pub use error::{ConfigError, SettingsError, ValueError};
pub use memory::MemoryLimits;
pub use settings::{ClassProtocol, MAX_LIST_STALENESS};

use document::{flatten, Document};
use grebecleat_adapter::settings::SettingValues;
use grebecleat_settings::Settings;
use serde_json::Value;
use settings::{read_settings, Process};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The environment variable that holds the path of the configuration file.
const CONFIG_FILE_VARIABLE: &str = "LB_CONFIG";
/// The accepted range of the host's memory limit, in megabytes.
const MEMORY_RANGE_MB: RangeInclusive<u64> = 8..=1 << 24;
/// The accepted range of the host's limit on file descriptors.
const SOCKETS_RANGE: RangeInclusive<u64> = 48..=1 << 20;

/// A host's configuration.
#[derive(Debug, Clone)]
pub struct Config {
    /// The host's name.
    pub name: String,
    /// The address at which it listens for clients.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The seed of its random numbers, which the platform draws anew for each start.
    pub seed: u64,
    /// How its file descriptors are divided.
    pub descriptors: Descriptors,
    /// How its memory is divided.
    pub memory: MemoryLimits,
    /// The endpoint list that the platform cached before the start, as JSON of the form that discovery
    /// sends.
    pub cached_endpoints: Option<Vec<u8>>,
    /// The traffic classes, in the settings' order.
    pub traffic_classes: Vec<ClassProtocol>,
    /// The settings of the scheduler and the router.
    pub settings: Arc<Settings>,
}

impl Config {
    /// Reads the file that the environment variable names. Returns the file's path too.
    pub fn from_env() -> Result<(PathBuf, Self), ConfigError> {
        let path = std::env::var_os(CONFIG_FILE_VARIABLE).ok_or(ConfigError::MissingVariable)?;
        let path = PathBuf::from(path);
        let config = Config::load(&path)?;
        Ok((path, config))
    }

    /// Reads a configuration file.
    pub fn load(file: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read(file).map_err(|source| ConfigError::Unreadable {
            file: file.to_path_buf(),
            source,
        })?;
        Config::read(file, &text)
    }

    /// Parses the text of a configuration file. Errors name the path `file`.
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
        let descriptors = Descriptors::of(sockets);
        let memory = MemoryLimits::of(memory_mb << 20, &descriptors);
        let process = Process {
            name: &name,
            listen,
            discovery,
            memory,
            descriptors,
        };
        let read = read_settings(&process, &SettingValues::of(pairs))
            .map_err(|error| document.error("settings", error.into()))?;
        Ok(Config {
            name,
            listen,
            discovery,
            seed,
            descriptors,
            memory,
            cached_endpoints,
            traffic_classes: read.traffic_classes,
            settings: Arc::new(read.settings),
        })
    }
}

#[cfg(test)]
pub(crate) mod tests;
