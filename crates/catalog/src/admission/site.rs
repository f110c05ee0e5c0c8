//! Converts the catalog to the site model of the planner, and keeps it up to date.
//!
//! [`crate::admission`] calls [`SiteModel::apply`] for each change of the catalog, and reads the
//! shortfall of reservations. Only this module changes the flow.
//!
//! The state is the flow without the nodes that are being drained, and the parts of the catalog that
//! the flow was built from. Memory use is the flow, and an entry for each node, zone and plan.

use crate::catalog::Catalog;
use crate::change::Change;
use crate::incremental_flow::{IncrementalFlow, Shortfall};
use crate::planner::{Node, Site, Volume, PARTS_PER_UNIT};
use crate::records::{self, Drain, Name, Stage};
use std::collections::{BTreeMap, BTreeSet};

/// Smallest change of a reservation, in thousandths of a unit per second, that survives rounding.
const MIN_RESERVATION_CHANGE: f64 = 0.5;

/// The site of a catalog. See the module documentation.
#[derive(Debug, Clone, Default)]
pub(super) struct SiteModel {
    flow: IncrementalFlow,
    /// Names of zones. The index of a zone is its number in the planner.
    zones: Vec<Name>,
    nodes_of_shard: BTreeMap<u32, BTreeSet<u32>>,
    /// The reservation of each plan, as passed to the flow.
    reservations: BTreeMap<Name, f64>,
    /// Whether any node's capacity was ever configured.
    capacity_known: bool,
    /// Nodes whose drain has started, which receive no new requests.
    draining: BTreeSet<u32>,
    /// The stage of each drain.
    stages: BTreeMap<u32, Stage>,
}

impl SiteModel {
    /// Creates an empty site. See [`Site`] for `spread`.
    pub fn new(spread: f64) -> Self {
        SiteModel {
            flow: IncrementalFlow::of(&Site {
                spread,
                ..Site::default()
            }),
            ..SiteModel::default()
        }
    }

    /// Nodes whose drain has started, which receive no new requests.
    pub fn draining(&self) -> &BTreeSet<u32> {
        &self.draining
    }

    /// The stage of a node's drain.
    pub fn stage(&self, node: u32) -> Option<Stage> {
        self.stages.get(&node).copied()
    }

    /// Returns whether any node's capacity was ever configured.
    pub fn capacity_known(&self) -> bool {
        self.capacity_known
    }

    /// All nodes.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.flow.nodes()
    }

    /// The name of a zone, by its number in the planner.
    pub fn zone_name(&self, zone: u32) -> Option<&Name> {
        self.zones.get(zone as usize)
    }

    /// The reservations that cannot be met in the current state.
    pub fn shortfall(&self) -> Shortfall {
        self.flow.shortfall()
    }

    /// The reservations that could not be met if these nodes were out as well.
    pub fn shortfall_without(&mut self, out: &BTreeSet<u32>) -> Shortfall {
        self.flow.without(out)
    }

    /// The largest error from rounding, in units per second.
    pub fn slack(&self) -> f64 {
        self.flow.slack()
    }

    /// The complete site of a catalog, including nodes that are being drained.
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

    /// Updates the site from the catalog, for the subjects of these changes.
    pub fn apply(&mut self, catalog: &Catalog, changes: &[Change]) {
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
        self.apply_volumes(catalog, volumes);
    }

    fn apply_volumes(&mut self, catalog: &Catalog, ids: BTreeSet<u64>) {
        let planned: Vec<(u64, Option<Volume>)> = ids
            .into_iter()
            .map(|id| {
                let volume = catalog.volume(id);
                let planned = volume.map(|volume| self.planner_volume(catalog, id, volume));
                (id, planned)
            })
            .collect();
        self.flow.set_volumes(planned);
    }

    /// Updates the shard that a node holds, and returns whether it has changed.
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

    /// Updates a plan's reservation, and returns whether it has changed by more than rounding hides.
    fn apply_reservation(&mut self, catalog: &Catalog, name: &Name) -> bool {
        let present = catalog.plan(name).map_or(0.0, |plan| plan.reservation);
        let former = self.reservations.insert(name.clone(), present);
        former.is_none_or(|former| {
            (former - present).abs() * PARTS_PER_UNIT >= MIN_RESERVATION_CHANGE
        })
    }

    fn planner_node(&self, id: u32, node: &records::Node) -> Node {
        let zone = self.zones.iter().position(|zone| *zone == node.zone);
        Node {
            id,
            zone: zone.unwrap_or(self.zones.len()) as u32,
            capacity: node.capacity,
        }
    }

    /// Converts a volume for the planner. Its extents are spread evenly over its shards.
    fn planner_volume(&self, catalog: &Catalog, id: u64, volume: &records::Volume) -> Volume {
        let plan = catalog.plan(&volume.plan);
        let fraction = 1.0 / volume.shards.len().max(1) as f64;
        let node_of = |shard: &u32| self.nodes_of_shard.get(shard)?.first().copied();
        let mut placement: Vec<(u32, f64)> = volume
            .shards
            .iter()
            .filter_map(|shard| Some((node_of(shard)?, fraction)))
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

    /// Nodes that the changes affect: those that are changed or drained, and those with data of a
    /// changed volume or of a volume on a changed plan.
    pub fn affected_nodes(&self, catalog: &Catalog, changes: &[Change]) -> BTreeSet<u32> {
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
