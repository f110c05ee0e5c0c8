//! A request that has no final answer yet, or that has an attempt outstanding.

use crate::api::{NodeId, Request};
use crate::request_queue::LineKey;
use crate::scheduler::PriorAttempt;
use std::time::Duration;

/// State of a request that the decisions want; the host is given an action where the actual state differs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum DesiredState {
    /// Queued.
    Queued,
    /// An attempt is outstanding at the node.
    Sent(NodeId),
    /// Rejected, with a retry after that time at the earliest.
    Rejected(Duration),
    /// Failed: it may have run.
    Failed,
}

/// The attempts of one request so far.
#[derive(Debug, Default)]
pub struct AttemptHistory {
    /// Attempts so far.
    count: u32,
    /// The node at which an attempt is outstanding.
    out_at: Option<NodeId>,
    /// The node of the last attempt.
    last_node: Option<NodeId>,
    /// The first attempt that may have run.
    prior: Option<PriorAttempt>,
    /// The lateness of the last attempt counts against its node already, or must not count.
    lateness_counted: bool,
}

impl AttemptHistory {
    /// Counts an attempt that is about to be sent; returns whether it is a retry. `alone`: this host has no other
    /// attempt outstanding at the node.
    pub fn add(&mut self, node: NodeId, alone: bool) -> bool {
        let is_retry = self.count > 0;
        self.count += 1;
        self.last_node = Some(node);
        self.lateness_counted = !alone;
        is_retry
    }

    /// Marks the attempt as outstanding; returns whether it was not before.
    pub fn mark_out(&mut self, node: NodeId) -> bool {
        if self.out_at.is_some() {
            return false;
        }
        self.out_at = Some(node);
        true
    }

    /// Marks the attempt as ended.
    pub fn mark_ended(&mut self) {
        self.out_at = None;
    }

    /// Remembers an attempt that may have run, if it is the first.
    pub fn record_prior(&mut self, attempt: PriorAttempt) {
        self.prior.get_or_insert(attempt);
    }

    /// Counts the lateness of the outstanding attempt.
    pub fn count_lateness(&mut self) {
        self.lateness_counted = true;
    }

    /// Number of attempts so far.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Returns whether an attempt is outstanding.
    pub fn is_out(&self) -> bool {
        self.out_at.is_some()
    }

    /// The node of the last attempt.
    pub fn last_node(&self) -> Option<NodeId> {
        self.last_node
    }

    /// The first attempt that may have run.
    pub fn prior(&self) -> Option<PriorAttempt> {
        self.prior
    }

    /// Returns whether the lateness of the last attempt counts already, or must not count.
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
    /// Time up to which an answer meets the latency objective.
    pub objective_at: Duration,
    /// Its random place, from 0 to 1, among requests of the same value.
    pub tie_breaker: f64,
    /// State that the decisions want.
    pub desired: DesiredState,
    /// It has its final answer; the record stays while an attempt is outstanding.
    pub answered: bool,
    /// Its answer has begun and belongs to the client.
    pub response_started: bool,
    /// Its units are drawn from the volume's limit.
    pub limit_drawn: bool,
    /// The node at which it is queued; None: it is queued at no node.
    pub queued_at: Option<NodeId>,
    /// No attempt is sent before this time.
    pub not_before: Duration,
    /// Its attempts so far.
    pub attempts: AttemptHistory,
}

impl PendingRequest {
    /// A request that was received now.
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

    /// The line in which it is queued.
    pub fn line(&self) -> LineKey {
        LineKey {
            volume: self.request.volume,
            traffic_class: self.request.traffic_class,
            limit_drawn: self.limit_drawn,
        }
    }
}
