//! The wall clock, to which the start times of nodes in the endpoint list refer.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the milliseconds since the Unix epoch; zero if the system's clock is before it.
pub(super) fn unix_ms() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |since| since.as_secs_f64() * 1000.0)
}
