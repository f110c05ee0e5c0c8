//! What the endpoint list says of a node, as one host read it.

use std::time::Duration;

/// The state of a node by the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum ListedState {
    /// No host's list has ever named it.
    #[default]
    Never,
    /// It serves.
    Ready,
    /// It is to get no new requests.
    Draining,
    /// It is no longer there.
    Gone,
}

/// One host's reading of the endpoint list on one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct ListReading {
    /// The state that the list gives.
    pub state: ListedState,
    /// Which incarnation of the node's process it is about.
    pub incarnation: u64,
    /// When that incarnation started, by our clock; None: long ago.
    pub started: Option<Duration>,
    /// The list's revision.
    pub revision: u64,
}

impl ListReading {
    /// Whether this reading takes precedence over another host's: of two incarnations the younger
    /// counts, since the older one has ended; of two readings about one incarnation the later
    /// revision. What a host only has from its cache (revision 0) is older than what any host has
    /// fetched. A list service that itself started anew counts revisions from the start again:
    /// until its hosts have polled it again, they may believe an old state, for as long as the list
    /// is late anyway.
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
