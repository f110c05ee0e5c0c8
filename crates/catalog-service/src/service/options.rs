//! What the state service is started with.

use grebecleat_settings::Settings;
use grebecleat_wire::trace::Tracer;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// What a service is started with.
pub struct Options {
    /// The settings; they must name a `state_service()`.
    pub settings: Arc<Settings>,
    /// How the settings file is named in the audit log.
    pub file: String,
    /// Path of the store, which is created if it does not exist.
    pub store: PathBuf,
    /// Address to listen on; port 0 takes any.
    pub listen: SocketAddr,
    /// Records all frames, if it is on.
    pub tracer: Tracer,
}
