//! Requests of commands: sending to the shards of their extents, responses, first placement of an
//! extent, and retries.
//!
//! Called when a command may start and for each response of the host or the store. Each request
//! ends exactly once, in `finish_request`.

use super::messages::{Output, Request, RequestNumber};
use super::records::{BlockAction, OpenRequest, Step};
use super::Engine;
use crate::blocks::{OutcomeCollector, Piece, RequestOutcome};
use bytes::Bytes;
use std::collections::VecDeque;

/// Maximum retries of a write for which its node holds a newer version.
const MAX_RETRIES: u32 = 4;

impl Engine {
    /// Sends the requests of a command's step; COMPARE AND WRITE first reads, then writes.
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
        open.collector = Some(OutcomeCollector::new(pieces.clone(), data.is_none()));
        for (index, piece) in pieces.into_iter().enumerate() {
            let no = RequestNumber(self.next_number());
            let part = match &data {
                Some(data) => {
                    data.slice(piece.data_offset..piece.data_offset + piece.length as usize)
                }
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

    /// Sends a request to the shard of its extent, a write with the next version. From an extent
    /// without a placement reads return zeroes, and its first write is sent alone.
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
                if let Some(waiting) = volume.pending_placements.get_mut(&extent) {
                    return waiting.push_back(no);
                }
                volume.pending_placements.insert(extent, VecDeque::new());
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

    /// Sends the writes that wait for a version, once versions are available or the store has
    /// failed.
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

    /// Retries a write whose node holds a newer version. No other write of these blocks is in
    /// progress here, so the newer version comes from another host, or from a run that could
    /// persist nothing. The write is sent again as a new request with a higher version.
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
        let mut open = self
            .requests
            .remove(&no)
            .expect("the request was looked up above");
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

    /// Handles the failure of the store, after which no placement or ceiling can be persisted.
    /// Waiting requests are answered; extents with a placement are still read, and written while
    /// reserved versions remain.
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

    /// Ends a request, and its command if it was the last one. Requests that waited for the
    /// placement of its extent are sent; if there is still none, the first of them becomes the
    /// first write.
    fn finish_request(&mut self, no: RequestNumber, outcome: RequestOutcome) {
        let Some(open) = self.requests.remove(&no) else {
            return;
        };
        let Some(command) = self.commands.get_mut(&open.command) else {
            return;
        };
        let volume = command.volume;
        let collector = command.collector.as_mut();
        let command_outcome = collector.and_then(|collector| collector.add(open.piece, outcome));
        if open.first_write {
            let pending_placements = &mut self.volumes[volume].pending_placements;
            let waiting = pending_placements
                .remove(&open.request.extent)
                .unwrap_or_default();
            for no in waiting {
                self.send(no);
            }
        }
        if let Some(command_outcome) = command_outcome {
            self.step_ended(open.command, command_outcome);
        }
    }
}
