//! Formats and parses points in time.

use std::time::{Duration, SystemTime};

/// The last second of the year 9999, since 1970. `humantime` panics on a later time.
const MAX_TIME: Duration = Duration::from_secs(253_402_300_799);

/// Formats a time since 1970 as an RFC 3339 timestamp in UTC.
///
/// ```
/// use grebecleat_catalog_service::change_syntax::{format_time, parse_time};
/// use std::time::Duration;
/// let at = Duration::from_secs(1_796_083_200);
/// assert_eq!(format_time(at), "2026-12-01T00:00:00Z");
/// assert_eq!(parse_time("2026-12-01T00:00:00Z", Duration::ZERO), Some(at));
/// assert_eq!(parse_time("+90s", at), Some(at + Duration::from_secs(90)));
/// assert_eq!(parse_time("tonight", at), None);
/// ```
pub fn format_time(at: Duration) -> String {
    let system_time = SystemTime::UNIX_EPOCH + at.min(MAX_TIME);
    humantime::format_rfc3339_seconds(system_time).to_string()
}

/// Parses a timestamp as [`format_time`] writes it, or a duration from `now` such as `+90s`, into a
/// time since 1970. Returns `None` for any other text.
pub fn parse_time(text: &str, now: Duration) -> Option<Duration> {
    if let Some(duration) = text.strip_prefix('+') {
        return Some(now + humantime::parse_duration(duration).ok()?);
    }
    let system_time = humantime::parse_rfc3339(text).ok()?;
    system_time.duration_since(SystemTime::UNIX_EPOCH).ok()
}
