//! This host's incarnation, and the detection of other processes of the same host.
//!
//! A state machine without I/O, which [`crate::gossip_state`] owns.
//!
//! Incarnations order the processes of one host; only the entries of the latest incarnation are valid.
//! When a host starts, it first requests the entries that its peers have of it, and raises its
//! incarnation above theirs. It writes its first entry after [`SYNC_TIMEOUT`]. Later, a host may receive
//! an entry of its own number that it did not write and that is at least as late as its own. The host is
//! then superseded: either another process of the host has started, or its own incarnation is too low.
//! It stays superseded while new entries of the other process arrive. When they stop, it continues with
//! an incarnation above that of the other process.

use crate::host_report::VersionStamp;
use crate::Incarnation;
use std::time::Duration;

/// How long a host waits after its start for the entries that its peers have of it. With a shorter time it
/// may publish under an incarnation that is too low; a longer one delays its first report.
pub const SYNC_TIMEOUT: Duration = Duration::from_millis(600);
/// The time without a new entry of another process of this host after which that process is considered
/// dead. With a shorter time two live processes may supersede each other in turn; a longer one leaves
/// the host without quota.
const SUPERSEDED_TIMEOUT: Duration = Duration::from_secs(10);

/// Another process of this host, known from an entry that a peer sent.
#[derive(Debug, Clone, Copy)]
struct OtherProcess {
    version: VersionStamp,
    /// When an entry with a larger version last arrived.
    updated_at: Duration,
}

/// This host's incarnation, and the number of entries that it has written.
#[derive(Debug)]
pub(crate) struct OwnIncarnation {
    incarnation: Incarnation,
    /// The number of entries that this incarnation has written.
    count: u64,
    /// Until then this host requests its peers' entries and writes none.
    syncs_until: Duration,
    other_process: Option<OtherProcess>,
}

impl OwnIncarnation {
    /// Returns an incarnation without entries. Until `syncs_until` the host requests its peers' entries.
    pub fn new(incarnation: Incarnation, syncs_until: Duration) -> Self {
        OwnIncarnation {
            incarnation,
            count: 0,
            syncs_until,
            other_process: None,
        }
    }

    /// Returns the incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the version of this host's last entry.
    pub fn version(&self) -> VersionStamp {
        VersionStamp {
            incarnation: self.incarnation,
            count: self.count,
        }
    }

    /// Advances to the version of this host's next entry and returns it.
    pub fn next_version(&mut self) -> VersionStamp {
        self.count += 1;
        self.version()
    }

    /// Returns whether this host still requests its peers' entries.
    pub fn is_syncing(&self, now: Duration) -> bool {
        now < self.syncs_until
    }

    /// Returns whether another process of this host, which may be the later one, seems to be alive.
    pub fn is_superseded(&self) -> bool {
        self.other_process.is_some()
    }

    /// Handles the version of an entry of this host that a peer has sent. Returns whether the host's
    /// incarnation was raised above that of the entry.
    pub fn handle_entry(&mut self, now: Duration, version: VersionStamp) -> bool {
        let start = VersionStamp {
            incarnation: self.incarnation,
            count: 0,
        };
        let written_here = version.incarnation == self.incarnation && version.count <= self.count;
        if version < start || written_here {
            return false;
        }
        if self.is_syncing(now) && self.count == 0 {
            // This incarnation has written no entries, so an earlier process wrote the received one.
            self.incarnation = Incarnation(version.incarnation.0 + 1);
            return true;
        }
        if self
            .other_process
            .is_none_or(|other| version > other.version)
        {
            self.other_process = Some(OtherProcess {
                version,
                updated_at: now,
            });
        }
        false
    }

    /// Raises the incarnation above that of another process of this host if that process is considered
    /// dead. Returns whether the incarnation was raised.
    pub fn supersede_dead_process(&mut self, now: Duration) -> bool {
        let Some(other) = self.other_process else {
            return false;
        };
        if now < other.updated_at + SUPERSEDED_TIMEOUT {
            return false;
        }
        self.incarnation = Incarnation(other.version.incarnation.0 + 1);
        self.count = 0;
        self.other_process = None;
        true
    }
}
