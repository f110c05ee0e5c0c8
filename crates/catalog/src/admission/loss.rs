//! What a site can lose. Plain data, owned by [`crate::admission`].

use crate::incremental_flow::Shortfall;
use std::collections::BTreeSet;

/// What a site can lose, and what would then be missing.
#[derive(Debug, Clone, Default)]
pub(super) struct Loss {
    pub nodes: BTreeSet<u32>,
    pub shortfall: Shortfall,
    /// The shortfall is of the present state.
    pub is_fresh: bool,
}
