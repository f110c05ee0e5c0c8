//! What is to be written on one connection, until the moment it is written.
//!
//! The owner of the decisions puts frames in; the connection's writer takes them out when the
//! socket has room. An attempt stays revocable until its writer took it: whoever revokes it is told
//! truly whether it crossed. Without this an attempt could cross seconds after its node was told to
//! drain, or its client was answered. Nor is it written once its client's reader has seen that the
//! client cancelled it or ended, however much the owner has to hear before that: the reader notes
//! it in the client's own outbox, and the writer looks there.
//!
//! Memory: bounded by the attempts that a connection carries and, for clients, by
//! [`Outbox::bytes`], which the owner compares with its bound on unread answers.

use bytes::Bytes;
use grebecleat_wire::frame::HEADER;
use grebecleat_wire::pb::{self, frame::Body};
use prost::Message;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Identifies an attempt of this host; never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

// Most items are plain frames: in a box each would be one allocation more.
#[allow(clippy::large_enum_variant)]
#[derive(Debug)]
enum Item {
    /// A frame, and its size in bytes.
    Plain(pb::Frame, usize),
    /// An attempt of [`Inner::attempts`]; one that is not there any more was revoked.
    Attempt(AttemptId),
}

#[derive(Debug)]
struct QueuedAttempt {
    frame: pb::Frame,
    /// In bytes.
    size: usize,
    /// When it was put in.
    put: Duration,
    /// It is not written from then on.
    deadline: Duration,
    /// Where its client's answers go.
    client: Option<Arc<Outbox>>,
}

impl QueuedAttempt {
    /// Its frame with the time that is left to the node: what the wait here took is none of it.
    fn stamped(self, now: Duration) -> pb::Frame {
        let mut frame = self.frame;
        if let Some(Body::Attempt(message)) = &mut frame.body {
            message.left_us = grebecleat_wire::clock::micros(self.deadline - now);
        }
        frame
    }

    fn is_wanted(&self, now: Duration) -> bool {
        let id = match &self.frame.body {
            Some(Body::Attempt(m)) => &m.id,
            _ => return now < self.deadline,
        };
        now < self.deadline && self.client.as_ref().is_none_or(|c| c.wants(id))
    }
}

#[derive(Debug, Default)]
struct Inner {
    queue: VecDeque<Item>,
    attempts: BTreeMap<AttemptId, QueuedAttempt>,
    bytes: usize,
    writing: bool,
    closed: bool,
    /// Cancelled by the client, and not yet handled by the owner.
    cancelled: HashSet<Bytes>,
}

/// What a writer is to write now.
#[derive(Debug, Default, PartialEq)]
pub struct Batch {
    /// When it was taken: of two batches, the later has the later moment, whichever connections
    /// they are for.
    pub at: Duration,
    /// In order.
    pub frames: Vec<pb::Frame>,
    /// The outbox is closed: after this batch the writer ends.
    pub closed: bool,
}

/// The frames that wait for one connection's writer.
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
    /// `wake` is called whenever the writer has something new to look at, `hang_up` when it is to
    /// end even if its peer reads nothing.
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

    /// Adds a frame.
    pub fn put(&self, frame: pb::Frame) {
        let size = frame_size(&frame);
        let mut inner = self.lock();
        inner.bytes += size;
        inner.queue.push_back(Item::Plain(frame, size));
        drop(inner);
        (self.wake)();
    }

    /// Adds an attempt, which is not written from `deadline` on.
    pub fn put_attempt(
        &self,
        attempt: AttemptId,
        frame: pb::Frame,
        now: Duration,
        deadline: Duration,
    ) {
        self.put_attempt_of(attempt, frame, now, deadline, None);
    }

    /// The same, and not once its client is known to have cancelled it; `client`: where that one's
    /// answers go.
    pub fn put_attempt_of(
        &self,
        attempt: AttemptId,
        frame: pb::Frame,
        now: Duration,
        deadline: Duration,
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
                deadline,
                client,
            },
        );
        drop(inner);
        (self.wake)();
    }

    /// Notes what a client cancels as it is read, before the owner handles it.
    pub fn note_cancels(&self, frames: &[pb::Frame]) {
        for f in frames {
            if let Some(Body::CancelRequest(w)) = &f.body {
                self.lock().cancelled.insert(w.id.clone());
            }
        }
    }

    /// The owner has handled a cancel, and revokes the request's attempts by itself from now on.
    pub fn cancel_handled(&self, id: &Bytes) {
        self.lock().cancelled.remove(id);
    }

    fn wants(&self, id: &Bytes) -> bool {
        let inner = self.lock();
        !inner.closed && !inner.cancelled.contains(id)
    }

    /// Revokes an attempt; whether it had not yet gone to the socket, and now never will.
    pub fn revoke(&self, attempt: AttemptId) -> bool {
        let mut inner = self.lock();
        let taken = inner.attempts.remove(&attempt);
        inner.bytes -= taken.as_ref().map_or(0, |w| w.size);
        taken.is_some()
    }

    /// Whether an attempt has not gone to the socket.
    pub fn is_queued(&self, attempt: AttemptId) -> bool {
        self.lock().attempts.contains_key(&attempt)
    }

    /// The attempts put in before `before`, or whose deadline has passed.
    pub fn stale(&self, before: Duration, now: Duration) -> Vec<AttemptId> {
        let inner = self.lock();
        inner
            .attempts
            .iter()
            .filter(|(_, w)| w.put < before || w.deadline <= now)
            .map(|(attempt, _)| *attempt)
            .collect()
    }

    /// Takes what goes to the socket now, at most about `max_bytes`. From here on it counts as
    /// crossed; attempts whose deadline has passed, or whose client has left, stay, and are for the
    /// owner's next sweep.
    pub fn take_batch(&self, clock: impl FnOnce() -> Duration, max_bytes: usize) -> Batch {
        let mut inner = self.lock();
        let now = clock();
        let sent_us = grebecleat_wire::clock::micros(now);
        let mut frames = Vec::new();
        let mut bytes = 0;
        let mut kept_back = VecDeque::new();
        while bytes < max_bytes {
            let (frame, size) = match inner.queue.pop_front() {
                None => break,
                Some(Item::Plain(frame, size)) => (frame, size),
                Some(Item::Attempt(attempt)) => match inner.attempts.remove(&attempt) {
                    None => continue,
                    Some(queued) if !queued.is_wanted(now) => {
                        kept_back.push_back(Item::Attempt(attempt));
                        inner.attempts.insert(attempt, queued);
                        continue;
                    }
                    Some(queued) => {
                        let size = queued.size;
                        (queued.stamped(now), size)
                    }
                },
            };
            bytes += size;
            frames.push(pb::Frame { sent_us, ..frame });
        }
        kept_back.append(&mut inner.queue);
        inner.queue = kept_back;
        inner.bytes -= bytes;
        inner.writing = !frames.is_empty();
        Batch {
            at: now,
            frames,
            closed: inner.closed,
        }
    }

    /// The writer has written its last batch whole.
    pub fn batch_written(&self) {
        self.lock().writing = false;
    }

    /// Whether the last batch has not been written whole.
    pub fn is_writing(&self) -> bool {
        self.lock().writing
    }

    /// Bytes that wait.
    pub fn bytes(&self) -> usize {
        self.lock().bytes
    }

    /// Whether nothing waits and nothing is being written.
    pub fn is_flushed(&self) -> bool {
        let inner = self.lock();
        inner.queue.is_empty() && !inner.writing
    }

    /// Ends the connection: what waits is written if the peer reads, and nothing after it.
    pub fn close(&self) {
        if !std::mem::replace(&mut self.lock().closed, true) {
            (self.hang_up)();
            (self.wake)();
        }
    }

    /// Whether it is closed.
    pub fn is_closed(&self) -> bool {
        self.lock().closed
    }
}

fn frame_size(frame: &pb::Frame) -> usize {
    frame.encoded_len() + HEADER
}

#[cfg(test)]
mod tests;
