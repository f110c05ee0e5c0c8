//! Rule 6: the retries of one host in any window stay within the retry budget. `TraceSet::check`
//! calls it.

use super::add_violation;
use crate::run::{Attempt, Run};
use crate::Verdict;
use grebecleat_settings::Settings;
use std::time::Duration;

/// Checks, at each retry, the retries and requests of the window that ends there.
pub fn check(settings: &Settings, run: &Run, verdict: &mut Verdict) {
    let Some(rule) = &settings.rules.attempts else {
        return;
    };
    for host in &run.hosts {
        let request_times: Vec<Duration> = host.requests.iter().map(|r| r.frame.at).collect();
        let retries = host.requests.iter().flat_map(|r| r.attempts.iter().skip(1));
        let mut retries: Vec<&Attempt> = retries.map(|index| &host.attempts[*index]).collect();
        retries.sort_by_key(|retry| retry.frame.at);
        let retry_times: Vec<Duration> = retries.iter().map(|retry| retry.frame.at).collect();
        for retry in &retries {
            let made = count_in_window(&retry_times, retry.frame.at, rule.window);
            let received = count_in_window(&request_times, retry.frame.at, rule.window);
            let permitted = rule.min_retries + rule.ratio * received as f64;
            if made as f64 > permitted {
                let name = &host.name;
                let what =
                    format!("{name}: {made} further legs in a window of {received} transfers");
                add_violation(verdict, 6, what, &[&retry.frame]);
            }
        }
    }
}

/// Returns how many of the sorted times lie in the window that ends at `end`.
fn count_in_window(times: &[Duration], end: Duration, window: Duration) -> usize {
    let until_end = times.partition_point(|time| *time <= end);
    let before_window = times.partition_point(|time| *time + window <= end);
    until_end - before_window
}
