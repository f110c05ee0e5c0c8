//! The site that the catalog describes, as the planner sees it, and its upkeep as the catalog
//! changes.

use super::Admission;
use crate::catalog::Catalog;
use crate::change::Change;
use crate::planner::{Node, Site, Volume, PARTS};
use crate::records::{self, Drain, Name};
use std::collections::BTreeSet;

/// Changes of a reservation below this, in thousandths of a unit a second, are lost to rounding.
const MIN_RESERVATION_CHANGE: f64 = 0.5;

impl Admission {
    /// The site as the catalog describes it.
    pub fn site(&self, catalog: &Catalog) -> Site {
        let nodes = catalog.nodes();
        let volumes = catalog.volumes();
        Site {
            nodes: nodes
                .map(|(id, node)| self.planner_node(id, node))
                .collect(),
            volumes: volumes
                .map(|(id, volume)| self.planner_volume(catalog, id, volume))
                .collect(),
            spread: self.flow.spread(),
        }
    }

    /// Brings the site to what the catalog has of what these changes touch.
    pub(super) fn apply(&mut self, catalog: &Catalog, changes: &[Change]) {
        let mut volumes: BTreeSet<u64> = BTreeSet::new();
        let mut has_moved = false;
        for change in changes {
            match change {
                Change::Node { id, .. } => {
                    has_moved |= self.apply_shard(catalog, *id);
                    self.apply_node(catalog, *id);
                }
                Change::Drain { node, .. } => self.apply_drain(*node, catalog.drain(*node)),
                Change::Volume { id, .. } => _ = volumes.insert(*id),
                Change::Plan { name, .. } => {
                    if self.apply_reservation(catalog, name) {
                        volumes.extend(catalog.volumes_of_plan(name));
                    }
                }
                Change::Target { .. } | Change::Scheduled { .. } => {}
            }
        }
        if has_moved {
            volumes.extend(catalog.volumes().map(|(id, _)| id));
        }
        let planned: Vec<(u64, Option<Volume>)> = volumes
            .into_iter()
            .map(|id| {
                let volume = catalog.volume(id);
                (
                    id,
                    volume.map(|volume| self.planner_volume(catalog, id, volume)),
                )
            })
            .collect();
        self.flow.set_volumes(planned);
        self.list_losses();
    }

    /// Notes which shard a node holds; returns whether that has changed.
    fn apply_shard(&mut self, catalog: &Catalog, id: u32) -> bool {
        let former: Vec<u32> = self
            .nodes_of_shard
            .iter()
            .filter(|(_, nodes)| nodes.contains(&id))
            .map(|(shard, _)| *shard)
            .collect();
        let present: Vec<u32> = catalog
            .node(id)
            .map(|node| node.shard)
            .into_iter()
            .collect();
        if former == present {
            return false;
        }
        self.nodes_of_shard.retain(|_, nodes| {
            nodes.remove(&id);
            !nodes.is_empty()
        });
        for shard in present {
            self.nodes_of_shard.entry(shard).or_default().insert(id);
        }
        true
    }

    fn apply_node(&mut self, catalog: &Catalog, id: u32) {
        let node = match catalog.node(id) {
            Some(node) => {
                if !self.zones.contains(&node.zone) {
                    self.zones.push(node.zone.clone());
                }
                self.capacity_known |= node.capacity > 0.0;
                self.planner_node(id, node)
            }
            None => Node {
                id,
                zone: 0,
                capacity: 0.0,
            },
        };
        self.flow.set_node(node);
    }

    fn apply_drain(&mut self, node: u32, drain: Option<&Drain>) {
        match drain {
            Some(drain) => _ = self.stages.insert(node, drain.stage),
            None => _ = self.stages.remove(&node),
        }
        let is_draining = drain.is_some_and(Drain::holds);
        if is_draining {
            self.draining.insert(node);
        } else {
            self.draining.remove(&node);
        }
        self.flow.set_up(node, !is_draining);
    }

    /// Notes a plan's reservation; returns whether it has changed by more than rounding.
    fn apply_reservation(&mut self, catalog: &Catalog, name: &Name) -> bool {
        let present = catalog.plan(name).map_or(0.0, |plan| plan.reservation);
        let former = self.reservations.insert(name.clone(), present);
        former.is_none_or(|former| (former - present).abs() * PARTS >= MIN_RESERVATION_CHANGE)
    }

    fn planner_node(&self, id: u32, node: &records::Node) -> Node {
        let zone = self.zones.iter().position(|zone| *zone == node.zone);
        Node {
            id,
            zone: zone.unwrap_or(self.zones.len()) as u32,
            capacity: node.capacity,
        }
    }

    /// A volume as the planner sees it: spread over its shards alike.
    fn planner_volume(&self, catalog: &Catalog, id: u64, volume: &records::Volume) -> Volume {
        let plan = catalog.plan(&volume.plan);
        let part = 1.0 / volume.shards.len().max(1) as f64;
        let node_of = |shard: &u32| self.nodes_of_shard.get(shard)?.first().copied();
        let mut placement: Vec<(u32, f64)> = volume
            .shards
            .iter()
            .filter_map(|shard| Some((node_of(shard)?, part)))
            .collect();
        placement.sort_unstable_by_key(|(node, _)| *node);
        placement.dedup_by_key(|(node, _)| *node);
        Volume {
            id,
            reservation: plan.map_or(0.0, |plan| plan.reservation),
            weight: plan.map_or(0.0, |plan| plan.weight),
            placement,
        }
    }

    /// Nodes with data of what the changes touch.
    pub(super) fn nodes_touched(&self, catalog: &Catalog, changes: &[Change]) -> BTreeSet<u32> {
        let mut nodes = BTreeSet::new();
        for change in changes {
            match change {
                Change::Volume { id, .. } => nodes.extend(self.flow.nodes_of_volume(*id)),
                Change::Plan { name, .. } => {
                    for id in catalog.volumes_of_plan(name) {
                        nodes.extend(self.flow.nodes_of_volume(id));
                    }
                }
                Change::Node { id, .. } | Change::Drain { node: id, .. } => _ = nodes.insert(*id),
                Change::Target { .. } | Change::Scheduled { .. } => {}
            }
        }
        nodes
    }
}
