//! The effects that the current step has had so far: events for the scheduler and outputs for the
//! caller.
//!
//! Called by the router and by the methods that define the order of a step. State beyond the step: the
//! numbers given to connections, attempts and health checks, and the log lines about each bad peer.
//! Memory: the effects of one step, and one entry for each connection that was logged.

use super::bad_peers::BadPeers;
use super::types::{ConnId, Output};
use crate::log_event::{LogEvent, ProtocolViolation};
use grebecleat_scheduler::api::Event;

/// The numbers of connections, attempts and health checks. No number is used twice.
#[derive(Debug)]
pub(super) struct NumberSequence {
    last: u64,
}

impl NumberSequence {
    /// Returns the next number.
    pub(super) fn next(&mut self) -> u64 {
        self.last += 1;
        self.last
    }
}

/// The effects of a step.
#[derive(Debug)]
pub(super) struct StepEffects {
    events: Vec<Event>,
    outputs: Vec<Output>,
    numbers: NumberSequence,
    bad_peers: BadPeers,
}

impl Default for StepEffects {
    fn default() -> Self {
        StepEffects {
            events: Vec::new(),
            outputs: Vec::new(),
            numbers: NumberSequence { last: 1 },
            bad_peers: BadPeers::default(),
        }
    }
}

impl StepEffects {
    /// Adds an event for the scheduler.
    pub(super) fn event(&mut self, event: Event) {
        self.events.push(event);
    }

    /// The events for the scheduler.
    #[cfg(test)]
    pub(super) fn events(&self) -> &[Event] {
        &self.events
    }

    /// The events for the scheduler, to which others may be added, and the sequence of numbers.
    pub(super) fn events_and_numbers(&mut self) -> (&mut Vec<Event>, &mut NumberSequence) {
        (&mut self.events, &mut self.numbers)
    }

    /// Returns the events for the scheduler, and forgets them.
    pub(super) fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Adds an output for the caller.
    pub(super) fn output(&mut self, output: Output) {
        self.outputs.push(output);
    }

    /// Returns the outputs for the caller, and forgets them.
    pub(super) fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns the next number of a connection, an attempt or a health check.
    pub(super) fn next_number(&mut self) -> u64 {
        self.numbers.next()
    }

    /// Logs a change of state.
    pub(super) fn log(&mut self, event: LogEvent) {
        self.output(Output::Log(event));
    }

    /// Logs a violation of the protocol by a peer, but for a peer that was logged too often.
    pub(super) fn log_violation(&mut self, conn: ConnId, violation: ProtocolViolation) {
        if self.bad_peers.may_log(conn) {
            self.log(LogEvent::ProtocolViolation { conn, violation });
        }
    }

    /// Forgets the log lines about a peer whose connection has ended.
    pub(super) fn connection_ended(&mut self, conn: ConnId) {
        self.bad_peers.connection_ended(conn);
    }
}
