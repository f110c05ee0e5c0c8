//! Changes and entries as messages, for the disk and for the wire, and back.
//!
//! What comes from either may be damaged or a lie: everything that makes no sense is a fault with its place,
//! and nothing of it is taken.

use grebecleat_plans::changes::{
    Change, Drain, Entry, Name, Node, Plan, Stage, Timed, Version, Volume,
};
use grebecleat_wire::pb::{self, change};
use std::sync::Arc;
use std::time::Duration;

fn micros(d: Duration) -> u64 {
    grebecleat_wire::clock::micros(d)
}

/// A message that is no change, and what is wrong with it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NoChange(pub String);

impl std::fmt::Display for NoChange {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "no change: {}", self.0)
    }
}

fn timed_pb(t: &Timed) -> pb::TimedFacts {
    pb::TimedFacts {
        at_us: micros(t.at),
        who: t.who.clone(),
        why: t.why.clone(),
        force: t.force,
        changes: t.changes.iter().map(change_pb).collect(),
        expects: t.expects.iter().map(change_pb).collect(),
    }
}

fn stage_pb(stage: Stage) -> pb::DrainStage {
    match stage {
        Stage::Queued => pb::DrainStage::Queued,
        Stage::Going => pb::DrainStage::Going,
        Stage::Empty => pb::DrainStage::Empty,
        Stage::Out => pb::DrainStage::Out,
    }
}

fn stage_of(stage: pb::DrainStage) -> Stage {
    match stage {
        pb::DrainStage::Queued => Stage::Queued,
        pb::DrainStage::Going => Stage::Going,
        pb::DrainStage::Empty => Stage::Empty,
        pb::DrainStage::Out => Stage::Out,
    }
}

pub fn change_pb(c: &Change) -> pb::Change {
    use change::{Subject, To};
    let (subject, to) = match c {
        Change::Plan { name, to } => {
            let figures = |p: &Plan| pb::PlanFigures {
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
            let facts = |v: &Volume| pb::VolumeFacts {
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
            let facts = |n: &Node| pb::NodeFacts {
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
            let facts = |d: &Drain| pb::DrainFacts {
                within_us: micros(d.within),
                stage: stage_pb(d.stage).into(),
                who: d.who.to_string(),
                asked_us: micros(d.asked),
                since_us: micros(d.since),
            };
            (
                Subject::Drain(*node),
                to.as_ref().map(|d| To::DrainTo(facts(d))),
            )
        }
        Change::Target { name, to } => {
            let facts = |v: &Arc<[u64]>| pb::TargetFacts {
                volumes: v.to_vec(),
            };
            (
                Subject::Target(name.to_string()),
                to.as_ref().map(|v| To::TargetTo(facts(v))),
            )
        }
        Change::Timed { id, to } => (
            Subject::Timed(*id),
            to.as_ref().map(|t| To::TimedTo(timed_pb(t))),
        ),
    };
    pb::Change {
        subject: Some(subject),
        to,
    }
}

pub fn change_of(c: pb::Change) -> Result<Change, NoChange> {
    use change::{Subject, To};
    let names = |all: Vec<String>| all.into_iter().map(Name::from).collect::<Arc<[Name]>>();
    let change = match (c.subject, c.to) {
        (Some(Subject::Plan(name)), to @ (None | Some(To::PlanTo(_)))) => {
            let figures = |p: pb::PlanFigures| Plan {
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
            let facts = |v: pb::VolumeFacts| Volume {
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
            let facts = |n: pb::NodeFacts| Node {
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
            let facts = |d: pb::DrainFacts| Drain {
                stage: stage_of(d.stage()),
                within: Duration::from_micros(d.within_us),
                who: d.who.as_str().into(),
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
        (Some(Subject::Timed(id)), None) => Change::Timed { id, to: None },
        (Some(Subject::Timed(id)), Some(To::TimedTo(t))) => {
            let timed = Timed {
                at: Duration::from_micros(t.at_us),
                who: t.who,
                why: t.why,
                force: t.force,
                changes: changes_of(t.changes)?,
                expects: changes_of(t.expects)?,
            };
            Change::Timed {
                id,
                to: Some(timed),
            }
        }
        (None, _) => return Err(NoChange("it names nothing".into())),
        (Some(subject), Some(_)) => {
            return Err(NoChange(format!(
                "{subject:?} gets what is none of its kind"
            )))
        }
    };
    Ok(change)
}

pub fn changes_of(all: Vec<pb::Change>) -> Result<Vec<Change>, NoChange> {
    all.into_iter().map(change_of).collect()
}

pub fn entry_pb(e: &Entry) -> pb::ChangeEntry {
    let also = |(version, c): &(Version, Change)| pb::EarlierChange {
        version: version.0,
        change: Some(change_pb(c)),
    };
    pb::ChangeEntry {
        version: e.version.0,
        from: e.from.0,
        at_us: micros(e.at),
        who: e.who.clone(),
        why: e.why.clone(),
        against: e.against.clone(),
        changes: e.changes.iter().map(change_pb).collect(),
        before: e.before.iter().map(change_pb).collect(),
        lowers: e.lowers,
        also: e.also.iter().map(also).collect(),
    }
}

pub fn entry_of(e: pb::ChangeEntry) -> Result<Entry, NoChange> {
    let also = |a: pb::EarlierChange| {
        let change = a
            .change
            .ok_or_else(|| NoChange("an earlier one is empty".into()))?;
        Ok((Version(a.version), change_of(change)?))
    };
    if e.from >= e.version {
        return Err(NoChange(format!("entry {} follows {}", e.version, e.from)));
    }
    Ok(Entry {
        version: Version(e.version),
        from: Version(e.from),
        at: Duration::from_micros(e.at_us),
        who: e.who,
        why: e.why,
        against: e.against,
        changes: changes_of(e.changes)?,
        before: changes_of(e.before)?,
        lowers: e.lowers,
        also: e
            .also
            .into_iter()
            .map(also)
            .collect::<Result<_, NoChange>>()?,
    })
}
