//! Order of the requests of one key: they run one at a time, in order of receipt, with a cool-down after an
//! attempt that may still be running.
//!
//! Called by the retry policy, which chooses the length of the cool-down. Owns the open requests of each key.

use crate::api::{KeyId, RequestId};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

#[derive(Debug, Default)]
struct KeyQueue {
    /// Open requests, in order of receipt.
    open: VecDeque<RequestId>,
    /// End of the cool-down.
    cooldown_until: Duration,
    /// The request that the cool-down does not block.
    exempt: Option<RequestId>,
}

/// Open requests of each key in order of receipt, and the end of the key's cool-down.
///
/// Memory: one entry for each key with an open request or a cool-down.
///
/// ```
/// use grebecleat_scheduler::api::{KeyId, RequestId};
/// use grebecleat_scheduler::key_order::KeyOrder;
/// use std::time::Duration;
/// let (key, first, second) = (KeyId(1), RequestId([1; 36]), RequestId([2; 36]));
/// let ms = Duration::from_millis;
/// let mut order = KeyOrder::default();
/// order.push(key, first);
/// order.push(key, second);
/// assert!(order.may_run(key, first, ms(0)) && !order.may_run(key, second, ms(0)));
/// order.cool_down(key, first, ms(50));
/// assert!(order.may_run(key, first, ms(10)));
/// order.remove(key, first);
/// assert!(!order.may_run(key, second, ms(10)) && order.may_run(key, second, ms(50)));
/// ```
#[derive(Debug, Default)]
pub struct KeyOrder(BTreeMap<KeyId, KeyQueue>);

impl KeyOrder {
    /// Adds a request of the key.
    pub fn push(&mut self, key: KeyId, id: RequestId) {
        self.0.entry(key).or_default().open.push_back(id);
    }

    /// Removes a request of the key; returns the request that is now the first.
    pub fn remove(&mut self, key: KeyId, id: RequestId) -> Option<RequestId> {
        let queue = self.0.get_mut(&key)?;
        queue.open.retain(|other| *other != id);
        queue.open.front().copied()
    }

    /// Starts a cool-down of the key, which blocks all requests except the one that caused it.
    pub fn cool_down(&mut self, key: KeyId, exempt: RequestId, until: Duration) {
        let queue = self.0.entry(key).or_default();
        queue.cooldown_until = queue.cooldown_until.max(until);
        queue.exempt = Some(exempt);
    }

    /// Returns whether the request is the first of its key, and no cool-down blocks it.
    pub fn may_run(&self, key: KeyId, id: RequestId, now: Duration) -> bool {
        let Some(queue) = self.0.get(&key) else {
            return true;
        };
        let first = queue.open.front().is_none_or(|front| *front == id);
        first && (now >= queue.cooldown_until || queue.exempt == Some(id))
    }

    /// Removes keys that have no open requests and whose cool-down has ended.
    pub fn remove_idle(&mut self, now: Duration) {
        self.0
            .retain(|_, queue| !queue.open.is_empty() || now < queue.cooldown_until);
    }
}
