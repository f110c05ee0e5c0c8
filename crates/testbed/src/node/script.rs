//! The scripted changes of one node's process: its drains and restarts.

use crate::draw::{hash_to_unit, InjectedFault};
use grebecleat_settings::FaultKind;
use std::collections::VecDeque;
use std::time::Duration;

/// Shortest time for which a node of a mass restart is down. A random part of a second is added.
const MASS_RESTART_DOWNTIME_SECONDS: f64 = 0.3;
/// Time for which an aged node is down. An aged node is restarted at the end of its fault.
const AGEING_DOWNTIME: Duration = Duration::from_millis(700);
/// The word of the hash for the downtime of a mass restart.
const DOWNTIME_WORD: u64 = 5;

/// A change of the node's process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum ProcessChange {
    Drain,
    Undrain,
    Stop,
    Start,
}

/// The pending changes, sorted by time.
#[derive(Debug)]
pub(super) struct ProcessScript(VecDeque<(Duration, ProcessChange)>);

impl ProcessScript {
    /// Returns the changes that the faults of a node cause.
    pub(super) fn new(node: u32, seed: u64, faults: &[InjectedFault]) -> Self {
        let mut changes = Vec::new();
        for fault in faults {
            match fault.kind {
                FaultKind::MassRestart => {
                    let random = hash_to_unit(seed, &[u64::from(node), DOWNTIME_WORD]);
                    let down = Duration::from_secs_f64(MASS_RESTART_DOWNTIME_SECONDS + random);
                    changes.push((fault.start, ProcessChange::Stop));
                    changes.push((fault.start + down, ProcessChange::Start));
                }
                FaultKind::Drain => {
                    changes.push((fault.start, ProcessChange::Drain));
                    changes.push((fault.end(), ProcessChange::Undrain));
                }
                FaultKind::Ageing => {
                    changes.push((fault.end(), ProcessChange::Stop));
                    changes.push((fault.end() + AGEING_DOWNTIME, ProcessChange::Start));
                }
                _ => {}
            }
        }
        changes.sort_by_key(|change| change.0);
        ProcessScript(changes.into())
    }

    /// Returns the time of the next change.
    pub(super) fn next_time(&self) -> Option<Duration> {
        self.0.front().map(|change| change.0)
    }

    /// Removes and returns the next change if it is due.
    pub(super) fn pop_due(&mut self, now: Duration) -> Option<ProcessChange> {
        let (_, change) = self.0.pop_front_if(|change| change.0 <= now)?;
        Some(change)
    }
}
