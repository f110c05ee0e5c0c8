//! A command's requests: sent to where extents lie, answered, placed for the first time, retried.

use super::*;

impl Engine {
    /// Sends a command's requests; of COMPARE AND WRITE first those that read, then those that write.
    pub(super) fn launch(&mut self, no: u64, second: bool) {
        let Some(op) = self.ops.get_mut(&no) else {
            return;
        };
        let data = match (&op.deed, second) {
            (Deed::Write(data), _) => Some(data.clone()),
            (Deed::Compare { then, .. }, true) => Some(then.clone()),
            _ => None,
        };
        let (volume, write) = (op.volume, data.is_some());
        let pieces: Vec<Piece> = self.volumes[volume]
            .layout
            .pieces(op.lba, op.blocks)
            .collect();
        op.gather = Some(Gather::new(pieces.clone(), !write));
        for (place, p) in pieces.into_iter().enumerate() {
            let number = RequestNumber(self.number());
            let part = data
                .as_ref()
                .map(|d| d.slice(p.at..p.at + p.length as usize))
                .unwrap_or_default();
            let request = Request {
                no: number,
                volume: self.volumes[volume].facts.volume,
                extent: p.extent,
                shard: None,
                write,
                offset: p.offset,
                length: p.length,
                data: part,
                version: None,
            };
            self.requests.insert(
                number,
                OpenRequest {
                    op: no,
                    place,
                    request,
                    places: false,
                    shard: None,
                    tries: 0,
                },
            );
            self.send(number);
        }
    }

    /// Sends a request to where its extent lies, a write with the next version. Of an extent that lies
    /// nowhere, reads are zeroes, and the first write goes alone.
    pub(super) fn send(&mut self, no: RequestNumber) {
        let Some(x) = self.requests.get_mut(&no) else {
            return;
        };
        let v = &mut self.volumes[self.ops[&x.op].volume];
        let extent = x.request.extent;
        match v.facts.placed.get(extent) {
            Some(shard) => x.request.shard = Some(shard),
            None if !x.request.write => return self.answered(no, Answer::Done(Bytes::new()), None),
            None if x.places => {}
            None => {
                if let Some(waiting) = v.placing.get_mut(&extent) {
                    return waiting.push_back(no);
                }
                v.placing.insert(extent, VecDeque::new());
                x.places = true;
            }
        }
        if x.places && !self.keeps {
            return self.settle(no, Answer::Unkept);
        }
        if x.request.write {
            x.request.version = self.versions.next();
            match (x.request.version, self.keeps) {
                (Some(_), _) => {}
                (None, true) => return self.unnumbered.push(no),
                (None, false) => return self.settle(no, Answer::Unkept),
            }
        }
        self.out.push(Output::Take(x.request.clone()));
    }

    pub(super) fn answered(&mut self, no: RequestNumber, answer: Answer, shard: Option<u32>) {
        let Some(x) = self.requests.get_mut(&no).filter(|x| x.shard.is_none()) else {
            return;
        };
        if let Answer::Superseded(there) = answer {
            return self.again(no, there, shard);
        }
        if let (true, Answer::Done(_), Some(shard)) = (x.places, &answer, shard) {
            if !self.keeps {
                return self.settle(no, Answer::Unkept);
            }
            x.shard = Some(shard);
            let (volume, extent) = (x.request.volume, x.request.extent);
            return self.out.push(Output::Store {
                no,
                volume,
                extent,
                shard,
            });
        }
        self.settle(no, answer);
    }

    /// A write found a newer version at its node. No other write of these blocks is under way here, so that
    /// one is another host's, or of a start that could keep nothing: this one goes again, above it, as a new
    /// piece of work.
    pub(super) fn again(&mut self, no: RequestNumber, there: u64, shard: Option<u32>) {
        let Some(x) = self.requests.get(&no) else {
            return;
        };
        let wanted = self.ops.get(&x.op).is_some_and(|op| !op.ended);
        if !self.versions.learn(there) || x.tries >= MAX_TRIES || !wanted {
            return self.settle(no, Answer::Superseded(there));
        }
        let (again, mut x) = (
            RequestNumber(self.number()),
            self.requests.remove(&no).expect("looked up above"),
        );
        (x.tries, x.request.no) = (x.tries + 1, again);
        x.request.shard = x.request.shard.or(shard);
        self.requests.insert(again, x);
        self.send(again);
    }

    pub(super) fn stored(&mut self, no: RequestNumber) {
        let Some((x, shard)) = self.requests.get(&no).and_then(|x| Some((x, x.shard?))) else {
            return;
        };
        let volume = self.ops[&x.op].volume;
        self.volumes[volume]
            .facts
            .placed
            .insert(x.request.extent, shard);
        self.settle(no, Answer::Done(Bytes::new()));
    }

    /// From here on no place and no ceiling is kept: what waits for one is answered, and extents that lie
    /// somewhere are still read, and written while versions last.
    pub(super) fn store_gone(&mut self) {
        self.keeps = false;
        let waits = |x: &OpenRequest| x.shard.is_some();
        let waiting: Vec<RequestNumber> = self
            .requests
            .iter()
            .filter(|(_, x)| waits(x))
            .map(|(no, _)| *no)
            .collect();
        waiting
            .into_iter()
            .for_each(|no| self.settle(no, Answer::Unkept));
        std::mem::take(&mut self.unnumbered)
            .into_iter()
            .for_each(|no| self.send(no));
    }

    pub(super) fn settle(&mut self, no: RequestNumber, answer: Answer) {
        let Some(x) = self.requests.remove(&no) else {
            return;
        };
        let Some(op) = self.ops.get_mut(&x.op) else {
            return;
        };
        let volume = op.volume;
        let whole = op.gather.as_mut().and_then(|g| g.take(x.place, answer));
        if x.places {
            // What waited for the place goes there, or the next of it finds one.
            let waiting = self.volumes[volume]
                .placing
                .remove(&x.request.extent)
                .unwrap_or_default();
            waiting.into_iter().for_each(|w| self.send(w));
        }
        if let Some(whole) = whole {
            self.over(x.op, whole);
        }
    }
}
