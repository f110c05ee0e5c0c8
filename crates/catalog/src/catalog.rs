//! The catalog: the current plans, volumes, nodes, drains, targets and scheduled changes, and the
//! audit log of the last revisions.
//!
//! [`Catalog::apply`] applies a revision. The leader that accepted it, a process that reads it from
//! its store, and a host that follows the change feed all use the same function. [`crate::propose`]
//! creates revisions from changes. This module performs no I/O, and decides nothing about single
//! requests.
//!
//! Memory use is the records, their indexes, and the bounded audit log.

use crate::audit_log::AuditLog;
use crate::change::{Change, Revision, ScheduledChange, Subject};
use crate::errors::OutOfOrder;
use crate::interner::Interner;
use crate::records::{Deployment, Drain, Name, Node, Plan, Version, Volume};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The state of the configuration at one version. See the module documentation.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Catalog {
    facts: Deployment,
    version: Version,
    plans: BTreeMap<Name, Plan>,
    volumes: BTreeMap<u64, Volume>,
    nodes: BTreeMap<u32, Node>,
    drains: BTreeMap<u32, Drain>,
    targets: BTreeMap<Name, Arc<[u64]>>,
    scheduled: BTreeMap<u64, ScheduledChange>,
    nodes_by_name: BTreeMap<Name, u32>,
    /// Volumes by plan, so that the removal of a plan need not check all volumes.
    volumes_of_plan: BTreeMap<Name, BTreeSet<u64>>,
    interner: Interner,
    audit_log: AuditLog,
}

impl Catalog {
    /// Creates an empty catalog. `max_audit_log` is the number of revisions that the audit log
    /// retains, at least 1.
    pub fn new(facts: Deployment, max_audit_log: usize) -> Self {
        Catalog {
            facts,
            audit_log: AuditLog::new(max_audit_log),
            ..Catalog::default()
        }
    }

    /// Makes the audit log retain all revisions after that version from now on.
    pub fn retain_after(&mut self, after: Version) {
        self.audit_log.retain_after(after);
    }

    /// Adds a stored state to an empty catalog: the version, the complete state, and the last
    /// revisions, oldest first.
    pub fn restored(
        mut self,
        version: Version,
        state: impl IntoIterator<Item = Change>,
        audit_log: Vec<Revision>,
    ) -> Self {
        for change in state {
            self.put(&change);
        }
        self.version = version;
        for revision in audit_log {
            self.audit_log.push(revision);
        }
        self
    }

    /// The properties that the settings of the deployment fix.
    pub fn facts(&self) -> &Deployment {
        &self.facts
    }

    /// The current version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The plan of that name.
    pub fn plan(&self, name: &str) -> Option<&Plan> {
        self.plans.get(name)
    }

    /// The volume of that number.
    pub fn volume(&self, id: u64) -> Option<&Volume> {
        self.volumes.get(&id)
    }

    /// The node of that number.
    pub fn node(&self, id: u32) -> Option<&Node> {
        self.nodes.get(&id)
    }

    /// Number of the node with that name. If there is none, `name` is parsed as a node number.
    pub fn node_by_name_or_number(&self, name: &str) -> Option<u32> {
        let by_number = || name.parse().ok().filter(|id| self.nodes.contains_key(id));
        self.node_by_name(name).or_else(by_number)
    }

    /// Number of the node of that name.
    pub(crate) fn node_by_name(&self, name: &str) -> Option<u32> {
        self.nodes_by_name.get(name).copied()
    }

    /// The drain of a node.
    pub fn drain(&self, node: u32) -> Option<&Drain> {
        self.drains.get(&node)
    }

    /// All plans, by name.
    pub fn plans(&self) -> impl Iterator<Item = (&Name, &Plan)> {
        self.plans.iter()
    }

    /// All volumes, by number.
    pub fn volumes(&self) -> impl Iterator<Item = (u64, &Volume)> {
        self.volumes.iter().map(|(id, volume)| (*id, volume))
    }

    /// All nodes, by number.
    pub fn nodes(&self) -> impl Iterator<Item = (u32, &Node)> {
        self.nodes.iter().map(|(id, node)| (*id, node))
    }

    /// All drains, by the node's number.
    pub fn drains(&self) -> impl Iterator<Item = (u32, &Drain)> {
        self.drains.iter().map(|(node, drain)| (*node, drain))
    }

    /// All targets with their volumes, by name.
    pub fn targets(&self) -> impl Iterator<Item = (&Name, &Arc<[u64]>)> {
        self.targets.iter()
    }

    /// All scheduled changes, by number.
    pub fn scheduled(&self) -> impl Iterator<Item = (u64, &ScheduledChange)> {
        self.scheduled
            .iter()
            .map(|(id, scheduled)| (*id, scheduled))
    }

    /// Numbers of the volumes on a plan.
    pub fn volumes_of_plan(&self, plan: &str) -> impl Iterator<Item = u64> + '_ {
        self.volumes_of_plan
            .get(plan)
            .into_iter()
            .flatten()
            .copied()
    }

    /// The last revisions, oldest first.
    pub fn audit_log(
        &self,
    ) -> impl DoubleEndedIterator<Item = &Revision> + ExactSizeIterator + Clone {
        self.audit_log.iter()
    }

    /// Returns whether the audit log has reached its maximum length with revisions that are all still
    /// needed.
    pub fn audit_log_is_full(&self) -> bool {
        self.audit_log.is_full()
    }

    /// The revision in the audit log that led to a version.
    pub(crate) fn revision(&self, version: Version) -> Option<&Revision> {
        self.audit_log.get(version)
    }

    /// The version of the oldest revision in the audit log, or the current version if the log is
    /// empty.
    pub(crate) fn oldest_known(&self) -> Version {
        self.audit_log
            .oldest()
            .map_or(self.version, |oldest| oldest.version)
    }

    /// The revisions after that version, or `None` if the audit log no longer reaches back that far.
    pub fn since(&self, version: Version) -> Option<impl Iterator<Item = &Revision> + '_> {
        let first = self
            .audit_log
            .oldest()
            .map_or(self.version, |oldest| oldest.from);
        (version >= first).then(|| self.audit_log.after(version))
    }

    /// The last revision in the audit log that changed a subject.
    pub fn last_changed(&self, subject: &Subject) -> Option<Version> {
        self.audit_log.last_changed(subject)
    }

    /// The current state of a subject, as the change that would set it.
    pub fn now(&self, subject: &Subject) -> Change {
        match subject {
            Subject::Plan(name) => Change::Plan {
                name: name.clone(),
                to: self.plans.get(name).cloned(),
            },
            Subject::Volume(id) => Change::Volume {
                id: *id,
                to: self.volumes.get(id).cloned(),
            },
            Subject::Node(id) => Change::Node {
                id: *id,
                to: self.nodes.get(id).cloned(),
            },
            Subject::Drain(node) => Change::Drain {
                node: *node,
                to: self.drains.get(node).cloned(),
            },
            Subject::Target(name) => Change::Target {
                name: name.clone(),
                to: self.targets.get(name).cloned(),
            },
            Subject::Scheduled(id) => Change::Scheduled {
                id: *id,
                to: self.scheduled.get(id).cloned(),
            },
        }
    }

    /// Applies the next revision.
    ///
    /// # Errors
    /// If the revision does not follow the current version. The state is then unchanged.
    pub fn apply(&mut self, revision: Revision) -> Result<(), OutOfOrder> {
        if revision.version <= self.version {
            return Err(OutOfOrder::Older);
        }
        if revision.from != self.version {
            return Err(OutOfOrder::Gap {
                expected: self.version.next(),
            });
        }
        for change in &revision.changes {
            self.put(change);
        }
        self.version = revision.version;
        self.audit_log.push(revision);
        Ok(())
    }

    /// Reverts the last revision, which was never persisted, and returns it.
    pub fn revert_last(&mut self) -> Option<Revision> {
        let revision = self.audit_log.pop()?;
        for change in &revision.before {
            self.put(change);
        }
        self.version = revision.from;
        Some(revision)
    }

    /// Drops revisions up to that version from the audit log, and returns them.
    pub fn forget(&mut self, upto: Version) -> Vec<Revision> {
        self.audit_log.drop_upto(upto)
    }

    fn put(&mut self, change: &Change) {
        match change.clone() {
            Change::Plan { name, to } => put_or_remove(&mut self.plans, name, to),
            Change::Volume { id, to } => self.put_volume(id, to),
            Change::Node { id, to } => self.put_node(id, to),
            Change::Drain { node, to } => put_or_remove(&mut self.drains, node, to),
            Change::Target { name, to } => put_or_remove(&mut self.targets, name, to),
            Change::Scheduled { id, to } => put_or_remove(&mut self.scheduled, id, to),
        }
    }

    fn put_node(&mut self, id: u32, to: Option<Node>) {
        if let Some(old) = self.nodes.get(&id) {
            // An earlier change of the same revision may have given the name to another node.
            if self.nodes_by_name.get(&old.name) == Some(&id) {
                self.nodes_by_name.remove(&old.name);
            }
        }
        if let Some(node) = to.as_ref().filter(|node| !node.name.is_empty()) {
            self.nodes_by_name.insert(node.name.clone(), id);
        }
        put_or_remove(&mut self.nodes, id, to);
    }

    fn put_volume(&mut self, id: u64, to: Option<Volume>) {
        let volume = to.map(|volume| self.interner.share(volume));
        let new_plan = volume.as_ref().map(|volume| volume.plan.clone());
        let old = match volume {
            Some(volume) => self.volumes.insert(id, volume),
            None => self.volumes.remove(&id),
        };
        let old_plan = old.map(|volume| volume.plan);
        if old_plan == new_plan {
            return;
        }
        if let Some(on_old_plan) = old_plan.and_then(|plan| self.volumes_of_plan.get_mut(&plan)) {
            on_old_plan.remove(&id);
        }
        if let Some(plan) = new_plan {
            self.volumes_of_plan.entry(plan).or_default().insert(id);
        }
    }
}

fn put_or_remove<K: Ord, V>(map: &mut BTreeMap<K, V>, key: K, to: Option<V>) {
    match to {
        Some(value) => _ = map.insert(key, value),
        None => _ = map.remove(&key),
    }
}
