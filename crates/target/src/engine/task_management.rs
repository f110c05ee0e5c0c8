//! Task management: aborts, resets and the unit attentions that other sessions get from them.

use super::*;

impl Engine {
    /// Aborted commands that wait for their turn end at once, others with their last request.
    pub(super) fn abort(&mut self, session: u64, tasks: &[TaskNo]) {
        let hit = |o: &Op| o.session == session && tasks.contains(&o.task);
        let ops: Vec<u64> = self
            .ops
            .iter()
            .filter(|(_, o)| hit(o))
            .map(|(no, _)| *no)
            .collect();
        for no in ops {
            let op = self.ops.get_mut(&no).expect("listed above");
            op.ended = true;
            if op.gather.is_none() {
                self.end(no, None, Ended::Other, false);
            }
        }
    }

    /// Commands of other sessions at the same units end too, and they are told.
    pub(super) fn reset(&mut self, by: u64, lun: Option<u64>, why: Why) {
        let Some(target) = self.sessions.get(&by).and_then(|s| s.target) else {
            return;
        };
        let units: Vec<usize> = match lun {
            Some(lun) => self.unit_of(target, lun).into_iter().collect(),
            None => self.targets[target].luns.clone(),
        };
        let sense = if why == Why::ClearTaskSet {
            Sense::COMMANDS_CLEARED
        } else {
            Sense::BUS_DEVICE_RESET
        };
        let others: Vec<u64> = self.sessions.keys().copied().filter(|s| *s != by).collect();
        for session in others {
            let hit = |o: &&Op| o.session == session && units.contains(&o.volume);
            let tasks: Vec<TaskNo> = self.ops.values().filter(hit).map(|o| o.task).collect();
            self.abort(session, &tasks);
            if why != Why::ClearTaskSet || !tasks.is_empty() {
                units.iter().for_each(|u| self.attend(session, *u, sense));
            }
        }
    }

    pub(super) fn attend(&mut self, session: u64, unit: usize, sense: Sense) {
        let Some(s) = self.sessions.get_mut(&session) else {
            return;
        };
        if let Some(held) = s
            .attentions
            .get_mut(&unit)
            .filter(|h| h.len() < MAX_ATTENTIONS)
        {
            held.push_back(sense);
        }
    }

    /// The volume of a LUN in peripheral or flat addressing (SAM-5, 4.7).
    pub(super) fn unit_of(&self, target: usize, lun: u64) -> Option<usize> {
        let (first, rest) = ((lun >> 48) as u16, lun & 0xffff_ffff_ffff);
        let index = match first >> 14 {
            0 if first < 0x100 => usize::from(first),
            1 => usize::from(first & 0x3fff),
            _ => return None,
        };
        self.targets[target]
            .luns
            .get(index)
            .copied()
            .filter(|_| rest == 0)
    }
}
