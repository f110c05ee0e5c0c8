//! Handles the input of the connections: each has its turn, whose work is bounded.
//!
//! A step handles turns until they have cost [`STEP_COST`], or a deadline is due. What one step leaves waits
//! for the next one, so neither a flood of input nor many connections delay the router's timers, the
//! sweep, or the responses of the step.

use super::Owner;
use crate::run::client_conn::{self, Received};
use crate::run::connection::{CloseReason, Role};
use crate::run::inbox::TakenBytes;
use crate::run::input_schedule::{Eligible, Turn};
use crate::run::owner_time::Activity;
use crate::run::reader::OwnerEvent;
use grebecleat_host::router::ConnId;
use grebecleat_wire::clock;
use may::net::TcpStream;
use std::sync::mpsc::Receiver;
use std::time::Duration;

/// Cost of the turns of one step, in bytes of input (`input_schedule` has the cost of a message). A larger
/// value delays the responses of a step; a smaller one costs more steps.
const STEP_COST: usize = 128 << 10;

/// Maximum number of steps' input that is handled after a pause of this process before the router's timers. A
/// larger value delays them further; with a smaller one, responses that arrived in time count as late.
const MAX_CATCH_UP_STEPS: usize = 16;

/// A connection whose reader has ended.
pub(super) struct EndedReader {
    pub(super) conn: ConnId,
    /// The connection's socket, whose descriptor is free once the stream is dropped.
    pub(super) stream: TcpStream,
}

impl Owner {
    /// Handles input until its cost reaches the bound of a step, or until `deadline`, when something else
    /// is due. Handles one turn at least, so that input is not held up while deadlines follow each other.
    pub(super) fn take_turns(&mut self, eligible: Eligible, deadline: Duration) {
        let mut spent = 0;
        while spent < STEP_COST {
            let Some(mut turn) = self.schedule.begin_turn(eligible) else {
                return;
            };
            let has_more = self.take_turn(&mut turn);
            spent += turn.spent();
            self.schedule.end_turn(&turn, has_more);
            if clock::now() >= deadline {
                return;
            }
        }
    }

    /// Handles the input of one connection until its turn is spent. Returns whether it has more.
    fn take_turn(&mut self, turn: &mut Turn) -> bool {
        self.time.turn();
        let conn = turn.conn();
        let mut charged = 0;
        let mut has_received = false;
        // A request may wait behind one that was finished, or behind the end of the previous turn.
        let mut has_more = self.advance_client(turn);
        while !turn.is_spent() {
            let Some(connection) = self.connections.get(conn) else {
                break;
            };
            let Some(taken) = connection.gate.take(turn.left()) else {
                break;
            };
            turn.charge_bytes(taken.bytes.len());
            charged += taken.charged;
            has_received = true;
            has_more = self.receive(turn, &taken);
        }
        self.account_for(conn, has_received);
        self.budget.lock().processed(charged);
        self.relieve_memory();
        let connection = self.connections.get(conn);
        connection.is_some_and(|connection| has_more || connection.gate.has_input())
    }

    /// Adds received bytes to their message, and processes the messages that are complete. Returns whether
    /// the turn ended before the last of them.
    fn receive(&mut self, turn: &mut Turn, taken: &TakenBytes) -> bool {
        let conn = turn.conn();
        let began_at = clock::now();
        let waited = began_at.saturating_sub(taken.at);
        self.time.read(taken.bytes.len(), waited);
        let Some(connection) = self.connections.get_mut(conn) else {
            return false;
        };
        connection.last_read_at = taken.at;
        if let Role::Client(_) = connection.role {
            match client_conn::receive(connection, taken.at, &taken.bytes) {
                Received::Buffered => {}
                Received::Discarded => return false,
                Received::Close(reason) => {
                    self.connection_lost(conn, reason);
                    return false;
                }
            }
            self.spent_since(Activity::Copying, began_at);
            return self.advance_client(turn);
        }
        connection.reader.push(&taken.bytes);
        let is_node = matches!(connection.role, Role::Node(_));
        self.spent_since(Activity::Copying, began_at);
        if is_node {
            self.handle_node_bytes(turn, taken.at);
        } else {
            self.handle_discovery_bytes(turn);
        }
        false
    }

    /// Handles the input that has arrived during a pause of this process, up to a bound, before the router
    /// evaluates which nodes are silent and which deadlines have passed.
    pub(super) fn catch_up(&mut self, events: &Receiver<OwnerEvent>) {
        for _ in 0..MAX_CATCH_UP_STEPS {
            self.take_events(events);
            if self.schedule.is_empty() {
                return;
            }
            self.take_turns(Eligible::All, Duration::MAX);
        }
    }

    /// Ends the connections whose readers have ended and whose input is handled.
    pub(super) fn finish_ended(&mut self) {
        for ended in std::mem::take(&mut self.ended) {
            self.end_after_input(ended);
        }
    }

    /// Ends a connection whose reader has ended, as soon as its input is handled.
    pub(super) fn end_after_input(&mut self, ended: EndedReader) {
        if self.schedule.contains(ended.conn) {
            self.ended.push(ended);
        } else {
            self.reader_ended(ended);
        }
    }

    fn reader_ended(&mut self, ended: EndedReader) {
        let EndedReader { conn, stream } = ended;
        if !self.connections.reader_ended(conn) {
            self.connection_lost(conn, CloseReason::PeerClosed);
            self.connections.reader_ended(conn);
        }
        drop(stream);
        self.descriptor_freed(conn);
    }
}
