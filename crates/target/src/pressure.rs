//! How many commands each session of a volume may have open: back-pressure by the command window.
//!
//! Called by the target: `opened` and `closed` for each command, `step` after them, which answers the
//! sessions that may have more or fewer open; each session's window is what is left of that. The wanted state
//! is one budget of open commands for each volume, dealt out among its sessions by max-min fairness; `step`
//! diffs it against what was last told.
//!
//! The budget learns by answers and not by intervals: it grows by one for each budget's worth of done
//! commands while it is what holds sessions back, and falls when commands are deferred, once for each
//! come-back time, since all deferrals of one moment tell the same. Guards against initiators that fill a
//! volume's queue only to have most of it sent back as BUSY. Harm: after a short jam a volume is slow for
//! some round trips.
//!
//! A window that was granted is not taken back (RFC 7143, 4.2.2.1); a session learns of less as it uses it
//! up.

use std::collections::BTreeMap;
use std::time::Duration;

const DOWN: f64 = 0.7; // of the budget, on deferrals; a half would empty short queues at each jam
const LEAST_EACH: u32 = 1; // a session without any window could never learn that it is open again

/// A session, by its owner's number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionNo(pub u64);

/// What became of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandResult {
    Completed,
    Rejected { retry_after: Duration },
    Other,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowLimits {
    /// Commands of one volume, over all its sessions, at the start and at the most.
    pub initial: f64,
    pub maximum: f64,
    /// Of one session.
    pub max_per_session: u32,
}

#[derive(Debug, Default)]
struct Session {
    open: u32,
    /// The most it has had open lately: what it asks for.
    peak: u32,
    told: u32,
}

/// What the sessions of one volume may have open. Its memory is a few words for each session.
#[derive(Debug)]
pub struct Pressure {
    window_limits: WindowLimits,
    budget: f64,
    /// Deferrals before that moment belong to a fall that was made.
    deaf_until: Duration,
    sessions: BTreeMap<SessionNo, Session>,
    open: u32,
    /// Commands that have ended since peaks were last brought down.
    ended: u32,
    /// Something has changed that what was told depends on.
    stirred: bool,
}

impl Pressure {
    pub fn new(window_limits: WindowLimits) -> Self {
        let (sessions, deaf_until) = (BTreeMap::new(), Duration::ZERO);
        Pressure {
            window_limits,
            budget: window_limits.initial,
            deaf_until,
            sessions,
            open: 0,
            ended: 0,
            stirred: false,
        }
    }

    pub fn budget(&self) -> f64 {
        self.budget
    }

    pub fn join(&mut self, session: SessionNo) {
        self.sessions.entry(session).or_default();
        self.stirred = true;
    }

    pub fn leave(&mut self, session: SessionNo) {
        if let Some(s) = self.sessions.remove(&session) {
            self.open -= s.open;
            self.stirred = true;
        }
    }

    pub fn opened(&mut self, session: SessionNo) {
        let s = self.sessions.entry(session).or_default();
        (s.open, self.open) = (s.open + 1, self.open + 1);
        if s.open > s.peak {
            (s.peak, self.stirred) = (s.open, true);
        }
    }

    pub fn closed(&mut self, now: Duration, session: SessionNo, ended: CommandResult) {
        let (open, before) = (self.open, self.budget.floor());
        if let Some(s) = self.sessions.get_mut(&session).filter(|s| s.open > 0) {
            (s.open, self.open) = (s.open - 1, self.open - 1);
        }
        match ended {
            // A budget that nobody uses up says nothing of what the volume could bear.
            CommandResult::Completed if f64::from(open) >= before => {
                self.budget = (self.budget + 1.0 / self.budget).min(self.window_limits.maximum);
            }
            CommandResult::Rejected { retry_after } if now >= self.deaf_until => {
                self.budget = (self.budget * DOWN).max(self.sessions.len().max(1) as f64);
                self.deaf_until = now + retry_after;
            }
            _ => {}
        }
        self.stirred |= self.budget.floor() != before;
        self.ended += 1;
        // A peak is forgotten by half for each budget's worth of commands: one that no longer asks for much
        // leaves it to others, and one that pauses between bursts does not find its window shut.
        if f64::from(self.ended) >= self.budget {
            self.ended = 0;
            for s in self.sessions.values_mut().filter(|s| s.peak > s.open) {
                (s.peak, self.stirred) = (s.peak - (s.peak - s.open).div_ceil(2), true);
            }
        }
    }

    /// How many commands each session may have open from here on, where that has changed.
    pub fn step(&mut self) -> Vec<(SessionNo, u32)> {
        if !std::mem::take(&mut self.stirred) {
            return Vec::new();
        }
        let whole = self.budget.floor() as u32;
        let most = self.window_limits.max_per_session.max(LEAST_EACH);
        let asks: Vec<u32> = self.sessions.values().map(|s| self.asks(s)).collect();
        let given = fair(whole, &asks);
        // What nobody asks for is dealt out too: who begins a burst should not have to ask first.
        let over = fair(
            whole - given.iter().sum::<u32>(),
            &given
                .iter()
                .map(|g| most.saturating_sub(*g))
                .collect::<Vec<u32>>(),
        );
        let mut sizes = Vec::new();
        for ((id, s), given) in self
            .sessions
            .iter_mut()
            .zip(given.iter().zip(over).map(|(g, o)| g + o))
        {
            let size = given.clamp(LEAST_EACH, most);
            if size != s.told {
                s.told = size;
                sizes.push((*id, size));
            }
        }
        sizes
    }

    /// What a session could use: one that fills what it may asks for twice of it, one that does not for what
    /// it had open at most, and one more.
    fn asks(&self, s: &Session) -> u32 {
        let more = if s.peak >= s.told.max(1) {
            s.peak.saturating_mul(2)
        } else {
            s.peak + 1
        };
        more.clamp(
            LEAST_EACH,
            self.window_limits.max_per_session.max(LEAST_EACH),
        )
    }
}

/// Deals out so many by max-min fairness: nobody gets more than it asks, and what one leaves goes to the
/// others evenly. What cannot be dealt evenly goes to those that ask most.
///
/// ```
/// use grebecleat_target::pressure::fair;
/// assert_eq!(fair(10, &[2, 20, 20]), [2, 4, 4]);
/// assert_eq!(fair(7, &[9, 9, 9]), [2, 2, 3]);
/// assert_eq!(fair(100, &[1, 2]), [1, 2]);
/// assert_eq!(fair(1, &[5, 5]), [0, 1]);
/// ```
pub fn fair(whole: u32, asks: &[u32]) -> Vec<u32> {
    let mut order: Vec<usize> = (0..asks.len()).collect();
    order.sort_by_key(|i| asks[*i]);
    let (mut left, mut given) = (whole, vec![0; asks.len()]);
    for (at, i) in order.iter().enumerate() {
        let share = left / (asks.len() - at) as u32;
        given[*i] = asks[*i].min(share);
        left -= given[*i];
    }
    given
}

#[cfg(test)]
mod tests;
