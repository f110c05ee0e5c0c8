//! A token bucket that may go into debt.
//!
//! Called by the decisions, which choose every rate and depth. The bucket has no clock: the caller states the
//! time that has passed.

/// Tokens that fill at a rate, up to a depth.
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
    /// Tokens that the bucket loses whenever it is full; 0: it stays full.
    lapse: f64,
}

impl TokenBucket {
    /// Returns a bucket with `rate` tokens a second, at most `depth` tokens, and `level` tokens now. A figure that
    /// is negative or not finite counts as 0.
    pub fn new(rate: f64, depth: f64, level: f64) -> Self {
        let (rate, depth) = (finite(rate), finite(depth));
        TokenBucket {
            rate,
            depth,
            level: finite(level).min(depth),
            lapse: 0.0,
        }
    }

    /// Returns a bucket without a rate yet, in debt by the fraction `owed` of `lapse` tokens. Whenever the bucket
    /// is full it loses `lapse` tokens, as if a request had taken them. After a quiet time the levels of many such
    /// buckets therefore still differ.
    ///
    /// ```
    /// use grebecleat_scheduler::token_bucket::TokenBucket;
    /// let mut bucket = TokenBucket::lapsing(4.0, 0.25);
    /// bucket.reconfigure(2.0, 5.0);
    /// bucket.refill(2.0);
    /// assert_eq!(bucket.level(), 3.0);
    /// bucket.refill(1.0);
    /// assert_eq!(bucket.level(), 1.0);
    /// ```
    pub fn lapsing(lapse: f64, owed: f64) -> Self {
        let lapse = finite(lapse);
        TokenBucket {
            rate: 0.0,
            depth: 0.0,
            level: -lapse * finite(owed),
            lapse,
        }
    }

    /// Sets the rate (tokens a second) and the depth; the level stays, cut to the depth.
    pub fn reconfigure(&mut self, rate: f64, depth: f64) {
        self.rate = finite(rate);
        self.depth = finite(depth);
        self.level = self.level.min(self.depth);
    }

    /// Adds the tokens of that many seconds.
    pub fn refill(&mut self, seconds: f64) {
        self.level += self.rate * seconds;
        if self.level >= self.depth {
            self.level = self.depth - self.lapse;
        }
    }

    /// Takes tokens; the bucket goes into debt if there are too few.
    pub fn take(&mut self, tokens: f64) {
        self.level -= tokens;
    }

    /// Returns tokens that were taken and not used, up to the depth.
    pub fn refund(&mut self, tokens: f64) {
        self.level = (self.level + tokens).min(self.depth);
    }

    /// Tokens in the bucket; negative: a debt.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Tokens a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }
}

fn finite(figure: f64) -> f64 {
    if figure.is_finite() {
        figure.max(0.0)
    } else {
        0.0
    }
}
