//! Periods of the decisions: the tick and the control interval.

use std::time::Duration;

/// Time between two refills of the token buckets; as in the design. Larger: requests wait longer for tokens.
/// Smaller: a host with many nodes spends its time on refills.
pub(super) const TICK: Duration = Duration::from_millis(10);
/// Control interval: time between two updates of demands, shares and capacities. Larger: the host adapts later.
/// Smaller: an interval holds too few answers of a node.
pub(super) const INTERVAL: Duration = Duration::from_millis(500);
