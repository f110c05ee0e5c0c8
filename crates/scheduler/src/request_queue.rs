//! The requests queued at one node, in lines that are worth the same but for their lateness.
//!
//! The next to go is found at the front of a few lines and not by looking at each request: a host may queue
//! thousands, and looks with every answer.

use crate::api::{RequestId, TrafficClassId, VolumeId};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What the requests of one line have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LineKey {
    /// Their volume.
    pub volume: VolumeId,
    /// Their traffic class.
    pub traffic_class: TrafficClassId,
    /// Whether their units are drawn from the volume's limit.
    pub limit_drawn: bool,
}

/// A request in its line: the earliest objective comes first, and of one time the highest id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueEntry {
    /// When an answer has to be there to be in time.
    pub objective_at: Duration,
    /// The request.
    pub id: Reverse<RequestId>,
}

impl QueueEntry {
    /// An entry that comes before every other with that objective.
    pub fn first_at(objective_at: Duration) -> Self {
        QueueEntry {
            objective_at,
            id: Reverse(RequestId([u8::MAX; 36])),
        }
    }
}

/// One line, in order.
pub type Line = BTreeSet<QueueEntry>;

/// A queued request that may go now: the higher value first, then the earlier objective, then the higher id.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Candidate {
    /// What a unit of it brings.
    pub value: f64,
    /// When its answer has to be there to be in time.
    pub objective_at: Reverse<Duration>,
    /// The request.
    pub id: RequestId,
}

/// The best of some candidates; values must be finite.
pub fn best_candidate(candidates: impl Iterator<Item = Candidate>) -> Option<Candidate> {
    candidates.max_by(|a, b| a.partial_cmp(b).expect("values are finite"))
}

/// The ids by their values, the highest value first and of one value the highest id; values must be finite.
pub fn sort_by_value(
    ids: impl Iterator<Item = RequestId>,
    value: impl Fn(&RequestId) -> f64,
) -> Vec<RequestId> {
    let mut order: Vec<(f64, RequestId)> = ids.map(|id| (value(&id), id)).collect();
    order.sort_unstable_by(|a, b| b.partial_cmp(a).expect("values are finite"));
    order.into_iter().map(|(_, id)| id).collect()
}

/// The best candidate of a line: of those that can be in time the earliest, else of the late ones. None whose
/// objective comes before `soonest` can be in time; one that is worth `full_value` is not bettered by those
/// behind it.
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

    /// Takes a request out of a line; whether it was there.
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

    /// How many requests are queued.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether none is.
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
