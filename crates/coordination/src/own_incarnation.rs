//! This host's incarnation, and how it compares with other processes of the same host.
//!
//! State machine, owned by [`crate::gossip_state`]. No I/O.
//!
//! Incarnations order the processes of one host; only the entries of the latest incarnation count.
//! A host that starts first requests from its peers their entries of itself. It publishes after it
//! has received them, or after [`SYNC_TIMEOUT`] without them. Later, a host may receive an entry of
//! itself that is at least as late as its own and that it did not write. The host is then
//! superseded: either it is the earlier process, or its incarnation is too low. It stays superseded
//! while the count of the other process grows. Afterwards it continues with a higher incarnation.

use crate::host_report::VersionStamp;
use crate::Incarnation;
use std::time::Duration;

/// How long a host that has started waits for its peers' entries of itself. A shorter time makes it
/// publish under an incarnation that is too low; a longer one delays its first report.
pub const SYNC_TIMEOUT: Duration = Duration::from_millis(600);
/// Time without a new entry of another process of this host after which that process counts as
/// gone. A shorter time lets two processes take turns; a longer one leaves the host without quota.
const SUPERSEDED_TIMEOUT: Duration = Duration::from_secs(10);

/// Another process of this host, as peers report it.
#[derive(Debug, Clone, Copy)]
struct OtherProcess {
    version: VersionStamp,
    /// When its version last grew.
    since: Duration,
}

/// This host's incarnation and the count of its entries.
#[derive(Debug)]
pub(crate) struct OwnIncarnation {
    incarnation: Incarnation,
    /// Entries that this incarnation has written.
    count: u64,
    /// The end of the time in which this host requests its peers' entries before it writes its own.
    syncs_until: Duration,
    other_process: Option<OtherProcess>,
}

impl OwnIncarnation {
    /// Returns an incarnation without entries. `syncs_until`: the end of the synchronisation with
    /// the peers.
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

    /// Returns the version of the last entry that this host wrote.
    pub fn version(&self) -> VersionStamp {
        VersionStamp {
            incarnation: self.incarnation,
            count: self.count,
        }
    }

    /// Returns the version for this host's next entry.
    pub fn next_version(&mut self) -> VersionStamp {
        self.count += 1;
        self.version()
    }

    /// Returns whether this host still requests its peers' entries.
    pub fn is_syncing(&self, now: Duration) -> bool {
        now < self.syncs_until
    }

    /// Returns whether another process of this host, which may be a later one, is alive.
    pub fn is_superseded(&self) -> bool {
        self.other_process.is_some()
    }

    /// Handles the version of an entry of this host that a peer has. Returns whether it had to
    /// raise this host's incarnation above that version.
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
            // An earlier incarnation wrote the entry, and this one has not written any.
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

    /// Raises the incarnation above another process of this host that is gone. Returns whether
    /// there was one.
    pub fn outlive_other_process(&mut self, now: Duration) -> bool {
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
}
