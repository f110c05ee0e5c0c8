use super::*;
use grebecleat_scheduler::api::{DeduplicationScope, Idempotency};
use serde_json::json;
use std::time::Duration;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Returns a complete, valid configuration.
pub(crate) fn complete() -> Value {
    json!({
        "name": "n3", "listen": "127.0.0.4:3000", "discovery": "127.0.0.1:8500",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "known": {"rev": 1, "all": true, "targets": []},
        "settings": {
            "balancers": 4, "registry-mode": "on_request", "zones": ["a"],
            "caps": {"max-attempts": 3, "retry-after": true, "max-retry-after-ms": 500,
                     "conn-idle-ms": 30000.0},
            "family-info": {"largest": 6, "mean-units": 2.1, "writes": [false, true]},
            "profiles": [
                {"name": "read", "objective-ms": 200, "deadline-ms": 1200, "idempotency": "free",
                 "worth": 3},
                {"name": "row", "objective-ms": 200, "deadline-ms": 1000, "idempotency": "guarded",
                 "key-scope": "cell", "dedup-window-ms": 1500, "worth": 3}],
            "plans": [{"name": "basic", "base-rate": 5, "guaranteed": 0, "proportion": 1,
                       "price": 1}],
            "rules": {"answer-slack-ms": 60.0, "ask-every-ms": 9000, "extra-floor": 3,
                      "further-ratio": 0.25,
                      "extra-window-ms": 5000, "cold-from": 0.2, "cold-ms": 9000}
        }
    })
}

fn read(document: &Value) -> Result<Config, String> {
    let text = document.to_string();
    Config::read("c.json".as_ref(), text.as_bytes()).map_err(|error| error.to_string())
}

#[test]
fn the_settings_equal_those_that_the_simulator_passes_to_its_adapter() {
    let config = read(&complete()).unwrap();
    let settings = &config.settings;
    assert_eq!(
        (
            config.name.as_str(),
            config.seed,
            settings.traffic_classes.len(),
            settings.plans.len()
        ),
        ("n3", 0x8c1f30d27a5be964, 2, 1)
    );
    assert_eq!(settings.host_limits.max_retry_after, Some(ms(500)));
    assert_eq!(
        (
            settings.rules.cold.hosts,
            settings.rules.attempts.as_ref().unwrap().ratio
        ),
        (4, 0.25)
    );
    assert_eq!(
        (
            settings.bounds.idle,
            settings.bounds.attempts_per_connection
        ),
        (ms(29_000), 1)
    );
    assert_eq!(
        (
            config.traffic_classes[1].requires_key,
            config.traffic_classes[1].write,
            config.traffic_classes[0].write
        ),
        (true, Some(true), Some(false))
    );
}

#[test]
fn names_and_unknown_fields_may_hold_any_characters() {
    let mut document = complete();
    document["settings"]["profiles"][0]["name"] = json!("map read, a=b");
    document["settings"]["plans"][0]["name"] = json!("gr\u{f6}\u{df}e L");
    document["settings"]["a field, with = signs"] =
        json!({"and more": [1, {"b c": "d e"}], "none": null});
    document["settings"]["profiles"][1]["idempotency"] = json!("some new word");
    document["settings"]["profiles"][1]
        .as_object_mut()
        .unwrap()
        .remove("key-scope");
    let config = read(&document).unwrap();
    assert_eq!(
        (
            config.traffic_classes[0].name.as_str(),
            config.settings.plans[0].name.as_str()
        ),
        ("map read, a=b", "gr\u{f6}\u{df}e L")
    );
    assert_eq!(
        config.settings.traffic_classes[1].facts.idempotency,
        Idempotency::NonIdempotent,
        "an unknown idempotency counts as not idempotent"
    );
}

#[test]
fn the_deduplication_window_is_shortened_by_the_time_an_attempt_takes_to_arrive() {
    for (dial, left) in [
        (json!(100), 1200),
        (json!(null), 1200),
        (json!(700), 750),
        (json!(2000), 0),
    ] {
        let mut document = complete();
        document["settings"]["caps"]["dial-timeout-ms"] = dial;
        let idempotency = read(&document).unwrap().settings.traffic_classes[1]
            .facts
            .idempotency;
        assert_eq!(
            idempotency,
            Idempotency::WithKey {
                scope: DeduplicationScope::Shard,
                window: ms(left)
            }
        );
    }
}

#[test]
fn the_poll_interval_never_exceeds_the_discovery_term() {
    for (setting, poll_interval) in [
        (json!(9000), ms(6000)),
        (json!(2500), ms(2500)),
        (json!(0), ms(6000)),
        (json!(null), ms(6000)),
    ] {
        let mut document = complete();
        document["settings"]["rules"]["ask-every-ms"] = setting;
        assert_eq!(
            read(&document).unwrap().settings.list.rule.poll_interval,
            poll_interval
        );
    }
}

#[test]
fn an_error_names_the_file_and_the_path() {
    let cases: [(&str, Value, &str); 9] = [
        ("/name", json!(7), "c.json: name: expected a text, found 7"),
        (
            "/listen",
            json!("here"),
            "c.json: listen: expected an address and port, found here",
        ),
        (
            "/seed",
            json!("xyz"),
            "c.json: seed: expected hex digits, found xyz",
        ),
        (
            "/limits/sockets",
            json!(3),
            "c.json: limits.sockets: expected a number from 48 to 1048576, found 3",
        ),
        (
            "/settings",
            json!(1),
            "c.json: settings: missing; expected an object",
        ),
        (
            "/settings/plans",
            json!([]),
            "c.json: settings: plans: none; expected at least one",
        ),
        (
            "/settings/profiles/0/name",
            json!(""),
            "c.json: settings: profiles.0.name: missing",
        ),
        (
            "/settings/profiles/1/deadline-ms",
            json!(0),
            "c.json: settings: profiles.1.deadline-ms: expected a span above zero",
        ),
        (
            "/settings/caps/max-attempts",
            json!("many"),
            "c.json: settings: setting caps.max-attempts has a bad value: many",
        ),
    ];
    for (path, value, message) in cases {
        let mut document = complete();
        *document.pointer_mut(path).unwrap() = value;
        assert_eq!(read(&document).unwrap_err(), message);
    }
    assert!(Config::read("c.json".as_ref(), b"{")
        .unwrap_err()
        .to_string()
        .starts_with("c.json: is no JSON"));
}
