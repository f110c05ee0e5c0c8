//! The facts about this host that do not change while it runs.
//!
//! Called by the router. State: the settings, this host's index among the hosts of the settings, and
//! the seed of its random choices.

use grebecleat_settings::{Bounds, Settings};
use std::sync::Arc;

/// The settings of this host, and its place among the hosts.
#[derive(Debug)]
pub(super) struct HostIdentity {
    settings: Arc<Settings>,
    index: usize,
    seed: u64,
}

impl HostIdentity {
    /// The first of the settings' hosts. `seed` differs at each start of the host.
    pub(super) fn new(settings: Arc<Settings>, seed: u64) -> Self {
        HostIdentity {
            settings,
            index: 0,
            seed,
        }
    }

    /// Sets this host's index among the settings' hosts.
    pub(super) fn set_index(&mut self, index: usize) {
        self.index = index;
    }

    /// The settings.
    pub(super) fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The bounds of the settings.
    pub(super) fn bounds(&self) -> &Bounds {
        &self.settings.bounds
    }

    /// This host's index among the settings' hosts.
    pub(super) fn index(&self) -> usize {
        self.index
    }

    /// The name of this host. Empty: the settings declare no such host.
    pub(super) fn name(&self) -> String {
        let host = self.settings.hosts.get(self.index);
        host.map(|host| host.name.clone()).unwrap_or_default()
    }

    /// The seed of this host's random choices.
    pub(super) fn seed(&self) -> u64 {
        self.seed
    }
}
