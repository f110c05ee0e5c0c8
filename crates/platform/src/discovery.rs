//! Translates the platform's endpoint list into endpoint updates of the host, and assigns numbers to
//! the names of nodes and zones.
//!
//! [`EndpointNames::read`] is the entry point; `run::discovery_port` calls it for each response of
//! discovery. The scheduler identifies nodes and zones by number; a name keeps its number while this
//! process runs. The memory holds one name for each node that was ever listed, at most `MAX_NAMES`;
//! entries with further names are ignored.

use crate::http::HttpError;
use grebecleat_discovery::calls::Call;
use grebecleat_wire::pb;
use serde::Deserialize;
use std::collections::HashMap;
use std::fmt::Write;
use std::net::SocketAddr;

/// The URL path of the endpoint list at discovery.
pub const PATH: &str = "/registry/instances";
/// Maximum number of names: enough for more than a day in which a node is replaced every few seconds.
/// A larger value takes more memory; with a smaller one, a host that runs for long ignores new nodes.
const MAX_NAMES: usize = 100_000;

/// The endpoint list in the platform's form.
#[derive(Deserialize)]
struct ListDocument {
    #[serde(rename = "rev")]
    revision: u64,
    /// Whether the list is complete; otherwise it holds changes only.
    all: bool,
    targets: Vec<serde_json::Value>,
}

/// One node in the platform's form.
#[derive(Deserialize)]
struct Target {
    uid: String,
    endpoint: Option<String>,
    #[serde(rename = "az")]
    zone: Option<String>,
    #[serde(rename = "pod_group")]
    shard: u32,
    state: String,
    /// When it started, in milliseconds since the Unix epoch, or zero if that is unknown.
    #[serde(default, rename = "boot_ms")]
    started_ms: f64,
}

/// An error that makes a response of discovery unusable.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// The response's status is not 200.
    #[error("status {0}")]
    Status(u16),
    /// The response is not valid HTTP.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The response's body is not an endpoint list in JSON.
    #[error(transparent)]
    Format(#[from] serde_json::Error),
    /// All entries of a complete list are malformed.
    #[error("none of {count} endpoints can be read")]
    NoneReadable {
        /// Number of entries of the list.
        count: usize,
    },
}

/// An endpoint list, or its changes, as read from discovery.
#[derive(Debug)]
pub struct ReadEndpoints {
    /// The list or the changes.
    pub list: pb::EndpointUpdate,
    /// Its revision.
    pub revision: u64,
    /// Number of malformed entries, which `list` does not hold.
    pub malformed: usize,
}

/// The numbers assigned to the names of the nodes and zones that discovery has listed.
#[derive(Debug, Default)]
pub struct EndpointNames {
    nodes: HashMap<String, u32>,
    zones: HashMap<String, u32>,
}

/// Returns the number of a name, or `None` if the name is new and there are too many names.
fn assign_number(numbers: &mut HashMap<String, u32>, name: &str) -> Option<u32> {
    if let Some(number) = numbers.get(name) {
        return Some(*number);
    }
    if numbers.len() >= MAX_NAMES {
        return None;
    }
    let number = numbers.len() as u32;
    tracing::debug!(number, name, "endpoint list name numbered");
    numbers.insert(name.to_string(), number);
    Some(number)
}

impl EndpointNames {
    /// Reads a list or its changes. `unix_ms` is the current wall clock time, from which the uptime of
    /// nodes is computed.
    ///
    /// A complete list with a malformed entry is treated as changes; otherwise the node of that entry
    /// would count as gone.
    pub fn read(&mut self, body: &[u8], unix_ms: f64) -> Result<ReadEndpoints, DiscoveryError> {
        let document: ListDocument = serde_json::from_slice(body)?;
        let count = document.targets.len();
        let endpoints: Vec<pb::Endpoint> = document
            .targets
            .into_iter()
            .filter_map(|target| self.endpoint(target, unix_ms))
            .collect();
        let malformed = count - endpoints.len();
        if document.all && endpoints.is_empty() && malformed > 0 {
            return Err(DiscoveryError::NoneReadable { count: malformed });
        }
        let kind = if document.all && malformed == 0 {
            pb::EndpointUpdateKind::Snapshot
        } else {
            pb::EndpointUpdateKind::Delta
        };
        let revision = document.revision;
        let list = pb::EndpointUpdate {
            kind: kind.into(),
            revision,
            endpoints,
        };
        Ok(ReadEndpoints {
            list,
            revision,
            malformed,
        })
    }

    /// Reads an entry. Returns `None` if it is malformed.
    fn endpoint(&mut self, entry: serde_json::Value, unix_ms: f64) -> Option<pb::Endpoint> {
        let target: Target = serde_json::from_value(entry).ok()?;
        let state = match target.state.as_str() {
            "ready" => pb::NodeState::Ready,
            "draining" => pb::NodeState::Draining,
            "gone" => pb::NodeState::Gone,
            _ => return None,
        };
        let address = target.endpoint.unwrap_or_default();
        if address.parse::<SocketAddr>().is_err() && state != pb::NodeState::Gone {
            return None;
        }
        let zone = assign_number(&mut self.zones, target.zone.as_deref().unwrap_or_default())?;
        let node = assign_number(&mut self.nodes, &target.uid)?;
        let started_ms = target.started_ms;
        let up_us = (started_ms > 0.0).then(|| (unix_ms - started_ms).max(0.0) * 1000.0);
        Some(pb::Endpoint {
            node,
            zone,
            shard: target.shard,
            state: state.into(),
            address,
            start: started_ms.max(0.0) as u64,
            up_us: up_us.map(|us| us as u64),
        })
    }
}

/// Returns the HTTP request of a call.
pub fn encode_call(service: &str, call: Call) -> Vec<u8> {
    let mut text = format!("GET {PATH}");
    if let Call::Newer { revision, wait } = call {
        let _ = write!(text, "?since={revision}&timeout_ms={}", wait.as_millis());
    }
    let _ = write!(text, " HTTP/1.1\r\nHost: {service}\r\n\r\n");
    text.into_bytes()
}

#[cfg(test)]
mod tests;
