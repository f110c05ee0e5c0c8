//! Publishes this host's metrics to subscribers.
//!
//! The router reports requests and attempts as they happen, and publishes one message in each
//! interval. While there is no subscriber, only the [`Counters`] are updated. One entry is stored for
//! each subscriber, beyond the state of [`MetricsCollector`].

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

/// The most bytes of metrics that a subscriber may leave unread. Without this bound, a subscriber that
/// does not read would fill the host's memory.
const MAX_UNREAD_METRICS_BYTES: usize = 4 << 20;

/// Collects metrics and sends them to the subscribers.
#[derive(Debug, Default)]
pub(super) struct MetricsPublisher {
    subscribers: BTreeMap<ConnId, Arc<Outbox>>,
    collector: MetricsCollector,
    publish_at: Duration,
    counters: Counters,
}

impl MetricsPublisher {
    /// Returns the counters since the start of the host.
    pub(super) fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the counters, for updating.
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

    /// Returns when the next message is due, or `None` if there is no subscriber.
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
        let slow = subscribers.filter(|(_, outbox)| outbox.bytes() > MAX_UNREAD_METRICS_BYTES);
        slow.map(|(conn, _)| *conn).collect()
    }

    /// Sends the message of one interval to all subscribers. `start_number_of` returns the number by
    /// which the endpoint list distinguishes the starts of a node's process; `host_metrics` contains the
    /// values of the host as a whole.
    pub(super) fn publish(
        &mut self,
        now: Duration,
        scheduler: &Scheduler,
        start_number_of: impl Fn(NodeId) -> u64,
        host_metrics: pb::HostMetrics,
    ) {
        self.publish_at = now + INTERVAL;
        let metrics = self
            .collector
            .collect(now, scheduler, start_number_of, host_metrics);
        for outbox in self.subscribers.values() {
            outbox.put(frame(Body::HostMetrics(Box::new(metrics.clone()))));
        }
    }

    /// Counts a request that has arrived. `sent_at` is when its client sent it.
    pub(super) fn request_received(&mut self, sent_at: Duration, message: &pb::SubmitRequest) {
        if !self.subscribers.is_empty() {
            self.collector.request_received(sent_at, message);
        }
    }

    /// Counts a request that has completed. `sent_at` is when its client sent it, `objective` the latency
    /// objective of its traffic class.
    pub(super) fn request_completed(
        &mut self,
        sent_at: Duration,
        message: &pb::SubmitRequest,
        now: Duration,
        objective: Duration,
    ) {
        if !self.subscribers.is_empty() {
            let in_time = now <= sent_at + objective;
            self.collector.request_completed(sent_at, message, in_time);
        }
    }

    /// Counts units that a node has completed.
    pub(super) fn units_completed(&mut self, node: NodeId, units: f64) {
        if !self.subscribers.is_empty() {
            self.collector.units_completed(node, units);
        }
    }
}
