//! The settings of a deployment: the meaning of each call, and the checks across calls.
//!
//! The commands call [`Settings::load`]. It reads the calls in a fixed order, so that faults always
//! come in the same order. The modules own no state. One module reads each group of settings:
//! `topology`, `plans`, `services`, `limits`, `iscsi`, `rehearsal`.

mod call_reader;
mod iscsi;
mod limits;
mod plans;
mod rehearsal;
mod services;
mod topology;

pub use iscsi::{PortalSpec, TargetSpec};
pub use limits::{Bounds, Rules};
pub use plans::{PlanSpec, TrafficClassSpec};
pub use rehearsal::{FaultSpec, Rehearsal, ScriptedChange};
pub use services::{CoordinationSpec, DiscoverySpec, StateSpec};
pub use topology::{HostSpec, NodeSpec, VolumeSpec};

use crate::fields::{Fault, Place};
use crate::script::calls_of;
use call_reader::CallReader;
use grebecleat_scheduler::api::{HostLimits, UnitSettings};
use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

/// The longest time that a setting accepts.
const DAY: Duration = Duration::from_secs(86_400);
/// Bytes of a logical block of an iSCSI volume.
const BLOCK_BYTES: u32 = 512;

/// Returns a duration in milliseconds.
const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// The settings of a deployment, as a file declares them.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The deployment's name.
    pub name: String,
    /// The names of the zones.
    pub zones: Vec<String>,
    /// The traffic classes.
    pub traffic_classes: Vec<TrafficClassSpec>,
    /// The plans.
    pub plans: Vec<PlanSpec>,
    /// The volumes.
    pub volumes: Vec<VolumeSpec>,
    /// The storage nodes.
    pub nodes: Vec<NodeSpec>,
    /// The hosts.
    pub hosts: Vec<HostSpec>,
    /// The discovery service.
    pub list: DiscoverySpec,
    /// The state service; `None` if the settings declare the configuration.
    pub state: Option<StateSpec>,
    /// The coordination among hosts; `None` if every host decides by itself.
    pub fleet: Option<CoordinationSpec>,
    /// The units of requests.
    pub units: UnitSettings,
    /// The limits of a host on attempts.
    pub host_limits: HostLimits,
    /// The rules of the decisions.
    pub rules: Rules,
    /// The bounds of a host's memory and connections.
    pub bounds: Bounds,
    /// The iSCSI portals.
    pub portals: Vec<PortalSpec>,
    /// The iSCSI targets.
    pub targets: Vec<TargetSpec>,
    /// The rehearsal, if the file declares one.
    pub rehearsal: Option<Rehearsal>,
}

impl Settings {
    /// Returns the longest deadline of all traffic classes; zero without traffic classes.
    pub fn longest_deadline(&self) -> Duration {
        let deadlines = self.traffic_classes.iter().map(|class| class.deadline);
        deadlines.max().unwrap_or_default()
    }

    /// Reads a file. Returns all its faults if it has any.
    pub fn load(path: &Path) -> Result<Self, Vec<Fault>> {
        let text = std::fs::read_to_string(path).map_err(|error| {
            vec![Fault {
                place: Place::file(path),
                what: format!("cannot read: {error}"),
            }]
        })?;
        Self::read(path, text)
    }

    /// Reads the text of a file. `path`: names the file in faults, and finds the files that it
    /// loads. Returns all its faults if it has any.
    pub fn read(path: &Path, text: String) -> Result<Self, Vec<Fault>> {
        let calls = calls_of(path, text).map_err(|fault| vec![fault])?;
        let mut reader = CallReader::new(&calls, path);
        let settings = read_settings(&mut reader);
        reader.finish(settings)
    }
}

/// Reads all calls. The order of the reads is the order of the faults.
fn read_settings(reader: &mut CallReader) -> Settings {
    let name = reader.once("deployment", |f| f.text("name", Some("unnamed")));
    let zones = reader.each("zone", |f| f.text("name", None));
    reader.unique("zone", "name", zones.clone());
    let zone_names = names(&zones, |zone| zone);
    let traffic_classes = read_traffic_classes(reader);
    let plans = read_plans(reader);
    let nodes = read_nodes(reader, &zone_names);
    let hosts = read_hosts(reader, &zone_names);
    let host_names = names(&hosts, |host| &host.name);
    let volumes = read_volumes(reader, &plans, &host_names, &nodes);
    for (call, is_missing) in [
        ("zone", zones.is_empty()),
        ("stream_type", traffic_classes.is_empty()),
        ("plan", plans.is_empty()),
        ("host", hosts.is_empty()),
    ] {
        if is_missing {
            reader.file_fault(format!("no {call}() in the file; expected at least one"));
        }
    }
    let list = reader.once("node_list", services::list);
    let has_state_service = reader.has("state_service");
    let state = has_state_service.then(|| reader.once("state_service", services::state));
    let has_fleet = reader.has("fleet");
    let fleet = has_fleet.then(|| reader.once("fleet", services::fleet));
    let units = reader.once("units", limits::units);
    let host_limits = reader.once("legs", limits::attempts);
    let rules = reader.once("rules", |f| limits::rules(f, hosts.len()));
    let bounds = reader.once("bounds", limits::bounds);
    check_limit_slack(reader, &plans, &bounds);
    let portals = read_portals(reader, &host_names, &traffic_classes, &units);
    let targets = read_targets(reader, &volumes);
    let rehearsal = read_rehearsal(reader, &zone_names, &host_names, &nodes);
    Settings {
        name,
        traffic_classes,
        plans,
        volumes,
        nodes,
        list,
        state,
        fleet,
        units,
        host_limits,
        rules,
        bounds,
        portals,
        targets,
        rehearsal,
        zones,
        hosts,
    }
}

fn names<T>(items: &[T], name: impl Fn(&T) -> &String) -> Vec<&str> {
    items.iter().map(|item| name(item).as_str()).collect()
}

fn read_traffic_classes(reader: &mut CallReader) -> Vec<TrafficClassSpec> {
    let classes = reader.each("stream_type", plans::stream);
    let class_names = classes.iter().map(|class| class.name.clone()).collect();
    reader.unique("stream_type", "name", class_names);
    classes
}

fn read_plans(reader: &mut CallReader) -> Vec<PlanSpec> {
    let plans = reader.each("plan", plans::plan);
    let plan_names = plans.iter().map(|plan| plan.name.clone()).collect();
    reader.unique("plan", "name", plan_names);
    plans
}

fn read_nodes(reader: &mut CallReader, zones: &[&str]) -> Vec<NodeSpec> {
    let nodes = reader.each("node", |f| topology::node(f, zones));
    reader.unique("node", "id", nodes.iter().map(|node| node.id).collect());
    let mut node_names: Vec<&str> = names(&nodes, |node| &node.name);
    node_names.retain(|name| !name.is_empty());
    node_names.sort_unstable();
    if let Some(twice) = node_names.windows(2).find(|pair| pair[0] == pair[1]) {
        reader.file_fault(format!(
            "node: field 'name': {} stands a second time; expected each once",
            twice[0]
        ));
    }
    nodes
}

fn read_hosts(reader: &mut CallReader, zones: &[&str]) -> Vec<HostSpec> {
    let hosts = reader.each("host", |f| topology::host(f, zones));
    let host_names = hosts.iter().map(|host| host.name.clone()).collect();
    reader.unique("host", "name", host_names);
    hosts
}

fn read_volumes(
    reader: &mut CallReader,
    plans: &[PlanSpec],
    hosts: &[&str],
    nodes: &[NodeSpec],
) -> Vec<VolumeSpec> {
    let plans = names(plans, |plan| &plan.name);
    let shards: BTreeSet<u32> = nodes.iter().map(|node| node.shard).collect();
    let volumes = reader.each("volume", |f| topology::volume(f, &plans, hosts, &shards));
    let ids = volumes.iter().map(|volume| volume.id).collect();
    reader.unique("volume", "id", ids);
    volumes
}

/// Adds a fault if a limit's slack is too small. An attempt is charged to the limit when it is
/// decided, and reaches its node up to the maximum dispatch delay later. A burst at the nodes can
/// therefore exceed the limit by the rate over that time.
fn check_limit_slack(reader: &mut CallReader, plans: &[PlanSpec], bounds: &Bounds) {
    let least_slack = |plan: &PlanSpec| plan.facts.limit * bounds.max_dispatch_delay.as_secs_f64();
    let is_short =
        |plan: &&PlanSpec| plan.facts.limit > 0.0 && plan.facts.limit_slack < least_slack(plan);
    if let Some(plan) = plans.iter().find(is_short) {
        let least = least_slack(plan);
        reader.file_fault(format!(
            "plan: field 'limit_slack': of {}: expected at least limit times bounds' linger, {least}",
            plan.name
        ));
    }
}

fn read_portals(
    reader: &mut CallReader,
    hosts: &[&str],
    traffic_classes: &[TrafficClassSpec],
    units: &UnitSettings,
) -> Vec<PortalSpec> {
    let class_names = names(traffic_classes, |class| &class.name);
    let portals = reader.each("portal", |f| iscsi::portal(f, hosts, &class_names));
    // A request that counts as fewer units than it has would evade reservations and limits.
    let extent_units =
        |portal: &PortalSpec| (portal.extent_blocks * BLOCK_BYTES).div_ceil(portal.unit_bytes);
    let is_too_large = |portal: &&PortalSpec| f64::from(extent_units(portal)) > units.largest;
    if let Some(portal) = portals.iter().find(is_too_large) {
        reader.file_fault(format!(
            "portal: field 'extent_blocks': an extent is {} units; expected at most units' largest, {}",
            extent_units(portal),
            units.largest
        ));
    }
    portals
}

fn read_targets(reader: &mut CallReader, volumes: &[VolumeSpec]) -> Vec<TargetSpec> {
    let volume_ids: Vec<u64> = volumes.iter().map(|volume| volume.id).collect();
    let targets = reader.each("target", |f| iscsi::target(f, &volume_ids));
    let target_names = targets.iter().map(|target| target.name.clone()).collect();
    reader.unique("target", "name", target_names);
    targets
}

fn read_rehearsal(
    reader: &mut CallReader,
    zones: &[&str],
    hosts: &[&str],
    nodes: &[NodeSpec],
) -> Option<Rehearsal> {
    let node_ids: BTreeSet<u32> = nodes.iter().map(|node| node.id).collect();
    let injected_faults = reader.each("trouble", |f| {
        rehearsal::trouble(f, zones, hosts, &node_ids)
    });
    let changes = reader.each("change", rehearsal::change);
    if !reader.has("rehearsal") {
        return None;
    }
    let run = reader.once("rehearsal", rehearsal::run);
    Some(reader.once("load_of", |f| {
        rehearsal::load(f, run, &injected_faults, &changes)
    }))
}
