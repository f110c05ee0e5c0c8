//! The decided state that queries and subscribers read.

use grebecleat_catalog::leader::{Epoch, Leader};

/// The decided state, to read from.
pub(super) struct ServiceState<'a> {
    /// The catalog and its followers.
    pub leader: &'a Leader,
    /// The epoch of the catalog's history.
    pub epoch: Epoch,
    /// The last failure of the store; empty if the last commit succeeded.
    pub store_fault: &'a str,
}
