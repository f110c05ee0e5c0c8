//! The coordination among hosts as seen by this host: its quotas of shared limits, and outlier detection.
//!
//! The router reports each request that arrives or completes, each attempt that ends, and each change
//! of the plans or the endpoint list. [`QuotaSharing::step`] returns the events for the scheduler, the
//! messages to peers and the events for the log. [`grebecleat_coordination`] makes the decisions; this
//! module translates them for the scheduler: the quota of a limit becomes the terms of a volume, and a
//! node to be avoided is treated as one that drains. State: the terms of each volume with a shared limit,
//! and the nodes to be avoided.
//!
//! Memory: one entry for each volume with a shared limit, and one for each avoided node.

use crate::log_event::LogEvent;
use grebecleat_coordination::coordinator::{Coordinator, NodePolicy};
use grebecleat_coordination::events::{self, Action, CoordinationSettings};
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

/// The result of a step, apart from the events for the scheduler.
#[derive(Debug, Default)]
pub struct SharingOutcome {
    /// Messages to peers.
    pub messages: Vec<(PeerId, Vec<u8>)>,
    /// Events for the log.
    pub log: Vec<LogEvent>,
    /// Nodes that this step has started or ceased to avoid.
    pub changed_nodes: Vec<NodeId>,
}

/// A volume whose limit several hosts share.
#[derive(Debug, Clone, Copy)]
struct SharedVolume {
    /// Its terms when all hosts have equal quotas.
    terms: VolumeTerms,
    /// This host's quota as a multiple of the equal quota. It is above 1 when other hosts have leased
    /// quota to this one.
    base_quota_multiple: f64,
}

/// Takes part in the coordination among hosts for this host.
#[derive(Debug)]
pub struct QuotaSharing {
    coordinator: Coordinator,
    volumes: BTreeMap<VolumeId, SharedVolume>,
    /// Events since the last step.
    pending: Vec<events::Event>,
    /// The nodes that all hosts are to avoid.
    avoided: BTreeSet<NodeId>,
}

/// Returns the terms with their rate multiplied by `base_quota_multiple`. The burst stays, but becomes 0 for a host
/// without quota.
fn scaled_limit(terms: VolumeTerms, base_quota_multiple: f64) -> VolumeTerms {
    let burst_factor = f64::from(u8::from(base_quota_multiple > 0.0));
    VolumeTerms {
        limit: terms.limit.map(|quota| LimitQuota {
            rate: quota.rate * base_quota_multiple,
            burst: quota.burst * burst_factor,
        }),
        ..terms
    }
}

impl QuotaSharing {
    /// Returns `None` if the settings have no `fleet`, or if there are no peers.
    pub fn of(
        now: Duration,
        settings: &Settings,
        host_index: usize,
        peers: &[PeerId],
        incarnation: u64,
        seed: u64,
    ) -> Option<QuotaSharing> {
        let coordination = settings.fleet.filter(|_| !peers.is_empty())?;
        let rules = CoordinationSettings {
            interval: coordination.every,
            leases: LeaseTerms {
                duration: coordination.loan,
                margin: coordination.margin,
            },
        };
        let peers: Vec<HostNumber> = peers.iter().map(|peer| HostNumber(peer.0)).collect();
        let coordinator = Coordinator::new(
            now,
            HostNumber(host_index as u32),
            Incarnation(incarnation),
            peers,
            rules,
            seed,
        );
        Some(QuotaSharing {
            coordinator,
            volumes: BTreeMap::new(),
            pending: Vec::new(),
            avoided: BTreeSet::new(),
        })
    }

    /// Applies the volumes that the settings declare, for a host that follows no state service.
    pub fn declared(&mut self, settings: &Settings) {
        for volume in &settings.volumes {
            let plan: &Plan = &settings.plans[volume.plan].facts;
            let terms = VolumeTerms::even(PlanId(volume.plan), plan, volume.hosts.len());
            let hosts = volume.hosts.iter().map(|host| HostNumber(*host as u32));
            self.volume_changed(VolumeId(volume.id), Some(terms), hosts.collect());
        }
    }

    /// Applies the terms of a volume from the catalog, and returns the terms for the scheduler.
    /// `hosts` are the hosts that serve the volume.
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
        // The previous quota applies until the coordination changes it, which it does when the router next
        // calls `step`, still within the router's own step.
        let base_quota_multiple = self
            .volumes
            .get(&volume)
            .map_or(1.0, |shared| shared.base_quota_multiple);
        self.volumes.insert(
            volume,
            SharedVolume {
                terms,
                base_quota_multiple,
            },
        );
        Some(scaled_limit(terms, base_quota_multiple))
    }

    /// Records a message of a peer that arrived after `transit_time`.
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

    /// Returns the units a second that all hosts together serve of a volume, according to their reports.
    /// The reports arrive with a delay, so the result is too low while the rate rises.
    pub fn served_everywhere(&self, now: Duration, volume: u64) -> f64 {
        self.coordinator.served_everywhere(now, volume)
    }

    /// Counts a request of a volume that has completed.
    pub fn request_completed(&mut self, volume: u64, units: f64) {
        self.pending
            .push(events::Event::UnitsServed { volume, units });
    }

    /// Records the outcome of an attempt. An outcome that does not depend on the node is ignored.
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

    /// Records the nodes that are in service according to the endpoint list and the operators, each with
    /// the number of the start of its process.
    pub fn set_nodes_in_service(&mut self, nodes: BTreeMap<u32, u64>) {
        self.pending.push(events::Event::NodesInUse(nodes));
    }

    /// Returns whether all hosts are to avoid the node.
    pub fn is_avoided(&self, node: NodeId) -> bool {
        self.avoided.contains(&node)
    }

    /// Adds the peers, the quotas and the findings of outlier detection to the metrics of this host.
    pub fn metrics(
        &self,
        now: Duration,
        settings: &Settings,
        host_metrics: pb::HostMetrics,
    ) -> pb::HostMetrics {
        let host_name = |host: HostNumber| {
            let host = settings.hosts.get(host.0 as usize);
            host.map(|host| host.name.clone()).unwrap_or_default()
        };
        let peers = self.coordinator.peers(now).into_iter();
        let quotas = self.coordinator.quotas(now).into_iter();
        pb::HostMetrics {
            incarnation: self.coordinator.incarnation().0,
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
            ..host_metrics
        }
    }

    fn endpoint_policies(&self) -> Vec<pb::EndpointPolicyMetrics> {
        let policies = self.coordinator.policies().into_iter();
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

    /// Returns when a quota of this host next changes without an event, for example when a lease expires.
    pub fn quota_changes_at(&self) -> Duration {
        self.coordinator.quotas_change_at()
    }

    /// Returns when `step` must be called again if no event arrives before.
    pub fn wake_at(&self) -> Duration {
        self.coordinator.wake_at()
    }

    /// Handles the events since the last call, and adds the events for the scheduler to `events`.
    pub fn step(&mut self, now: Duration, events: &mut Vec<Event>) -> SharingOutcome {
        let mut outcome = SharingOutcome::default();
        for action in self
            .coordinator
            .step(now, std::mem::take(&mut self.pending))
        {
            match action {
                Action::Send { to, bytes } => outcome.messages.push((PeerId(to.0), bytes)),
                Action::QuotaChanged {
                    volume,
                    base_quota_multiple,
                } => {
                    events.extend(self.quota_changed(VolumeId(volume), base_quota_multiple));
                }
                Action::PolicyChanged { node, policy } => {
                    self.policy_changed(NodeId(node), policy, &mut outcome)
                }
                Action::Log { notice } => outcome.log.push(LogEvent::Coordination(notice)),
            }
        }
        outcome
    }

    fn quota_changed(&mut self, volume: VolumeId, base_quota_multiple: f64) -> Option<Event> {
        let shared = self.volumes.get_mut(&volume)?;
        shared.base_quota_multiple = base_quota_multiple;
        let terms = Some(scaled_limit(shared.terms, base_quota_multiple));
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
