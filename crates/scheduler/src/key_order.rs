//! Order among the requests of one key: one at a time, as they came, with a cool-down after an unclear end.

use crate::api::{KeyId, RequestId};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

#[derive(Debug, Default)]
struct KeyQueue {
    /// Open requests, in order of arrival.
    open: VecDeque<RequestId>,
    cooldown_until: Duration,
    /// The request that the cool-down does not bind.
    exempt: Option<RequestId>,
}

/// For each key its open requests in order of arrival, and until when the key cools down.
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
    /// A request of the key has come in.
    pub fn push(&mut self, key: KeyId, id: RequestId) {
        self.0.entry(key).or_default().open.push_back(id);
    }

    /// A request of the key is over; returns which is first then.
    pub fn remove(&mut self, key: KeyId, id: RequestId) -> Option<RequestId> {
        let queue = self.0.get_mut(&key)?;
        queue.open.retain(|other| *other != id);
        queue.open.front().copied()
    }

    /// The key cools down until then for all requests but the one that brought it about.
    pub fn cool_down(&mut self, key: KeyId, exempt: RequestId, until: Duration) {
        let queue = self.0.entry(key).or_default();
        queue.cooldown_until = queue.cooldown_until.max(until);
        queue.exempt = Some(exempt);
    }

    /// Whether the request is first of its key, and the key has cooled down for it.
    pub fn may_run(&self, key: KeyId, id: RequestId, now: Duration) -> bool {
        let Some(queue) = self.0.get(&key) else {
            return true;
        };
        let first = queue.open.front().is_none_or(|front| *front == id);
        first && (now >= queue.cooldown_until || queue.exempt == Some(id))
    }

    /// Drops keys without open requests that have cooled down.
    pub fn remove_idle(&mut self, now: Duration) {
        self.0
            .retain(|_, queue| !queue.open.is_empty() || now < queue.cooldown_until);
    }
}
