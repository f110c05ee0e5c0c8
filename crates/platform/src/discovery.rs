//! The platform's list of nodes, as the host's list messages, and the numbers that stand for its names.
//!
//! Begin with [`Names::read`]. The host's decisions know nodes and zones by number; a name keeps its number
//! for the life of this process. Memory: one name for each node that was ever listed, [`MOST_NAMES`] at most;
//! past that the list is not taken any more.

use crate::calls::Action;
use grebecleat_wire::pb;
use serde::Deserialize;
use std::collections::HashMap;
use std::fmt::Write;
use std::net::SocketAddr;

pub const PATH: &str = "/registry/instances";
/// More than a day of replacements, every few seconds.
const MAX_NAMES: usize = 100_000;

#[derive(Deserialize)]
struct Told {
    rev: u64,
    all: bool,
    targets: Vec<serde_json::Value>,
}

#[derive(Deserialize)]
struct Target {
    uid: String,
    endpoint: Option<String>,
    az: Option<String>,
    pod_group: u32,
    state: String,
    #[serde(default)]
    boot_ms: f64,
}

/// What was read: the list, its revision, and how many endpoints made no sense.
#[derive(Debug)]
pub struct Read {
    pub list: pb::EndpointUpdate,
    pub revision: u64,
    pub spoilt: usize,
}

#[derive(Debug, Default)]
pub struct Names {
    nodes: HashMap<String, u32>,
    zones: HashMap<String, u32>,
}

fn number(of: &mut HashMap<String, u32>, name: &str) -> Option<u32> {
    if let Some(n) = of.get(name) {
        return Some(*n);
    }
    let n = of.len() as u32;
    (of.len() < MAX_NAMES).then(|| of.insert(name.to_string(), n))?;
    Some(n)
}

impl Names {
    /// `unix_ms` is the wall clock, by which the list tells when nodes started.
    ///
    /// A whole list with an entry that makes no sense counts as changes, or the node behind that entry would
    /// pass for gone.
    pub fn read(&mut self, body: &[u8], unix_ms: f64) -> Result<Read, String> {
        let told: Told = serde_json::from_slice(body).map_err(|e| e.to_string())?;
        let all = told.targets.len();
        let endpoints: Vec<pb::Endpoint> = told
            .targets
            .into_iter()
            .filter_map(|t| self.entry(t, unix_ms))
            .collect();
        let spoilt = all - endpoints.len();
        if told.all && endpoints.is_empty() && spoilt > 0 {
            return Err(format!("none of {spoilt} endpoints can be read"));
        }
        let kind = if told.all && spoilt == 0 {
            pb::EndpointUpdateKind::Snapshot
        } else {
            pb::EndpointUpdateKind::Delta
        };
        let list = pb::EndpointUpdate {
            kind: kind.into(),
            revision: told.rev,
            endpoints,
        };
        Ok(Read {
            list,
            revision: told.rev,
            spoilt,
        })
    }

    fn entry(&mut self, told: serde_json::Value, unix_ms: f64) -> Option<pb::Endpoint> {
        let t: Target = serde_json::from_value(told).ok()?;
        let state = match t.state.as_str() {
            "ready" => pb::NodeState::Ready,
            "draining" => pb::NodeState::Draining,
            "gone" => pb::NodeState::Gone,
            _ => return None,
        };
        let address = t.endpoint.unwrap_or_default();
        if address.parse::<SocketAddr>().is_err() && state != pb::NodeState::Gone {
            return None;
        }
        let zone = number(&mut self.zones, t.az.as_deref().unwrap_or_default())?;
        let up = (t.boot_ms > 0.0).then(|| (unix_ms - t.boot_ms).max(0.0) * 1000.0);
        Some(pb::Endpoint {
            node: number(&mut self.nodes, &t.uid)?,
            zone,
            shard: t.pod_group,
            state: state.into(),
            address,
            start: t.boot_ms.max(0.0) as u64,
            up_us: up.map(|us| us as u64),
        })
    }
}

/// The call for the whole list, or for what is newer than a revision once there is something.
pub fn ask(service: &str, call: Action) -> Vec<u8> {
    let mut text = format!("GET {PATH}");
    if let Action::Newer { revision, wait } = call {
        let _ = write!(text, "?since={revision}&timeout_ms={}", wait.as_millis());
    }
    let _ = write!(text, " HTTP/1.1\r\nHost: {service}\r\n\r\n");
    text.into_bytes()
}

#[cfg(test)]
mod tests;
