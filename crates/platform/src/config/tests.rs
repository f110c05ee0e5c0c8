use super::*;
use serde_json::json;

pub(crate) fn whole() -> Value {
    json!({
        "name": "n3", "listen": "127.0.0.4:3000", "discovery": "127.0.0.1:8500", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "known": {"rev": 1, "all": true, "targets": []},
        "settings": {
            "balancers": 4, "registry-mode": "on_request", "zones": ["a"],
            "caps": {"max-attempts": 3, "retry-after": true, "max-retry-after-ms": 500, "conn-idle-ms": 30000.0},
            "family-info": {"largest": 6, "mean-units": 2.1, "writes": [false, true]},
            "profiles": [
                {"name": "read", "objective-ms": 200, "deadline-ms": 1200, "idempotency": "free", "worth": 3},
                {"name": "row", "objective-ms": 200, "deadline-ms": 1000, "idempotency": "guarded",
                 "key-scope": "cell", "dedup-window-ms": 1500, "worth": 3}],
            "plans": [{"name": "basic", "base-rate": 5, "guaranteed": 0, "proportion": 1, "price": 1}],
            "rules": {"answer-slack-ms": 60.0, "ask-every-ms": 9000, "extra-floor": 3, "further-ratio": 0.25,
                      "extra-window-ms": 5000, "cold-from": 0.2, "cold-ms": 9000}
        }
    })
}

fn read(v: &Value) -> Result<Config, String> {
    Config::read("c.json".as_ref(), v.to_string().as_bytes())
}

#[test]
fn the_settings_are_those_that_the_bench_would_give() {
    let c = read(&whole()).unwrap();
    let s = &c.settings;
    assert_eq!(
        (
            c.name.as_str(),
            c.seed,
            s.traffic_classes.len(),
            s.plans.len()
        ),
        ("n3", 0x8c1f30d27a5be964, 2, 1)
    );
    assert_eq!(s.host_limits.max_retry_after, Some(ms(500)));
    assert_eq!(
        (s.rules.cold.hosts, s.rules.attempts.as_ref().unwrap().ratio),
        (4, 0.25)
    );
    assert_eq!(
        (s.bounds.idle, s.bounds.attempts_per_connection),
        (ms(29_000), 1)
    );
    assert_eq!(
        (c.kinds[1].keyed, c.kinds[1].write, c.kinds[0].write),
        (true, Some(true), Some(false))
    );
}

#[test]
fn names_and_fields_of_any_kind_are_taken_as_they_stand() {
    let mut v = whole();
    v["settings"]["profiles"][0]["name"] = json!("map read, a=b");
    v["settings"]["plans"][0]["name"] = json!("gr\u{f6}\u{df}e L");
    v["settings"]["a field, with = signs"] = json!({"and more": [1, {"b c": "d e"}], "none": null});
    v["settings"]["profiles"][1]["idempotency"] = json!("some new word");
    v["settings"]["profiles"][1]
        .as_object_mut()
        .unwrap()
        .remove("key-scope");
    let c = read(&v).unwrap();
    assert_eq!(
        (c.kinds[0].name.as_str(), c.settings.plans[0].name.as_str()),
        ("map read, a=b", "gr\u{f6}\u{df}e L")
    );
    assert_eq!(
        c.settings.traffic_classes[1].facts.idempotency,
        Idempotency::NonIdempotent,
        "what is not known is not repeated"
    );
}

#[test]
fn what_follows_an_attempt_that_may_have_run_has_crossed_while_that_is_remembered() {
    for (dial, left) in [
        (json!(100), 1200),
        (json!(null), 1200),
        (json!(700), 750),
        (json!(2000), 0),
    ] {
        let mut v = whole();
        v["settings"]["caps"]["dial-timeout-ms"] = dial;
        let idempotency = read(&v).unwrap().settings.traffic_classes[1]
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
fn waits_for_the_list_stay_within_what_counts_as_told() {
    for (told, kept) in [
        (json!(9000), ms(6000)),
        (json!(2500), ms(2500)),
        (json!(0), ms(6000)),
        (json!(null), ms(6000)),
    ] {
        let mut v = whole();
        v["settings"]["rules"]["ask-every-ms"] = told;
        assert_eq!(read(&v).unwrap().settings.list.rule.poll_interval, kept);
    }
}

#[test]
fn a_fault_names_the_file_and_the_path() {
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
    for (path, value, told) in cases {
        let mut v = whole();
        *v.pointer_mut(path).unwrap() = value;
        assert_eq!(read(&v).unwrap_err(), told);
    }
    assert!(Config::read("c.json".as_ref(), b"{")
        .unwrap_err()
        .starts_with("c.json: is no JSON"));
}
