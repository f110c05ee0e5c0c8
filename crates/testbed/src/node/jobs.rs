//! The attempts of one node: the queue, the attempts that run on its cores, and the cancelled ones.

use grebecleat_wire::pb;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// An attempt that the node accepted.
#[derive(Debug)]
pub(super) struct Job {
    /// The connection on which the attempt arrived.
    pub(super) conn: u64,
    pub(super) attempt: pb::Attempt,
    /// The time after which the host no longer waits.
    pub(super) deadline: Duration,
    /// The work at a speed of 1.
    pub(super) work: Duration,
}

impl Job {
    fn key(&self) -> (u64, u64) {
        (self.conn, self.attempt.attempt)
    }
}

/// The queue and the running jobs of a node.
#[derive(Debug, Default)]
pub(super) struct Jobs {
    queue: VecDeque<Job>,
    /// The running jobs by their end, and among equal ends by the order of their start.
    running: BTreeMap<(Duration, u64), Job>,
    started: u64,
    /// The running jobs whose host cancelled them: connection and attempt.
    cancelled: BTreeSet<(u64, u64)>,
}

impl Jobs {
    pub(super) fn queued(&self) -> usize {
        self.queue.len()
    }

    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    pub(super) fn enqueue(&mut self, job: Job) {
        self.queue.push_back(job);
    }

    pub(super) fn dequeue(&mut self) -> Option<Job> {
        self.queue.pop_front()
    }

    /// Starts a job that ends at `end`.
    pub(super) fn start(&mut self, end: Duration, job: Job) {
        self.started += 1;
        self.running.insert((end, self.started), job);
    }

    /// Removes an attempt from the queue, or marks it as cancelled if it runs.
    pub(super) fn cancel(&mut self, conn: u64, attempt: u64) {
        let key = (conn, attempt);
        self.queue.retain(|job| job.key() != key);
        if self.running.values().any(|job| job.key() == key) {
            self.cancelled.insert(key);
        }
    }

    /// Returns whether a finished job was cancelled, and forgets that it was.
    pub(super) fn take_cancelled(&mut self, job: &Job) -> bool {
        self.cancelled.remove(&job.key())
    }

    /// Returns the end of the running job that ends first.
    pub(super) fn next_end(&self) -> Option<Duration> {
        self.running.first_key_value().map(|(key, _)| key.0)
    }

    /// Removes the running job that ends first, if it ends by `now`. Returns it with its end.
    pub(super) fn pop_finished(&mut self, now: Duration) -> Option<(Duration, Job)> {
        let entry = self.running.first_entry()?;
        if entry.key().0 > now {
            return None;
        }
        let ((end, _), job) = entry.remove_entry();
        Some((end, job))
    }

    /// Drops all jobs, as the process is down.
    pub(super) fn clear(&mut self) {
        self.queue.clear();
        self.running.clear();
        self.cancelled.clear();
    }
}
