//! Why the state service did not start.

use crate::store::StoreFault;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::RecvError;

/// Why a service did not start. Its text is what operators see.
#[derive(Debug, thiserror::Error)]
pub enum ServiceError {
    /// The settings have no state service.
    #[error("the settings name no state_service()")]
    NotInSettings,
    /// The store cannot serve.
    #[error("store {}: {fault}", path.display())]
    Store {
        /// Path of the store.
        path: PathBuf,
        /// What is wrong with it.
        fault: StoreFault,
    },
    /// The thread of the store ended.
    #[error(transparent)]
    StoreThreadEnded(#[from] RecvError),
    /// The first revision, of what the settings declare, was rejected.
    #[error("{file}: {reason}")]
    DeclarationRejected {
        /// The settings file.
        file: String,
        /// Why it was rejected.
        reason: String,
    },
    /// The address cannot be listened on.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        error: io::Error,
    },
    /// The system does not name the address that the service listens on.
    #[error(transparent)]
    LocalAddress(io::Error),
}
