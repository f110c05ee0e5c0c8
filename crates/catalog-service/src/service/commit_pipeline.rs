//! Commits records asynchronously, and tracks which are not yet stored.
//!
//! Owned by [`super::owner`]. State: the sequence numbers of the records that are not yet stored, and
//! the last failure of the store. The group-commit thread reports each commit as an event to the
//! owner, which then calls [`CommitPipeline::persisted`] or [`CommitPipeline::persist_failed`].

use super::event::ServiceEvent;
use crate::group_commit::GroupCommit;
use crate::store::{Record, StoreContents, StoreFault};
use std::collections::BTreeSet;
use std::sync::mpsc::Sender;
use tracing::error;

/// The records of one step, which are stored in one commit.
#[derive(Default)]
pub(super) struct PendingCommit {
    records: Vec<Record>,
    /// Sequence number of the first record.
    first: u64,
    /// Sequence number of the last record.
    last: u64,
}

impl PendingCommit {
    /// Adds a record. Sequence numbers must ascend.
    pub fn push(&mut self, number: u64, record: Record) {
        if self.records.is_empty() {
            self.first = number;
        }
        self.last = number;
        self.records.push(record);
    }
}

/// Commits records through the group-commit thread, and tracks the results.
pub(super) struct CommitPipeline {
    group_commit: GroupCommit,
    to_owner: Sender<ServiceEvent>,
    /// Sequence numbers of the records that are not yet stored.
    uncommitted: BTreeSet<u64>,
    /// The last failure of the store; empty after a commit that succeeded.
    store_fault: String,
}

impl CommitPipeline {
    /// Returns a pipeline without records. `to_owner`: receives the result of each commit.
    pub fn new(group_commit: GroupCommit, to_owner: Sender<ServiceEvent>) -> Self {
        CommitPipeline {
            group_commit,
            to_owner,
            uncommitted: BTreeSet::new(),
            store_fault: String::new(),
        }
    }

    /// Marks a record as not yet stored, before its commit starts.
    pub fn expect(&mut self, number: u64) {
        self.uncommitted.insert(number);
    }

    /// Passes the records to the group-commit thread. Does nothing if there are no records.
    pub fn commit(&self, pending: PendingCommit) {
        let PendingCommit {
            records,
            first,
            last,
        } = pending;
        if records.is_empty() {
            return;
        }
        let to_owner = self.to_owner.clone();
        self.group_commit.commit(records, move |result| {
            let event = match result {
                Ok(()) => ServiceEvent::Persisted { up_to: last },
                // The records are one commit: if the first one is not stored, none is.
                Err(fault) => ServiceEvent::PersistFailed {
                    number: first,
                    reason: fault.to_string(),
                },
            };
            let _ = to_owner.send(event);
        });
    }

    /// Reads the store after all commits that were started before. `done` runs on the
    /// group-commit thread and must not block.
    pub fn read(&self, done: impl FnOnce(Result<StoreContents, StoreFault>) + Send + 'static) {
        self.group_commit.read(done);
    }

    /// Marks all records up to `up_to` as stored.
    pub fn persisted(&mut self, up_to: u64) {
        self.store_fault.clear();
        self.uncommitted.retain(|number| *number > up_to);
    }

    /// Handles the failure of the commit that begins with the record `number`. The later records of
    /// that commit count as uncommitted until a later commit succeeds.
    pub fn persist_failed(&mut self, number: u64, reason: &str) {
        error!(number, error = %reason, "records not persisted; their changes are not in force");
        self.store_fault = reason.to_string();
        self.uncommitted.retain(|other| *other > number);
    }

    /// Returns the last failure of the store; empty if the last commit succeeded.
    pub fn store_fault(&self) -> &str {
        &self.store_fault
    }

    /// Returns the number of records that are not yet stored.
    pub fn uncommitted(&self) -> usize {
        self.uncommitted.len()
    }
}
