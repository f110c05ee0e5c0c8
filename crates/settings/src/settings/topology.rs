//! Nodes, hosts and volumes of a deployment.

use super::{ms, DAY};
use crate::fields::Fields;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// A volume, as `volume()` declares it.
#[derive(Debug, Clone)]
pub struct VolumeSpec {
    /// The volume's number.
    pub id: u64,
    /// Index of its plan among the plans.
    pub plan: usize,
    /// The shards on which its extents may be placed.
    pub shards: Vec<u32>,
    /// Indices of the hosts that serve it, among the hosts.
    pub hosts: Vec<usize>,
    /// The demand of its clients in rehearsals, as a multiple of its plan's rate.
    pub asks: f64,
    /// Size as a logical unit, in blocks of 512 bytes.
    pub blocks: u64,
}

/// A storage node, as `node()` declares it. Most fields describe the simulated node of rehearsals.
#[derive(Debug, Clone)]
pub struct NodeSpec {
    /// The node's number.
    pub id: u32,
    /// The name by which operators refer to the node; empty if it has none.
    pub name: String,
    /// Index of its zone among the zones.
    pub zone: usize,
    /// The shard that it stores.
    pub shard: u32,
    /// Its capacity in units a second, for admission; 0 if unknown.
    pub capacity: f64,
    /// Number of its cores.
    pub cores: u32,
    /// Its speed, as a multiple of a normal node's.
    pub speed: f64,
    /// Maximum length of its queue; it rejects further attempts.
    pub queue: usize,
    /// Time between two pauses of its process; zero if it never pauses.
    pub pause_every: Duration,
    /// Length of a pause.
    pub pause: Duration,
    /// Fraction of a write's work that the node defers.
    pub deferred_fraction: f64,
    /// Time between two times at which it does the deferred work.
    pub flush_every: Duration,
    /// Fraction of the work that it saves for cached data.
    pub cache_savings: f64,
    /// Number of keys that it caches.
    pub cached_keys: usize,
}

/// A host, as `host()` declares it.
#[derive(Debug, Clone)]
pub struct HostSpec {
    /// The host's name.
    pub name: String,
    /// Index of its zone among the zones.
    pub zone: usize,
    /// The address on which it listens, if the settings name one.
    pub listen: Option<SocketAddr>,
}

/// Reads a `volume()`. Without `hosts` all hosts serve it; without `cells` it has all shards.
pub(super) fn volume(
    fields: &mut Fields,
    plans: &[&str],
    hosts: &[&str],
    shards: &BTreeSet<u32>,
) -> VolumeSpec {
    let named: Vec<u32> = fields
        .numbers("cells", u64::from(u32::MAX))
        .into_iter()
        .map(|c| c as u32)
        .collect();
    if let Some(shard) = named.iter().find(|c| !shards.contains(c)) {
        fields.fault(
            "cells",
            format!("expected cells that a node() holds, found {shard}"),
        );
    }
    let mut served_by = fields.some_of("hosts", hosts);
    if served_by.is_empty() {
        served_by = (0..hosts.len()).collect();
    }
    VolumeSpec {
        id: fields.integer("id", None, (0, u64::MAX)),
        plan: fields.one_of("plan", None, plans),
        shards: if named.is_empty() {
            shards.iter().copied().collect()
        } else {
            named
        },
        hosts: served_by,
        asks: fields.number("asks", Some(1.0), (0.0, 1e6)),
        blocks: fields.integer("blocks", Some(1 << 21), (1, 1 << 48)),
    }
}

/// Reads a `node()`.
pub(super) fn node(fields: &mut Fields, zones: &[&str]) -> NodeSpec {
    let node_id = fields.integer("id", None, (0, u64::from(u32::MAX))) as u32;
    let name = fields.optional_text("name").unwrap_or_default();
    if name.parse::<u64>().is_ok() {
        fields.fault(
            "name",
            format!("expected a name that is no number, found {name}"),
        );
    }
    NodeSpec {
        id: node_id,
        name,
        zone: fields.one_of("zone", None, zones),
        shard: fields.integer("cell", Some(u64::from(node_id)), (0, u64::from(u32::MAX))) as u32,
        capacity: fields.number("capacity", Some(0.0), (0.0, 1e9)),
        cores: fields.integer("cores", Some(2), (1, 1024)) as u32,
        speed: fields.number("speed", Some(1.0), (0.01, 1000.0)),
        queue: fields.integer("queue", Some(64), (1, 1 << 20)) as usize,
        pause_every: fields.duration("pause_every", Some(Duration::ZERO), DAY),
        pause: fields.duration("pause", Some(Duration::ZERO), DAY),
        deferred_fraction: fields.number("put_off", Some(0.0), (0.0, 0.95)),
        flush_every: fields.duration("flush_every", Some(ms(2000)), DAY),
        cache_savings: fields.number("warm_saves", Some(0.4), (0.0, 0.95)),
        cached_keys: fields.integer("warm_keys", Some(2), (0, 1024)) as usize,
    }
}

/// Reads a `host()`.
pub(super) fn host(fields: &mut Fields, zones: &[&str]) -> HostSpec {
    HostSpec {
        name: fields.text("name", None),
        zone: fields.one_of("zone", Some(0), zones),
        listen: address(fields, "listen"),
    }
}

/// Reads an address with a port; None if the field is absent.
pub(super) fn address(fields: &mut Fields, name: &'static str) -> Option<SocketAddr> {
    let text = fields.optional_text(name)?;
    let read = text.parse().ok();
    if read.is_none() {
        fields.fault(
            name,
            format!("expected an address and port such as \"127.0.0.1:7100\", found {text:?}"),
        );
    }
    read
}
