//! Changes of state that this host reports in its log.
//!
//! The router returns them as [`crate::router::Output::Log`]. The code that performs the outputs calls
//! [`LogEvent::write`], which writes each event as a fixed message with its values as fields of
//! `tracing`.

use crate::config_follower::StateServiceError;
use crate::router::ConnId;
use grebecleat_coordination::events::Notice;
use grebecleat_coordination::outlier_detection::EndpointPolicy;
use grebecleat_discovery as discovery;
use grebecleat_scheduler::api::{self as scheduler, NodeId};
use tracing::field::display;
use tracing::info;

/// A violation of the wire protocol by a peer. The connection is closed, unless the peer is discovery.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ProtocolViolation {
    /// A request whose id does not have the length that the protocol prescribes.
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
    #[error("request size is not positive or above the limit of the settings")]
    InvalidSize,
    /// A client sent a message that only hosts and nodes send.
    #[error("unexpected message from a client")]
    UnexpectedClientMessage,
    /// A node sent a message that only hosts and clients send.
    #[error("unexpected message from a node")]
    UnexpectedNodeMessage,
    /// Discovery sent a message that is not an endpoint list.
    #[error("message from discovery is not an endpoint list")]
    UnexpectedDiscoveryMessage,
    /// A client leaves more responses unread than the settings allow.
    #[error("client leaves more responses unread than the settings allow")]
    UnreadResponses,
    /// A subscriber leaves more metrics unread than this host buffers.
    #[error("subscriber leaves more metrics unread than the host buffers")]
    UnreadMetrics,
    /// The state service violated the protocol.
    #[error(transparent)]
    StateService(#[from] StateServiceError),
}

/// A reason why a node that the endpoint list reports as ready receives no new attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExclusionReason {
    /// An operator is draining the node.
    Drained,
    /// Outlier detection among the hosts has decided that all hosts avoid the node.
    Outlier,
}

impl ExclusionReason {
    /// Returns the reason as it appears in the log.
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
    /// A node has been excluded from service, or its exclusion has ended.
    NodeExclusion {
        /// The node.
        node: NodeId,
        /// The reason of the exclusion.
        reason: ExclusionReason,
        /// Whether the exclusion has started; otherwise it has ended.
        excluded: bool,
    },
    /// Outlier detection among the hosts has changed its policy for a node.
    EndpointPolicy {
        /// The node.
        node: NodeId,
        /// The policy that this host now applies to the node.
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
    /// Writes the event to the log. `host_name` is the name of this host; it is given if several hosts
    /// may write to one log.
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

/// Returns the policy as it appears in the log.
fn policy_name(policy: EndpointPolicy) -> &'static str {
    match policy {
        EndpointPolicy::OwnEvidence => "own_evidence",
        EndpointPolicy::BadPath => "bad_path",
        EndpointPolicy::Avoid => "avoid",
        EndpointPolicy::Probe => "probe",
    }
}
