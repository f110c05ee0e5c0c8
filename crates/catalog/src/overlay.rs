//! A view of the catalog with proposed changes applied, without a copy of the unchanged subjects.
//!
//! [`crate::propose`] creates one for each proposal, and the validation reads it. Memory use is a
//! reference for each change.

use crate::catalog::Catalog;
use crate::change::{Change, Subject};
use crate::records::{Name, Node, Plan, Volume};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A catalog with changes on top. See the module documentation.
pub(crate) struct Overlay<'a> {
    /// The catalog before the changes.
    pub base: &'a Catalog,
    changes: BTreeMap<Subject, &'a Change>,
}

impl<'a> Overlay<'a> {
    /// Creates a view without changes.
    pub fn new(base: &'a Catalog) -> Self {
        Overlay {
            base,
            changes: BTreeMap::new(),
        }
    }

    /// Adds a change. Returns false if an earlier change had the same subject.
    pub fn put(&mut self, change: &'a Change) -> bool {
        self.changes.insert(change.subject(), change).is_none()
    }

    /// The changes, in the order of their subjects.
    pub fn changes(&self) -> impl Iterator<Item = (&Subject, &'a Change)> + '_ {
        self.changes
            .iter()
            .map(|(subject, change)| (subject, *change))
    }

    /// The plan with that name after the changes.
    pub fn plan(&self, name: &Name) -> Option<&Plan> {
        match self.changes.get(&Subject::Plan(name.clone())) {
            Some(Change::Plan { to, .. }) => to.as_ref(),
            _ => self.base.plan(name),
        }
    }

    /// The volume with that number after the changes.
    pub fn volume(&self, id: u64) -> Option<&Volume> {
        match self.changes.get(&Subject::Volume(id)) {
            Some(Change::Volume { to, .. }) => to.as_ref(),
            _ => self.base.volume(id),
        }
    }

    /// The node with that number after the changes.
    pub fn node(&self, id: u32) -> Option<&Node> {
        match self.changes.get(&Subject::Node(id)) {
            Some(Change::Node { to, .. }) => to.as_ref(),
            _ => self.base.node(id),
        }
    }

    /// Returns whether a node has a drain after the changes.
    pub fn has_drain(&self, node: u32) -> bool {
        match self.changes.get(&Subject::Drain(node)) {
            Some(change) => !change.is_removal(),
            None => self.base.drain(node).is_some(),
        }
    }

    /// The volumes of a target after the changes. `volumes` are its volumes in the base catalog.
    pub fn target<'b>(&'b self, name: &Name, volumes: &'b Arc<[u64]>) -> Option<&'b Arc<[u64]>> {
        match self.changes.get(&Subject::Target(name.clone())) {
            Some(Change::Target { to, .. }) => to.as_ref(),
            _ => Some(volumes),
        }
    }

    /// Numbers of all nodes in the base catalog and in the changes, including removed nodes.
    pub fn node_ids(&self) -> impl Iterator<Item = u32> + '_ {
        let base = self.base.nodes().map(|(id, _)| id);
        base.chain(self.changed_nodes())
    }

    /// Numbers of the nodes that the changes add, modify or remove.
    pub fn changed_nodes(&self) -> impl Iterator<Item = u32> + '_ {
        self.changes.keys().filter_map(|subject| match subject {
            Subject::Node(id) => Some(*id),
            _ => None,
        })
    }
}
