//! Parameters of a fleet. The settings state them to the hosts, and the rig's nodes and counters check
//! that the hosts keep them.

use super::ms;
use serde_json::{json, Value};
use std::time::Duration;

/// Time from a request to its deadline.
pub const DEADLINE: Duration = ms(1500);
/// Grace time after a node was reported as gone; after it a host sends the node nothing.
pub const DRAIN_GRACE: Duration = ms(250);
/// Fraction of its capacity that a node has when it starts.
pub const INITIAL_FRACTION: f64 = 0.1;
/// Time after which a node has its full capacity.
pub const WARM_UP_TIME: Duration = ms(6000);
/// Window over which the slow-start rule adds up what a node received.
pub const OVERLOAD_WINDOW: Duration = ms(2000);
/// Multiple of its current capacity that a node can bear within the window.
pub const OVERLOAD_MULTIPLE: f64 = 1.0;
/// Units within the window that a node can always bear.
pub const ALWAYS_BORNE_UNITS: f64 = 24.0;
/// Size of every request, in units.
pub const REQUEST_UNITS: f64 = 2.0;

/// Retries that are always allowed in the budget's window.
pub const MIN_RETRIES: f64 = 3.0;
/// Further retries allowed for each request in the window.
pub const RETRY_RATIO: f64 = 0.25;
/// The retry budget's window.
pub const RETRY_WINDOW: Duration = ms(5000);

/// Number of requests that a node serves concurrently.
pub const NODE_SLOTS: usize = 4;
/// Time for one unit of work at a warm node.
pub const TIME_PER_UNIT: Duration = ms(30);
/// Queue length at which a node rejects further requests.
pub const NODE_QUEUE: usize = 60;

/// Units a second that a warm node can do.
pub fn node_capacity() -> f64 {
    NODE_SLOTS as f64 / TIME_PER_UNIT.as_secs_f64()
}

fn traffic_class(name: &str, idempotency: &str, ordered: bool) -> Value {
    json!({"name": name, "objective-ms": 200.0, "deadline-ms": millis(DEADLINE),
           "idempotency": idempotency, "key-scope": "cell", "dedup-window-ms": 1500.0, "worth": 3.0,
           "late-value": 0.2, "serial-by-key": ordered, "stream": false})
}

/// Returns the settings of a fleet of `hosts` hosts.
pub fn settings(hosts: usize) -> Value {
    json!({
        "balancers": hosts, "registry-mode": "on_request", "zones": ["a", "b", "c"],
        "caps": {"max-attempts": 3, "retry-after": true, "max-retry-after-ms": 500.0, "conn-idle-ms": 30000.0,
                 "dial-timeout-ms": 250.0, "max-open": 1000, "probing": false},
        "family-info": {"largest": 6, "mean-units": REQUEST_UNITS, "writes": [false, true, true],
                        "cold-units": ALWAYS_BORNE_UNITS, "meter-ms": 500.0, "within-share": 0.35,
                        "spare-worth": 0.08},
        "profiles": [traffic_class("read", "free", false), traffic_class("once", "single_shot", false),
                     traffic_class("row", "guarded", true)],
        "plans": [{"name": "gold", "base-rate": 60.0, "guaranteed": 60.0, "proportion": 1.0, "price": 1.0}],
        "rules": {"answer-slack-ms": 58.0, "ask-every-ms": 9000.0, "extra-floor": MIN_RETRIES,
                  "further-ratio": RETRY_RATIO, "extra-window-ms": millis(RETRY_WINDOW),
                  "cold-from": INITIAL_FRACTION, "cold-ms": millis(WARM_UP_TIME),
                  "fall-ms": millis(OVERLOAD_WINDOW), "tip-multiple": OVERLOAD_MULTIPLE,
                  "drain-grace-ms": millis(DRAIN_GRACE), "settle-after-doubt-ms": 200.0}
    })
}

fn millis(duration: Duration) -> f64 {
    duration.as_millis() as f64
}
