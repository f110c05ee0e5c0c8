//! Formats changes as lines.

use super::time::format_time;
use grebecleat_catalog::change::{Change, ScheduledChange, Subject};
use grebecleat_catalog::records::{Drain, Node, Plan, Stage, Volume};
use std::fmt::Display;

/// Formats a change as a line of the change syntax.
///
/// ```
/// use grebecleat_catalog::catalog::Catalog;
/// use grebecleat_catalog_service::change_syntax::{format_change, parse_change};
/// let line = "volume 7 plan=gold hosts=h1,h2 cells=1,2 blocks=64";
/// assert_eq!(format_change(&parse_change(&Catalog::default(), line).unwrap()), line);
/// ```
pub fn format_change(change: &Change) -> String {
    match change {
        Change::Plan { name, to: None } => format!("plan {name} drop"),
        Change::Plan { name, to: Some(to) } => format_plan(name, to),
        Change::Volume { id, to: None } => format!("volume {id} retire"),
        Change::Volume { id, to: Some(to) } => format_volume(*id, to),
        Change::Node { id, to: None } => format!("node {id} drop"),
        Change::Node { id, to: Some(to) } => format_node(*id, to),
        Change::Drain { node, to: None } => format!("undrain {node}"),
        Change::Drain { node, to: Some(to) } => format_drain(*node, to),
        Change::Target { name, to: None } => format!("target {name} drop"),
        Change::Target { name, to: Some(to) } => {
            format!("target {name} volumes={}", join(to.iter()))
        }
        Change::Scheduled { id, to: None } => format!("timed {id} off"),
        Change::Scheduled { id, to: Some(to) } => format_scheduled(*id, to),
    }
}

fn format_plan(name: &str, plan: &Plan) -> String {
    format!(
        "plan {name} rate={} reservation={} limit={} burst={} slack={} weight={} price={}",
        plan.rate, plan.reservation, plan.limit, plan.burst, plan.slack, plan.weight, plan.price
    )
}

fn format_volume(id: u64, volume: &Volume) -> String {
    format!(
        "volume {id} plan={} hosts={} cells={} blocks={}",
        volume.plan,
        join(volume.hosts.iter()),
        join(volume.shards.iter()),
        volume.blocks
    )
}

fn format_node(id: u32, node: &Node) -> String {
    let name = if node.name.is_empty() {
        String::new()
    } else {
        format!("name={} ", node.name)
    };
    format!(
        "node {id} {name}zone={} cell={} capacity={}",
        node.zone, node.shard, node.capacity
    )
}

fn format_drain(node: u32, drain: &Drain) -> String {
    let mut line = format!("drain {node}");
    if drain.stage != Stage::Draining {
        line.push(' ');
        line.push_str(drain.stage.name());
    }
    if !drain.timeout.is_zero() {
        let within = humantime::format_duration(drain.timeout).to_string();
        line.push_str(" within=");
        line.push_str(&within.replace(' ', ""));
    }
    line
}

fn format_scheduled(id: u64, scheduled: &ScheduledChange) -> String {
    let changes: Vec<String> = scheduled.changes.iter().map(format_change).collect();
    format!(
        "timed {id} at {} of {}: {}",
        format_time(scheduled.at),
        scheduled.author,
        changes.join("; ")
    )
}

fn join<T: Display>(items: impl Iterator<Item = T>) -> String {
    let items: Vec<String> = items.map(|item| item.to_string()).collect();
    items.join(",")
}

/// Returns one line for each change of a revision, with the former value of each field.
///
/// ```
/// use grebecleat_catalog::catalog::Catalog;
/// use grebecleat_catalog_service::change_syntax::{format_differences, parse_change};
/// let parse = |line| parse_change(&Catalog::default(), line).unwrap();
/// let lines = |now, before| format_differences(&[parse(now)], &[parse(before)]);
/// let line = "drain 3: no longer queued no longer within=1m";
/// assert_eq!(lines("drain 3", "drain 3 queued within=1m"), [line]);
/// assert_eq!(lines("drain 3 empty", "drain 3"), ["drain 3: empty (was none)"]);
/// ```
pub fn format_differences(changes: &[Change], before: &[Change]) -> Vec<String> {
    let before_of = |subject: &Subject| before.iter().find(|change| change.subject() == *subject);
    let mut lines = Vec::new();
    for change in changes {
        let line = match before_of(&change.subject()) {
            Some(before) if !before.is_removal() && !change.is_removal() => {
                format_difference(change, before)
            }
            _ => format_change(change),
        };
        lines.push(line);
    }
    lines
}

/// Returns the fields that differ, for a subject that exists before and after the change.
fn format_difference(change: &Change, before: &Change) -> String {
    let new_line = format_change(change);
    let old_line = format_change(before);
    let new_tokens: Vec<&str> = new_line.split(' ').collect();
    let old_tokens: Vec<&str> = old_line.split(' ').collect();
    // Each line begins with the kind and the name of its subject.
    let (new_fields, old_fields) = (&new_tokens[2..], &old_tokens[2..]);
    let mut differences = Vec::new();
    for new in new_fields {
        if old_fields.contains(new) {
            continue;
        }
        let old = old_fields
            .iter()
            .find(|old| field_name(old) == field_name(new));
        let old = old.copied().unwrap_or("none");
        let old_value = old.split_once('=').map_or(old, |(_, value)| value);
        differences.push(format!("{new} (was {old_value})"));
    }
    for old in old_fields {
        let remains = new_fields
            .iter()
            .any(|new| field_name(new) == field_name(old));
        if !remains {
            differences.push(format!("no longer {old}"));
        }
    }
    format!(
        "{} {}: {}",
        new_tokens[0],
        new_tokens[1],
        differences.join(" ")
    )
}

/// Returns the name of a field; `None` for a token without `=`, such as the stage of a drain.
fn field_name(token: &str) -> Option<&str> {
    token.split_once('=').map(|(name, _)| name)
}
