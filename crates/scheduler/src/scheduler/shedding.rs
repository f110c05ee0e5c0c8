//! Load shedding: queued requests that cannot be in time are rejected at once: their clients may ask again.

use super::clock::{INTERVAL, TICK};
use super::{requests::MIN_RETRY_AFTER, Scheduler};
use crate::rates::{queueing_time, seconds};
use crate::{api::NodeId, state::PendingRequest};
use std::time::Duration;

impl Scheduler {
    /// Rejects what cannot be in time behind what goes first; at the latest when the next look, so much
    /// later, would find its time up.
    pub(super) fn shed_load(&mut self, id: NodeId, next_look: Duration) {
        let (node, now) = (&self.state.nodes[&id], self.state.now);
        let limit = self.concurrency.limit(node);
        let rate = self
            .concurrency
            .rate(node)
            .max(limit / seconds(self.expected_time(Some(id), self.units.mean)));
        let (mut units_ahead, mut below_reservation, mut hopeless) = (0.0, false, Vec::new());
        for request in self.ranked(node.queue.ids(), Some(id)) {
            let pending = &self.state.requests[&request];
            let wait = queueing_time(units_ahead, rate);
            let ready = now + wait + self.expected_time(Some(id), pending.request.units);
            let value = || self.value(pending, Some(id)).amount;
            let admitted = || {
                self.throttle
                    .admits(&node.admission, value(), pending.tie_breaker)
            };
            let too_late = ready + next_look > pending.request.deadline;
            let too_long = self.queued_too_long(pending, next_look);
            if too_late || too_long || ready > pending.objective_at && !admitted() {
                hopeless.push((request, wait.max(MIN_RETRY_AFTER)));
                continue;
            }
            units_ahead += pending.request.units;
            let reserved = self.state.volumes[&pending.request.volume]
                .reservation
                .pays();
            below_reservation |= reserved && now > pending.received + INTERVAL / 2;
        }
        for (request, retry_after) in hopeless {
            self.reject_or_fail(request, retry_after);
        }
        let node = self.state.nodes.get_mut(&id).expect("looked up above");
        node.capacity.observe_reservation(below_reservation);
    }

    /// What has not gone by half of its time would come late if at all; its client has time to ask again.
    pub(super) fn queued_too_long(&self, pending: &PendingRequest, next_look: Duration) -> bool {
        let half = pending.received + (pending.request.deadline - pending.received) / 2;
        pending.attempts == 0 && self.state.now + TICK + next_look >= half
    }
}
