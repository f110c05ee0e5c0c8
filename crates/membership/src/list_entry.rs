//! The state of a node in the endpoint list, as one host last received it.

use std::time::Duration;

/// The state of a node in the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum ListedState {
    /// The list has never contained the node.
    #[default]
    NeverListed,
    /// The node accepts requests.
    Ready,
    /// The node must not be sent new requests.
    Draining,
    /// The list no longer contains the node.
    Gone,
}

/// The entry of one node in the endpoint list, as one host last received it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct ListEntry {
    /// The node's state in the list.
    pub state: ListedState,
    /// The incarnation of the node's process that the entry refers to.
    pub incarnation: u64,
    /// When that incarnation started, by this process's clock. `None` if it started long ago.
    pub started: Option<Duration>,
    /// The revision of the list; 0 for a list from the host's cache.
    pub revision: u64,
}

impl ListEntry {
    /// Returns whether this entry takes precedence over another host's entry for the same node. The
    /// incarnation that started later takes precedence, since the earlier one has ended. For the
    /// same incarnation, the later revision takes precedence. An entry from a host's cache
    /// (revision 0) is older than any fetched entry. A discovery service that restarts numbers its
    /// revisions from the beginning again. Until the hosts have polled it again, an old state may
    /// take precedence, but for no longer than the usual delay of the list.
    ///
    /// ```
    /// use grebecleat_membership::list_entry::{ListEntry, ListedState};
    /// use std::time::Duration;
    /// let old = ListEntry { state: ListedState::Gone, incarnation: 1, started: None, revision: 9 };
    /// let started = Some(Duration::from_secs(5));
    /// let new = ListEntry { state: ListedState::Ready, incarnation: 2, started, revision: 8 };
    /// assert!(new.supersedes(&old) && !old.supersedes(&new));
    /// assert!(old.supersedes(&ListEntry { state: ListedState::Ready, revision: 7, ..old }));
    /// ```
    pub fn supersedes(&self, other: &ListEntry) -> bool {
        if self.incarnation != other.incarnation && self.started != other.started {
            return self.started > other.started;
        }
        self.revision > other.revision
    }
}
