//! Rule 1: each request receives one response before its deadline, and no attempt follows the
//! response. `TraceSet::check` calls it.

use super::{add_violation, id_text, CATCH_UP};
use crate::run::{ClientRequest, HostTrace, ReceivedRequest, Run};
use crate::Verdict;
use grebecleat_settings::Settings;
use grebecleat_wire::pb::{self, Outcome};
use std::time::Duration;

/// Checks the clients' requests, then each host's.
pub fn check(settings: &Settings, run: &Run, verdict: &mut Verdict) {
    let mut requests: Vec<_> = run.client_requests.values().collect();
    requests.sort_by_key(|request| request.frame.at);
    for request in requests {
        check_client_request(settings, run, request, verdict);
    }
    for host in &run.hosts {
        // A request of another protocol has no client's trace. The host's own trace records when
        // the request arrived and when the response left.
        for request in &host.requests {
            if host.internal_conns.contains(&request.conn) {
                check_internal_request(settings, run, host, request, verdict);
            }
        }
        for request in &host.requests {
            check_after_response(host, request, verdict);
        }
    }
}

fn count(verdict: &mut Verdict, response: &pb::Response) {
    match response.outcome() {
        Outcome::Completed => verdict.completed += 1,
        Outcome::Rejected => verdict.rejected += 1,
        _ => verdict.failed += 1,
    }
}

/// Returns the time by which a host owes its response.
fn latest_response(
    settings: &Settings,
    run: &Run,
    host: &str,
    sent: Duration,
    request: &pb::SubmitRequest,
) -> Duration {
    let left = Duration::from_micros(request.left_us);
    let deadline = sent + left + settings.host_limits.answer_slack;
    run.extended(host, sent, deadline, CATCH_UP)
}

fn check_client_request(
    settings: &Settings,
    run: &Run,
    request: &ClientRequest,
    verdict: &mut Verdict,
) {
    let name = id_text(&request.submit.id);
    let host = run.client_peer.get(&request.conn).cloned();
    let host = host.unwrap_or_default();
    let latest = latest_response(settings, run, &host, request.frame.at, &request.submit);
    let closed = run.client_closed.get(&request.conn).copied();
    match &request.responses[..] {
        [] if request.cancelled => {}
        [] if closed.is_some_and(|at| at <= latest) || run.client_end < latest => {
            verdict.lost_with_host += 1
        }
        [] => {
            let what = format!("{name}: no response from {host}");
            add_violation(verdict, 1, what, &[&request.frame]);
        }
        [(frame, response)] => {
            count(verdict, response);
            // The time at which the response left the host counts: the client may read
            // slowly.
            let departures = run.hosts.iter();
            let departures = departures.filter_map(|h| response_at(h, &request.submit.id));
            let left = departures.min().unwrap_or(frame.at);
            if left > latest {
                let what = format!("{name}: answered {:?} after its expiry", left - latest);
                add_violation(verdict, 1, what, &[&request.frame, frame]);
            }
        }
        [first, second, ..] => {
            let what = format!("{name}: answered twice");
            add_violation(verdict, 1, what, &[&request.frame, &first.0, &second.0]);
        }
    }
}

fn check_internal_request(
    settings: &Settings,
    run: &Run,
    host: &HostTrace,
    request: &ReceivedRequest,
    verdict: &mut Verdict,
) {
    let name = id_text(&request.submit.id);
    let latest = latest_response(settings, run, &host.name, request.frame.at, &request.submit);
    match request.responses.first() {
        None if host.end < latest => verdict.lost_with_host += 1,
        None => {
            let what = format!("{name}: no response from {}", host.name);
            add_violation(verdict, 1, what, &[&request.frame]);
        }
        Some((frame, _)) if frame.at > latest => {
            let what = format!("{name}: answered after its expiry");
            add_violation(verdict, 1, what, &[&request.frame, frame]);
        }
        Some((_, response)) => count(verdict, response),
    }
}

/// Checks that a host sent one response, and no attempt after it.
fn check_after_response(host: &HostTrace, request: &ReceivedRequest, verdict: &mut Verdict) {
    let name = id_text(&request.submit.id);
    if let [first, second, ..] = &request.responses[..] {
        let what = format!("{name}: {} answered twice", host.name);
        add_violation(verdict, 1, what, &[&request.frame, &first.0, &second.0]);
    }
    let Some((answered, _)) = request.responses.first() else {
        return;
    };
    let attempts = request.attempts.iter().map(|index| &host.attempts[*index]);
    for attempt in attempts.filter(|attempt| attempt.frame.at > answered.at) {
        let what = format!("{name}: attempt sent after the response");
        add_violation(verdict, 1, what, &[answered, &attempt.frame]);
    }
}

/// Returns when a host sent the first response to a request.
fn response_at(host: &HostTrace, id: &[u8]) -> Option<Duration> {
    let request = &host.requests[*host.request_by_id.get(id)?];
    request.responses.first().map(|response| response.0.at)
}
