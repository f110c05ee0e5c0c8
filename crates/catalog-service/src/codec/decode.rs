//! Decodes changes and revisions from protobuf messages.

use grebecleat_catalog::change::{Change, Revision, ScheduledChange};
use grebecleat_catalog::records::{Drain, Name, Node, Plan, Stage, Version, Volume};
use grebecleat_wire::pb::{
    self,
    change::{Subject, To},
};
use std::time::Duration;

/// The reason why a message is not a valid change or revision. Operators see its text.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// A change has no subject.
    #[error("invalid change: expected a subject, found none")]
    NoSubject,
    /// The new value is not of the subject's kind.
    #[error(
        "invalid change of {subject}: expected a new value of that kind, found one of another kind"
    )]
    WrongKind {
        /// The subject as the message names it.
        subject: String,
    },
    /// An entry of the earlier changes of a revision has no change.
    #[error(
        "invalid revision: expected a change in each entry of its earlier changes, found none"
    )]
    EmptyEarlierChange,
    /// A revision's version is not above the version that it changes.
    #[error("invalid entry {version}: expected a base version below {version}, found {from}")]
    WrongOrder {
        /// The revision's version.
        version: u64,
        /// The version that it changes.
        from: u64,
    },
}

/// Decodes a change.
pub fn change_from_proto(change: pb::Change) -> Result<Change, DecodeError> {
    let subject = change.subject.ok_or(DecodeError::NoSubject)?;
    let value = change.to;
    let change = match &subject {
        Subject::Plan(name) => Change::Plan {
            name: name.as_str().into(),
            to: value_of_kind(&subject, value, plan_from_proto)?,
        },
        Subject::Volume(id) => Change::Volume {
            id: *id,
            to: value_of_kind(&subject, value, volume_from_proto)?,
        },
        Subject::Node(id) => Change::Node {
            id: *id,
            to: value_of_kind(&subject, value, node_from_proto)?,
        },
        Subject::Drain(node) => Change::Drain {
            node: *node,
            to: value_of_kind(&subject, value, drain_from_proto)?,
        },
        Subject::Target(name) => Change::Target {
            name: name.as_str().into(),
            to: value_of_kind(&subject, value, target_from_proto)?.map(Into::into),
        },
        Subject::Scheduled(id) => {
            let scheduled = value_of_kind(&subject, value, scheduled_message)?;
            Change::Scheduled {
                id: *id,
                to: scheduled.map(scheduled_from_proto).transpose()?,
            }
        }
    };
    Ok(change)
}

/// Decodes changes. Returns the error of the first invalid one.
pub fn changes_from_proto(changes: Vec<pb::Change>) -> Result<Vec<Change>, DecodeError> {
    changes.into_iter().map(change_from_proto).collect()
}

/// Returns the new value of a subject; `None` if the change removes the subject. `decode`: returns
/// `None` for a value of another kind than the subject's.
fn value_of_kind<T>(
    subject: &Subject,
    to: Option<To>,
    decode: fn(To) -> Option<T>,
) -> Result<Option<T>, DecodeError> {
    let Some(to) = to else {
        return Ok(None);
    };
    match decode(to) {
        Some(value) => Ok(Some(value)),
        None => Err(DecodeError::WrongKind {
            subject: format!("{subject:?}"),
        }),
    }
}

fn plan_from_proto(to: To) -> Option<Plan> {
    let To::PlanTo(plan) = to else {
        return None;
    };
    Some(Plan {
        rate: plan.rate,
        reservation: plan.reservation,
        limit: plan.limit,
        burst: plan.burst,
        slack: plan.slack,
        weight: plan.weight,
        price: plan.price,
    })
}

fn volume_from_proto(to: To) -> Option<Volume> {
    let To::VolumeTo(volume) = to else {
        return None;
    };
    Some(Volume {
        plan: volume.plan.into(),
        hosts: volume.hosts.into_iter().map(Name::from).collect(),
        shards: volume.shards.into(),
        blocks: volume.blocks,
    })
}

fn node_from_proto(to: To) -> Option<Node> {
    let To::NodeTo(node) = to else {
        return None;
    };
    Some(Node {
        name: node.name.into(),
        zone: node.zone.into(),
        shard: node.shard,
        capacity: node.capacity,
    })
}

fn drain_from_proto(to: To) -> Option<Drain> {
    let To::DrainTo(drain) = to else {
        return None;
    };
    Some(Drain {
        stage: stage_from_proto(drain.stage()),
        timeout: Duration::from_micros(drain.within_us),
        author: drain.author.as_str().into(),
        requested_at: Duration::from_micros(drain.asked_us),
        since: Duration::from_micros(drain.since_us),
    })
}

fn target_from_proto(to: To) -> Option<Vec<u64>> {
    match to {
        To::TargetTo(target) => Some(target.volumes),
        _ => None,
    }
}

fn scheduled_message(to: To) -> Option<pb::ScheduledChange> {
    match to {
        To::ScheduledTo(scheduled) => Some(scheduled),
        _ => None,
    }
}

fn scheduled_from_proto(scheduled: pb::ScheduledChange) -> Result<ScheduledChange, DecodeError> {
    Ok(ScheduledChange {
        at: Duration::from_micros(scheduled.at_us),
        author: scheduled.author,
        reason: scheduled.reason,
        force: scheduled.force,
        changes: changes_from_proto(scheduled.changes)?,
        expects: changes_from_proto(scheduled.expects)?,
    })
}

fn stage_from_proto(stage: pb::DrainStage) -> Stage {
    match stage {
        pb::DrainStage::Queued => Stage::Queued,
        pb::DrainStage::Draining => Stage::Draining,
        pb::DrainStage::Drained => Stage::Drained,
        pb::DrainStage::Removed => Stage::Removed,
    }
}

/// Decodes a revision.
pub fn revision_from_proto(revision: pb::Revision) -> Result<Revision, DecodeError> {
    if revision.from >= revision.version {
        return Err(DecodeError::WrongOrder {
            version: revision.version,
            from: revision.from,
        });
    }
    let changes = changes_from_proto(revision.changes)?;
    let before = changes_from_proto(revision.before)?;
    let mut also = Vec::with_capacity(revision.also.len());
    for earlier in revision.also {
        let change = earlier.change.ok_or(DecodeError::EmptyEarlierChange)?;
        also.push((Version(earlier.version), change_from_proto(change)?));
    }
    Ok(Revision {
        version: Version(revision.version),
        from: Version(revision.from),
        at: Duration::from_micros(revision.at_us),
        author: revision.author,
        reason: revision.reason,
        objections: revision.objections,
        changes,
        before,
        lowers_limits: revision.lowers_limits,
        also,
    })
}
