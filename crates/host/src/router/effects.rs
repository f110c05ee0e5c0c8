//! Collects the effects of the current step: events for the scheduler and outputs for the caller.
//!
//! Beyond the step, this module remembers the last identifier that it gave to a connection, attempt
//! or health check, and how many violations of the protocol it has logged for each connection. It
//! stores the effects of one step, and one entry for each connection with a violation.

use super::types::{ConnId, Output};
use super::violation_log_limiter::ViolationLogLimiter;
use crate::log_event::{LogEvent, ProtocolViolation};
use grebecleat_scheduler::api::Event;

/// Generates the identifiers of connections, attempts and health checks. No identifier is used twice.
#[derive(Debug)]
pub(super) struct IdSequence {
    last: u64,
}

impl IdSequence {
    /// Returns the next identifier.
    pub(super) fn next(&mut self) -> u64 {
        self.last += 1;
        self.last
    }
}

/// The effects of the current step.
#[derive(Debug)]
pub(super) struct StepEffects {
    events: Vec<Event>,
    outputs: Vec<Output>,
    ids: IdSequence,
    violation_log: ViolationLogLimiter,
}

impl Default for StepEffects {
    fn default() -> Self {
        StepEffects {
            events: Vec::new(),
            outputs: Vec::new(),
            ids: IdSequence { last: 1 },
            violation_log: ViolationLogLimiter::default(),
        }
    }
}

impl StepEffects {
    /// Adds an event for the scheduler.
    pub(super) fn add_event(&mut self, event: Event) {
        self.events.push(event);
    }

    /// Returns the events for the scheduler.
    #[cfg(test)]
    pub(super) fn events(&self) -> &[Event] {
        &self.events
    }

    /// Returns the events for the scheduler, to which the caller may add, and the identifier sequence.
    pub(super) fn events_and_ids(&mut self) -> (&mut Vec<Event>, &mut IdSequence) {
        (&mut self.events, &mut self.ids)
    }

    /// Removes and returns the events for the scheduler.
    pub(super) fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Adds an output for the caller.
    pub(super) fn add_output(&mut self, output: Output) {
        self.outputs.push(output);
    }

    /// Removes and returns the outputs for the caller.
    pub(super) fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns the identifier of a new connection, attempt or health check.
    pub(super) fn next_id(&mut self) -> u64 {
        self.ids.next()
    }

    /// Adds an output that logs an event.
    pub(super) fn log(&mut self, event: LogEvent) {
        self.add_output(Output::Log(event));
    }

    /// Logs a violation of the protocol, unless too many were logged for the same connection.
    pub(super) fn log_violation(&mut self, conn: ConnId, violation: ProtocolViolation) {
        if self.violation_log.count_violation(conn) {
            self.log(LogEvent::ProtocolViolation { conn, violation });
        }
    }

    /// Stops counting the violations on a connection that has ended.
    pub(super) fn connection_ended(&mut self, conn: ConnId) {
        self.violation_log.connection_ended(conn);
    }
}
