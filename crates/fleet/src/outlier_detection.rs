//! What all hosts' evidence says of a node, and what this host makes of it.
//!
//! Called by the fleet's step: [`OutlierDetector::judge`] with what this host has tried and what others say that they
//! have; it answers the nodes of which this host's belief has changed. Free of time but for `now`.
//!
//! Evidence is what hosts tried themselves, of one process of the node, not older than [`EVIDENCE_WINDOW`]. Each
//! host's weighs as much as it sent, up to a bound, damped by how badly it finds *other* nodes that its peers
//! find well: whoever finds everything bad is itself ill (Lifeguard, Dadgar 2018). It fades with its age.
//! A node is condemned by [`MIN_OBSERVERS`] hosts at least and twice the weight that speaks for it; where at most
//! half of the hosts are heard, or too much is condemned, the judgement is doubted and this host is left to itself.
//!
//! | this host's own evidence | all evidence | belief |
//! | --- | --- | --- |
//! | answers well | any | `AsToday` |
//! | answers badly | well, split | `OwnWay`: the module's own ease and row of bad answers say the rest |
//! | answers badly | condemned | `Avoid`, or `Look` in turn |
//! | answers badly | too little, doubted | `AsToday` |
//! | none, or old | condemned | `Avoid`, or `Look` in turn |
//! | none, or old | anything else | `AsToday` |
//!
//! Condemned is cleared by newer evidence that it answers, by another start of the node, or by this host's
//! own; never by silence, so some must look: each host draws, once in [`PROBE_INTERVAL`], whether it looks, so that
//! [`PROBERS`] of all do on average. The exception is a host that hears too few: after [`EJECTION_TIMEOUT`] what it was
//! told is nothing any more, and it finds out by itself as one alone.

use crate::gossip_state::{HostReport, Observation};
use crate::HostNumber;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Well over the time in which news is with all hosts, and under that in which a node starts anew.
pub const EVIDENCE_WINDOW: Duration = Duration::from_secs(4);
pub const MIN_OBSERVERS: usize = 3;
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);
pub const PROBERS: f64 = 2.0;
pub const EJECTION_TIMEOUT: Duration = Duration::from_secs(5);
/// Attempts that one host's evidence weighs at most: a busy host is still one side.
const MAX_WEIGHT: f64 = 8.0;
/// Of all nodes that are tried, as a panic threshold.
const TOO_MUCH: f64 = 0.5;
/// Attempts of its own in a row of bad ones, below which a host says nothing of its own way.
const LEAST_OWN: u32 = 2;

/// Whether a sight speaks against its node; a node that is merely slow or full answers.
pub fn bad(s: &Observation) -> bool {
    s.bad * 2 > s.sent
}

/// Whether it speaks for it.
pub fn good(s: &Observation) -> bool {
    s.sent > s.bad && s.bad * 4 <= s.sent
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nobody, or too few, have tried it of late.
    Unknown,
    Healthy,
    /// Some reach it and some do not: the ways there are bad, not the node.
    Split,
    Ejected,
    /// It would be condemned, but so would too much, or too few are heard.
    Distrusted,
}

impl Verdict {
    pub fn name(self) -> &'static str {
        match self {
            Verdict::Unknown => "unknown",
            Verdict::Healthy => "well",
            Verdict::Split => "split",
            Verdict::Ejected => "condemned",
            Verdict::Distrusted => "doubted",
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointPolicy {
    /// As a host without peers.
    OwnEvidence,
    /// Others reach it: it is this host's way there that is bad.
    BadPath,
    /// Nothing goes there.
    Avoid,
    /// It is condemned, and it is this host's turn to look.
    Probe,
}

/// What one host says of nodes.
#[derive(Debug, Clone)]
pub struct Observer<'a> {
    pub host: HostNumber,
    pub age: Duration,
    pub report: &'a HostReport,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    pub verdict: Verdict,
    /// Hosts and weights for it and against it.
    pub well: (usize, f64),
    pub badly: (usize, f64),
    /// When the last of either was seen.
    pub last: (Option<Duration>, Option<Duration>),
}

#[derive(Debug, Clone)]
struct Condemned {
    start: u64,
    /// When the last evidence against it was seen.
    seen: Duration,
    /// When this host last had a verdict on it that was not doubted.
    upheld: Duration,
}

#[derive(Debug)]
pub struct OutlierDetector {
    me: HostNumber,
    /// How many hosts there are.
    fleet: usize,
    /// How old the last word of one may be that counts as heard: in a large fleet all words take longer to come
    /// round than news.
    heard_within: Duration,
    rng: Pcg64Mcg,
    condemned: BTreeMap<u32, Condemned>,
    /// Those that it looks at, and until when; and until when it does not.
    looks: BTreeMap<u32, (Duration, bool)>,
    told: BTreeMap<u32, EndpointPolicy>,
    findings: BTreeMap<u32, Finding>,
}

/// How sound each host is, from how it and the others find the same nodes.
pub fn soundness(
    observations: &BTreeMap<u32, Vec<(HostNumber, Observation)>>,
) -> BTreeMap<HostNumber, f64> {
    let mut tally: BTreeMap<HostNumber, (f64, f64)> = BTreeMap::new();
    for all in observations.values() {
        let well = all.iter().filter(|(_, s)| good(s)).count();
        for (host, s) in all {
            let others_well = well - usize::from(good(s));
            let alone = bad(s) && others_well > all.len() / 2;
            let t = tally.entry(*host).or_default();
            (t.0, t.1) = (t.0 + 1.0, t.1 + f64::from(u8::from(alone)));
        }
    }
    let sound = |(tried, alone): (f64, f64)| (1.0 - alone / tried).powi(2);
    tally.into_iter().map(|(h, t)| (h, sound(t))).collect()
}

impl OutlierDetector {
    pub fn new(me: HostNumber, fleet: usize, heard_within: Duration, seed: u64) -> Self {
        OutlierDetector {
            me,
            fleet,
            heard_within,
            rng: Pcg64Mcg::seed_from_u64(seed),
            condemned: BTreeMap::new(),
            looks: BTreeMap::new(),
            told: BTreeMap::new(),
            findings: BTreeMap::new(),
        }
    }

    pub fn findings(&self) -> &BTreeMap<u32, Finding> {
        &self.findings
    }

    pub fn condemns(&self, node: u32) -> bool {
        self.condemned.contains_key(&node)
    }

    pub fn belief(&self, node: u32) -> EndpointPolicy {
        self.told
            .get(&node)
            .copied()
            .unwrap_or(EndpointPolicy::OwnEvidence)
    }

    /// `nodes`: those of the list, with their starts. `own` are this host's sights, `others` what its peers say.
    pub fn judge(
        &mut self,
        now: Duration,
        nodes: &BTreeMap<u32, u64>,
        own: &HostReport,
        others: &[Observer],
    ) -> Vec<(u32, EndpointPolicy)> {
        let (me, fleet) = (self.me, self.fleet);
        let fresh = others
            .iter()
            .filter(|w| w.host != me)
            .map(|w| (w.host, w.age, w.report));
        let heard = others
            .iter()
            .filter(|w| w.age < self.heard_within && w.host != me)
            .map(|w| w.host);
        let heard = 1 + heard.collect::<BTreeSet<_>>().len();
        let mut observations: BTreeMap<u32, Vec<(HostNumber, Observation)>> = BTreeMap::new();
        let report = fresh.chain([(me, Duration::ZERO, own)]);
        for (host, age, s) in
            report.flat_map(|(h, age, f)| f.observations.iter().map(move |s| (h, age, *s)))
        {
            let ago = s.age + age;
            if nodes.get(&s.node) == Some(&s.start) && ago < EVIDENCE_WINDOW {
                observations
                    .entry(s.node)
                    .or_default()
                    .push((host, Observation { age: ago, ..s }));
            }
        }
        let sound = soundness(&observations);
        let weight = |h: &HostNumber, s: &Observation| {
            let fresh = 1.0 - s.age.as_secs_f64() / EVIDENCE_WINDOW.as_secs_f64();
            f64::from(s.sent).min(MAX_WEIGHT) * fresh * sound.get(h).copied().unwrap_or(1.0)
        };
        let sides = MIN_OBSERVERS.min(fleet.saturating_sub(1)).max(2);
        self.findings.clear();
        for (node, all) in &observations {
            let sum = |of: &dyn Fn(&Observation) -> bool| {
                let some = all.iter().filter(|(_, s)| of(s));
                (
                    some.clone().count(),
                    some.map(|(h, s)| weight(h, s)).sum::<f64>(),
                )
            };
            let (well, badly) = (sum(&good), sum(&bad));
            let verdict = match () {
                _ if badly.0 >= sides && badly.1 >= 2.0 * well.1 && badly.1 > 0.0 => {
                    Verdict::Ejected
                }
                _ if badly.0 > 0 && well.0 > 0 => Verdict::Split,
                _ if well.0 > 0 => Verdict::Healthy,
                _ => Verdict::Unknown,
            };
            let last = |of: &dyn Fn(&Observation) -> bool| {
                let ago = all.iter().filter(|(_, s)| of(s)).map(|(_, s)| s.age).min();
                ago.map(|ago| now.saturating_sub(ago))
            };
            let last = (last(&good), last(&bad));
            self.findings.insert(
                *node,
                Finding {
                    verdict,
                    well,
                    badly,
                    last,
                },
            );
        }
        let few = heard * 2 <= fleet;
        let known = observations.len()
            + self
                .condemned
                .keys()
                .filter(|n| !observations.contains_key(n))
                .count();
        let is = |f: &Finding| f.verdict == Verdict::Ejected;
        let held = self
            .condemned
            .keys()
            .filter(|n| self.findings.get(n).is_none_or(|f| !is(f)))
            .count();
        let bad_now = held + self.findings.values().filter(|f| is(f)).count();
        if few || bad_now as f64 > TOO_MUCH * known as f64 {
            let doubted = self
                .findings
                .values_mut()
                .filter(|f| f.verdict == Verdict::Ejected);
            doubted.for_each(|f| f.verdict = Verdict::Distrusted);
        }
        self.uphold(now, nodes, few);
        self.believe(now, nodes, own)
    }

    fn uphold(&mut self, now: Duration, nodes: &BTreeMap<u32, u64>, few: bool) {
        for (node, f) in &self.findings {
            match f.verdict {
                Verdict::Ejected => {
                    let (start, seen) = (nodes[node], f.last.1.unwrap_or(now));
                    self.condemned.insert(
                        *node,
                        Condemned {
                            start,
                            seen,
                            upheld: now,
                        },
                    );
                }
                // Evidence that it answers, and of later than what condemned it: what hosts found before it
                // failed is on its way for some time yet.
                Verdict::Healthy | Verdict::Split => {
                    let since = |c: &mut Condemned| f.last.0.is_some_and(|well| well > c.seen);
                    let cleared = self.condemned.get_mut(node).is_some_and(since);
                    cleared.then(|| self.condemned.remove(node));
                }
                Verdict::Unknown | Verdict::Distrusted => {}
            }
        }
        let findings = &self.findings;
        self.condemned.retain(|node, c| {
            let doubted = findings
                .get(node)
                .is_some_and(|f| f.verdict == Verdict::Distrusted);
            // Silence upholds it where the others are heard: somebody is looking.
            if !few && !doubted {
                c.upheld = now;
            }
            nodes.get(node) == Some(&c.start) && now < c.upheld + EJECTION_TIMEOUT
        });
    }

    fn believe(
        &mut self,
        now: Duration,
        nodes: &BTreeMap<u32, u64>,
        own: &HostReport,
    ) -> Vec<(u32, EndpointPolicy)> {
        let chance = (PROBERS / self.fleet.max(1) as f64).min(1.0);
        let (condemned, rng) = (&self.condemned, &mut self.rng);
        self.looks.retain(|node, _| condemned.contains_key(node));
        for node in condemned.keys() {
            let due = self.looks.get(node).is_none_or(|(until, _)| now >= *until);
            if due {
                // At other moments on each host, or all who look would look at one.
                let until = now + PROBE_INTERVAL.mul_f64(0.5 + rng.random::<f64>());
                self.looks
                    .insert(*node, (until, rng.random::<f64>() < chance));
            }
        }
        let mut changed = Vec::new();
        for node in nodes.keys() {
            let mine = own
                .observations
                .iter()
                .find(|s| s.node == *node && nodes[node] == s.start);
            let (fine, ill) = (
                mine.is_some_and(good),
                mine.is_some_and(|s| bad(s) && s.bad >= LEAST_OWN),
            );
            let belief = match (
                self.condemned.contains_key(node),
                self.findings.get(node).map(|f| f.verdict),
            ) {
                _ if fine => EndpointPolicy::OwnEvidence,
                (true, _) if self.looks.get(node).is_some_and(|l| l.1) => EndpointPolicy::Probe,
                (true, _) => EndpointPolicy::Avoid,
                (false, Some(Verdict::Healthy | Verdict::Split)) if ill => EndpointPolicy::BadPath,
                _ => EndpointPolicy::OwnEvidence,
            };
            if self.belief(*node) != belief {
                self.told.insert(*node, belief);
                changed.push((*node, belief));
            }
        }
        self.told.retain(|node, _| nodes.contains_key(node));
        changed
    }
}
