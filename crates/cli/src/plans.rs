//! `grebecleat plans`: an operator's acts on plans and volumes, in words or as JSON.

use crate::args::{Change as How, Format, PlansArgs, PlansCommand};
use crate::{bad, load, Stop};
use grebecleat_plans::catalog::Catalog;
use grebecleat_plans::change::{Change, Subject};
use grebecleat_plans::records::{Deployment, Version};
use grebecleat_state::change_syntax::{
    format_change, format_differences, format_time, parse_change, parse_time,
};
use grebecleat_state::client::{Client, QueryResult, Reply};
use grebecleat_state::codec::change_to_proto;
use grebecleat_state::declared_config::{changes_from_declared, declared_changes, deployment};
use grebecleat_state::service::new_epoch;
use grebecleat_state::snapshot;
use grebecleat_state::store::{Store, StoreContents, StoreFault, StoredState};
use grebecleat_wire::pb::{self, frame::Body, query::What};
use serde_json::{json, Value};
use std::io::Write;
use std::path::Path;
use std::time::{Duration, SystemTime};

fn failed(e: impl std::fmt::Display) -> Stop {
    Stop::Failed(e.to_string())
}

fn now() -> Duration {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
}

/// One way to put things out, in words or as one JSON value.
struct Out(Format);

impl Out {
    fn put(&self, lines: impl IntoIterator<Item = String>, value: Value) {
        let mut to = std::io::stdout().lock();
        // Whoever reads it may have seen enough.
        let _ = match self.0 {
            Format::Text => lines.into_iter().try_for_each(|l| writeln!(to, "{l}")),
            Format::Json => writeln!(to, "{value:#}"),
        };
    }
}

pub fn run(a: PlansArgs) -> Result<(), Stop> {
    let out = Out(a.output);
    let author = a
        .author
        .or_else(|| std::env::var("USER").ok())
        .unwrap_or_else(|| "operator".into());
    match &a.command {
        PlansCommand::Check { file } => return check(file, &out),
        PlansCommand::Restore { snapshot, store } => return restore(snapshot, store, &out),
        _ => {}
    }
    let hello = format!("{author} by plans");
    let c = Client::connect(a.at, &hello);
    let c = &mut c.map_err(|e| {
        failed(format!(
            "no state service at {}: {e}; is it running, or elsewhere (--at)?",
            a.at
        ))
    })?;
    match a.command {
        PlansCommand::List => list(c, &out),
        PlansCommand::Show { kind, name } => show(c, &kind, &name, &out),
        PlansCommand::Set {
            changes,
            at_time,
            base_version,
            change,
        } => set(c, &out, &author, changes, at_time, base_version, change),
        PlansCommand::History { most, of } => history(c, most, of, &out),
        PlansCommand::Undo {
            revision,
            change: How { reason, force, .. },
        } => {
            let undo = |call| {
                Body::Undo(pb::Undo {
                    call,
                    author,
                    reason,
                    revision,
                    force,
                })
            };
            landed(c.change(undo).map_err(failed)?, &out)
        }
        PlansCommand::Diff { file } => diff(c, &file, &out),
        PlansCommand::Declare { file, change } => declare(c, &file, author, change, &out),
        PlansCommand::Status => status(c, &out),
        PlansCommand::Moves { empty } => moves(c, empty, &out),
        PlansCommand::Gone { host } => {
            let gone = |call| Body::HostGone(pb::HostGone { call, author, host });
            landed(c.change(gone).map_err(failed)?, &out)
        }
        PlansCommand::Prevail { reason } => {
            let prevail = |call| {
                Body::ForceEpoch(pb::ForceEpoch {
                    call,
                    author,
                    reason,
                })
            };
            landed(c.change(prevail).map_err(failed)?, &out)
        }
        PlansCommand::Snapshot { file } => write_snapshot(c, &file, &out),
        PlansCommand::Check { .. } | PlansCommand::Restore { .. } => unreachable!("done above"),
    }
}

/// The service's state as a catalog, in which changes can be worded.
fn catalog(s: &QueryResult) -> Catalog {
    let hosts = s
        .last
        .hosts
        .iter()
        .map(|h| h.name.as_str().into())
        .collect();
    let deployment = Deployment {
        hosts,
        max_dispatch_delay: Duration::ZERO,
    };
    Catalog::new(deployment, 1).restored(s.version, s.state.iter().cloned(), Vec::new())
}

fn state(c: &mut Client) -> Result<QueryResult, Stop> {
    c.query(What::State, 0, 0, Vec::new()).map_err(failed)
}

fn as_json(c: &Change) -> Value {
    match c {
        Change::Plan { name, to } => json!({ "plan": &**name, "to": to.as_ref().map(|p| json!({
            "rate": p.rate, "reservation": p.reservation, "limit": p.limit, "burst": p.burst, "slack": p.slack,
            "weight": p.weight, "price": p.price })) }),
        Change::Volume { id, to } => json!({ "volume": id, "to": to.as_ref().map(|v| json!({
            "plan": &*v.plan, "hosts": v.hosts.iter().map(|h| &**h).collect::<Vec<_>>(),
            "cells": &*v.shards, "blocks": v.blocks })) }),
        Change::Node { id, to } => json!({ "node": id, "to": to.as_ref().map(|n| json!({
            "name": &*n.name, "zone": &*n.zone, "cell": n.shard, "capacity": n.capacity })) }),
        Change::Drain { node, to } => json!({ "drain": node, "to": to.as_ref().map(|d| json!({
            "stage": d.stage.name(), "within_s": d.within.as_secs_f64(), "who": &*d.author,
            "asked": format_time(d.asked), "since": format_time(d.since) })) }),
        Change::Target { name, to } => json!({ "target": &**name, "to": to.as_ref().map(|t| json!({
            "volumes": &**t })) }),
        Change::Scheduled { id, to } => json!({ "timed": id, "to": to.as_ref().map(|t| json!({
            "at": format_time(t.at), "who": t.author, "why": t.reason, "force": t.force,
            "changes": t.changes.iter().map(as_json).collect::<Vec<_>>() })) }),
    }
}

fn list(c: &mut Client, out: &Out) -> Result<(), Stop> {
    let s = state(c)?;
    let head = format!("entry {}, settled {}", s.version.0, s.stable.0);
    let all: Vec<Value> = s.state.iter().map(as_json).collect();
    let value = json!({ "version": s.version.0, "settled": s.stable.0, "state": all });
    out.put(
        [head].into_iter().chain(s.state.iter().map(format_change)),
        value,
    );
    Ok(())
}

fn subject(kind: &str, name: &str) -> Result<Subject, Stop> {
    let number = |name: &str| {
        name.parse()
            .map_err(|_| bad(format!("{kind}: expected a number, found {name}")))
    };
    Ok(match kind {
        "plan" => Subject::Plan(name.into()),
        "volume" => Subject::Volume(number(name)?),
        "node" => Subject::Node(number(name)? as u32),
        "drain" => Subject::Drain(number(name)? as u32),
        "target" => Subject::Target(name.into()),
        "timed" => Subject::Scheduled(number(name)?),
        _ => {
            return Err(bad(format!(
                "expected plan, volume, node, drain, target or timed, found {kind}"
            )))
        }
    })
}

fn show(c: &mut Client, kind: &str, name: &str, out: &Out) -> Result<(), Stop> {
    let subject = subject(kind, name)?;
    let s = state(c)?;
    let Some(change) = s.state.iter().find(|c| c.subject() == subject) else {
        return Err(failed(format!("{subject} does not exist")));
    };
    let audit_log = c.query(What::AuditLog, 0, 0, Vec::new()).map_err(failed)?;
    let touches = audit_log
        .revisions
        .iter()
        .rev()
        .find(|e| e.changes.iter().any(|c| c.subject() == subject));
    let last = touches.map(|e| {
        format!(
            "last changed by entry {} of {}, {}",
            e.version.0,
            e.author,
            format_time(e.at)
        )
    });
    let on = |c: &&Change| matches!((c, &subject), (Change::Volume { to: Some(v), .. }, Subject::Plan(p)) if v.plan == *p);
    let standing = s.state.iter().filter(on).count();
    let standing =
        matches!(subject, Subject::Plan(_)).then(|| format!("{standing} volumes stand on it"));
    out.put(
        [format_change(change)]
            .into_iter()
            .chain(standing)
            .chain(last),
        as_json(change),
    );
    Ok(())
}

fn landed(came: Reply, out: &Out) -> Result<(), Stop> {
    match came {
        Reply::Rejected(reason) => {
            out.put([], json!({ "refused": reason }));
            eprintln!("refused: {reason}");
            Err(Stop::Broken)
        }
        Reply::Preview(w) => {
            let mut lines: Vec<String> = w
                .objections
                .iter()
                .map(|r| format!("against it: {r}"))
                .collect();
            lines.extend(w.warnings.iter().map(|w| format!("warning: {w}")));
            lines.extend(lines.is_empty().then(|| "nothing speaks against it".into()));
            out.put(
                lines,
                json!({ "against": w.objections, "warnings": w.warnings, "blind": w.blind }),
            );
            Ok(())
        }
        Reply::Committed(l) => {
            let mut lines = vec![format!("entry {}", l.version)];
            lines.extend(l.warnings.iter().map(|w| format!("warning: {w}")));
            if l.unseen > 0 {
                lines.push(format!(
                    "{} losses of a node or zone were not looked at",
                    l.unseen
                ));
            }
            if l.blind {
                lines.push(
                    "no node's capacity is stated, so nobody can say whether reserves hold".into(),
                );
            }
            if !l.waits_for.is_empty() {
                let hosts = l.waits_for.join(", ");
                lines.push(format!(
                    "in force everywhere only once {hosts} has been heard, or declared gone"
                ));
            }
            let value = json!({ "version": l.version, "warnings": l.warnings, "unseen": l.unseen,
                "blind": l.blind, "waits_for": l.waits_for });
            out.put(lines, value);
            Ok(())
        }
    }
}

fn set(
    c: &mut Client,
    out: &Out,
    author: &str,
    lines: Vec<String>,
    at: Option<String>,
    base_version: Option<u64>,
    how: How,
) -> Result<(), Stop> {
    let s = state(c)?;
    let l = catalog(&s);
    let changes = lines
        .iter()
        .map(|line| parse_change(&l, line))
        .collect::<Result<Vec<_>, _>>();
    let changes = changes.map_err(|e| bad(e.to_string()))?;
    let at = match at {
        None => None,
        Some(text) => {
            let expected = "expected a moment such as 2026-12-01T22:00:00Z or +90m";
            Some(
                parse_time(&text, now())
                    .ok_or_else(|| bad(format!("--at-time: {expected}, found {text}")))?,
            )
        }
    };
    let propose = |call| {
        Body::Propose(pb::Propose {
            call,
            author: author.into(),
            reason: how.reason,
            base_version: Some(base_version.unwrap_or(s.version.0)),
            changes: changes.iter().map(change_to_proto).collect(),
            at_us: at.map(grebecleat_wire::clock::micros),
            force: how.force,
            dry_run: how.dry_run,
        })
    };
    landed(c.change(propose).map_err(failed)?, out)
}

fn history(c: &mut Client, most: u32, of: Option<String>, out: &Out) -> Result<(), Stop> {
    let of = match of {
        None => None,
        Some(text) => {
            let (kind, name) = text
                .split_once(' ')
                .ok_or_else(|| bad("--of: expected such as 'volume 103'".into()))?;
            Some(subject(kind, name.trim())?)
        }
    };
    let shown = c
        .query(
            What::AuditLog,
            0,
            if of.is_some() { 0 } else { most },
            Vec::new(),
        )
        .map_err(failed)?;
    let wanted = |e: &&grebecleat_plans::change::Revision| {
        of.as_ref()
            .is_none_or(|s| e.changes.iter().any(|c| c.subject() == *s))
    };
    let revisions: Vec<_> = shown.revisions.iter().filter(wanted).collect();
    let revisions = &revisions[revisions.len().saturating_sub(most as usize)..];
    let lines = revisions.iter().flat_map(|e| {
        let stable = if e.version <= shown.stable {
            ""
        } else {
            ", not settled"
        };
        let reason = if e.reason.is_empty() {
            String::new()
        } else {
            format!(": {}", e.reason)
        };
        let objections =
            (!e.objections.is_empty()).then(|| format!("    forced against: {}", e.objections));
        let what = format_differences(&e.changes, &e.before)
            .into_iter()
            .map(|l| format!("    {l}"));
        let head = format!(
            "{} {} {}{stable}{reason}",
            e.version.0,
            format_time(e.at),
            e.author
        );
        [head]
            .into_iter()
            .chain(objections)
            .chain(what)
            .collect::<Vec<_>>()
    });
    let value = revisions.iter().map(|e| {
        json!({ "version": e.version.0, "at": format_time(e.at), "who": e.author, "why": e.reason, "against": e.objections,
            "changes": e.changes.iter().map(as_json).collect::<Vec<_>>(),
            "before": e.before.iter().map(as_json).collect::<Vec<_>>() })
    });
    out.put(lines.collect::<Vec<_>>(), value.collect());
    Ok(())
}

fn diff(c: &mut Client, file: &Path, out: &Out) -> Result<(), Stop> {
    let settings = load(file)?;
    let s = state(c)?;
    let here = catalog(&s);
    let apart = changes_from_declared(&settings, s.state);
    let declared = Catalog::new(deployment(&settings), 1).restored(
        Version(1),
        declared_changes(&settings),
        Vec::new(),
    );
    let lines: Vec<String> = apart
        .iter()
        .flat_map(|c| {
            let was = declared.now(&c.subject());
            match (was.is_removal(), c.is_removal()) {
                (true, _) => vec![format!("only in service:  {}", format_change(c))],
                (_, true) => vec![format!("only in the file: {}", format_change(&was))],
                _ => vec![
                    format!("in the file:      {}", format_change(&was)),
                    format!(
                        "in service:       {}",
                        format_change(&here.now(&c.subject()))
                    ),
                ],
            }
        })
        .collect();
    let none = apart.is_empty().then(|| "nothing differs".to_string());
    out.put(
        lines.into_iter().chain(none),
        apart.iter().map(as_json).collect(),
    );
    Ok(())
}

fn declare(c: &mut Client, file: &Path, author: String, how: How, out: &Out) -> Result<(), Stop> {
    let settings = load(file)?;
    let s = state(c)?;
    // Drains and timed changes are nobody's declaration, and stay.
    let keep = |c: &Change| matches!(c, Change::Drain { .. } | Change::Scheduled { .. });
    let here = catalog(&s);
    let declared = declared_changes(&settings);
    let declared =
        Catalog::new(deployment(&settings), 1).restored(Version(1), declared, Vec::new());
    let changes: Vec<pb::Change> = here
        .changes_towards(&declared)
        .iter()
        .filter(|c| !keep(c))
        .map(change_to_proto)
        .collect();
    if changes.is_empty() {
        out.put(
            ["nothing differs".to_string()],
            json!({ "version": s.version.0 }),
        );
        return Ok(());
    }
    let reason = if how.reason.is_empty() {
        format!("as declared in {}", file.display())
    } else {
        how.reason
    };
    let base_version = Some(s.version.0);
    let propose = |call| {
        let (at_us, force, dry_run) = (None, how.force, how.dry_run);
        Body::Propose(pb::Propose {
            call,
            author,
            reason,
            base_version,
            changes,
            at_us,
            force,
            dry_run,
        })
    };
    landed(c.change(propose).map_err(failed)?, out)
}

fn status(c: &mut Client, out: &Out) -> Result<(), Stop> {
    let s = c.query(What::Status, 0, 0, Vec::new()).map_err(failed)?;
    let mut lines = vec![format!("entry {}, settled {}", s.version.0, s.stable.0)];
    if !s.last.store_fault.is_empty() {
        lines.push(format!("trouble with the store: {}", s.last.store_fault));
    }
    if let Some(behind) = s.last.behind {
        lines.push(format!(
            "a host has followed entry {behind} of another history: nobody is told anything until it is said what counts \
             (plans prevail)"
        ));
    }
    lines.push(match (s.last.short, s.last.out_of_reach) {
        (short, lost) if short < 0.01 && lost < 0.01 => {
            "all reserves can be met, or no capacities are stated".into()
        }
        (short, lost) => {
            format!(
                "{short:.1} units a second of reserves cannot be met, {lost:.1} lie out of reach"
            )
        }
    });
    for h in &s.last.hosts {
        let applied = if h.heard_of {
            format!("has entry {}", h.applied)
        } else {
            "was never heard of".into()
        };
        let waits = match (h.holds_up, h.silent) {
            (true, true) => "; what is not settled waits for its word, or plans gone",
            (true, false) => "; what is not settled waits for it, or its lease",
            _ => "",
        };
        lines.push(format!("host {} {applied}{waits}", h.name));
    }
    let hosts: Vec<Value> = s.last.hosts.iter().map(|h| {
        json!({ "name": h.name, "heard_of": h.heard_of, "has": h.applied, "holds_up": h.holds_up, "silent": h.silent })
    }).collect();
    let value = json!({ "version": s.version.0, "settled": s.stable.0, "era": s.epoch.0, "hosts": hosts,
        "short": s.last.short, "out_of_reach": s.last.out_of_reach, "behind": s.last.behind,
        "trouble": s.last.store_fault });
    out.put(lines, value);
    Ok(())
}

fn moves(c: &mut Client, empty: Vec<u32>, out: &Out) -> Result<(), Stop> {
    let s = c.query(What::Proposal, 0, 0, empty).map_err(failed)?;
    let bytes: u64 = s.last.moves.iter().map(|m| m.bytes).sum();
    let each = |m: &pb::ExtentMove| {
        format!(
            "volume {}: {} extents from node {} to node {}",
            m.volume, m.extents, m.from, m.to
        )
    };
    let mut lines: Vec<String> = s.last.moves.iter().map(each).collect();
    lines.push(format!(
        "{} moves, {:.1} MiB",
        s.last.moves.len(),
        bytes as f64 / f64::from(1 << 20)
    ));
    if s.last.short > 0.01 {
        lines.push(format!(
            "{:.1} units a second of reserves stay short whatever is moved",
            s.last.short
        ));
    }
    let value = s.last.moves.iter().map(
        |m| json!({ "volume": m.volume, "from": m.from, "to": m.to, "extents": m.extents, "bytes": m.bytes }),
    );
    let value =
        json!({ "moves": value.collect::<Vec<_>>(), "bytes": bytes, "short": s.last.short });
    out.put(lines, value);
    Ok(())
}

fn write_snapshot(c: &mut Client, file: &Path, out: &Out) -> Result<(), Stop> {
    let s = state(c)?;
    let audit_log = c.query(What::AuditLog, 0, 0, Vec::new()).map_err(failed)?;
    let status = c.query(What::Status, 0, 0, Vec::new()).map_err(failed)?;
    let hosts = status
        .last
        .hosts
        .iter()
        .filter(|h| h.heard_of)
        .map(|h| (h.name.as_str().into(), Version(h.applied)));
    let (version, stable, epoch) = (s.version, s.stable.min(s.version), s.epoch);
    let audit_log = audit_log
        .revisions
        .into_iter()
        .filter(|e| e.version <= version)
        .collect();
    let kept = StoredState {
        version,
        stable,
        epoch,
        state: s.state,
        audit_log,
        hosts: hosts.collect(),
        ..StoredState::default()
    };
    let contents = StoreContents {
        state: kept,
        ..StoreContents::default()
    };
    snapshot::write(file, &contents, now()).map_err(failed)?;
    out.put(
        [format!("entry {} in {}", version.0, file.display())],
        json!({ "version": version.0 }),
    );
    Ok(())
}

/// A store, or a snapshot where it is none.
fn check(file: &Path, out: &Out) -> Result<(), Stop> {
    if !file.exists() {
        return Err(failed(format!("{} does not exist", file.display())));
    }
    let is_snapshot = file.extension().is_some_and(|e| e == "snapshot");
    let read = match is_snapshot {
        true => snapshot::read(file),
        false => Store::open(file, u64::MAX).map(|(_, contents)| contents),
    };
    match read {
        Ok(StoreContents {
            state: kept,
            extents: places,
        }) => {
            let extents: u64 = places.values().map(|p| p.len()).sum();
            let line = format!(
                "{}: in order: entry {}, {} records, {} entries of the trail, {extents} extents of {} volumes",
                file.display(),
                kept.version.0,
                kept.state.len(),
                kept.audit_log.len(),
                places.len()
            );
            let value = json!({ "version": kept.version.0, "records": kept.state.len(), "trail": kept.audit_log.len(),
                "extents": extents });
            out.put([line], value);
            Ok(())
        }
        Err(fault @ (StoreFault::Locked | StoreFault::Newer { .. })) => {
            Err(failed(format!("{}: {fault}", file.display())))
        }
        Err(fault) => {
            eprintln!("{}: {fault}", file.display());
            Err(Stop::Broken)
        }
    }
}

fn restore(from: &Path, store: &Path, out: &Out) -> Result<(), Stop> {
    if store.exists() {
        // One that is in use must not be pulled away from under its process.
        if let Err(StoreFault::Locked) = Store::open(store, u64::MAX) {
            return Err(failed(format!(
                "{}: {}",
                store.display(),
                StoreFault::Locked
            )));
        }
    }
    let aside = snapshot::restore(from, store, new_epoch()).map_err(failed)?;
    let aside = aside.map(|a| format!("the store that was there is now {}", a.display()));
    let line = format!(
        "{} is restored; hosts that have followed something newer wait for 'plans prevail'",
        store.display()
    );
    out.put(
        [line].into_iter().chain(aside),
        json!({ "restored": store.display().to_string() }),
    );
    Ok(())
}
