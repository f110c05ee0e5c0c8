//! The thread that owns a portal's engine: passes events to it and performs its actions.
//!
//! It waits for events from connections, the host and the store, steps the engine with all pending
//! ones, up to `MAX_EVENTS`, and performs the resulting actions in order.

use super::line::{ReaderLimits, SendQueue};
use super::requests::{finished, RequestBuilder};
use crate::engine::{ConnNo, Engine, Input, Output};
use grebecleat_catalog_service::extents::Extents;
use grebecleat_catalog_service::group_commit::GroupCommit;
use grebecleat_catalog_service::store::{Record, StoreFault};
use grebecleat_host::server::{Handle, LocalClient};
use grebecleat_wire::clock;
use grebecleat_wire::pb::frame::Body;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::sync::Arc;
use std::time::Duration;
use tracing::{error, info, warn};

/// Longest wait for an event.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Minimum time between two reports of the extents per shard to the host.
const REPORT_INTERVAL: Duration = MAX_WAIT;
/// Maximum events of one step, in addition to the one that woke the thread.
const MAX_EVENTS: usize = 1024;

/// An event that wakes the owner.
pub(super) enum Event {
    Input(Input),
    /// Inputs from one read of a connection.
    Read(Vec<Input>),
    Opened(ConnNo, Arc<SendQueue>),
    /// Responses of the host are ready to be read.
    Answers,
    /// The store failed, with the reason.
    StoreFailed(String),
}

/// Number of extents in each shard, reported to the host.
pub(super) struct ShardCounts {
    host: Handle,
    extents: BTreeMap<u32, u64>,
    reported_at: Duration,
    changed: bool,
}

impl ShardCounts {
    /// Counts the extents of all volumes, and reports them.
    pub fn count_and_report<'a>(host: Handle, volumes: impl Iterator<Item = &'a Extents>) -> Self {
        let mut extents = BTreeMap::new();
        for run in volumes.flat_map(Extents::iter) {
            *extents.entry(run.shard).or_default() += run.length;
        }
        host.extents_by_shard(extents.clone());
        ShardCounts {
            host,
            extents,
            reported_at: clock::now(),
            changed: false,
        }
    }

    fn add(&mut self, shard: u32) {
        *self.extents.entry(shard).or_default() += 1;
        self.changed = true;
    }

    fn report_if_due(&mut self) {
        if self.changed && clock::now() >= self.reported_at + REPORT_INTERVAL {
            self.changed = false;
            self.reported_at = clock::now();
            self.host.extents_by_shard(self.extents.clone());
        }
    }
}

/// The engine and the resources that its actions need.
pub(super) struct Owner {
    pub engine: Engine,
    pub shard_counts: ShardCounts,
    pub local: LocalClient,
    /// Whether an [`Event::Answers`] is queued.
    pub answers_pending: Arc<AtomicBool>,
    /// `None` once the store has failed.
    pub store: Option<GroupCommit>,
    pub events: Sender<Event>,
    pub queues: BTreeMap<ConnNo, Arc<SendQueue>>,
    pub requests: RequestBuilder,
}

impl Owner {
    /// Runs until all senders of events are dropped.
    pub fn run(mut self, events: &Receiver<Event>) {
        loop {
            let first = match events.recv_timeout(self.wait_time()) {
                Ok(event) => Some(event),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let mut inputs = Vec::new();
            for event in first.into_iter().chain(events.try_iter().take(MAX_EVENTS)) {
                self.collect(event, &mut inputs);
            }
            for input in &inputs {
                if let Input::ConnectionClosed { conn } = input {
                    self.queues.remove(conn);
                }
            }
            let mut submitted = Vec::new();
            for output in self.engine.step(clock::now(), inputs) {
                self.perform(output, &mut submitted);
            }
            if !submitted.is_empty() {
                self.local.send(submitted);
            }
            self.shard_counts.report_if_due();
        }
    }

    fn wait_time(&self) -> Duration {
        let now = clock::now();
        match self.engine.wake_at() {
            Some(at) => at.saturating_sub(now).min(MAX_WAIT),
            None => MAX_WAIT,
        }
    }

    fn collect(&mut self, event: Event, inputs: &mut Vec<Input>) {
        match event {
            Event::Input(input) => inputs.push(input),
            Event::Read(read) => inputs.extend(read),
            Event::Opened(conn, queue) => {
                self.queues.insert(conn, queue);
                inputs.push(Input::ConnectionOpened { conn });
            }
            Event::Answers => {
                self.answers_pending.store(false, Ordering::Release);
                let answers = self.local.read();
                inputs.extend(answers.into_iter().filter_map(finished));
            }
            Event::StoreFailed(why) => {
                if self.store.take().is_some() {
                    error!(
                        "places can no longer be kept: {why}; extents that lie nowhere are not written"
                    );
                    inputs.push(Input::StoreFailed);
                }
            }
        }
    }

    fn perform(&mut self, output: Output, submitted: &mut Vec<Body>) {
        match output {
            Output::Send { conn, pdu, digests } => {
                let Some(queue) = self.queues.get(&conn) else {
                    return;
                };
                if !queue.put(pdu, digests) {
                    warn!(conn = conn.0, "initiator leaves its answers unread");
                    queue.disconnect();
                }
            }
            Output::SetReader {
                conn,
                digests,
                max_data,
            } => {
                if let Some(queue) = self.queues.get(&conn) {
                    queue.set_reader(ReaderLimits { digests, max_data });
                }
            }
            Output::Close { conn } => {
                if let Some(queue) = self.queues.get(&conn) {
                    queue.finish();
                }
            }
            Output::Submit(request) => submitted.push(self.requests.submit(request)),
            Output::PersistPlacement {
                no,
                volume,
                extent,
                shard,
            } => {
                self.shard_counts.add(shard);
                let placement = Record::ExtentPlacement {
                    volume,
                    extent,
                    shard,
                };
                self.persist(placement, Input::PlacementPersisted { no });
            }
            Output::PersistCeiling { ceiling } => {
                self.persist(
                    Record::VersionCeiling(ceiling),
                    Input::CeilingPersisted { ceiling },
                );
            }
            Output::Log { text } => info!("{text}"),
        }
    }

    /// Commits a record to the store; the engine receives the acknowledgement once the record is
    /// durable.
    fn persist(&self, record: Record, acknowledgement: Input) {
        let Some(store) = &self.store else {
            return;
        };
        let events = self.events.clone();
        let committed = move |result: Result<(), StoreFault>| {
            let event = match result {
                Ok(()) => Event::Input(acknowledgement),
                Err(why) => Event::StoreFailed(why.to_string()),
            };
            let _ = events.send(event);
        };
        store.commit(vec![record], committed);
    }
}
