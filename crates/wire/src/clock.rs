//! The machine's monotonic clock. All processes share it, and steps of the wall clock do not affect
//! it.

use std::time::Duration;

/// Returns the time since the machine started.
pub fn now() -> Duration {
    let mut time = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: the pointer refers to a live timespec, and the clock's number is a constant of the
    // platform.
    unsafe { libc::clock_gettime(libc::CLOCK_MONOTONIC, &mut time) };
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Returns a duration in microseconds, as the messages carry it. A duration that does not fit
/// becomes the greatest number.
pub fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
