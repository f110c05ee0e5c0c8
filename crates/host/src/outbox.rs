//! The frames that wait to be written on one connection.
//!
//! The owner of the router puts frames in; the connection's writer takes them out when the socket
//! has capacity. An attempt can be revoked until the writer takes it, and the result of the
//! revocation is exact: otherwise an attempt could be written seconds after its node was set
//! draining, or after its client had its response. The writer also skips an attempt as soon as the
//! reader of its client's connection has read a cancellation or the end of the connection, however
//! many inputs the owner has to handle before: the reader notes the cancellation in the client's own
//! outbox, where the writer looks it up.
//!
//! Memory: bounded by the attempts that a connection carries and, for clients, by
//! [`Outbox::bytes`], which the owner compares with its bound on unread responses.

use bytes::Bytes;
use grebecleat_wire::frame::HEADER;
use grebecleat_wire::pb::{self, frame::Body};
use prost::Message;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// The number of an attempt of this host. No number is used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

// Most items are plain frames. A box would add an allocation for each of them.
#[allow(clippy::large_enum_variant)]
#[derive(Debug)]
enum Item {
    /// A frame, and its size in bytes.
    Plain(pb::Frame, usize),
    /// An attempt in [`Inner::attempts`]. An attempt that is no longer there was revoked.
    Attempt(AttemptId),
}

#[derive(Debug)]
struct QueuedAttempt {
    frame: pb::Frame,
    /// Size of the frame, in bytes.
    size: usize,
    /// When it was put into the outbox.
    put: Duration,
    /// The attempt is not written from this moment on.
    deadline: Duration,
    /// The outbox of the client's connection.
    client: Option<Arc<Outbox>>,
}

impl QueuedAttempt {
    /// Returns the frame with the time that is left to the node: that from `now` to the deadline.
    fn stamped(self, now: Duration) -> pb::Frame {
        let mut frame = self.frame;
        if let Some(Body::Attempt(message)) = &mut frame.body {
            message.left_us = grebecleat_wire::clock::micros(self.deadline - now);
        }
        frame
    }

    /// Returns whether the deadline has not passed and the client has not cancelled the request.
    fn is_wanted(&self, now: Duration) -> bool {
        if now >= self.deadline {
            return false;
        }
        let Some(Body::Attempt(message)) = &self.frame.body else {
            return true;
        };
        let client = self.client.as_ref();
        client.is_none_or(|client| client.wants(&message.id))
    }
}

#[derive(Debug, Default)]
struct Inner {
    queue: VecDeque<Item>,
    attempts: BTreeMap<AttemptId, QueuedAttempt>,
    bytes: usize,
    writing: bool,
    closed: bool,
    /// Requests that the client has cancelled, and whose cancellation the owner has not handled yet.
    cancelled: HashSet<Bytes>,
}

/// The frames that a writer is to write now.
#[derive(Debug, Default, PartialEq)]
pub struct Batch {
    /// When the batch was taken. The later of two batches has the later moment, also when they are
    /// for different connections.
    pub at: Duration,
    /// The frames, in order.
    pub frames: Vec<pb::Frame>,
    /// Whether the outbox is closed: the writer ends after this batch.
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
    /// An empty outbox. `wake` is called whenever the writer has something new to handle, and
    /// `hang_up` when it is to end even if its peer does not read.
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
        self.inner
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
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

    /// Adds an attempt, which is written neither from `deadline` on, nor once its client has
    /// cancelled the request. `client` is the outbox of the client's connection.
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

    /// Notes the cancellations among the frames of a client, before the owner handles them.
    pub fn note_cancels(&self, frames: &[pb::Frame]) {
        for frame in frames {
            if let Some(Body::CancelRequest(cancel)) = &frame.body {
                self.lock().cancelled.insert(cancel.id.clone());
            }
        }
    }

    /// Forgets a cancellation that the owner has handled. From here on the owner revokes the
    /// request's attempts itself.
    pub fn cancel_handled(&self, id: &Bytes) {
        self.lock().cancelled.remove(id);
    }

    fn wants(&self, id: &Bytes) -> bool {
        let inner = self.lock();
        !inner.closed && !inner.cancelled.contains(id)
    }

    /// Revokes an attempt, and returns whether it was not written yet, and now never will be.
    pub fn revoke(&self, attempt: AttemptId) -> bool {
        let mut inner = self.lock();
        let taken = inner.attempts.remove(&attempt);
        inner.bytes -= taken.as_ref().map_or(0, |queued| queued.size);
        taken.is_some()
    }

    /// Returns whether an attempt waits to be written.
    pub fn is_queued(&self, attempt: AttemptId) -> bool {
        self.lock().attempts.contains_key(&attempt)
    }

    /// Returns the attempts that were put in before `before`, or whose deadline has passed.
    pub fn stale(&self, before: Duration, now: Duration) -> Vec<AttemptId> {
        let inner = self.lock();
        inner
            .attempts
            .iter()
            .filter(|(_, queued)| queued.put < before || queued.deadline <= now)
            .map(|(attempt, _)| *attempt)
            .collect()
    }

    /// Takes the frames to be written now, of about `max_bytes` bytes at most. From here on they
    /// count as written. Attempts whose deadline has passed, or whose client has cancelled, stay in
    /// the outbox until the owner's next sweep.
    pub fn take_batch(&self, clock: impl FnOnce() -> Duration, max_bytes: usize) -> Batch {
        let mut inner = self.lock();
        let now = clock();
        let sent_us = grebecleat_wire::clock::micros(now);
        let mut frames = Vec::new();
        let mut bytes = 0;
        let mut retained = VecDeque::new();
        while bytes < max_bytes {
            let (frame, size) = match inner.queue.pop_front() {
                None => break,
                Some(Item::Plain(frame, size)) => (frame, size),
                Some(Item::Attempt(attempt)) => match inner.attempts.remove(&attempt) {
                    None => continue,
                    Some(queued) if !queued.is_wanted(now) => {
                        retained.push_back(Item::Attempt(attempt));
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
        retained.append(&mut inner.queue);
        inner.queue = retained;
        inner.bytes -= bytes;
        inner.writing = !frames.is_empty();
        Batch {
            at: now,
            frames,
            closed: inner.closed,
        }
    }

    /// Records that the writer has written its last batch completely.
    pub fn batch_written(&self) {
        self.lock().writing = false;
    }

    /// Returns whether the last batch is not yet written completely.
    pub fn is_writing(&self) -> bool {
        self.lock().writing
    }

    /// Returns the bytes that wait to be written.
    pub fn bytes(&self) -> usize {
        self.lock().bytes
    }

    /// Returns whether no frame waits and none is being written.
    pub fn is_flushed(&self) -> bool {
        let inner = self.lock();
        inner.queue.is_empty() && !inner.writing
    }

    /// Ends the connection. Frames that wait are written if the peer reads; later ones are not.
    pub fn close(&self) {
        if !std::mem::replace(&mut self.lock().closed, true) {
            (self.hang_up)();
            (self.wake)();
        }
    }

    /// Returns whether the outbox is closed.
    pub fn is_closed(&self) -> bool {
        self.lock().closed
    }
}

fn frame_size(frame: &pb::Frame) -> usize {
    frame.encoded_len() + HEADER
}

#[cfg(test)]
mod tests;
