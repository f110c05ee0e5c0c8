//! Reader of the nodes' traces: attempts as they arrive, and marks. [`Run::read`] calls it.

use super::{Run, TracedFrame};
use grebecleat_wire::pb::{self, frame::Body, record::Kind, Record};
use std::collections::HashMap;
use std::time::Duration;

/// Attempt that arrived at a node.
#[derive(Debug)]
pub struct Arrival {
    /// Frame of the attempt.
    pub frame: TracedFrame,
    /// Name of the host that sent the attempt.
    pub host: String,
    /// Content of the attempt.
    pub attempt: pb::Attempt,
}

impl Run {
    pub(super) fn read_nodes(&mut self, records: &[Record]) {
        let mut peers: HashMap<u64, String> = HashMap::new();
        for record in records {
            let at = Duration::from_nanos(record.at_ns);
            let body = record.frame.as_ref().and_then(|frame| frame.body.as_ref());
            match (record.kind(), body) {
                (Kind::Opened, _) => {
                    peers.insert(record.conn, record.peer.clone());
                }
                (Kind::Mark, _) => self
                    .marks
                    .extend(record.mark.clone().map(|mark| (at, mark))),
                (Kind::In, Some(Body::Attempt(attempt))) => {
                    let arrivals = self.arrived.entry(attempt.node).or_default();
                    arrivals.push(Arrival {
                        frame: TracedFrame::new("nodes", record),
                        host: peers.get(&record.conn).cloned().unwrap_or_default(),
                        attempt: attempt.clone(),
                    });
                }
                _ => {}
            }
        }
    }
}
