//! The system's clock, for the times that operators read. No duration is measured by it.

use std::time::{Duration, SystemTime};

/// Returns the time since 1970 by the system's clock; zero if the clock is set before 1970.
pub(super) fn wall_time() -> Duration {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
}
