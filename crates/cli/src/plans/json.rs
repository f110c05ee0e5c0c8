//! JSON representation of changes.

use grebecleat_catalog::change::{Change, ScheduledChange};
use grebecleat_catalog::records::{Drain, Node, Plan, Volume};
use grebecleat_catalog_service::change_syntax::format_time;
use serde_json::{json, Value};

pub fn changes_to_json(changes: &[Change]) -> Value {
    changes.iter().map(change_to_json).collect()
}

/// Returns a change as JSON: its subject, and under `to` the new value (null if it is removed).
pub fn change_to_json(change: &Change) -> Value {
    match change {
        Change::Plan { name, to } => json!({ "plan": &**name, "to": to.as_ref().map(plan) }),
        Change::Volume { id, to } => json!({ "volume": id, "to": to.as_ref().map(volume) }),
        Change::Node { id, to } => json!({ "node": id, "to": to.as_ref().map(node) }),
        Change::Drain { node, to } => json!({ "drain": node, "to": to.as_ref().map(drain) }),
        Change::Target { name, to } => {
            json!({ "target": &**name, "to": to.as_deref().map(target) })
        }
        Change::Scheduled { id, to } => json!({ "timed": id, "to": to.as_ref().map(scheduled) }),
    }
}

fn plan(plan: &Plan) -> Value {
    json!({
        "rate": plan.rate, "reservation": plan.reservation, "limit": plan.limit,
        "burst": plan.burst, "slack": plan.slack, "weight": plan.weight, "price": plan.price,
    })
}

fn volume(volume: &Volume) -> Value {
    let hosts: Vec<&str> = volume.hosts.iter().map(|host| &**host).collect();
    json!({
        "plan": &*volume.plan, "hosts": hosts, "cells": &*volume.shards, "blocks": volume.blocks,
    })
}

fn node(node: &Node) -> Value {
    json!({
        "name": &*node.name, "zone": &*node.zone, "cell": node.shard, "capacity": node.capacity,
    })
}

fn drain(drain: &Drain) -> Value {
    json!({
        "stage": drain.stage.name(), "within_s": drain.timeout.as_secs_f64(),
        "who": &*drain.author, "asked": format_time(drain.requested_at),
        "since": format_time(drain.since),
    })
}

fn target(volumes: &[u64]) -> Value {
    json!({ "volumes": volumes })
}

fn scheduled(scheduled: &ScheduledChange) -> Value {
    json!({
        "at": format_time(scheduled.at), "who": scheduled.author, "why": scheduled.reason,
        "force": scheduled.force, "changes": changes_to_json(&scheduled.changes),
    })
}
