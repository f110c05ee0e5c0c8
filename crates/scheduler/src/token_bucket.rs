//! A token bucket that may go into debt.
//!
//! The scheduler's mechanisms choose every rate and depth. The bucket has no clock: the caller states how
//! much time has passed.

/// A bucket that fills with tokens at a constant rate, up to a depth.
///
/// ```
/// use grebecleat_scheduler::token_bucket::TokenBucket;
/// let mut bucket = TokenBucket::new(2.0, 4.0, 0.0);
/// bucket.refill(0.5);
/// assert_eq!(bucket.level(), 1.0);
/// bucket.take(3.0);
/// assert_eq!(bucket.level(), -2.0);
/// bucket.refill(100.0);
/// assert_eq!(bucket.level(), 4.0);
/// bucket.take(1.0);
/// bucket.refund(3.0);
/// assert_eq!(bucket.level(), 4.0);
/// ```
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    depth: f64,
    level: f64,
    /// Number of tokens that the bucket loses whenever it becomes full; 0 if it stays full.
    loss_when_full: f64,
}

impl TokenBucket {
    /// Returns a bucket that gets `rate` tokens per second, holds at most `depth` tokens, and holds `level`
    /// tokens now. An argument that is negative or not finite counts as 0.
    pub fn new(rate: f64, depth: f64, level: f64) -> Self {
        let (rate, depth) = (finite_or_zero(rate), finite_or_zero(depth));
        TokenBucket {
            rate,
            depth,
            level: finite_or_zero(level).min(depth),
            loss_when_full: 0.0,
        }
    }

    /// Returns a bucket that has no rate yet and starts with a debt of the fraction `owed` of
    /// `loss_when_full` tokens. Whenever the bucket becomes full, it loses `loss_when_full` tokens, as if a
    /// request had taken them. The levels of many such buckets therefore still differ after a time without
    /// requests.
    ///
    /// ```
    /// use grebecleat_scheduler::token_bucket::TokenBucket;
    /// let mut bucket = TokenBucket::losing_when_full(4.0, 0.25);
    /// bucket.reconfigure(2.0, 5.0);
    /// bucket.refill(2.0);
    /// assert_eq!(bucket.level(), 3.0);
    /// bucket.refill(1.0);
    /// assert_eq!(bucket.level(), 1.0);
    /// ```
    pub fn losing_when_full(loss_when_full: f64, owed: f64) -> Self {
        let loss_when_full = finite_or_zero(loss_when_full);
        TokenBucket {
            rate: 0.0,
            depth: 0.0,
            level: -loss_when_full * finite_or_zero(owed),
            loss_when_full,
        }
    }

    /// Sets the rate (tokens per second) and the depth. The level is kept, but reduced to the depth if it is
    /// higher.
    pub fn reconfigure(&mut self, rate: f64, depth: f64) {
        self.rate = finite_or_zero(rate);
        self.depth = finite_or_zero(depth);
        self.level = self.level.min(self.depth);
    }

    /// Adds the tokens of `seconds` seconds.
    pub fn refill(&mut self, seconds: f64) {
        self.level += self.rate * seconds;
        if self.level >= self.depth {
            self.level = self.depth - self.loss_when_full;
        }
    }

    /// Takes tokens; the bucket goes into debt if there are too few.
    pub fn take(&mut self, tokens: f64) {
        self.level -= tokens;
    }

    /// Puts back tokens that were taken and not used, up to the depth.
    pub fn refund(&mut self, tokens: f64) {
        self.level = (self.level + tokens).min(self.depth);
    }

    /// Returns the number of tokens in the bucket; a negative number is a debt.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Returns the rate in tokens per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }
}

fn finite_or_zero(value: f64) -> f64 {
    if value.is_finite() {
        value.max(0.0)
    } else {
        0.0
    }
}
