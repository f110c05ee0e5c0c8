//! Converts the configuration that a settings file declares into the changes that produce it.
//!
//! The state service calls it for the first revision of a new store; the operator's commands call
//! it to compare a file with the stored catalog. No state, no I/O.

use grebecleat_catalog::catalog::Catalog;
use grebecleat_catalog::change::Change;
use grebecleat_catalog::records::{Deployment, Name, Node, Plan, Version, Volume};
use grebecleat_settings::Settings;

/// Returns the part of the settings that no change affects: the hosts, and the maximum dispatch
/// delay of an attempt.
pub fn deployment(settings: &Settings) -> Deployment {
    let hosts = settings.hosts.iter();
    Deployment {
        hosts: hosts.map(|host| Name::from(host.name.as_str())).collect(),
        max_dispatch_delay: settings.bounds.max_dispatch_delay,
    }
}

/// Returns the plans, nodes, volumes and targets of a settings file, in an order in which each
/// refers only to earlier ones.
pub fn declared_changes(settings: &Settings) -> Vec<Change> {
    let mut changes = Vec::new();
    changes.extend(plans(settings));
    changes.extend(nodes(settings));
    changes.extend(volumes(settings));
    changes.extend(targets(settings));
    changes
}

/// Returns the changes that lead from the declaration of a settings file to `state`, for commands
/// without a service.
pub fn changes_from_declared(
    settings: &Settings,
    state: impl IntoIterator<Item = Change>,
) -> Vec<Change> {
    let catalog = |state: Vec<Change>| {
        Catalog::new(deployment(settings), 1).restored(Version(1), state, Vec::new())
    };
    let declared = catalog(declared_changes(settings));
    declared.changes_towards(&catalog(state.into_iter().collect()))
}

fn plans(settings: &Settings) -> impl Iterator<Item = Change> + '_ {
    settings.plans.iter().map(|plan| {
        let facts = &plan.facts;
        let declared = Plan {
            rate: facts.base_rate,
            reservation: facts.reservation,
            limit: facts.limit,
            burst: facts.limit_burst,
            slack: facts.limit_slack,
            weight: facts.weight,
            price: facts.price,
        };
        Change::Plan {
            name: plan.name.as_str().into(),
            to: Some(declared),
        }
    })
}

fn nodes(settings: &Settings) -> impl Iterator<Item = Change> + '_ {
    settings.nodes.iter().map(|node| {
        let declared = Node {
            name: node.name.as_str().into(),
            zone: settings.zones[node.zone].as_str().into(),
            shard: node.shard,
            capacity: node.capacity,
        };
        Change::Node {
            id: node.id,
            to: Some(declared),
        }
    })
}

fn volumes(settings: &Settings) -> impl Iterator<Item = Change> + '_ {
    settings.volumes.iter().map(|volume| {
        let hosts = volume.hosts.iter();
        let declared = Volume {
            plan: settings.plans[volume.plan].name.as_str().into(),
            hosts: hosts
                .map(|host| Name::from(settings.hosts[*host].name.as_str()))
                .collect(),
            shards: volume.shards.clone().into(),
            blocks: volume.blocks,
        };
        Change::Volume {
            id: volume.id,
            to: Some(declared),
        }
    })
}

fn targets(settings: &Settings) -> impl Iterator<Item = Change> + '_ {
    settings.targets.iter().map(|target| {
        let volumes = target.volumes.iter();
        let ids = volumes.map(|volume| settings.volumes[*volume].id).collect();
        Change::Target {
            name: target.name.as_str().into(),
            to: Some(ids),
        }
    })
}
