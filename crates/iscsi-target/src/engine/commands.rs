//! SCSI commands: answers those that need no blocks at once, and turns the others into requests.
//!
//! Called for each command that a session starts. Checks follow the order of SAM-5: the logical
//! unit, unit attentions, reservations, then the command itself.

use super::records::ScsiCommand;
use super::Engine;
use bytes::Bytes;
use grebecleat_iscsi::reservations::{Nexus, ReservationError};
use grebecleat_iscsi::scsi::{decode, Command, Sense, Status};
use grebecleat_iscsi::session::Outcome;

/// Standard INQUIRY data of a LUN without a unit: qualifier and type "not supported", SPC-4, 31
/// more bytes.
const NO_UNIT_INQUIRY: [u8; 5] = [0x7f, 0, 0x06, 0x02, 31];
const INQUIRY_BYTES: usize = 36;

/// Whether a command is executed even if a unit attention is pending (SAM-5, 5.14).
fn passes_attention(command: &Command) -> bool {
    matches!(
        command,
        Command::Inquiry { .. } | Command::ReportLuns { .. } | Command::RequestSense { .. }
    )
}

fn outcome_of(answer: Result<Vec<u8>, Sense>) -> Outcome {
    match answer {
        Ok(data) => Outcome::good(data),
        Err(sense) => Outcome::check(sense),
    }
}

impl Engine {
    pub(super) fn start(&mut self, scsi: ScsiCommand) {
        let session = scsi.session;
        let task = scsi.task;
        let Some(outcome) = self.begin(scsi) else {
            return;
        };
        if let Some(state) = self.sessions.get_mut(&session) {
            let actions = state.session.complete(task, outcome);
            self.perform(session, actions);
        }
    }

    /// Returns the outcome of a command that is answered at once; `None` while its requests are in
    /// progress.
    fn begin(&mut self, scsi: ScsiCommand) -> Option<Outcome> {
        let command = match decode(&scsi.cdb) {
            Ok(command) => command,
            Err(sense) => return Some(Outcome::check(sense)),
        };
        let target = self.sessions.get(&scsi.session)?.target?;
        let luns: Vec<u64> = (0..self.targets[target].luns.len())
            .map(|index| (index as u64) << 48)
            .collect();
        let Some(volume) = self.unit_of(target, scsi.lun) else {
            return self.answer_without_unit(target, &command, &luns);
        };
        let pending = match self.take_attention(scsi.session, volume, &command)? {
            Ok(pending) => pending,
            Err(sense) => return Some(Outcome::check(sense)),
        };
        let unit = &self.volumes[volume];
        if !unit.reservations.allows(Nexus(scsi.session), &command) {
            return Some(Outcome::status(Status::ReservationConflict));
        }
        if let Some(answer) = unit.facts.unit.answer(&command, &luns, pending) {
            return Some(outcome_of(answer));
        }
        match command {
            Command::ReserveIn { action, most } => {
                let mut answer = unit.reservations.persistent_reserve_in(action);
                if let Ok(data) = &mut answer {
                    data.truncate(most);
                }
                Some(outcome_of(answer))
            }
            Command::ReserveOut { length, .. } if scsi.data.len() >= length => {
                Some(self.reserve(scsi.session, volume, &command, &scsi.data[..length]))
            }
            Command::ReserveOut { .. } => Some(Outcome::check(Sense::PARAMETER_LIST_LENGTH)),
            _ => self.start_on_blocks(scsi, volume, command),
        }
    }

    /// Answers commands to a LUN without a logical unit (SAM-5, 4.7.4).
    fn answer_without_unit(
        &self,
        target: usize,
        command: &Command,
        luns: &[u64],
    ) -> Option<Outcome> {
        match command {
            Command::Inquiry { page: None, most } => {
                let mut data = NO_UNIT_INQUIRY.to_vec();
                data.resize(INQUIRY_BYTES, 0);
                data.truncate(*most);
                Some(Outcome::good(data))
            }
            Command::ReportLuns { .. } => {
                let first = *self.targets[target].luns.first()?;
                let unit = &self.volumes[first].facts.unit;
                unit.answer(command, luns, Sense::NONE).map(outcome_of)
            }
            _ => Some(Outcome::check(Sense::LUN_NOT_SUPPORTED)),
        }
    }

    /// Returns the sense data for REQUEST SENSE, or as an error the unit attention that this
    /// command reports; `None` without a session.
    fn take_attention(
        &mut self,
        session: u64,
        volume: usize,
        command: &Command,
    ) -> Option<Result<Sense, Sense>> {
        let state = self.sessions.get_mut(&session)?;
        let attentions = state.attentions.entry(volume).or_default();
        if matches!(command, Command::RequestSense { .. }) {
            return Some(Ok(attentions.pop_front().unwrap_or(Sense::NONE)));
        }
        if passes_attention(command) {
            return Some(Ok(Sense::NONE));
        }
        Some(match attentions.pop_front() {
            Some(sense) => Err(sense),
            None => Ok(Sense::NONE),
        })
    }

    /// Executes PERSISTENT RESERVE OUT and applies its effects on other sessions: unit attentions
    /// and aborted commands.
    fn reserve(
        &mut self,
        session: u64,
        volume: usize,
        command: &Command,
        parameters: &[u8],
    ) -> Outcome {
        let Command::ReserveOut {
            action,
            scope,
            kind,
            ..
        } = *command
        else {
            return Outcome::check(Sense::INVALID_OPCODE);
        };
        let reservations = &mut self.volumes[volume].reservations;
        match reservations.persistent_reserve_out(Nexus(session), action, scope, kind, parameters) {
            Ok(effects) => {
                for (other, sense) in &effects.attentions {
                    self.add_attention(other.0, volume, *sense);
                }
                for other in effects.aborted {
                    self.abort_on_volumes(other.0, &[volume]);
                }
                Outcome::good(Bytes::new())
            }
            Err(ReservationError::Conflict) => Outcome::status(Status::ReservationConflict),
            Err(ReservationError::Check(sense)) => Outcome::check(sense),
        }
    }
}
