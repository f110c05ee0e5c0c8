//! Subscribers to this host's metrics, and when they are sent the next message.
//!
//! Called by the router: requests and attempts are counted as they happen, and a sweep publishes
//! the message of each interval. Nothing is counted while nobody subscribes. Memory: that of
//! [`MetricsCollector`], and one entry for each subscriber.

use super::types::frame;
use super::{ConnId, Counters};
use crate::metrics::{MetricsCollector, INTERVAL};
use crate::outbox::Outbox;
use grebecleat_scheduler::api::NodeId;
use grebecleat_scheduler::scheduler::Scheduler;
use grebecleat_wire::pb::{self, frame::Body};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Bytes of metrics that a subscriber may leave unread. A subscriber that does not read would
/// otherwise fill the host's memory.
const MAX_UNREAD_METRICS: usize = 4 << 20;

/// Collects metrics and sends them to the subscribers.
#[derive(Debug, Default)]
pub(super) struct MetricsPublisher {
    subscribers: BTreeMap<ConnId, Arc<Outbox>>,
    collector: MetricsCollector,
    publish_at: Duration,
    counters: Counters,
}

impl MetricsPublisher {
    /// The counters since the start of the host.
    pub(super) fn counters(&self) -> Counters {
        self.counters
    }

    /// The counters, to be raised.
    pub(super) fn counters_mut(&mut self) -> &mut Counters {
        &mut self.counters
    }

    /// Adds a subscriber. The next message contains every node.
    pub(super) fn subscribe(&mut self, conn: ConnId, outbox: Arc<Outbox>) {
        self.collector.report_all_nodes();
        self.subscribers.insert(conn, outbox);
    }

    /// Removes the subscriber on this connection, if there is one, and closes the connection.
    pub(super) fn unsubscribe(&mut self, conn: ConnId) {
        if let Some(outbox) = self.subscribers.remove(&conn) {
            outbox.close();
        }
    }

    /// Returns when the next message is due. None: nobody subscribes.
    pub(super) fn publish_at(&self) -> Option<Duration> {
        (!self.subscribers.is_empty()).then_some(self.publish_at)
    }

    /// Returns whether a message is due.
    pub(super) fn is_due(&self, now: Duration) -> bool {
        self.publish_at().is_some_and(|at| now >= at)
    }

    /// Returns the subscribers that have left too many bytes unread.
    pub(super) fn slow_subscribers(&self) -> Vec<ConnId> {
        let subscribers = self.subscribers.iter();
        let slow = subscribers.filter(|(_, outbox)| outbox.bytes() > MAX_UNREAD_METRICS);
        slow.map(|(conn, _)| *conn).collect()
    }

    /// Sends the message of one interval to all subscribers. `start_of` returns which start of a
    /// node's process the endpoint list names; `head` contains the host's own figures.
    pub(super) fn publish(
        &mut self,
        now: Duration,
        scheduler: &Scheduler,
        start_of: impl Fn(NodeId) -> u64,
        head: pb::HostMetrics,
    ) {
        self.publish_at = now + INTERVAL;
        let metrics = self.collector.collect(now, scheduler, start_of, head);
        for outbox in self.subscribers.values() {
            outbox.put(frame(Body::HostMetrics(Box::new(metrics.clone()))));
        }
    }

    /// Counts a request that has arrived.
    pub(super) fn request_received(&mut self, received: Duration, message: &pb::SubmitRequest) {
        if !self.subscribers.is_empty() {
            self.collector.request_received(received, message);
        }
    }

    /// Counts a request that has completed. `objective` is the latency objective of its class.
    pub(super) fn request_completed(
        &mut self,
        received: Duration,
        message: &pb::SubmitRequest,
        now: Duration,
        objective: Duration,
    ) {
        if !self.subscribers.is_empty() {
            let in_time = now <= received + objective;
            self.collector.request_completed(received, message, in_time);
        }
    }

    /// Counts units that a node has completed.
    pub(super) fn units_completed(&mut self, node: NodeId, units: f64) {
        if !self.subscribers.is_empty() {
            self.collector.units_completed(node, units);
        }
    }
}
