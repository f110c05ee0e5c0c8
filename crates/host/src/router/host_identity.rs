//! What does not change while this host runs: its settings, its index in the settings' list of
//! hosts, and the seed of its random numbers.

use grebecleat_settings::{Bounds, Settings};
use std::sync::Arc;

/// The settings of this host, its index among the hosts, and its seed.
#[derive(Debug)]
pub(super) struct HostIdentity {
    settings: Arc<Settings>,
    index: usize,
    seed: u64,
}

impl HostIdentity {
    /// Creates the identity of the first host in the settings. `seed` must differ at each start of the
    /// host.
    pub(super) fn new(settings: Arc<Settings>, seed: u64) -> Self {
        HostIdentity {
            settings,
            index: 0,
            seed,
        }
    }

    /// Sets this host's index in the settings' list of hosts.
    pub(super) fn set_index(&mut self, index: usize) {
        self.index = index;
    }

    /// Returns the settings.
    pub(super) fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the bounds in the settings.
    pub(super) fn bounds(&self) -> &Bounds {
        &self.settings.bounds
    }

    /// Returns this host's index in the settings' list of hosts.
    pub(super) fn index(&self) -> usize {
        self.index
    }

    /// Returns the name of this host, which is empty if the settings declare no host with its index.
    pub(super) fn name(&self) -> String {
        let host = self.settings.hosts.get(self.index);
        host.map(|host| host.name.clone()).unwrap_or_default()
    }

    /// Returns the seed of this host's random numbers.
    pub(super) fn seed(&self) -> u64 {
        self.seed
    }
}
