//! Validates changes: their values, and the references between subjects after the changes.
//!
//! [`crate::propose`] calls these functions, which hold no state. [`crate::admission`] evaluates the
//! effect of changes on reservations.

use crate::change::{Change, Subject};
use crate::errors::{ChangeError, InvalidValue};
use crate::overlay::Overlay;
use crate::records::{Deployment, Drain, Name, Node, Plan, Stage, Volume};
use std::collections::BTreeSet;

/// Checks the values of one change, independent of the catalog.
pub(crate) fn check_values(deployment: &Deployment, change: &Change) -> Result<(), ChangeError> {
    let checked = match change {
        Change::Plan { to: Some(plan), .. } => check_plan(deployment, plan),
        Change::Volume {
            to: Some(volume), ..
        } => check_volume(deployment, volume),
        Change::Node { to: Some(node), .. } => check_node(node),
        Change::Scheduled {
            to: Some(scheduled),
            ..
        } => {
            let is_scheduled = |change: &Change| matches!(change, Change::Scheduled { .. });
            if !scheduled.changes.iter().any(is_scheduled) {
                return scheduled
                    .changes
                    .iter()
                    .try_for_each(|change| check_values(deployment, change));
            }
            Err(InvalidValue::NestedSchedule)
        }
        _ => Ok(()),
    };
    checked.map_err(|what| ChangeError::InvalidValue {
        subject: change.subject(),
        what,
    })
}

fn check_plan(deployment: &Deployment, plan: &Plan) -> Result<(), InvalidValue> {
    let values = [
        plan.rate,
        plan.reservation,
        plan.limit,
        plan.burst,
        plan.slack,
        plan.weight,
        plan.price,
    ];
    if values
        .iter()
        .any(|value| !value.is_finite() || *value < 0.0)
    {
        return Err(InvalidValue::InvalidNumber);
    }
    if plan.limit <= 0.0 {
        return Ok(());
    }
    // A limit below the reservation would violate the guarantee. Besides, a host that is cut off from
    // the change feed falls back to its part of the reservation: see docs/design/plans.md.
    if plan.limit < plan.reservation {
        return Err(InvalidValue::LimitBelowReservation);
    }
    if plan.burst <= 0.0 {
        return Err(InvalidValue::NoBurst);
    }
    let minimum = plan.limit * deployment.max_dispatch_delay.as_secs_f64();
    if plan.slack < minimum {
        return Err(InvalidValue::SlackTooSmall { minimum });
    }
    Ok(())
}

fn check_volume(deployment: &Deployment, volume: &Volume) -> Result<(), InvalidValue> {
    if volume.hosts.is_empty() {
        return Err(InvalidValue::NoHost);
    }
    let unknown = |host: &&Name| !deployment.hosts.contains(*host);
    if let Some(host) = volume.hosts.iter().find(unknown) {
        return Err(InvalidValue::UnknownHost(host.clone()));
    }
    let different: BTreeSet<&Name> = volume.hosts.iter().collect();
    if different.len() < volume.hosts.len() {
        return Err(InvalidValue::DuplicateHost);
    }
    if volume.blocks == 0 {
        return Err(InvalidValue::NoBlocks);
    }
    Ok(())
}

fn check_node(node: &Node) -> Result<(), InvalidValue> {
    if !(node.capacity.is_finite() && node.capacity >= 0.0) {
        return Err(InvalidValue::InvalidCapacity);
    }
    if node.name.parse::<u64>().is_ok() {
        return Err(InvalidValue::NameIsANumber(node.name.clone()));
    }
    Ok(())
}

/// Checks that changed subjects refer only to subjects that exist after the changes, and that no
/// remaining subject refers to a removed one.
pub(crate) fn check_references(after: &Overlay) -> Result<(), ChangeError> {
    for (subject, change) in after.changes() {
        if change.is_removal() && after.base.now(subject).is_removal() {
            return Err(ChangeError::Unknown(subject.clone()));
        }
        match change {
            Change::Plan { name, to: None } => check_plan_unused(after, name)?,
            Change::Volume { id, to: None } => check_volume_unused(after, *id)?,
            Change::Volume {
                to: Some(volume), ..
            } => check_plan_exists(after, volume)?,
            Change::Drain {
                node,
                to: Some(drain),
            } => check_drain(after, *node, drain)?,
            Change::Node { id, to: Some(node) } => check_name_unique(after, *id, node)?,
            Change::Node { id, to: None } => check_not_drained(after, *id)?,
            Change::Target {
                to: Some(volumes), ..
            } => check_volumes_exist(after, volumes)?,
            _ => {}
        }
    }
    check_shards_have_nodes(after)
}

fn check_plan_unused(after: &Overlay, name: &Name) -> Result<(), ChangeError> {
    let still_on_plan = |id: &u64| {
        let volume = after.volume(*id);
        volume.is_some_and(|volume| volume.plan == *name)
    };
    match after.base.volumes_of_plan(name).find(still_on_plan) {
        Some(id) => Err(ChangeError::InUse {
            what: Subject::Plan(name.clone()),
            by: Subject::Volume(id),
        }),
        None => Ok(()),
    }
}

fn check_volume_unused(after: &Overlay, id: u64) -> Result<(), ChangeError> {
    for (name, volumes) in after.base.targets() {
        let volumes = after.target(name, volumes);
        if volumes.is_some_and(|volumes| volumes.contains(&id)) {
            return Err(ChangeError::InUse {
                what: Subject::Volume(id),
                by: Subject::Target(name.clone()),
            });
        }
    }
    Ok(())
}

fn check_plan_exists(after: &Overlay, volume: &Volume) -> Result<(), ChangeError> {
    match after.plan(&volume.plan) {
        Some(_) => Ok(()),
        None => Err(ChangeError::Unknown(Subject::Plan(volume.plan.clone()))),
    }
}

fn check_drain(after: &Overlay, node: u32, drain: &Drain) -> Result<(), ChangeError> {
    if after.node(node).is_none() {
        return Err(ChangeError::Unknown(Subject::Node(node)));
    }
    let stage = after.base.drain(node).map(|drain| drain.stage);
    if Stage::may_follow(stage, Some(drain.stage)) {
        return Ok(());
    }
    Err(ChangeError::InvalidValue {
        subject: Subject::Drain(node),
        what: InvalidValue::StageOrder {
            from: stage.map_or("none", Stage::name),
            to: drain.stage.name(),
        },
    })
}

fn check_name_unique(after: &Overlay, id: u32, node: &Node) -> Result<(), ChangeError> {
    if node.name.is_empty() {
        return Ok(());
    }
    let has_name = |other: &u32| {
        let other_node = after.node(*other).filter(|_| *other != id);
        other_node.is_some_and(|other_node| other_node.name == node.name)
    };
    let in_base = after.base.node_by_name(&node.name).filter(has_name);
    match in_base.or_else(|| after.changed_nodes().find(has_name)) {
        Some(other) => Err(ChangeError::InvalidValue {
            subject: Subject::Node(id),
            what: InvalidValue::NameTaken {
                other,
                name: node.name.clone(),
            },
        }),
        None => Ok(()),
    }
}

fn check_not_drained(after: &Overlay, id: u32) -> Result<(), ChangeError> {
    if after.has_drain(id) {
        return Err(ChangeError::InUse {
            what: Subject::Node(id),
            by: Subject::Drain(id),
        });
    }
    Ok(())
}

fn check_volumes_exist(after: &Overlay, volumes: &[u64]) -> Result<(), ChangeError> {
    match volumes.iter().find(|id| after.volume(**id).is_none()) {
        Some(id) => Err(ChangeError::Unknown(Subject::Volume(*id))),
        None => Ok(()),
    }
}

/// Checks that a node holds each shard of the volumes, if any nodes are configured.
fn check_shards_have_nodes(after: &Overlay) -> Result<(), ChangeError> {
    let shards: BTreeSet<u32> = after
        .node_ids()
        .filter_map(|id| after.node(id))
        .map(|node| node.shard)
        .collect();
    if shards.is_empty() {
        return Ok(());
    }
    for id in volumes_to_check(after) {
        let Some(volume) = after.volume(id) else {
            continue;
        };
        let missing = volume.shards.iter().find(|shard| !shards.contains(shard));
        if let Some(shard) = missing {
            return Err(ChangeError::InvalidValue {
                subject: Subject::Volume(id),
                what: InvalidValue::ShardWithoutNode { shard: *shard },
            });
        }
    }
    Ok(())
}

/// Volumes that may have a shard without a node after the changes: the changed volumes and, if a node
/// changes, all others.
fn volumes_to_check(after: &Overlay) -> Vec<u64> {
    let mut volumes: Vec<u64> = after
        .changes()
        .filter_map(|(_, change)| match change {
            Change::Volume { id, to: Some(_) } => Some(*id),
            _ => None,
        })
        .collect();
    if after.changed_nodes().next().is_some() {
        volumes.extend(after.base.volumes().map(|(id, _)| id));
    }
    volumes
}
