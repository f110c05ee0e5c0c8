//! Completion of commands: derives the outcome from those of the requests, and starts the commands
//! that waited.
//!
//! Called when the last request of a command's step has ended, or when a waiting command is
//! aborted.

use super::records::{BlockAction, LateWrite, Step};
use super::Engine;
use crate::blocks::CommandOutcome;
use crate::pressure::{CommandResult, SessionNo};
use bytes::Bytes;
use grebecleat_iscsi::scsi::{Sense, Status};
use grebecleat_iscsi::session::Outcome;

/// Returns the outcome of a comparison; the sense data holds the offset of the first byte that
/// differs.
fn compare(expected: &[u8], found: &[u8]) -> Outcome {
    let mut pairs = expected.iter().zip(found);
    match pairs.position(|(expected, found)| expected != found) {
        Some(at) => Outcome::check(Sense::MISCOMPARE.at(at as u64)),
        None => Outcome::good(Bytes::new()),
    }
}

impl Engine {
    /// Handles the end of all requests of a command's step.
    pub(super) fn step_ended(&mut self, number: u64, command_outcome: CommandOutcome) {
        let Some(open) = self.commands.get(&number) else {
            return;
        };
        let mut outcome = command_outcome.outcome;
        if outcome.status == Status::Good {
            match &open.command.action {
                BlockAction::Verify(Some(expected)) => outcome = compare(expected, &outcome.data),
                BlockAction::Verify(None) => outcome = Outcome::good(Bytes::new()),
                // The second step, which writes, returns no data.
                BlockAction::CompareAndWrite { expected, .. } if !outcome.data.is_empty() => {
                    let compared = compare(expected, &outcome.data);
                    if compared.status != Status::Good {
                        outcome = compared;
                    } else if !open.aborted {
                        return self.launch(number, Step::WriteAfterCompare);
                    }
                }
                _ => {}
            }
        }
        let result = match outcome.status {
            Status::Good => CommandResult::Completed,
            Status::Busy => CommandResult::Rejected {
                retry_after: command_outcome.retry_after.unwrap_or(self.late_write_time),
            },
            _ => CommandResult::Other,
        };
        self.end_command(
            number,
            Some(outcome),
            result,
            command_outcome.may_still_apply,
        );
    }

    /// Ends a command and answers it unless it was aborted. `may_still_apply`: a part of its write
    /// may take effect later.
    pub(super) fn end_command(
        &mut self,
        number: u64,
        outcome: Option<Outcome>,
        result: CommandResult,
        may_still_apply: bool,
    ) {
        let Some(open) = self.commands.remove(&number) else {
            return;
        };
        let volume = &mut self.volumes[open.volume];
        volume
            .pressure
            .closed(self.now, SessionNo(open.session), result);
        self.changed_windows.insert(open.volume);
        let wrote = result == CommandResult::Completed && open.command.action.writes();
        let ready = if may_still_apply {
            self.late_writes.push_back(LateWrite {
                until: self.now + self.late_write_time,
                volume: open.volume,
                command: number,
            });
            volume.overlaps.set_late(number)
        } else if wrote {
            volume.overlaps.close_covering(number)
        } else {
            volume.overlaps.close(number)
        };
        self.launch_all(ready);
        let Some(state) = self.sessions.get_mut(&open.session) else {
            return;
        };
        let actions = match outcome {
            Some(outcome) if !open.aborted => state.session.complete(open.task, outcome),
            _ => state.session.abort_complete(open.task),
        };
        self.perform(open.session, actions);
        self.remove_session_if_ended(open.session);
    }
}
