//! A run as its traces record it: requests, attempts and endpoint lists, by process and time.
//!
//! [`crate::TraceSet::check`] calls [`Run::read`]; the rules read the result. One module reads the
//! traces of each role: `clients`, `host_trace`, `nodes`. This module checks no rule.

mod clients;
mod host_trace;
mod nodes;

pub use host_trace::{drain_change, DrainChange, DrainRequest, HostTrace, NodeReport};
pub use nodes::Arrival;

use crate::plans::Plans;
use crate::CheckError;
use bytes::Bytes;
use grebecleat_wire::pb::{self, marked::What, record::Kind, Record};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Identifier of a request.
pub type Id = Bytes;

/// Time of a recorded frame, and the frame as text.
#[derive(Debug, Clone)]
pub struct TracedFrame {
    /// Time of the record.
    pub at: Duration,
    /// The record as [`record_text`] formats it.
    pub text: String,
}

impl TracedFrame {
    fn new(process: &str, record: &Record) -> Self {
        TracedFrame {
            at: Duration::from_nanos(record.at_ns),
            text: record_text(process, record),
        }
    }
}

/// Request that a host received.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// Frame of the request.
    pub frame: TracedFrame,
    /// Connection of the request.
    pub conn: u64,
    /// Content of the request.
    pub submit: pb::SubmitRequest,
    /// Responses that the host sent.
    pub responses: Vec<(TracedFrame, pb::Response)>,
    /// Time at which the client cancelled the request or closed its connection.
    pub cancelled: Option<Duration>,
    /// Indices of the request's attempts in [`HostTrace::attempts`].
    pub attempts: Vec<usize>,
}

/// Attempt that a host sent to a node.
#[derive(Debug)]
pub struct Attempt {
    /// Frame of the attempt.
    pub frame: TracedFrame,
    /// Connection of the attempt.
    pub conn: u64,
    /// Content of the attempt.
    pub attempt: pb::Attempt,
    /// First response of the node.
    pub response: Option<(TracedFrame, pb::AttemptResponse)>,
    /// Time at which the host cancelled the attempt.
    pub cancelled: Option<Duration>,
}

impl Attempt {
    /// Returns the deadline of the attempt.
    pub fn deadline(&self) -> Duration {
        self.frame.at + Duration::from_micros(self.attempt.left_us)
    }

    /// Returns whether, by a time, a response had shown that the attempt never ran.
    pub fn never_ran(&self, by: Duration) -> bool {
        let Some((frame, response)) = &self.response else {
            return false;
        };
        let is_proof = matches!(
            response.result(),
            pb::Result::Full | pb::Result::WrongNode | pb::Result::Expired
        );
        frame.at <= by && is_proof
    }
}

/// Request that a client sent.
#[derive(Debug)]
pub struct ClientRequest {
    /// Frame of the request.
    pub frame: TracedFrame,
    /// Connection of the request.
    pub conn: u64,
    /// Content of the request.
    pub submit: pb::SubmitRequest,
    /// Responses that the client received.
    pub responses: Vec<(TracedFrame, pb::Response)>,
    /// Whether the client cancelled the request.
    pub cancelled: bool,
}

/// Period in which a host was stopped from outside.
#[derive(Debug)]
pub struct Stop {
    /// Name of the host.
    pub host: String,
    /// Time at which the host stopped.
    pub from: Duration,
    /// Time at which the host continued, or `Duration::MAX`.
    pub to: Duration,
}

/// All traces of one run.
#[derive(Debug, Default)]
pub struct Run {
    /// Traces of hosts, one for each start of a host.
    pub hosts: Vec<HostTrace>,
    /// Requests that clients sent.
    pub client_requests: HashMap<Id, ClientRequest>,
    /// Time at which each connection of a client closed.
    pub client_closed: HashMap<u64, Duration>,
    /// Host of each connection of a client.
    pub client_peer: HashMap<u64, String>,
    /// Time of the clients' last record.
    pub client_end: Duration,
    /// Attempts that arrived at each node.
    pub arrived: BTreeMap<u32, Vec<Arrival>>,
    /// Marks of faults and effects, by time.
    pub marks: Vec<(Duration, pb::Marked)>,
    /// Periods in which hosts were stopped.
    pub stopped: Vec<Stop>,
    /// Notifications of the state service, where the run had one.
    pub plans: Plans,
}

impl Run {
    /// Reads the traces of all processes.
    ///
    /// # Errors
    ///
    /// Returns an error if a trace is truncated, or does not begin with the record of its process.
    pub fn read(traces: &[Vec<Record>]) -> Result<Self, CheckError> {
        let mut run = Run::default();
        for records in traces {
            let first = records.first();
            let process = first.and_then(|record| record.process.clone());
            let process = process.ok_or(CheckError::NoWriter)?;
            if records.iter().any(|record| record.kind() == Kind::Cut) {
                return Err(CheckError::Truncated {
                    process: process.name,
                });
            }
            match process.role() {
                pb::Role::Client => run.read_clients(records),
                pb::Role::Host => run.hosts.push(HostTrace::read(&process.name, records)),
                pb::Role::Node => run.read_nodes(records),
                pb::Role::State => run.plans.read(records),
                _ => {}
            }
        }
        run.marks.sort_by_key(|mark| mark.0);
        run.find_stops();
        Ok(run)
    }

    fn find_stops(&mut self) {
        for (at, mark) in &self.marks {
            match mark.what() {
                What::Stopped => self.stopped.push(Stop {
                    host: mark.name.clone(),
                    from: *at,
                    to: Duration::MAX,
                }),
                What::Continued => {
                    let mut stops = self.stopped.iter_mut().rev();
                    if let Some(stop) = stops.find(|stop| stop.host == mark.name) {
                        stop.to = *at;
                    }
                }
                _ => {}
            }
        }
    }

    /// Returns the end of a period, extended where the host was stopped from outside meanwhile. A
    /// stopped host does not run, and owes its responses once it continues.
    pub fn extended(
        &self,
        host: &str,
        from: Duration,
        to: Duration,
        catch_up: Duration,
    ) -> Duration {
        let stops = self.stopped.iter().filter(|stop| stop.host == host);
        let overlapping = stops.filter(|stop| stop.from <= to && stop.to >= from);
        let ends = overlapping.map(|stop| stop.to.saturating_add(catch_up));
        ends.fold(to, Duration::max)
    }
}

/// Returns a record as text for operators.
pub fn record_text(process: &str, record: &Record) -> String {
    let body = record.frame.as_ref().and_then(|frame| frame.body.as_ref());
    let body = body.map(|body| format!("{body:?}"));
    let mark = record.mark.as_ref().map(|mark| {
        let what = mark.what().as_str_name();
        format!("{what} {} node {}", mark.name, mark.node)
    });
    let content = body.or(mark).unwrap_or_default();
    format!(
        "{:.6} {process} {} conn {} {content}",
        record.at_ns as f64 / 1e9,
        record.kind().as_str_name(),
        record.conn
    )
}
