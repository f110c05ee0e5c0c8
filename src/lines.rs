//! Lines of requests that share a key.

use crate::interface::{KeyId, RequestId};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

#[derive(Debug, Default)]
struct Line {
    waiting: VecDeque<RequestId>,
    rest: Duration,
    by: Option<RequestId>,
}

/// For each key, the requests in the order taken, and until when the key rests.
///
/// ```
/// use grebecleat::interface::{KeyId, RequestId};
/// use grebecleat::lines::KeyLines;
/// use std::time::Duration;
/// let (key, first, second) = (KeyId(1), RequestId([1; 36]), RequestId([2; 36]));
/// let ms = Duration::from_millis;
/// let mut lines = KeyLines::default();
/// lines.join(key, first);
/// lines.join(key, second);
/// assert!(lines.has_turn(key, first, ms(0)) && !lines.has_turn(key, second, ms(0)));
/// lines.rest(key, first, ms(50));
/// assert!(lines.has_turn(key, first, ms(10)));
/// lines.leave(key, first);
/// assert!(!lines.has_turn(key, second, ms(10)) && lines.has_turn(key, second, ms(50)));
/// ```
#[derive(Debug, Default)]
pub struct KeyLines(BTreeMap<KeyId, Line>);

impl KeyLines {
    pub fn join(&mut self, key: KeyId, id: RequestId) {
        self.0.entry(key).or_default().waiting.push_back(id);
    }

    /// Takes a request out of its line; answers which is first then.
    pub fn leave(&mut self, key: KeyId, id: RequestId) -> Option<RequestId> {
        let line = self.0.get_mut(&key)?;
        line.waiting.retain(|x| *x != id);
        line.waiting.front().copied()
    }

    /// The key rests until then for all but the request that brought it about.
    pub fn rest(&mut self, key: KeyId, by: RequestId, until: Duration) {
        let line = self.0.entry(key).or_default();
        (line.rest, line.by) = (line.rest.max(until), Some(by));
    }

    pub fn has_turn(&self, key: KeyId, id: RequestId, now: Duration) -> bool {
        let Some(line) = self.0.get(&key) else { return true };
        line.waiting.front().is_none_or(|f| *f == id) && (now >= line.rest || line.by == Some(id))
    }

    /// Drops lines that are empty and have rested.
    pub fn sweep(&mut self, now: Duration) {
        self.0.retain(|_, line| !line.waiting.is_empty() || now < line.rest);
    }
}
