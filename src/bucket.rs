//! A token bucket that may go into debt.

/// Tokens that fill at a rate up to a depth.
///
/// ```
/// use grebecleat::bucket::TokenBucket;
/// let mut tok = TokenBucket::new(2.0, 4.0, 0.0);
/// tok.refill(0.5);
/// assert_eq!(tok.held(), 1.0);
/// tok.take(3.0);
/// assert_eq!(tok.held(), -2.0);
/// tok.refill(100.0);
/// assert_eq!(tok.held(), 4.0);
/// tok.take(1.0);
/// tok.give(3.0);
/// assert_eq!(tok.held(), 4.0);
/// ```
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    depth: f64,
    held: f64,
    /// What goes unused once it is full; none stays so.
    lapse: f64,
}

impl TokenBucket {
    pub fn new(rate: f64, depth: f64, held: f64) -> Self {
        let (rate, depth) = (finite(rate), finite(depth));
        TokenBucket { rate, depth, held: finite(held).min(depth), lapse: 0.0 }
    }

    /// Without a rate yet, and in debt by a part of the units named. Whenever it is full it loses those
    /// units, as if they had been taken: what many such buckets hold after a quiet time stays spread.
    ///
    /// ```
    /// use grebecleat::bucket::TokenBucket;
    /// let mut tok = TokenBucket::lapsing(4.0, 0.25);
    /// tok.retune(2.0, 5.0);
    /// tok.refill(2.0);
    /// assert_eq!(tok.held(), 3.0);
    /// tok.refill(1.0);
    /// assert_eq!(tok.held(), 1.0);
    /// ```
    pub fn lapsing(units: f64, owed: f64) -> Self {
        let units = finite(units);
        TokenBucket { rate: 0.0, depth: 0.0, held: -units * finite(owed), lapse: units }
    }

    /// A new rate and depth; what is held stays, cut to the depth.
    pub fn retune(&mut self, rate: f64, depth: f64) {
        self.rate = finite(rate);
        self.depth = finite(depth);
        self.held = self.held.min(self.depth);
    }

    pub fn refill(&mut self, seconds: f64) {
        self.held += self.rate * seconds;
        if self.held >= self.depth {
            self.held = self.depth - self.lapse;
        }
    }

    pub fn take(&mut self, units: f64) {
        self.held -= units;
    }

    /// Puts back what was taken and not used, up to the depth.
    pub fn give(&mut self, units: f64) {
        self.held = (self.held + units).min(self.depth);
    }

    pub fn held(&self) -> f64 {
        self.held
    }

    pub fn rate(&self) -> f64 {
        self.rate
    }
}

fn finite(x: f64) -> f64 {
    if x.is_finite() {
        x.max(0.0)
    } else {
        0.0
    }
}
