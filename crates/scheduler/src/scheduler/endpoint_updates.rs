//! Endpoint updates: the effect of an update of the endpoint list on nodes and on the requests queued there.

use super::{concurrency::MAX_OUTSTANDING, fair_share::TICK, Scheduler};
use crate::api::{Endpoint, EndpointUpdateKind, LogEvent, NodeId};
use crate::{histogram::Histogram, probing_window::ProbingWindow, rates::seconds};
use crate::{state::Node, token_bucket::TokenBucket};
use std::time::Duration;

/// Rate at which the search for a new node's capacity starts, in mean requests a second. Low, as this host has
/// no evidence yet. Larger: a new host may overload a slow node. Smaller: it takes longer to use a fast one.
const INITIAL_REQUESTS: f64 = 4.0;
/// Fraction of the predecessor's usage that a node of the same shard starts with. Larger: a successor that is
/// slower by as much is overloaded while it warms up, which the rule does not forgive. Smaller: it stays idle.
const INHERITED_USAGE: f64 = 0.5;
/// Bounds the random delay before the first request to a node that has come up. Larger: requests wait longer,
/// beyond the rules' spans. Smaller: more hosts send their first requests together.
const MAX_FIRST_USE_DELAY: Duration = Duration::from_millis(400);

impl Scheduler {
    pub(super) fn update_endpoints(&mut self, kind: EndpointUpdateKind, endpoints: Vec<Endpoint>) {
        let now = self.state.now;
        if kind == EndpointUpdateKind::FetchFailed {
            return self.fetch_backoff.call_failed(now, &mut self.jitter);
        }
        if kind != EndpointUpdateKind::Delta {
            self.state.mark_absent_gone(&endpoints);
        }
        if kind != EndpointUpdateKind::Cached {
            self.fetch_backoff.reset();
        } else if let Some(within) = self.endpoint_lease.start_cached(now) {
            self.fetch_backoff
                .call_within(within, now, &mut self.jitter);
        }
        let first = self.state.nodes.is_empty();
        for endpoint in endpoints {
            let lowest = INITIAL_REQUESTS * self.units.mean;
            let highest = MAX_OUTSTANDING * self.units.mean / seconds(self.tightest_objective);
            let classes = self.traffic_classes.len();
            // Most entries are of known nodes.
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

    fn node_came_up(&mut self, id: NodeId, first: bool) {
        let now = self.state.now;
        // All hosts learn of the node at about the same time; without the delay each would send at once.
        let delay =
            MAX_FIRST_USE_DELAY.mul_f64(f64::from(u8::from(!first)) * self.jitter.fraction());
        let node = self.state.nodes.get_mut(&id).expect("updated just now");
        node.reset(now, now + delay);
        if node
            .started
            .is_some_and(|started| now < started + self.slow_start.warm_up_time)
        {
            // A bucket lets one request into debt, and many hosts that do so together overload a node. A random
            // initial debt spreads them, and the lapse of a full bucket keeps them apart. Harm: few hosts wait.
            node.slow_start = Some(TokenBucket::lapsing(
                self.units.mean,
                self.jitter.fraction(),
            ));
            self.state.log(LogEvent::NodeWarmingUp { node: id });
        }
    }
}
