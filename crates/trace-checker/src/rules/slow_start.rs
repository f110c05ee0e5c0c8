//! Rule 4: a node that warms up is not overloaded. In each window of the rule, the hosts that were
//! notified of the node's start send it less than the rule's multiple of its capacity, and no node
//! fails from overload. `TraceSet::check` calls it.

use super::add_violation;
use crate::run::{Arrival, HostTrace, Run};
use crate::Verdict;
use grebecleat_settings::Settings;
use grebecleat_wire::pb::{self, marked::What, Marked};
use std::collections::VecDeque;
use std::time::Duration;

/// Bounds the overload that is accepted as imprecision, as a factor of the permitted units. A larger
/// factor accepts small overloads; a smaller one reports random bursts at the start of a window.
const OVERLOAD_TOLERANCE: f64 = 1.1;
/// The least fraction of the units whose senders were notified of the start. Below it, the notified
/// hosts did not cause the overload.
const MIN_NOTIFIED_FRACTION: f64 = 2.0 / 3.0;

/// Attempt in the window that is checked.
struct WindowEntry {
    at: Duration,
    units: f64,
    /// Whether its host was notified of the node's start.
    notified: bool,
}

/// Checks each warm-up period, then each failure from overload.
pub fn check(settings: &Settings, run: &Run, verdict: &mut Verdict) {
    for (start, mark) in marks(run, What::Started) {
        check_warm_up(settings, run, *start, mark, verdict);
    }
    for (at, mark) in marks(run, What::Fell) {
        check_failure(settings, run, *at, mark, verdict);
    }
}

fn marks(run: &Run, what: What) -> impl Iterator<Item = &(Duration, Marked)> {
    run.marks.iter().filter(move |mark| mark.1.what() == what)
}

fn arrived(run: &Run, node: u32) -> &[Arrival] {
    let arrived = run.arrived.get(&node);
    arrived.map(Vec::as_slice).unwrap_or_default()
}

/// Returns whether, by a time, a host was notified of the node's start at `start`.
fn notified(run: &Run, host: &str, node: u32, start: Duration, by: Duration) -> bool {
    let mut hosts = run.hosts.iter().filter(|h| h.name == host);
    hosts.any(|host| notified_of_start(host, node, start, by))
}

fn notified_of_start(host: &HostTrace, node: u32, start: Duration, by: Duration) -> bool {
    let reports = host.node_reports.get(&node).into_iter().flatten();
    let mut ready = reports.filter(|report| report.state == pb::NodeState::Ready);
    ready.any(|report| report.at >= start && report.at <= by)
}

/// Reports the first overload of a warm-up period.
fn check_warm_up(
    settings: &Settings,
    run: &Run,
    start: Duration,
    mark: &Marked,
    verdict: &mut Verdict,
) {
    let rule = &settings.rules.cold;
    let warm_up = Duration::from_micros(mark.warm_us);
    let warm_at = start + warm_up;
    let next_start = marks(run, What::Started)
        .map(|next| next.0)
        .find(|at| *at > start);
    let end = next_start.map_or(warm_at, |next| warm_at.min(next));
    let mut window: VecDeque<WindowEntry> = VecDeque::new();
    let arrivals = arrived(run, mark.node).iter();
    let during = arrivals.filter(|a| a.frame.at >= start && a.frame.at < end);
    for Arrival {
        frame,
        host,
        attempt,
    } in during
    {
        window.push_back(WindowEntry {
            at: frame.at,
            units: attempt.units,
            notified: notified(run, host, mark.node, start, frame.at),
        });
        while window
            .front()
            .is_some_and(|first| first.at + rule.overload_window < frame.at)
        {
            window.pop_front();
        }
        let from_notified = units(&window, true);
        let all = from_notified + units(&window, false);
        let age = (frame.at - start).as_secs_f64() / warm_up.as_secs_f64();
        let capacity_fraction = mark.cold_part + (1.0 - mark.cold_part) * age.min(1.0);
        let capacity = mark.units_a_second * capacity_fraction;
        let permitted = rule.multiple * capacity * rule.overload_window.as_secs_f64();
        let permitted = permitted.max(rule.units);
        if all > permitted * OVERLOAD_TOLERANCE && from_notified >= all * MIN_NOTIFIED_FRACTION {
            let node = mark.node;
            let what = format!(
                "node {node}: {all:.0} units in one window; expected at most {permitted:.0}"
            );
            add_violation(verdict, 4, what, &[frame]);
            return;
        }
    }
}

/// Returns the units in a window from hosts that were, or were not, notified of the start.
fn units(window: &VecDeque<WindowEntry>, notified: bool) -> f64 {
    let arrivals = window.iter().filter(|a| a.notified == notified);
    arrivals.map(|arrival| arrival.units).sum()
}

/// Reports a node's failure from overload, if notified hosts caused it.
fn check_failure(
    settings: &Settings,
    run: &Run,
    at: Duration,
    mark: &Marked,
    verdict: &mut Verdict,
) {
    let rule = &settings.rules.cold;
    let starts = marks(run, What::Started).map(|start| start.0);
    let start = starts.filter(|start| *start <= at).max();
    let start = start.unwrap_or_default();
    let mut from_notified = 0.0;
    let mut all = 0.0;
    for Arrival {
        frame,
        host,
        attempt,
    } in arrived(run, mark.node)
    {
        if frame.at > at || frame.at + rule.overload_window < at {
            continue;
        }
        all += attempt.units;
        if notified(run, host, mark.node, start, frame.at) {
            from_notified += attempt.units;
        }
    }
    if from_notified >= all * MIN_NOTIFIED_FRACTION {
        let what = format!("node {} failed from overload", mark.node);
        add_violation(verdict, 4, what, &[]);
    }
}
