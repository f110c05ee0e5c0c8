//! The frames that wait to be written on one connection.
//!
//! The owner of the router adds frames; the connection's writer takes them when the socket has
//! capacity. An attempt can be revoked until the writer takes it, and the owner learns reliably whether
//! the revocation was in time. Without revocation, an attempt could be written seconds after its node
//! was set to draining, or after its client had received the response. The writer also skips an attempt
//! as soon as the reader of its client's connection has read a cancellation or the end of the
//! connection, even if the owner has many inputs to handle before it handles that one: the reader
//! records the cancellation in the client's own outbox, where the writer looks it up.
//!
//! Memory: bounded by the number of attempts that a connection carries and, for clients, by the owner,
//! which compares [`Outbox::bytes`] with its bound on unread responses.

use bytes::Bytes;
use grebecleat_wire::frame::HEADER;
use grebecleat_wire::pb::{self, frame::Body};
use prost::Message;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// The number of an attempt, unique within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

// Most items are plain frames. Boxing the large variant would add an allocation for each of them.
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
    /// When it was added to the outbox.
    added_at: Duration,
    /// From this time on the attempt is not written.
    deadline: Duration,
    /// The outbox of the client's connection, if it is known.
    client: Option<Arc<Outbox>>,
}

impl QueuedAttempt {
    /// Returns the frame with the time that is left to the node, from `now` to the deadline.
    fn with_time_left(self, now: Duration) -> pb::Frame {
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
        client.is_none_or(|client| client.is_request_wanted(&message.id))
    }
}

#[derive(Debug, Default)]
struct Inner {
    queue: VecDeque<Item>,
    attempts: BTreeMap<AttemptId, QueuedAttempt>,
    /// Size of the waiting frames, in bytes.
    bytes: usize,
    /// Whether the last batch is still being written.
    writing: bool,
    closed: bool,
    /// The ids of requests that the client has cancelled and whose cancellation the owner has not handled
    /// yet.
    cancelled: HashSet<Bytes>,
}

/// The frames that a writer takes at a time.
#[derive(Debug, Default, PartialEq)]
pub struct Batch {
    /// When the batch was taken. Of two batches, also of different connections, the one that was taken
    /// later has the later time.
    pub at: Duration,
    /// The frames, in order.
    pub frames: Vec<pb::Frame>,
    /// Whether the outbox is closed, so that the writer ends after this batch.
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
    /// Returns an empty outbox. `wake` is called whenever there is new work for the writer, and `hang_up`
    /// when the writer must end even if its peer does not read.
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
        self.put_client_attempt(attempt, frame, now, deadline, None);
    }

    /// Adds an attempt, which is written neither from `deadline` on, nor once its client has
    /// cancelled the request. `client` is the outbox of the client's connection.
    pub fn put_client_attempt(
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
                added_at: now,
                deadline,
                client,
            },
        );
        drop(inner);
        (self.wake)();
    }

    /// Records the cancellations among the frames of a client before the owner handles them.
    pub fn record_cancellations(&self, frames: &[pb::Frame]) {
        for frame in frames {
            if let Some(Body::CancelRequest(cancel)) = &frame.body {
                self.lock().cancelled.insert(cancel.id.clone());
            }
        }
    }

    /// Forgets a cancellation that the owner has handled. From then on the owner itself revokes the
    /// request's attempts.
    pub fn forget_cancellation(&self, id: &Bytes) {
        self.lock().cancelled.remove(id);
    }

    /// Returns whether this outbox's client is still connected and has not cancelled the request.
    fn is_request_wanted(&self, id: &Bytes) -> bool {
        let inner = self.lock();
        !inner.closed && !inner.cancelled.contains(id)
    }

    /// Revokes an attempt that still waits. Returns true if it was revoked and will never be written, and
    /// false if the writer has already taken it.
    pub fn revoke(&self, attempt: AttemptId) -> bool {
        let mut inner = self.lock();
        let revoked = inner.attempts.remove(&attempt);
        inner.bytes -= revoked.as_ref().map_or(0, |queued| queued.size);
        revoked.is_some()
    }

    /// Returns whether an attempt waits to be written.
    pub fn is_queued(&self, attempt: AttemptId) -> bool {
        self.lock().attempts.contains_key(&attempt)
    }

    /// Returns the attempts that were added before `before`, or whose deadline has passed.
    pub fn stale(&self, before: Duration, now: Duration) -> Vec<AttemptId> {
        let inner = self.lock();
        inner
            .attempts
            .iter()
            .filter(|(_, queued)| queued.added_at < before || queued.deadline <= now)
            .map(|(attempt, _)| *attempt)
            .collect()
    }

    /// Takes frames for the writer until their size reaches `max_bytes` bytes. From then on they count as
    /// written. Attempts whose deadline has passed, or whose client has cancelled the request or
    /// disconnected, stay in the outbox until the owner revokes them.
    pub fn take_batch(&self, clock: impl FnOnce() -> Duration, max_bytes: usize) -> Batch {
        let mut inner = self.lock();
        let now = clock();
        let sent_us = grebecleat_wire::clock::micros(now);
        let mut frames = Vec::new();
        let mut bytes = 0;
        let mut skipped = VecDeque::new();
        while bytes < max_bytes {
            let (frame, size) = match inner.queue.pop_front() {
                None => break,
                Some(Item::Plain(frame, size)) => (frame, size),
                Some(Item::Attempt(attempt)) => match inner.attempts.remove(&attempt) {
                    None => continue,
                    Some(queued) if !queued.is_wanted(now) => {
                        skipped.push_back(Item::Attempt(attempt));
                        inner.attempts.insert(attempt, queued);
                        continue;
                    }
                    Some(queued) => {
                        let size = queued.size;
                        (queued.with_time_left(now), size)
                    }
                },
            };
            bytes += size;
            frames.push(pb::Frame { sent_us, ..frame });
        }
        skipped.append(&mut inner.queue);
        inner.queue = skipped;
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

    /// Returns the size of the frames that wait to be written, in bytes.
    pub fn bytes(&self) -> usize {
        self.lock().bytes
    }

    /// Returns whether no frame waits and none is being written.
    pub fn is_flushed(&self) -> bool {
        let inner = self.lock();
        inner.queue.is_empty() && !inner.writing
    }

    /// Ends the connection: calls `hang_up` and wakes the writer. The writer takes the frames that still
    /// wait, and ends when none is left or the socket fails.
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
