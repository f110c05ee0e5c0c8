//! How long a frame waited on its way, told without comparing clocks.
//!
//! A receiver that stood still, a full socket buffer or a slow reader lets frames wait before they
//! are read, and the time that a client or host still gives is then less than the frame says. The
//! difference between the two ends' clocks is unknown but constant, so the least difference seen
//! stands for "did not wait" (as one-way delay is used in RFC 6817, section 3).

use std::time::Duration;

/// One connection's frames in one direction.
///
/// ```
/// use grebecleat_wire::delay::Delay;
/// use std::time::Duration;
/// let ms = Duration::from_millis;
/// let mut d = Delay::default();
/// assert_eq!(d.waited(5_000_000, ms(100)), ms(0)); // clocks differ: nothing is known yet
/// assert_eq!(d.waited(5_010_000, ms(110)), ms(0));
/// assert_eq!(d.waited(5_020_000, ms(1120)), ms(1000)); // it waited a second
/// assert_eq!(d.waited(5_030_000, ms(129)), ms(0)); // quicker than ever: the new measure
/// ```
#[derive(Debug, Default, Clone)]
pub struct Delay {
    least: Option<i128>,
}

impl Delay {
    /// `sent_us` by the sender's clock, `read` by ours.
    pub fn waited(&mut self, sent_us: u64, read: Duration) -> Duration {
        let apart = read.as_micros() as i128 - i128::from(sent_us);
        let least = self.least.map_or(apart, |l| l.min(apart));
        self.least = Some(least);
        Duration::from_micros((apart - least) as u64)
    }
}
