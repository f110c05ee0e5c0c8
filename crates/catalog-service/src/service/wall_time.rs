//! The wall clock, for the times that operators read. Durations are measured by another clock.

use std::time::{Duration, SystemTime};

/// Returns the time since 1970 by the wall clock; zero if the clock is set before 1970.
pub(super) fn wall_time() -> Duration {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
}
