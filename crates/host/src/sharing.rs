//! This host's share in the fleet's decisions, as the desk needs it.
//!
//! Called by the desk: what it takes, serves and tries goes in as it happens, what it is told of plans and of
//! the list when that changes, and `step` answers what the decisions, the peers and the log are to be told.
//! What is decided is decided in [`grebecleat_fleet`]; here is only the translation: parts of a limit become
//! a volume's terms, and a node to be avoided one that somebody wants empty.
//!
//! Memory: the terms of each volume with a limit that is shared.

use grebecleat::interface::{
    AttemptOutcome, Event, LimitQuota, NodeId, PeerId, Plan, PlanId, VolumeId, VolumeTerms,
};
use grebecleat_fleet::budget::Spans;
use grebecleat_fleet::fleet::{self, Action, Fleet, Rules};
use grebecleat_fleet::judgement::Belief;
use grebecleat_fleet::{HostNumber, Incarnation};
use grebecleat_settings::Settings;
use grebecleat_wire::clock::micros;
use grebecleat_wire::pb;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What is to be done beyond telling the decisions.
#[derive(Debug, Default)]
pub struct Out {
    pub tell: Vec<(PeerId, Vec<u8>)>,
    pub notes: Vec<String>,
    /// Nodes of which it changed whether they are avoided.
    pub changed: Vec<NodeId>,
}

#[derive(Debug)]
pub struct Sharing {
    fleet: Fleet,
    /// A volume's terms without loans, and how much of its part of the limit this host may use.
    terms: BTreeMap<VolumeId, (VolumeTerms, f64)>,
    heard: Vec<fleet::Event>,
    avoided: BTreeSet<NodeId>,
}

/// A part of the rate; the burst stays, but for a host that must use nothing.
fn limit_times(terms: VolumeTerms, times: f64) -> VolumeTerms {
    let burst_times = f64::from(u8::from(times > 0.0));
    VolumeTerms {
        limit: terms.limit.map(|quota| LimitQuota {
            rate: quota.rate * times,
            burst: quota.burst * burst_times,
        }),
        ..terms
    }
}

impl Sharing {
    /// None where the settings name no fleet, or nobody is there to tell.
    pub fn of(
        now: Duration,
        s: &Settings,
        me: usize,
        peers: &[PeerId],
        incarnation: u64,
        seed: u64,
    ) -> Option<Sharing> {
        let spec = s.fleet.filter(|_| !peers.is_empty())?;
        let rules = Rules {
            every: spec.every,
            loans: Spans {
                span: spec.loan,
                margin: spec.margin,
            },
        };
        let peers: Vec<HostNumber> = peers.iter().map(|p| HostNumber(p.0)).collect();
        let fleet = Fleet::new(
            now,
            HostNumber(me as u32),
            Incarnation(incarnation),
            peers,
            rules,
            seed,
        );
        Some(Sharing {
            fleet,
            terms: BTreeMap::new(),
            heard: Vec::new(),
            avoided: BTreeSet::new(),
        })
    }

    /// What the settings say of volumes, where no state service does.
    pub fn declared(&mut self, s: &Settings) {
        for v in &s.volumes {
            let plan: &Plan = &s.plans[v.plan].facts;
            let terms = VolumeTerms::even(PlanId(v.plan), plan, v.hosts.len());
            self.volume(
                VolumeId(v.id),
                Some(terms),
                v.hosts.iter().map(|h| HostNumber(*h as u32)).collect(),
            );
        }
    }

    /// A volume's terms as this host follows them; answers those to go by.
    pub fn volume(
        &mut self,
        volume: VolumeId,
        terms: Option<VolumeTerms>,
        sharers: BTreeSet<HostNumber>,
    ) -> Option<VolumeTerms> {
        let Some((terms, quota)) = terms.and_then(|t| Some((t, t.limit?))) else {
            self.terms.remove(&volume);
            let (volume, sharers) = (volume.0, BTreeSet::new());
            self.heard.push(fleet::Event::Volume {
                volume,
                sharers,
                limit: 0.0,
            });
            return terms;
        };
        let limit = quota.rate * terms.hosts.max(1) as f64;
        self.heard.push(fleet::Event::Volume {
            volume: volume.0,
            sharers,
            limit,
        });
        // What it may use of it stays until the fleet says otherwise, which it does in the same step.
        let times = self.terms.get(&volume).map_or(1.0, |t| t.1);
        self.terms.insert(volume, (terms, times));
        Some(limit_times(terms, times))
    }

    pub fn told(&mut self, from: PeerId, waited: Duration, bytes: &[u8]) {
        self.heard.push(fleet::Event::Told {
            from: HostNumber(from.0),
            waited,
            bytes: bytes.to_vec(),
        });
    }

    pub fn took(&mut self, volume: u64, units: f64) {
        self.heard.push(fleet::Event::Asked { volume, units });
    }

    /// Units a second that a volume is served over all hosts, by their own counts: behind, if anything.
    pub fn served(&self, now: Duration, volume: u64) -> f64 {
        self.fleet.served_everywhere(now, volume)
    }

    pub fn did(&mut self, volume: u64, units: f64) {
        self.heard.push(fleet::Event::Served { volume, units });
    }

    /// How an attempt ended; what says nothing of the node is no evidence.
    pub fn tried(&mut self, node: NodeId, end: AttemptOutcome) {
        let bad = match end {
            AttemptOutcome::Completed | AttemptOutcome::QueueFull => false,
            AttemptOutcome::Failed
            | AttemptOutcome::TimedOut
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::ConnectionReset => true,
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => return,
        };
        self.heard.push(fleet::Event::Tried { node: node.0, bad });
    }

    /// The nodes that the list and the operators have in use, with the starts of their processes.
    pub fn nodes(&mut self, nodes: BTreeMap<u32, u64>) {
        self.heard.push(fleet::Event::Nodes(nodes));
    }

    pub fn avoids(&self, node: NodeId) -> bool {
        self.avoided.contains(&node)
    }

    /// What is shown of it.
    pub fn figures(&self, now: Duration, s: &Settings, head: pb::HostMetrics) -> pb::HostMetrics {
        let name = |h: HostNumber| {
            s.hosts
                .get(h.0 as usize)
                .map_or(String::new(), |h| h.name.clone())
        };
        let peers = self.fleet.peers(now).into_iter().map(|p| pb::PeerMetrics {
            host: name(p.host),
            incarnation: p.incarnation.0,
            age_us: micros(p.age),
            tried: p.tried,
            badly: p.badly,
        });
        let parts = self.fleet.parts(now).into_iter().map(|p| pb::QuotaMetrics {
            volume: p.volume,
            sharers: p.sharers as u32,
            part: p.part,
            base: p.settled,
            lent: p.lent,
            borrowed: p.borrowed,
        });
        let beliefs =
            self.fleet
                .beliefs()
                .into_iter()
                .map(|(node, f, belief)| pb::EndpointPolicyMetrics {
                    node,
                    policy: match belief {
                        Belief::AsToday => pb::EndpointPolicy::AsToday,
                        Belief::OwnWay => pb::EndpointPolicy::OwnWay,
                        Belief::Avoid => pb::EndpointPolicy::Avoid,
                        Belief::Look => pb::EndpointPolicy::Look,
                    }
                    .into(),
                    verdict: f.verdict.name().into(),
                    well: f.well.0 as u32,
                    well_weight: f.well.1,
                    badly: f.badly.0 as u32,
                    badly_weight: f.badly.1,
                });
        let (incarnation, peers) = (self.fleet.incarnation().0, peers.collect());
        pb::HostMetrics {
            incarnation,
            peers,
            quotas: parts.collect(),
            endpoint_policies: beliefs.collect(),
            ..head
        }
    }

    /// When what this host may use next changes by itself.
    pub fn lapses_at(&self) -> Duration {
        self.fleet.parts_at()
    }

    pub fn wake_at(&self) -> Duration {
        self.fleet.wake_at()
    }

    pub fn step(&mut self, now: Duration, events: &mut Vec<Event>) -> Out {
        let mut out = Out::default();
        for action in self.fleet.step(now, std::mem::take(&mut self.heard)) {
            match action {
                Action::Tell { to, bytes } => out.tell.push((PeerId(to.0), bytes)),
                Action::Part { volume, times } => {
                    let volume = VolumeId(volume);
                    let Some((terms, before)) = self.terms.get_mut(&volume) else {
                        continue;
                    };
                    *before = times;
                    events.push(Event::VolumeChanged {
                        volume,
                        terms: Some(limit_times(*terms, times)),
                    });
                }
                Action::Belief { node, belief } => {
                    let node = NodeId(node);
                    let changed = match belief {
                        Belief::Avoid => self.avoided.insert(node),
                        _ => self.avoided.remove(&node),
                    };
                    out.changed.extend(changed.then_some(node));
                    let says = match belief {
                        Belief::Avoid => "is avoided: others find it bad",
                        Belief::Look => "is avoided by others; this host looks whether it answers",
                        Belief::OwnWay => "answers others: this host's own way there is bad",
                        Belief::AsToday => "is judged by this host alone",
                    };
                    out.notes.push(format!("node {} {says}", node.0));
                }
                Action::Note { text } => out.notes.push(text),
            }
        }
        out
    }
}

#[cfg(test)]
mod tests;
