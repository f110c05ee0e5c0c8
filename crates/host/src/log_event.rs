//! Changes of state that this host reports in its log.
//!
//! Returned by the router as [`crate::router::Output::Log`]. Whoever performs the outputs calls
//! [`LogEvent::write`], the one place where they are written: a fixed message, and the values as
//! fields of `tracing`.

use crate::config_follower::StateServiceError;
use crate::router::ConnId;
use grebecleat_coordination::events::Notice;
use grebecleat_coordination::outlier_detection::EndpointPolicy;
use grebecleat_discovery as discovery;
use grebecleat_scheduler::api::{self as scheduler, NodeId};
use tracing::field::display;
use tracing::info;

/// A violation of the wire protocol by a peer. The connection is closed, but for a violation by
/// discovery.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ProtocolViolation {
    /// A request whose id does not have the length of an id.
    #[error("request with a malformed id")]
    MalformedRequestId,
    /// A request whose id is that of an open request.
    #[error("request with the id of an open request")]
    DuplicateRequestId,
    /// A request of a traffic class that the settings do not declare.
    #[error("request of an unknown traffic class")]
    UnknownTrafficClass,
    /// A request of a plan that the settings do not declare.
    #[error("request of an unknown plan")]
    UnknownPlan,
    /// A request of a volume that the settings do not declare.
    #[error("request of an unknown volume")]
    UnknownVolume,
    /// A request whose size is not positive, or larger than the settings allow.
    #[error("request of an invalid size")]
    InvalidSize,
    /// A client sent a message that only hosts and nodes send.
    #[error("unexpected message from a client")]
    UnexpectedClientMessage,
    /// A node sent a message that only hosts and clients send.
    #[error("unexpected message from a node")]
    UnexpectedNodeMessage,
    /// Discovery sent a message that is no endpoint list.
    #[error("unexpected message from discovery")]
    UnexpectedDiscoveryMessage,
    /// A client leaves more responses unread than the settings allow.
    #[error("client leaves its responses unread")]
    UnreadResponses,
    /// A subscriber leaves more metrics unread than this host buffers.
    #[error("subscriber leaves its metrics unread")]
    UnreadMetrics,
    /// The state service violated the protocol.
    #[error(transparent)]
    StateService(#[from] StateServiceError),
}

/// A reason for which a node that the endpoint list names as ready receives no new attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExclusionReason {
    /// An operator drains the node.
    Drained,
    /// Outlier detection among the hosts avoids the node.
    Outlier,
}

impl ExclusionReason {
    /// The reason as the log shows it.
    pub fn name(self) -> &'static str {
        match self {
            ExclusionReason::Drained => "drained",
            ExclusionReason::Outlier => "outlier",
        }
    }
}

/// A change of state.
#[derive(Debug, Clone, PartialEq)]
pub enum LogEvent {
    /// A peer has violated the protocol.
    ProtocolViolation {
        /// The peer's connection.
        conn: ConnId,
        /// The violation.
        violation: ProtocolViolation,
    },
    /// A node is excluded from service, or no longer.
    NodeExclusion {
        /// The node.
        node: NodeId,
        /// The reason that now applies, or no longer does.
        reason: ExclusionReason,
        /// Whether it now applies.
        excluded: bool,
    },
    /// Outlier detection among the hosts has another finding about a node.
    EndpointPolicy {
        /// The node.
        node: NodeId,
        /// How this host now treats the node.
        policy: EndpointPolicy,
    },
    /// A graceful shutdown has started.
    ShutdownStarted {
        /// Requests that are still open.
        open_requests: usize,
    },
    /// A change that the scheduler reports.
    Scheduler(scheduler::LogEvent),
    /// A change that the discovery client reports.
    Discovery(discovery::LogEvent),
    /// A change that the follower of the catalog reports.
    Catalog {
        /// The line.
        text: String,
    },
    /// A change that the coordination among hosts reports.
    Coordination(Notice),
}

impl LogEvent {
    /// Writes the event to the log. `host_name` is the name of this host, where several hosts may
    /// write to one log.
    pub fn write(&self, host_name: Option<&str>) {
        let host = host_name.map(display);
        match self {
            LogEvent::ProtocolViolation { conn, violation } => {
                info!(host, conn = conn.0, error = %violation, "protocol violation by a peer");
            }
            LogEvent::NodeExclusion {
                node,
                reason,
                excluded,
            } => {
                let reason = reason.name();
                match excluded {
                    true => info!(host, node = node.0, %reason, "node excluded"),
                    false => info!(host, node = node.0, %reason, "node no longer excluded"),
                }
            }
            LogEvent::EndpointPolicy { node, policy } => {
                let policy = policy_name(*policy);
                info!(host, node = node.0, %policy, "outlier detection policy changed");
            }
            LogEvent::ShutdownStarted { open_requests } => {
                info!(host, open_requests, "graceful shutdown started");
            }
            LogEvent::Scheduler(event) => write_scheduler_event(event, host_name),
            LogEvent::Discovery(event) => event.write(host_name),
            LogEvent::Catalog { text } => info!(host, "{text}"),
            LogEvent::Coordination(Notice::IncarnationRaised { incarnation }) => {
                info!(host, incarnation = incarnation.0, "incarnation raised");
            }
            LogEvent::Coordination(Notice::MessageRejected { from, reason }) => {
                info!(host, peer = from.0, %reason, "gossip message rejected");
            }
        }
    }
}

fn write_scheduler_event(event: &scheduler::LogEvent, host_name: Option<&str>) {
    let host = host_name.map(display);
    match event {
        scheduler::LogEvent::EndpointLeaseExpired => {
            info!(host, "endpoint list lease expired");
        }
        scheduler::LogEvent::EndpointLeaseRenewed => {
            info!(host, "endpoint list lease renewed");
        }
        scheduler::LogEvent::NodeWarmingUp { node } => {
            info!(host, node = node.0, "node warming up");
        }
        scheduler::LogEvent::NodeEjected { node, reason } => {
            info!(host, node = node.0, %reason, "node ejected");
        }
    }
}

/// The policy as the log shows it.
fn policy_name(policy: EndpointPolicy) -> &'static str {
    match policy {
        EndpointPolicy::OwnEvidence => "own_evidence",
        EndpointPolicy::BadPath => "bad_path",
        EndpointPolicy::Avoid => "avoid",
        EndpointPolicy::Probe => "probe",
    }
}
