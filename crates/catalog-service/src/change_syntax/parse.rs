//! Parses a line as a change.

use super::error::{SyntaxError, SyntaxFault};
use super::fields::{list_items, parse_value, Fields};
use grebecleat_catalog::catalog::Catalog;
use grebecleat_catalog::change::Change;
use grebecleat_catalog::records::{Drain, Name, Node, Plan, Stage, Volume};
use std::sync::Arc;

/// Returns the change that a line describes, relative to the present catalog: fields that the line
/// omits keep their values.
///
/// ```
/// use grebecleat_catalog::catalog::Catalog;
/// use grebecleat_catalog::change::Change;
/// use grebecleat_catalog::records::Plan;
/// use grebecleat_catalog_service::change_syntax::parse_change;
/// let catalog = Catalog::default();
/// let to = Plan { rate: 12.0, weight: 3.0, price: 1.0, ..Plan::default() };
/// let plan = Change::Plan { name: "basic".into(), to: Some(to) };
/// assert_eq!(parse_change(&catalog, "plan basic rate=12 weight=3"), Ok(plan));
/// let error = parse_change(&catalog, "plan basic rat=12").unwrap_err().to_string();
/// assert_eq!(error, "\"plan basic rat=12\": rat is not known here; expected some of rate, \
///                    reservation, limit, burst, slack, weight, price");
/// ```
pub fn parse_change(catalog: &Catalog, line: &str) -> Result<Change, SyntaxError> {
    let tokens: Vec<&str> = line.split_whitespace().collect();
    parse_tokens(catalog, &tokens).map_err(|fault| SyntaxError {
        line: line.into(),
        fault,
    })
}

fn parse_tokens(catalog: &Catalog, tokens: &[&str]) -> Result<Change, SyntaxFault> {
    let [kind, name, rest @ ..] = tokens else {
        return Err(SyntaxFault::NoSubject);
    };
    match (*kind, rest) {
        ("plan", ["drop"]) => Ok(Change::Plan {
            name: Name::from(*name),
            to: None,
        }),
        ("plan", fields) => parse_plan(catalog, name, fields),
        ("volume", ["retire"]) => Ok(Change::Volume {
            id: parse_value("volume", name)?,
            to: None,
        }),
        ("volume", fields) => parse_volume(catalog, name, fields),
        ("node", ["drop"]) => Ok(Change::Node {
            id: parse_value("node", name)?,
            to: None,
        }),
        ("node", fields) => parse_node(catalog, name, fields),
        ("drain", tokens) => parse_drain(catalog, name, tokens),
        ("undrain", []) => Ok(Change::Drain {
            node: find_node(catalog, name)?,
            to: None,
        }),
        ("target", ["drop"]) => Ok(Change::Target {
            name: Name::from(*name),
            to: None,
        }),
        ("target", fields) => parse_target(name, fields),
        ("timed", ["off"]) => Ok(Change::Scheduled {
            id: parse_value("timed", name)?,
            to: None,
        }),
        _ => Err(SyntaxFault::UnknownForm),
    }
}

fn parse_plan(catalog: &Catalog, name: &str, tokens: &[&str]) -> Result<Change, SyntaxFault> {
    let mut plan = catalog.plan(name).cloned().unwrap_or(Plan {
        weight: 1.0,
        price: 1.0,
        ..Plan::default()
    });
    let mut fields = Fields::parse(tokens)?;
    fields.read("rate", &mut plan.rate)?;
    fields.read("reservation", &mut plan.reservation)?;
    fields.read("limit", &mut plan.limit)?;
    fields.read("burst", &mut plan.burst)?;
    fields.read("slack", &mut plan.slack)?;
    fields.read("weight", &mut plan.weight)?;
    fields.read("price", &mut plan.price)?;
    fields.end("rate, reservation, limit, burst, slack, weight, price")?;
    Ok(Change::Plan {
        name: Name::from(name),
        to: Some(plan),
    })
}

fn parse_volume(catalog: &Catalog, name: &str, tokens: &[&str]) -> Result<Change, SyntaxFault> {
    let volume_id = parse_value("volume", name)?;
    let known = catalog.volume(volume_id);
    let mut fields = Fields::parse(tokens)?;
    let mut volume = known.cloned().unwrap_or_else(|| Volume {
        plan: "".into(),
        hosts: [].into(),
        shards: [].into(),
        blocks: 0,
    });
    if let Some(plan) = fields.take("plan") {
        volume.plan = Name::from(plan);
    }
    if let Some(hosts) = fields.take("hosts") {
        volume.hosts = list_items(hosts).map(Name::from).collect();
    }
    fields.read_list("cells", &mut volume.shards)?;
    fields.read("blocks", &mut volume.blocks)?;
    fields.end("plan, hosts, cells, blocks")?;
    let complete = !volume.plan.is_empty()
        && !volume.hosts.is_empty()
        && !volume.shards.is_empty()
        && volume.blocks != 0;
    if known.is_none() && !complete {
        return Err(SyntaxFault::IncompleteVolume);
    }
    Ok(Change::Volume {
        id: volume_id,
        to: Some(volume),
    })
}

fn parse_node(catalog: &Catalog, name: &str, tokens: &[&str]) -> Result<Change, SyntaxFault> {
    let node_id = parse_value("node", name)?;
    let mut fields = Fields::parse(tokens)?;
    let mut node = catalog.node(node_id).cloned().unwrap_or_else(|| Node {
        shard: node_id,
        ..Node::default()
    });
    if let Some(name) = fields.take("name") {
        node.name = Name::from(name);
    }
    if let Some(zone) = fields.take("zone") {
        node.zone = Name::from(zone);
    }
    fields.read("cell", &mut node.shard)?;
    fields.read("capacity", &mut node.capacity)?;
    fields.end("name, zone, cell, capacity")?;
    if node.zone.is_empty() {
        return Err(SyntaxFault::MissingZone);
    }
    Ok(Change::Node {
        id: node_id,
        to: Some(node),
    })
}

fn parse_drain(catalog: &Catalog, name: &str, tokens: &[&str]) -> Result<Change, SyntaxFault> {
    let node = find_node(catalog, name)?;
    let known = catalog.drain(node);
    let named_stage = tokens.first().and_then(|token| stage_named(token));
    let (stage, tokens) = match named_stage {
        Some(stage) => (stage, &tokens[1..]),
        None => {
            let present = known.map_or(Stage::Draining, |drain| drain.stage);
            (present.max(Stage::Draining), tokens)
        }
    };
    let mut drain = Drain {
        stage,
        ..known.cloned().unwrap_or_default()
    };
    let mut fields = Fields::parse(tokens)?;
    if let Some(text) = fields.take("within") {
        drain.timeout = humantime::parse_duration(text).map_err(|_| SyntaxFault::BadDuration {
            text: text.to_string(),
        })?;
    }
    fields.end("within")?;
    Ok(Change::Drain {
        node,
        to: Some(drain),
    })
}

fn parse_target(name: &str, tokens: &[&str]) -> Result<Change, SyntaxFault> {
    let mut fields = Fields::parse(tokens)?;
    let mut volumes = Arc::from([]);
    fields.read_list("volumes", &mut volumes)?;
    fields.end("volumes")?;
    Ok(Change::Target {
        name: Name::from(name),
        to: Some(volumes),
    })
}

fn stage_named(name: &str) -> Option<Stage> {
    let mut stages = Stage::NAMES.iter();
    let (stage, _) = stages.find(|(_, stage_name)| *stage_name == name)?;
    Some(*stage)
}

/// Returns the number of a node by its name or number. Accepts the number of an unknown node: the
/// leader rejects changes of unknown nodes.
fn find_node(catalog: &Catalog, name: &str) -> Result<u32, SyntaxFault> {
    if let Some(node) = catalog.node_by_name_or_number(name) {
        return Ok(node);
    }
    name.parse().map_err(|_| SyntaxFault::UnknownNode {
        name: name.to_string(),
    })
}
