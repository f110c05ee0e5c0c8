//! What was given up and why, added up for people to look at. Nothing is decided here, and nothing is decided
//! by it.
//!
//! Memory: a count for each pair of cause, traffic class, paying bucket and age that was met.

use crate::control::Control;
use crate::interface::*;
use crate::state::{PendingRequest, Want};
use std::collections::BTreeMap;
use std::time::Duration;

/// Why a request was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Why {
    /// Something of ours kept it from going.
    Rejected(BlockReason),
    /// Nothing did, but it could not be in time behind what goes first.
    Behind,
    /// No node that the list names has its data.
    Absent,
    /// An attempt of it ended badly, and another may not go.
    Attempt,
}

/// Which bucket would have paid: the volume's reservation, the flow's share, or none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Pays {
    Reserve,
    Share,
    Nobody,
}

/// How long ago its node last answered well, in steps: [`AGES`]; one more where it never did.
pub const AGES: [Duration; 4] =
    [Duration::from_millis(300), Duration::from_secs(1), Duration::from_secs(3), Duration::from_secs(10)];

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cause {
    pub why: Why,
    pub traffic_class: TrafficClassId,
    pub pays: Pays,
    /// The first of [`AGES`] that is not passed, by its place.
    pub heard: usize,
}

/// How many were given up, by cause.
pub type Account = BTreeMap<Cause, u64>;

impl Control {
    /// What was given up since the last call.
    pub fn account(&mut self) -> Account {
        std::mem::take(&mut self.bk.account)
    }

    /// Counts a request that is about to be given up, under what keeps it now.
    pub(crate) fn blame(&mut self, id: RequestId) {
        let Some(x) = self.bk.requests.get(&id).filter(|x| !x.over) else { return };
        let holder = x.request.shard.and_then(|shard| self.bk.holder(shard));
        let node = x.at.or(x.last).or(holder);
        let spare =
            node.and_then(|n| self.bk.nodes[&n].flows.get(&x.request.volume)).and_then(|f| f.spare.as_ref());
        let pays = match self.bk.volumes.get(&x.request.volume) {
            Some(v) if v.reserve.held() > 0.0 => Pays::Reserve,
            _ if spare.is_none_or(|b| b.held() > 0.0) => Pays::Share,
            _ => Pays::Nobody,
        };
        let heard =
            node.map(|n| &self.bk.nodes[&n]).filter(|nd| !nd.sent.is_zero()).map_or(AGES.len(), |nd| {
                let age = self.bk.now.saturating_sub(nd.heard);
                AGES.iter().position(|most| age <= *most).unwrap_or(AGES.len())
            });
        let cause =
            Cause { why: self.why(id, x, holder), traffic_class: x.request.traffic_class, pays, heard };
        *self.bk.account.entry(cause).or_default() += 1;
    }

    fn why(&self, id: RequestId, x: &PendingRequest, holder: Option<NodeId>) -> Why {
        let room = |node| self.opens(node, x.request.units).is_some_and(|at| at <= self.bk.now);
        match x.at {
            _ if matches!(x.want, Want::Out(_)) => Why::Attempt,
            None if x.request.shard.is_none() => Why::Rejected(BlockReason::NoCapacity),
            None if holder.is_none() => Why::Absent,
            None => Why::Behind,
            Some(node) => match self.rejection(id, x, node) {
                Some(rejection) => Why::Rejected(rejection),
                None if !room(node) => Why::Rejected(BlockReason::Concurrency),
                None => Why::Behind,
            },
        }
    }
}
