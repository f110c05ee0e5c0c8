//! Actions that the scheduler returns to its host, and the events of its log.

use super::{NodeId, PeerId, RequestId, TimerTag};
use std::fmt;
use std::time::Duration;

/// An action for the host to perform.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt of a request.
    SendAttempt {
        /// The request.
        id: RequestId,
        /// The node.
        node: NodeId,
        /// Time at which the attempt ends at the latest.
        deadline: Duration,
    },
    /// Answer the client that the request did not run and may be retried.
    Reject {
        /// The request.
        id: RequestId,
        /// Shortest time until the retry; None: the answer has no Retry-After.
        retry_after: Option<Duration>,
    },
    /// Answer the client that the request failed and may have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// Number of its attempt, from 0.
        attempt: u32,
    },
    /// Call [`crate::scheduler::Scheduler::step`] again, with this timer's event, after a time.
    SetTimer {
        /// Time from now.
        after: Duration,
        /// The timer.
        tag: TimerTag,
    },
    /// Check a node's health.
    HealthCheck {
        /// The node.
        node: NodeId,
    },
    /// Close a node's idle connections.
    CloseIdleConnections {
        /// The node.
        node: NodeId,
    },
    /// Send a message to the scheduler of another host.
    SendToPeer {
        /// The host; None: all hosts.
        to: Option<PeerId>,
        /// Its content.
        bytes: Vec<u8>,
    },
    /// Write an event to the log.
    Log {
        /// The event.
        event: LogEvent,
    },
    /// Start, or end, the watch on the endpoint list.
    WatchEndpoints {
        /// Whether to watch.
        on: bool,
    },
    /// Fetch the complete endpoint list.
    FetchEndpoints,
}

/// Reason for which a node was ejected: from then on it gets trial requests only.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectionReason {
    /// Attempts are outstanding at the node, and it has answered none of them.
    Silent {
        /// Time since its last answer, or since the oldest of these attempts was sent.
        silent_for: Duration,
    },
    /// The node's queue was full.
    QueueFull {
        /// Consecutive failures of the node.
        failures: u32,
    },
    /// No connection to the node could be opened.
    ConnectFailed {
        /// Consecutive failures of the node.
        failures: u32,
    },
}

impl fmt::Display for EjectionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EjectionReason::Silent { silent_for } => write!(f, "no answer for {silent_for:?}"),
            EjectionReason::QueueFull { failures } => {
                write!(f, "queue full after {failures} consecutive failures")
            }
            EjectionReason::ConnectFailed { failures } => {
                write!(f, "connection failed after {failures} consecutive failures")
            }
        }
    }
}

/// Event of the decisions for the host's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogEvent {
    /// The lease of the endpoint list has expired: only nodes that complete requests get more.
    EndpointLeaseExpired,
    /// Discovery has answered after the lease had expired.
    EndpointLeaseRenewed,
    /// A node has started recently and gets only this host's quota until it has warmed up.
    NodeWarmingUp {
        /// The node.
        node: NodeId,
    },
    /// A node was ejected.
    NodeEjected {
        /// The node.
        node: NodeId,
        /// The reason.
        reason: EjectionReason,
    },
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogEvent::EndpointLeaseExpired => f.write_str("endpoint list lease expired"),
            LogEvent::EndpointLeaseRenewed => f.write_str("endpoint list lease renewed"),
            LogEvent::NodeWarmingUp { node } => write!(f, "node warming up node={}", node.0),
            LogEvent::NodeEjected { node, reason } => {
                write!(f, "node ejected node={} reason=\"{reason}\"", node.0)
            }
        }
    }
}
