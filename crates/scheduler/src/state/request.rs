//! A request that has no final answer yet, or an attempt of which is still out.

use crate::api::{NodeId, Request};
use crate::request_queue::LineKey;
use crate::scheduler::PriorAttempt;
use std::time::Duration;

/// What the decisions want of a request; the host is told where it differs from what is so.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum DesiredState {
    /// It waits.
    Queued,
    /// An attempt is out at the node.
    Sent(NodeId),
    /// It is answered: not done, to be sent again after so long.
    Rejected(Duration),
    /// It is answered: it failed, and may have run.
    Failed,
}

/// A request and how far it has come.
#[derive(Debug)]
pub struct PendingRequest {
    /// The request.
    pub request: Request,
    /// When it came in.
    pub received: Duration,
    /// When an answer has to be there to be in time.
    pub objective_at: Duration,
    /// What is wanted of it.
    pub desired: DesiredState,
    /// It has its final answer; the record stays while an attempt is out.
    pub answered: bool,
    /// Its answer has begun and belongs to the client.
    pub response_started: bool,
    /// The lateness of its attempt has been counted against the node.
    pub lateness_counted: bool,
    /// Its random place, from 0 to 1, among requests of the same value.
    pub tie_breaker: f64,
    /// Its units are drawn from the volume's limit.
    pub limit_drawn: bool,
    /// The node at which it is queued, when it is.
    pub queued_at: Option<NodeId>,
    /// Attempts so far.
    pub attempts: u32,
    /// The node at which an attempt is out.
    pub out_at: Option<NodeId>,
    /// The node of its last attempt.
    pub last_node: Option<NodeId>,
    /// Its first attempt that may have run.
    pub prior_attempt: Option<PriorAttempt>,
    /// No attempt goes before then.
    pub not_before: Duration,
}

impl PendingRequest {
    /// A request that has just come in.
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
            desired: DesiredState::Queued,
            answered: false,
            response_started: false,
            lateness_counted: false,
            tie_breaker,
            limit_drawn: false,
            queued_at: None,
            attempts: 0,
            out_at: None,
            last_node: None,
            prior_attempt: None,
            not_before: received,
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
