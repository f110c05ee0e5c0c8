//! The state of a node in the endpoint list, as one host read it. Plain data.

use std::time::Duration;

/// The state of a node in the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum ListedState {
    /// No host's list has ever named the node.
    #[default]
    Never,
    /// The node serves.
    Ready,
    /// The node must get no new requests.
    Draining,
    /// The list no longer has the node.
    Gone,
}

/// One host's reading of the endpoint list on one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct ListReading {
    /// The node's state in the list.
    pub state: ListedState,
    /// The incarnation of the node's process that the list names.
    pub incarnation: u64,
    /// When that incarnation started, by this process's clock; None: long ago.
    pub started: Option<Duration>,
    /// The list's revision.
    pub revision: u64,
}

impl ListReading {
    /// Returns whether this reading takes precedence over another host's. The younger incarnation
    /// counts, since the older one has ended. For the same incarnation, the later revision counts.
    /// A reading from a host's cache (revision 0) is older than any fetched reading. A discovery
    /// service that restarts counts its revisions from the start again. Until its hosts have polled
    /// it again, an old state may take precedence, for no longer than the list is late in any case.
    ///
    /// ```
    /// use grebecleat_membership::list_reading::{ListReading, ListedState};
    /// use std::time::Duration;
    /// let old = ListReading { state: ListedState::Gone, incarnation: 1, started: None, revision: 9 };
    /// let started = Some(Duration::from_secs(5));
    /// let new = ListReading { state: ListedState::Ready, incarnation: 2, started, revision: 8 };
    /// assert!(new.supersedes(&old) && !old.supersedes(&new));
    /// assert!(old.supersedes(&ListReading { state: ListedState::Ready, revision: 7, ..old }));
    /// ```
    pub fn supersedes(&self, other: &ListReading) -> bool {
        if self.incarnation != other.incarnation && self.started != other.started {
            return self.started > other.started;
        }
        self.revision > other.revision
    }
}
