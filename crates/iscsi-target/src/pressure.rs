//! How many commands each session of a volume may have open: back-pressure by the command window.
//!
//! Called by the engine: `opened` and `closed` for each command, `step` after them, which returns
//! the sessions that may have more or fewer open; each session's window is what is left of that.
//! The desired state is one budget of open commands for each volume, divided among its sessions by
//! max-min fairness; `step` compares it with what was last granted.
//!
//! The budget learns by outcomes and not by intervals: it grows by one for each budget's worth of
//! completed commands while it is what limits the sessions, and falls when commands are rejected,
//! once for each retry-after time, since all rejections of one moment have one cause. Guards
//! against initiators that fill a volume's queue only to have most of it sent back as BUSY. Harm:
//! after a short congestion a volume is slow for some round trips.
//!
//! A window that was granted is not taken back (RFC 7143, 4.2.2.1); a session learns of less as it
//! uses it up.

use std::collections::BTreeMap;
use std::time::Duration;

/// Part of the budget that is left after rejections; a half would empty short queues at each
/// congestion.
const DECREASE_FACTOR: f64 = 0.7;
/// A session without any window could never learn that it is open again.
const MIN_WINDOW: u32 = 1;

/// A session, by its owner's number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionNo(pub u64);

/// What became of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandResult {
    /// Carried out.
    Completed,
    /// Turned away by the host: the volume is overloaded.
    Rejected {
        /// When it may be sent again; further rejections before have the same cause.
        retry_after: Duration,
    },
    /// Anything else, which is no measure of the volume's load.
    Other,
}

/// Bounds of the commands that one volume may have open.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowLimits {
    /// The budget at the start, over all sessions; at least 1.
    pub initial: f64,
    /// The largest budget, over all sessions; at least `initial`.
    pub maximum: f64,
    /// The most that one session may have open.
    pub max_per_session: u32,
}

#[derive(Debug, Default)]
struct Session {
    open: u32,
    /// The most it has had open lately: what it needs.
    peak: u32,
    granted: u32,
}

impl Session {
    /// What a session could use: one that fills its window twice of it, one that does not what it
    /// had open at most, and one more.
    fn demand(&self, max_window: u32) -> u32 {
        let demand = if self.peak >= self.granted.max(1) {
            self.peak.saturating_mul(2)
        } else {
            self.peak + 1
        };
        demand.clamp(MIN_WINDOW, max_window)
    }
}

/// What the sessions of one volume may have open. Its memory is a few words for each session.
#[derive(Debug)]
pub struct Pressure {
    limits: WindowLimits,
    budget: f64,
    /// Rejections before that time belong to a decrease that was made.
    no_decrease_before: Duration,
    sessions: BTreeMap<SessionNo, Session>,
    open: u32,
    /// Commands that have ended since peaks last decayed.
    ended: u32,
    /// Something has changed that grants depend on.
    changed: bool,
}

impl Pressure {
    /// A volume without sessions.
    pub fn new(limits: WindowLimits) -> Self {
        Pressure {
            limits,
            budget: limits.initial,
            no_decrease_before: Duration::ZERO,
            sessions: BTreeMap::new(),
            open: 0,
            ended: 0,
            changed: false,
        }
    }

    /// Commands that all sessions together may have open.
    pub fn budget(&self) -> f64 {
        self.budget
    }

    /// A session uses the volume from now on.
    pub fn join(&mut self, session: SessionNo) {
        self.sessions.entry(session).or_default();
        self.changed = true;
    }

    /// A session is over; its commands count no longer.
    pub fn leave(&mut self, session: SessionNo) {
        if let Some(state) = self.sessions.remove(&session) {
            self.open -= state.open;
            self.changed = true;
        }
    }

    /// A command of a session has begun.
    pub fn opened(&mut self, session: SessionNo) {
        let state = self.sessions.entry(session).or_default();
        state.open += 1;
        self.open += 1;
        if state.open > state.peak {
            state.peak = state.open;
            self.changed = true;
        }
    }

    /// A command of a session has ended.
    pub fn closed(&mut self, now: Duration, session: SessionNo, result: CommandResult) {
        let open_before = self.open;
        let whole_before = self.budget.floor();
        if let Some(state) = self.sessions.get_mut(&session) {
            if state.open > 0 {
                state.open -= 1;
                self.open -= 1;
            }
        }
        match result {
            // A budget that is not used up shows nothing of what the volume could bear.
            CommandResult::Completed if f64::from(open_before) >= whole_before => {
                self.budget = (self.budget + 1.0 / self.budget).min(self.limits.maximum);
            }
            CommandResult::Rejected { retry_after } if now >= self.no_decrease_before => {
                let min_budget = self.sessions.len().max(1) as f64;
                self.budget = (self.budget * DECREASE_FACTOR).max(min_budget);
                self.no_decrease_before = now + retry_after;
            }
            _ => {}
        }
        self.changed |= self.budget.floor() != whole_before;
        self.ended += 1;
        if f64::from(self.ended) >= self.budget {
            self.ended = 0;
            self.decay_peaks();
        }
    }

    /// A peak falls by half for each budget's worth of commands: a session that no longer needs
    /// much leaves it to others, and one that pauses between bursts does not find its window
    /// closed.
    fn decay_peaks(&mut self) {
        for state in self.sessions.values_mut() {
            if state.peak > state.open {
                state.peak -= (state.peak - state.open).div_ceil(2);
                self.changed = true;
            }
        }
    }

    /// How many commands each session may have open from here on, where that has changed.
    pub fn step(&mut self) -> Vec<(SessionNo, u32)> {
        if !std::mem::take(&mut self.changed) {
            return Vec::new();
        }
        let budget = self.budget.floor() as u32;
        let max_window = self.limits.max_per_session.max(MIN_WINDOW);
        let sessions = self.sessions.values();
        let demands: Vec<u32> = sessions.map(|state| state.demand(max_window)).collect();
        let shares = fair(budget, &demands);
        // What is left is divided too: a session that begins a burst should not have to ask first.
        let unused = budget - shares.iter().sum::<u32>();
        let headroom: Vec<u32> = shares
            .iter()
            .map(|share| max_window.saturating_sub(*share))
            .collect();
        let extras = fair(unused, &headroom);
        let windows = shares.iter().zip(extras);
        let mut changes = Vec::new();
        for ((session, state), (share, extra)) in self.sessions.iter_mut().zip(windows) {
            let window = (share + extra).clamp(MIN_WINDOW, max_window);
            if window != state.granted {
                state.granted = window;
                changes.push((*session, window));
            }
        }
        changes
    }
}

/// Divides a total by max-min fairness: no share is above its demand, and what one leaves goes to
/// the others evenly. What cannot be divided evenly goes to those with the highest demand.
///
/// ```
/// use grebecleat_iscsi_target::pressure::fair;
/// assert_eq!(fair(10, &[2, 20, 20]), [2, 4, 4]);
/// assert_eq!(fair(7, &[9, 9, 9]), [2, 2, 3]);
/// assert_eq!(fair(100, &[1, 2]), [1, 2]);
/// assert_eq!(fair(1, &[5, 5]), [0, 1]);
/// ```
pub fn fair(total: u32, demands: &[u32]) -> Vec<u32> {
    let mut rising: Vec<usize> = (0..demands.len()).collect();
    rising.sort_by_key(|index| demands[*index]);
    let mut left = total;
    let mut shares = vec![0; demands.len()];
    for (done, index) in rising.into_iter().enumerate() {
        let even_share = left / (demands.len() - done) as u32;
        shares[index] = demands[index].min(even_share);
        left -= shares[index];
    }
    shares
}

#[cfg(test)]
mod tests;
