//! Servers of the testbed: they run the models of the nodes and of the discovery service on
//! sockets.
//!
//! `grebecleat node` and `grebecleat discovery-service` call them, each in a separate process.
//! Each server is one loop that owns its model and its connections; the threads of [`crate::net`]
//! send it events.

mod discovery_server;
mod node_server;

pub use discovery_server::run_discovery_service;
pub use node_server::run_nodes;

use crate::draw::{injected_faults, InjectedFault};
use crate::net::PeerEvent;
use grebecleat_settings::Settings;
use grebecleat_wire::clock;
use grebecleat_wire::trace::Tracer;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::sync::Arc;
use std::time::Duration;

/// Longest wait of a loop. A longer wait delays the models' timed actions; a shorter one costs
/// processor time.
const TICK: Duration = Duration::from_millis(20);
/// Limit on the events that a loop handles before its model advances, beyond the first. A larger
/// limit delays the model under load.
const MAX_EVENT_BATCH: usize = 1024;
/// The seed of a script without a scenario.
const DEFAULT_SEED: u64 = 1;

/// The script that a server runs.
#[derive(Debug, Clone)]
pub struct ScriptContext {
    /// The script's settings.
    pub settings: Arc<Settings>,
    /// The machine's clock at the start of the scenario.
    pub t0: Duration,
    /// The trace of the process.
    pub tracer: Tracer,
}

impl ScriptContext {
    fn seed(&self) -> u64 {
        let script = self.settings.rehearsal.as_ref();
        script.map_or(DEFAULT_SEED, |script| script.seed)
    }

    fn injected_faults(&self) -> Vec<InjectedFault> {
        let script = self.settings.rehearsal.as_ref();
        script.map_or_else(Vec::new, |script| injected_faults(&self.settings, script))
    }

    /// Returns the time since the start of the scenario.
    fn now(&self) -> Duration {
        clock::now().saturating_sub(self.t0)
    }
}

/// Waits for events. Returns none of them after a timeout, and `None` if no sender is left.
fn receive_batch(events: &Receiver<PeerEvent>, timeout: Duration) -> Option<Vec<PeerEvent>> {
    match events.recv_timeout(timeout) {
        Ok(first) => {
            let further = events.try_iter().take(MAX_EVENT_BATCH);
            Some(std::iter::once(first).chain(further).collect())
        }
        Err(RecvTimeoutError::Timeout) => Some(Vec::new()),
        Err(RecvTimeoutError::Disconnected) => None,
    }
}
