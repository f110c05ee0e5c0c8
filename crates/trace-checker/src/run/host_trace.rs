//! Reader of a host's trace: requests, attempts, endpoint lists and requested drains.
//! [`super::Run::read`] calls it.

use super::{Attempt, Id, ReceivedRequest, TracedFrame};
use grebecleat_wire::pb::{self, frame::Body, record::Kind, Record};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

/// Peer of a connection from inside the host's own process.
const INTERNAL_PEER: &str = "inside";

/// State of a node, as an endpoint list reported it to the host.
#[derive(Debug, Clone, Copy)]
pub struct NodeReport {
    /// Time of the report.
    pub at: Duration,
    /// State of the node.
    pub state: pb::NodeState,
    /// Incarnation of the node.
    pub start: u64,
}

/// Notification to the host that an operator requests a node's drain, or ends it.
#[derive(Debug, Clone, Copy)]
pub struct DrainRequest {
    /// Time of the notification.
    pub at: Duration,
    /// Whether the node is to drain from then on.
    pub drains: bool,
}

/// Change of the catalog that begins or ends a node's drain.
#[derive(Debug, Clone, Copy)]
pub struct DrainChange {
    /// The node.
    pub node: u32,
    /// Whether the node is to receive no new attempts.
    pub drains: bool,
}

/// Drains in a response of the state service that arrives in parts.
#[derive(Debug, Default)]
struct PendingConfig {
    snapshot: bool,
    /// Draining nodes of the snapshot's state.
    drained: BTreeSet<u32>,
    /// Changes of its revisions, in order.
    changes: Vec<DrainChange>,
}

/// Trace of one start of one host.
#[derive(Debug, Default)]
pub struct HostTrace {
    /// Name of the host.
    pub name: String,
    /// Requests in the order received.
    pub requests: Vec<ReceivedRequest>,
    /// Index of each request in `requests`.
    pub request_by_id: HashMap<Id, usize>,
    /// Attempts in the order sent.
    pub attempts: Vec<Attempt>,
    /// Time at which each connection closed.
    pub closed_at: HashMap<u64, Duration>,
    /// Connections of clients inside the host's own process.
    pub internal_conns: HashSet<u64>,
    /// Time of the last record.
    pub end: Duration,
    /// Changes of each node's state, in order.
    pub node_reports: BTreeMap<u32, Vec<NodeReport>>,
    /// Requested drains of each node, in order.
    pub drain_requests: BTreeMap<u32, Vec<DrainRequest>>,
    attempt_by_number: HashMap<u64, usize>,
    pending_config: PendingConfig,
}

impl HostTrace {
    /// Reads the trace of one process.
    pub(super) fn read(name: &str, records: &[Record]) -> Self {
        let mut host = HostTrace {
            name: name.to_string(),
            ..HostTrace::default()
        };
        for record in records {
            host.read_record(record);
        }
        host
    }

    fn read_record(&mut self, record: &Record) {
        let at = Duration::from_nanos(record.at_ns);
        self.end = self.end.max(at);
        let body = record.frame.as_ref().and_then(|frame| frame.body.as_ref());
        match (record.kind(), body) {
            (Kind::Opened, _) if record.peer == INTERNAL_PEER => {
                self.internal_conns.insert(record.conn);
            }
            (Kind::Closed, _) => self.close(record.conn, at),
            (Kind::In, Some(Body::SubmitRequest(submit))) => self.add_request(record, submit),
            (Kind::In, Some(Body::CancelRequest(cancel))) => {
                if let Some(request) = self.request_mut(&cancel.id) {
                    request.cancelled = request.cancelled.or(Some(at));
                }
            }
            (Kind::Out, Some(Body::Response(response))) => {
                let frame = TracedFrame::new(&self.name, record);
                if let Some(request) = self.request_mut(&response.id) {
                    request.responses.push((frame, response.clone()));
                }
            }
            (Kind::Out, Some(Body::Attempt(attempt))) => self.add_attempt(record, attempt),
            (Kind::Out, Some(Body::CancelAttempt(cancel))) => {
                if let Some(index) = self.attempt_by_number.get(&cancel.attempt) {
                    self.attempts[*index].cancelled = Some(at);
                }
            }
            (Kind::In, Some(Body::AttemptResponse(response))) => {
                self.add_attempt_response(record, response);
            }
            (Kind::In, Some(Body::EndpointUpdate(update))) => self.apply_endpoints(at, update),
            (Kind::In, Some(Body::ConfigUpdate(update))) => self.apply_config(at, update),
            _ => {}
        }
    }

    fn request_mut(&mut self, id: &Id) -> Option<&mut ReceivedRequest> {
        let index = self.request_by_id.get(id)?;
        Some(&mut self.requests[*index])
    }

    /// Records the close of a connection, which cancels its requests.
    fn close(&mut self, conn: u64, at: Duration) {
        self.closed_at.insert(conn, at);
        for request in &mut self.requests {
            if request.conn == conn && request.cancelled.is_none() {
                request.cancelled = Some(at);
            }
        }
    }

    fn add_request(&mut self, record: &Record, submit: &pb::SubmitRequest) {
        self.request_by_id
            .insert(submit.id.clone(), self.requests.len());
        self.requests.push(ReceivedRequest {
            frame: TracedFrame::new(&self.name, record),
            conn: record.conn,
            submit: submit.clone(),
            responses: Vec::new(),
            cancelled: None,
            attempts: Vec::new(),
        });
    }

    fn add_attempt(&mut self, record: &Record, attempt: &pb::Attempt) {
        let index = self.attempts.len();
        self.attempt_by_number.insert(attempt.attempt, index);
        if let Some(request) = self.request_mut(&attempt.id) {
            request.attempts.push(index);
        }
        self.attempts.push(Attempt {
            frame: TracedFrame::new(&self.name, record),
            conn: record.conn,
            attempt: attempt.clone(),
            response: None,
            cancelled: None,
        });
    }

    /// Records the first response to an attempt on the attempt's own connection.
    fn add_attempt_response(&mut self, record: &Record, response: &pb::AttemptResponse) {
        let Some(index) = self.attempt_by_number.get(&response.attempt) else {
            return;
        };
        let attempt = &mut self.attempts[*index];
        if attempt.conn == record.conn && attempt.response.is_none() {
            let frame = TracedFrame::new(&self.name, record);
            attempt.response = Some((frame, response.clone()));
        }
    }

    fn apply_endpoints(&mut self, at: Duration, update: &pb::EndpointUpdate) {
        if update.kind() == pb::EndpointUpdateKind::FetchFailed {
            return;
        }
        if update.kind() == pb::EndpointUpdateKind::Snapshot {
            self.report_missing(at, &update.endpoints);
        }
        for endpoint in &update.endpoints {
            let reports = self.node_reports.entry(endpoint.node).or_default();
            let state = endpoint.state();
            let start = endpoint.start;
            let last = reports.last();
            if last.is_none_or(|last| last.state != state || last.start != start) {
                reports.push(NodeReport { at, state, start });
            }
        }
    }

    /// Records nodes that are missing in a snapshot as gone.
    fn report_missing(&mut self, at: Duration, endpoints: &[pb::Endpoint]) {
        for (node, reports) in &mut self.node_reports {
            let Some(last) = reports.last().copied() else {
                continue;
            };
            let is_missing = endpoints.iter().all(|endpoint| endpoint.node != *node);
            if is_missing && last.state != pb::NodeState::Gone {
                let state = pb::NodeState::Gone;
                reports.push(NodeReport { at, state, ..last });
            }
        }
    }

    /// Records the drains in a response of the state service. A response in parts counts when its
    /// last part arrives.
    fn apply_config(&mut self, at: Duration, update: &pb::ConfigUpdate) {
        let pending = &mut self.pending_config;
        pending.snapshot |= update.snapshot;
        let state = update.state.iter().filter_map(drain_change);
        let drained = state.filter(|change| change.drains);
        pending.drained.extend(drained.map(|change| change.node));
        let changes = update.revisions.iter().flat_map(|r| &r.changes);
        pending.changes.extend(changes.filter_map(drain_change));
        if update.more {
            return;
        }
        let pending = std::mem::take(&mut self.pending_config);
        let mut current: BTreeMap<u32, bool> = BTreeMap::new();
        if pending.snapshot {
            current.extend(self.drain_requests.keys().map(|node| (*node, false)));
            current.extend(pending.drained.into_iter().map(|node| (node, true)));
        }
        current.extend(pending.changes.iter().map(|c| (c.node, c.drains)));
        for (node, drains) in current {
            let requests = self.drain_requests.get(&node);
            let last = requests.and_then(|requests| requests.last());
            if last.is_some_and(|last| last.drains) != drains {
                let requests = self.drain_requests.entry(node).or_default();
                requests.push(DrainRequest { at, drains });
            }
        }
    }

    /// Returns since when, at a time, the host had been notified that the node takes no new
    /// attempts: by the endpoint list, or by a requested drain.
    pub fn unavailable_since(&self, node: u32, at: Duration) -> Option<Duration> {
        struct Notice {
            at: Duration,
            by_list: Option<bool>,
            by_request: Option<bool>,
        }
        let reports = self.node_reports.get(&node).into_iter().flatten();
        let by_list = reports.map(|report| Notice {
            at: report.at,
            by_list: Some(report.state != pb::NodeState::Ready),
            by_request: None,
        });
        let requests = self.drain_requests.get(&node).into_iter().flatten();
        let by_request = requests.map(|request| Notice {
            at: request.at,
            by_list: None,
            by_request: Some(request.drains),
        });
        let mut notices: Vec<Notice> = by_list.chain(by_request).collect();
        notices.sort_by_key(|notice| notice.at);
        let mut by_list = false;
        let mut by_request = false;
        let mut since = None;
        for notice in notices.into_iter().take_while(|notice| notice.at <= at) {
            by_list = notice.by_list.unwrap_or(by_list);
            by_request = notice.by_request.unwrap_or(by_request);
            let unavailable = by_list || by_request;
            since = unavailable.then(|| since.unwrap_or(notice.at));
        }
        since
    }
}

/// Returns the drain that a change begins or ends; None if the change is about something else.
pub fn drain_change(change: &pb::Change) -> Option<DrainChange> {
    let Some(pb::change::Subject::Drain(node)) = change.subject else {
        return None;
    };
    let drains = match &change.to {
        Some(pb::change::To::DrainTo(drain)) => drain.stage() != pb::DrainStage::Queued,
        _ => false,
    };
    Some(DrainChange { node, drains })
}
