//! This host's part in the coordination among hosts: quotas of shared limits, and outlier detection.
//!
//! Called by the router: with each request that arrives or completes, with each attempt that ends,
//! and when plans or the endpoint list change. [`QuotaSharing::step`] returns the events for the
//! scheduler, the messages to peers and the events for the log. [`grebecleat_coordination`] makes the
//! decisions; this module translates them: a quota of a limit becomes the terms of a volume, and a
//! node to be avoided becomes one that drains. State: the terms of each volume with a shared limit,
//! and the nodes to be avoided.
//!
//! Memory: one entry for each volume with a shared limit, and one for each avoided node.

use crate::log_event::LogEvent;
use grebecleat_coordination::coordinator::{Coordinator, NodePolicy};
use grebecleat_coordination::events::{self, Action, Rules};
use grebecleat_coordination::lease_message::LeaseTerms;
use grebecleat_coordination::outlier_detection::EndpointPolicy;
use grebecleat_coordination::{HostNumber, Incarnation};
use grebecleat_scheduler::api::{
    AttemptOutcome, Event, LimitQuota, NodeId, PeerId, Plan, PlanId, VolumeId, VolumeTerms,
};
use grebecleat_settings::Settings;
use grebecleat_wire::clock::micros;
use grebecleat_wire::pb;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The outcome of a step, apart from the events for the scheduler.
#[derive(Debug, Default)]
pub struct SharingOutcome {
    /// Messages to peers.
    pub messages: Vec<(PeerId, Vec<u8>)>,
    /// Events for the log.
    pub log: Vec<LogEvent>,
    /// Nodes that are avoided since this step, or no longer.
    pub changed_nodes: Vec<NodeId>,
}

/// A volume whose limit several hosts share.
#[derive(Debug, Clone, Copy)]
struct SharedVolume {
    /// Its terms if all hosts have equal quotas.
    terms: VolumeTerms,
    /// The fraction of the equal quota that this host may use: over 1 where other hosts have leased
    /// theirs to it.
    times: f64,
}

/// This host's part in the coordination among hosts.
#[derive(Debug)]
pub struct QuotaSharing {
    fleet: Coordinator,
    volumes: BTreeMap<VolumeId, SharedVolume>,
    pending: Vec<events::Event>,
    avoided: BTreeSet<NodeId>,
}

/// Returns terms with `times` the rate. The burst stays, but for a host that may use nothing.
fn scaled_limit(terms: VolumeTerms, times: f64) -> VolumeTerms {
    let burst_times = f64::from(u8::from(times > 0.0));
    VolumeTerms {
        limit: terms.limit.map(|quota| LimitQuota {
            rate: quota.rate * times,
            burst: quota.burst * burst_times,
        }),
        ..terms
    }
}

impl QuotaSharing {
    /// Returns None if the settings configure no fleet, or there are no peers.
    pub fn of(
        now: Duration,
        settings: &Settings,
        host_index: usize,
        peers: &[PeerId],
        incarnation: u64,
        seed: u64,
    ) -> Option<QuotaSharing> {
        let spec = settings.fleet.filter(|_| !peers.is_empty())?;
        let rules = Rules {
            interval: spec.every,
            leases: LeaseTerms {
                duration: spec.loan,
                margin: spec.margin,
            },
        };
        let peers: Vec<HostNumber> = peers.iter().map(|peer| HostNumber(peer.0)).collect();
        let fleet = Coordinator::new(
            now,
            HostNumber(host_index as u32),
            Incarnation(incarnation),
            peers,
            rules,
            seed,
        );
        Some(QuotaSharing {
            fleet,
            volumes: BTreeMap::new(),
            pending: Vec::new(),
            avoided: BTreeSet::new(),
        })
    }

    /// Applies the volumes that the settings declare, where this host follows no state service.
    pub fn declared(&mut self, settings: &Settings) {
        for volume in &settings.volumes {
            let plan: &Plan = &settings.plans[volume.plan].facts;
            let terms = VolumeTerms::even(PlanId(volume.plan), plan, volume.hosts.len());
            let hosts = volume.hosts.iter().map(|host| HostNumber(*host as u32));
            self.volume_changed(VolumeId(volume.id), Some(terms), hosts.collect());
        }
    }

    /// Applies the terms of a volume from the catalog, and returns the terms for the scheduler.
    /// `hosts` are the hosts through which the volume works.
    pub fn volume_changed(
        &mut self,
        volume: VolumeId,
        terms: Option<VolumeTerms>,
        hosts: BTreeSet<HostNumber>,
    ) -> Option<VolumeTerms> {
        let limited = terms.and_then(|terms| Some((terms, terms.limit?)));
        let Some((terms, quota)) = limited else {
            self.volumes.remove(&volume);
            self.pending.push(events::Event::VolumeChanged {
                volume: volume.0,
                sharers: BTreeSet::new(),
                limit: 0.0,
            });
            return terms;
        };
        self.pending.push(events::Event::VolumeChanged {
            volume: volume.0,
            sharers: hosts,
            limit: quota.rate * terms.hosts.max(1) as f64,
        });
        // The quota stays until the coordination changes it, which it does in the same step.
        let times = self.volumes.get(&volume).map_or(1.0, |shared| shared.times);
        self.volumes.insert(volume, SharedVolume { terms, times });
        Some(scaled_limit(terms, times))
    }

    /// Records a message of a peer, which was on its way for `transit_time`.
    pub fn message_received(&mut self, from: PeerId, transit_time: Duration, bytes: &[u8]) {
        self.pending.push(events::Event::MessageReceived {
            from: HostNumber(from.0),
            waited: transit_time,
            bytes: bytes.to_vec(),
        });
    }

    /// Counts a request of a volume that has arrived.
    pub fn request_received(&mut self, volume: u64, units: f64) {
        self.pending
            .push(events::Event::UnitsRequested { volume, units });
    }

    /// Returns the units a second that all hosts together serve of a volume, by their own counts. The
    /// counts arrive with a delay, so a rising figure is too low rather than too high.
    pub fn served_everywhere(&self, now: Duration, volume: u64) -> f64 {
        self.fleet.served_everywhere(now, volume)
    }

    /// Counts a request of a volume that has completed.
    pub fn request_completed(&mut self, volume: u64, units: f64) {
        self.pending
            .push(events::Event::UnitsServed { volume, units });
    }

    /// Records the outcome of an attempt. An outcome that does not depend on the node is no evidence.
    pub fn attempt_ended(&mut self, node: NodeId, outcome: AttemptOutcome) {
        let bad = match outcome {
            AttemptOutcome::Completed | AttemptOutcome::QueueFull => false,
            AttemptOutcome::Failed
            | AttemptOutcome::TimedOut
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::ConnectionReset => true,
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => return,
        };
        self.pending
            .push(events::Event::AttemptEnded { node: node.0, bad });
    }

    /// Records the nodes that the endpoint list and the operators have in service, with the starts of
    /// their processes.
    pub fn nodes_in_use(&mut self, nodes: BTreeMap<u32, u64>) {
        self.pending.push(events::Event::NodesInUse(nodes));
    }

    /// Returns whether all hosts are to avoid the node.
    pub fn is_avoided(&self, node: NodeId) -> bool {
        self.avoided.contains(&node)
    }

    /// Adds peers, quotas and the findings of outlier detection to the metrics of this host.
    pub fn metrics(
        &self,
        now: Duration,
        settings: &Settings,
        head: pb::HostMetrics,
    ) -> pb::HostMetrics {
        let host_name = |host: HostNumber| {
            let host = settings.hosts.get(host.0 as usize);
            host.map(|host| host.name.clone()).unwrap_or_default()
        };
        let peers = self.fleet.peers(now).into_iter();
        let quotas = self.fleet.quotas(now).into_iter();
        pb::HostMetrics {
            incarnation: self.fleet.incarnation().0,
            peers: peers
                .map(|peer| pb::PeerMetrics {
                    host: host_name(peer.host),
                    incarnation: peer.incarnation.0,
                    age_us: micros(peer.age),
                    tried: peer.tried,
                    badly: peer.bad,
                })
                .collect(),
            quotas: quotas
                .map(|quota| pb::QuotaMetrics {
                    volume: quota.volume,
                    sharers: quota.sharers as u32,
                    part: quota.quota,
                    base: quota.base_quota,
                    lent: quota.granted,
                    borrowed: quota.borrowed,
                })
                .collect(),
            endpoint_policies: self.endpoint_policies(),
            ..head
        }
    }

    fn endpoint_policies(&self) -> Vec<pb::EndpointPolicyMetrics> {
        let policies = self.fleet.policies().into_iter();
        let metrics = policies.map(
            |NodePolicy {
                 node,
                 finding,
                 policy,
             }| pb::EndpointPolicyMetrics {
                node,
                policy: match policy {
                    EndpointPolicy::OwnEvidence => pb::EndpointPolicy::AsToday,
                    EndpointPolicy::BadPath => pb::EndpointPolicy::OwnWay,
                    EndpointPolicy::Avoid => pb::EndpointPolicy::Avoid,
                    EndpointPolicy::Probe => pb::EndpointPolicy::Look,
                }
                .into(),
                verdict: finding.verdict.name().into(),
                well: finding.good.hosts as u32,
                well_weight: finding.good.weight,
                badly: finding.bad.hosts as u32,
                badly_weight: finding.bad.weight,
            },
        );
        metrics.collect()
    }

    /// Returns when a quota of this host next changes with time alone.
    pub fn quota_changes_at(&self) -> Duration {
        self.fleet.quotas_change_at()
    }

    /// Returns when `step` must be called again if nothing happens before.
    pub fn wake_at(&self) -> Duration {
        self.fleet.wake_at()
    }

    /// Handles the events since the last call, and adds the events for the scheduler to `events`.
    pub fn step(&mut self, now: Duration, events: &mut Vec<Event>) -> SharingOutcome {
        let mut outcome = SharingOutcome::default();
        for action in self.fleet.step(now, std::mem::take(&mut self.pending)) {
            match action {
                Action::Send { to, bytes } => outcome.messages.push((PeerId(to.0), bytes)),
                Action::QuotaChanged { volume, times } => {
                    events.extend(self.quota_changed(VolumeId(volume), times));
                }
                Action::PolicyChanged { node, policy } => {
                    self.policy_changed(NodeId(node), policy, &mut outcome)
                }
                Action::Log { notice } => outcome.log.push(LogEvent::Coordination(notice)),
            }
        }
        outcome
    }

    fn quota_changed(&mut self, volume: VolumeId, times: f64) -> Option<Event> {
        let shared = self.volumes.get_mut(&volume)?;
        shared.times = times;
        let terms = Some(scaled_limit(shared.terms, times));
        Some(Event::VolumeChanged { volume, terms })
    }

    fn policy_changed(
        &mut self,
        node: NodeId,
        policy: EndpointPolicy,
        outcome: &mut SharingOutcome,
    ) {
        let changed = match policy {
            EndpointPolicy::Avoid => self.avoided.insert(node),
            _ => self.avoided.remove(&node),
        };
        if changed {
            outcome.changed_nodes.push(node);
        }
        outcome.log.push(LogEvent::EndpointPolicy { node, policy });
    }
}

#[cfg(test)]
mod tests;
