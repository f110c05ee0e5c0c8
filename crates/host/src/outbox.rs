//! What is to be written on one connection, until the moment it is written.
//!
//! The owner of the decisions puts frames in; the connection's writer takes them out when the socket has
//! room. An attempt stays revocable until its writer took it: whoever revokes it is told truly whether it crossed.
//! Without this an attempt could cross seconds after its node was told to drain, or its client was answered.
//! Nor is it written once its client's reader has seen that the client withdrew it or ended, however much the
//! owner has to hear before that: the reader notes it in the client's own outbox, and the writer looks there.
//! Memory: what is inside is bounded by the attempts a connection carries and, for clients, by `bytes`, which the
//! owner compares with its bound on unread answers.

use bytes::Bytes;
use grebecleat_wire::frame::HEADER;
use grebecleat_wire::pb::{self, frame::Body};
use prost::Message;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// An attempt's number, by this host; never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

// Most items are plain frames: in a box each would be one allocation more.
#[allow(clippy::large_enum_variant)]
#[derive(Debug)]
enum Item {
    Plain(pb::Frame, usize),
    Attempt(AttemptId),
}

#[derive(Debug)]
struct QueuedAttempt {
    frame: pb::Frame,
    size: usize,
    put: Duration,
    until: Duration,
    /// Where its client's answers go.
    client: Option<Arc<Outbox>>,
}

impl QueuedAttempt {
    fn is_wanted(&self, now: Duration) -> bool {
        let id = match &self.frame.body {
            Some(Body::Attempt(m)) => &m.id,
            _ => return now < self.until,
        };
        now < self.until && self.client.as_ref().is_none_or(|c| c.wants(id))
    }
}

#[derive(Debug, Default)]
struct Inner {
    queue: VecDeque<Item>,
    attempts: BTreeMap<AttemptId, QueuedAttempt>,
    bytes: usize,
    writing: bool,
    closed: bool,
    /// Withdrawn by the client, and not yet heard of by the owner.
    cancelled: HashSet<Bytes>,
}

/// What a writer is to write now.
#[derive(Debug, Default, PartialEq)]
pub struct Batch {
    /// When they were taken: of two pulls, the later has the later moment, whichever connections they are
    /// for.
    pub at: Duration,
    pub frames: Vec<pb::Frame>,
    pub closed: bool,
}

pub struct Outbox {
    inner: Mutex<Inner>,
    wake: Box<dyn Fn() + Send + Sync>,
    hang_up: Box<dyn Fn() + Send + Sync>,
}

impl std::fmt::Debug for Outbox {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.lock().fmt(f)
    }
}

impl Outbox {
    /// `wake` is called whenever the writer has something new to look at, `hang_up` when it is to end even if
    /// its peer reads nothing.
    pub fn new(
        wake: impl Fn() + Send + Sync + 'static,
        hang_up: impl Fn() + Send + Sync + 'static,
    ) -> Self {
        Outbox {
            inner: Mutex::default(),
            wake: Box::new(wake),
            hang_up: Box::new(hang_up),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub fn put(&self, frame: pb::Frame) {
        let size = frame_size(&frame);
        let mut inner = self.lock();
        inner.bytes += size;
        inner.queue.push_back(Item::Plain(frame, size));
        drop(inner);
        (self.wake)();
    }

    /// An attempt, which is not written from `until` on.
    pub fn put_attempt(
        &self,
        attempt: AttemptId,
        frame: pb::Frame,
        now: Duration,
        until: Duration,
    ) {
        self.put_attempt_of(attempt, frame, now, until, None);
    }

    /// The same, and not once its client is known to have left it.
    pub fn put_attempt_of(
        &self,
        attempt: AttemptId,
        frame: pb::Frame,
        now: Duration,
        until: Duration,
        client: Option<Arc<Outbox>>,
    ) {
        let size = frame_size(&frame);
        let mut inner = self.lock();
        inner.bytes += size;
        inner.queue.push_back(Item::Attempt(attempt));
        inner.attempts.insert(
            attempt,
            QueuedAttempt {
                frame,
                size,
                put: now,
                until,
                client,
            },
        );
        drop(inner);
        (self.wake)();
    }

    /// What a client says as it is read, before its owner hears it.
    pub fn note_cancels(&self, frames: &[pb::Frame]) {
        for f in frames {
            if let Some(Body::CancelRequest(w)) = &f.body {
                self.lock().cancelled.insert(w.id.clone());
            }
        }
    }

    /// The owner has heard that the client withdrew it, and takes its attempts back by itself from now on.
    pub fn cancel_handled(&self, id: &Bytes) {
        self.lock().cancelled.remove(id);
    }

    fn wants(&self, id: &Bytes) -> bool {
        let inner = self.lock();
        !inner.closed && !inner.cancelled.contains(id)
    }

    /// Takes an attempt back; whether it had not yet gone to the socket, and now never will.
    pub fn revoke(&self, attempt: AttemptId) -> bool {
        let mut inner = self.lock();
        let taken = inner.attempts.remove(&attempt);
        inner.bytes -= taken.as_ref().map_or(0, |w| w.size);
        taken.is_some()
    }

    /// An attempt that has not gone to the socket.
    pub fn is_queued(&self, attempt: AttemptId) -> bool {
        self.lock().attempts.contains_key(&attempt)
    }

    /// The attempts put before `before`, or whose time is up.
    pub fn stale(&self, before: Duration, now: Duration) -> Vec<AttemptId> {
        let inner = self.lock();
        inner
            .attempts
            .iter()
            .filter(|(_, w)| w.put < before || w.until <= now)
            .map(|(attempt, _)| *attempt)
            .collect()
    }

    /// What goes to the socket now, at most about `most` bytes. From here on it counts as crossed; attempts whose
    /// time is up, or whose client has left, stay out, and are for the owner's next look.
    pub fn take_batch(&self, clock: impl FnOnce() -> Duration, most: usize) -> Batch {
        let mut inner = self.lock();
        let now = clock();
        let (mut batch, mut size) = (
            Batch {
                at: now,
                closed: inner.closed,
                frames: Vec::new(),
            },
            0,
        );
        let mut late = VecDeque::new();
        let sent_us = grebecleat_wire::clock::micros(now);
        while size < most {
            match inner.queue.pop_front() {
                None => break,
                Some(Item::Plain(frame, s)) => {
                    size += s;
                    batch.frames.push(pb::Frame { sent_us, ..frame });
                }
                Some(Item::Attempt(attempt)) => match inner.attempts.remove(&attempt) {
                    None => {}
                    Some(w) if !w.is_wanted(now) => {
                        late.push_back(Item::Attempt(attempt));
                        inner.attempts.insert(attempt, w);
                    }
                    Some(mut w) => {
                        size += w.size;
                        // What the wait here took is no longer left to the node.
                        if let Some(Body::Attempt(m)) = &mut w.frame.body {
                            m.left_us = grebecleat_wire::clock::micros(w.until - now);
                        }
                        batch.frames.push(pb::Frame { sent_us, ..w.frame });
                    }
                },
            }
        }
        late.append(&mut inner.queue);
        inner.queue = late;
        inner.bytes -= size;
        inner.writing = !batch.frames.is_empty();
        batch
    }

    /// The writer is done with what it pulled last.
    pub fn batch_written(&self) {
        self.lock().writing = false;
    }

    /// What was pulled last has not been written whole.
    pub fn is_writing(&self) -> bool {
        self.lock().writing
    }

    pub fn bytes(&self) -> usize {
        self.lock().bytes
    }

    /// Nothing waits and nothing is being written.
    pub fn is_flushed(&self) -> bool {
        let inner = self.lock();
        inner.queue.is_empty() && !inner.writing
    }

    pub fn close(&self) {
        if !std::mem::replace(&mut self.lock().closed, true) {
            (self.hang_up)();
            (self.wake)();
        }
    }

    pub fn is_closed(&self) -> bool {
        self.lock().closed
    }
}

fn frame_size(frame: &pb::Frame) -> usize {
    frame.encoded_len() + HEADER
}

#[cfg(test)]
mod tests;
