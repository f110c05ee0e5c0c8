//! The scenarios: what happens to discovery in each run.

use super::ms;
use std::time::Duration;

/// How discovery fails during an outage.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum OutageKind {
    /// Dials are refused.
    Closed,
    /// Dials succeed, and calls get the response 503.
    Refuses,
    /// Neither dials nor calls get a response.
    Silent,
    /// Dials succeed, and calls never get a response.
    Hangs,
}

/// An outage of discovery. Times count from the run's beginning.
#[derive(Debug, Clone, Copy)]
pub struct Outage {
    pub kind: OutageKind,
    pub from: Duration,
    pub until: Duration,
}

/// A restart of a part of the hosts, without a cached list.
#[derive(Debug, Clone, Copy)]
pub struct Restart {
    pub at: Duration,
    pub fraction: f64,
}

/// One run. Times count from its beginning.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub hosts: usize,
    pub until: Duration,
    /// Time that discovery takes for one call; it handles calls in turn.
    pub cost: Duration,
    /// Whether a call that cannot be served in time is refused after its queueing time, not at once.
    pub refuses_late: bool,
    pub outage: Option<Outage>,
    /// When all open watches, and their connections, fall silent.
    pub silent_at: Option<Duration>,
    /// The fraction of responses that is lost on the way.
    pub lost: f64,
    pub restart: Option<Restart>,
    /// When discovery moves, for all hosts; their calls at the new address are new ones.
    pub moves_at: Option<Duration>,
    /// Number of calls of each host that fail after discovery has the change, in every way and as
    /// late as possible; the responses come as late as possible too.
    pub forced_failures: Option<u32>,
    /// When discovery has the observed change and can be reached.
    pub change_at: Duration,
}

pub const CALM: Scenario = Scenario {
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

/// The time just before the change, at which every watch falls silent.
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
        ..CALM
    }
}

fn silent_watches() -> Scenario {
    Scenario {
        silent_at: Some(SILENT_AT),
        ..CALM
    }
}

/// Discovery comes back with little capacity when most hosts have just started.
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

/// By name.
pub fn scenarios() -> Vec<(&'static str, Scenario)> {
    let slow = Scenario {
        cost: ms(6),
        ..silent_watches()
    };
    let lossy = Scenario { lost: 0.2, ..CALM };
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
        ("calm", CALM),
        ("down, dials refused", outage(OutageKind::Closed)),
        ("down, calls refused", outage(OutageKind::Refuses)),
        ("down, silent", outage(OutageKind::Silent)),
        ("watches fall silent", silent_watches()),
        ("watches fall silent, little capacity", slow),
        ("one answer in five lost", lossy),
        (
            "down, back with little capacity, most hosts new",
            outage_with_restarts(OutageKind::Closed),
        ),
        (
            "the same, refused late, one answer in ten lost",
            late_and_lossy,
        ),
        ("silent, then a failure", silent_then_fails(1)),
        ("hangs, then a failure", hangs_then_fails),
        ("silent, then three failures", silent_then_fails(3)),
        ("silent, and discovery moves meanwhile", moves),
    ]
}
