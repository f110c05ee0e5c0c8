//! Versions of writes: by what a node recognizes an old write among newer ones of the same blocks.
//!
//! Called by the engine: `next` for each write that goes out, `observe` when a node reports a newer
//! one, `reservation_due` after either, `reserve` when a ceiling is durable. Versions only grow:
//!
//! - within a start, by counting;
//! - from one start to the next, by a ceiling that is persisted before versions up to it are used.
//!   A late write of an earlier start then has a lower version than any of this one, whatever
//!   became of the clock;
//! - from one host to another, by where counting begins: the microseconds of the world's clock.
//!   Hosts' clocks may differ, so that is only a good first guess: a write that finds a newer
//!   version at its node comes back with it, and goes again above it. Overlapping writes of one
//!   host never race, so a current write that was superseded can only mean another host.
//!
//! Harm: a node that reports a version near the end of the numbers would use them up; such a one is
//! ignored. Where hosts' clocks differ by more than a write can be late, one that follows another
//! on a volume must wait for so long before it first writes.

/// How many versions a ceiling reserves beyond the next: about a minute's at a million a second, so
/// that starts in quick succession stay near the clock.
const RESERVED: u64 = 1 << 26;
/// Versions from here on are ignored: the clock reaches this in the year 20,000.
const MAX_VERSION: u64 = 1 << 59;

/// The counter of one start's versions. Its memory is three numbers.
#[derive(Debug)]
pub struct Versions {
    next: u64,
    /// Versions below this may be used.
    ceiling: u64,
    /// The highest ceiling that was asked for.
    requested: u64,
}

impl Versions {
    /// `persisted` is the ceiling of the starts before, `clock` the microseconds since 1970.
    ///
    /// ```
    /// use grebecleat_iscsi_target::versions::Versions;
    /// let mut versions = Versions::new(500, 200);
    /// assert_eq!(versions.next(), None, "nothing is reserved yet");
    /// let ceiling = versions.reservation_due().unwrap();
    /// assert!(versions.reservation_due().is_none(), "asked for once");
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

    /// A version above all that were given before; none until a higher ceiling is durable.
    #[allow(clippy::should_implement_trait)] // an iterator would end at the first none
    pub fn next(&mut self) -> Option<u64> {
        if self.next >= self.ceiling {
            return None;
        }
        let version = self.next;
        self.next += 1;
        Some(version)
    }

    /// A node has that version; false if it is too high to be one, and ignored.
    pub fn observe(&mut self, found: u64) -> bool {
        let plausible = found < MAX_VERSION;
        if plausible {
            self.next = self.next.max(found + 1);
        }
        plausible
    }

    /// A ceiling that is to be persisted now; each is given once.
    pub fn reservation_due(&mut self) -> Option<u64> {
        if self.requested >= self.next + RESERVED / 2 {
            return None;
        }
        self.requested = self.next + RESERVED;
        Some(self.requested)
    }

    /// A ceiling is durable: versions below it may be used.
    pub fn reserve(&mut self, ceiling: u64) {
        self.ceiling = self.ceiling.max(ceiling);
    }
}

#[cfg(test)]
mod tests;
