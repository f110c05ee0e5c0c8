//! Measures the drains that operators request: the time from the request until the last new
//! attempt to the node, by frames and marks alone. [`crate::TraceSet::check`] calls [`requests`]
//! and [`drains`]. No rule is decided here, and the module owns no state.

use crate::run::{drain_change, Run};
use grebecleat_wire::pb::{frame::Body, marked::What, record::Kind, Record};
use std::time::Duration;

/// Bounds the time from an operator's command to the change that it makes. With a larger bound an
/// earlier command could count as the request; with a smaller one the change would count, although
/// the command came before it.
const MAX_REQUEST_DELAY: Duration = Duration::from_secs(2);

/// One drain from the time at which it was in force.
#[derive(Debug, Clone, PartialEq)]
pub struct MeasuredDrain {
    /// The node.
    pub node: u32,
    /// Time of the request; None if no record shows it.
    pub requested: Option<Duration>,
    /// Time from the request, or else from the first notification, until the first host was
    /// notified.
    pub first_notified: Duration,
    /// Time from the same moment until the last host was notified.
    pub last_notified: Duration,
    /// Time from the same moment until the last new attempt to the node; None if no attempt followed.
    pub last_attempt: Option<Duration>,
    /// Number of new attempts from that moment until the drain ended.
    pub attempts: usize,
}

/// Request of a drain, at the state service or by a mark of an operator's command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Request {
    /// Time of the request.
    pub at: Duration,
    /// The node.
    pub node: u32,
}

/// Notifications of one drain to the hosts.
struct Notified {
    node: u32,
    first: Duration,
    last: Duration,
    /// Time of the first notification that the drain is over, or `Duration::MAX`.
    end: Duration,
}

/// Returns the requests of drains in all traces, by time.
pub fn requests(traces: &[Vec<Record>]) -> Vec<Request> {
    let mut requests = Vec::new();
    for record in traces.iter().flatten() {
        let at = Duration::from_nanos(record.at_ns);
        let body = record.frame.as_ref().and_then(|frame| frame.body.as_ref());
        match (record.kind(), body, &record.mark) {
            (Kind::In, Some(Body::Propose(proposal)), _) => {
                let changes = proposal.changes.iter().filter_map(drain_change);
                let drains = changes.filter(|change| change.drains);
                requests.extend(drains.map(|change| Request {
                    at,
                    node: change.node,
                }));
            }
            (Kind::Mark, _, Some(mark)) if mark.what() == What::Asked => {
                let node = mark.node;
                requests.push(Request { at, node });
            }
            _ => {}
        }
    }
    requests.sort_unstable();
    requests
}

/// Returns all drains that hosts were notified of, by the time of the first notification. A drain
/// lasts from its first notification to a host until the first notification that it is over.
pub fn drains(run: &Run, requests: &[Request]) -> Vec<MeasuredDrain> {
    let mut drains = notified_drains(run);
    drains.sort_by_key(|drain| drain.first);
    let measured = drains.iter().map(|drain| measure(run, requests, drain));
    measured.collect()
}

fn notified_drains(run: &Run) -> Vec<Notified> {
    let mut notifications: Vec<(u32, Duration, bool)> = Vec::new();
    for (node, requests) in run.hosts.iter().flat_map(|host| &host.drain_requests) {
        let requests = requests.iter();
        notifications.extend(requests.map(|request| (*node, request.at, request.drains)));
    }
    notifications.sort_unstable();
    let mut drains: Vec<Notified> = Vec::new();
    for (node, at, is_drain) in notifications {
        let last = drains.last_mut();
        let open = last.filter(|drain| drain.node == node && drain.end == Duration::MAX);
        match (open, is_drain) {
            (Some(drain), true) => drain.last = at,
            (Some(drain), false) => drain.end = at,
            (None, true) => drains.push(Notified {
                node,
                first: at,
                last: at,
                end: Duration::MAX,
            }),
            (None, false) => {}
        }
    }
    drains
}

fn measure(run: &Run, requests: &[Request], drain: &Notified) -> MeasuredDrain {
    let requested = request_time(requests, drain);
    let from = requested.unwrap_or(drain.first);
    let attempts = run.hosts.iter().flat_map(|host| &host.attempts);
    let attempts = attempts.filter(|attempt| attempt.attempt.node == drain.node);
    let times = attempts.map(|attempt| attempt.frame.at);
    let times: Vec<Duration> = times.filter(|at| (from..drain.end).contains(at)).collect();
    MeasuredDrain {
        node: drain.node,
        requested,
        first_notified: drain.first - from,
        last_notified: drain.last - from,
        last_attempt: times.iter().max().map(|at| *at - from),
        attempts: times.len(),
    }
}

/// Returns when a drain was requested. The operator's command precedes the change at the state
/// service: of the requests shortly before the last one, the first counts.
fn request_time(requests: &[Request], drain: &Notified) -> Option<Duration> {
    let of_node = requests.iter().filter(|request| request.node == drain.node);
    let before = of_node.map(|request| request.at);
    let before = before.filter(|at| *at <= drain.first);
    let earliest = before.clone().max()?.saturating_sub(MAX_REQUEST_DELAY);
    before.filter(|at| *at >= earliest).min()
}
