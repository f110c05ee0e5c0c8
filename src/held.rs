//! Held requests in lines of one volume, traffic class and draw on the limit, each by latency objective.
//!
//! All of a line are worth the same but for their lateness, so that the next to go is found at the front of
//! a few lines and not by looking at each request: a host may hold thousands, and looks with every answer.

use crate::interface::{RequestId, TrafficClassId, VolumeId};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A volume, a traffic class, and whether the limit's units are drawn.
pub type LineKey = (VolumeId, TrafficClassId, bool);

/// The earliest latency objective first, and of one time the highest id.
pub type Line = BTreeSet<(Duration, Reverse<RequestId>)>;

/// ```
/// use grebecleat::held::Held;
/// use grebecleat::interface::{TrafficClassId, VolumeId, RequestId};
/// use std::time::Duration;
/// let (line, ms) = ((VolumeId(1), TrafficClassId(0), false), Duration::from_millis);
/// let mut held = Held::default();
/// held.add(line, ms(20), RequestId([1; 36]));
/// held.add(line, ms(10), RequestId([2; 36]));
/// assert_eq!(held.lines().next().unwrap().first().unwrap().0, ms(10));
/// assert!(held.remove(line, ms(10), RequestId([2; 36])) && !held.remove(line, ms(10), RequestId([2; 36])));
/// assert_eq!((held.len(), held.ids().count()), (1, 1));
/// ```
#[derive(Debug, Default)]
pub struct Held {
    lines: BTreeMap<LineKey, Line>,
    len: usize,
}

impl Held {
    pub fn add(&mut self, line: LineKey, objective_at: Duration, id: RequestId) {
        self.len += usize::from(self.lines.entry(line).or_default().insert((objective_at, Reverse(id))));
    }

    /// Whether it was there.
    pub fn remove(&mut self, line: LineKey, objective_at: Duration, id: RequestId) -> bool {
        let Some(there) = self.lines.get_mut(&line) else { return false };
        let was = there.remove(&(objective_at, Reverse(id)));
        if there.is_empty() {
            self.lines.remove(&line);
        }
        self.len -= usize::from(was);
        was
    }

    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub fn lines(&self) -> impl Iterator<Item = &Line> {
        self.lines.values()
    }

    pub fn ids(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.lines.values().flatten().map(|(_, Reverse(id))| *id)
    }
}
