//! Actions that the scheduler returns to its host, and its log events.

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
        /// Time at which the attempt must end at the latest.
        deadline: Duration,
    },
    /// Tell the client that it may retry the request, because the request did not run or because a retry cannot
    /// have a duplicate effect.
    Reject {
        /// The request.
        id: RequestId,
        /// Shortest time until the retry; `None` if the answer carries no Retry-After.
        retry_after: Option<Duration>,
    },
    /// Tell the client that the request failed and may have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// Number of the attempt, counted from 0.
        attempt: u32,
    },
    /// Call [`crate::scheduler::Scheduler::step`] with this timer's event after the given time.
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
        /// The receiving host; `None` for all hosts.
        to: Option<PeerId>,
        /// Content of the message.
        bytes: Vec<u8>,
    },
    /// Write an event to the log.
    Log {
        /// The event.
        event: LogEvent,
    },
    /// Start or end the watch on the endpoint list.
    WatchEndpoints {
        /// Whether to watch.
        on: bool,
    },
    /// Fetch the complete endpoint list.
    FetchEndpoints,
}

/// Reason why a node was ejected. An ejected node gets only trial requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectionReason {
    /// The node has not answered for too long although attempts are outstanding there.
    Silent {
        /// Time since the node last completed an attempt or, if that is later, since the oldest of these
        /// attempts was sent.
        silent_for: Duration,
    },
    /// The node's queue was full.
    QueueFull {
        /// Number of consecutive failures of the node.
        failures: u32,
    },
    /// No connection to the node could be opened.
    ConnectFailed {
        /// Number of consecutive failures of the node.
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

/// Event that the scheduler reports for the host's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogEvent {
    /// The lease of the endpoint list has expired; only nodes that keep completing requests get more requests.
    EndpointLeaseExpired,
    /// The discovery service has answered after the lease had expired.
    EndpointLeaseRenewed,
    /// A node has started recently; until it is warm, this host sends it no more than its quota.
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
