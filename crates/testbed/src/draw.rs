//! Random draws from a scenario's seed: the targets of each injected fault, and the faults of a
//! scenario that gives only their kinds.
//!
//! The same script gives the same draws in every process, so that the processes agree without
//! communication. [`crate::node`], [`crate::serve`], [`crate::clients`] and [`crate::scenario`]
//! call it. No I/O and no state.

use grebecleat_settings::{FaultKind, FaultSpec, Rehearsal, Settings};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// The random generator's purpose for the first fault; each further fault adds 1.
const FIRST_FAULT_PURPOSE: u64 = 1000;
/// The random generator's purpose for faults of which only the kind is given.
const FAULT_KINDS_PURPOSE: u64 = 77;
/// A multiplier with well mixed bits (2^64 divided by the golden ratio), which separates purposes.
const MIXER: u64 = 0x9e37_79b9_7f4a_7c15;
/// The fraction of affected volumes, relative to the fault's fraction of nodes and hosts.
const VOLUME_FRACTION: f64 = 0.3;

/// One fault with all its targets. Times are since the start of the scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct InjectedFault {
    /// The kind of the fault.
    pub kind: FaultKind,
    /// The time at which the fault begins.
    pub start: Duration,
    /// The time for which the fault lasts.
    pub duration: Duration,
    /// The strength of the fault; the unit depends on the kind.
    pub magnitude: f64,
    /// The ids of the nodes that the fault affects.
    pub nodes: Vec<u32>,
    /// The indices of the hosts that the fault affects.
    pub hosts: Vec<usize>,
    /// The indices of the volumes whose demand grows.
    pub volumes: Vec<usize>,
}

impl InjectedFault {
    /// Returns the time at which the fault ends.
    pub fn end(&self) -> Duration {
        self.start + self.duration
    }

    /// Returns whether the fault is in effect at `now`.
    pub fn is_active(&self, now: Duration) -> bool {
        (self.start..self.end()).contains(&now)
    }
}

/// Returns a random generator for one purpose. Each purpose has its own generator, so that an
/// additional draw for one purpose changes no draw for another.
pub fn random_generator(seed: u64, purpose: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed ^ purpose.wrapping_mul(MIXER))
}

/// Draws a fraction of the items, at least `least` of them, or all if there are fewer.
fn sample<T: Clone>(items: &[T], fraction: f64, least: usize, rng: &mut Pcg64Mcg) -> Vec<T> {
    let mut items = items.to_vec();
    items.shuffle(rng);
    let count = (items.len() as f64 * fraction).round() as usize;
    items.truncate(count.max(least));
    items
}

/// Returns the faults of a script, each with its targets.
pub fn injected_faults(settings: &Settings, script: &Rehearsal) -> Vec<InjectedFault> {
    let faults = script.injected_faults.iter().zip(FIRST_FAULT_PURPOSE..);
    let faults = faults.map(|(fault, purpose)| {
        inject(settings, fault, &mut random_generator(script.seed, purpose))
    });
    faults.collect()
}

/// Draws the targets that the script leaves open. The draws are in the order nodes, hosts, volumes.
fn inject(settings: &Settings, fault: &FaultSpec, rng: &mut Pcg64Mcg) -> InjectedFault {
    let nodes = if fault.nodes.is_empty() {
        let in_zone = |zone: usize| fault.zone.is_none_or(|wanted| wanted == zone);
        let nodes = settings.nodes.iter().filter(|node| in_zone(node.zone));
        let nodes: Vec<u32> = nodes.map(|node| node.id).collect();
        sample(&nodes, fault.part, 1, rng)
    } else {
        fault.nodes.clone()
    };
    let hosts = if fault.hosts.is_empty() {
        let hosts: Vec<usize> = (0..settings.hosts.len()).collect();
        sample(&hosts, fault.part, 1, rng)
    } else {
        fault.hosts.clone()
    };
    let volumes: Vec<usize> = (0..settings.volumes.len()).collect();
    let volumes = sample(&volumes, (fault.part * VOLUME_FRACTION).min(1.0), 1, rng);
    InjectedFault {
        kind: fault.kind,
        start: fault.at,
        duration: fault.len,
        magnitude: fault.size,
        nodes,
        hosts,
        volumes,
    }
}

/// Returns faults of the given kinds. All of them begin in the middle third of the scenario.
pub fn faults_of_kinds(kinds: &[FaultKind], length: Duration, seed: u64) -> Vec<FaultSpec> {
    let mut rng = random_generator(seed, FAULT_KINDS_PURPOSE);
    let faults = kinds
        .iter()
        .map(|kind| fault_of_kind(*kind, length, &mut rng));
    faults.collect()
}

/// Draws one fault. The draws are in the order size, part, start, length.
fn fault_of_kind(kind: FaultKind, length: Duration, rng: &mut Pcg64Mcg) -> FaultSpec {
    let size = match kind {
        FaultKind::Slow => rng.random_range(3.0..8.0),
        FaultKind::HeavyTail => rng.random_range(8.0..24.0),
        FaultKind::DiscoveryStale | FaultKind::FeedLate => rng.random_range(2.0..6.0),
        FaultKind::Ageing => 6.0,
        FaultKind::HotKey | FaultKind::Scan => rng.random_range(3.0..8.0),
        _ => rng.random_range(0.6..1.0),
    };
    let part = if kind == FaultKind::MassRestart {
        0.4
    } else {
        rng.random_range(0.15..0.35)
    };
    let at = length.mul_f64(rng.random_range(0.3..0.4));
    let len = match kind {
        FaultKind::HostStall
        | FaultKind::HostCrash
        | FaultKind::StateCrash
        | FaultKind::StateRestored => Duration::from_secs_f64(rng.random_range(1.0..3.0)),
        _ => length.mul_f64(rng.random_range(0.25..0.4)),
    };
    FaultSpec {
        kind,
        at,
        len,
        part,
        size,
        nodes: Vec::new(),
        hosts: Vec::new(),
        zone: None,
    }
}

/// Returns a number in `0.0..1.0` that depends only on the seed and the words.
pub fn hash_to_unit(seed: u64, words: &[u64]) -> f64 {
    let hash = words.iter().fold(seed, |hash, word| {
        (hash ^ word).wrapping_mul(MIXER).rotate_left(29)
    });
    Pcg64Mcg::seed_from_u64(hash).random()
}
