//! The errors with which the state service fails to start.

use crate::store::StoreFault;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::RecvError;

/// The reason why a service did not start. Operators see its text.
#[derive(Debug, thiserror::Error)]
pub enum ServiceError {
    /// The settings have no call `state_service()`.
    #[error("state_service() is missing in the settings")]
    NotInSettings,
    /// The store cannot be used.
    #[error("store {}: {fault}", path.display())]
    Store {
        /// Path of the store.
        path: PathBuf,
        /// The store's fault.
        #[source]
        fault: StoreFault,
    },
    /// The thread of the store ended before it stored the first epoch.
    #[error("the thread of the store ended before it stored the first epoch")]
    StoreThreadEnded(#[from] RecvError),
    /// The first revision, which the settings declare, was rejected.
    #[error("{file}: the declared configuration is rejected: {reason}")]
    DeclarationRejected {
        /// The settings file.
        file: String,
        /// The reason, as the leader states it.
        reason: String,
    },
    /// The service cannot listen on the address.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        #[source]
        error: io::Error,
    },
    /// The operating system did not return the address that the service listens on.
    #[error("cannot read the local address of the listening socket: {0}")]
    LocalAddress(io::Error),
}
