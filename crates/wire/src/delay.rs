//! Estimates how long a frame waited on its way, without a comparison of clocks.
//!
//! Frames wait before they are read if the receiver was paused, if a socket buffer is full, or if
//! the reader is slow. The time to the deadline is then shorter than the frame states. The
//! difference between the clocks of the two ends is unknown but constant. The least difference that
//! was observed therefore counts as no wait (one-way delay, RFC 6817, section 3).

use std::time::Duration;

/// The delay of one connection's frames in one direction.
///
/// ```
/// use grebecleat_wire::delay::Delay;
/// use std::time::Duration;
/// let ms = Duration::from_millis;
/// let mut delay = Delay::default();
/// assert_eq!(delay.waited(5_000_000, ms(100)), ms(0)); // the clocks differ; no frame to compare
/// assert_eq!(delay.waited(5_010_000, ms(110)), ms(0));
/// assert_eq!(delay.waited(5_020_000, ms(1120)), ms(1000)); // the frame waited for a second
/// assert_eq!(delay.waited(5_030_000, ms(129)), ms(0)); // the least difference so far
/// ```
#[derive(Debug, Default, Clone)]
pub struct Delay {
    /// The least difference between the two clocks so far, in microseconds.
    least_difference: Option<i128>,
}

impl Delay {
    /// Returns how long a frame waited. `sent_us`: when it was sent, in microseconds by the
    /// sender's clock. `read`: when it was read, by this process's clock.
    pub fn waited(&mut self, sent_us: u64, read: Duration) -> Duration {
        let difference = read.as_micros() as i128 - i128::from(sent_us);
        let least = self
            .least_difference
            .map_or(difference, |least| least.min(difference));
        self.least_difference = Some(least);
        Duration::from_micros((difference - least) as u64)
    }
}
