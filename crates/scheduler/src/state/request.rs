//! A request that has no final answer yet or has an attempt outstanding.

use crate::api::{NodeId, Request};
use crate::request_queue::SubQueueKey;
use crate::scheduler::PriorAttempt;
use std::time::Duration;

/// State that the scheduler has decided for a request. The host gets an action if the actual state differs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum DesiredState {
    /// Queued.
    Queued,
    /// An attempt is outstanding at the node.
    Sent(NodeId),
    /// Rejected; the client may retry after this time at the earliest.
    Rejected(Duration),
    /// Failed; the request may have run.
    Failed,
}

/// The attempts of one request so far.
#[derive(Debug, Default)]
pub struct AttemptHistory {
    /// Number of attempts so far.
    count: u32,
    /// The node at which an attempt is outstanding; `None` if there is none.
    outstanding_at: Option<NodeId>,
    /// The node of the last attempt.
    last_node: Option<NodeId>,
    /// The first attempt that may have run.
    prior: Option<PriorAttempt>,
    /// The last attempt has already been counted as late against its node, or must not be counted.
    lateness_counted: bool,
}

impl AttemptHistory {
    /// Counts an attempt that is about to be sent; returns whether it is a retry. `is_only_attempt`: this
    /// host has no other attempt outstanding at the node.
    pub fn add(&mut self, node: NodeId, is_only_attempt: bool) -> bool {
        let is_retry = self.count > 0;
        self.count += 1;
        self.last_node = Some(node);
        self.lateness_counted = !is_only_attempt;
        is_retry
    }

    /// Marks the attempt as outstanding; returns false if one was outstanding already.
    pub fn mark_outstanding(&mut self, node: NodeId) -> bool {
        if self.outstanding_at.is_some() {
            return false;
        }
        self.outstanding_at = Some(node);
        true
    }

    /// Marks the outstanding attempt as ended.
    pub fn mark_ended(&mut self) {
        self.outstanding_at = None;
    }

    /// Records an attempt that may have run, unless an earlier one is recorded.
    pub fn record_prior(&mut self, attempt: PriorAttempt) {
        self.prior.get_or_insert(attempt);
    }

    /// Marks the outstanding attempt as already counted as late.
    pub fn count_lateness(&mut self) {
        self.lateness_counted = true;
    }

    /// Returns the number of attempts so far.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Returns whether an attempt is outstanding.
    pub fn has_outstanding(&self) -> bool {
        self.outstanding_at.is_some()
    }

    /// Returns the node of the last attempt.
    pub fn last_node(&self) -> Option<NodeId> {
        self.last_node
    }

    /// Returns the first attempt that may have run.
    pub fn prior(&self) -> Option<PriorAttempt> {
        self.prior
    }

    /// Returns whether the last attempt has already been counted as late, or must not be counted.
    pub fn lateness_counted(&self) -> bool {
        self.lateness_counted
    }
}

/// A request and its progress.
#[derive(Debug)]
pub struct PendingRequest {
    /// The request.
    pub request: Request,
    /// Time at which it was received.
    pub received: Duration,
    /// Time until which an answer meets the latency objective.
    pub objective_at: Duration,
    /// Random number from 0 to 1 that orders requests of the same value.
    pub tie_breaker: f64,
    /// State that the scheduler has decided for it.
    pub desired: DesiredState,
    /// It has its final answer; the record is kept while an attempt is outstanding.
    pub answered: bool,
    /// Its answer has begun to reach the client, so it can no longer be retried.
    pub response_started: bool,
    /// Its units have already been drawn from the volume's limit.
    pub limit_drawn: bool,
    /// The node at which it is queued; `None` if it is unassigned or not queued.
    pub queued_at: Option<NodeId>,
    /// No attempt is sent before this time.
    pub not_before: Duration,
    /// Its attempts so far.
    pub attempts: AttemptHistory,
}

impl PendingRequest {
    /// Returns the record of a request that was just received.
    pub fn new(
        request: Request,
        received: Duration,
        objective_at: Duration,
        tie_breaker: f64,
    ) -> Self {
        PendingRequest {
            request,
            received,
            objective_at,
            tie_breaker,
            desired: DesiredState::Queued,
            answered: false,
            response_started: false,
            limit_drawn: false,
            queued_at: None,
            not_before: received,
            attempts: AttemptHistory::default(),
        }
    }

    /// Returns the key of the sub-queue in which it is queued.
    pub fn sub_queue_key(&self) -> SubQueueKey {
        SubQueueKey {
            volume: self.request.volume,
            traffic_class: self.request.traffic_class,
            limit_drawn: self.limit_drawn,
        }
    }
}
