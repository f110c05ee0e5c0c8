//! What the end of an attempt says of its node, its volume and its request.

use super::concurrency::{adjust_factor, cut_factor, QUEUEING_FRACTION};
use super::throttle::{adjust_admission, EJECT_AFTER, UNQUEUED_QUANTILE};
use super::Scheduler;
use crate::api::{AttemptEnd, AttemptOutcome, EjectionReason};
use crate::state::PriorAttempt;

impl Scheduler {
    pub(super) fn record_outcome(&mut self, end: &AttemptEnd) {
        let (now, outcome, state) = (self.state.now, end.outcome, &mut self.state);
        let Some(pending) = state.requests.get_mut(&end.id) else {
            return;
        };
        let Some(node) = state.nodes.get_mut(&end.node) else {
            return;
        };
        let volume = state
            .volumes
            .get_mut(&pending.request.volume)
            .expect("made when the request came in");
        if let Some(percent) = end.reported {
            volume.report_usage(percent, self.plans[volume.plan.0].base_rate, now);
        }
        let sent = node
            .attempt_ended(&pending.request)
            .unwrap_or(now.saturating_sub(end.elapsed));
        state.changed_nodes.insert(end.node);
        node.contact.record(outcome, sent, now);
        // A limit counts what crosses, when it crosses. What was never sent gives its units back; what found
        // no connection draws them again when it goes, or units drawn long before would add to a full
        // bucket's. Harm: where the rule counts an attempt without a connection, as much is lost.
        let undone = matches!(
            outcome,
            AttemptOutcome::NotSent | AttemptOutcome::ConnectFailed
        );
        if pending.attempts == 1 && undone {
            pending.limit_drawn = false;
            volume.refund_limit(if outcome == AttemptOutcome::NotSent {
                pending.request.units
            } else {
                0.0
            });
        }
        if may_have_run(outcome)
            && outcome != AttemptOutcome::Completed
            && pending.prior_attempt.is_none()
        {
            pending.prior_attempt = Some(PriorAttempt {
                zone: node.zone,
                shard: node.shard,
                sent,
            });
        }
        // What fails fast looks idle and would draw all that may go anywhere. Some failures in a row keep new
        // objects away; dead ports and full queues also eject the node, while errors may spare some requests
        // whose data is there, and a reset may be its connection's alone: a node that died has a dead port.
        let failed = is_failure(outcome);
        node.consecutive_failures += u32::from(failed);
        if failed
            && !matches!(
                outcome,
                AttemptOutcome::Failed | AttemptOutcome::ConnectionReset
            )
        {
            adjust_admission(node, &mut state.late_fraction, now, true);
            if node.consecutive_failures >= EJECT_AFTER {
                let failures = node.consecutive_failures;
                let reason = match outcome {
                    AttemptOutcome::QueueFull => EjectionReason::QueueFull { failures },
                    _ => EjectionReason::ConnectFailed { failures },
                };
                node.eject(&mut state.actions, reason);
            }
        }
        if outcome == AttemptOutcome::Completed {
            let units = pending.request.units;
            self.time_per_unit.add(end.elapsed.div_f64(units.max(0.5)));
            let work = self
                .time_per_unit
                .quantile(UNQUEUED_QUANTILE)
                .unwrap_or_default()
                .mul_f64(units);
            let late = end.elapsed > work + self.tightest_objective.mul_f64(QUEUEING_FRACTION);
            node.delays.add(end.elapsed.saturating_sub(work));
            if !late || !pending.lateness_counted {
                adjust_admission(node, &mut state.late_fraction, now, late);
            }
            volume.done += units;
            node.completed(units, late, now);
            adjust_factor(node, late);
        } else if outcome == AttemptOutcome::QueueFull {
            node.stats.queue_full += 1.0;
            cut_factor(node);
        }
    }
}

fn may_have_run(outcome: AttemptOutcome) -> bool {
    !matches!(
        outcome,
        AttemptOutcome::QueueFull | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
    )
}

/// Whether the outcome counts against the node.
fn is_failure(outcome: AttemptOutcome) -> bool {
    use AttemptOutcome::{Cancelled, Completed, NotSent, TimedOut};
    !matches!(outcome, Completed | TimedOut | Cancelled | NotSent)
}
