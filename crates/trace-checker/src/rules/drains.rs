//! Rule 3: a draining or removed node receives no new attempt later than the grace after the host
//! was notified. `TraceSet::check` calls it.

use super::add_violation;
use crate::run::Run;
use crate::Verdict;
use grebecleat_settings::Settings;

/// Checks each attempt, and measures the longest time from a notification to an attempt.
pub fn check(settings: &Settings, run: &Run, verdict: &mut Verdict) {
    for host in &run.hosts {
        for attempt in &host.attempts {
            let node = attempt.attempt.node;
            let Some(notified) = host.unavailable_since(node, attempt.frame.at) else {
                continue;
            };
            let since = attempt.frame.at - notified;
            verdict.drain_lag_ms = verdict.drain_lag_ms.max(since.as_secs_f64() * 1000.0);
            if since > settings.rules.drain_grace {
                let what = format!("{}: attempt to node {node} {since:?} after notification that it is unavailable", host.name);
                add_violation(verdict, 3, what, &[&attempt.frame]);
            }
        }
    }
}
