//! Discovery: what an update of the endpoint list means for nodes and for what is queued at them.

use super::{concurrency::MAX_OUTSTANDING, fair_share::TICK, Scheduler};
use crate::api::{Endpoint, EndpointUpdateKind, NodeId};
use crate::{histogram::Histogram, probing_window::ProbingWindow, rates::seconds};
use crate::{state::Node, token_bucket::TokenBucket};
use rand::Rng;
use std::time::Duration;

const FIRST_BACKOFF: Duration = Duration::from_millis(200); // doubled for each failed call
const MAX_DOUBLINGS: u32 = 4;
const INITIAL_REQUESTS: f64 = 4.0; // mean requests a second: low, as a host knows nothing yet
const INHERITED_USAGE: f64 = 0.5; // a successor may be slower by that; the rule forgives nothing
const MAX_FIRST_USE_DELAY: Duration = Duration::from_millis(400); // well under the rules' spans

impl Scheduler {
    pub(super) fn update_endpoints(&mut self, kind: EndpointUpdateKind, endpoints: Vec<Endpoint>) {
        if kind == EndpointUpdateKind::FetchFailed {
            return self.back_off_fetch();
        }
        if kind != EndpointUpdateKind::Delta {
            self.state.mark_absent_gone(&endpoints);
        }
        if kind == EndpointUpdateKind::Cached {
            self.confirm_cached_endpoints();
        } else {
            self.state.fetch_failures = 0;
        }
        let first = self.state.nodes.is_empty();
        for endpoint in endpoints {
            let lowest = INITIAL_REQUESTS * self.units.mean;
            let highest = MAX_OUTSTANDING * self.units.mean / seconds(self.tightest_objective);
            let classes = self.traffic_classes.len();
            // Most entries are of nodes that are known.
            let new_node = |usage| {
                let window = ProbingWindow::new(lowest, highest);
                let delays = Histogram::new(TICK, 1.5, 16);
                Node::new(&endpoint, window, delays, classes, usage)
            };
            if self.state.update_node(&endpoint, INHERITED_USAGE, new_node) {
                self.node_came_up(endpoint.node, first);
            }
        }
        self.update_slow_start();
        for id in self.state.queued_at_unready() {
            self.state.dequeue(id);
            self.enqueue(id);
        }
    }

    fn back_off_fetch(&mut self) {
        self.state.fetch_failures += 1;
        let doubled = FIRST_BACKOFF * 2u32.pow(self.state.fetch_failures.min(MAX_DOUBLINGS));
        // Well inside the time after which the rule counts a host as notified of what it has not heard.
        let backoff = doubled.min(self.discovery.poll_interval / 4);
        self.state.watch_at = Some(self.state.now + backoff / 2 + self.jitter(backoff));
    }

    /// A call that has waited for long before it was refused was one of too many, and what discovery did for
    /// it was in vain: the next one waits longer than that, and twice as long after each further one. At the
    /// most each host calls once in a poll interval, the rate that the settings ask of discovery. Guards
    /// against hosts whose calls keep it from serving any of them in time. Harm: after an outage that looks
    /// the same, a list is had so much later.
    /// One that is refused at once has cost it next to nothing, and waits no longer than after a failure.
    pub(super) fn back_off_refused_fetch(&mut self, waited: Duration) {
        if waited <= FIRST_BACKOFF {
            return self.back_off_fetch();
        }
        self.state.fetch_failures += 1;
        let doublings = (self.state.fetch_failures - 1).min(MAX_DOUBLINGS);
        let doubled = waited * 2u32.pow(doublings);
        let backoff = doubled.min(self.discovery.poll_interval.saturating_sub(waited));
        self.state.watch_at = Some(self.state.now + backoff / 2 + self.jitter(backoff));
    }

    fn node_came_up(&mut self, id: NodeId, first: bool) {
        let now = self.state.now;
        // All hosts learn of it about together; without the delay each would send first.
        let delay =
            MAX_FIRST_USE_DELAY.mul_f64(f64::from(u8::from(!first)) * self.rng.random::<f64>());
        let node = self.state.nodes.get_mut(&id).expect("updated just now");
        node.reset(now, now + delay);
        if node
            .started
            .is_some_and(|started| now < started + self.slow_start.warm_up_time)
        {
            // A bucket passes one request into debt; many hosts' at once push a node over. A random debt
            // spreads them, a lapse of what is full keeps them so. Harm: few hosts wait.
            node.slow_start = Some(TokenBucket::lapsing(self.units.mean, self.rng.random()));
            self.state.log(format!("node {} warming up", id.0));
        }
    }
}
