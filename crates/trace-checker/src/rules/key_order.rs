//! Rule 5: requests of ordered traffic classes with one key run one at a time, in the order in
//! which the host received them. `TraceSet::check` calls it.

use super::{add_violation, id_text};
use crate::run::{Attempt, HostTrace, ReceivedRequest, Run};
use crate::Verdict;
use grebecleat_settings::Settings;
use grebecleat_wire::pb;
use std::collections::BTreeMap;
use std::time::Duration;

/// Bounds by how much later the trace may record the event that was decided first, because two
/// threads record two sockets of a host. A larger bound accepts attempts that were sent too early; a
/// smaller one reports events of one step that were recorded in the other order.
const RECORDING_SKEW: Duration = Duration::from_millis(50);

/// Checks the requests of each key at each host.
pub fn check(settings: &Settings, run: &Run, verdict: &mut Verdict) {
    for host in &run.hosts {
        for requests in requests_by_key(settings, host).values() {
            check_key(settings, host, requests, verdict);
        }
    }
}

fn requests_by_key<'a>(
    settings: &Settings,
    host: &'a HostTrace,
) -> BTreeMap<u64, Vec<&'a ReceivedRequest>> {
    let mut keys: BTreeMap<u64, Vec<&ReceivedRequest>> = BTreeMap::new();
    for request in &host.requests {
        let class = request.submit.traffic_class as usize;
        let class = settings.traffic_classes.get(class);
        if !class.is_some_and(|class| class.facts.ordered) {
            continue;
        }
        if let Some(key) = request.submit.key {
            keys.entry(key).or_default().push(request);
        }
    }
    keys
}

/// Checks each attempt against all earlier requests of its key.
fn check_key(
    settings: &Settings,
    host: &HostTrace,
    requests: &[&ReceivedRequest],
    verdict: &mut Verdict,
) {
    for (index, later) in requests.iter().enumerate() {
        for attempt in later.attempts.iter().map(|index| &host.attempts[*index]) {
            for earlier in &requests[..index] {
                let cool_down = settings.rules.key_cool_down;
                let Some(obstacle) = obstacle(host, earlier, attempt.frame.at, cool_down) else {
                    continue;
                };
                let later_id = id_text(&later.submit.id);
                let earlier_id = id_text(&earlier.submit.id);
                let what = format!("{later_id}: sent while {earlier_id} {obstacle}");
                add_violation(verdict, 5, what, &[&earlier.frame, &attempt.frame]);
            }
        }
    }
}

/// Returns why, at a time, a request still blocks the next request with its key.
fn obstacle(
    host: &HostTrace,
    request: &ReceivedRequest,
    at: Duration,
    cool_down: Duration,
) -> Option<&'static str> {
    let attempts = || request.attempts.iter().map(|index| &host.attempts[*index]);
    let response = request.responses.first().map(|response| response.0.at);
    let ends = response.into_iter().chain(request.cancelled);
    let end = ends.chain(attempts().filter_map(succeeded_at)).min();
    // The host decides the end of a request and the next request's attempt in one step. The trace
    // may record the two in either order.
    let in_one_step = end.is_some_and(|end| end <= at + RECORDING_SKEW)
        && attempts().all(|attempt| attempt.frame.at <= at);
    if !in_one_step && end.is_none_or(|end| end > at) {
        return Some("was still open");
    }
    for attempt in attempts().filter(|attempt| attempt.frame.at <= at) {
        let answered = attempt.response.as_ref();
        if answered.is_some_and(|answer| answer.0.at <= at) {
            continue;
        }
        let given_up = given_up_at(host, attempt);
        if at < given_up {
            return Some("had an attempt without an outcome");
        }
        if at < given_up + cool_down {
            return Some("was in its cool-down");
        }
    }
    None
}

/// Returns when the response to a successful attempt arrived.
fn succeeded_at(attempt: &Attempt) -> Option<Duration> {
    let (frame, response) = attempt.response.as_ref()?;
    (response.result() == pb::Result::Ok).then_some(frame.at)
}

/// Returns when an attempt without a response ended: its deadline, its cancellation or the close
/// of its connection, whichever came first.
fn given_up_at(host: &HostTrace, attempt: &Attempt) -> Duration {
    let closed = host.closed_at.get(&attempt.conn).copied();
    let ends = [Some(attempt.deadline()), attempt.cancelled, closed];
    ends.into_iter().flatten().min().unwrap_or(Duration::MAX)
}
