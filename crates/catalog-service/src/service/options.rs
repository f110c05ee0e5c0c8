//! The options with which the state service starts.

use grebecleat_settings::Settings;
use grebecleat_wire::trace::Tracer;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// The options of [`super::serve`].
pub struct Options {
    /// The settings; they must have a `state_service()`.
    pub settings: Arc<Settings>,
    /// Name of the settings file, for the audit log and for errors.
    pub file: String,
    /// Path of the store, which is created if it does not exist.
    pub store: PathBuf,
    /// Address to listen on; with port 0 the system chooses a free port.
    pub listen: SocketAddr,
    /// Records all frames if tracing is on.
    pub tracer: Tracer,
}
