//! What the decisions know, for people to look at. Nothing is decided here, and nothing here is decided by.

use crate::control::Control;
use crate::interface::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// One node as this host sees it. Units; rates are units a second.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeFigures {
    pub node: NodeId,
    pub state: NodeState,
    pub started: Option<Duration>,
    pub attempts: usize,
    pub out: f64,
    pub held: usize,
    /// What may go to it by the window, and what it was learnt to do.
    pub estimate: f64,
    pub rate: f64,
    /// In one: how far its bound is taken back, what it takes by benefit, which part of its answers is late.
    pub brake: f64,
    pub ease: f64,
    pub late: f64,
    /// It has just started, and this host keeps to its part of what it bears.
    pub cold: bool,
    pub bad_row: u32,
    /// When it last answered well, and when it was last sent something.
    pub heard: Duration,
    pub sent: Duration,
}

/// Held requests of one volume that wait at one node (None: new objects) for one thing.
#[derive(Debug, Clone, PartialEq)]
pub struct HeldFigures {
    pub volume: VolumeId,
    pub node: Option<NodeId>,
    pub rejection: BlockReason,
    pub requests: usize,
    /// When the first of them was taken.
    pub since: Duration,
}

impl Control {
    pub fn nodes(&self) -> impl Iterator<Item = NodeFigures> + '_ {
        self.bk.nodes.values().map(|nd| NodeFigures {
            node: nd.id,
            state: nd.state,
            started: nd.started,
            attempts: nd.attempts.len(),
            out: nd.out,
            held: nd.held.len(),
            estimate: nd.window.estimate,
            rate: nd.rate,
            brake: nd.brake,
            ease: nd.ease,
            late: nd.late,
            cold: nd.cold.is_some(),
            bad_row: nd.bad_row,
            // Until something was sent, that is when it came.
            heard: if nd.sent.is_zero() { Duration::ZERO } else { nd.heard },
            sent: nd.sent,
        })
    }

    /// What is held and why, of at most so many lines of requests that are worth the same; of each line the
    /// first stands for all.
    pub fn held(&self, lines: usize) -> Vec<HeldFigures> {
        let mut all: BTreeMap<(VolumeId, Option<NodeId>, BlockReason), (usize, Duration)> = BTreeMap::new();
        let mut add = |volume, node, rejection, n: usize, since: Duration| {
            let entry = all.entry((volume, node, rejection)).or_insert((0, since));
            (entry.0, entry.1) = (entry.0 + n, entry.1.min(since));
        };
        let held = self.bk.nodes.values().flat_map(|nd| nd.held.lines().map(move |line| (nd.id, line)));
        for (node, line) in held.take(lines) {
            let first = line.first().map(|(_, id)| id.0);
            let Some((id, x)) = first.and_then(|id| Some((id, self.bk.requests.get(&id)?))) else { continue };
            let room = self.opens(node, x.request.units).is_some_and(|at| at <= self.bk.now);
            let rejection = self.rejection(id, x, node).or((!room).then_some(BlockReason::Concurrency));
            rejection
                .into_iter()
                .for_each(|rejection| add(x.request.volume, Some(node), rejection, line.len(), x.taken));
        }
        for x in self.bk.floating.iter().take(lines).filter_map(|id| self.bk.requests.get(id)) {
            add(x.request.volume, None, BlockReason::NoCapacity, 1, x.taken);
        }
        let figures = |((volume, node, rejection), (requests, since))| HeldFigures {
            volume,
            node,
            rejection,
            requests,
            since,
        };
        all.into_iter().map(figures).collect()
    }
}
