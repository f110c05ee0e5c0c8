//! SCSI commands: what is answered at once, and what needs the blocks of a volume.

use super::*;

impl Engine {
    pub(super) fn answer(&mut self, session: u64, task: TaskNo, outcome: Outcome) {
        if let Some(s) = self.sessions.get_mut(&session) {
            let acts = s.session.done(task, outcome);
            self.acts(session, acts);
        }
    }

    pub(super) fn start(
        &mut self,
        session: u64,
        task: TaskNo,
        lun: u64,
        cdb: [u8; 16],
        data: Bytes,
        max_in: u32,
    ) {
        let outcome = self.begin(session, task, lun, cdb, data, max_in);
        if let Some(outcome) = outcome {
            self.answer(session, task, outcome);
        }
    }

    /// What can be answered at once, is; None where requests are under way.
    pub(super) fn begin(
        &mut self,
        session: u64,
        task: TaskNo,
        lun: u64,
        cdb: [u8; 16],
        data: Bytes,
        max_in: u32,
    ) -> Option<Outcome> {
        let check = |s| Some(Outcome::check(s));
        let command = match decode(&cdb) {
            Ok(command) => command,
            Err(sense) => return check(sense),
        };
        let s = self.sessions.get_mut(&session)?;
        let target = s.target?;
        let luns: Vec<u64> = (0..self.targets[target].luns.len())
            .map(|i| (i as u64) << 48)
            .collect();
        let Some(volume) = self.unit_of(target, lun) else {
            return match command {
                Command::Inquiry { page: None, most } => {
                    let mut none = vec![0x7f, 0, 0x06, 0x02, 31];
                    none.resize(36, 0);
                    none.truncate(most);
                    Some(Outcome::good(none))
                }
                Command::ReportLuns { .. } => {
                    let unit = &self.volumes[*self.targets[target].luns.first()?].facts.unit;
                    unit.answer(&command, &luns, Sense::NONE)
                        .map(|a| a.map_or_else(Outcome::check, Outcome::good))
                }
                _ => check(Sense::LUN_NOT_SUPPORTED),
            };
        };
        let s = self.sessions.get_mut(&session)?;
        let held = s.attentions.entry(volume).or_default();
        let pending = match command {
            Command::RequestSense { .. } => held.pop_front().unwrap_or(Sense::NONE),
            _ if attention_passes(&command) => Sense::NONE,
            _ => match held.pop_front() {
                Some(sense) => return check(sense),
                None => Sense::NONE,
            },
        };
        let (nexus, v) = (Nexus(session), &mut self.volumes[volume]);
        if !v.reservations.allows(nexus, &command) {
            return Some(Outcome::status(Status::ReservationConflict));
        }
        if let Some(answer) = v.facts.unit.answer(&command, &luns, pending) {
            return Some(answer.map_or_else(Outcome::check, Outcome::good));
        }
        match command {
            Command::ReserveIn { action, most } => {
                let told = v.reservations.tell(action);
                Some(told.map_or_else(Outcome::check, |mut b| {
                    b.truncate(most);
                    Outcome::good(b)
                }))
            }
            Command::ReserveOut {
                action,
                scope,
                kind,
                length,
            } if data.len() >= length => {
                match v
                    .reservations
                    .change(nexus, action, scope, kind, &data[..length])
                {
                    Ok(told) => {
                        told.attentions
                            .iter()
                            .for_each(|(n, s)| self.attend(n.0, volume, *s));
                        for n in told.aborted {
                            let hit = |o: &&Op| o.session == n.0 && o.volume == volume;
                            let tasks: Vec<TaskNo> =
                                self.ops.values().filter(hit).map(|o| o.task).collect();
                            self.abort(n.0, &tasks);
                        }
                        Some(Outcome::good(Bytes::new()))
                    }
                    Err(Refused::Conflict) => Some(Outcome::status(Status::ReservationConflict)),
                    Err(Refused::Check(sense)) => check(sense),
                }
            }
            Command::ReserveOut { .. } => check(Sense::PARAMETER_LIST_LENGTH),
            _ => self.on_blocks(session, task, volume, command, data, max_in),
        }
    }
}
