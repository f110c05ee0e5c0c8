//! The volumes and demand of each group in the flow, and the unmet part of the demand.
//!
//! Owned by [`crate::incremental_flow`]. Memory use is an entry for each group and volume.

use std::collections::{BTreeMap, BTreeSet};

/// The demand of some groups before a trial.
pub(super) struct SavedDemand {
    totals: Vec<(usize, u64)>,
    unmet: BTreeMap<usize, u64>,
}

/// The groups of a flow, by number. See the module documentation.
#[derive(Debug, Clone, Default)]
pub(super) struct GroupTable {
    /// The volumes of each group, by group.
    members: Vec<BTreeSet<u64>>,
    /// The demand of all volumes of a group, by group.
    totals: Vec<u64>,
    /// The unmet part of the demand, by group. Groups without unmet demand have no entry.
    unmet: BTreeMap<usize, u64>,
}

impl GroupTable {
    /// All groups with demand, each with its number, volumes and demand.
    pub fn with_demand(&self) -> impl Iterator<Item = (usize, &BTreeSet<u64>, u64)> {
        self.members
            .iter()
            .zip(&self.totals)
            .enumerate()
            .map(|(group, (members, total))| (group, members, *total))
            .filter(|(_, _, total)| *total > 0)
    }

    /// The volumes of a group.
    pub fn members(&self, group: usize) -> &BTreeSet<u64> {
        &self.members[group]
    }

    /// The demand of all volumes of a group.
    pub fn total(&self, group: usize) -> u64 {
        self.totals[group]
    }

    /// Sets the demand of a group.
    pub fn set_total(&mut self, group: usize, total: u64) {
        self.totals[group] = total;
    }

    /// The demand of all groups.
    pub fn total_demand(&self) -> u64 {
        self.totals.iter().sum()
    }

    /// The unmet demand of all groups.
    pub fn total_unmet(&self) -> u64 {
        self.unmet.values().sum()
    }

    /// Returns whether any demand is unmet.
    pub fn has_unmet(&self) -> bool {
        !self.unmet.is_empty()
    }

    /// Removes and returns the unmet demand of all groups, for a new attempt to carry it.
    pub fn take_unmet(&mut self) -> BTreeMap<usize, u64> {
        std::mem::take(&mut self.unmet)
    }

    /// Sets the unmet demand of a group.
    pub fn set_unmet(&mut self, group: usize, unmet: u64) {
        match unmet {
            0 => self.unmet.remove(&group),
            unmet => self.unmet.insert(group, unmet),
        };
    }

    /// Adds a volume with its demand to a group, which may be new.
    pub fn add(&mut self, group: usize, id: u64, amount: u64) {
        if group == self.members.len() {
            self.members.push(BTreeSet::new());
            self.totals.push(0);
        }
        self.members[group].insert(id);
        self.totals[group] += amount;
    }

    /// Removes a volume with its demand from a group.
    pub fn remove(&mut self, group: usize, id: u64, amount: u64) {
        self.members[group].remove(&id);
        self.totals[group] -= amount;
    }

    /// Returns a copy of the demand of these groups and of the unmet demand of all groups.
    pub fn save(&self, groups: &BTreeSet<usize>) -> SavedDemand {
        SavedDemand {
            totals: groups
                .iter()
                .map(|group| (*group, self.totals[*group]))
                .collect(),
            unmet: self.unmet.clone(),
        }
    }

    /// Restores saved demand.
    pub fn restore(&mut self, saved: SavedDemand) {
        for (group, total) in saved.totals {
            self.totals[group] = total;
        }
        self.unmet = saved.unmet;
    }
}
