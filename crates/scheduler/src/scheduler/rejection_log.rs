//! Rejected and failed requests by cause, for operators. No decision reads them.
//!
//! Called by [`super::Scheduler`] for each request that it rejects or fails. [`RejectionLog`] owns the counts.
//! Memory: one count for each cause that occurred, and one entry for each rejection of the current step.

use super::dispatch::DispatchView;
use crate::api::{BlockReason, RequestId};
use crate::rejection_stats::{
    RejectedRequest, RejectionCause, RejectionCounts, RejectionReason, TokenSource,
    LAST_SUCCESS_STEPS,
};
use crate::state::{DesiredState, Node, PendingRequest};
use std::time::Duration;

/// Counts of rejected and failed requests, and those of the current step.
#[derive(Debug, Default)]
pub(super) struct RejectionLog {
    counts: RejectionCounts,
    /// Rejections of the current step.
    in_step: Vec<RejectedRequest>,
}

impl RejectionLog {
    /// Starts a step: clears the rejections of the previous one.
    pub(super) fn start_step(&mut self) {
        self.in_step.clear();
    }

    pub(super) fn add(&mut self, id: RequestId, cause: RejectionCause) {
        *self.counts.entry(cause).or_default() += 1;
        self.in_step.push(RejectedRequest { id, cause });
    }

    /// Returns the counts since the last call, and resets them.
    pub(super) fn take_counts(&mut self) -> RejectionCounts {
        std::mem::take(&mut self.counts)
    }

    /// Returns the rejections of the current step.
    pub(super) fn in_step(&self) -> &[RejectedRequest] {
        &self.in_step
    }
}

/// Returns the cause of a rejection of this request now: the reason that blocks it, and its circumstances.
pub(super) fn rejection_cause(view: &DispatchView, pending: &PendingRequest) -> RejectionCause {
    let shard = pending.request.shard;
    let endpoint = shard.and_then(|shard| view.nodes.node_of_shard(shard));
    let used = pending.queued_at.or(pending.attempts.last_node());
    let node = used.map(|id| &view.nodes[id]).or(endpoint);
    RejectionCause {
        reason: rejection_reason(view, pending, endpoint),
        traffic_class: pending.request.traffic_class,
        token_source: token_source(view, pending, node),
        last_success: last_success_step(node, view.now),
    }
}

fn token_source(view: &DispatchView, pending: &PendingRequest, node: Option<&Node>) -> TokenSource {
    let volume = view.volumes.get(pending.request.volume);
    if volume.is_some_and(|volume| volume.reservation.has_tokens()) {
        return TokenSource::Reservation;
    }
    let share = node.and_then(|node| node.share_level(pending.request.volume));
    match share.is_none_or(|level| level > 0.0) {
        true => TokenSource::Share,
        false => TokenSource::Nothing,
    }
}

fn last_success_step(node: Option<&Node>, now: Duration) -> usize {
    let never = LAST_SUCCESS_STEPS.len();
    let Some(node) = node.filter(|node| !node.attempts.last_sent().is_zero()) else {
        return never;
    };
    let age = now.saturating_sub(node.failures.last_success());
    LAST_SUCCESS_STEPS
        .iter()
        .position(|step| age <= *step)
        .unwrap_or(never)
}

fn rejection_reason(
    view: &DispatchView,
    pending: &PendingRequest,
    endpoint: Option<&Node>,
) -> RejectionReason {
    if matches!(pending.desired, DesiredState::Sent(_)) {
        return RejectionReason::AttemptFailed;
    }
    let Some(node) = pending.queued_at else {
        return match (pending.request.shard, endpoint) {
            (None, _) => RejectionReason::Blocked(BlockReason::NoCapacity),
            (Some(_), None) => RejectionReason::NoEndpoint,
            (Some(_), Some(_)) => RejectionReason::QueuedTooLong,
        };
    };
    let blocked = view.block_reason_or_concurrency(pending, &view.nodes[node]);
    blocked.map_or(RejectionReason::QueuedTooLong, RejectionReason::Blocked)
}
