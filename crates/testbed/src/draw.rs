//! What a script leaves open, drawn from its seed: the same script gives the same draw in every
//! process.

use grebecleat_settings::{Kind, Rehearsal, Settings, Trouble};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// One trouble with all it strikes. Times are since the start of the rehearsal.
#[derive(Debug, Clone, PartialEq)]
pub struct InjectedFault {
    pub kind: Kind,
    pub at: Duration,
    pub len: Duration,
    pub size: f64,
    pub nodes: Vec<u32>,
    pub hosts: Vec<usize>,
    /// Places of the volumes that ask for more.
    pub volumes: Vec<usize>,
}

/// A random source of its own for each purpose, so that one more draw here changes nothing there.
pub fn source(seed: u64, purpose: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed ^ purpose.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn some<T: Clone>(of: &[T], part: f64, least: usize, rng: &mut Pcg64Mcg) -> Vec<T> {
    let mut of = of.to_vec();
    of.shuffle(rng);
    of.truncate(((of.len() as f64 * part).round() as usize).max(least));
    of
}

pub fn injected_faults(s: &Settings, r: &Rehearsal) -> Vec<InjectedFault> {
    let each = r
        .troubles
        .iter()
        .enumerate()
        .map(|(i, t)| injected_fault(s, t, &mut source(r.seed, 1000 + i as u64)));
    each.collect()
}

fn injected_fault(s: &Settings, t: &Trouble, rng: &mut Pcg64Mcg) -> InjectedFault {
    let inside = s
        .nodes
        .iter()
        .filter(|n| t.zone.is_none_or(|z| z == n.zone))
        .map(|n| n.id);
    let nodes: Vec<u32> = inside.collect();
    let nodes = if t.nodes.is_empty() {
        some(&nodes, t.part, 1, rng)
    } else {
        t.nodes.clone()
    };
    let all: Vec<usize> = (0..s.hosts.len()).collect();
    let hosts = if t.hosts.is_empty() {
        some(&all, t.part, 1, rng)
    } else {
        t.hosts.clone()
    };
    let all: Vec<usize> = (0..s.volumes.len()).collect();
    let volumes = some(&all, (t.part * 0.3).min(1.0), 1, rng);
    InjectedFault {
        kind: t.kind,
        at: t.at,
        len: t.len,
        size: t.size,
        nodes,
        hosts,
        volumes,
    }
}

/// The troubles of a day, of which only the kinds are known: all at once in its middle third.
pub fn faults_of_kinds(kinds: &[Kind], length: Duration, seed: u64) -> Vec<Trouble> {
    let mut rng = source(seed, 77);
    let each = kinds.iter().map(|kind| {
        let size = match kind {
            Kind::Slow => rng.random_range(3.0..8.0),
            Kind::HeavyTail => rng.random_range(8.0..24.0),
            Kind::DiscoveryStale | Kind::FeedLate => rng.random_range(2.0..6.0),
            Kind::Ageing => 6.0,
            Kind::HotKey | Kind::Scan => rng.random_range(3.0..8.0),
            _ => rng.random_range(0.6..1.0),
        };
        let part = if *kind == Kind::MassRestart {
            0.4
        } else {
            rng.random_range(0.15..0.35)
        };
        let at = length.mul_f64(rng.random_range(0.3..0.4));
        let len = match kind {
            Kind::HostStall | Kind::HostCrash | Kind::StateCrash | Kind::StateRestored => {
                Duration::from_secs_f64(rng.random_range(1.0..3.0))
            }
            _ => length.mul_f64(rng.random_range(0.25..0.4)),
        };
        let (nodes, hosts, zone) = (Vec::new(), Vec::new(), None);
        Trouble {
            kind: *kind,
            at,
            len,
            part,
            size,
            nodes,
            hosts,
            zone,
        }
    });
    each.collect()
}

/// A number in one that depends on the words alone.
pub fn hash_to_unit(seed: u64, words: &[u64]) -> f64 {
    let mix = words.iter().fold(seed, |h, w| {
        (h ^ w).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29)
    });
    Pcg64Mcg::seed_from_u64(mix).random()
}
