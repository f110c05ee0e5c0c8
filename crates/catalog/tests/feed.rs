//! Explores every state of a leader and two hosts: requests and answers that arrive in any order,
//! late or never, clocks that lose a tick, a leader that restarts, hosts that restart, changes at
//! any moment, an operator who rightly reports a host as gone. In each state what both hosts may
//! send together is at most the limit of the stable version. Bugs planted on purpose must be found.

#![allow(clippy::too_many_lines)] // tables of cases

use grebecleat_catalog::feed::{
    quota, FollowerLease, HostNumber, Leases, LimitReductions, LimitTerms, PollDecision,
};
use grebecleat_catalog::records::Version;
use std::collections::{HashSet, VecDeque};
use std::time::Duration;

const HOSTS: usize = 2;
const LEASE: u64 = 1;
const MARGIN: u64 = 1;
const LAST_TICK: u64 = 3;
const MAX_STATES: usize = 30_000_000;

fn ticks(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// What a version says: limit and reservation of the volume, and which hosts serve it.
#[derive(Debug, Clone, Copy)]
struct VolumeTerms {
    limit: f64,
    reservation: f64,
    hosts: [bool; HOSTS],
}

impl VolumeTerms {
    fn limit_terms(&self, host: usize) -> LimitTerms {
        let hosts = self.hosts.iter().filter(|host| **host).count();
        let (reservation, limit) = (self.reservation, self.limit);
        LimitTerms {
            reservation,
            limit,
            burst: limit,
            hosts,
            mine: self.hosts[host],
        }
    }

    fn lowers_limits(&self, before: &VolumeTerms) -> bool {
        let floor = |volume: &VolumeTerms, host: usize| {
            let terms = volume.limit_terms(host);
            match (terms.limit > 0.0, terms.mine) {
                (false, _) => f64::INFINITY,
                (true, true) => terms.reservation / terms.hosts as f64,
                (true, false) => 0.0,
            }
        };
        (0..HOSTS).any(|host| floor(self, host) < floor(before, host))
    }
}

/// Changes one after the other, by what makes each of them dangerous.
const SCENARIOS: [(&str, &[VolumeTerms]); 6] = {
    const BOTH: [bool; 2] = [true, true];
    const fn terms(limit: f64, reservation: f64, hosts: [bool; 2]) -> VolumeTerms {
        VolumeTerms {
            limit,
            reservation,
            hosts,
        }
    }
    [
        ("lowered", &[terms(6.0, 1.0, BOTH), terms(2.0, 1.0, BOTH)]),
        ("raised", &[terms(2.0, 1.0, BOTH), terms(6.0, 1.0, BOTH)]),
        (
            "given a limit",
            &[terms(0.0, 1.0, BOTH), terms(2.0, 1.0, BOTH)],
        ),
        (
            "a host comes in",
            &[terms(4.0, 2.0, [true, false]), terms(4.0, 2.0, BOTH)],
        ),
        (
            "moved to the other host",
            &[
                terms(4.0, 2.0, [true, false]),
                terms(4.0, 2.0, [false, true]),
            ],
        ),
        (
            "its reservation lowered below",
            &[terms(6.0, 4.0, BOTH), terms(2.0, 1.0, BOTH)],
        ),
    ]
};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Bug {
    None,
    /// A host counts its lease from when the answer came.
    FromArrival,
    /// The leader counts a version that was sent as applied.
    SentCountsAsApplied,
    /// The leader forgets at its start that leases may still run.
    ForgetsRunningLeases,
    /// The leader counts no margin.
    NoMargin,
    /// A host applies what arrives, though it has a newer version.
    TakesOlderVersions,
    /// A host follows the newest that it has, whatever others may still follow.
    NewestAlone,
    /// The leader does not wait for hosts without a lease.
    IgnoresReductions,
    /// A host starts with the lease that it had.
    LeaseSurvivesRestart,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Host {
    follower_lease: FollowerLease,
    /// Ticks that its clock has lost.
    lost: u64,
    /// It is down, and the operator has reported it as gone.
    gone: bool,
    /// On the way to the leader: when it was sent, by the host's clock, and what the host had.
    request: Option<(u64, Version)>,
    /// On the way back: of which request, up to which version, and the stable version then.
    answers: Vec<(u64, Version, Version)>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    latest: u64,
    leases: Leases,
    stable: Version,
    /// Restarts of the leader or a host, clocks that lost a tick and hosts that are gone, so far.
    mishaps: u8,
    hosts: [Host; HOSTS],
}

struct Model {
    versions: &'static [VolumeTerms],
    bug: Bug,
    /// Mishaps of one run; requests and answers may in addition be lost or late any number of
    /// times.
    mishaps: u8,
    /// The second host is answered at once or not at all. Hosts interact only through what the
    /// leader knows of them, so one prompt host and one whose messages cross show most cases.
    prompt: bool,
}

impl Model {
    fn margin(&self) -> Duration {
        ticks(if self.bug == Bug::NoMargin { 0 } else { MARGIN })
    }

    fn limit_reductions(&self, latest: u64) -> LimitReductions {
        let mut reductions = LimitReductions::new(Version(1));
        for v in 2..=latest {
            let lowers_limits =
                self.versions[v as usize - 1].lowers_limits(&self.versions[v as usize - 2]);
            reductions.add(
                Version(v),
                lowers_limits && self.bug != Bug::IgnoresReductions,
            );
        }
        reductions
    }

    /// Both hosts have the first version, and no lease.
    fn first(&self) -> State {
        let first = Some(Version(1));
        let all = (0..HOSTS as u32).map(|host| (HostNumber(host), first));
        let leases = Leases::new(ticks(LEASE), self.margin(), Duration::ZERO, Version(1), all);
        let follower_lease = FollowerLease::persisted(Version(1), Version(1));
        let host = Host {
            follower_lease,
            ..Host::default()
        };
        let hosts = [host.clone(), host];
        State {
            now: 0,
            latest: 1,
            leases,
            stable: Version(1),
            mishaps: 0,
            hosts,
        }
    }

    /// The leader updates the stable version whenever something happens.
    fn update_stable(&self, mut state: State) -> State {
        state.stable = state.leases.stable(
            ticks(state.now),
            &self.limit_reductions(state.latest),
            Version(state.latest),
        );
        state
    }

    /// All that may happen next.
    fn next(&self, state: &State) -> Vec<State> {
        let mut all = Vec::new();
        let mut push = |change: &dyn Fn(&mut State)| {
            let mut state = state.clone();
            change(&mut state);
            all.push(self.update_stable(state));
        };
        if state.now < LAST_TICK {
            push(&|state| state.now += 1);
        }
        if (state.latest as usize) < self.versions.len() {
            push(&|state| state.latest += 1);
        }
        if state.mishaps < self.mishaps {
            push(&|state| {
                state.mishaps += 1;
                // What hosts have acknowledged and the stable version are persisted before they
                // count.
                let had = |host: u32| (HostNumber(host), state.leases.applied(HostNumber(host)));
                let had: Vec<_> = (0..HOSTS as u32).map(had).collect();
                let again = if self.bug == Bug::ForgetsRunningLeases {
                    ticks(state.now).saturating_sub(ticks(9))
                } else {
                    ticks(state.now)
                };
                state.leases = Leases::new(ticks(LEASE), self.margin(), again, state.stable, had);
            });
        }
        for (i, host) in state.hosts.iter().enumerate() {
            let clock = state.now - host.lost;
            if host.gone {
                continue;
            }
            // A clock loses a tick at most once, which the margin covers.
            if host.lost == 0 && state.now > 0 && state.mishaps < self.mishaps {
                push(&|state| (state.hosts[i].lost, state.mishaps) = (1, state.mishaps + 1));
            }
            if state.mishaps < self.mishaps {
                push(&|state| {
                    state.mishaps += 1;
                    let host = &mut state.hosts[i];
                    if self.bug != Bug::LeaseSurvivesRestart {
                        host.follower_lease = FollowerLease::persisted(
                            host.follower_lease.applied,
                            host.follower_lease.stable,
                        );
                    }
                    // By a clock that begins anew the old lease would be the longest.
                    host.lost = state.now;
                    (host.request, host.answers) = (None, Vec::new());
                });
            }
            if i == 0 && state.mishaps < self.mishaps {
                push(&|state| {
                    state.mishaps += 1;
                    state.leases.set_removed(HostNumber(0));
                    state.hosts[0] = Host {
                        gone: true,
                        ..Host::default()
                    };
                });
            }
            if i == 1 && self.prompt {
                push(&|state| {
                    let answer = self.answer(state, i, clock, host.follower_lease.applied);
                    answer
                        .into_iter()
                        .for_each(|a| self.arrive(&mut state.hosts[i], clock, a));
                });
                continue;
            }
            // A new request also replaces one that was lost.
            push(&|state| state.hosts[i].request = Some((clock, host.follower_lease.applied)));
            if let Some((sent, applied)) = host.request.filter(|_| host.answers.len() < 2) {
                push(&|state| {
                    state.hosts[i].request = None;
                    let answer = self.answer(state, i, sent, applied);
                    state.hosts[i].answers.extend(answer);
                    state.hosts[i].answers.sort_unstable();
                });
            }
            for at in 0..host.answers.len() {
                push(&|state| {
                    let answer = state.hosts[i].answers.remove(at);
                    self.arrive(&mut state.hosts[i], clock, answer);
                });
            }
        }
        all
    }

    fn answer(
        &self,
        state: &mut State,
        host: usize,
        sent: u64,
        applied: Version,
    ) -> Option<(u64, Version, Version)> {
        let (now, host, latest) = (
            ticks(state.now),
            HostNumber(host as u32),
            Version(state.latest),
        );
        let applied = if self.bug == Bug::SentCountsAsApplied {
            latest
        } else {
            applied
        };
        match state.leases.poll(now, host, applied, latest) {
            PollDecision::Grant { .. } => {
                let stable = state.leases.stable(
                    now,
                    &self.limit_reductions(state.latest),
                    Version(state.latest),
                );
                Some((sent, latest, stable))
            }
            _ => None,
        }
    }

    fn arrive(
        &self,
        host: &mut Host,
        clock: u64,
        (sent, version, stable): (u64, Version, Version),
    ) {
        let from = if self.bug == Bug::FromArrival {
            clock
        } else {
            sent
        };
        if self.bug == Bug::TakesOlderVersions {
            host.follower_lease = FollowerLease::default();
        }
        host.follower_lease
            .granted(ticks(from), version, stable, ticks(LEASE));
    }

    /// What both hosts may send together, and the limit that is in force.
    fn sums(&self, state: &State) -> (f64, f64) {
        let of = |i: usize, host: &Host| {
            let follower_lease = &host.follower_lease;
            let from = if self.bug == Bug::NewestAlone {
                follower_lease.applied
            } else {
                follower_lease.stable
            };
            let window = (from.0.max(1)..=follower_lease.applied.0)
                .map(|v| self.versions[v as usize - 1].limit_terms(i));
            quota(window, follower_lease.leased(ticks(state.now - host.lost)))
                .map_or(f64::INFINITY, |p| p.rate)
        };
        let hosts = state
            .hosts
            .iter()
            .enumerate()
            .filter(|(_, host)| !host.gone);
        let sent = hosts.map(|(i, host)| of(i, host)).sum();
        let limit = self.versions[state.stable.0.max(1) as usize - 1].limit;
        (sent, if limit > 0.0 { limit } else { f64::INFINITY })
    }

    /// States visited, and the first in which more may be sent than the limit.
    fn explore(&self) -> (usize, Option<State>) {
        let first = self.update_stable(self.first());
        let (mut seen, mut queue) = (HashSet::from([first.clone()]), VecDeque::from([first]));
        while let Some(state) = queue.pop_front() {
            let (sent, limit) = self.sums(&state);
            if sent > limit + 1e-9 {
                return (seen.len(), Some(state));
            }
            assert!(seen.len() < MAX_STATES, "more states than there should be");
            queue.extend(
                self.next(&state)
                    .into_iter()
                    .filter(|next| seen.insert(next.clone())),
            );
        }
        (seen.len(), None)
    }
}

impl Model {
    fn short(versions: &'static [VolumeTerms], bug: Bug) -> Self {
        Model {
            versions,
            bug,
            mishaps: 1,
            prompt: true,
        }
    }
}

#[test]
fn planted_bugs_are_found() {
    let bugs = [
        Bug::FromArrival,
        Bug::SentCountsAsApplied,
        Bug::ForgetsRunningLeases,
        Bug::NoMargin,
        Bug::TakesOlderVersions,
        Bug::NewestAlone,
        Bug::IgnoresReductions,
        Bug::LeaseSurvivesRestart,
    ];
    for bug in bugs {
        let found = SCENARIOS.iter().find_map(|(scenario, versions)| {
            let (visited, found) = Model::short(versions, bug).explore();
            found.map(|_| (scenario, visited))
        });
        let (scenario, visited) = found.unwrap_or_else(|| panic!("{bug:?} is not found"));
        println!("{bug:?}: found in '{scenario}' after {visited} states");
    }
}

#[test]
fn no_state_sends_more_than_the_limit_of_the_stable_version() {
    for (scenario, versions) in SCENARIOS {
        let (visited, found) = Model::short(versions, Bug::None).explore();
        println!("{scenario}: {visited} states visited");
        assert_eq!(found, None, "{scenario}");
    }
}

/// The long form: `cargo test --release -p grebecleat-catalog --test feed -- --ignored --nocapture`.
#[test]
#[ignore = "minutes; CI plays the short form"]
fn no_state_with_two_mishaps_or_with_two_slow_hosts() {
    for (mishaps, prompt) in [(2, true), (0, false)] {
        for (scenario, versions) in SCENARIOS {
            let (visited, found) = Model {
                versions,
                bug: Bug::None,
                mishaps,
                prompt,
            }
            .explore();
            println!(
                "{scenario}, {mishaps} mishaps, second host prompt {prompt}: {visited} states visited"
            );
            assert_eq!(found, None, "{scenario}");
        }
    }
}
