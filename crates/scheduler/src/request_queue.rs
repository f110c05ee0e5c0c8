//! The requests queued at one node, divided into sub-queues. All requests of a sub-queue have the same value
//! as long as they can meet their objective.
//!
//! The next request to send is found at the front of a few sub-queues, without visiting each request: a host
//! may have thousands of queued requests, and searches after every answer. Called by the scheduler's
//! dispatch. Memory: one entry for each request.

use crate::api::{RequestId, TrafficClassId, VolumeId};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Properties that all requests of one sub-queue share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SubQueueKey {
    /// Their volume.
    pub volume: VolumeId,
    /// Their traffic class.
    pub traffic_class: TrafficClassId,
    /// Their units have already been drawn from the volume's limit.
    pub limit_drawn: bool,
}

/// A request in its sub-queue, ordered by the earliest objective first, then by the highest id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueEntry {
    /// Time until which an answer meets the latency objective.
    pub objective_at: Duration,
    /// The request.
    pub id: Reverse<RequestId>,
}

impl QueueEntry {
    /// Returns an entry that sorts before every other entry with this objective.
    pub fn first_at(objective_at: Duration) -> Self {
        QueueEntry {
            objective_at,
            id: Reverse(RequestId([u8::MAX; 36])),
        }
    }
}

/// One sub-queue, in order.
pub type SubQueue = BTreeSet<QueueEntry>;

/// A queued request that may be sent now. Candidates are ordered by value, then by the earlier objective,
/// then by the higher id; the greatest is sent first.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Candidate {
    /// Value of a unit.
    pub value: f64,
    /// Time until which its answer meets the latency objective.
    pub objective_at: Reverse<Duration>,
    /// The request.
    pub id: RequestId,
}

/// Returns the greatest candidate. Values must be finite.
pub fn best_candidate(candidates: impl Iterator<Item = Candidate>) -> Option<Candidate> {
    candidates.max_by(|a, b| a.partial_cmp(b).expect("values are finite"))
}

/// Returns the ids ordered by the highest value first, then by the highest id. Values must be finite.
pub fn sort_by_value(
    ids: impl Iterator<Item = RequestId>,
    value: impl Fn(&RequestId) -> f64,
) -> Vec<RequestId> {
    let mut order: Vec<(f64, RequestId)> = ids.map(|id| (value(&id), id)).collect();
    order.sort_unstable_by(|a, b| b.partial_cmp(a).expect("values are finite"));
    order.into_iter().map(|(_, id)| id).collect()
}

/// Returns the best candidate of a sub-queue: normally the earliest of the requests that can meet their
/// objective, or else one of the late requests. A request whose objective is before `earliest_answer` is
/// late. The search stops at a request of `full_value`, because no request after it is better.
pub fn best_of_sub_queue(
    sub_queue: &SubQueue,
    earliest_answer: Duration,
    full_value: f64,
    candidate: impl Fn(&QueueEntry) -> Option<Candidate>,
) -> Option<Candidate> {
    let split = QueueEntry::first_at(earliest_answer);
    let late = sub_queue.range(..split).find_map(&candidate);
    let mut first_found = None;
    let in_time = sub_queue
        .range(split..)
        .filter_map(&candidate)
        .find(|found| {
            first_found = first_found.or(Some(*found));
            found.value >= full_value
        });
    best_candidate([late, in_time, first_found].into_iter().flatten())
}

/// All requests queued at one node.
///
/// ```
/// use grebecleat_scheduler::api::{RequestId, TrafficClassId, VolumeId};
/// use grebecleat_scheduler::request_queue::{RequestQueue, SubQueueKey};
/// use std::time::Duration;
/// let ms = Duration::from_millis;
/// let key = SubQueueKey { volume: VolumeId(1), traffic_class: TrafficClassId(0), limit_drawn: false };
/// let mut queue = RequestQueue::default();
/// queue.add(key, ms(20), RequestId([1; 36]));
/// queue.add(key, ms(10), RequestId([2; 36]));
/// assert_eq!(queue.sub_queues().next().unwrap().first().unwrap().objective_at, ms(10));
/// assert!(queue.remove(key, ms(10), RequestId([2; 36])) && !queue.remove(key, ms(10), RequestId([2; 36])));
/// assert_eq!((queue.len(), queue.ids().count()), (1, 1));
/// ```
#[derive(Debug, Default)]
pub struct RequestQueue {
    sub_queues: BTreeMap<SubQueueKey, SubQueue>,
    len: usize,
}

impl RequestQueue {
    /// Adds a request to the sub-queue of this key.
    pub fn add(&mut self, key: SubQueueKey, objective_at: Duration, id: RequestId) {
        let added = self.sub_queues.entry(key).or_default().insert(QueueEntry {
            objective_at,
            id: Reverse(id),
        });
        self.len += usize::from(added);
    }

    /// Removes a request from the sub-queue of this key; returns whether it was there.
    pub fn remove(&mut self, key: SubQueueKey, objective_at: Duration, id: RequestId) -> bool {
        let Some(entries) = self.sub_queues.get_mut(&key) else {
            return false;
        };
        let removed = entries.remove(&QueueEntry {
            objective_at,
            id: Reverse(id),
        });
        if entries.is_empty() {
            self.sub_queues.remove(&key);
        }
        self.len -= usize::from(removed);
        removed
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns all sub-queues; none of them is empty.
    pub fn sub_queues(&self) -> impl Iterator<Item = &SubQueue> {
        self.sub_queues.values()
    }

    /// Returns all requests, one sub-queue after the other.
    pub fn ids(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.sub_queues.values().flatten().map(|entry| entry.id.0)
    }
}
