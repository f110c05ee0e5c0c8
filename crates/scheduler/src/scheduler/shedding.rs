//! Load shedding: queued requests that cannot meet their deadline or their objective are rejected early, so that
//! their clients have time for a retry.
//!
//! Called by [`super::Scheduler`] when a node's queue, or the unassigned requests, are ranked. Owns no state.

use super::clock::{INTERVAL, TICK};
use super::dispatch::DispatchView;
use crate::api::RequestId;
use crate::rates::{queueing_time, seconds};
use crate::state::{Node, PendingRequest};
use std::time::Duration;

/// Shortest Retry-After. Larger: clients with short deadlines give up. Smaller: they come back while the node is
/// still overloaded.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Requests of one node's queue to reject.
pub(super) struct Shed {
    /// The requests, with their Retry-After.
    pub(super) rejected: Vec<(RequestId, Duration)>,
    /// A volume of the remaining requests has been queued below its reservation for long.
    pub(super) below_reservation: bool,
}

/// Returns the requests that cannot be in time behind those that go before them. `next_look`: time until the next
/// ranking; a request whose time would be up by then is rejected now.
pub(super) fn shed_load(view: &DispatchView, node: &Node, next_look: Duration) -> Shed {
    let now = view.now;
    let mean_time = view.expected_time(Some(node), view.settings.units.mean);
    let limit = view.concurrency.limit(node);
    let rate = view.concurrency.rate(node).max(limit / seconds(mean_time));
    let mut units_ahead = 0.0;
    let mut shed = Shed {
        rejected: Vec::new(),
        below_reservation: false,
    };
    for id in view.ranked(node.queue.ids(), Some(node)) {
        let pending = &view.requests[id];
        let request = &pending.request;
        let wait = queueing_time(units_ahead, rate);
        let ready = now + wait + view.expected_time(Some(node), request.units);
        let is_admitted = || {
            let value = view.value(pending, Some(node));
            view.admits(node, value, pending.tie_breaker)
        };
        let too_late = ready + next_look > request.deadline;
        let too_long = queued_too_long(pending, next_look, now);
        if too_late || too_long || ready > pending.objective_at && !is_admitted() {
            shed.rejected.push((id, wait.max(MIN_RETRY_AFTER)));
            continue;
        }
        units_ahead += request.units;
        let is_reserved = view.volumes[request.volume].reservation.pays();
        shed.below_reservation |= is_reserved && now > pending.received + INTERVAL / 2;
    }
    shed
}

/// Returns whether the request has been queued for half of its time to deadline, or will have been by the next
/// look, without an attempt. The request would complete late; a rejection now leaves its client time for a
/// retry.
pub(super) fn queued_too_long(
    pending: &PendingRequest,
    next_look: Duration,
    now: Duration,
) -> bool {
    let half = pending.received + (pending.request.deadline - pending.received) / 2;
    pending.attempts.count() == 0 && now + TICK + next_look >= half
}
