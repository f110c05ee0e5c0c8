//! Gossip state: the newest report of each host, merged by version.
//!
//! A state machine without I/O, which [`crate::coordinator`] calls. [`GossipState::publish`] takes this
//! host's report, [`GossipState::handle_message`] a peer's message. [`GossipState::run_round`] is called
//! when the next round is due, and returns the messages to send.
//!
//! Entries, which are reports with a version, spread by rumor mongering and in rotation (Demers 1987). A
//! rumor is an entry with a new urgent observation; the next few messages carry it. Each message is filled
//! up with other entries in rotation. Every host therefore receives every report eventually, even if
//! messages are lost.
//!
//! In a fleet of any size a host sends [`GOSSIP_FANOUT`] messages of at most
//! [`crate::gossip_message::MAX_ENTRIES`] entries in a round. There is about one round in each interval,
//! and up to four while there are rumors. The state takes one entry for each host.
//!
//! The state consists of the reports (module `report_store`), this host's incarnation (module
//! `own_incarnation`), this host's report, and the time of the next round.

use crate::gossip_message::{GossipMessage, MAX_REPORT_ITEMS};
use crate::host_report::HostReport;
use crate::own_incarnation::OwnIncarnation;
use crate::report_store::{MergedEntry, ReportStore};
use crate::{HostNumber, Incarnation};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::time::Duration;

pub use crate::own_incarnation::SYNC_TIMEOUT;
pub use crate::report_store::{KnownReport, ENTRY_TIMEOUT};

/// The number of peers that receive a message in each round. More peers cost messages; fewer slow the
/// spread of reports.
pub const GOSSIP_FANOUT: usize = 2;
/// The number of rounds after which a host writes a new entry even without a rumor, so that its peers know
/// that it is alive. A larger number delays the detection of a dead host; a smaller one costs entries.
const REFRESH_ROUNDS: u32 = 5;
/// While there are rumors, the next round comes after the interval divided by this number. A larger
/// divisor spreads rumors sooner and costs messages.
const URGENT_INTERVAL_DIVISOR: u32 = 4;
/// The minimum of the random factor by which the interval is multiplied, so that the hosts' rounds do not
/// coincide.
const MIN_JITTER: f64 = 0.75;
/// The width of the range of the random factor.
const JITTER_RANGE: f64 = 0.5;

/// The report that this host publishes next.
#[derive(Debug, Default)]
struct OwnReport {
    report: HostReport,
    /// The report has a new urgent observation, which no entry has published yet.
    is_rumor: bool,
    rounds_since_refresh: u32,
}

/// The reports of all hosts, as far as this host knows them.
#[derive(Debug)]
pub struct GossipState {
    me: HostNumber,
    own_incarnation: OwnIncarnation,
    own_report: OwnReport,
    /// Sorted.
    peers: Vec<HostNumber>,
    reports: ReportStore,
    interval: Duration,
    next_round: Duration,
    last_round: Option<Duration>,
    /// Peers that have requested all entries.
    sync_requests: BTreeSet<HostNumber>,
    rng: Pcg64Mcg,
}

/// The effect of handling a message.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct MergeOutcome {
    /// Hosts whose report was replaced by a later one.
    pub updated: Vec<HostNumber>,
    /// The number of entries of unknown hosts, and of entries older than [`ENTRY_TIMEOUT`].
    pub rejected: usize,
    /// This host's own incarnation was too low and has been raised.
    pub incarnation_raised: bool,
}

/// The result of a round.
#[derive(Debug, Default)]
pub struct RoundOutcome {
    /// Messages by receiver.
    pub messages: Vec<(HostNumber, GossipMessage)>,
    /// Another process of this host is considered dead, and this host's incarnation has been raised above
    /// that of the other process.
    pub incarnation_raised: bool,
}

impl GossipState {
    /// Returns the state of a host that has received no report. `incarnation` is an estimate, such as the
    /// wall clock time; the peers may know a later one. `interval` is the average time between two rounds.
    pub fn new(
        now: Duration,
        me: HostNumber,
        incarnation: Incarnation,
        interval: Duration,
        mut peers: Vec<HostNumber>,
        seed: u64,
    ) -> Self {
        peers.sort_unstable();
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let next_round = now + interval.mul_f64(rng.random::<f64>());
        let syncs_until = if peers.is_empty() {
            now
        } else {
            now + SYNC_TIMEOUT
        };
        GossipState {
            me,
            own_incarnation: OwnIncarnation::new(incarnation, syncs_until),
            own_report: OwnReport::default(),
            peers,
            reports: ReportStore::default(),
            interval,
            next_round,
            last_round: None,
            sync_requests: BTreeSet::new(),
            rng,
        }
    }

    /// Returns this host's incarnation. It is raised when peers turn out to know a later one.
    pub fn incarnation(&self) -> Incarnation {
        self.own_incarnation.incarnation()
    }

    /// Returns whether another process of this host, which may be the later one, seems to be alive.
    pub fn is_superseded(&self) -> bool {
        self.own_incarnation.is_superseded()
    }

    /// Returns when the next round is due.
    pub fn wake_at(&self) -> Duration {
        self.next_round
    }

    /// Replaces this host's report. `is_rumor` tells that peers should receive the report at once.
    pub fn publish(&mut self, now: Duration, report: HostReport, is_rumor: bool) {
        debug_assert!(report.observations.len() <= MAX_REPORT_ITEMS);
        debug_assert!(report.offers.len() <= MAX_REPORT_ITEMS);
        debug_assert!(report.served.len() <= MAX_REPORT_ITEMS);
        self.own_report.report = report;
        if is_rumor {
            self.own_report.is_rumor = true;
            self.schedule_soon(now);
        }
    }

    /// Brings the next round forward, but not closer to the last round than a quarter of the interval.
    fn schedule_soon(&mut self, now: Duration) {
        let soonest = self
            .last_round
            .map_or(now, |last| last + self.interval / URGENT_INTERVAL_DIVISOR);
        self.next_round = self.next_round.min(soonest.max(now));
    }

    /// Returns the reports of all hosts, including this one, except those older than [`ENTRY_TIMEOUT`].
    pub fn reports(&self, now: Duration) -> impl Iterator<Item = KnownReport<'_>> {
        self.reports.reports(now)
    }

    /// Returns how many messages of one host carry a rumor. The number grows with the logarithm of the
    /// fleet's size, and is slightly larger than the rumor needs to reach all hosts.
    fn retransmissions(&self) -> u32 {
        (usize::BITS - self.peers.len().leading_zeros()).div_ceil(2) + 1
    }

    /// Merges a peer's message.
    pub fn handle_message(
        &mut self,
        now: Duration,
        from: HostNumber,
        message: &GossipMessage,
    ) -> MergeOutcome {
        let mut outcome = MergeOutcome::default();
        if message.requests_sync {
            self.sync_requests.insert(from);
            self.schedule_soon(now);
        }
        for entry in &message.entries {
            if entry.writer == self.me {
                outcome.incarnation_raised |= self.own_incarnation.handle_entry(now, entry.version);
                continue;
            }
            if self.peers.binary_search(&entry.writer).is_err() || entry.age >= ENTRY_TIMEOUT {
                outcome.rejected += 1;
                continue;
            }
            let merged = self.reports.merge(now, entry, self.retransmissions());
            if let MergedEntry::Stored { is_rumor } = merged {
                if is_rumor {
                    self.schedule_soon(now);
                }
                outcome.updated.push(entry.writer);
            }
        }
        outcome
    }

    /// Runs a round if one is due, and returns its messages.
    pub fn run_round(&mut self, now: Duration) -> RoundOutcome {
        if now < self.next_round {
            return RoundOutcome::default();
        }
        let jitter = MIN_JITTER + self.rng.random::<f64>() * JITTER_RANGE;
        self.next_round = now + self.interval.mul_f64(jitter);
        self.last_round = Some(now);
        let incarnation_raised = self.own_incarnation.supersede_dead_process(now);
        self.reports.drop_expired(now);
        let requests_sync = self.own_incarnation.is_syncing(now);
        if !requests_sync && !self.own_incarnation.is_superseded() {
            self.refresh_own_entry(now);
        }
        let mut messages = Vec::new();
        for receiver in self.choose_receivers() {
            messages.push((receiver, self.message_for(now, receiver, requests_sync)));
        }
        if self.reports.has_rumors() {
            self.schedule_soon(now);
        }
        RoundOutcome {
            messages,
            incarnation_raised,
        }
    }

    /// Writes a new entry of this host if its report is a rumor, or if the last entry is old.
    fn refresh_own_entry(&mut self, now: Duration) {
        self.own_report.rounds_since_refresh += 1;
        let is_rumor = self.own_report.is_rumor;
        if !is_rumor && self.own_report.rounds_since_refresh < REFRESH_ROUNDS {
            return;
        }
        let retransmissions = if is_rumor { self.retransmissions() } else { 1 };
        self.own_report.is_rumor = false;
        self.own_report.rounds_since_refresh = 0;
        let version = self.own_incarnation.next_version();
        let report = self.own_report.report.clone();
        self.reports
            .store_own(now, self.me, version, report, retransmissions);
    }

    /// Chooses the receivers of a round: first peers that have requested all entries, then others at
    /// random.
    fn choose_receivers(&mut self) -> Vec<HostNumber> {
        let mut receivers: Vec<HostNumber> = self
            .sync_requests
            .iter()
            .take(GOSSIP_FANOUT)
            .copied()
            .collect();
        self.sync_requests.retain(|host| !receivers.contains(host));
        let mut others = self.peers.clone();
        let (chosen, _) = others.partial_shuffle(&mut self.rng, GOSSIP_FANOUT - receivers.len());
        receivers.extend_from_slice(chosen);
        receivers
    }

    fn message_for(
        &mut self,
        now: Duration,
        receiver: HostNumber,
        requests_sync: bool,
    ) -> GossipMessage {
        let own = (self.me, self.own_incarnation.version());
        let entries = self.reports.take_entries(now, receiver, own, &mut self.rng);
        GossipMessage {
            incarnation: self.own_incarnation.incarnation(),
            requests_sync,
            entries,
            lease_messages: Vec::new(),
        }
    }
}
