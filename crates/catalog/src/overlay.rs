//! The catalog as proposed changes would leave it, without a copy of what they do not touch.
//!
//! Made by [`crate::propose`] for one proposal, and read by the checks. Bounded by the number of
//! changes.

use crate::catalog::Catalog;
use crate::change::{Change, Subject};
use crate::records::{Name, Node, Plan, Volume};
use std::collections::BTreeMap;
use std::sync::Arc;

pub(crate) struct Overlay<'a> {
    pub base: &'a Catalog,
    changes: BTreeMap<Subject, &'a Change>,
}

impl<'a> Overlay<'a> {
    pub fn new(base: &'a Catalog) -> Self {
        Overlay {
            base,
            changes: BTreeMap::new(),
        }
    }

    /// Adds a change; false if its subject has one already.
    pub fn put(&mut self, change: &'a Change) -> bool {
        self.changes.insert(change.subject(), change).is_none()
    }

    /// The changes, in the order of their subjects.
    pub fn changes(&self) -> impl Iterator<Item = (&Subject, &'a Change)> + '_ {
        self.changes
            .iter()
            .map(|(subject, change)| (subject, *change))
    }

    pub fn plan(&self, name: &Name) -> Option<&Plan> {
        match self.changes.get(&Subject::Plan(name.clone())) {
            Some(Change::Plan { to, .. }) => to.as_ref(),
            _ => self.base.plan(name),
        }
    }

    pub fn volume(&self, id: u64) -> Option<&Volume> {
        match self.changes.get(&Subject::Volume(id)) {
            Some(Change::Volume { to, .. }) => to.as_ref(),
            _ => self.base.volume(id),
        }
    }

    pub fn node(&self, id: u32) -> Option<&Node> {
        match self.changes.get(&Subject::Node(id)) {
            Some(Change::Node { to, .. }) => to.as_ref(),
            _ => self.base.node(id),
        }
    }

    pub fn has_drain(&self, node: u32) -> bool {
        match self.changes.get(&Subject::Drain(node)) {
            Some(change) => !change.is_removal(),
            None => self.base.drain(node).is_some(),
        }
    }

    /// The volumes of a target that the base has; `volumes` are those that it has there.
    pub fn target<'b>(&'b self, name: &Name, volumes: &'b Arc<[u64]>) -> Option<&'b Arc<[u64]>> {
        match self.changes.get(&Subject::Target(name.clone())) {
            Some(Change::Target { to, .. }) => to.as_ref(),
            _ => Some(volumes),
        }
    }

    /// Numbers of all nodes that are here, and of some that were removed.
    pub fn node_ids(&self) -> impl Iterator<Item = u32> + '_ {
        let base = self.base.nodes().map(|(id, _)| id);
        base.chain(self.changed_nodes())
    }

    /// Numbers of nodes that the changes touch.
    pub fn changed_nodes(&self) -> impl Iterator<Item = u32> + '_ {
        self.changes.keys().filter_map(|subject| match subject {
            Subject::Node(id) => Some(*id),
            _ => None,
        })
    }
}
