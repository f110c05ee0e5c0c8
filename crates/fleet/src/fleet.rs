//! One host's share in what the fleet decides.
//!
//! Called as `step(now, events)` for every batch, which answers the actions; [`Fleet::wake_at`] says when it
//! must be called again. It keeps what this host has tried and served of late, says so in its entry, joins
//! the others', and tells of what changed: which part of each volume's limit this host may use, and what it
//! believes of each node. What is lost or late only leaves it where it was: with its settled parts and its
//! own evidence.
//!
//! Memory: an entry for each host, a row for each node and for each volume with a limit that is shared.

use crate::gossip_message::{GossipMessage, MAX_FACTS, MAX_SAYS};
use crate::gossip_state::{
    GossipState, HostReport, LeaseOffer, Observation, ServedUnits, VersionStamp,
};
use crate::outlier_detection::{EndpointPolicy, Finding, Observer, OutlierDetector};
use crate::quota_lease::{LeaseMessage, LeaseTerms, QuotaLeases, WHOLE_LIMIT};
use crate::{HostNumber, Incarnation};
use rand::seq::SliceRandom;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// After so long counts of a node's answers are halved: a host that sends there seldom has one attempt to tell of.
const HALF: Duration = Duration::from_secs(2);
/// How fast what is asked for follows what comes, a round; and what is asked for beyond it, so that a
/// volume's growth does not wait for every loan.
const FOLLOWS: f64 = 0.3;
const HEADROOM: f64 = 1.25;
/// Lines of the log that name one bad peer; after them it is only counted.
const LINES_A_PEER: u32 = 3;

/// Figures of the settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rules {
    /// Between two rounds.
    pub every: Duration,
    pub leases: LeaseTerms,
}

#[derive(Debug, Clone)]
pub enum Event {
    /// `waited`: on the way, as far as that is known.
    MessageReceived {
        from: HostNumber,
        waited: Duration,
        bytes: Vec<u8>,
    },
    /// The nodes of the list that are to be used, with the starts of their processes.
    NodesInUse(BTreeMap<u32, u64>),
    /// An attempt to a node ended in a way that says something of it.
    AttemptEnded {
        node: u32,
        bad: bool,
    },
    /// Units that clients asked of a volume, and that it was served, here.
    UnitsRequested {
        volume: u64,
        units: f64,
    },
    UnitsServed {
        volume: u64,
        units: f64,
    },
    /// Through which hosts a volume with a limit works, and how much that is, in units a second; no host: it
    /// has none, or works here no more.
    VolumeChanged {
        volume: u64,
        sharers: BTreeSet<HostNumber>,
        limit: f64,
    },
}

#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    Send {
        to: HostNumber,
        bytes: Vec<u8>,
    },
    /// What this host may use of a volume's limit, times its settled part of it.
    QuotaChanged {
        volume: u64,
        times: f64,
    },
    PolicyChanged {
        node: u32,
        policy: EndpointPolicy,
    },
    Log {
        text: String,
    },
}

#[derive(Debug)]
struct Shared {
    budget: QuotaLeases,
    limit: f64,
    asked: f64,
    /// Units a second that clients ask for here.
    rate: f64,
    /// The part that was told, and out of which settled part.
    told: Option<(u32, u32)>,
}

/// Attempts of late. Each answer halves what was counted of the other kind: of a node that has turned, what was
/// before says little, and of one that answers now so and now so both counts stay.
#[derive(Debug, Default, Clone, Copy)]
struct Tries {
    well: u32,
    bad: u32,
    last: Duration,
    /// When it last answered here while it was condemned.
    contradicts_ejection: Option<Duration>,
}

/// What a volume was served through one host, and how fast that grows.
#[derive(Debug, Clone, Copy)]
struct Pace {
    version: VersionStamp,
    units: u64,
    at: Duration,
    rate: f64,
}

/// What this host knows of another, for whoever shows it.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerMetrics {
    pub host: HostNumber,
    pub incarnation: Incarnation,
    pub age: Duration,
    pub tried: u32,
    pub badly: u32,
}

/// A volume's limit as this host has it now: parts of the whole.
#[derive(Debug, Clone, PartialEq)]
pub struct QuotaMetrics {
    pub volume: u64,
    pub sharers: usize,
    pub part: f64,
    pub base_quota: f64,
    pub lent: f64,
    pub borrowed: f64,
}

#[derive(Debug)]
pub struct Fleet {
    me: HostNumber,
    rules: Rules,
    common: GossipState,
    judge: OutlierDetector,
    rng: Pcg64Mcg,
    nodes: BTreeMap<u32, u64>,
    tries: BTreeMap<u32, Tries>,
    turned_at: Duration,
    volumes: BTreeMap<u64, Shared>,
    /// Units, those of them when they were last looked at, and how fast they grow.
    served: BTreeMap<u64, (f64, f64, f64)>,
    paces: BTreeMap<u64, BTreeMap<HostNumber, Pace>>,
    turned: BTreeSet<(u32, u64, bool)>,
    complaints: BTreeMap<HostNumber, u32>,
    /// Volumes whose part may have changed, and when one next changes by itself.
    stirred: BTreeSet<u64>,
    parts_at: Duration,
    out: Vec<Action>,
    lease_messages: BTreeMap<HostNumber, Vec<(u64, u32, LeaseMessage)>>,
}

impl Fleet {
    /// `incarnation`: a number that grows from start to start as far as this host can know; `seed` is new at each.
    pub fn new(
        now: Duration,
        me: HostNumber,
        incarnation: Incarnation,
        peers: Vec<HostNumber>,
        rules: Rules,
        seed: u64,
    ) -> Self {
        let hosts = peers.len() + 1;
        // Twice the time in which one host could pass on what all say.
        let each = (crate::gossip_state::GOSSIP_FANOUT * crate::gossip_message::MAX_ENTRIES) as u32;
        let within =
            crate::outlier_detection::EVIDENCE_WINDOW + rules.every * 2 * hosts as u32 / each;
        Fleet {
            me,
            rules,
            common: GossipState::new(now, me, incarnation, rules.every, peers, seed),
            judge: OutlierDetector::new(me, hosts, within, seed ^ 0x6a75),
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x666c),
            nodes: BTreeMap::new(),
            tries: BTreeMap::new(),
            turned_at: now,
            volumes: BTreeMap::new(),
            served: BTreeMap::new(),
            paces: BTreeMap::new(),
            turned: BTreeSet::new(),
            complaints: BTreeMap::new(),
            stirred: BTreeSet::new(),
            parts_at: now,
            out: Vec::new(),
            lease_messages: BTreeMap::new(),
        }
    }

    pub fn wake_at(&self) -> Duration {
        self.common.wake_at().min(self.parts_at())
    }

    /// When what this host may use of some volume next changes by itself.
    pub fn parts_at(&self) -> Duration {
        if self.volumes.is_empty() {
            Duration::MAX
        } else {
            self.parts_at
        }
    }

    pub fn step(&mut self, now: Duration, events: impl IntoIterator<Item = Event>) -> Vec<Action> {
        // What has run out while this host stood still is gone before anything else is heard or sent.
        if now >= self.parts_at {
            self.stirred.extend(self.volumes.keys());
            self.tell_parts(now);
        }
        for event in events {
            self.hear(now, event);
        }
        let due = now >= self.common.wake_at();
        if due {
            self.turn(now);
            self.tend(now);
            self.write(now);
            // News that came has brought the round near; to judge at every word would cost all sights each time.
            self.judge(now);
        }
        let (words, raised) = self.common.round(now);
        if raised {
            self.raised();
        }
        for (to, mut word) in words {
            word.lease_messages = self.says_for(to);
            self.tell(to, &word);
        }
        for to in self.lease_messages.keys().copied().collect::<Vec<_>>() {
            let (incarnation, lease_messages) = (self.common.incarnation(), self.says_for(to));
            self.tell(
                to,
                &GossipMessage {
                    incarnation,
                    requests_sync: false,
                    entries: Vec::new(),
                    lease_messages,
                },
            );
        }
        self.tell_parts(now);
        std::mem::take(&mut self.out)
    }

    fn says_for(&mut self, to: HostNumber) -> Vec<(u64, u32, LeaseMessage)> {
        let Some(lease_messages) = self.lease_messages.get_mut(&to) else {
            return Vec::new();
        };
        let rest = lease_messages.split_off(lease_messages.len().min(MAX_SAYS));
        let now = std::mem::replace(lease_messages, rest);
        self.lease_messages.retain(|_, s| !s.is_empty());
        now
    }

    fn tell(&mut self, to: HostNumber, word: &GossipMessage) {
        self.out.push(Action::Send {
            to,
            bytes: word.to_bytes(),
        });
    }

    fn say(&mut self, volume: u64, lease_messages: Vec<(HostNumber, LeaseMessage)>) {
        let Some(sharers) = self
            .volumes
            .get(&volume)
            .map(|v| v.budget.sharers().len() as u32)
        else {
            return;
        };
        for (to, say) in lease_messages {
            self.lease_messages
                .entry(to)
                .or_default()
                .push((volume, sharers, say));
        }
    }

    fn hear(&mut self, now: Duration, event: Event) {
        match event {
            Event::MessageReceived {
                from,
                waited,
                bytes,
            } => match GossipMessage::from_bytes(&bytes) {
                Ok(mut word) => {
                    word.entries.iter_mut().for_each(|e| e.age += waited);
                    self.told(now, from, &word);
                }
                Err(why) => self.complain(from, &why),
            },
            Event::NodesInUse(nodes) => {
                // Another process of a node knows nothing of what the last one did.
                let same = |node: &u32| {
                    nodes.contains_key(node) && nodes.get(node) == self.nodes.get(node)
                };
                self.tries.retain(|node, _| same(node));
                self.nodes = nodes;
            }
            Event::AttemptEnded { node, bad } => {
                let t = self.tries.entry(node).or_default();
                let (this, other) = if bad {
                    (&mut t.bad, &mut t.well)
                } else {
                    (&mut t.well, &mut t.bad)
                };
                (*this, *other) = (this.saturating_add(1), *other / 2);
                t.last = now;
                if !bad && self.judge.condemns(node) {
                    t.contradicts_ejection = Some(now);
                }
                if bad || t.contradicts_ejection == Some(now) {
                    self.write_if_turned(now, node);
                }
            }
            Event::UnitsRequested { volume, units } => {
                self.volumes
                    .get_mut(&volume)
                    .into_iter()
                    .for_each(|v| v.asked += units);
            }
            Event::UnitsServed { volume, units } => {
                self.served.entry(volume).or_default().0 += units
            }
            Event::VolumeChanged {
                volume,
                sharers,
                limit,
            } => {
                if !sharers.contains(&self.me) || sharers.len() < 2 || limit <= 0.0 {
                    if self.volumes.remove(&volume).is_some() {
                        self.out.push(Action::QuotaChanged { volume, times: 1.0 });
                    }
                    return;
                }
                let (me, incarnation, spans) =
                    (self.me, self.common.incarnation(), self.rules.leases);
                let new = || {
                    let budget = QuotaLeases::new(now, me, incarnation, spans, sharers.clone());
                    Shared {
                        budget,
                        limit,
                        asked: 0.0,
                        rate: 0.0,
                        told: None,
                    }
                };
                self.stirred.insert(volume);
                let v = self.volumes.entry(volume).or_insert_with(new);
                v.limit = limit;
                v.budget.shared_by(sharers);
            }
        }
    }

    fn told(&mut self, now: Duration, from: HostNumber, word: &GossipMessage) {
        let joined = self.common.hear(now, from, word);
        if joined.refused > 0 {
            self.complain(
                from,
                &format!(
                    "{} entries of hosts unknown here, or forgotten",
                    joined.refused
                ),
            );
        }
        if joined.raised {
            self.raised();
        }
        for host in joined.newer {
            self.pace(now, host);
        }
        for (volume, heard) in word.heard(from) {
            let Some(v) = self.volumes.get_mut(&volume) else {
                continue;
            };
            let lease_messages = v.budget.hear(now, heard);
            self.stirred.insert(volume);
            self.say(volume, lease_messages);
        }
    }

    fn raised(&mut self) {
        let incarnation = self.common.incarnation();
        self.volumes
            .values_mut()
            .for_each(|v| v.budget.lives_on(incarnation));
        self.stirred.extend(self.volumes.keys());
        self.out.push(Action::Log {
            text: format!("goes on as life {} of this host", incarnation.0),
        });
    }

    fn complain(&mut self, from: HostNumber, why: &str) {
        let lines = self.complaints.entry(from).or_default();
        *lines += 1;
        if *lines <= LINES_A_PEER {
            self.out.push(Action::Log {
                text: format!("word of host {}: {why}", from.0),
            });
        }
    }

    /// The older half of what is counted goes.
    fn turn(&mut self, now: Duration) {
        if now < self.turned_at + HALF {
            return;
        }
        let span = (now - self.turned_at).as_secs_f64();
        self.served.values_mut().for_each(|(units, before, rate)| {
            (*rate, *before) = ((*units - *before) / span, *units);
        });
        // After a stand-still all of it is old.
        let old = now >= self.turned_at + HALF * 3;
        self.turned_at = now;
        self.tries.retain(|_, t| {
            (t.well, t.bad) = (t.well / 2, t.bad / 2);
            !old && t.well + t.bad > 0
        });
    }

    fn observation(&self, now: Duration, node: u32) -> Option<Observation> {
        let (t, start) = (self.tries.get(&node)?, *self.nodes.get(&node)?);
        let contradicts_ejection = t.bad == 0
            && t.contradicts_ejection
                .is_some_and(|at| now < at + crate::outlier_detection::EVIDENCE_WINDOW);
        Some(Observation {
            node,
            start,
            sent: t.well.saturating_add(t.bad),
            bad: t.bad,
            age: now.saturating_sub(t.last),
            contradicts_ejection,
        })
    }

    fn observations(&self, now: Duration) -> impl Iterator<Item = Observation> + '_ {
        self.tries
            .keys()
            .filter_map(move |node| self.observation(now, *node))
    }

    /// What this host says of itself: of nodes first those that answer badly, then those that others say ill
    /// of and that answer here, since that is what can clear them; then what it has over, and has served.
    fn report(&self, now: Duration) -> HostReport {
        let mut observations: Vec<Observation> = self.observations(now).collect();
        let tried = observations.len() as u32;
        let badly = observations
            .iter()
            .filter(|s| crate::outlier_detection::bad(s))
            .count() as u32;
        let said_bad = |node: u32| {
            self.judge
                .findings()
                .get(&node)
                .is_some_and(|f| f.badly.0 > 0)
        };
        observations.sort_by_key(|s| {
            let rank = match () {
                _ if s.contradicts_ejection || crate::outlier_detection::bad(s) => 0,
                _ if said_bad(s.node) => 1,
                _ => 2,
            };
            (rank, std::cmp::Reverse(s.sent))
        });
        observations.truncate(MAX_FACTS);
        let spare = |(volume, v): (&u64, &Shared)| {
            let spare = v.budget.spare(now);
            (spare > 0).then_some(LeaseOffer {
                volume: *volume,
                spare,
            })
        };
        let mut offers: Vec<LeaseOffer> = self.volumes.iter().filter_map(spare).collect();
        offers.sort_by_key(|o| std::cmp::Reverse(o.spare));
        offers.truncate(MAX_FACTS);
        // The busiest: of the others the reports in answers are good enough.
        let mut served: Vec<(&u64, &(f64, f64, f64))> =
            self.served.iter().filter(|s| s.1 .2 > 0.0).collect();
        served.sort_by(|a, b| b.1 .2.total_cmp(&a.1 .2));
        let served = served.into_iter().take(MAX_FACTS);
        let served = served
            .map(|(volume, s)| ServedUnits {
                volume: *volume,
                units: s.0 as u64,
            })
            .collect();
        HostReport {
            tried,
            badly,
            observations,
            offers,
            served,
        }
    }

    fn write(&mut self, now: Duration) {
        let report = self.report(now);
        let turned = report.turned();
        // What is not said any more is no news: it is old, and nobody needs to hear that at once.
        let news = !turned.is_subset(&self.turned);
        self.turned = turned;
        self.common.write(now, report, news);
    }

    /// News that a node has begun to answer badly, or well where it was condemned, does not wait.
    fn write_if_turned(&mut self, now: Duration, node: u32) {
        let news = |s: &Observation| s.contradicts_ejection || crate::outlier_detection::bad(s);
        let news = self
            .observation(now, node)
            .filter(news)
            .map(|s| (node, s.start, s.contradicts_ejection));
        if news.is_some_and(|n| !self.turned.contains(&n)) {
            self.write(now);
        }
    }

    fn tend(&mut self, now: Duration) {
        let every = self.rules.every.as_secs_f64().max(1e-3);
        let aside = self.common.aside();
        let mut offers: BTreeMap<u64, Vec<(HostNumber, u32)>> = BTreeMap::new();
        for (host, _, report) in self.common.all(now).filter(|(h, ..)| *h != self.me) {
            for o in &report.offers {
                offers.entry(o.volume).or_default().push((host, o.spare));
            }
        }
        for volume in self.volumes.keys().copied().collect::<Vec<_>>() {
            let v = self.volumes.get_mut(&volume).expect("one of its keys");
            v.rate += FOLLOWS * (std::mem::take(&mut v.asked) / every - v.rate);
            let wanted = v.rate * HEADROOM / v.limit * f64::from(WHOLE_LIMIT);
            v.budget.want(wanted as u32);
            v.budget.yields(aside);
            self.stirred.insert(volume);
            let mut offers = offers.remove(&volume).unwrap_or_default();
            // All who need more hear of the same offers: without a shuffle all would ask the same host.
            offers.shuffle(&mut self.rng);
            offers.sort_by_key(|o| std::cmp::Reverse(o.1.max(1).ilog2()));
            let lease_messages = v.budget.tend(now, &offers);
            self.say(volume, lease_messages);
        }
    }

    fn judge(&mut self, now: Duration) {
        let own = HostReport {
            observations: self.observations(now).collect(),
            ..HostReport::default()
        };
        let others: Vec<Observer> = self
            .common
            .all(now)
            .map(|(host, age, report)| Observer { host, age, report })
            .collect();
        let changed = self.judge.judge(now, &self.nodes, &own, &others);
        for (node, belief) in changed {
            self.out.push(Action::PolicyChanged {
                node,
                policy: belief,
            });
        }
    }

    fn tell_parts(&mut self, now: Duration) {
        for volume in std::mem::take(&mut self.stirred) {
            let Some(v) = self.volumes.get_mut(&volume) else {
                continue;
            };
            let changes = v.budget.changes_at(now).unwrap_or(now + self.rules.every);
            self.parts_at = if self.parts_at <= now {
                changes
            } else {
                changes.min(self.parts_at)
            };
            let part = v.budget.part(now);
            let base_quota = v.budget.base_quota();
            if v.told != Some((part, base_quota)) {
                v.told = Some((part, base_quota));
                let times = f64::from(part) / f64::from(base_quota.max(1));
                self.out.push(Action::QuotaChanged { volume, times });
            }
        }
    }

    fn pace(&mut self, now: Duration, host: HostNumber) {
        let Some((_, version)) = self.common.versions().find(|(h, _)| *h == host) else {
            return;
        };
        let Some((_, age, report)) = self.common.all(now).find(|(h, ..)| *h == host) else {
            return;
        };
        let at = now.saturating_sub(age);
        for s in &report.served {
            let new = Pace {
                version,
                units: s.units,
                at,
                rate: 0.0,
            };
            let p = self
                .paces
                .entry(s.volume)
                .or_default()
                .entry(host)
                .or_insert(new);
            let span = at.saturating_sub(p.at).as_secs_f64();
            if p.version.incarnation != version.incarnation || s.units < p.units {
                *p = new;
            } else if span > 0.0 {
                let rate = (s.units - p.units) as f64 / span;
                *p = Pace { rate, ..new };
            }
        }
    }

    /// Units a second that a volume is served through the other hosts, by their own counts. What is behind
    /// leaves some out: it is at most what they serve, but for the last change of their pace.
    pub fn served_elsewhere(&self, now: Duration, volume: u64) -> f64 {
        let fresh = |p: &Pace| now < p.at + crate::outlier_detection::EVIDENCE_WINDOW;
        let hosts = self.paces.get(&volume).into_iter().flatten();
        hosts.filter(|(_, p)| fresh(p)).map(|(_, p)| p.rate).sum()
    }

    /// The same over all hosts, this one with them.
    pub fn served_everywhere(&self, now: Duration, volume: u64) -> f64 {
        self.served.get(&volume).map_or(0.0, |s| s.2) + self.served_elsewhere(now, volume)
    }

    pub fn peers(&self, now: Duration) -> Vec<PeerMetrics> {
        let versions: BTreeMap<HostNumber, VersionStamp> = self.common.versions().collect();
        let row = |(host, age, f): (HostNumber, Duration, &HostReport)| {
            let incarnation = versions
                .get(&host)
                .map_or(Incarnation(0), |m| m.incarnation);
            PeerMetrics {
                host,
                incarnation,
                age,
                tried: f.tried,
                badly: f.badly,
            }
        };
        self.common
            .all(now)
            .filter(|(h, ..)| *h != self.me)
            .map(row)
            .collect()
    }

    pub fn parts(&self, now: Duration) -> Vec<QuotaMetrics> {
        let of = |n: u32| f64::from(n) / f64::from(WHOLE_LIMIT);
        let row = |(volume, v): (&u64, &Shared)| {
            let (lent, borrowed) = v.budget.leases(now);
            QuotaMetrics {
                volume: *volume,
                sharers: v.budget.sharers().len(),
                part: of(v.budget.part(now)),
                base_quota: of(v.budget.base_quota()),
                lent: of(lent),
                borrowed: of(borrowed),
            }
        };
        self.volumes.iter().map(row).collect()
    }

    /// Of each node that somebody has tried: what all say, and what this host makes of it.
    pub fn policies(&self) -> Vec<(u32, Finding, EndpointPolicy)> {
        let findings = self.judge.findings();
        findings
            .iter()
            .map(|(node, f)| (*node, f.clone(), self.judge.belief(*node)))
            .collect()
    }

    pub fn policy_of(&self, node: u32) -> EndpointPolicy {
        self.judge.belief(node)
    }

    pub fn incarnation(&self) -> Incarnation {
        self.common.incarnation()
    }
}
