//! Stores the newest report of each host, and chooses the entries that a message carries.
//!
//! [`crate::gossip_state`] owns the store. The module does no I/O and stores one entry for each host.
//!
//! The age of an entry is its age when it arrived, plus the time since then. The network delay between
//! hosts is unknown, so each hop counts as [`MIN_HOP_DELAY`]; otherwise an entry that circulates would not
//! age. Entries older than [`ENTRY_TIMEOUT`] are rejected and dropped. A slow peer cannot bring an
//! expired entry back, since messages carry the age of each entry.

use crate::gossip_message::MAX_ENTRIES;
use crate::host_report::{GossipEntry, HostReport, VersionStamp};
use crate::HostNumber;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The age at which an entry expires. A shorter time drops the reports of hosts that are only slow; with a
/// longer one the reports of dead hosts stay longer.
pub const ENTRY_TIMEOUT: Duration = Duration::from_secs(60);
/// The network delay that is added to an entry's age at each hop. Without it an entry that circulates
/// would not age; with a larger one an entry would seem old after many hops.
const MIN_HOP_DELAY: Duration = Duration::from_millis(1);

/// A host's report as this host stores it.
#[derive(Debug, Clone)]
struct StoredEntry {
    version: VersionStamp,
    /// When the report was written, in nanoseconds of this host's clock. Negative if that was before the
    /// clock's zero.
    written_at: i128,
    report: HostReport,
    /// The number of messages that still have to carry the entry as a rumor.
    retransmissions: u32,
}

impl StoredEntry {
    fn age(&self, now: Duration) -> Duration {
        Duration::from_nanos((nanos(now) - self.written_at).max(0) as u64)
    }
}

/// A host's report with its present age.
#[derive(Debug, Clone)]
pub struct KnownReport<'a> {
    /// The host that wrote the report.
    pub host: HostNumber,
    /// The version of the report.
    pub version: VersionStamp,
    /// The time since the report was written.
    pub age: Duration,
    /// The report.
    pub report: &'a HostReport,
}

/// The effect of merging an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MergedEntry {
    /// The entry was dropped, since the stored one is at least as late.
    Outdated,
    /// The entry was stored.
    Stored {
        /// The entry has urgent observations that the one before did not have.
        is_rumor: bool,
    },
}

/// The newest report of each host.
#[derive(Debug, Default)]
pub(crate) struct ReportStore {
    entries: BTreeMap<HostNumber, StoredEntry>,
    /// The index, among all entries, of the last entry that was sent in rotation.
    rotation_index: usize,
}

impl ReportStore {
    /// Returns the reports of all hosts, except those older than [`ENTRY_TIMEOUT`].
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

    /// Stores a peer's entry if it is later than the stored one. If it is a rumor, the next
    /// `retransmissions` messages carry it.
    pub fn merge(
        &mut self,
        now: Duration,
        entry: &GossipEntry,
        retransmissions: u32,
    ) -> MergedEntry {
        let before = self.entries.get(&entry.writer);
        if before.is_some_and(|before| before.version >= entry.version) {
            return MergedEntry::Outdated;
        }
        // An entry is a rumor if it has an urgent observation that the one before did not have. A report
        // that repeats or drops observations therefore starts no rumor.
        let is_rumor = before.is_none_or(|before| {
            let urgent = entry.report.urgent();
            !urgent.is_subset(&before.report.urgent())
        });
        let stored = StoredEntry {
            version: entry.version,
            written_at: nanos(now) - nanos(entry.age + MIN_HOP_DELAY),
            report: entry.report.clone(),
            retransmissions: if is_rumor { retransmissions } else { 0 },
        };
        self.entries.insert(entry.writer, stored);
        MergedEntry::Stored { is_rumor }
    }

    /// Stores the entry that this host has just written.
    pub fn store_own(
        &mut self,
        now: Duration,
        me: HostNumber,
        version: VersionStamp,
        report: HostReport,
        retransmissions: u32,
    ) {
        let own = StoredEntry {
            version,
            written_at: nanos(now),
            report,
            retransmissions,
        };
        self.entries.insert(me, own);
    }

    /// Drops entries older than [`ENTRY_TIMEOUT`].
    pub fn drop_expired(&mut self, now: Duration) {
        self.entries
            .retain(|_, entry| nanos(now) - entry.written_at < nanos(ENTRY_TIMEOUT));
    }

    /// Returns whether any entry still has to be sent as a rumor.
    pub fn has_rumors(&self) -> bool {
        self.entries.values().any(|entry| entry.retransmissions > 0)
    }

    /// Returns the entries for one message, at most [`MAX_ENTRIES`], and counts the transmissions of
    /// rumors. `own` is this host with the version of its last entry.
    pub fn take_entries(
        &mut self,
        now: Duration,
        receiver: HostNumber,
        own: (HostNumber, VersionStamp),
        rng: &mut Pcg64Mcg,
    ) -> Vec<GossipEntry> {
        let mut entries = Vec::new();
        for writer in self.choose_writers(receiver, own, rng) {
            let stored = self
                .entries
                .get_mut(&writer)
                .expect("the entry of a chosen writer is stored");
            stored.retransmissions = stored.retransmissions.saturating_sub(1);
            entries.push(GossipEntry {
                writer,
                version: stored.version,
                age: stored.age(now),
                report: stored.report.clone(),
            });
        }
        entries
    }

    /// Chooses the writers whose entries a message carries: the receiver, this host, rumors, and others in
    /// rotation.
    fn choose_writers(
        &mut self,
        receiver: HostNumber,
        (me, own_version): (HostNumber, VersionStamp),
        rng: &mut Pcg64Mcg,
    ) -> BTreeSet<HostNumber> {
        let mut chosen: BTreeSet<HostNumber> = BTreeSet::new();
        // The receiver's own entry comes first, since a receiver that has restarted does not know it.
        if self.entries.contains_key(&receiver) {
            chosen.insert(receiver);
        }
        let own = self.entries.get(&me);
        if own.is_some_and(|own| own.version == own_version) {
            chosen.insert(me);
        }
        let mut rumors = self.rumors();
        if rumors.len() > MAX_ENTRIES {
            // One message cannot carry all rumors. With a random choice the hosts together forward all of
            // them.
            rumors = rumors.partial_shuffle(rng, MAX_ENTRIES).0.to_vec();
        }
        chosen.extend(rumors.into_iter().take(MAX_ENTRIES - chosen.len()));
        self.add_in_rotation(&mut chosen);
        chosen
    }

    fn rumors(&self) -> Vec<HostNumber> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.retransmissions > 0)
            .map(|(host, _)| *host)
            .collect()
    }

    /// Fills up the chosen writers in rotation.
    fn add_in_rotation(&mut self, chosen: &mut BTreeSet<HostNumber>) {
        let all: Vec<HostNumber> = self.entries.keys().copied().collect();
        for _ in 0..all.len() {
            if chosen.len() >= MAX_ENTRIES {
                break;
            }
            self.rotation_index = (self.rotation_index + 1) % all.len();
            chosen.insert(all[self.rotation_index]);
        }
    }
}

fn nanos(duration: Duration) -> i128 {
    duration.as_nanos() as i128
}
