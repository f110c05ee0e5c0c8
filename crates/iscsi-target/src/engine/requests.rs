//! The requests of a command: sent to where extents lie, answered, placed for the first time, sent
//! again.
//!
//! Called when a command may start and for each answer of the host or the store. A request ends in
//! `finish_request`, exactly once.

use super::messages::{Output, Request, RequestNumber};
use super::records::{BlockAction, OpenRequest, Step};
use super::Engine;
use crate::blocks::{Gather, Piece, RequestOutcome};
use bytes::Bytes;
use std::collections::VecDeque;

/// How often a write goes again above a version that it found at its node.
const MAX_RETRIES: u32 = 4;

impl Engine {
    /// Sends a command's requests; of COMPARE AND WRITE first those that read, then those that
    /// write.
    pub(super) fn launch(&mut self, number: u64, step: Step) {
        let Some(open) = self.commands.get_mut(&number) else {
            return;
        };
        let data = match (&open.command.action, step) {
            (BlockAction::Write(data), _) => Some(data.clone()),
            (BlockAction::CompareAndWrite { replacement, .. }, Step::WriteAfterCompare) => {
                Some(replacement.clone())
            }
            _ => None,
        };
        let volume = &self.volumes[open.volume];
        let volume_id = volume.facts.volume;
        let pieces: Vec<Piece> = volume
            .layout
            .pieces(open.command.lba, open.command.blocks)
            .collect();
        open.gather = Some(Gather::new(pieces.clone(), data.is_none()));
        for (index, piece) in pieces.into_iter().enumerate() {
            let no = RequestNumber(self.next_number());
            let part = match &data {
                Some(data) => data.slice(piece.at..piece.at + piece.length as usize),
                None => Bytes::new(),
            };
            let request = Request {
                no,
                volume: volume_id,
                extent: piece.extent,
                shard: None,
                write: data.is_some(),
                offset: piece.offset,
                length: piece.length,
                data: part,
                version: None,
            };
            let open_request = OpenRequest {
                command: number,
                piece: index,
                request,
                first_write: false,
                persisting_shard: None,
                retries: 0,
            };
            self.requests.insert(no, open_request);
            self.send(no);
        }
    }

    /// Sends a request to where its extent lies, a write with the next version. Of an extent that
    /// lies nowhere, reads are zeroes, and the first write goes alone.
    fn send(&mut self, no: RequestNumber) {
        let Some(open) = self.requests.get_mut(&no) else {
            return;
        };
        let volume = &mut self.volumes[self.commands[&open.command].volume];
        let extent = open.request.extent;
        match volume.facts.placed.get(extent) {
            Some(shard) => open.request.shard = Some(shard),
            None if !open.request.write => {
                return self.request_finished(no, RequestOutcome::Completed(Bytes::new()), None);
            }
            None if open.first_write => {}
            None => {
                if let Some(waiting) = volume.placing.get_mut(&extent) {
                    return waiting.push_back(no);
                }
                volume.placing.insert(extent, VecDeque::new());
                open.first_write = true;
            }
        }
        if open.first_write && !self.store_available {
            return self.finish_request(no, RequestOutcome::NotPersisted);
        }
        if open.request.write {
            open.request.version = self.versions.next();
            if open.request.version.is_none() && self.store_available {
                return self.awaiting_version.push(no);
            }
            if open.request.version.is_none() {
                return self.finish_request(no, RequestOutcome::NotPersisted);
            }
        }
        self.outputs.push(Output::Submit(open.request.clone()));
    }

    /// Sends what waits for a version: there is one now, or there will be none.
    pub(super) fn send_awaiting_version(&mut self) {
        for no in std::mem::take(&mut self.awaiting_version) {
            self.send(no);
        }
    }

    pub(super) fn request_finished(
        &mut self,
        no: RequestNumber,
        outcome: RequestOutcome,
        shard: Option<u32>,
    ) {
        let Some(open) = self.requests.get_mut(&no) else {
            return;
        };
        if open.persisting_shard.is_some() {
            return;
        }
        if let RequestOutcome::Superseded(found) = outcome {
            return self.retry_above(no, found, shard);
        }
        let Some(shard) = shard else {
            return self.finish_request(no, outcome);
        };
        if !open.first_write || !matches!(outcome, RequestOutcome::Completed(_)) {
            return self.finish_request(no, outcome);
        }
        if !self.store_available {
            return self.finish_request(no, RequestOutcome::NotPersisted);
        }
        open.persisting_shard = Some(shard);
        self.outputs.push(Output::PersistPlacement {
            no,
            volume: open.request.volume,
            extent: open.request.extent,
            shard,
        });
    }

    /// A write found a newer version at its node. No other write of these blocks is in progress
    /// here, so that one is another host's, or of a start that could persist nothing: this one goes
    /// again, above it, as a new request.
    fn retry_above(&mut self, no: RequestNumber, found: u64, shard: Option<u32>) {
        let Some(open) = self.requests.get(&no) else {
            return;
        };
        let command = self.commands.get(&open.command);
        let wanted = command.is_some_and(|command| !command.aborted);
        if !self.versions.observe(found) || open.retries >= MAX_RETRIES || !wanted {
            return self.finish_request(no, RequestOutcome::Superseded(found));
        }
        let retry = RequestNumber(self.next_number());
        let mut open = self.requests.remove(&no).expect("looked up above");
        open.retries += 1;
        open.request.no = retry;
        open.request.shard = open.request.shard.or(shard);
        self.requests.insert(retry, open);
        self.send(retry);
    }

    pub(super) fn placement_persisted(&mut self, no: RequestNumber) {
        let Some(open) = self.requests.get(&no) else {
            return;
        };
        let Some(shard) = open.persisting_shard else {
            return;
        };
        let volume = self.commands[&open.command].volume;
        let placed = &mut self.volumes[volume].facts.placed;
        placed.insert(open.request.extent, shard);
        self.finish_request(no, RequestOutcome::Completed(Bytes::new()));
    }

    /// From here on no place and no ceiling is persisted: what waits for one is answered, and
    /// extents that lie somewhere are still read, and written while versions last.
    pub(super) fn store_failed(&mut self) {
        self.store_available = false;
        let waiting: Vec<RequestNumber> = self
            .requests
            .iter()
            .filter(|(_, open)| open.persisting_shard.is_some())
            .map(|(no, _)| *no)
            .collect();
        for no in waiting {
            self.finish_request(no, RequestOutcome::NotPersisted);
        }
        self.send_awaiting_version();
    }

    /// Ends a request; its command too, if it was the last. What waited for its extent's place goes
    /// there, or the next of it finds one.
    fn finish_request(&mut self, no: RequestNumber, outcome: RequestOutcome) {
        let Some(open) = self.requests.remove(&no) else {
            return;
        };
        let Some(command) = self.commands.get_mut(&open.command) else {
            return;
        };
        let volume = command.volume;
        let gather = command.gather.as_mut();
        let gathered = gather.and_then(|gather| gather.add(open.piece, outcome));
        if open.first_write {
            let placing = &mut self.volumes[volume].placing;
            let waiting = placing.remove(&open.request.extent).unwrap_or_default();
            for no in waiting {
                self.send(no);
            }
        }
        if let Some(gathered) = gathered {
            self.step_over(open.command, gathered);
        }
    }
}
