//! The state of the service that queries and subscribers read.

use grebecleat_catalog::leader::{Epoch, Leader};

/// A read-only view of the service's state.
pub(super) struct ServiceState<'a> {
    /// The catalog and its followers.
    pub leader: &'a Leader,
    /// The epoch of the catalog's history.
    pub epoch: Epoch,
    /// The last failure of the store; empty if the last commit succeeded.
    pub store_fault: &'a str,
}
