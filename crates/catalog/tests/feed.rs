//! A model checker for the catalog feed. It explores every state of a leader and two hosts: polls and
//! responses arrive in any order, late or never; clocks lose a tick; the leader and the hosts restart;
//! changes are made at any moment; an operator correctly reports a host as removed. In each state, the sum
//! of both hosts' quotas must be at most the limit of the stable version. To show that the exploration
//! would find faults, bugs are planted in the model, and each must be found.

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

/// The terms of the volume in one version: limit, reservation and hosts.
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
            served_here: self.hosts[host],
        }
    }

    fn lowers_limits(&self, before: &VolumeTerms) -> bool {
        let floor = |volume: &VolumeTerms, host: usize| {
            let terms = volume.limit_terms(host);
            match (terms.limit > 0.0, terms.served_here) {
                (false, _) => f64::INFINITY,
                (true, true) => terms.reservation / terms.hosts as f64,
                (true, false) => 0.0,
            }
        };
        (0..HOSTS).any(|host| floor(self, host) < floor(before, host))
    }
}

/// Sequences of versions, each named after the kind of change that could make the quotas exceed the limit.
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
            "a host is added",
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
            "the reservation lowered below the quota",
            &[terms(6.0, 4.0, BOTH), terms(2.0, 1.0, BOTH)],
        ),
    ]
};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Bug {
    None,
    /// A host counts its lease from the arrival of the response instead of the sending of the poll.
    FromArrival,
    /// The leader treats a version as applied once it has sent it.
    SentCountsAsApplied,
    /// A restarted leader assumes that no host has a lease.
    ForgetsRunningLeases,
    /// The leader waits for the lease alone, without the margin for clocks that lose time.
    NoMargin,
    /// A host applies a version older than its own.
    TakesOlderVersions,
    /// A host computes its quota from its newest version alone, without the earlier ones since the stable
    /// version.
    NewestAlone,
    /// For a version that lowers limits, the leader does not wait for hosts without a lease.
    IgnoresReductions,
    /// A restarted host keeps its lease.
    LeaseSurvivesRestart,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Host {
    follower_lease: FollowerLease,
    /// Number of ticks by which the host's clock is behind.
    lost_ticks: u64,
    /// Whether the host is down and an operator has reported it as removed.
    removed: bool,
    /// The poll in flight: when it was sent, by the host's clock, and the host's version.
    poll_in_flight: Option<(u64, Version)>,
    /// The responses in flight: when the poll was sent, the version, and the stable version.
    responses: Vec<(u64, Version, Version)>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    latest: u64,
    leases: Leases,
    stable: Version,
    /// Number of faults so far: restarts of the leader or a host, lost ticks and removed hosts.
    faults: u8,
    hosts: [Host; HOSTS],
}

struct Model {
    versions: &'static [VolumeTerms],
    bug: Bug,
    /// Maximum number of faults in one run. In addition, polls and responses may be lost or late any number
    /// of times.
    max_faults: u8,
    /// Whether the second host gets each response at once. Hosts interact only through the leader's
    /// records, so one such host and one whose messages may be delayed and reordered cover most cases.
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

    /// The initial state: both hosts have applied the first version and have no lease.
    fn initial_state(&self) -> State {
        let applied = Some(Version(1));
        let all = (0..HOSTS as u32).map(|host| (HostNumber(host), applied));
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
            faults: 0,
            hosts,
        }
    }

    /// Updates the stable version, as the leader does after each event.
    fn update_stable(&self, mut state: State) -> State {
        state.stable = state.leases.stable(
            ticks(state.now),
            &self.limit_reductions(state.latest),
            Version(state.latest),
        );
        state
    }

    /// All states that can directly follow a state.
    fn successors(&self, state: &State) -> Vec<State> {
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
        if state.faults < self.max_faults {
            push(&|state| {
                state.faults += 1;
                // The leader persists acknowledged versions and the stable version before it uses them, so it
                // has them after a restart.
                let applied_version =
                    |host: u32| (HostNumber(host), state.leases.applied(HostNumber(host)));
                let applied_versions: Vec<_> = (0..HOSTS as u32).map(applied_version).collect();
                let restarted_at = if self.bug == Bug::ForgetsRunningLeases {
                    ticks(state.now).saturating_sub(ticks(9))
                } else {
                    ticks(state.now)
                };
                state.leases = Leases::new(
                    ticks(LEASE),
                    self.margin(),
                    restarted_at,
                    state.stable,
                    applied_versions,
                );
            });
        }
        for (i, host) in state.hosts.iter().enumerate() {
            let clock = state.now - host.lost_ticks;
            if host.removed {
                continue;
            }
            // Each clock loses at most one tick, which the margin covers.
            if host.lost_ticks == 0 && state.now > 0 && state.faults < self.max_faults {
                push(&|state| (state.hosts[i].lost_ticks, state.faults) = (1, state.faults + 1));
            }
            if state.faults < self.max_faults {
                push(&|state| {
                    state.faults += 1;
                    let host = &mut state.hosts[i];
                    if self.bug != Bug::LeaseSurvivesRestart {
                        host.follower_lease = FollowerLease::persisted(
                            host.follower_lease.applied,
                            host.follower_lease.stable,
                        );
                    }
                    // The clock restarts from zero: the case in which a lease from before the restart would
                    // last longest.
                    host.lost_ticks = state.now;
                    (host.poll_in_flight, host.responses) = (None, Vec::new());
                });
            }
            if i == 0 && state.faults < self.max_faults {
                push(&|state| {
                    state.faults += 1;
                    state.leases.set_removed(HostNumber(0));
                    state.hosts[0] = Host {
                        removed: true,
                        ..Host::default()
                    };
                });
            }
            if i == 1 && self.prompt {
                push(&|state| {
                    let response = self.respond(state, i, clock, host.follower_lease.applied);
                    response
                        .into_iter()
                        .for_each(|a| self.receive(&mut state.hosts[i], clock, a));
                });
                continue;
            }
            // A new poll replaces the poll in flight, which models its loss.
            push(&|state| {
                state.hosts[i].poll_in_flight = Some((clock, host.follower_lease.applied))
            });
            if let Some((sent, applied)) = host.poll_in_flight.filter(|_| host.responses.len() < 2)
            {
                push(&|state| {
                    state.hosts[i].poll_in_flight = None;
                    let response = self.respond(state, i, sent, applied);
                    state.hosts[i].responses.extend(response);
                    state.hosts[i].responses.sort_unstable();
                });
            }
            for at in 0..host.responses.len() {
                push(&|state| {
                    let response = state.hosts[i].responses.remove(at);
                    self.receive(&mut state.hosts[i], clock, response);
                });
            }
        }
        all
    }

    fn respond(
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

    fn receive(
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
            .apply_grant(ticks(from), version, stable, ticks(LEASE));
    }

    /// The sum of both hosts' quotas, and the limit in force.
    fn sums(&self, state: &State) -> (f64, f64) {
        let quota_rate = |i: usize, host: &Host| {
            let follower_lease = &host.follower_lease;
            let from = if self.bug == Bug::NewestAlone {
                follower_lease.applied
            } else {
                follower_lease.stable
            };
            let window = (from.0.max(1)..=follower_lease.applied.0)
                .map(|v| self.versions[v as usize - 1].limit_terms(i));
            quota(
                window,
                follower_lease.leased(ticks(state.now - host.lost_ticks)),
            )
            .map_or(f64::INFINITY, |p| p.rate)
        };
        let hosts = state
            .hosts
            .iter()
            .enumerate()
            .filter(|(_, host)| !host.removed);
        let total = hosts.map(|(i, host)| quota_rate(i, host)).sum();
        let limit = self.versions[state.stable.0.max(1) as usize - 1].limit;
        (total, if limit > 0.0 { limit } else { f64::INFINITY })
    }

    /// Explores all states breadth first. Returns the number of visited states, and the first state in
    /// which the quotas exceed the limit.
    fn explore(&self) -> (usize, Option<State>) {
        let initial = self.update_stable(self.initial_state());
        let (mut seen, mut queue) = (HashSet::from([initial.clone()]), VecDeque::from([initial]));
        while let Some(state) = queue.pop_front() {
            let (total, limit) = self.sums(&state);
            if total > limit + 1e-9 {
                return (seen.len(), Some(state));
            }
            assert!(
                seen.len() < MAX_STATES,
                "the exploration visited {MAX_STATES} states without an end"
            );
            queue.extend(
                self.successors(&state)
                    .into_iter()
                    .filter(|next| seen.insert(next.clone())),
            );
        }
        (seen.len(), None)
    }
}

impl Model {
    fn short_form(versions: &'static [VolumeTerms], bug: Bug) -> Self {
        Model {
            versions,
            bug,
            max_faults: 1,
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
            let (visited, found) = Model::short_form(versions, bug).explore();
            found.map(|_| (scenario, visited))
        });
        let (scenario, visited) =
            found.unwrap_or_else(|| panic!("{bug:?}: no scenario finds this planted bug"));
        println!("{bug:?}: found in '{scenario}' after {visited} states");
    }
}

#[test]
fn quotas_never_exceed_the_limit_of_the_stable_version() {
    for (scenario, versions) in SCENARIOS {
        let (visited, found) = Model::short_form(versions, Bug::None).explore();
        println!("{scenario}: {visited} states visited");
        assert_eq!(found, None, "{scenario}");
    }
}

/// The long form of the test above, run with
/// `cargo test --release -p grebecleat-catalog --test feed -- --ignored --nocapture`.
#[test]
#[ignore = "minutes; CI plays the short form"]
fn quotas_never_exceed_the_limit_with_two_faults_or_two_slow_hosts() {
    for (max_faults, prompt) in [(2, true), (0, false)] {
        for (scenario, versions) in SCENARIOS {
            let (visited, found) = Model {
                versions,
                bug: Bug::None,
                max_faults,
                prompt,
            }
            .explore();
            println!(
                "{scenario}, at most {max_faults} faults, second host prompt {prompt}: {visited} states visited"
            );
            assert_eq!(found, None, "{scenario}");
        }
    }
}
