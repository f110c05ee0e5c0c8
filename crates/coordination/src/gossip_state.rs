//! Gossip state: one report of each host, merged by the larger version stamp and aged by time
//! spans.
//!
//! Called by [`crate::coordinator`]: [`GossipState::publish`] for what this host reports of itself,
//! [`GossipState::handle_message`] for what was received, [`GossipState::run_round`] when its time
//! has come, which returns the messages to send. No I/O. Spread is by rumour and rotation (Demers
//! 1987): what is new is passed on a few times at once, and besides each message carries other
//! entries in turn, so that in the end every host receives everything, whatever was lost.
//!
//! Bound, whatever the fleet's size: [`GOSSIP_FANOUT`] messages of at most [`MAX_ENTRIES`] entries
//! in a round, and a round in each interval at most, or four times as often while there is news.
//! Memory: an entry for each host.
//!
//! An entry's age is its report's age when it arrived, and the time since: nothing is known of the
//! way between hosts, so each hop counts a millisecond, lest an entry that goes round and round
//! stays young. What is older than [`ENTRY_TIMEOUT`] is rejected and dropped: it cannot come back
//! through a slow peer, since its age comes with it.
//!
//! Incarnations tell the processes of one host apart; of one host's entries those of the later
//! incarnation count. A host that starts asks its peers first, and publishes when it has received
//! what they know of it, or nothing for [`SYNC_TIMEOUT`]. A host that later receives a report of
//! itself that is as late, and not its own, is superseded: either it is the earlier process, or its
//! incarnation is too low. It stays so as long as the other's count grows, and then continues with
//! a higher incarnation.

use crate::gossip_message::{GossipMessage, MAX_ENTRIES, MAX_REPORT_ITEMS};
use crate::host_report::{GossipEntry, HostReport, VersionStamp};
use crate::{HostNumber, Incarnation};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Peers that are sent a message in a round.
pub const GOSSIP_FANOUT: usize = 2;
/// A host without a new report for so long is forgotten.
pub const ENTRY_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a host that has started waits for what its peers know of it.
pub const SYNC_TIMEOUT: Duration = Duration::from_millis(600);
/// Without a new report of another process of this host for so long, that process is taken for
/// gone.
const SUPERSEDED_TIMEOUT: Duration = Duration::from_secs(10);
/// What an entry ages at least on its way from host to host.
const HOP_DELAY: Duration = Duration::from_millis(1);
/// A host's own entry is written anew at least once in so many rounds, so that others know that it
/// is alive.
const REFRESH_ROUNDS: u32 = 5;
/// A round that has news to spread comes after this fraction of the interval.
const URGENT_INTERVAL_DIVISOR: u32 = 4;

/// A host's report as this host stores it.
#[derive(Debug, Clone)]
struct StoredEntry {
    version: VersionStamp,
    /// When it was written, in nanoseconds of this host's clock; before this host's start for the
    /// oldest.
    written_at: i128,
    report: HostReport,
    /// How often it is still to be passed on as news.
    retransmissions: u32,
}

impl StoredEntry {
    fn age(&self, now: Duration) -> Duration {
        Duration::from_nanos((nanos(now) - self.written_at).max(0) as u64)
    }
}

/// Another process of this host, as peers report it.
#[derive(Debug, Clone, Copy)]
struct OtherProcess {
    version: VersionStamp,
    /// When its version last grew.
    since: Duration,
}

/// The reports of all hosts, as far as this host knows them.
#[derive(Debug)]
pub struct GossipState {
    me: HostNumber,
    incarnation: Incarnation,
    /// Reports that this incarnation has written.
    count: u64,
    interval: Duration,
    /// Sorted.
    peers: Vec<HostNumber>,
    entries: BTreeMap<HostNumber, StoredEntry>,
    own_report: HostReport,
    own_is_news: bool,
    rounds_since_refresh: u32,
    /// Until when this host asks its peers before it writes.
    syncs_until: Duration,
    other_process: Option<OtherProcess>,
    /// The last entry that was passed on in turn, by its place among all.
    rotation: usize,
    next_round: Duration,
    last_round: Option<Duration>,
    /// Peers that asked for what is known.
    sync_requests: BTreeSet<HostNumber>,
    rng: Pcg64Mcg,
}

/// A host's report with its age now.
#[derive(Debug, Clone)]
pub struct KnownReport<'a> {
    /// The host that wrote it.
    pub host: HostNumber,
    /// Orders the host's reports.
    pub version: VersionStamp,
    /// Time since it was written.
    pub age: Duration,
    /// What it reports.
    pub report: &'a HostReport,
}

/// What a message changed.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct MergeOutcome {
    /// Hosts of which a later report was taken.
    pub updated: Vec<HostNumber>,
    /// Entries of hosts that are unknown here, or older than [`ENTRY_TIMEOUT`].
    pub rejected: usize,
    /// This host's own incarnation was too low, and has been raised.
    pub incarnation_raised: bool,
}

/// What a round sends.
#[derive(Debug, Default)]
pub struct RoundOutcome {
    /// Messages by receiver.
    pub messages: Vec<(HostNumber, GossipMessage)>,
    /// Another process of this host is gone, and this host's incarnation has been raised above it.
    pub incarnation_raised: bool,
}

fn nanos(duration: Duration) -> i128 {
    duration.as_nanos() as i128
}

impl GossipState {
    /// `incarnation` is a guess, such as the wall clock's; peers may know better. `interval`:
    /// between two rounds.
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
            incarnation,
            count: 0,
            interval,
            peers,
            entries: BTreeMap::new(),
            own_report: HostReport::default(),
            own_is_news: false,
            rounds_since_refresh: 0,
            syncs_until,
            other_process: None,
            rotation: 0,
            next_round,
            last_round: None,
            sync_requests: BTreeSet::new(),
            rng,
        }
    }

    /// This host's incarnation; it grows where peers know of a later one.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Whether another process of this host, which may be a later one, is at work.
    pub fn is_superseded(&self) -> bool {
        self.other_process.is_some()
    }

    /// When the next round is due.
    pub fn wake_at(&self) -> Duration {
        self.next_round
    }

    /// Replaces what this host reports of itself. `news`: peers should receive it at once.
    pub fn publish(&mut self, now: Duration, report: HostReport, news: bool) {
        debug_assert!(report.observations.len() <= MAX_REPORT_ITEMS);
        debug_assert!(report.offers.len() <= MAX_REPORT_ITEMS);
        debug_assert!(report.served.len() <= MAX_REPORT_ITEMS);
        self.own_report = report;
        if news {
            self.own_is_news = true;
            self.schedule_soon(now);
        }
    }

    /// The next round comes soon, though no sooner than a quarter of the interval after the last.
    fn schedule_soon(&mut self, now: Duration) {
        let soonest = self
            .last_round
            .map_or(now, |last| last + self.interval / URGENT_INTERVAL_DIVISOR);
        self.next_round = self.next_round.min(soonest.max(now));
    }

    /// The reports of all hosts, this one's own among them; hosts that were forgotten are left out.
    pub fn reports(&self, now: Duration) -> impl Iterator<Item = KnownReport<'_>> {
        self.entries
            .iter()
            .map(move |(host, entry)| KnownReport {
                host: *host,
                version: entry.version,
                age: entry.age(now),
                report: &entry.report,
            })
            .filter(|known| known.age < ENTRY_TIMEOUT)
    }

    /// How often one host passes on news: a few times more than a rumour needs to reach all.
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
                outcome.incarnation_raised |= self.handle_own_entry(now, entry.version);
                continue;
            }
            if self.peers.binary_search(&entry.writer).is_err() || entry.age >= ENTRY_TIMEOUT {
                outcome.rejected += 1;
                continue;
            }
            if self.merge_entry(now, entry) {
                outcome.updated.push(entry.writer);
            }
        }
        outcome
    }

    /// Takes a peer's entry if it is later than the one stored; whether it is.
    fn merge_entry(&mut self, now: Duration, entry: &GossipEntry) -> bool {
        let before = self.entries.get(&entry.writer);
        if before.is_some_and(|before| before.version >= entry.version) {
            return false;
        }
        // A host that merely repeats what it reported, or less, is no news; a new urgent
        // observation is.
        let news = before.is_none_or(|before| {
            let urgent = entry.report.urgent();
            !urgent.is_subset(&before.report.urgent())
        });
        let stored = StoredEntry {
            version: entry.version,
            written_at: nanos(now) - nanos(entry.age + HOP_DELAY),
            report: entry.report.clone(),
            retransmissions: if news { self.retransmissions() } else { 0 },
        };
        self.entries.insert(entry.writer, stored);
        if news {
            self.schedule_soon(now);
        }
        true
    }

    /// A peer has an entry of this host. Whether this host's incarnation had to be raised above it.
    fn handle_own_entry(&mut self, now: Duration, version: VersionStamp) -> bool {
        let start = VersionStamp {
            incarnation: self.incarnation,
            count: 0,
        };
        let written_here = version.incarnation == self.incarnation && version.count <= self.count;
        if version < start || written_here {
            return false;
        }
        if now < self.syncs_until && self.count == 0 {
            // An earlier incarnation, received before anything was written.
            self.incarnation = Incarnation(version.incarnation.0 + 1);
            return true;
        }
        if self
            .other_process
            .is_none_or(|other| version > other.version)
        {
            self.other_process = Some(OtherProcess {
                version,
                since: now,
            });
        }
        false
    }

    /// The messages to send, where a round is due.
    pub fn run_round(&mut self, now: Duration) -> RoundOutcome {
        if now < self.next_round {
            return RoundOutcome::default();
        }
        let jitter = 0.75 + self.rng.random::<f64>() / 2.0;
        self.next_round = now + self.interval.mul_f64(jitter);
        self.last_round = Some(now);
        let incarnation_raised = self.outlive_other_process(now);
        self.entries
            .retain(|_, entry| nanos(now) - entry.written_at < nanos(ENTRY_TIMEOUT));
        let syncs = now < self.syncs_until;
        if !syncs && self.other_process.is_none() {
            self.refresh_own_entry(now);
        }
        let mut messages = Vec::new();
        for receiver in self.choose_receivers() {
            messages.push((receiver, self.message_for(now, receiver, syncs)));
        }
        if self.entries.values().any(|entry| entry.retransmissions > 0) {
            self.schedule_soon(now);
        }
        RoundOutcome {
            messages,
            incarnation_raised,
        }
    }

    /// Continues above another process of this host that is gone; whether there was one.
    fn outlive_other_process(&mut self, now: Duration) -> bool {
        let Some(other) = self.other_process else {
            return false;
        };
        if now < other.since + SUPERSEDED_TIMEOUT {
            return false;
        }
        self.incarnation = Incarnation(other.version.incarnation.0 + 1);
        self.count = 0;
        self.other_process = None;
        true
    }

    /// Writes this host's own entry where it has news, or none was written for a while.
    fn refresh_own_entry(&mut self, now: Duration) {
        self.rounds_since_refresh += 1;
        if !self.own_is_news && self.rounds_since_refresh < REFRESH_ROUNDS {
            return;
        }
        let retransmissions = if self.own_is_news {
            self.retransmissions()
        } else {
            1
        };
        self.own_is_news = false;
        self.count += 1;
        self.rounds_since_refresh = 0;
        let own = StoredEntry {
            version: self.own_version(),
            written_at: nanos(now),
            report: self.own_report.clone(),
            retransmissions,
        };
        self.entries.insert(self.me, own);
    }

    fn own_version(&self) -> VersionStamp {
        VersionStamp {
            incarnation: self.incarnation,
            count: self.count,
        }
    }

    /// Peers that asked for what is known come first, then others by chance.
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
        let mut entries = Vec::new();
        for writer in self.choose_entries(receiver) {
            let stored = self.entries.get_mut(&writer).expect("chosen among them");
            stored.retransmissions = stored.retransmissions.saturating_sub(1);
            entries.push(GossipEntry {
                writer,
                version: stored.version,
                age: stored.age(now),
                report: stored.report.clone(),
            });
        }
        GossipMessage {
            incarnation: self.incarnation,
            requests_sync,
            entries,
            lease_messages: Vec::new(),
        }
    }

    /// At most [`MAX_ENTRIES`]: the receiver's own, this host's, news, and then others in turn.
    fn choose_entries(&mut self, receiver: HostNumber) -> BTreeSet<HostNumber> {
        let mut chosen: BTreeSet<HostNumber> = BTreeSet::new();
        // Before anything else what the receiver may not know of itself, where it asks.
        if self.entries.contains_key(&receiver) {
            chosen.insert(receiver);
        }
        let own_version = self.own_version();
        let own = self.entries.get(&self.me);
        if own.is_some_and(|own| own.version == own_version) {
            chosen.insert(self.me);
        }
        let mut news: Vec<HostNumber> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.retransmissions > 0)
            .map(|(host, _)| *host)
            .collect();
        if news.len() > MAX_ENTRIES {
            // More news than a message takes: any of it, so that together hosts pass on all of it.
            news = news.partial_shuffle(&mut self.rng, MAX_ENTRIES).0.to_vec();
        }
        chosen.extend(news.into_iter().take(MAX_ENTRIES - chosen.len()));
        let all: Vec<HostNumber> = self.entries.keys().copied().collect();
        for _ in 0..all.len() {
            if chosen.len() >= MAX_ENTRIES {
                break;
            }
            self.rotation = (self.rotation + 1) % all.len();
            chosen.insert(all[self.rotation]);
        }
        chosen
    }
}
