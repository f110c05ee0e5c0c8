//! Load shedding: queued requests that cannot meet their deadline or their objective are rejected early, so
//! that their clients have time for a retry.
//!
//! Called by [`super::Scheduler`] when it ranks a node's queue or the unassigned requests. Owns no state.

use super::clock::{INTERVAL, TICK};
use super::dispatch::DispatchView;
use crate::api::RequestId;
use crate::rates::{queueing_time, seconds};
use crate::state::{Node, PendingRequest};
use std::time::Duration;

/// Shortest Retry-After. With a larger value clients with short deadlines give up; with a smaller one, they
/// retry while the node is still overloaded.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Result of load shedding at one node's queue.
pub(super) struct Shed {
    /// The requests to reject, with their Retry-After.
    pub(super) rejected: Vec<(RequestId, Duration)>,
    /// A remaining request has been queued for more than half a control interval although its volume's
    /// reservation has tokens left.
    pub(super) below_reservation: bool,
}

/// Returns the requests that cannot be answered in time behind the requests that are sent before them.
/// `until_next_ranking`: time until the next ranking; a request that would miss its deadline by then is
/// rejected now.
pub(super) fn shed_load(view: &DispatchView, node: &Node, until_next_ranking: Duration) -> Shed {
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
        let too_late = ready + until_next_ranking > request.deadline;
        let too_long = queued_too_long(pending, until_next_ranking, now);
        if too_late || too_long || ready > pending.objective_at && !is_admitted() {
            shed.rejected.push((id, wait.max(MIN_RETRY_AFTER)));
            continue;
        }
        units_ahead += request.units;
        let is_reserved = view.volumes[request.volume].reservation.has_tokens();
        shed.below_reservation |= is_reserved && now > pending.received + INTERVAL / 2;
    }
    shed
}

/// Returns whether the request has been queued without an attempt for half of the time to its deadline, or
/// will have been by the next ranking. Such a request would complete late; a rejection now leaves its client
/// time for a retry.
pub(super) fn queued_too_long(
    pending: &PendingRequest,
    until_next_ranking: Duration,
    now: Duration,
) -> bool {
    let half = pending.received + (pending.request.deadline - pending.received) / 2;
    pending.attempts.count() == 0 && now + TICK + until_next_ranking >= half
}
