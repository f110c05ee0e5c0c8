//! Limits the commands that each session of a volume may have open: back-pressure through the
//! command window.
//!
//! The engine calls `opened` and `closed` for each command and then `step`, which returns the
//! sessions whose limit has changed; a session's window is its limit less its open commands. Each
//! volume has one budget of open commands, divided among its sessions by max-min fairness; `step`
//! compares the shares with those last granted.
//!
//! The budget adapts to outcomes and not to time intervals: while it is fully used, it grows by one
//! for each budget's worth of completed commands. It falls when commands are rejected, at most once
//! in each retry-after time, since simultaneous rejections have one cause. This keeps initiators
//! from filling a volume's queue only to have most commands returned as BUSY. The cost is that
//! after a short congestion a volume is slow for some round trips.
//!
//! A granted window is never withdrawn (RFC 7143, 4.2.2.1); a lower limit takes effect as the
//! session uses up its window.

use std::collections::BTreeMap;
use std::time::Duration;

/// Factor applied to the budget after rejections; 0.5 would empty short queues at each congestion.
const DECREASE_FACTOR: f64 = 0.7;
/// Smallest limit of a session: one with a limit of 0 would get no response that could raise it
/// again.
const MIN_WINDOW: u32 = 1;

/// Session number, assigned by the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionNo(pub u64);

/// Result of a command, as far as it matters for the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandResult {
    /// The command was executed.
    Completed,
    /// The host rejected it because the volume is overloaded.
    Rejected {
        /// Time after which it may be sent again; rejections until then count as the same
        /// congestion.
        retry_after: Duration,
    },
    /// Any other result, which says nothing about the volume's load.
    Other,
}

/// Limits on the open commands of one volume.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowLimits {
    /// Initial budget, over all sessions; at least 1.
    pub initial: f64,
    /// The largest budget, over all sessions; at least `initial`.
    pub maximum: f64,
    /// Maximum number of open commands of one session.
    pub max_per_session: u32,
}

#[derive(Debug, Default)]
struct Session {
    open: u32,
    /// Recent maximum of open commands, an estimate of what the session needs.
    peak: u32,
    granted: u32,
}

impl Session {
    /// Number of commands the session could use: twice its peak if it has filled its window,
    /// otherwise its peak plus one.
    fn demand(&self, max_window: u32) -> u32 {
        let demand = if self.peak >= self.granted.max(1) {
            self.peak.saturating_mul(2)
        } else {
            self.peak + 1
        };
        demand.clamp(MIN_WINDOW, max_window)
    }
}

/// Command limits of the sessions of one volume. It uses a few words of memory for each session.
#[derive(Debug)]
pub struct BackPressure {
    limits: WindowLimits,
    budget: f64,
    /// Rejections before this time are already accounted for by the last decrease.
    no_decrease_before: Duration,
    sessions: BTreeMap<SessionNo, Session>,
    open: u32,
    /// Commands that have ended since the last decay of the peaks.
    ended: u32,
    /// An input of the shares has changed since the last `step`.
    changed: bool,
}

impl BackPressure {
    /// Creates the state of a volume without sessions.
    pub fn new(limits: WindowLimits) -> Self {
        BackPressure {
            limits,
            budget: limits.initial,
            no_decrease_before: Duration::ZERO,
            sessions: BTreeMap::new(),
            open: 0,
            ended: 0,
            changed: false,
        }
    }

    /// Number of commands that all sessions together may have open.
    pub fn budget(&self) -> f64 {
        self.budget
    }

    /// Adds a session to the volume.
    pub fn join(&mut self, session: SessionNo) {
        self.sessions.entry(session).or_default();
        self.changed = true;
    }

    /// Removes a session that has ended; its commands no longer count.
    pub fn leave(&mut self, session: SessionNo) {
        if let Some(state) = self.sessions.remove(&session) {
            self.open -= state.open;
            self.changed = true;
        }
    }

    /// Records the start of a command.
    pub fn opened(&mut self, session: SessionNo) {
        let state = self.sessions.entry(session).or_default();
        state.open += 1;
        self.open += 1;
        if state.open > state.peak {
            state.peak = state.open;
            self.changed = true;
        }
    }

    /// Records the end of a command and adapts the budget to its result.
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
            // Only a fully used budget shows that the volume can handle more.
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

    /// Halves the distance of each peak to the open commands, once for each budget's worth of
    /// commands: a session that needs less leaves its share to others, and one that pauses between
    /// bursts does not lose its window at once.
    fn decay_peaks(&mut self) {
        for state in self.sessions.values_mut() {
            if state.peak > state.open {
                state.peak -= (state.peak - state.open).div_ceil(2);
                self.changed = true;
            }
        }
    }

    /// Returns the sessions whose limit has changed, with the new limit of open commands.
    pub fn step(&mut self) -> Vec<(SessionNo, u32)> {
        if !std::mem::take(&mut self.changed) {
            return Vec::new();
        }
        let budget = self.budget.floor() as u32;
        let max_window = self.limits.max_per_session.max(MIN_WINDOW);
        let sessions = self.sessions.values();
        let demands: Vec<u32> = sessions.map(|state| state.demand(max_window)).collect();
        let shares = max_min_shares(budget, &demands);
        // The unused rest is divided too, so that a session can start a burst without waiting for a
        // grant.
        let unused = budget - shares.iter().sum::<u32>();
        let headroom: Vec<u32> = shares
            .iter()
            .map(|share| max_window.saturating_sub(*share))
            .collect();
        let extras = max_min_shares(unused, &headroom);
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

/// Divides a total by max-min fairness: no share exceeds its demand, and what one session does not
/// need is divided evenly among the others. The remainder of the division goes to the highest
/// demands.
///
/// ```
/// use grebecleat_iscsi_target::pressure::max_min_shares;
/// assert_eq!(max_min_shares(10, &[2, 20, 20]), [2, 4, 4]);
/// assert_eq!(max_min_shares(7, &[9, 9, 9]), [2, 2, 3]);
/// assert_eq!(max_min_shares(100, &[1, 2]), [1, 2]);
/// assert_eq!(max_min_shares(1, &[5, 5]), [0, 1]);
/// ```
pub fn max_min_shares(total: u32, demands: &[u32]) -> Vec<u32> {
    let mut ascending: Vec<usize> = (0..demands.len()).collect();
    ascending.sort_by_key(|index| demands[*index]);
    let mut left = total;
    let mut shares = vec![0; demands.len()];
    for (done, index) in ascending.into_iter().enumerate() {
        let even_share = left / (demands.len() - done) as u32;
        shares[index] = demands[index].min(even_share);
        left -= shares[index];
    }
    shares
}

#[cfg(test)]
mod tests;
