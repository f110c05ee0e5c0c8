//! What a host knows of its flows, volumes, nodes and transfers. Records only: what they mean is
//! decided in `control.rs`.

use crate::bucket::TokenBucket;
use crate::control::Window;
use crate::histogram::Histogram;
use crate::interface::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// Where and when a leg was sent that may have run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ran {
    pub zone: ZoneId,
    pub cell: CellId,
    pub sent: Duration,
}

#[derive(Debug, Default)]
pub struct Flow {
    pub out: f64,
    pub held: f64,
    pub used: f64,
    pub queued_sum: f64,
    pub out_sum: f64,
    pub demand: f64,
    pub spare: Option<TokenBucket>,
}

#[derive(Debug)]
pub struct Volume {
    pub plan: PlanId,
    pub hosts: usize,
    pub done: f64,
    pub done_rate: f64,
    pub reported: Option<(f64, Duration)>,
    pub reserve: TokenBucket,
    pub limit: Option<TokenBucket>,
}

#[derive(Debug)]
pub struct Node {
    pub zone: ZoneId,
    pub cell: CellId,
    pub state: NodeState,
    pub started: Option<Duration>,
    pub open_from: Duration,
    pub cold: Option<TokenBucket>,
    pub window: Window,
    pub tokens: TokenBucket,
    pub out: f64,
    pub legs: BTreeMap<XferId, Duration>,
    pub held: Vec<XferId>,
    pub flows: BTreeMap<VolumeId, Flow>,
    pub done: f64,
    pub rate: f64,
    pub lags: Histogram,
    pub mix: Vec<f64>,
    pub brake: f64,
    pub slow: f64,
    pub answers: f64,
    pub fulls: f64,
    pub errors: f64,
    pub heard: Duration,
    pub silent: bool,
    pub trial: Duration,
    pub was_held: bool,
    pub below: bool,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Want {
    Held,
    Out(NodeId),
    Deferred(Duration),
    Abandoned,
}

#[derive(Debug)]
pub struct Xfer {
    pub x: Transfer,
    pub taken: Duration,
    pub slo_at: Duration,
    pub want: Want,
    pub over: bool,
    pub begun: bool,
    pub legs: u32,
    pub out: Option<NodeId>,
    pub last: Option<NodeId>,
    pub ran: Option<Ran>,
    pub not_before: Duration,
}

impl Node {
    pub fn new(e: &ListEntry, window: Window, lags: Histogram, now: Duration) -> Self {
        Node {
            zone: e.zone,
            cell: e.cell,
            state: e.state,
            started: e.started,
            open_from: now,
            cold: None,
            tokens: TokenBucket::new(window.estimate, window.estimate, window.estimate),
            window,
            out: 0.0,
            legs: BTreeMap::new(),
            held: Vec::new(),
            flows: BTreeMap::new(),
            done: 0.0,
            rate: 0.0,
            lags,
            mix: Vec::new(),
            brake: 1.0,
            slow: 0.0,
            answers: 0.0,
            fulls: 0.0,
            errors: 0.0,
            heard: now,
            silent: false,
            trial: now,
            was_held: false,
            below: false,
        }
    }

    /// Takes a transfer from those held here, if it is among them.
    pub fn unhold(&mut self, id: XferId, volume: VolumeId, units: f64) {
        let before = self.held.len();
        self.held.retain(|h| *h != id);
        if self.held.len() < before {
            self.flows.entry(volume).or_default().held -= units;
        }
    }
}
