//! The coordinator of one host: combines gossip, outlier detection and quota leases.
//!
//! The coordinator is a state machine without I/O: `step(now, events)` returns the actions to perform.
//! The host calls it for every batch of events; [`Coordinator::wake_at`] returns when the next call is
//! due. The coordinator counts this host's attempts and served units of the last seconds, publishes the
//! counts in its report, and merges the reports of the other hosts. It returns the changes of the quota
//! that this host may use of each volume's limit, and of the policy for each node. If messages are lost
//! or late, the host keeps its base quotas and relies on its own evidence.
//!
//! The state consists of the gossip state, the outlier detector, the quotas and the counts. It takes one
//! entry for each host, each node, and each volume with a shared limit.

use crate::attempts::AttemptHistory;
use crate::borrowed_leases::Lender;
use crate::events::{Action, CoordinationSettings, Event, Notice, RejectReason};
use crate::evidence::{Observer, EVIDENCE_WINDOW};
use crate::gossip_message::{GossipMessage, MAX_ENTRIES, MAX_REPORT_ITEMS};
use crate::gossip_state::{GossipState, KnownReport, GOSSIP_FANOUT};
use crate::host_report::{HostReport, Observation, UrgentObservation};
use crate::lease_outbox::LeaseOutbox;
use crate::outlier_detection::{EndpointPolicy, Finding, OutlierDetector};
use crate::quotas::{QuotaMetrics, SharedQuotas};
use crate::served_rates::ServedRates;
use crate::{HostNumber, Incarnation};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The interval at which the counts of attempts are halved. With a shorter interval a host that seldom
/// sends to a node has no attempts to report; with a longer one the counts follow changes late.
const HALVING_INTERVAL: Duration = Duration::from_secs(2);
/// The number of halving intervals without a halving after which all counts are outdated. A larger number
/// lets a host report counts from before a pause of its process; with a smaller one a late step drops
/// valid counts.
const OUTDATED_INTERVALS: u32 = 3;
/// The maximum number of log lines about rejected messages of one peer. Further rejections are only
/// counted, so that a faulty peer cannot fill the log.
const MAX_LOG_LINES_PER_PEER: u32 = 3;
/// Makes the detector's random numbers independent of those of the gossip state, which has the same seed.
const DETECTOR_SEED_SALT: u64 = 0x6a75;
/// Makes the random order of the lenders independent of the other random numbers.
const LENDERS_SEED_SALT: u64 = 0x666c;

/// The state of a peer as this host knows it, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerMetrics {
    /// The peer.
    pub host: HostNumber,
    /// The peer's incarnation.
    pub incarnation: Incarnation,
    /// The time since it wrote its last report.
    pub age: Duration,
    /// The number of nodes to which it sent attempts in the last seconds.
    pub tried: u32,
    /// The number of these nodes that it finds bad.
    pub bad: u32,
}

/// The finding on a node from the reports of all hosts, and this host's policy for the node.
#[derive(Debug, Clone, PartialEq)]
pub struct NodePolicy {
    /// The node's number.
    pub node: u32,
    /// The verdict on the node, with the evidence for it.
    pub finding: Finding,
    /// This host's policy for the node.
    pub policy: EndpointPolicy,
}

/// The coordinator of one host.
#[derive(Debug)]
pub struct Coordinator {
    me: HostNumber,
    gossip: GossipState,
    detector: OutlierDetector,
    /// The source of the random order of the lenders.
    rng: Pcg64Mcg,
    attempts: AttemptHistory,
    served: ServedRates,
    /// When the counts were last halved.
    halved_at: Duration,
    quotas: SharedQuotas,
    /// The urgent observations in the last published report.
    published_urgent: BTreeSet<UrgentObservation>,
    /// The number of messages of each peer that were rejected so far.
    rejected_messages: BTreeMap<HostNumber, u32>,
    outbox: LeaseOutbox,
    actions: Vec<Action>,
}

impl Coordinator {
    /// Returns the coordinator of a host that has received no reports. `incarnation` should be larger than
    /// the host's former ones, as far as the host can tell. `seed` must differ from start to start.
    pub fn new(
        now: Duration,
        me: HostNumber,
        incarnation: Incarnation,
        peers: Vec<HostNumber>,
        rules: CoordinationSettings,
        seed: u64,
    ) -> Self {
        let hosts = peers.len() + 1;
        // Allows twice the time that one host needs to forward the reports of all hosts in rotation.
        let entries_per_round = (GOSSIP_FANOUT * MAX_ENTRIES) as u32;
        let rotation_time = rules.interval * 2 * hosts as u32 / entries_per_round;
        let fresh_within = EVIDENCE_WINDOW + rotation_time;
        Coordinator {
            me,
            gossip: GossipState::new(now, me, incarnation, rules.interval, peers, seed),
            detector: OutlierDetector::new(me, hosts, fresh_within, seed ^ DETECTOR_SEED_SALT),
            rng: Pcg64Mcg::seed_from_u64(seed ^ LENDERS_SEED_SALT),
            attempts: AttemptHistory::default(),
            served: ServedRates::default(),
            halved_at: now,
            quotas: SharedQuotas::new(now, me, rules),
            published_urgent: BTreeSet::new(),
            rejected_messages: BTreeMap::new(),
            outbox: LeaseOutbox::default(),
            actions: Vec::new(),
        }
    }

    /// Returns when `step` must be called again if no event occurs before.
    pub fn wake_at(&self) -> Duration {
        self.gossip.wake_at().min(self.quotas_change_at())
    }

    /// Returns when some quota of this host next changes without a message.
    pub fn quotas_change_at(&self) -> Duration {
        self.quotas.next_change_at()
    }

    /// Handles events, and returns the actions to perform.
    pub fn step(&mut self, now: Duration, events: impl IntoIterator<Item = Event>) -> Vec<Action> {
        // Leases may have expired during a pause of this process. The new quotas come first, before any
        // message is handled or sent.
        if now >= self.quotas.next_change_at() {
            self.quotas.mark_all_dirty();
            self.apply_quotas(now);
        }
        for event in events {
            self.handle_event(now, event);
        }
        if now >= self.gossip.wake_at() {
            self.halve_counts(now);
            self.run_lease_round(now);
            self.publish_report(now);
            // The nodes are evaluated once a round, and not at every message, since an evaluation costs a
            // pass over all observations. An urgent report brings the round forward.
            self.evaluate_nodes(now);
        }
        self.send_messages(now);
        self.apply_quotas(now);
        std::mem::take(&mut self.actions)
    }

    fn handle_event(&mut self, now: Duration, event: Event) {
        match event {
            Event::MessageReceived {
                from,
                waited,
                bytes,
            } => self.handle_bytes(now, from, waited, &bytes),
            Event::NodesInUse(nodes) => self.attempts.set_nodes(nodes),
            Event::AttemptEnded { node, bad } => {
                let is_ejected = self.detector.is_ejected(node);
                if self.attempts.record(now, node, bad, is_ejected) {
                    self.publish_if_urgent(now, node);
                }
            }
            Event::UnitsRequested { volume, units } => self.quotas.add_requested(volume, units),
            Event::UnitsServed { volume, units } => self.served.add_local(volume, units),
            Event::VolumeChanged {
                volume,
                sharers,
                limit,
            } => {
                let incarnation = self.gossip.incarnation();
                let action = self
                    .quotas
                    .volume_changed(now, incarnation, volume, sharers, limit);
                self.actions.extend(action);
            }
        }
    }

    fn handle_bytes(&mut self, now: Duration, from: HostNumber, waited: Duration, bytes: &[u8]) {
        match GossipMessage::from_bytes(bytes) {
            Ok(mut message) => {
                for entry in &mut message.entries {
                    entry.age += waited;
                }
                self.handle_message(now, from, &message);
            }
            Err(error) => self.log_rejected(from, error.into()),
        }
    }

    fn handle_message(&mut self, now: Duration, from: HostNumber, message: &GossipMessage) {
        let outcome = self.gossip.handle_message(now, from, message);
        if outcome.rejected > 0 {
            let entries = outcome.rejected;
            self.log_rejected(from, RejectReason::Entries { entries });
        }
        if outcome.incarnation_raised {
            self.incarnation_raised();
        }
        for host in outcome.updated {
            let mut reports = self.gossip.reports(now);
            if let Some(known) = reports.find(|known| known.host == host) {
                self.served.add_remote(now, &known);
            }
        }
        for received in message.received_from(from) {
            let answers = self.quotas.handle_message(now, received);
            self.outbox.add(answers);
        }
    }

    fn incarnation_raised(&mut self) {
        let incarnation = self.gossip.incarnation();
        self.quotas.set_incarnation(incarnation);
        self.log(Notice::IncarnationRaised { incarnation });
    }

    fn log_rejected(&mut self, from: HostNumber, reason: RejectReason) {
        let rejected = self.rejected_messages.entry(from).or_default();
        *rejected += 1;
        if *rejected <= MAX_LOG_LINES_PER_PEER {
            self.log(Notice::MessageRejected { from, reason });
        }
    }

    fn log(&mut self, notice: Notice) {
        self.actions.push(Action::Log { notice });
    }

    /// Halves the counts if that is due, so that they reflect the last seconds only.
    fn halve_counts(&mut self, now: Duration) {
        if now < self.halved_at + HALVING_INTERVAL {
            return;
        }
        self.served
            .measure_local((now - self.halved_at).as_secs_f64());
        // After a long pause of this process all counts are outdated.
        let is_outdated = now >= self.halved_at + HALVING_INTERVAL * OUTDATED_INTERVALS;
        self.halved_at = now;
        self.attempts.halve(is_outdated);
    }

    fn run_lease_round(&mut self, now: Duration) {
        let superseded = self.gossip.is_superseded();
        let mut lenders: BTreeMap<u64, Vec<Lender>> = BTreeMap::new();
        for known in peer_reports(&self.gossip, self.me, now) {
            for offer in &known.report.offers {
                lenders.entry(offer.volume).or_default().push(Lender {
                    host: known.host,
                    spare: offer.spare,
                });
            }
        }
        let messages = self
            .quotas
            .run_round(now, superseded, lenders, &mut self.rng);
        self.outbox.add(messages);
    }

    /// Returns this host's report.
    fn own_report(&self, now: Duration) -> HostReport {
        let mut observations: Vec<Observation> = self.attempts.observations(now).collect();
        let nodes_tried = observations.len() as u32;
        let bad_nodes = observations.iter().filter(|seen| seen.is_bad()).count() as u32;
        observations.sort_by_key(|seen| (self.report_rank(seen), Reverse(seen.attempts)));
        observations.truncate(MAX_REPORT_ITEMS);
        HostReport {
            nodes_tried,
            bad_nodes,
            observations,
            offers: self.quotas.offers(now),
            served: self.served.busiest(),
        }
    }

    /// Returns the rank of an observation in the report; lower ranks come first. Urgent observations have
    /// the lowest rank. Observations of nodes that some host finds bad follow, since they can end an
    /// ejection.
    fn report_rank(&self, observation: &Observation) -> u32 {
        let finding = self.detector.findings().get(&observation.node);
        if observation.is_urgent() {
            0
        } else if finding.is_some_and(|finding| finding.bad.hosts > 0) {
            1
        } else {
            2
        }
    }

    fn publish_report(&mut self, now: Duration) {
        let report = self.own_report(now);
        let urgent = report.urgent();
        // Only added observations make the report a rumor. Peers need not learn at once that an old
        // observation is gone.
        let is_rumor = !urgent.is_subset(&self.published_urgent);
        self.published_urgent = urgent;
        self.gossip.publish(now, report, is_rumor);
    }

    /// Publishes a report at once if a node has become bad or answers although it is ejected.
    fn publish_if_urgent(&mut self, now: Duration, node: u32) {
        let observation = self.attempts.observation(now, node);
        let Some(urgent) = observation.filter(Observation::is_urgent) else {
            return;
        };
        if !self.published_urgent.contains(&urgent.urgent_key()) {
            self.publish_report(now);
        }
    }

    fn evaluate_nodes(&mut self, now: Duration) {
        let own = HostReport {
            observations: self.attempts.observations(now).collect(),
            ..HostReport::default()
        };
        let peers: Vec<Observer> = peer_reports(&self.gossip, self.me, now)
            .map(|known| Observer {
                host: known.host,
                age: known.age,
                report: known.report,
            })
            .collect();
        let nodes = self.attempts.nodes();
        for (node, policy) in self.detector.evaluate(now, nodes, &own, &peers) {
            self.actions.push(Action::PolicyChanged { node, policy });
        }
    }

    /// Sends the messages of a gossip round if one is due, and all waiting lease messages.
    fn send_messages(&mut self, now: Duration) {
        let round = self.gossip.run_round(now);
        if round.incarnation_raised {
            self.incarnation_raised();
        }
        for (to, mut message) in round.messages {
            message.lease_messages = self.outbox.take_for(to);
            self.send(to, &message);
        }
        for receiver in self.outbox.receivers() {
            let message = GossipMessage {
                incarnation: self.gossip.incarnation(),
                requests_sync: false,
                entries: Vec::new(),
                lease_messages: self.outbox.take_for(receiver),
            };
            self.send(receiver, &message);
        }
    }

    fn send(&mut self, to: HostNumber, message: &GossipMessage) {
        let bytes = message.to_bytes();
        self.actions.push(Action::Send { to, bytes });
    }

    fn apply_quotas(&mut self, now: Duration) {
        let changes = self.quotas.take_changes(now);
        self.actions.extend(changes);
    }

    /// Returns the rate at which the other hosts serve a volume according to their reports, in units a
    /// second. Hosts whose reports are late are left out, so the result is at most the true rate, except
    /// that a host's last change of rate may be missing.
    pub fn served_elsewhere(&self, now: Duration, volume: u64) -> f64 {
        self.served.elsewhere(now, volume)
    }

    /// Returns the rate at which all hosts, including this one, serve a volume, in units a second.
    pub fn served_everywhere(&self, now: Duration, volume: u64) -> f64 {
        self.served.everywhere(now, volume)
    }

    /// Returns the state of the peers, as far as this host knows it.
    pub fn peers(&self, now: Duration) -> Vec<PeerMetrics> {
        peer_reports(&self.gossip, self.me, now)
            .map(|known| PeerMetrics {
                host: known.host,
                incarnation: known.version.incarnation,
                age: known.age,
                tried: known.report.nodes_tried,
                bad: known.report.bad_nodes,
            })
            .collect()
    }

    /// Returns this host's quotas of all shared limits.
    pub fn quotas(&self, now: Duration) -> Vec<QuotaMetrics> {
        self.quotas.metrics(now)
    }

    /// Returns the finding and the policy for each node to which some host has sent attempts.
    pub fn policies(&self) -> Vec<NodePolicy> {
        let findings = self.detector.findings();
        findings
            .iter()
            .map(|(node, finding)| NodePolicy {
                node: *node,
                finding: finding.clone(),
                policy: self.detector.policy(*node),
            })
            .collect()
    }

    /// Returns this host's policy for a node.
    pub fn policy_of(&self, node: u32) -> EndpointPolicy {
        self.detector.policy(node)
    }

    /// Returns this host's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.gossip.incarnation()
    }
}

/// Returns the reports of all hosts except `me`.
fn peer_reports(
    gossip: &GossipState,
    me: HostNumber,
    now: Duration,
) -> impl Iterator<Item = KnownReport<'_>> {
    gossip.reports(now).filter(move |known| known.host != me)
}
