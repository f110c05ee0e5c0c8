//! Attempt outcome: the effect of an attempt's end on its node, its volume and its request.
//!
//! Called by [`super::Scheduler`] for each attempt that has ended. Owns no state: it hands the outcome to the
//! mechanisms that it concerns.

use super::latency::LatencyModel;
use super::outlier_ejection::{is_failure, is_refusal};
use super::retry_policy::PriorAttempt;
use super::throttle::AdmissionThrottle;
use crate::api::{AttemptEnd, AttemptOutcome, LogEvent};
use crate::state::{Node, PendingRequest, Volume};
use std::time::Duration;

/// An attempt that has ended, with the records that its outcome changes.
pub(super) struct EndedAttempt<'a> {
    outcome: AttemptOutcome,
    /// Time from its sending to its end, as the host measured it.
    elapsed: Duration,
    sent: Duration,
    now: Duration,
    pending: &'a mut PendingRequest,
    node: &'a mut Node,
    volume: &'a mut Volume,
}

impl<'a> EndedAttempt<'a> {
    /// Removes the attempt from its node.
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
    pub(super) fn record_contact(&mut self) {
        self.node.contact.record(self.outcome, self.sent, self.now);
    }

    /// Returns units to the volume's limit. The rule counts the units of an attempt when it crosses a socket. An
    /// attempt that was never sent gives its units back. An attempt that found no connection draws them again
    /// with the next attempt: units that were drawn long before would add to those of a bucket that is full again. Harm:
    /// where the rule counts an attempt without a connection, as many units are lost.
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

    /// Remembers the attempt, if it may have run and has not completed.
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

    /// Records the time of a completed attempt, or the node's full queue.
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

/// Returns whether an attempt with this outcome may still run at its node.
pub(super) fn may_still_run(outcome: AttemptOutcome) -> bool {
    use AttemptOutcome::{Cancelled, ConnectionReset, TimedOut};
    matches!(outcome, TimedOut | ConnectionReset | Cancelled)
}

/// Returns whether no retry may follow this outcome.
pub(super) fn is_final(outcome: AttemptOutcome) -> bool {
    use AttemptOutcome::{Cancelled, NotSent, TimedOut};
    matches!(outcome, TimedOut | NotSent | Cancelled)
}
