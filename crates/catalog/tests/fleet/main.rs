//! Simulates a leader and three hosts under random faults: messages are delayed, lost and reordered,
//! writes fail, processes crash between any two steps, the leader's store is restored from a backup, and
//! operators change plans throughout. At every step the quotas of a volume add up to at most its limit
//! in the stable version, a change that was reported as committed is kept, and no host returns to an
//! older version. Once the faults stop, all hosts converge to the newest version.

#![allow(clippy::too_many_lines)] // tables of cases

mod disk;
mod faults;
mod limits;
mod steps;
mod world;

use disk::{Disk, HostDisk};
use grebecleat_catalog::catalog::*;
use grebecleat_catalog::change::*;
use grebecleat_catalog::feed::HostNumber;
use grebecleat_catalog::follower::{self, Follower, Update};
use grebecleat_catalog::leader::{
    self, filter_for_host, is_needed_by, CallId, Epoch, Leader, Proposal,
};
use grebecleat_catalog::records::*;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::Duration;

const HOSTS: [&str; 3] = ["h1", "h2", "h3"];
const LEASE: Duration = Duration::from_millis(600);
const MARGIN: Duration = Duration::from_millis(100);
const MAX_DISPATCH_DELAY: Duration = Duration::from_millis(20);
const STEP: Duration = Duration::from_millis(10);
const VOLUMES: std::ops::Range<u64> = 1..5;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn deployment() -> Deployment {
    Deployment {
        hosts: HOSTS.iter().map(|host| Name::from(*host)).collect(),
        max_dispatch_delay: MAX_DISPATCH_DELAY,
    }
}

enum Message {
    Poll {
        host: usize,
        call: CallId,
        epoch: Epoch,
        applied: Version,
        stable: Version,
        acknowledged: Version,
    },
    Acknowledge {
        host: usize,
        epoch: Epoch,
        applied: Version,
    },
    Response {
        host: usize,
        event: follower::Event,
    },
}

struct Host {
    follower: Follower,
    disk: HostDisk,
    /// Pending writes, each with the catalog at that time, which a write of a snapshot stores.
    pending_writes: Vec<(follower::PersistRequest, Catalog)>,
    terms: BTreeMap<u64, follower::Terms>,
    calls: u64,
    highest_applied: Version,
    up: bool,
}

struct World {
    rng: Pcg64Mcg,
    now: Duration,
    disk: Disk,
    /// The copy of the leader's disk that the next restore brings back.
    backup: Disk,
    leader: Leader,
    pending_writes: Vec<(u64, leader::Persist)>,
    hosts: Vec<Host>,
    /// Messages in flight, each with its time of arrival and its number.
    in_flight: Vec<(Duration, u64, Message)>,
    /// The host, and the number of its own call, behind each call to the leader.
    calls: BTreeMap<u64, (usize, CallId)>,
    next_id: u64,
    /// The changes of each proposal, by call, until the leader reports it as committed.
    pending_proposals: BTreeMap<u64, Vec<Change>>,
    /// The changes that the leader has reported as committed.
    committed: BTreeMap<Version, Vec<Change>>,
    /// Whether random faults and proposals still occur.
    faults: bool,
    /// Whether all hosts have followed the leader's epoch since the last restore.
    converged: bool,
    /// Snapshots sent, polls answered with "behind", restarts of the leader, restores of the leader,
    /// restarts of hosts, and checks of volumes that several hosts use.
    counts: [u32; 6],
}

impl Host {
    fn new(name: &str, disk: HostDisk) -> Self {
        let follower = Follower::new(name.into(), disk.start(), MAX_DISPATCH_DELAY);
        let (pending_writes, terms) = (Vec::new(), BTreeMap::new());
        Host {
            follower,
            disk,
            pending_writes,
            terms,
            calls: 0,
            highest_applied: Version(0),
            up: false,
        }
    }
}

fn simulate(seed: u64, ticks: u32) -> [u32; 6] {
    let mut world = World::new(seed);
    let initial_plans = ["a", "b"].map(|n| Change::Plan {
        name: n.into(),
        to: Some(Plan {
            reservation: 3.0,
            limit: 6.0,
            burst: 7.0,
            slack: 6.0,
            weight: 1.0,
            ..Plan::default()
        }),
    });
    let proposal = Proposal {
        author: "op".into(),
        reason: "initial plans".into(),
        base_version: Version(0),
        changes: initial_plans.into(),
        at: None,
        force: false,
        dry_run: false,
    };
    world.leader_step(vec![leader::Event::Proposed {
        call: CallId(1 << 42),
        proposal,
    }]);
    for _ in 0..ticks {
        world.tick();
        // Each change that was reported as committed must be on the disk.
        let persisted: BTreeMap<Version, &Vec<Change>> = world
            .disk
            .start
            .catalog
            .audit_log()
            .map(|e| (e.version, &e.changes))
            .collect();
        let first = persisted.keys().next().copied().unwrap_or_default();
        for (v, changes) in world.committed.iter().filter(|l| *l.0 >= first) {
            assert_eq!(
                persisted.get(v),
                Some(&changes),
                "seed {seed}: {v:?} was reported as committed"
            );
        }
    }
    world.faults = false;
    // A host that was disconnected during a restore may reveal only now that it follows the lost history,
    // which takes an operator to force the epoch.
    for n in 0..500 {
        if n % 100 == 50 {
            let (author, reason, call) = (
                "op".to_string(),
                "end of the run".to_string(),
                CallId(1 << 43),
            );
            world.leader_step(vec![leader::Event::ForceEpoch {
                call,
                author,
                reason,
            }]);
        }
        world.tick();
    }
    let latest = world.leader.persisted();
    assert_eq!(
        latest,
        world.leader.catalog().version(),
        "seed {seed}: all revisions are persisted"
    );
    for (i, host) in world.hosts.iter().enumerate() {
        let follower_lease = host.follower.follower_lease();
        assert_eq!(
            (
                follower_lease.applied,
                follower_lease.stable,
                host.follower.leased()
            ),
            (latest, latest, true),
            "seed {seed}: {}",
            HOSTS[i]
        );
        for id in VOLUMES {
            let volume = world
                .leader
                .catalog()
                .volume(id)
                .filter(|v| v.hosts.contains(&Name::from(HOSTS[i])));
            let terms = host.terms.get(&id).filter(|t| t.served_here);
            assert_eq!(
                terms.map(|t| &t.plan),
                volume.map(|v| &v.plan),
                "seed {seed}"
            );
        }
    }
    world.counts
}

#[test]
fn limits_hold_under_faults_and_all_hosts_converge() {
    let mut sum = [0; 6];
    for seed in 0..300 {
        let counts = simulate(seed, 600);
        sum.iter_mut().zip(counts).for_each(|(s, c)| *s += c);
    }
    // Each kind of event in `World::counts` has occurred often enough.
    assert!(sum.iter().all(|n| *n > 100), "{sum:?}");
}
