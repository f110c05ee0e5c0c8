//! What this host tells whoever watches it, every second: nodes, what is held and why, and what each volume
//! asked for and got.
//!
//! Called by the desk with every request that is taken and done, and `tell` makes a second's figures.
//! Nothing is counted while nobody watches. What a volume asked for is told under the second in which it
//! came, and what has come of it under the same second, whenever that is; whoever watches adds it up. SLO
//! times count from when a request was taken here: a client's later try is one of its own to us, since
//! nobody tells us of its first.
//!
//! Memory: a record for each volume, shard and second of which something changed since the last figures, and
//! of the nodes what was last told.

use grebecleat::control::inspection::{NodeMetrics, QueueMetrics};
use grebecleat::control::Control;
use grebecleat::interface::{BlockReason, NodeId, NodeState};
use grebecleat_wire::clock::micros;
use grebecleat_wire::pb;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

pub const EVERY: Duration = Duration::from_secs(1);
/// Lines of held requests that are looked at.
const LINES: usize = 512;

/// The second in which it came, its volume, and where its data lies.
type Key = (u64, u64, Option<u32>);

#[derive(Debug, Default)]
pub struct Service {
    counts: HashMap<Key, (f64, f64, f64)>,
    done: HashMap<NodeId, f64>,
    told: BTreeMap<NodeId, pb::NodeMetrics>,
}

impl Service {
    /// Somebody new watches, and is told of all nodes.
    pub fn anew(&mut self) {
        self.told.clear();
    }

    fn key(taken: Duration, t: &pb::SubmitRequest) -> Key {
        (taken.as_secs(), t.volume, t.shard)
    }

    pub fn took(&mut self, taken: Duration, t: &pb::SubmitRequest) {
        self.counts.entry(Service::key(taken, t)).or_default().0 += t.units;
    }

    pub fn done(&mut self, taken: Duration, t: &pb::SubmitRequest, timely: bool) {
        let counts = self.counts.entry(Service::key(taken, t)).or_default();
        match timely {
            true => counts.1 += t.units,
            false => counts.2 += t.units,
        }
    }

    pub fn done_at(&mut self, node: NodeId, units: f64) {
        *self.done.entry(node).or_default() += units;
    }

    /// `starts`: which start of a node's process the list told.
    pub fn tell(
        &mut self,
        now: Duration,
        control: &Control,
        starts: impl Fn(NodeId) -> u64,
        head: pb::HostMetrics,
    ) -> pb::HostMetrics {
        let mut done = std::mem::take(&mut self.done);
        let mut nodes = Vec::new();
        for f in control.nodes() {
            let units = done.remove(&f.node).unwrap_or_default();
            let row = node_pb(&f, now, starts(f.node), units);
            let still = |r: &pb::NodeMetrics| pb::NodeMetrics {
                last_success_us: None,
                up_us: None,
                ..*r
            };
            if self
                .told
                .get(&f.node)
                .is_none_or(|t| still(t) != still(&row))
            {
                self.told.insert(f.node, row);
                nodes.push(row);
            }
        }
        let held = control
            .queued(LINES)
            .iter()
            .map(|h| held_pb(h, now))
            .collect();
        let service = std::mem::take(&mut self.counts).into_iter();
        let service =
            service.map(
                |((second, volume, shard), (asked, timely, late))| pb::ServiceMetrics {
                    second,
                    volume,
                    shard,
                    asked,
                    timely,
                    late,
                },
            );
        let service = service.collect();
        pb::HostMetrics {
            nodes,
            queued: held,
            service,
            at_us: micros(now),
            ..head
        }
    }
}

/// To three digits, so that what hardly changes is not told again and again.
fn round(x: f64) -> f64 {
    if x == 0.0 || !x.is_finite() {
        return 0.0;
    }
    let scale = 10f64.powf(2.0 - x.abs().log10().floor());
    (x * scale).round() / scale
}

fn node_pb(f: &NodeMetrics, now: Duration, start: u64, done: f64) -> pb::NodeMetrics {
    let state = match f.state {
        NodeState::Ready => pb::NodeState::Ready,
        NodeState::Draining => pb::NodeState::Draining,
        NodeState::Gone => pb::NodeState::Gone,
    };
    let since = |at: Duration| micros(now.saturating_sub(at));
    pb::NodeMetrics {
        node: f.node.0,
        state: state.into(),
        start,
        up_us: f.started.map(since),
        attempts: f.attempts as u32,
        outstanding: round(f.outstanding),
        queued: f.queued as u32,
        estimate: round(f.estimate),
        learned_rate: round(f.learned_rate),
        concurrency_factor: round(f.concurrency_factor),
        admission_level: round(f.admission_level),
        late_fraction: round(f.late_fraction),
        slow_start: f.slow_start,
        last_success_us: (!f.last_success.is_zero()).then(|| since(f.last_success)),
        done: round(done),
    }
}

fn held_pb(h: &QueueMetrics, now: Duration) -> pb::QueueMetrics {
    let block_reason = match h.block_reason {
        BlockReason::RetryDelay => pb::BlockReason::RetryDelay,
        BlockReason::KeyOrder => pb::BlockReason::KeyOrder,
        BlockReason::RetryBudget => pb::BlockReason::RetryBudget,
        BlockReason::RateLimit => pb::BlockReason::RateLimit,
        BlockReason::SlowStart => pb::BlockReason::SlowStart,
        BlockReason::Idempotency => pb::BlockReason::Idempotency,
        BlockReason::Share => pb::BlockReason::Share,
        BlockReason::Throttled => pb::BlockReason::Throttled,
        BlockReason::Concurrency => pb::BlockReason::Concurrency,
        BlockReason::NoCapacity => pb::BlockReason::NoCapacity,
    };
    pb::QueueMetrics {
        volume: h.volume.0,
        node: h.node.map(|n| n.0),
        block_reason: block_reason.into(),
        requests: h.requests as u32,
        since_us: micros(now.saturating_sub(h.since)),
    }
}

#[cfg(test)]
mod tests;
