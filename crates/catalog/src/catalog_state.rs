//! The complete state of the catalog as a list of changes, at the current or an earlier version, and
//! the difference between two states.
//!
//! The catalog service uses it to send the initial state to a host, to write snapshots, and to
//! compare the catalog with a declared configuration.

use crate::catalog::Catalog;
use crate::change::{Change, Subject};
use crate::records::Version;
use std::collections::{BTreeMap, BTreeSet};

impl Catalog {
    /// The complete state, as changes that would create it from an empty catalog.
    pub fn state(&self) -> impl Iterator<Item = Change> + '_ {
        let plans = self.plans().map(|(name, plan)| Change::Plan {
            name: name.clone(),
            to: Some(plan.clone()),
        });
        let nodes = self.nodes().map(|(id, node)| Change::Node {
            id,
            to: Some(node.clone()),
        });
        let volumes = self.volumes().map(|(id, volume)| Change::Volume {
            id,
            to: Some(volume.clone()),
        });
        let drains = self.drains().map(|(node, drain)| Change::Drain {
            node,
            to: Some(drain.clone()),
        });
        let targets = self.targets().map(|(name, volumes)| Change::Target {
            name: name.clone(),
            to: Some(volumes.clone()),
        });
        let scheduled = self.scheduled().map(|(id, scheduled)| Change::Scheduled {
            id,
            to: Some(scheduled.clone()),
        });
        plans
            .chain(nodes)
            .chain(volumes)
            .chain(drains)
            .chain(targets)
            .chain(scheduled)
    }

    /// The complete state at an earlier version. The audit log must reach back to that version.
    pub fn state_at(&self, version: Version) -> impl Iterator<Item = Change> + '_ {
        let mut earlier: BTreeMap<Subject, Change> = BTreeMap::new();
        let undone = self
            .audit_log()
            .rev()
            .take_while(|revision| revision.version > version);
        for revision in undone {
            for change in &revision.before {
                earlier.insert(change.subject(), change.clone());
            }
        }
        let changed: BTreeSet<Subject> = earlier.keys().cloned().collect();
        let unchanged = self
            .state()
            .filter(move |change| !changed.contains(&change.subject()));
        earlier
            .into_values()
            .filter(|change| !change.is_removal())
            .chain(unchanged)
    }

    /// The changes that would make this state equal to another one. Empty if the states are equal.
    pub fn changes_towards(&self, other: &Catalog) -> Vec<Change> {
        let mut changes: Vec<Change> = other
            .state()
            .filter(|change| self.now(&change.subject()) != *change)
            .collect();
        let mut removed: Vec<Change> = self
            .state()
            .map(|change| other.now(&change.subject()))
            .filter(Change::is_removal)
            .collect();
        // `state` lists a subject after the subjects that it refers to, and removals need the
        // reverse order.
        removed.reverse();
        changes.extend(removed);
        changes
    }
}
