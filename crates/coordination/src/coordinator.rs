//! The coordinator of one host: combines gossip, outlier detection and quota leases.
//!
//! State machine: `step(now, events)` returns the actions to perform. No I/O. The host's quota
//! sharing calls it for every batch of events; [`Coordinator::wake_at`] returns when the next call
//! is due. The coordinator counts this host's attempts and served units of the last seconds,
//! publishes the counts in its report, and merges the reports of the other hosts. It returns the
//! changes: the quota of each volume's limit that this host may use, and the policy for each node.
//! If messages are lost or late, the host stays with its base quotas and its own evidence.
//!
//! State: the gossip state, the outlier detector, the quotas, and the counts. Memory: one entry for
//! each host, and one row for each node and for each volume with a shared limit.

use crate::attempts::AttemptHistory;
use crate::borrowed_leases::Lender;
use crate::events::{Action, Event, Notice, RejectReason, Rules};
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

/// The time after which the counts of attempts are halved. With a shorter time a host that seldom
/// sends to a node has no attempt to report; with a longer one the counts follow changes late.
const HALVING_INTERVAL: Duration = Duration::from_secs(2);
/// Halving intervals without a step after which all counts are outdated. With more of them a host
/// reports counts from before a pause of its process; with fewer a late step drops valid counts.
const OUTDATED_INTERVALS: u32 = 3;
/// Log lines about rejected messages of one peer, at most; later ones are only counted. More lines
/// let a faulty peer fill the log.
const MAX_LOG_LINES_PER_PEER: u32 = 3;
/// Separates the detector's random numbers from those of the gossip state, which has the same seed.
const DETECTOR_SEED_SALT: u64 = 0x6a75;
/// Separates the random order of the lenders from the other random numbers.
const LENDERS_SEED_SALT: u64 = 0x666c;

/// The state of a peer as this host knows it, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerMetrics {
    /// The peer.
    pub host: HostNumber,
    /// The peer's incarnation.
    pub incarnation: Incarnation,
    /// Time since its last report was written.
    pub age: Duration,
    /// Number of nodes to which it sent attempts in the last seconds.
    pub tried: u32,
    /// Number of nodes of `tried` that it finds bad.
    pub bad: u32,
}

/// The finding of all hosts' reports on a node, and this host's policy for it.
#[derive(Debug, Clone, PartialEq)]
pub struct NodePolicy {
    /// The node's number.
    pub node: u32,
    /// The verdict from all evidence.
    pub finding: Finding,
    /// This host's policy for it.
    pub policy: EndpointPolicy,
}

/// The coordinator of one host.
#[derive(Debug)]
pub struct Coordinator {
    me: HostNumber,
    gossip: GossipState,
    detector: OutlierDetector,
    /// Shuffles the lenders.
    rng: Pcg64Mcg,
    attempts: AttemptHistory,
    served: ServedRates,
    /// When the counts were last halved.
    halved_at: Duration,
    quotas: SharedQuotas,
    /// The urgent observations of the last published report.
    published_urgent: BTreeSet<UrgentObservation>,
    /// Number of rejected messages of each peer so far.
    rejected_messages: BTreeMap<HostNumber, u32>,
    outbox: LeaseOutbox,
    actions: Vec<Action>,
}

impl Coordinator {
    /// Returns the coordinator of a host that knows nothing of its peers. `incarnation`: a number
    /// that grows from start to start, as far as this host can know. `seed`: new at each start.
    pub fn new(
        now: Duration,
        me: HostNumber,
        incarnation: Incarnation,
        peers: Vec<HostNumber>,
        rules: Rules,
        seed: u64,
    ) -> Self {
        let hosts = peers.len() + 1;
        // The rotation is twice the time in which one host could pass on all reports.
        let entries_per_round = (GOSSIP_FANOUT * MAX_ENTRIES) as u32;
        let rotation = rules.interval * 2 * hosts as u32 / entries_per_round;
        let fresh_within = EVIDENCE_WINDOW + rotation;
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

    /// Returns when `step` must be called again if there is no event before.
    pub fn wake_at(&self) -> Duration {
        self.gossip.wake_at().min(self.quotas_change_at())
    }

    /// Returns when some quota of this host next changes without a message.
    pub fn quotas_change_at(&self) -> Duration {
        self.quotas.change_at()
    }

    /// Handles events, and returns the actions to perform.
    pub fn step(&mut self, now: Duration, events: impl IntoIterator<Item = Event>) -> Vec<Action> {
        // Leases may have expired during a pause of this process. They end before any message is
        // handled or sent.
        if now >= self.quotas.change_at() {
            self.quotas.touch_all();
            self.apply_quotas(now);
        }
        for event in events {
            self.handle_event(now, event);
        }
        if now >= self.gossip.wake_at() {
            self.halve_counts(now);
            self.run_lease_round(now);
            self.publish_report(now);
            // The nodes are evaluated once a round, which a rumor has brought forward: an
            // evaluation at every message would each time cost a pass over all observations.
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

    /// Halves the counts if that is due, so that they stay counts of the last seconds.
    fn halve_counts(&mut self, now: Duration) {
        if now < self.halved_at + HALVING_INTERVAL {
            return;
        }
        self.served
            .measure_local((now - self.halved_at).as_secs_f64());
        // After a long pause of this process all counts are old.
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
        let tried = observations.len() as u32;
        let bad = observations.iter().filter(|one| one.is_bad()).count() as u32;
        observations.sort_by_key(|one| (self.report_rank(one), Reverse(one.sent)));
        observations.truncate(MAX_REPORT_ITEMS);
        HostReport {
            tried,
            bad,
            observations,
            offers: self.quotas.offers(now),
            served: self.served.busiest(),
        }
    }

    /// Returns the rank of an observation in the report. Urgent observations come first.
    /// Observations of nodes that other hosts find bad come next, since they can end an ejection.
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
        // An observation that the report no longer contains makes no rumor: it is old, and no peer
        // needs the change at once.
        let is_rumor = !urgent.is_subset(&self.published_urgent);
        self.published_urgent = urgent;
        self.gossip.publish(now, report, is_rumor);
    }

    /// Publishes a report at once if a node has become bad, or answers although it is ejected.
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

    /// Sends the messages of a round if one is due, and lease messages at once.
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

    /// Returns the rate at which the other hosts serve a volume, in units a second, by their own
    /// counts. Late reports are missing in it: the result is at most the true rate, except for the
    /// last change of a host's rate.
    pub fn served_elsewhere(&self, now: Duration, volume: u64) -> f64 {
        self.served.elsewhere(now, volume)
    }

    /// Returns the rate at which all hosts, including this one, serve a volume, in units a second.
    pub fn served_everywhere(&self, now: Duration, volume: u64) -> f64 {
        self.served.everywhere(now, volume)
    }

    /// Returns the state of the peers as this host knows it.
    pub fn peers(&self, now: Duration) -> Vec<PeerMetrics> {
        peer_reports(&self.gossip, self.me, now)
            .map(|known| PeerMetrics {
                host: known.host,
                incarnation: known.version.incarnation,
                age: known.age,
                tried: known.report.tried,
                bad: known.report.bad,
            })
            .collect()
    }

    /// Returns the quotas of all shared volumes.
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
