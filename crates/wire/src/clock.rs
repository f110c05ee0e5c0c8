//! The machine's monotonic clock, which steps of the wall clock do not touch and all processes
//! share.

use std::time::Duration;

/// Time since the machine started.
pub fn now() -> Duration {
    let mut t = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: the pointer is to a live timespec, and the clock's number is a constant of the
    // platform.
    unsafe { libc::clock_gettime(libc::CLOCK_MONOTONIC, &mut t) };
    Duration::new(t.tv_sec as u64, t.tv_nsec as u32)
}

/// Microseconds, as the messages carry them; what does not fit counts as the most.
pub fn micros(d: Duration) -> u64 {
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX)
}
