//! Versions of writes, by which a node recognizes an older write of the same blocks.
//!
//! The engine calls `next` for each write that it sends, `observe` when a node reports a newer
//! version, `reservation_due` after either, and `reserve` when a ceiling is durable. Versions only
//! grow:
//!
//! - within one run of the process, by counting;
//! - across restarts, by a ceiling that is persisted before versions below it are used. A late
//!   write of an earlier run then has a lower version than any write of this run, however the clock
//!   was changed;
//! - from one host to another, by the start value: the microseconds of the wall clock. Clocks of
//!   hosts may differ, so this is only a first estimate: a node that holds a newer version returns
//!   it, and the write is retried with a higher version. Overlapping writes of one host are never
//!   concurrent, so the newer version of a superseded write comes from another host.
//!
//! A node that reports a version near the end of the number range would exhaust it, so such a
//! version is ignored. Where the clocks of hosts differ by more than the time a write can be late,
//! a host that takes over a volume from another must wait for that difference before its first
//! write.

/// Versions that a ceiling reserves beyond the next one: about a minute at a million a second, so
/// that versions stay near the clock even if the process restarts often.
const RESERVED_VERSIONS: u64 = 1 << 26;
/// Versions from this value on are ignored: the clock reaches it in the year 20,000.
const MAX_VERSION: u64 = 1 << 59;

/// Version counter of one run of the process.
#[derive(Debug)]
pub struct Versions {
    next: u64,
    /// Versions below this may be used.
    ceiling: u64,
    /// Highest ceiling whose persistence was requested.
    requested: u64,
}

impl Versions {
    /// `persisted` is the ceiling of earlier runs, `clock` the microseconds since 1970.
    ///
    /// ```
    /// use grebecleat_iscsi_target::versions::Versions;
    /// let mut versions = Versions::new(500, 200);
    /// assert_eq!(versions.next(), None, "nothing is reserved yet");
    /// let ceiling = versions.reservation_due().unwrap();
    /// assert!(versions.reservation_due().is_none(), "requested only once");
    /// versions.reserve(ceiling);
    /// assert_eq!((versions.next(), versions.next()), (Some(500), Some(501)));
    /// versions.observe(7000);
    /// assert_eq!(versions.next(), Some(7001));
    /// ```
    pub fn new(persisted: u64, clock: u64) -> Self {
        Versions {
            next: persisted.max(clock).clamp(1, MAX_VERSION),
            ceiling: 0,
            requested: 0,
        }
    }

    /// Returns a version above all earlier ones, or `None` until a higher ceiling is durable.
    #[allow(clippy::should_implement_trait)] // an iterator would end at the first `None`
    pub fn next(&mut self) -> Option<u64> {
        if self.next >= self.ceiling {
            return None;
        }
        let version = self.next;
        self.next += 1;
        Some(version)
    }

    /// Raises the counter above a version found at a node; returns false if the version is
    /// implausibly high and was ignored.
    pub fn observe(&mut self, found: u64) -> bool {
        let plausible = found < MAX_VERSION;
        if plausible {
            self.next = self.next.max(found + 1);
        }
        plausible
    }

    /// Returns a ceiling that must be persisted now; each is returned once.
    pub fn reservation_due(&mut self) -> Option<u64> {
        if self.requested >= self.next + RESERVED_VERSIONS / 2 {
            return None;
        }
        self.requested = self.next + RESERVED_VERSIONS;
        Some(self.requested)
    }

    /// Records that a ceiling is durable: versions below it may be used.
    pub fn reserve(&mut self, ceiling: u64) {
        self.ceiling = self.ceiling.max(ceiling);
    }
}

#[cfg(test)]
mod tests;
