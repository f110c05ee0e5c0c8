//! The system's clock, for what operators read; nothing is measured by it.

use std::time::{Duration, SystemTime};

/// Time since 1970 by the system's clock.
pub(super) fn wall_time() -> Duration {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
}
