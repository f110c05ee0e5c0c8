//! All that can happen to a change on its way to a host, explored: requests and answers that cross in any
//! order, late or never, clocks that lose a tick, sources that start anew, changes at any moment. At each
//! state what the hosts may send together is at most the limit in force. Bugs planted on purpose must be
//! found. One host stands for all: a change is over only when it is for each, and each keeps to its own part.

use grebecleat_state::changes::Version;
use grebecleat_state::feed::{in_force, Answer, Follower, HostNo, Leases};
use std::collections::{HashSet, VecDeque};
use std::time::Duration;

const HOSTS: usize = 1;
const LEASE: u64 = 2;
const MARGIN: u64 = 1;
const LAST_TICK: u64 = 4;
/// Limits by version, from 1 on; the first is there at the start. No limit is below the reservation.
const LIMITS: [f64; 2] = [6.0, 2.0];
const RESERVATION: f64 = 1.0;
const MOST: usize = 2_000_000;

fn ticks(n: u64) -> Duration {
    Duration::from_secs(n)
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Bug {
    None,
    /// A host counts its lease from when the answer came.
    FromArrival,
    /// The source takes a host that was sent a version for one that has it.
    SentIsHad,
    /// The source forgets at its start that leases may be out.
    ForgetsLeases,
    /// The source counts no margin.
    NoMargin,
    /// A host takes what comes, though it has something newer.
    GoesBack,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Host {
    follower: Follower,
    /// Ticks that its clock has lost.
    lost: u64,
    /// On the way to the source: when it was sent, by the host's clock, and what the host had.
    request: Option<(u64, Version)>,
    /// On the way back: of which request, and up to which version. An old one may still be under way.
    answers: Vec<(u64, Version)>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    latest: u64,
    leases: Leases,
    restarts: u8,
    hosts: [Host; HOSTS],
}

impl State {
    fn first(bug: Bug) -> Self {
        let margin = if bug == Bug::NoMargin { 0 } else { MARGIN };
        let leases = Leases::new(ticks(LEASE), ticks(margin), Duration::ZERO, false);
        State { now: 0, latest: 1, leases, restarts: 0, hosts: Default::default() }
    }

    /// All that may happen next.
    fn next(&self, bug: Bug) -> Vec<State> {
        let mut all = Vec::new();
        let mut push = |change: &dyn Fn(&mut State)| {
            let mut s = self.clone();
            change(&mut s);
            all.push(s);
        };
        if self.now < LAST_TICK {
            push(&|s| s.now += 1);
        }
        if (self.latest as usize) < LIMITS.len() {
            push(&|s| s.latest += 1);
        }
        if self.restarts == 0 {
            push(&|s| {
                s.restarts = 1;
                let again = bug != Bug::ForgetsLeases;
                let margin = if bug == Bug::NoMargin { 0 } else { MARGIN };
                s.leases = Leases::new(ticks(LEASE), ticks(margin), ticks(s.now), again);
            });
        }
        for (i, h) in self.hosts.iter().enumerate() {
            let clock = self.now - h.lost;
            if h.request.is_none() {
                push(&|s| s.hosts[i].request = Some((clock, h.follower.has)));
            }
            // A clock loses a tick at most once, which the margin covers.
            if h.lost == 0 && self.now > 0 {
                push(&|s| s.hosts[i].lost = 1);
            }
            if let Some((sent, has)) = h.request {
                push(&|s| s.hosts[i].request = None);
                if h.answers.len() < 2 {
                    push(&|s| {
                        s.hosts[i].request = None;
                        let (now, host, latest) = (ticks(s.now), HostNo(i as u32), Version(s.latest));
                        let has = if bug == Bug::SentIsHad { latest } else { has };
                        if let Answer::Grant { .. } = s.leases.asked(now, host, has, latest) {
                            s.hosts[i].answers.push((sent, latest));
                        }
                    });
                }
            }
            for at in 0..h.answers.len() {
                push(&|s| {
                    s.hosts[i].answers.remove(at);
                });
                push(&|s| {
                    let (sent, version) = s.hosts[i].answers.remove(at);
                    let from = if bug == Bug::FromArrival { clock } else { sent };
                    let f = &mut s.hosts[i].follower;
                    if bug == Bug::GoesBack {
                        *f = Follower::default();
                    }
                    f.told(ticks(from), version, ticks(LEASE));
                });
            }
        }
        all
    }

    /// What all hosts may send together, and the limit that is in force.
    fn sums(&self) -> (f64, f64) {
        let limits: Vec<(Version, f64)> =
            (1..=self.latest).map(|v| (Version(v), LIMITS[v as usize - 1])).collect();
        let part = |h: &Host| {
            let follows = h.follower.follows(ticks(self.now - h.lost));
            follows.map_or(RESERVATION, |v| LIMITS[v.0 as usize - 1]) / HOSTS as f64
        };
        (self.hosts.iter().map(part).sum(), in_force(&limits, &self.leases, ticks(self.now)))
    }
}

/// States visited, and the first in which more may be sent than the limit.
fn explore(bug: Bug) -> (usize, Option<State>) {
    let first = State::first(bug);
    let (mut seen, mut todo) = (HashSet::from([first.clone()]), VecDeque::from([first]));
    while let Some(s) = todo.pop_front() {
        let (sent, limit) = s.sums();
        if sent > limit + 1e-9 {
            return (seen.len(), Some(s));
        }
        assert!(seen.len() < MOST, "more states than there should be");
        todo.extend(s.next(bug).into_iter().filter(|n| seen.insert(n.clone())));
    }
    (seen.len(), None)
}

#[test]
fn planted_bugs_are_found() {
    for bug in [Bug::FromArrival, Bug::SentIsHad, Bug::ForgetsLeases, Bug::NoMargin, Bug::GoesBack] {
        let (visited, found) = explore(bug);
        assert!(found.is_some(), "{bug:?} is not found in {visited} states");
        println!("{bug:?}: found after {visited} states");
    }
}

#[test]
fn no_state_sends_more_than_the_limit_in_force() {
    let (visited, found) = explore(Bug::None);
    println!("{visited} states visited");
    assert_eq!(found, None);
}

/// A source that was set back to an old state grants nothing, so that no host is led astray, and tells.
#[test]
fn a_source_that_was_set_back_grants_nothing() {
    let mut l = Leases::new(ticks(2), ticks(1), ticks(0), true);
    assert_eq!(l.asked(ticks(1), HostNo(1), Version(40), Version(40)), Answer::Grant { lease: ticks(2) });
    let behind = Answer::Behind { has: Version(45) };
    assert_eq!(l.asked(ticks(1), HostNo(2), Version(45), Version(40)), behind);
    assert_eq!(
        (l.asked(ticks(2), HostNo(1), Version(40), Version(41)), l.behind()),
        (behind, Some(Version(45)))
    );
}

/// A minute of silence, then forty versions: the host takes the last, and the change is over when it says so.
#[test]
fn a_feed_that_stands_still_and_then_delivers_much() {
    let (mut l, mut f) = (Leases::new(ticks(5), ticks(1), ticks(0), false), Follower::default());
    l.asked(ticks(0), HostNo(1), f.has, Version(1));
    f.told(ticks(0), Version(1), ticks(5));
    assert_eq!((f.follows(ticks(4)), f.follows(ticks(5))), (Some(Version(1)), None));
    assert!(!l.over(ticks(5), Version(2)) && l.over(ticks(6), Version(2)), "its lease has run out");
    l.asked(ticks(60), HostNo(1), f.has, Version(41));
    f.told(ticks(60), Version(41), ticks(5));
    assert_eq!(f.follows(ticks(61)), Some(Version(41)));
    assert!(!l.over(ticks(61), Version(42)) && l.over(ticks(61), Version(41)));
    l.asked(ticks(62), HostNo(1), f.has, Version(42));
    f.told(ticks(62), Version(42), ticks(5));
    assert!(!l.over(ticks(63), Version(42)));
    l.asked(ticks(63), HostNo(1), f.has, Version(42));
    assert!(l.over(ticks(63), Version(42)));
}
