//! The end of a command: its outcome from those of its requests, and what may start after it.

use super::*;

impl Engine {
    /// All requests of a command's step are answered.
    pub(super) fn over(&mut self, no: u64, whole: Whole) {
        let Some(op) = self.ops.get(&no) else { return };
        let Whole {
            outcome,
            retry_after,
            unsure,
        } = whole;
        let good = outcome.status == Status::Good;
        let at = |a: &[u8], b: &[u8]| a.iter().zip(b).position(|(x, y)| x != y).map(|i| i as u64);
        let outcome = match &op.deed {
            Deed::Verify(Some(with)) if good => match at(with, &outcome.data) {
                Some(i) => Outcome::check(Sense::MISCOMPARE.at(i)),
                None => Outcome::good(Bytes::new()),
            },
            Deed::Verify(None) if good => Outcome::good(Bytes::new()),
            Deed::Compare { with, .. } if good && !outcome.data.is_empty() => {
                match at(with, &outcome.data) {
                    Some(i) => Outcome::check(Sense::MISCOMPARE.at(i)),
                    None if op.ended => outcome,
                    None => return self.launch(no, true),
                }
            }
            _ => outcome,
        };
        let ended = match outcome.status {
            Status::Good => Ended::Done,
            Status::Busy => Ended::Deferred {
                retry_after: retry_after.unwrap_or(self.rest),
            },
            _ => Ended::Other,
        };
        self.end(no, Some(outcome), ended, unsure);
    }

    /// A command has ended; answered, unless it was aborted. `unsure`: it may still have an effect.
    pub(super) fn end(&mut self, no: u64, outcome: Option<Outcome>, ended: Ended, unsure: bool) {
        let Some(op) = self.ops.remove(&no) else {
            return;
        };
        self.volumes[op.volume]
            .pressure
            .closed(self.now, SessionNo(op.session), ended);
        self.pressed.insert(op.volume);
        let wrote =
            ended == Ended::Done && matches!(op.deed, Deed::Write(_) | Deed::Compare { .. });
        let overlaps = &mut self.volumes[op.volume].overlaps;
        let free = match (unsure, wrote) {
            (true, _) => {
                self.resting
                    .push_back((self.now + self.rest, op.volume, no));
                overlaps.rest(no)
            }
            (false, true) => overlaps.cover(no),
            (false, false) => overlaps.close(no),
        };
        free.into_iter().for_each(|no| self.launch(no, false));
        if let Some(s) = self.sessions.get_mut(&op.session) {
            let acts = match outcome.filter(|_| !op.ended) {
                Some(outcome) => s.session.done(op.task, outcome),
                None => s.session.gone(op.task),
            };
            self.acts(op.session, acts);
            self.forget_session(op.session);
        }
    }
}
