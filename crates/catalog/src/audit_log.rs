//! The last revisions of the catalog, oldest first, and for each subject the last revision that
//! changed it.
//!
//! Owned by [`crate::catalog`]. The log retains a fixed number of revisions, and beyond it those that
//! are still needed, which are never dropped. To bound the log, the leader accepts no revision while
//! [`AuditLog::is_full`] returns true.

use crate::change::{Change, Revision, Subject};
use crate::records::Version;
use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};

/// The last revisions. See the module documentation.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct AuditLog {
    revisions: VecDeque<Revision>,
    max_len: usize,
    /// Revisions after this version are not dropped.
    needed_after: Version,
    /// For each subject, the last revision in the log that changed it.
    last_changed: HashMap<Subject, Version>,
}

impl AuditLog {
    /// Creates an empty log. `max_len` is the number of revisions to retain, at least 1.
    pub fn new(max_len: usize) -> Self {
        AuditLog {
            max_len: max_len.max(1),
            needed_after: Version(u64::MAX),
            ..AuditLog::default()
        }
    }

    /// Retains all revisions after that version from now on.
    pub fn retain_after(&mut self, after: Version) {
        self.needed_after = after;
    }

    /// All revisions, oldest first.
    pub fn iter(
        &self,
    ) -> impl DoubleEndedIterator<Item = &Revision> + ExactSizeIterator + Clone + '_ {
        self.revisions.iter()
    }

    /// The oldest revision.
    pub fn oldest(&self) -> Option<&Revision> {
        self.revisions.front()
    }

    /// Returns whether the log has reached its maximum length with revisions that are all still
    /// needed.
    pub fn is_full(&self) -> bool {
        let oldest_needed = |oldest: &Revision| oldest.version > self.needed_after;
        self.revisions.len() >= self.max_len && self.oldest().is_some_and(oldest_needed)
    }

    /// Revisions after that version.
    pub fn after(&self, version: Version) -> impl Iterator<Item = &Revision> + '_ {
        let start = self
            .revisions
            .partition_point(|revision| revision.version <= version);
        self.revisions.range(start..)
    }

    /// The revision that led to a version.
    pub fn get(&self, version: Version) -> Option<&Revision> {
        self.revisions
            .iter()
            .rev()
            .find(|revision| revision.version == version)
    }

    /// The last revision in the log that changed a subject.
    pub fn last_changed(&self, subject: &Subject) -> Option<Version> {
        self.last_changed.get(subject).copied()
    }

    /// Adds the newest revision. Drops the oldest revisions as long as the log exceeds its length and
    /// they are not needed.
    pub fn push(&mut self, revision: Revision) {
        for change in &revision.changes {
            self.last_changed.insert(change.subject(), revision.version);
        }
        for (version, earlier) in &revision.also {
            self.add_earlier_state(*version, earlier);
        }
        self.revisions.push_back(revision);
        while self.revisions.len() > self.max_len {
            let may_drop = |oldest: &mut Revision| oldest.version <= self.needed_after;
            let Some(dropped) = self.revisions.pop_front_if(may_drop) else {
                break;
            };
            self.forget_subjects(&dropped);
        }
    }

    fn add_earlier_state(&mut self, version: Version, earlier: &Change) {
        let position = self
            .revisions
            .binary_search_by_key(&version, |revision| revision.version);
        if let Ok(position) = position {
            self.revisions[position].before.push(earlier.clone());
        }
    }

    /// Removes and returns the newest revision.
    pub fn pop(&mut self) -> Option<Revision> {
        let revision = self.revisions.pop_back()?;
        for change in &revision.changes {
            let subject = change.subject();
            let touches = |earlier: &&Revision| {
                earlier
                    .changes
                    .iter()
                    .any(|other| other.subject() == subject)
            };
            let earlier = self.revisions.iter().rev().find(touches);
            match earlier.map(|earlier| earlier.version) {
                Some(version) => _ = self.last_changed.insert(subject, version),
                None => _ = self.last_changed.remove(&subject),
            }
        }
        Some(revision)
    }

    /// Drops revisions up to that version, and returns them.
    pub fn drop_upto(&mut self, upto: Version) -> Vec<Revision> {
        let count = self
            .revisions
            .partition_point(|revision| revision.version <= upto);
        let dropped: Vec<Revision> = self.revisions.drain(..count).collect();
        for revision in &dropped {
            self.forget_subjects(revision);
        }
        dropped
    }

    /// Removes the subjects of a dropped revision that no later revision changed. From now on it is
    /// unknown when they last changed.
    fn forget_subjects(&mut self, dropped: &Revision) {
        for change in &dropped.changes {
            let Entry::Occupied(entry) = self.last_changed.entry(change.subject()) else {
                continue;
            };
            if *entry.get() == dropped.version {
                entry.remove();
            }
        }
    }
}
