//! Dispatch: the value of a request at a node, the reasons that block it, and the queued request to send next.
//!
//! Called by [`super::Scheduler`], and by [`super::placement`] and [`super::shedding`]. Owns no state:
//! [`DispatchView`] reads the tables and the mechanisms.

use super::concurrency::ConcurrencyLimiter;
use super::endpoint_lease::EndpointLease;
use super::latency::LatencyModel;
use super::retry_policy::{may_resend, RetryPolicy};
use super::settings::Settings;
use super::throttle::AdmissionThrottle;
use crate::api::{BlockReason, RequestId};
use crate::request_queue::{best_candidate, best_of_sub_queue, sort_by_value, Candidate, SubQueue};
use crate::state::{Node, NodeTable, PendingRequest, RequestTable, VolumeTable};
use std::{cmp::Reverse, time::Duration};

/// Fraction of its value that a unit covered by the reservation earns.
const RESERVED_FRACTION: f64 = 1.0;
/// Tie-breaker of the request that the throttle admits first among requests of equal value.
const BEST_TIE_BREAKER: f64 = 1.0;

/// Value of a unit of a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Value {
    pub(super) amount: f64,
    /// The unit is covered by a token bucket: the volume's reservation or its fair share.
    pub(super) covered: bool,
}

/// Read access to everything that determines which request goes to which node.
#[derive(Clone, Copy)]
pub(super) struct DispatchView<'a> {
    pub(super) now: Duration,
    pub(super) settings: &'a Settings,
    pub(super) nodes: &'a NodeTable,
    pub(super) requests: &'a RequestTable,
    pub(super) volumes: &'a VolumeTable,
    pub(super) lease: &'a EndpointLease,
    pub(super) concurrency: &'a ConcurrencyLimiter,
    pub(super) throttle: &'a AdmissionThrottle,
    pub(super) latency: &'a LatencyModel,
    pub(super) retries: &'a RetryPolicy,
}

impl DispatchView<'_> {
    /// Returns the expected duration of an attempt of this size at the node, or at any node for `None`.
    pub(super) fn expected_time(&self, node: Option<&Node>, units: f64) -> Duration {
        let delays = node.map(|node| &node.delays);
        self.latency.expected_time(delays, units)
    }

    /// Returns the value of a unit of the request if it is sent now to the node, or to any node for `None`.
    pub(super) fn value(&self, pending: &PendingRequest, node: Option<&Node>) -> Value {
        let in_time = self.value_in_time(pending, node);
        let expected = self.expected_time(node, pending.request.units);
        let late = self.now + expected > pending.objective_at;
        let class = self.settings.class(&pending.request);
        Value {
            amount: in_time.amount * if late { class.late_fraction } else { 1.0 },
            ..in_time
        }
    }

    /// Returns the value of a unit whose answer meets the objective; it is the same for all requests of one
    /// volume and traffic class.
    pub(super) fn value_in_time(&self, pending: &PendingRequest, node: Option<&Node>) -> Value {
        let class = self.settings.class(&pending.request);
        let volume = &self.volumes[pending.request.volume];
        let share = node.and_then(|node| node.share_level(pending.request.volume));
        let units = &self.settings.units;
        let (fraction, covered) = match share {
            _ if volume.reservation.has_tokens() => (RESERVED_FRACTION, true),
            Some(level) if level <= 0.0 => (units.spare_fraction, false),
            _ => (units.share_fraction, true),
        };
        let price = self.settings.plan(volume.plan).price;
        Value {
            amount: fraction * class.priority_weight * price,
            covered,
        }
    }

    /// Returns the rule or token bucket that keeps the request from being sent to the node now, or `None` if
    /// it may be sent.
    pub(super) fn block_reason(
        &self,
        pending: &PendingRequest,
        node: &Node,
    ) -> Option<BlockReason> {
        let now = self.now;
        let request = &pending.request;
        let class = self.settings.class(request);
        if !(pending.not_before..request.deadline).contains(&now) {
            return Some(BlockReason::RetryDelay);
        }
        let ordered_key = request.key.filter(|_| class.ordered);
        if ordered_key.is_some_and(|key| !self.retries.key_allows(key, request.id, now)) {
            return Some(BlockReason::KeyOrder);
        }
        if pending.attempts.count() > 0 && !self.retries.budget_allows(now) {
            return Some(BlockReason::RetryBudget);
        }
        let volume = &self.volumes[request.volume];
        if !pending.limit_drawn && volume.limit_has_less_than(request.units) {
            return Some(BlockReason::RateLimit);
        }
        if !node.warm_up.allows() {
            return Some(BlockReason::SlowStart);
        }
        let prior = pending.attempts.prior();
        if !may_resend(class.idempotency, prior, node.zone, node.shard, now) {
            return Some(BlockReason::Idempotency);
        }
        if !self.lease.confirms(&node.serving_evidence, now) {
            return Some(BlockReason::Unconfirmed);
        }
        let value = self.value(pending, Some(node));
        if !value.covered && !node.capacity.has_spare_capacity() {
            return Some(BlockReason::Share);
        }
        let is_admitted = self.admits(node, value, pending.tie_breaker);
        (!is_admitted).then_some(BlockReason::Throttled)
    }

    /// Returns the reason that blocks the request, including the concurrency limit, or `None` if it may be
    /// sent.
    pub(super) fn block_reason_or_concurrency(
        &self,
        pending: &PendingRequest,
        node: &Node,
    ) -> Option<BlockReason> {
        let at_limit = !self.has_capacity(node, pending.request.units);
        self.block_reason(pending, node)
            .or(at_limit.then_some(BlockReason::Concurrency))
    }

    /// Returns whether the throttle admits a request of the given value at the node.
    pub(super) fn admits(&self, node: &Node, value: Value, tie_breaker: f64) -> bool {
        self.throttle
            .admits(&node.admission, value.amount, tie_breaker)
    }

    /// Returns whether the node has capacity for `units` now.
    pub(super) fn has_capacity(&self, node: &Node, units: f64) -> bool {
        self.concurrency
            .has_capacity(node, units, self.latency, self.now)
    }

    /// Returns the queued request to send to the node next. A smaller request behind it waits even if it
    /// would fit now; otherwise large requests would never be sent.
    pub(super) fn best_queued(&self, node: &Node) -> Option<Candidate> {
        let earliest_answer = self.now + self.expected_time(Some(node), 0.0);
        let sub_queues = node.queue.sub_queues();
        best_candidate(
            sub_queues.filter_map(|sub_queue| self.best_in(sub_queue, node, earliest_answer)),
        )
    }

    fn best_in(
        &self,
        sub_queue: &SubQueue,
        node: &Node,
        earliest_answer: Duration,
    ) -> Option<Candidate> {
        let first = &self.requests[sub_queue.first()?.id.0];
        // A reason that blocks a request with the best tie-breaker blocks the whole sub-queue, so its
        // requests need not be visited.
        let value = self.value_in_time(first, Some(node));
        let volume = &self.volumes[first.request.volume];
        let smallest = self.requests.smallest_units().unwrap_or(0.0);
        let limit_is_exhausted = !first.limit_drawn && volume.limit_has_less_than(smallest);
        let is_covered_or_spare = value.covered || node.capacity.has_spare_capacity();
        if limit_is_exhausted || !is_covered_or_spare || !self.admits(node, value, BEST_TIE_BREAKER)
        {
            return None;
        }
        best_of_sub_queue(sub_queue, earliest_answer, value.amount, |entry| {
            let pending = &self.requests[entry.id.0];
            let is_unblocked = self.block_reason(pending, node).is_none();
            is_unblocked.then(|| self.candidate(pending, node))
        })
    }

    /// Returns the request as a candidate for the node.
    pub(super) fn candidate(&self, pending: &PendingRequest, node: &Node) -> Candidate {
        Candidate {
            value: self.value(pending, Some(node)).amount,
            objective_at: Reverse(pending.objective_at),
            id: pending.request.id,
        }
    }

    /// Returns the requests ordered by value, the highest first.
    pub(super) fn ranked(
        &self,
        ids: impl Iterator<Item = RequestId>,
        node: Option<&Node>,
    ) -> Vec<RequestId> {
        sort_by_value(ids, |id| self.value(&self.requests[*id], node).amount)
    }
}
