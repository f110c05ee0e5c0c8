//! One host's share in what the fleet decides: gossip, outlier detection and quotas put together.
//!
//! State machine: `step(now, events)` returns the actions to perform. No I/O. A host's quota
//! sharing calls it for every batch of events; [`Coordinator::wake_at`] says when it must be called
//! again. It counts what this host has tried and served in the last seconds, publishes that in its
//! report, merges the others', and returns what has changed: the quota of each volume's limit that
//! this host may use, and the policy for each node. What is lost or late only leaves it where it
//! was: with its base quotas and its own evidence.
//!
//! Memory: an entry for each host, a row for each node and for each volume with a limit that is
//! shared.

use crate::attempts::AttemptHistory;
use crate::borrowed_leases::Lender;
use crate::events::{Action, Event, Rules};
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

/// After so long counts of a node's answers are halved: a host that sends there seldom still has an
/// attempt to report.
const HALVING_INTERVAL: Duration = Duration::from_secs(2);
/// After so many halving intervals without a step all counts are outdated.
const OUTDATED_INTERVALS: u32 = 3;
/// Lines of the log that name one peer with bad messages; after them they are only counted.
const MAX_LOG_LINES_PER_PEER: u32 = 3;
/// Separate the random numbers of the components, which all come from one seed.
const DETECTOR_SEED_SALT: u64 = 0x6a75;
const LENDERS_SEED_SALT: u64 = 0x666c;

/// What this host knows of a peer, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerMetrics {
    /// The peer.
    pub host: HostNumber,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Time since its last report was written.
    pub age: Duration,
    /// Nodes that it sent to in the last seconds.
    pub tried: u32,
    /// Nodes of `tried` that answered it badly.
    pub bad: u32,
}

/// What all hosts report of a node, and how this host treats it.
#[derive(Debug, Clone, PartialEq)]
pub struct NodePolicy {
    /// The node's number.
    pub node: u32,
    /// The verdict from all evidence.
    pub finding: Finding,
    /// How this host treats it.
    pub policy: EndpointPolicy,
}

/// One host's share in what the fleet decides.
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
    /// The urgent observations of the last report.
    published_urgent: BTreeSet<UrgentObservation>,
    /// Bad messages of each peer so far.
    bad_messages: BTreeMap<HostNumber, u32>,
    outbox: LeaseOutbox,
    actions: Vec<Action>,
}

impl Coordinator {
    /// `incarnation`: a number that grows from start to start as far as this host can know; `seed`
    /// is new at each.
    pub fn new(
        now: Duration,
        me: HostNumber,
        incarnation: Incarnation,
        peers: Vec<HostNumber>,
        rules: Rules,
        seed: u64,
    ) -> Self {
        let hosts = peers.len() + 1;
        // Twice the time in which one host could pass on all reports.
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
            bad_messages: BTreeMap::new(),
            outbox: LeaseOutbox::default(),
            actions: Vec::new(),
        }
    }

    /// When `step` must be called again if nothing happens before.
    pub fn wake_at(&self) -> Duration {
        self.gossip.wake_at().min(self.quotas_change_at())
    }

    /// When what this host may use of some volume next changes by itself.
    pub fn quotas_change_at(&self) -> Duration {
        self.quotas.change_at()
    }

    /// Takes in what has happened, and returns what to do.
    pub fn step(&mut self, now: Duration, events: impl IntoIterator<Item = Event>) -> Vec<Action> {
        // What has run out while this host stood still is gone before anything else is received or
        // sent.
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
            // News that arrived has brought the round near; to evaluate at every message would cost
            // all observations each time.
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
                    self.publish_if_news(now, node);
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
            Err(error) => self.log_bad_message(from, &error.to_string()),
        }
    }

    fn handle_message(&mut self, now: Duration, from: HostNumber, message: &GossipMessage) {
        let outcome = self.gossip.handle_message(now, from, message);
        if outcome.rejected > 0 {
            let rejected = outcome.rejected;
            let why = format!("{rejected} entries of hosts unknown here, or forgotten");
            self.log_bad_message(from, &why);
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
        self.actions.push(Action::Log {
            text: format!("goes on as life {} of this host", incarnation.0),
        });
    }

    fn log_bad_message(&mut self, from: HostNumber, why: &str) {
        let bad_messages = self.bad_messages.entry(from).or_default();
        *bad_messages += 1;
        if *bad_messages <= MAX_LOG_LINES_PER_PEER {
            self.actions.push(Action::Log {
                text: format!("word of host {}: {why}", from.0),
            });
        }
    }

    /// Halves what is counted, so that it stays a count of the last seconds.
    fn halve_counts(&mut self, now: Duration) {
        if now < self.halved_at + HALVING_INTERVAL {
            return;
        }
        self.served
            .measure_local((now - self.halved_at).as_secs_f64());
        // After this host stood still all of it is old.
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

    /// What this host reports of itself.
    fn own_report(&self, now: Duration) -> HostReport {
        let mut observations: Vec<Observation> = self.attempts.observations(now).collect();
        let tried = observations.len() as u32;
        let bad = observations.iter().filter(|seen| seen.is_bad()).count() as u32;
        observations.sort_by_key(|seen| (self.report_rank(seen), Reverse(seen.sent)));
        observations.truncate(MAX_REPORT_ITEMS);
        HostReport {
            tried,
            bad,
            observations,
            offers: self.quotas.offers(now),
            served: self.served.busiest(),
        }
    }

    /// Urgent observations come first, then those of nodes that others find bad and that answer
    /// here, since those can end an ejection.
    fn report_rank(&self, seen: &Observation) -> u32 {
        let finding = self.detector.findings().get(&seen.node);
        if seen.is_urgent() {
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
        // What is no longer reported is no news: it is old, and no peer needs to know that at once.
        let news = !urgent.is_subset(&self.published_urgent);
        self.published_urgent = urgent;
        self.gossip.publish(now, report, news);
    }

    /// News that a node has begun to answer badly, or well where it was ejected, does not wait.
    fn publish_if_news(&mut self, now: Duration, node: u32) {
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

    /// Sends the round's messages where one is due, and lease messages at once.
    fn send_messages(&mut self, now: Duration) {
        let round = self.gossip.run_round(now);
        if round.incarnation_raised {
            self.incarnation_raised();
        }
        for (to, mut message) in round.messages {
            message.lease_messages = self.outbox.take_for(to);
            self.send(to, &message);
        }
        for to in self.outbox.receivers() {
            let message = GossipMessage {
                incarnation: self.gossip.incarnation(),
                requests_sync: false,
                entries: Vec::new(),
                lease_messages: self.outbox.take_for(to),
            };
            self.send(to, &message);
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

    /// Units a second that a volume is served through the other hosts, by their own counts. Reports
    /// that are late leave some out: it is at most what they serve, but for the last change of
    /// their rate.
    pub fn served_elsewhere(&self, now: Duration, volume: u64) -> f64 {
        self.served.elsewhere(now, volume)
    }

    /// The same over all hosts, with this one.
    pub fn served_everywhere(&self, now: Duration, volume: u64) -> f64 {
        self.served.everywhere(now, volume)
    }

    /// What this host knows of its peers.
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

    /// The quotas of all shared volumes.
    pub fn quotas(&self, now: Duration) -> Vec<QuotaMetrics> {
        self.quotas.metrics(now)
    }

    /// Of each node that some host has tried: what all report, and how this host treats it.
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

    /// How this host treats a node.
    pub fn policy_of(&self, node: u32) -> EndpointPolicy {
        self.detector.policy(node)
    }

    /// This host's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.gossip.incarnation()
    }
}

/// The reports of all hosts but `me`.
fn peer_reports(
    gossip: &GossipState,
    me: HostNumber,
    now: Duration,
) -> impl Iterator<Item = KnownReport<'_>> {
    gossip.reports(now).filter(move |known| known.host != me)
}
