//! Figures by the second, kept for days in little memory, at falling detail.
//!
//! Called as `push` with each second that has something in it, and `sum` over a span or `points` of one. Five
//! rings of 64 slots; a slot of the first is a second, and one of each further is eight of the one before: a
//! minute by the second, eight minutes by eight seconds, an hour by the minute, nine hours by nine minutes,
//! three days by an hour and a bit. A slot is packed, each figure as a logarithm in two bytes; what is passed
//! on to the next ring is added up before it is packed, so that errors do not add up along the rings. A
//! figure of a slot is off by less than [`ERROR`] of itself.
//!
//! Seconds come in order; one that is older than the newest is added to it. Memory: at most
//! `5 * 64 * 2 * N + 40 * N` bytes and a little, and of rings that have not begun nothing.

/// Slots of a ring, and how many of one make one of the next.
pub const SLOTS: usize = 64;
pub const FACTOR: u64 = 8;
pub const LEVELS: usize = 5;
/// Part of itself by which a figure may be off.
pub const ERROR: f64 = 0.001;
/// Figures are told apart from 0 from here on.
const LEAST: f64 = 0.01;
const STEPS: f64 = 2200.0;

fn packed(x: f32) -> u16 {
    let x = f64::from(x).max(0.0);
    ((x / LEAST).ln_1p() * STEPS)
        .round()
        .min(f64::from(u16::MAX)) as u16
}

fn unpacked(code: u16) -> f64 {
    (f64::from(code) / STEPS).exp_m1() * LEAST
}

/// Seconds of a slot of a ring.
pub const fn width(level: usize) -> u64 {
    FACTOR.pow(level as u32)
}

#[derive(Debug, Clone)]
struct Ring<const N: usize> {
    slots: Vec<[u16; N]>,
    /// Its first slot, and the one that is being filled with what is in it, by their numbers since second 0.
    began: u64,
    now: u64,
    sum: [f32; N],
}

impl<const N: usize> Ring<N> {
    fn new(began: u64) -> Self {
        Ring {
            slots: vec![[0; N]; SLOTS],
            began,
            now: began,
            sum: [0.0; N],
        }
    }

    /// The figures of a slot that is there; None: it is too old, or has not begun.
    fn at(&self, slot: u64) -> Option<[f64; N]> {
        if slot == self.now {
            return Some(self.sum.map(f64::from));
        }
        let there = (self.began..self.now).contains(&slot) && slot + SLOTS as u64 > self.now;
        there.then(|| self.slots[slot as usize % SLOTS].map(unpacked))
    }

    /// Goes on to a slot; what lies between had nothing in it.
    fn go_to(&mut self, slot: u64) {
        if slot <= self.now {
            return;
        }
        self.slots[self.now as usize % SLOTS] = self.sum.map(packed);
        let skipped = (self.now + 1..slot).rev().take(SLOTS);
        skipped.for_each(|s| self.slots[s as usize % SLOTS] = [0; N]);
        (self.now, self.sum) = (slot, [0.0; N]);
    }

    fn add(&mut self, figures: [f64; N]) {
        self.sum
            .iter_mut()
            .zip(figures)
            .for_each(|(sum, x)| *sum += x as f32);
    }

    fn is_full(&self) -> bool {
        self.now >= self.began + SLOTS as u64
    }
}

/// N figures by the second.
///
/// ```
/// use grebecleat_endpoint::ring::Falling;
/// let mut f: Falling<1> = Falling::default();
/// (1000..1100).for_each(|s| f.push(s, [2.0]));
/// assert_eq!(f.sum(1099, 1)[0], 2.0);
/// let minute = f.sum(1099, 64)[0];
/// assert!((minute - 128.0).abs() < 0.2);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Falling<const N: usize> {
    rings: Vec<Ring<N>>,
}

impl<const N: usize> Falling<N> {
    /// Adds to a second.
    pub fn push(&mut self, second: u64, figures: [f64; N]) {
        if self.rings.is_empty() {
            self.rings.push(Ring::new(second));
        }
        for (level, ring) in self.rings.iter_mut().enumerate() {
            ring.go_to(second / width(level));
            ring.add(figures);
        }
        // A ring begins once the one before it is about to forget, and takes over what that has.
        let last = self.rings.last().expect("one at the least");
        if self.rings.len() < LEVELS && last.is_full() {
            let first = (last.now + 1 - SLOTS as u64).div_ceil(FACTOR);
            let mut next = Ring::new(first);
            for slot in first * FACTOR..=last.now {
                next.go_to(slot / FACTOR);
                next.add(last.at(slot).unwrap_or([0.0; N]));
            }
            self.rings.push(next);
        }
    }

    /// The finest ring that reaches back for so many seconds.
    fn level(&self, span: u64) -> usize {
        let fits = (0..self.rings.len()).find(|l| width(*l) * SLOTS as u64 >= span);
        fits.unwrap_or(self.rings.len().saturating_sub(1))
    }

    /// What the `span` seconds up to and with `end` amount to, rounded to whole slots of the ring that still
    /// has them.
    pub fn sum(&self, end: u64, span: u64) -> [f64; N] {
        let level = self.level(span);
        let mut all = [0.0; N];
        let Some(ring) = self.rings.get(level) else {
            return all;
        };
        let (slots, last) = (span.div_ceil(width(level)), end / width(level));
        for figures in (0..slots).filter_map(|back| ring.at(last.checked_sub(back)?)) {
            all.iter_mut().zip(figures).for_each(|(sum, x)| *sum += x);
        }
        all
    }

    /// The last `n` slots of the finest ring in which that many cover `span` seconds, oldest first, and how
    /// many seconds each covers; the one that is being filled is the last.
    pub fn points(&self, end: u64, span: u64, n: usize) -> (u64, Vec<[f64; N]>) {
        let covers = |l: &usize| width(*l) * n as u64 >= span;
        let level = (0..self.rings.len())
            .find(covers)
            .unwrap_or(self.rings.len().saturating_sub(1));
        let Some(ring) = self.rings.get(level) else {
            return (1, vec![[0.0; N]; n]);
        };
        let last = end / width(level);
        let at = |back: u64| {
            last.checked_sub(back)
                .and_then(|s| ring.at(s))
                .unwrap_or([0.0; N])
        };
        (width(level), (0..n as u64).rev().map(at).collect())
    }

    /// The newest second that something was pushed for; None: there was none.
    pub fn newest(&self) -> Option<u64> {
        self.rings.first().map(|r| r.now)
    }

    /// Bytes that it takes.
    pub fn bytes(&self) -> usize {
        self.rings.len() * (SLOTS * N * 2 + size_of::<Ring<N>>())
    }
}
