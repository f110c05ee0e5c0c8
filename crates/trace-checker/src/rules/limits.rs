//! Rule 7: the first attempts of all hosts for a volume stay within the volume's limit, which is
//! one token bucket. `TraceSet::check` calls it.

use super::MAX_LISTED;
use crate::plans::{Limit, Plans};
use crate::run::HostTrace;
use crate::{Verdict, Violation};
use grebecleat_settings::Settings;
use std::collections::BTreeMap;
use std::time::Duration;

/// First attempt of a request.
struct FirstAttempt {
    at: Duration,
    units: f64,
    /// The frame as text.
    text: String,
}

/// The token bucket of a volume, under the limit in force.
#[derive(Default)]
struct TokenBucket {
    limit: Option<Limit>,
    level: f64,
    /// When the level was computed.
    at: Duration,
}

impl TokenBucket {
    /// Puts a limit in force at `from`. The bucket of a first limit is full. The bucket of a later
    /// limit keeps its level, up to the new burst.
    fn change_limit(&mut self, from: Duration, new: Option<Limit>) {
        self.level = match (self.limit, new) {
            (None, Some(new)) => new.burst,
            (Some(old), Some(new)) => self.filled(from, &old).min(new.burst),
            _ => 0.0,
        };
        self.limit = new;
        self.at = from;
    }

    /// Takes the units of an attempt, and returns the level if it lies below the slack.
    fn take_units(&mut self, at: Duration, units: f64) -> Option<f64> {
        let limit = self.limit?;
        self.level = self.filled(at, &limit) - units;
        self.at = at;
        (self.level < -limit.slack).then_some(self.level)
    }

    /// Returns the level at a time, up to the burst.
    fn filled(&self, at: Duration, limit: &Limit) -> f64 {
        let filled = at.saturating_sub(self.at).as_secs_f64() * limit.rate;
        (self.level + filled).min(limit.burst)
    }
}

/// Checks the first attempts of each volume against the limit that was in force.
pub fn check(settings: &Settings, hosts: &[HostTrace], plans: &Plans, verdict: &mut Verdict) {
    for (volume, mut attempts) in first_attempts(hosts) {
        attempts.sort_by_key(|attempt| attempt.at);
        let in_force = plans.limits_in_force(volume, configured_limit(settings, volume));
        let mut changes = in_force.iter().peekable();
        let mut bucket = TokenBucket::default();
        for attempt in attempts {
            while let Some((from, new)) = changes.next_if(|change| change.0 <= attempt.at) {
                bucket.change_limit(*from, *new);
            }
            let Some(level) = bucket.take_units(attempt.at, attempt.units) else {
                continue;
            };
            let what = format!("volume {volume}: {:.1} units below its store", -level);
            let listed = verdict.violations.iter().filter(|v| v.rule == 7).count();
            if listed < MAX_LISTED {
                verdict.violations.push(Violation {
                    rule: 7,
                    what,
                    frames: vec![attempt.text],
                });
            }
        }
    }
}

/// Returns the limit of a volume in the settings.
fn configured_limit(settings: &Settings, volume: u64) -> Option<Limit> {
    let volume = settings.volumes.iter().find(|spec| spec.id == volume)?;
    let plan = &settings.plans[volume.plan].facts;
    (plan.limit > 0.0).then_some(Limit {
        rate: plan.limit,
        burst: plan.limit_burst,
        slack: plan.limit_slack,
    })
}

/// Returns the first attempts of all hosts' requests, by volume.
fn first_attempts(hosts: &[HostTrace]) -> BTreeMap<u64, Vec<FirstAttempt>> {
    let mut by_volume: BTreeMap<u64, Vec<FirstAttempt>> = BTreeMap::new();
    for host in hosts {
        let firsts = host.requests.iter().filter_map(|r| r.attempts.first());
        for attempt in firsts.map(|index| &host.attempts[*index]) {
            let attempts = by_volume.entry(attempt.attempt.volume).or_default();
            attempts.push(FirstAttempt {
                at: attempt.frame.at,
                units: attempt.attempt.units,
                text: attempt.frame.text.clone(),
            });
        }
    }
    by_volume
}
