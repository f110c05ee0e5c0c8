//! The scenarios: the faults of discovery in each run.

use super::ms;
use std::time::Duration;

/// How discovery fails during an outage.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum OutageKind {
    /// Dials are refused.
    Closed,
    /// Dials succeed, and calls are refused with status 503.
    Refuses,
    /// Neither dials nor calls get a response.
    Silent,
    /// Dials succeed, and calls never get a response.
    Hangs,
}

/// An outage of discovery. Times are relative to the start of the run.
#[derive(Debug, Clone, Copy)]
pub struct Outage {
    pub kind: OutageKind,
    pub from: Duration,
    pub until: Duration,
}

/// A restart of a fraction of the hosts, without a cached endpoint list.
#[derive(Debug, Clone, Copy)]
pub struct Restart {
    pub at: Duration,
    pub fraction: f64,
}

/// One run. Times are relative to its start.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub hosts: usize,
    pub until: Duration,
    /// Time that discovery takes to handle one call; it handles one call at a time.
    pub cost: Duration,
    /// Whether a call that cannot be served in time is refused after its queueing time; otherwise it is
    /// refused immediately.
    pub refuses_late: bool,
    pub outage: Option<Outage>,
    /// When all open watches and their connections stop responding.
    pub silent_at: Option<Duration>,
    /// The fraction of responses that the network loses.
    pub lost: f64,
    pub restart: Option<Restart>,
    /// When discovery's address changes, for all hosts; their calls to the new address are new ones.
    pub moves_at: Option<Duration>,
    /// Number of calls of each host that are made to fail after discovery has the change, each in a
    /// random way. Other responses then arrive as late as possible.
    pub forced_failures: Option<u32>,
    /// When discovery has the observed change and is reachable.
    pub change_at: Duration,
}

pub const BASELINE: Scenario = Scenario {
    hosts: 300,
    until: ms(30_000),
    cost: ms(4),
    refuses_late: false,
    outage: None,
    silent_at: None,
    lost: 0.0,
    restart: None,
    moves_at: None,
    forced_failures: None,
    change_at: ms(10_000),
};

/// The time at which every watch stops responding, which is just before the change.
const SILENT_AT: Duration = ms(9999);

fn outage(kind: OutageKind) -> Scenario {
    let until = ms(15_000);
    Scenario {
        outage: Some(Outage {
            kind,
            from: ms(7000),
            until,
        }),
        change_at: until,
        ..BASELINE
    }
}

fn silent_watches() -> Scenario {
    Scenario {
        silent_at: Some(SILENT_AT),
        ..BASELINE
    }
}

/// An outage that ends with reduced capacity of discovery, when most hosts have just started.
fn outage_with_restarts(kind: OutageKind) -> Scenario {
    Scenario {
        cost: ms(6),
        restart: Some(Restart {
            at: ms(13_000),
            fraction: 0.7,
        }),
        ..outage(kind)
    }
}

/// Returns the scenarios with their names.
pub fn scenarios() -> Vec<(&'static str, Scenario)> {
    let slow = Scenario {
        cost: ms(6),
        ..silent_watches()
    };
    let lossy = Scenario {
        lost: 0.2,
        ..BASELINE
    };
    let late_and_lossy = Scenario {
        refuses_late: true,
        lost: 0.1,
        ..outage_with_restarts(OutageKind::Refuses)
    };
    let silent_then_fails = |failures| Scenario {
        forced_failures: Some(failures),
        ..silent_watches()
    };
    let hangs_then_fails = Scenario {
        forced_failures: Some(1),
        ..outage(OutageKind::Hangs)
    };
    let moves = Scenario {
        moves_at: Some(ms(12_000)),
        ..silent_watches()
    };
    vec![
        ("calm", BASELINE),
        ("down, dials refused", outage(OutageKind::Closed)),
        ("down, calls refused", outage(OutageKind::Refuses)),
        ("down, silent", outage(OutageKind::Silent)),
        ("watches stop responding", silent_watches()),
        ("watches stop responding, reduced capacity", slow),
        ("one response in five lost", lossy),
        (
            "down, back with reduced capacity, most hosts new",
            outage_with_restarts(OutageKind::Closed),
        ),
        (
            "the same, refused late, one response in ten lost",
            late_and_lossy,
        ),
        ("silent, then a failure", silent_then_fails(1)),
        ("hangs, then a failure", hangs_then_fails),
        ("silent, then three failures", silent_then_fails(3)),
        ("silent, and discovery's address changes meanwhile", moves),
    ]
}
