//! Task management: aborts and resets, and the resulting unit attentions of other sessions.
//!
//! Called for the actions of sessions and by persistent reservations.

use super::records::OpenCommand;
use super::Engine;
use crate::pressure::CommandResult;
use grebecleat_iscsi::scsi::Sense;
use grebecleat_iscsi::session::{AbortReason, TaskId};

/// Maximum pending unit attentions of one I_T nexus at one unit (SAM-5 allows a device to keep only
/// a few).
const MAX_ATTENTIONS: usize = 4;

impl Engine {
    /// Aborts commands. Those that wait for overlapping commands end at once, others with their
    /// last request.
    pub(super) fn abort(&mut self, session: u64, tasks: &[TaskId]) {
        let aborted = |open: &OpenCommand| open.session == session && tasks.contains(&open.task);
        let numbers: Vec<u64> = self
            .commands
            .iter()
            .filter(|(_, open)| aborted(open))
            .map(|(number, _)| *number)
            .collect();
        for number in numbers {
            let open = self
                .commands
                .get_mut(&number)
                .expect("the command was listed above");
            open.aborted = true;
            if open.collector.is_none() {
                self.end_command(number, None, CommandResult::Other, false);
            }
        }
    }

    /// Aborts a session's commands on the given volumes and returns their tasks.
    pub(super) fn abort_on_volumes(&mut self, session: u64, volumes: &[usize]) -> Vec<TaskId> {
        let affected =
            |open: &&OpenCommand| open.session == session && volumes.contains(&open.volume);
        let tasks: Vec<TaskId> = self
            .commands
            .values()
            .filter(affected)
            .map(|open| open.task)
            .collect();
        self.abort(session, &tasks);
        tasks
    }

    /// Aborts the commands of other sessions at the same units and raises a unit attention for
    /// them.
    pub(super) fn reset(&mut self, by: u64, lun: Option<u64>, reason: AbortReason) {
        let Some(target) = self.sessions.get(&by).and_then(|state| state.target) else {
            return;
        };
        let units: Vec<usize> = match lun {
            Some(lun) => self.unit_of(target, lun).into_iter().collect(),
            None => self.targets[target].luns.clone(),
        };
        let sense = if reason == AbortReason::ClearTaskSet {
            Sense::COMMANDS_CLEARED
        } else {
            Sense::BUS_DEVICE_RESET
        };
        let sessions = self.sessions.keys().copied();
        let others: Vec<u64> = sessions.filter(|session| *session != by).collect();
        for session in others {
            let tasks = self.abort_on_volumes(session, &units);
            if reason == AbortReason::ClearTaskSet && tasks.is_empty() {
                continue;
            }
            for unit in &units {
                self.add_attention(session, *unit, sense);
            }
        }
    }

    pub(super) fn add_attention(&mut self, session: u64, unit: usize, sense: Sense) {
        let Some(state) = self.sessions.get_mut(&session) else {
            return;
        };
        let Some(pending) = state.attentions.get_mut(&unit) else {
            return;
        };
        if pending.len() < MAX_ATTENTIONS {
            pending.push_back(sense);
        }
    }

    /// Returns the volume of a LUN in peripheral or flat space addressing (SAM-5, 4.7).
    pub(super) fn unit_of(&self, target: usize, lun: u64) -> Option<usize> {
        let first = (lun >> 48) as u16;
        let lower_levels = lun & 0xffff_ffff_ffff;
        let index = match first >> 14 {
            0 if first < 0x100 => usize::from(first),
            1 => usize::from(first & 0x3fff),
            _ => return None,
        };
        let volume = self.targets[target].luns.get(index).copied();
        volume.filter(|_| lower_levels == 0)
    }
}
