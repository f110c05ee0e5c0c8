//! The requests queued at one node, in lines whose requests have the same value while they can meet their
//! objective.
//!
//! The next request is found at the front of a few lines, without a visit of each request: a host may queue
//! thousands, and searches with every answer. Called by the dispatch. Memory: one entry for each request.

use crate::api::{RequestId, TrafficClassId, VolumeId};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Properties that all requests of one line share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LineKey {
    /// Their volume.
    pub volume: VolumeId,
    /// Their traffic class.
    pub traffic_class: TrafficClassId,
    /// Their units are drawn from the volume's limit.
    pub limit_drawn: bool,
}

/// A request in its line: the earliest objective comes first, and of equal times the highest id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueEntry {
    /// Time up to which an answer meets the latency objective.
    pub objective_at: Duration,
    /// The request.
    pub id: Reverse<RequestId>,
}

impl QueueEntry {
    /// Returns an entry that comes before every other with that objective.
    pub fn first_at(objective_at: Duration) -> Self {
        QueueEntry {
            objective_at,
            id: Reverse(RequestId([u8::MAX; 36])),
        }
    }
}

/// One line, in order.
pub type Line = BTreeSet<QueueEntry>;

/// A queued request that may be sent now: the higher value first, then the earlier objective, then the higher
/// id.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Candidate {
    /// Value of a unit.
    pub value: f64,
    /// Time up to which its answer meets the latency objective.
    pub objective_at: Reverse<Duration>,
    /// The request.
    pub id: RequestId,
}

/// Returns the best candidate; values must be finite.
pub fn best_candidate(candidates: impl Iterator<Item = Candidate>) -> Option<Candidate> {
    candidates.max_by(|a, b| a.partial_cmp(b).expect("values are finite"))
}

/// Returns the ids by their values, the highest value first and of equal values the highest id. Values must be
/// finite.
pub fn sort_by_value(
    ids: impl Iterator<Item = RequestId>,
    value: impl Fn(&RequestId) -> f64,
) -> Vec<RequestId> {
    let mut order: Vec<(f64, RequestId)> = ids.map(|id| (value(&id), id)).collect();
    order.sort_unstable_by(|a, b| b.partial_cmp(a).expect("values are finite"));
    order.into_iter().map(|(_, id)| id).collect()
}

/// Returns the best candidate of a line: the earliest of the requests that can meet their objective, or else one
/// of the late ones. A request whose objective is before `soonest` is late. No request is better than one before
/// it that has `full_value`.
pub fn best_of_line(
    line: &Line,
    soonest: Duration,
    full_value: f64,
    candidate: impl Fn(&QueueEntry) -> Option<Candidate>,
) -> Option<Candidate> {
    let split = QueueEntry::first_at(soonest);
    let late = line.range(..split).find_map(&candidate);
    let mut first_behind = None;
    let in_time = line.range(split..).filter_map(&candidate).find(|found| {
        first_behind = first_behind.or(Some(*found));
        found.value >= full_value
    });
    best_candidate([late, in_time, first_behind].into_iter().flatten())
}

/// All requests queued at a node.
///
/// ```
/// use grebecleat_scheduler::api::{RequestId, TrafficClassId, VolumeId};
/// use grebecleat_scheduler::request_queue::{LineKey, RequestQueue};
/// use std::time::Duration;
/// let ms = Duration::from_millis;
/// let line = LineKey { volume: VolumeId(1), traffic_class: TrafficClassId(0), limit_drawn: false };
/// let mut queue = RequestQueue::default();
/// queue.add(line, ms(20), RequestId([1; 36]));
/// queue.add(line, ms(10), RequestId([2; 36]));
/// assert_eq!(queue.lines().next().unwrap().first().unwrap().objective_at, ms(10));
/// assert!(queue.remove(line, ms(10), RequestId([2; 36])) && !queue.remove(line, ms(10), RequestId([2; 36])));
/// assert_eq!((queue.len(), queue.ids().count()), (1, 1));
/// ```
#[derive(Debug, Default)]
pub struct RequestQueue {
    lines: BTreeMap<LineKey, Line>,
    len: usize,
}

impl RequestQueue {
    /// Adds a request to a line.
    pub fn add(&mut self, line: LineKey, objective_at: Duration, id: RequestId) {
        let added = self.lines.entry(line).or_default().insert(QueueEntry {
            objective_at,
            id: Reverse(id),
        });
        self.len += usize::from(added);
    }

    /// Removes a request from a line; returns whether it was there.
    pub fn remove(&mut self, line: LineKey, objective_at: Duration, id: RequestId) -> bool {
        let Some(entries) = self.lines.get_mut(&line) else {
            return false;
        };
        let removed = entries.remove(&QueueEntry {
            objective_at,
            id: Reverse(id),
        });
        if entries.is_empty() {
            self.lines.remove(&line);
        }
        self.len -= usize::from(removed);
        removed
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// All lines; none is empty.
    pub fn lines(&self) -> impl Iterator<Item = &Line> {
        self.lines.values()
    }

    /// All requests, line by line.
    pub fn ids(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.lines.values().flatten().map(|entry| entry.id.0)
    }
}
