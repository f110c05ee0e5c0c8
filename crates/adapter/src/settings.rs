//! The start-up settings of the wire, as the library's groups of figures.

use grebecleat_scheduler::api::*;
use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;

pub struct Pairs<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Pairs<'a> {
    /// Settings that nobody here knows are kept and never looked up.
    pub fn read(text: &'a str) -> Result<Self, String> {
        let mut pairs = BTreeMap::new();
        for pair in text.split(' ').filter(|p| !p.is_empty()) {
            let (path, value) = pair
                .split_once('=')
                .ok_or(format!("setting without '=': {pair}"))?;
            pairs.insert(path, value);
        }
        Ok(Pairs(pairs))
    }

    /// Paths and values as they are, with whatever signs are in them.
    pub fn of(pairs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        Pairs(pairs.into_iter().collect())
    }

    pub fn get<T: FromStr>(&self, path: &str) -> Result<Option<T>, String> {
        match self.0.get(path).copied() {
            None | Some("" | "-") => Ok(None),
            Some(v) => v
                .parse()
                .map(Some)
                .map_err(|_| format!("setting {path} has a bad value: {v}")),
        }
    }

    pub fn number(&self, path: &str) -> Result<f64, String> {
        Ok(self
            .get::<f64>(path)?
            .filter(|n| n.is_finite())
            .unwrap_or(0.0))
    }

    pub fn time(&self, path: &str) -> Result<Duration, String> {
        Ok(time(self.number(path)?))
    }

    pub fn yes(&self, path: &str) -> Result<bool, String> {
        Ok(self.get::<bool>(path)?.unwrap_or(false))
    }

    pub fn count(&self, path: &str) -> Result<usize, String> {
        Ok(self.get::<usize>(path)?.unwrap_or(0))
    }

    pub fn word(&self, path: &str) -> &str {
        self.0.get(path).copied().unwrap_or("")
    }
}

/// Milliseconds to a span; what is not a number or below zero counts as zero.
pub fn time(ms: f64) -> Duration {
    const MAX_US: f64 = 1e18;
    Duration::from_micros((ms * 1000.0).round().clamp(0.0, MAX_US) as u64)
}

pub fn traffic_classes(p: &Pairs) -> Result<Vec<TrafficClass>, String> {
    (0..p.count("profiles.count")?)
        .map(|i| {
            let at = |name: &str| format!("profiles.{i}.{name}");
            let scope = match p.word(&at("key-scope")) {
                "all" => DeduplicationScope::All,
                "zone" => DeduplicationScope::Zone,
                _ => DeduplicationScope::Shard,
            };
            let idempotency = match p.word(&at("idempotency")) {
                "free" => Idempotency::Idempotent,
                "guarded" => Idempotency::WithKey {
                    scope,
                    window: p.time(&at("dedup-window-ms"))?,
                },
                _ => Idempotency::NonIdempotent,
            };
            Ok(TrafficClass {
                latency_objective: p.time(&at("objective-ms"))?,
                idempotency,
                ordered: p.yes(&at("serial-by-key"))?,
                priority_weight: p.number(&at("worth"))?,
                late_fraction: p.number(&at("late-value"))?,
            })
        })
        .collect()
}

pub fn plans(p: &Pairs) -> Result<Vec<Plan>, String> {
    (0..p.count("plans.count")?)
        .map(|i| {
            let at = |name: &str| p.number(&format!("plans.{i}.{name}"));
            Ok(Plan {
                base_rate: at("base-rate")?,
                reservation: at("guaranteed")?,
                limit: at("never-over")?,
                limit_burst: at("most-at-once")?,
                limit_slack: at("cap-slack")?,
                weight: at("proportion")?,
                price: at("price")?,
            })
        })
        .collect()
}

pub fn units(p: &Pairs) -> Result<UnitSettings, String> {
    Ok(UnitSettings {
        mean: p.number("family-info.mean-units")?,
        largest: p.number("family-info.largest")?,
        meter: p.time("family-info.meter-ms")?,
        share_fraction: p.number("family-info.within-share")?,
        spare_fraction: p.number("family-info.spare-worth")?,
    })
}

pub fn host_limits(p: &Pairs) -> Result<HostLimits, String> {
    let most = p.get::<f64>("caps.max-attempts")?.filter(|n| n.is_finite());
    let max_retry_after = p.time("caps.max-retry-after-ms")?;
    Ok(HostLimits {
        max_attempts: most.map_or(1, |n| n.max(0.0) as u32),
        probing: p.yes("caps.probing")?,
        max_retry_after: p.yes("caps.retry-after")?.then_some(max_retry_after),
        answer_slack: p.time("rules.answer-slack-ms")?,
    })
}

pub fn cold(p: &Pairs) -> Result<SlowStartPolicy, String> {
    Ok(SlowStartPolicy {
        hosts: p.count("balancers")?,
        units: p.number("family-info.cold-units")?,
        initial_fraction: p.number("rules.cold-from")?,
        warm_up_time: p.time("rules.cold-ms")?,
        overload_window: p.time("rules.fall-ms")?,
        multiple: p.number("rules.tip-multiple")?,
    })
}

pub fn list(p: &Pairs) -> Result<DiscoveryPolicy, String> {
    Ok(DiscoveryPolicy {
        polled: p.word("registry-mode") == "on_request",
        poll_interval: p.time("rules.ask-every-ms")?,
        lease: None,
    })
}

/// The rule asks nothing where its settings are absent.
pub fn retry_budget(p: &Pairs) -> Result<Option<RetryBudget>, String> {
    let Some(share) = p.get::<f64>("rules.further-ratio")? else {
        return Ok(None);
    };
    Ok(Some(RetryBudget {
        min_retries: p.number("rules.extra-floor")?,
        ratio: share,
        window: p.time("rules.extra-window-ms")?,
    }))
}

pub fn key_rest(p: &Pairs) -> Result<Duration, String> {
    p.time("rules.settle-after-doubt-ms")
}

/// At which place of a load report the named figure stands.
pub fn report_place(p: &Pairs, name: &str) -> Option<usize> {
    p.word("report.fields").split(',').position(|f| f == name)
}
