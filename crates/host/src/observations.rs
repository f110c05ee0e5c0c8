//! How this host sees nodes, as it reports it to the state service: only what has changed since the
//! last report.
//!
//! Called by the router at every sweep with a row for each node; [`ObservationReport::changes`]
//! returns the rows to send. What changes by itself (ages, the time that is left to what may still
//! run) is no change, but for its end. A new connection is sent all rows. Memory: a row for each
//! node of the endpoint list.

use grebecleat_membership::answers::Answers;
use grebecleat_wire::pb;
use std::collections::BTreeMap;

/// The rows that were last reported.
#[derive(Debug, Default)]
pub struct ObservationReport {
    reported: BTreeMap<u32, pb::NodeObservation>,
}

impl ObservationReport {
    /// The service has forgotten what it was sent, or is another one.
    pub fn forget(&mut self) {
        self.reported.clear();
    }

    /// How the node was last reported to answer.
    pub fn answers(&self, node: u32) -> Answers {
        let reported = self.reported.get(&node);
        match reported.map(|observation| observation.answers()) {
            Some(pb::Answering::Well) => Answers::Good,
            Some(pb::Answering::Badly) => Answers::Bad,
            _ => Answers::None,
        }
    }

    /// The rows that differ from those last reported; they count as reported from now on.
    pub fn changes(
        &mut self,
        rows: impl IntoIterator<Item = pb::NodeObservation>,
    ) -> Vec<pb::NodeObservation> {
        let mut changed = Vec::new();
        for row in rows {
            let reported = self.reported.get(&row.node);
            if reported.is_none_or(|reported| stable_part(reported) != stable_part(&row)) {
                self.reported.insert(row.node, row);
                changed.push(row);
            }
        }
        changed
    }
}

/// A row without what changes by itself: of the time left only whether there is any.
fn stable_part(row: &pb::NodeObservation) -> pb::NodeObservation {
    pb::NodeObservation {
        // The endpoint list tells the start anew with every process.
        up_us: None,
        unsure_us: u64::from(row.unsure_us > 0),
        ..*row
    }
}

#[cfg(test)]
mod tests;
