//! What all hosts' evidence says of a node, and what this host makes of it.
//!
//! Called by the fleet's step: [`Judge::judge`] with what this host has tried and what others say that they
//! have; it answers the nodes of which this host's belief has changed. Free of time but for `now`.
//!
//! Evidence is what hosts tried themselves, of one process of the node, not older than [`EVIDENCE`]. Each
//! host's weighs as much as it sent, up to a bound, damped by how badly it finds *other* nodes that its peers
//! find well: whoever finds everything bad is itself ill (Lifeguard, Dadgar 2018). It fades with its age.
//! A node is condemned by [`SIDES`] hosts at least and twice the weight that speaks for it; where at most
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
//! own; never by silence, so some must look: each host draws, once in [`LOOK`], whether it looks, so that
//! [`LOOKERS`] of all do on average. The exception is a host that hears too few: after [`LAPSE`] what it was
//! told is nothing any more, and it finds out by itself as one alone.

use crate::shared::{Facts, Sight};
use crate::HostNumber;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Well over the time in which news is with all hosts, and under that in which a node starts anew.
pub const EVIDENCE: Duration = Duration::from_secs(4);
pub const SIDES: usize = 3;
pub const LOOK: Duration = Duration::from_secs(1);
pub const LOOKERS: f64 = 2.0;
pub const LAPSE: Duration = Duration::from_secs(5);
/// Attempts that one host's evidence weighs at most: a busy host is still one side.
const MAX_WEIGHT: f64 = 8.0;
/// Of all nodes that are tried, as a panic threshold.
const TOO_MUCH: f64 = 0.5;
/// Attempts of its own in a row of bad ones, below which a host says nothing of its own way.
const LEAST_OWN: u32 = 2;

/// Whether a sight speaks against its node; a node that is merely slow or full answers.
pub fn bad(s: &Sight) -> bool {
    s.bad * 2 > s.sent
}

/// Whether it speaks for it.
pub fn good(s: &Sight) -> bool {
    s.sent > s.bad && s.bad * 4 <= s.sent
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nobody, or too few, have tried it of late.
    Unknown,
    Well,
    /// Some reach it and some do not: the ways there are bad, not the node.
    Split,
    Condemned,
    /// It would be condemned, but so would too much, or too few are heard.
    Doubted,
}

impl Verdict {
    pub fn name(self) -> &'static str {
        match self {
            Verdict::Unknown => "unknown",
            Verdict::Well => "well",
            Verdict::Split => "split",
            Verdict::Condemned => "condemned",
            Verdict::Doubted => "doubted",
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Belief {
    /// As a host without peers.
    AsToday,
    /// Others reach it: it is this host's way there that is bad.
    OwnWay,
    /// Nothing goes there.
    Avoid,
    /// It is condemned, and it is this host's turn to look.
    Look,
}

/// What one host says of nodes.
#[derive(Debug, Clone)]
pub struct Witness<'a> {
    pub host: HostNumber,
    pub age: Duration,
    pub facts: &'a Facts,
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
pub struct Judge {
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
    told: BTreeMap<u32, Belief>,
    findings: BTreeMap<u32, Finding>,
}

/// How sound each host is, from how it and the others find the same nodes.
pub fn soundness(sights: &BTreeMap<u32, Vec<(HostNumber, Sight)>>) -> BTreeMap<HostNumber, f64> {
    let mut tally: BTreeMap<HostNumber, (f64, f64)> = BTreeMap::new();
    for all in sights.values() {
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

impl Judge {
    pub fn new(me: HostNumber, fleet: usize, heard_within: Duration, seed: u64) -> Self {
        Judge {
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

    pub fn belief(&self, node: u32) -> Belief {
        self.told.get(&node).copied().unwrap_or(Belief::AsToday)
    }

    /// `nodes`: those of the list, with their starts. `own` are this host's sights, `others` what its peers say.
    pub fn judge(
        &mut self,
        now: Duration,
        nodes: &BTreeMap<u32, u64>,
        own: &Facts,
        others: &[Witness],
    ) -> Vec<(u32, Belief)> {
        let (me, fleet) = (self.me, self.fleet);
        let fresh = others
            .iter()
            .filter(|w| w.host != me)
            .map(|w| (w.host, w.age, w.facts));
        let heard = others
            .iter()
            .filter(|w| w.age < self.heard_within && w.host != me)
            .map(|w| w.host);
        let heard = 1 + heard.collect::<BTreeSet<_>>().len();
        let mut sights: BTreeMap<u32, Vec<(HostNumber, Sight)>> = BTreeMap::new();
        let facts = fresh.chain([(me, Duration::ZERO, own)]);
        for (host, age, s) in
            facts.flat_map(|(h, age, f)| f.sights.iter().map(move |s| (h, age, *s)))
        {
            let ago = s.ago + age;
            if nodes.get(&s.node) == Some(&s.start) && ago < EVIDENCE {
                sights
                    .entry(s.node)
                    .or_default()
                    .push((host, Sight { ago, ..s }));
            }
        }
        let sound = soundness(&sights);
        let weight = |h: &HostNumber, s: &Sight| {
            let fresh = 1.0 - s.ago.as_secs_f64() / EVIDENCE.as_secs_f64();
            f64::from(s.sent).min(MAX_WEIGHT) * fresh * sound.get(h).copied().unwrap_or(1.0)
        };
        let sides = SIDES.min(fleet.saturating_sub(1)).max(2);
        self.findings.clear();
        for (node, all) in &sights {
            let sum = |of: &dyn Fn(&Sight) -> bool| {
                let some = all.iter().filter(|(_, s)| of(s));
                (
                    some.clone().count(),
                    some.map(|(h, s)| weight(h, s)).sum::<f64>(),
                )
            };
            let (well, badly) = (sum(&good), sum(&bad));
            let verdict = match () {
                _ if badly.0 >= sides && badly.1 >= 2.0 * well.1 && badly.1 > 0.0 => {
                    Verdict::Condemned
                }
                _ if badly.0 > 0 && well.0 > 0 => Verdict::Split,
                _ if well.0 > 0 => Verdict::Well,
                _ => Verdict::Unknown,
            };
            let last = |of: &dyn Fn(&Sight) -> bool| {
                let ago = all.iter().filter(|(_, s)| of(s)).map(|(_, s)| s.ago).min();
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
        let known = sights.len()
            + self
                .condemned
                .keys()
                .filter(|n| !sights.contains_key(n))
                .count();
        let is = |f: &Finding| f.verdict == Verdict::Condemned;
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
                .filter(|f| f.verdict == Verdict::Condemned);
            doubted.for_each(|f| f.verdict = Verdict::Doubted);
        }
        self.uphold(now, nodes, few);
        self.believe(now, nodes, own)
    }

    fn uphold(&mut self, now: Duration, nodes: &BTreeMap<u32, u64>, few: bool) {
        for (node, f) in &self.findings {
            match f.verdict {
                Verdict::Condemned => {
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
                Verdict::Well | Verdict::Split => {
                    let since = |c: &mut Condemned| f.last.0.is_some_and(|well| well > c.seen);
                    let cleared = self.condemned.get_mut(node).is_some_and(since);
                    cleared.then(|| self.condemned.remove(node));
                }
                Verdict::Unknown | Verdict::Doubted => {}
            }
        }
        let findings = &self.findings;
        self.condemned.retain(|node, c| {
            let doubted = findings
                .get(node)
                .is_some_and(|f| f.verdict == Verdict::Doubted);
            // Silence upholds it where the others are heard: somebody is looking.
            if !few && !doubted {
                c.upheld = now;
            }
            nodes.get(node) == Some(&c.start) && now < c.upheld + LAPSE
        });
    }

    fn believe(
        &mut self,
        now: Duration,
        nodes: &BTreeMap<u32, u64>,
        own: &Facts,
    ) -> Vec<(u32, Belief)> {
        let chance = (LOOKERS / self.fleet.max(1) as f64).min(1.0);
        let (condemned, rng) = (&self.condemned, &mut self.rng);
        self.looks.retain(|node, _| condemned.contains_key(node));
        for node in condemned.keys() {
            let due = self.looks.get(node).is_none_or(|(until, _)| now >= *until);
            if due {
                // At other moments on each host, or all who look would look at one.
                let until = now + LOOK.mul_f64(0.5 + rng.random::<f64>());
                self.looks
                    .insert(*node, (until, rng.random::<f64>() < chance));
            }
        }
        let mut changed = Vec::new();
        for node in nodes.keys() {
            let mine = own
                .sights
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
                _ if fine => Belief::AsToday,
                (true, _) if self.looks.get(node).is_some_and(|l| l.1) => Belief::Look,
                (true, _) => Belief::Avoid,
                (false, Some(Verdict::Well | Verdict::Split)) if ill => Belief::OwnWay,
                _ => Belief::AsToday,
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
