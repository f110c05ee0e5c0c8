//! The events that [`crate::DiscoveryClient::step`] takes, the actions that it returns, and the log events.

use grebecleat_scheduler::api::{Endpoint, EndpointUpdateKind, NodeId};
use grebecleat_wire::pb::{self, frame::Body};
use std::collections::BTreeSet;
use std::time::Duration;
use tracing::info;

/// Identifies one link, which is a dial to discovery and the connection that results from it. The client
/// numbers its links and never reuses a number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// An input of [`crate::DiscoveryClient::step`].
#[derive(Debug)]
pub enum Event {
    /// The scheduler starts or stops a watch for changes.
    Watch {
        /// Whether the client watches from now on.
        on: bool,
    },
    /// The scheduler requests the complete list once.
    Fetch,
    /// The dial of a link has succeeded.
    Connected {
        /// The link.
        link: LinkId,
    },
    /// Discovery has sent frames.
    Received {
        /// The link.
        link: LinkId,
        /// The frames, in the order in which discovery sent them.
        frames: Vec<pb::Frame>,
    },
    /// The connection of a link has ended, or its dial has failed.
    Disconnected {
        /// The link.
        link: LinkId,
    },
    /// Discovery has refused a call because it has too many callers. The connection ends with this response.
    Refused {
        /// The link.
        link: LinkId,
        /// How long the call had been queued at discovery, without the time for which discovery may hold it
        /// until there is a change.
        waited: Duration,
        /// Whether the call continued an open watch. Discovery had then reported every change until now.
        up_to_date: bool,
    },
    /// Discovery has closed a connection after a response, which its protocol allows. The next call needs
    /// another link.
    Ended {
        /// The link.
        link: LinkId,
    },
    /// The outstanding call of a link has exceeded its timeout. The connection stays open.
    Overdue {
        /// The link.
        link: LinkId,
    },
    /// The address of discovery has changed.
    Moved,
    /// This host has loaded the copy of the endpoint list that it stored before its restart.
    CachedList {
        /// The list.
        list: pb::EndpointUpdate,
    },
    /// The timeout of the active call may have passed. The caller sends this event before it steps the
    /// scheduler, so that the scheduler learns of a failure at once.
    CheckTimeout,
    /// The poll deadline may have passed. The caller sends this event after it has stepped the scheduler,
    /// because a call that the scheduler requests makes the client's own call unnecessary.
    CheckPollDeadline,
    /// The caller can store the list now.
    StoreDue,
}

/// An output of [`crate::DiscoveryClient::step`]. The caller performs the actions in order.
#[derive(Debug)]
pub enum Action {
    /// Dial discovery.
    Dial {
        /// The new link.
        link: LinkId,
    },
    /// Send a request.
    Send {
        /// The link, which is connected.
        link: LinkId,
        /// The request.
        request: Body,
    },
    /// Close the link, or abandon its dial. The client ignores later events of the link.
    Close {
        /// The link.
        link: LinkId,
    },
    /// Apply a change of the endpoint list to the scheduler, the connections and the attempts.
    Apply(ListUpdate),
    /// Notify the scheduler that the list is up to date.
    ConfirmList,
    /// Notify the scheduler that a call has failed.
    ReportFailure,
    /// Notify the scheduler that discovery has refused a call.
    ReportRefusal {
        /// How long the call had been queued, see [`Event::Refused`].
        waited: Duration,
    },
    /// Notify the scheduler that the address of discovery has changed.
    ReportMove,
    /// Replace the stored copy of the list.
    Store {
        /// The bytes of the file.
        bytes: Vec<u8>,
    },
    /// Count a message that is not an endpoint update, or that arrived on a link that the client does not read.
    UnexpectedMessage {
        /// The link.
        link: LinkId,
    },
    /// Log an event.
    Log(LogEvent),
}

/// The change that one endpoint update makes.
#[derive(Debug)]
pub struct ListUpdate {
    /// Whether the update replaces the list, changes it, or is the stored copy.
    pub kind: EndpointUpdateKind,
    /// Revision of the list; 0 if the update is the stored copy.
    pub revision: u64,
    /// The endpoints in the update.
    pub endpoints: Vec<Endpoint>,
    /// Nodes among `endpoints` whose process has changed.
    pub restarted: BTreeSet<NodeId>,
    /// Nodes that a complete list no longer contains. They are gone.
    pub delisted: Vec<NodeId>,
}

/// Why a call to discovery has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureReason {
    /// The connection has ended, or the dial has failed.
    ConnectionLost,
    /// Discovery has too many callers.
    Refused,
    /// No response came within the timeout.
    TimedOut,
}

impl FailureReason {
    /// Returns the name of the reason in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            FailureReason::ConnectionLost => "connection lost",
            FailureReason::Refused => "refused",
            FailureReason::TimedOut => "timed out",
        }
    }
}

/// A line of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogEvent {
    /// A call has failed.
    CallFailed {
        /// The reason.
        reason: FailureReason,
        /// Time since discovery last responded; `None` if it has not responded since the start.
        since_response: Option<Duration>,
        /// How many calls have failed since discovery last responded.
        failures: u32,
    },
    /// Discovery has responded after failed calls.
    Recovered {
        /// How many calls had failed.
        failures: u32,
    },
    /// Discovery has responded to an overdue call. The client abandons the later call.
    OverdueCallAnswered,
    /// An update has entries without a state, which are ignored.
    EntriesIgnored {
        /// Number of ignored entries.
        entries: usize,
    },
}

impl LogEvent {
    /// Writes the event to the log. `host` is the name of the host, if the log has a field for it.
    pub fn write(&self, host: Option<&str>) {
        let host = host.map(tracing::field::display);
        match self {
            LogEvent::CallFailed {
                reason,
                since_response,
                failures,
            } => {
                let reason = reason.as_str();
                let since_response_ms = since_response.map(|since| since.as_millis() as u64);
                info!(
                    host,
                    reason, since_response_ms, failures, "discovery call failed"
                );
            }
            LogEvent::Recovered { failures } => info!(host, failures, "discovery recovered"),
            LogEvent::OverdueCallAnswered => info!(host, "discovery overdue call answered"),
            LogEvent::EntriesIgnored { entries } => {
                info!(
                    host,
                    entries, "endpoint list entries without a state ignored"
                );
            }
        }
    }
}
