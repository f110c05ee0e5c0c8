//! Attempt outcome: the effect of a finished attempt on its node, its volume and its request.
//!
//! Called by [`super::Scheduler`] for each attempt that has ended. Owns no state: it passes the outcome to the
//! mechanisms that use it.

use super::latency::LatencyModel;
use super::outlier_ejection::{is_failure, is_refusal};
use super::retry_policy::PriorAttempt;
use super::throttle::AdmissionThrottle;
use crate::api::{AttemptEnd, AttemptOutcome, LogEvent};
use crate::state::{Node, PendingRequest, Volume};
use std::time::Duration;

/// A finished attempt, with the records that its outcome changes.
pub(super) struct EndedAttempt<'a> {
    outcome: AttemptOutcome,
    /// Time from sending to end, as measured by the host.
    elapsed: Duration,
    sent: Duration,
    now: Duration,
    pending: &'a mut PendingRequest,
    node: &'a mut Node,
    volume: &'a mut Volume,
}

impl<'a> EndedAttempt<'a> {
    /// Removes the attempt from its node's outstanding attempts.
    pub(super) fn new(
        end: &AttemptEnd,
        now: Duration,
        pending: &'a mut PendingRequest,
        node: &'a mut Node,
        volume: &'a mut Volume,
    ) -> Self {
        let sent = node.attempt_ended(&pending.request);
        EndedAttempt {
            outcome: end.outcome,
            elapsed: end.elapsed,
            sent: sent.unwrap_or(now.saturating_sub(end.elapsed)),
            now,
            pending,
            node,
            volume,
        }
    }

    /// Updates the evidence that the node accepts requests.
    pub(super) fn record_serving_evidence(&mut self) {
        self.node
            .serving_evidence
            .record(self.outcome, self.sent, self.now);
    }

    /// Puts the units of an attempt that was not sent back into the volume's limit.
    ///
    /// The limit counts the units of an attempt when it is written to a socket, so the units of an
    /// attempt that was never sent are put back. The units of an attempt that could not open a connection are
    /// not put back, and the next attempt draws them again. They may have been drawn long ago; if they were
    /// put back into a bucket that has filled up since, they would allow too large a burst. The cost is that
    /// they are drawn twice if the limit counts the attempt without a connection.
    pub(super) fn refund_limit(&mut self) {
        let is_first = self.pending.attempts.count() == 1;
        match self.outcome {
            AttemptOutcome::NotSent if is_first => {
                self.pending.limit_drawn = false;
                self.volume.refund_limit(self.pending.request.units);
            }
            AttemptOutcome::ConnectFailed if is_first => self.pending.limit_drawn = false,
            _ => {}
        }
    }

    /// Records the attempt as a prior attempt of the request, if it may have run and has not completed.
    pub(super) fn record_prior(&mut self) {
        if !may_have_run(self.outcome) || self.outcome == AttemptOutcome::Completed {
            return;
        }
        self.pending.attempts.record_prior(PriorAttempt {
            zone: self.node.zone,
            shard: self.node.shard,
            sent: self.sent,
        });
    }

    /// Counts a failure against the node; returns the event to log if the node is ejected.
    pub(super) fn record_failure(&mut self, throttle: &mut AdmissionThrottle) -> Option<LogEvent> {
        if is_failure(self.outcome) {
            self.node.failures.add();
        }
        if !is_refusal(self.outcome) {
            return None;
        }
        throttle.record(&mut self.node.admission, self.now, true);
        let reason = self.node.failures.ejection(self.outcome)?;
        self.node.eject(reason)
    }

    /// Records the duration of a completed attempt, or that the node's queue was full.
    pub(super) fn record_answer(
        &mut self,
        throttle: &mut AdmissionThrottle,
        latency: &mut LatencyModel,
    ) {
        match self.outcome {
            AttemptOutcome::Completed => self.record_completed(throttle, latency),
            AttemptOutcome::QueueFull => {
                self.node.capacity.queue_full();
                self.node.concurrency.queue_full();
            }
            _ => {}
        }
    }

    fn record_completed(&mut self, throttle: &mut AdmissionThrottle, latency: &mut LatencyModel) {
        let units = self.pending.request.units;
        let late = latency.record(&mut self.node.delays, units, self.elapsed);
        if !late || !self.pending.attempts.lateness_counted() {
            throttle.record(&mut self.node.admission, self.now, late);
        }
        self.volume.reservation.completed(units);
        self.node.capacity.completed(units, late);
        self.node.failures.reset(self.now);
        self.node.concurrency.completed(late);
    }
}

fn may_have_run(outcome: AttemptOutcome) -> bool {
    use AttemptOutcome::{ConnectFailed, NotSent, QueueFull};
    !matches!(outcome, QueueFull | ConnectFailed | NotSent)
}

/// Returns whether an attempt with this outcome may still be running at its node.
pub(super) fn may_still_run(outcome: AttemptOutcome) -> bool {
    use AttemptOutcome::{Cancelled, ConnectionReset, TimedOut};
    matches!(outcome, TimedOut | ConnectionReset | Cancelled)
}

/// Returns whether this outcome rules out a retry.
pub(super) fn forbids_retry(outcome: AttemptOutcome) -> bool {
    use AttemptOutcome::{Cancelled, NotSent, TimedOut};
    matches!(outcome, TimedOut | NotSent | Cancelled)
}
