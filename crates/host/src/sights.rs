//! How this host sees nodes, as it tells the state service: only what has changed since it last told.
//!
//! Called by the desk at every sweep with a row for each node; `news` answers the rows to send. What runs by
//! itself (ages, the time that is left to what may still run) is no news, but for its end. A new connection
//! is told all. Memory: a row for each node of the list.

use grebecleat_membership::node_status::Answers;
use grebecleat_wire::pb;
use std::collections::BTreeMap;

#[derive(Debug, Default)]
pub struct Sights {
    told: BTreeMap<u32, pb::NodeObservation>,
}

impl Sights {
    /// The service has forgotten what it was told, or is another one.
    pub fn forget(&mut self) {
        self.told.clear();
    }

    /// How the node was last told to answer.
    pub fn answers(&self, node: u32) -> Answers {
        match self.told.get(&node).map(|n| n.answers()) {
            Some(pb::Answering::Well) => Answers::Good,
            Some(pb::Answering::Badly) => Answers::Bad,
            _ => Answers::None,
        }
    }

    pub fn news(
        &mut self,
        rows: impl IntoIterator<Item = pb::NodeObservation>,
    ) -> Vec<pb::NodeObservation> {
        let still = |n: &pb::NodeObservation| {
            let over = u64::from(n.unsure_us > 0);
            // The list tells it anew with every start; attempts count only where somebody waits for them to end.
            pb::NodeObservation {
                up_us: None,
                unsure_us: over,
                ..*n
            }
        };
        let new = rows
            .into_iter()
            .filter(|n| self.told.get(&n.node).is_none_or(|t| still(t) != still(n)));
        let new: Vec<pb::NodeObservation> = new.collect();
        new.iter().for_each(|n| _ = self.told.insert(n.node, *n));
        new
    }
}

#[cfg(test)]
mod tests;
