//! Encodes changes and revisions as protobuf messages.

use grebecleat_catalog::change::{Change, Revision, ScheduledChange};
use grebecleat_catalog::records::{Drain, Node, Plan, Stage, Version, Volume};
use grebecleat_wire::clock::micros;
use grebecleat_wire::pb::{
    self,
    change::{Subject, To},
};

/// Encodes a change.
pub fn change_to_proto(change: &Change) -> pb::Change {
    let (subject, to) = match change {
        Change::Plan { name, to } => (
            Subject::Plan(name.to_string()),
            to.as_ref().map(plan_to_proto),
        ),
        Change::Volume { id, to } => (Subject::Volume(*id), to.as_ref().map(volume_to_proto)),
        Change::Node { id, to } => (Subject::Node(*id), to.as_ref().map(node_to_proto)),
        Change::Drain { node, to } => (Subject::Drain(*node), to.as_ref().map(drain_to_proto)),
        Change::Target { name, to } => (
            Subject::Target(name.to_string()),
            to.as_ref().map(|volumes| target_to_proto(volumes)),
        ),
        Change::Scheduled { id, to } => {
            (Subject::Scheduled(*id), to.as_ref().map(scheduled_to_proto))
        }
    };
    pb::Change {
        subject: Some(subject),
        to,
    }
}

fn plan_to_proto(plan: &Plan) -> To {
    To::PlanTo(pb::PlanConfig {
        rate: plan.rate,
        reservation: plan.reservation,
        limit: plan.limit,
        burst: plan.burst,
        slack: plan.slack,
        weight: plan.weight,
        price: plan.price,
    })
}

fn volume_to_proto(volume: &Volume) -> To {
    To::VolumeTo(pb::VolumeConfig {
        plan: volume.plan.to_string(),
        hosts: volume.hosts.iter().map(|host| host.to_string()).collect(),
        shards: volume.shards.to_vec(),
        blocks: volume.blocks,
    })
}

fn node_to_proto(node: &Node) -> To {
    To::NodeTo(pb::NodeConfig {
        name: node.name.to_string(),
        zone: node.zone.to_string(),
        shard: node.shard,
        capacity: node.capacity,
    })
}

fn drain_to_proto(drain: &Drain) -> To {
    To::DrainTo(pb::DrainRecord {
        within_us: micros(drain.timeout),
        stage: stage_to_proto(drain.stage).into(),
        author: drain.author.to_string(),
        asked_us: micros(drain.requested_at),
        since_us: micros(drain.since),
    })
}

fn target_to_proto(volumes: &[u64]) -> To {
    To::TargetTo(pb::TargetConfig {
        volumes: volumes.to_vec(),
    })
}

fn scheduled_to_proto(scheduled: &ScheduledChange) -> To {
    To::ScheduledTo(pb::ScheduledChange {
        at_us: micros(scheduled.at),
        author: scheduled.author.clone(),
        reason: scheduled.reason.clone(),
        force: scheduled.force,
        changes: scheduled.changes.iter().map(change_to_proto).collect(),
        expects: scheduled.expects.iter().map(change_to_proto).collect(),
    })
}

fn stage_to_proto(stage: Stage) -> pb::DrainStage {
    match stage {
        Stage::Queued => pb::DrainStage::Queued,
        Stage::Draining => pb::DrainStage::Draining,
        Stage::Drained => pb::DrainStage::Drained,
        Stage::Removed => pb::DrainStage::Removed,
    }
}

/// Encodes a revision.
pub fn revision_to_proto(revision: &Revision) -> pb::Revision {
    let earlier_change = |(version, change): &(Version, Change)| pb::EarlierChange {
        version: version.0,
        change: Some(change_to_proto(change)),
    };
    pb::Revision {
        version: revision.version.0,
        from: revision.from.0,
        at_us: micros(revision.at),
        author: revision.author.clone(),
        reason: revision.reason.clone(),
        objections: revision.objections.clone(),
        changes: revision.changes.iter().map(change_to_proto).collect(),
        before: revision.before.iter().map(change_to_proto).collect(),
        lowers_limits: revision.lowers_limits,
        also: revision.also.iter().map(earlier_change).collect(),
    }
}
