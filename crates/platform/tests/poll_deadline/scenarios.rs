//! What happens to discovery in each run.

use super::ms;
use std::time::Duration;

/// How discovery fails during an outage.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum OutageKind {
    /// Dials are refused.
    Closed,
    /// Dials come up, and calls are answered 503.
    Refuses,
    /// Nothing comes back, neither of a dial nor of a call.
    Silent,
    /// Dials come up, and calls are never answered.
    Hangs,
}

/// Times are counted from the run's beginning.
#[derive(Debug, Clone, Copy)]
pub struct Outage {
    pub kind: OutageKind,
    pub from: Duration,
    pub until: Duration,
}

/// A part of the hosts starts anew, without a cached list.
#[derive(Debug, Clone, Copy)]
pub struct Restart {
    pub at: Duration,
    pub fraction: f64,
}

/// One run. Times are counted from its beginning.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub hosts: usize,
    pub until: Duration,
    /// What one call costs discovery; it handles them in turn.
    pub cost: Duration,
    /// A call that cannot be served in time is refused when it has waited, not at once.
    pub refuses_late: bool,
    pub outage: Option<Outage>,
    /// All watches that are open then fall silent, connections and all.
    pub silent_at: Option<Duration>,
    /// The fraction of answers that is lost on the way.
    pub lost: f64,
    pub restart: Option<Restart>,
    /// Discovery moves then, for all hosts: their calls there are new ones.
    pub moves_at: Option<Duration>,
    /// From when discovery has the change, so many calls of each host fail, in every way, as late
    /// as they can; and the answers come as late as they may.
    pub forced_failures: Option<u32>,
    /// When discovery has the change that is looked at, and can be reached.
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

/// When every watch falls silent, where it does: just before the change.
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
