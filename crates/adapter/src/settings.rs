//! Start-up settings: `path=value` pairs, parsed into the scheduler's types.
//!
//! The simulator defines the paths, whose parts are joined by dots. An absent value counts as zero, false or
//! empty. Unknown paths are ignored.

use grebecleat_scheduler::api::{
    DeduplicationScope, DiscoveryPolicy, HostLimits, Idempotency, Plan, RetryBudget,
    SlowStartPolicy, TrafficClass, UnitSettings,
};
use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;

/// Denotes an absent value.
const ABSENT: &str = "-";
/// Longest duration that a setting can have, in microseconds: about 30,000 years. A longer one would overflow
/// when durations are added.
const MAX_MICROS: f64 = 1e18;

/// A setting that cannot be parsed.
#[derive(Debug, thiserror::Error)]
pub enum SettingError {
    /// A setting without an equals sign.
    #[error("setting without '=': {0}")]
    MissingEqualsSign(String),
    /// A value that cannot be parsed as the type of its setting.
    #[error("setting {path} has a bad value: {value}")]
    BadValue {
        /// The setting's path.
        path: String,
        /// The value found.
        value: String,
    },
}

/// The values of the settings by path.
pub struct SettingValues<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> SettingValues<'a> {
    /// Splits a text into `path=value` pairs, which are separated by spaces.
    ///
    /// # Errors
    ///
    /// Returns an error if a part has no equals sign.
    pub fn read(text: &'a str) -> Result<Self, SettingError> {
        let mut pairs = BTreeMap::new();
        for pair in text.split(' ').filter(|pair| !pair.is_empty()) {
            let Some((path, value)) = pair.split_once('=') else {
                return Err(SettingError::MissingEqualsSign(pair.to_string()));
            };
            pairs.insert(path, value);
        }
        Ok(SettingValues(pairs))
    }

    /// Returns settings from pairs that are already split; their values may contain any character.
    pub fn of(pairs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        SettingValues(pairs.into_iter().collect())
    }

    /// Parses a value; returns `None` if it is absent.
    ///
    /// # Errors
    ///
    /// Returns an error if the value cannot be parsed as a `T`.
    pub fn get<T: FromStr>(&self, path: &str) -> Result<Option<T>, SettingError> {
        let value = match self.0.get(path).copied() {
            None | Some("" | ABSENT) => return Ok(None),
            Some(value) => value,
        };
        let parsed = value.parse().map(Some);
        parsed.map_err(|_| SettingError::BadValue {
            path: path.to_string(),
            value: value.to_string(),
        })
    }

    /// Parses a number; an absent, infinite or undefined one (NaN) is zero.
    ///
    /// # Errors
    ///
    /// See [`SettingValues::get`].
    pub fn number(&self, path: &str) -> Result<f64, SettingError> {
        let number = self.get::<f64>(path)?;
        Ok(number.filter(|number| number.is_finite()).unwrap_or(0.0))
    }

    /// Parses a duration in milliseconds.
    ///
    /// # Errors
    ///
    /// See [`SettingValues::get`].
    pub fn duration(&self, path: &str) -> Result<Duration, SettingError> {
        Ok(duration_from_millis(self.number(path)?))
    }

    /// Parses `true` or `false`; an absent value is false.
    ///
    /// # Errors
    ///
    /// See [`SettingValues::get`].
    pub fn flag(&self, path: &str) -> Result<bool, SettingError> {
        Ok(self.get(path)?.unwrap_or(false))
    }

    /// Parses a count; an absent value is zero.
    ///
    /// # Errors
    ///
    /// See [`SettingValues::get`].
    pub fn count(&self, path: &str) -> Result<usize, SettingError> {
        Ok(self.get(path)?.unwrap_or(0))
    }

    /// Returns a value as text; an absent value is empty.
    pub fn text(&self, path: &str) -> &str {
        self.0.get(path).copied().unwrap_or_default()
    }
}

/// Converts milliseconds to a duration. A value that is negative or not a number becomes zero.
pub fn duration_from_millis(millis: f64) -> Duration {
    let micros = (millis * 1000.0).round().clamp(0.0, MAX_MICROS);
    Duration::from_micros(micros as u64)
}

/// Parses the traffic classes.
///
/// # Errors
///
/// Returns an error if a value cannot be parsed.
pub fn traffic_classes(pairs: &SettingValues) -> Result<Vec<TrafficClass>, SettingError> {
    let count = pairs.count("profiles.count")?;
    (0..count)
        .map(|index| traffic_class(pairs, index))
        .collect()
}

fn traffic_class(pairs: &SettingValues, index: usize) -> Result<TrafficClass, SettingError> {
    let path = |name: &str| format!("profiles.{index}.{name}");
    let scope = match pairs.text(&path("key-scope")) {
        "all" => DeduplicationScope::All,
        "zone" => DeduplicationScope::Zone,
        _ => DeduplicationScope::Shard,
    };
    let idempotency = match pairs.text(&path("idempotency")) {
        "free" => Idempotency::Idempotent,
        "guarded" => Idempotency::WithKey {
            scope,
            window: pairs.duration(&path("dedup-window-ms"))?,
        },
        _ => Idempotency::NonIdempotent,
    };
    Ok(TrafficClass {
        latency_objective: pairs.duration(&path("objective-ms"))?,
        idempotency,
        ordered: pairs.flag(&path("serial-by-key"))?,
        priority_weight: pairs.number(&path("worth"))?,
        late_fraction: pairs.number(&path("late-value"))?,
    })
}

/// Parses the plans.
///
/// # Errors
///
/// Returns an error if a value cannot be parsed.
pub fn plans(pairs: &SettingValues) -> Result<Vec<Plan>, SettingError> {
    let count = pairs.count("plans.count")?;
    (0..count).map(|index| plan(pairs, index)).collect()
}

fn plan(pairs: &SettingValues, index: usize) -> Result<Plan, SettingError> {
    let number = |name: &str| pairs.number(&format!("plans.{index}.{name}"));
    Ok(Plan {
        base_rate: number("base-rate")?,
        reservation: number("guaranteed")?,
        limit: number("never-over")?,
        limit_burst: number("most-at-once")?,
        limit_slack: number("cap-slack")?,
        weight: number("proportion")?,
        price: number("price")?,
    })
}

/// Parses the sizes of requests and the value of their units.
///
/// # Errors
///
/// Returns an error if a value cannot be parsed.
pub fn units(pairs: &SettingValues) -> Result<UnitSettings, SettingError> {
    Ok(UnitSettings {
        mean: pairs.number("family-info.mean-units")?,
        largest: pairs.number("family-info.largest")?,
        meter: pairs.duration("family-info.meter-ms")?,
        share_fraction: pairs.number("family-info.within-share")?,
        spare_fraction: pairs.number("family-info.spare-worth")?,
    })
}

/// Parses the limits on attempts, health checks and responses of one host.
///
/// # Errors
///
/// Returns an error if a value cannot be parsed.
pub fn host_limits(pairs: &SettingValues) -> Result<HostLimits, SettingError> {
    let max_attempts = pairs.get::<f64>("caps.max-attempts")?;
    let max_attempts = max_attempts.filter(|attempts| attempts.is_finite());
    let max_retry_after = pairs.duration("caps.max-retry-after-ms")?;
    Ok(HostLimits {
        max_attempts: max_attempts.map_or(1, |attempts| attempts.max(0.0) as u32),
        probing: pairs.flag("caps.probing")?,
        max_retry_after: pairs.flag("caps.retry-after")?.then_some(max_retry_after),
        answer_slack: pairs.duration("rules.answer-slack-ms")?,
    })
}

/// Parses the slow-start policy for nodes that are warming up.
///
/// # Errors
///
/// Returns an error if a value cannot be parsed.
pub fn slow_start_policy(pairs: &SettingValues) -> Result<SlowStartPolicy, SettingError> {
    Ok(SlowStartPolicy {
        hosts: pairs.count("balancers")?,
        units: pairs.number("family-info.cold-units")?,
        initial_fraction: pairs.number("rules.cold-from")?,
        warm_up_time: pairs.duration("rules.cold-ms")?,
        overload_window: pairs.duration("rules.fall-ms")?,
        multiple: pairs.number("rules.tip-multiple")?,
    })
}

/// Parses how the host gets the endpoint list.
///
/// # Errors
///
/// Returns an error if a value cannot be parsed.
pub fn discovery_policy(pairs: &SettingValues) -> Result<DiscoveryPolicy, SettingError> {
    Ok(DiscoveryPolicy {
        polled: pairs.text("registry-mode") == "on_request",
        poll_interval: pairs.duration("rules.ask-every-ms")?,
        lease: None,
    })
}

/// Parses the retry budget. Returns `None` if the settings have none; retries are then not limited.
///
/// # Errors
///
/// Returns an error if a value cannot be parsed.
pub fn retry_budget(pairs: &SettingValues) -> Result<Option<RetryBudget>, SettingError> {
    let Some(ratio) = pairs.get::<f64>("rules.further-ratio")? else {
        return Ok(None);
    };
    Ok(Some(RetryBudget {
        min_retries: pairs.number("rules.extra-floor")?,
        ratio,
        window: pairs.duration("rules.extra-window-ms")?,
    }))
}

/// Parses how long no request is sent for a key after an attempt that may still be running.
///
/// # Errors
///
/// Returns an error if a value cannot be parsed.
pub fn key_cooldown(pairs: &SettingValues) -> Result<Duration, SettingError> {
    pairs.duration("rules.settle-after-doubt-ms")
}

/// Returns the index of a named number in a node's load report, or `None` if nodes do not report it.
pub fn report_index(pairs: &SettingValues, name: &str) -> Option<usize> {
    let mut fields = pairs.text("report.fields").split(',');
    fields.position(|field| field == name)
}
