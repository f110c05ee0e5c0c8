//! Changes and entries as messages, for the disk and for the wire, and back.
//!
//! What comes from either may be damaged or a lie: everything that makes no sense is a fault with its place,
//! and nothing of it is taken.

use grebecleat_plans::changes::{
    Change, Drain, Name, Node, Plan, Revision, ScheduledChange, Stage, Version, Volume,
};
use grebecleat_wire::pb::{self, change};
use std::sync::Arc;
use std::time::Duration;

fn micros(d: Duration) -> u64 {
    grebecleat_wire::clock::micros(d)
}

/// A message that is no change, and what is wrong with it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecodeError(pub String);

impl std::error::Error for DecodeError {}

impl std::fmt::Display for DecodeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "no change: {}", self.0)
    }
}

fn scheduled_pb(t: &ScheduledChange) -> pb::ScheduledChange {
    pb::ScheduledChange {
        at_us: micros(t.at),
        author: t.author.clone(),
        reason: t.reason.clone(),
        force: t.force,
        changes: t.changes.iter().map(change_to_proto).collect(),
        expects: t.expects.iter().map(change_to_proto).collect(),
    }
}

fn stage_pb(stage: Stage) -> pb::DrainStage {
    match stage {
        Stage::Queued => pb::DrainStage::Queued,
        Stage::Draining => pb::DrainStage::Draining,
        Stage::Drained => pb::DrainStage::Drained,
        Stage::Removed => pb::DrainStage::Removed,
    }
}

fn stage_of(stage: pb::DrainStage) -> Stage {
    match stage {
        pb::DrainStage::Queued => Stage::Queued,
        pb::DrainStage::Draining => Stage::Draining,
        pb::DrainStage::Drained => Stage::Drained,
        pb::DrainStage::Removed => Stage::Removed,
    }
}

pub fn change_to_proto(c: &Change) -> pb::Change {
    use change::{Subject, To};
    let (subject, to) = match c {
        Change::Plan { name, to } => {
            let figures = |p: &Plan| pb::PlanConfig {
                rate: p.rate,
                reservation: p.reservation,
                limit: p.limit,
                burst: p.burst,
                slack: p.slack,
                weight: p.weight,
                price: p.price,
            };
            (
                Subject::Plan(name.to_string()),
                to.as_ref().map(|p| To::PlanTo(figures(p))),
            )
        }
        Change::Volume { id, to } => {
            let facts = |v: &Volume| pb::VolumeConfig {
                plan: v.plan.to_string(),
                hosts: v.hosts.iter().map(|h| h.to_string()).collect(),
                shards: v.shards.to_vec(),
                blocks: v.blocks,
            };
            (
                Subject::Volume(*id),
                to.as_ref().map(|v| To::VolumeTo(facts(v))),
            )
        }
        Change::Node { id, to } => {
            let facts = |n: &Node| pb::NodeConfig {
                name: n.name.to_string(),
                zone: n.zone.to_string(),
                shard: n.shard,
                capacity: n.capacity,
            };
            (
                Subject::Node(*id),
                to.as_ref().map(|n| To::NodeTo(facts(n))),
            )
        }
        Change::Drain { node, to } => {
            let facts = |d: &Drain| pb::DrainRecord {
                within_us: micros(d.within),
                stage: stage_pb(d.stage).into(),
                author: d.author.to_string(),
                asked_us: micros(d.asked),
                since_us: micros(d.since),
            };
            (
                Subject::Drain(*node),
                to.as_ref().map(|d| To::DrainTo(facts(d))),
            )
        }
        Change::Target { name, to } => {
            let facts = |v: &Arc<[u64]>| pb::TargetConfig {
                volumes: v.to_vec(),
            };
            (
                Subject::Target(name.to_string()),
                to.as_ref().map(|v| To::TargetTo(facts(v))),
            )
        }
        Change::Scheduled { id, to } => (
            Subject::Scheduled(*id),
            to.as_ref().map(|t| To::ScheduledTo(scheduled_pb(t))),
        ),
    };
    pb::Change {
        subject: Some(subject),
        to,
    }
}

pub fn change_from_proto(c: pb::Change) -> Result<Change, DecodeError> {
    use change::{Subject, To};
    let names = |all: Vec<String>| all.into_iter().map(Name::from).collect::<Arc<[Name]>>();
    let change = match (c.subject, c.to) {
        (Some(Subject::Plan(name)), to @ (None | Some(To::PlanTo(_)))) => {
            let figures = |p: pb::PlanConfig| Plan {
                rate: p.rate,
                reservation: p.reservation,
                limit: p.limit,
                burst: p.burst,
                slack: p.slack,
                weight: p.weight,
                price: p.price,
            };
            let to = to.and_then(|t| {
                if let To::PlanTo(p) = t {
                    Some(figures(p))
                } else {
                    None
                }
            });
            Change::Plan {
                name: name.into(),
                to,
            }
        }
        (Some(Subject::Volume(id)), to @ (None | Some(To::VolumeTo(_)))) => {
            let facts = |v: pb::VolumeConfig| Volume {
                plan: v.plan.into(),
                hosts: names(v.hosts),
                shards: v.shards.into(),
                blocks: v.blocks,
            };
            Change::Volume {
                id,
                to: to.and_then(|t| {
                    if let To::VolumeTo(v) = t {
                        Some(facts(v))
                    } else {
                        None
                    }
                }),
            }
        }
        (Some(Subject::Node(id)), to @ (None | Some(To::NodeTo(_)))) => {
            let facts = |n: pb::NodeConfig| Node {
                name: n.name.into(),
                zone: n.zone.into(),
                shard: n.shard,
                capacity: n.capacity,
            };
            Change::Node {
                id,
                to: to.and_then(|t| {
                    if let To::NodeTo(n) = t {
                        Some(facts(n))
                    } else {
                        None
                    }
                }),
            }
        }
        (Some(Subject::Drain(node)), to @ (None | Some(To::DrainTo(_)))) => {
            let facts = |d: pb::DrainRecord| Drain {
                stage: stage_of(d.stage()),
                within: Duration::from_micros(d.within_us),
                author: d.author.as_str().into(),
                asked: Duration::from_micros(d.asked_us),
                since: Duration::from_micros(d.since_us),
            };
            Change::Drain {
                node,
                to: to.and_then(|t| {
                    if let To::DrainTo(d) = t {
                        Some(facts(d))
                    } else {
                        None
                    }
                }),
            }
        }
        (Some(Subject::Target(name)), to @ (None | Some(To::TargetTo(_)))) => {
            let to = to.and_then(|t| {
                if let To::TargetTo(v) = t {
                    Some(v.volumes.into())
                } else {
                    None
                }
            });
            Change::Target {
                name: name.into(),
                to,
            }
        }
        (Some(Subject::Scheduled(id)), None) => Change::Scheduled { id, to: None },
        (Some(Subject::Scheduled(id)), Some(To::ScheduledTo(t))) => {
            let scheduled = ScheduledChange {
                at: Duration::from_micros(t.at_us),
                author: t.author,
                reason: t.reason,
                force: t.force,
                changes: changes_from_proto(t.changes)?,
                expects: changes_from_proto(t.expects)?,
            };
            Change::Scheduled {
                id,
                to: Some(scheduled),
            }
        }
        (None, _) => return Err(DecodeError("it names nothing".into())),
        (Some(subject), Some(_)) => {
            return Err(DecodeError(format!(
                "{subject:?} gets what is none of its kind"
            )))
        }
    };
    Ok(change)
}

pub fn changes_from_proto(all: Vec<pb::Change>) -> Result<Vec<Change>, DecodeError> {
    all.into_iter().map(change_from_proto).collect()
}

pub fn revision_to_proto(e: &Revision) -> pb::Revision {
    let also = |(version, c): &(Version, Change)| pb::EarlierChange {
        version: version.0,
        change: Some(change_to_proto(c)),
    };
    pb::Revision {
        version: e.version.0,
        from: e.from.0,
        at_us: micros(e.at),
        author: e.author.clone(),
        reason: e.reason.clone(),
        objections: e.objections.clone(),
        changes: e.changes.iter().map(change_to_proto).collect(),
        before: e.before.iter().map(change_to_proto).collect(),
        lowers_limits: e.lowers_limits,
        also: e.also.iter().map(also).collect(),
    }
}

pub fn revision_from_proto(e: pb::Revision) -> Result<Revision, DecodeError> {
    let also = |a: pb::EarlierChange| {
        let change = a
            .change
            .ok_or_else(|| DecodeError("an earlier one is empty".into()))?;
        Ok((Version(a.version), change_from_proto(change)?))
    };
    if e.from >= e.version {
        return Err(DecodeError(format!(
            "entry {} follows {}",
            e.version, e.from
        )));
    }
    Ok(Revision {
        version: Version(e.version),
        from: Version(e.from),
        at: Duration::from_micros(e.at_us),
        author: e.author,
        reason: e.reason,
        objections: e.objections,
        changes: changes_from_proto(e.changes)?,
        before: changes_from_proto(e.before)?,
        lowers_limits: e.lowers_limits,
        also: e
            .also
            .into_iter()
            .map(also)
            .collect::<Result<_, DecodeError>>()?,
    })
}
