//! Versions of writes: what a node tells an old write by from a newer one of the same blocks.
//!
//! Called by the target: `next` for each write that goes out, `learn` when a node says that it holds a newer
//! one, `wants` after either, `kept` when a ceiling is durable. Versions only grow:
//!
//! - within a start, by counting;
//! - from one start to the next, by a ceiling that is kept before versions up to it are used. A late write of
//!   an earlier start then has a lower version than any of this one, whatever became of the clock;
//! - from one host to another, by where counting begins: the microseconds of the world's clock. Hosts' clocks
//!   may differ, so that is only a good first guess: a write that finds a newer version at its node comes
//!   back with it, and goes again above it. Overlapping writes of one host never race, so a live write that
//!   was kept out means just that.
//!
//! Harm: a node that tells a version near the end of the numbers would use them up; such a one is not
//! believed. Where hosts' clocks differ by more than a write can be late, one that follows another on a
//! volume must wait for so long before it first writes.

/// How many versions a ceiling reserves beyond the next: about a minute's at a million a second, so that
/// starts in quick succession stay near the clock.
const RESERVED: u64 = 1 << 26;
/// Versions that are believed: the clock reaches this in the year 20,000.
const MOST: u64 = 1 << 59;

#[derive(Debug)]
pub struct Versions {
    next: u64,
    /// Versions below this may be used.
    ceiling: u64,
    /// The highest ceiling that was asked for.
    asked: u64,
}

impl Versions {
    /// `kept` is the ceiling of the starts before, `clock` the microseconds since 1970.
    ///
    /// ```
    /// use grebecleat_target::versions::Versions;
    /// let mut v = Versions::new(500, 200);
    /// assert_eq!(v.next(), None, "nothing is reserved yet");
    /// let ceiling = v.reservation_due().unwrap();
    /// assert!(v.reservation_due().is_none(), "asked for once");
    /// v.reserve(ceiling);
    /// assert_eq!((v.next(), v.next()), (Some(500), Some(501)));
    /// v.observe(7000);
    /// assert_eq!(v.next(), Some(7001));
    /// ```
    pub fn new(kept: u64, clock: u64) -> Self {
        let next = kept.max(clock).clamp(1, MOST);
        Versions {
            next,
            ceiling: 0,
            asked: 0,
        }
    }

    /// A version above all that were given before; None until a higher ceiling is kept.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Option<u64> {
        let version = self.next;
        (version < self.ceiling).then(|| {
            self.next += 1;
            version
        })
    }

    /// A node holds that version; whether it is believed.
    pub fn observe(&mut self, there: u64) -> bool {
        let believed = there < MOST;
        if believed {
            self.next = self.next.max(there + 1);
        }
        believed
    }

    /// A ceiling that is to be kept now.
    pub fn reservation_due(&mut self) -> Option<u64> {
        let short = self.asked < self.next + RESERVED / 2;
        short.then(|| {
            self.asked = self.next + RESERVED;
            self.asked
        })
    }

    pub fn reserve(&mut self, ceiling: u64) {
        self.ceiling = self.ceiling.max(ceiling);
    }
}

#[cfg(test)]
mod tests;
