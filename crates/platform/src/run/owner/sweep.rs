//! Closes what is slow, silent or idle, every [`SWEEP_INTERVAL`]; no timer of the coroutines is
//! used.

use super::{unix_ms, Owner};
use crate::http::HttpError;
use crate::run::connection::{ClientState, CloseReason, Connection, Role};
use grebecleat_discovery::long_polling::{Event as PollingEvent, LongPolling, PollConn};
use grebecleat_host::router::ConnId;
use grebecleat_wire::clock;
use std::time::Duration;

const SWEEP_INTERVAL: Duration = Duration::from_millis(50);
/// A client that has sent nothing, or only part of its first exchange, is closed so long after it
/// was accepted.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2400);
/// The rest of a later exchange that has begun must come within this.
const REQUEST_REST_TIMEOUT: Duration = Duration::from_millis(2000);
/// A connection without an open exchange is closed after this. Harm: a client that comes back later
/// dials again.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_millis(2000);
/// Clients younger than this may be about to send; from their connecting on, not from their being
/// accepted.
pub(super) const NEW_CLIENT_GRACE: Duration = Duration::from_millis(100);
/// A node's answer that has begun must go on within this. Guards against answers that are said to
/// be longer than they are, whose connection stays open: without it such an attempt delays its
/// request until the deadline. Harm: a complete answer over a link that stalls for longer counts as
/// malformed.
const ANSWER_REST_TIMEOUT: Duration = Duration::from_millis(100);
/// How long a client may take to read its answer.
const ANSWER_READ_TIMEOUT: Duration = Duration::from_millis(5000);
/// How often the statistics are logged, at debug level; their last part comes with the end.
const STATISTICS_INTERVAL: Duration = Duration::from_millis(1000);

const REQUEST_TIMEOUT: HttpError = HttpError {
    status: 408,
    reason: "the rest did not come",
};

/// When and how a connection that only waits is ended.
enum Expiry {
    Never,
    /// Closed without regard for what it has sent.
    Close(Duration),
    /// It has never sent anything.
    Silent(Duration),
    Idle(Duration),
    /// A request without its rest is answered with an error.
    Incomplete(Duration),
    /// An answer of a node without its rest.
    Malformed(Duration),
}

/// Connections that are to be ended now.
#[derive(Default)]
struct Expired {
    close: Vec<ConnId>,
    idle: Vec<ConnId>,
    malformed: Vec<ConnId>,
    incomplete: Vec<ConnId>,
}

fn expiry(conn: ConnId, connection: &Connection, polling: &LongPolling) -> Expiry {
    match &connection.role {
        Role::Node(_) if connection.read_buffer.is_empty() => Expiry::Never,
        Role::Node(_) => Expiry::Malformed(connection.last_read_at + ANSWER_REST_TIMEOUT),
        Role::Client(client) => client_expiry(connection, client),
        Role::Discovery => {
            let outstanding = polling.outstanding(PollConn(conn.0));
            outstanding.map_or(Expiry::Never, |call| Expiry::Close(call.give_up_at()))
        }
    }
}

fn client_expiry(connection: &Connection, client: &ClientState) -> Expiry {
    if client.exchange.is_some() {
        return Expiry::Never;
    }
    if connection.has_unwritten() {
        return Expiry::Close(client.since + ANSWER_READ_TIMEOUT);
    }
    if let Some(discard) = &client.discard {
        return Expiry::Close(discard.until);
    }
    if !client.has_sent {
        return Expiry::Silent(connection.opened_at + FIRST_REQUEST_TIMEOUT);
    }
    if connection.read_buffer.is_empty() {
        return Expiry::Idle(client.since + IDLE_TIMEOUT);
    }
    // Until a first exchange has ended, its time counts from the client's being accepted.
    if client.since <= connection.opened_at {
        return Expiry::Incomplete(connection.opened_at + FIRST_REQUEST_TIMEOUT);
    }
    Expiry::Incomplete(client.since + REQUEST_REST_TIMEOUT)
}

impl Owner {
    pub(super) fn sweep(&mut self) {
        let now = clock::now();
        self.sweep_at = now + SWEEP_INTERVAL;
        let closes_after_answer = self.closes_after_answer();
        let expired = self.expired(now, closes_after_answer);
        self.step_polling(PollingEvent::CheckTimeouts);
        for conn in expired.close {
            self.connection_lost(conn, CloseReason::TimedOut);
        }
        for conn in expired.idle {
            self.close_if_quiet(conn);
        }
        self.limit_idle_clients();
        for conn in expired.malformed {
            self.answer_malformed(conn);
        }
        for conn in expired.incomplete {
            self.reject(conn, REQUEST_TIMEOUT);
        }
        if self.listener_waits {
            self.make_room();
            self.slots.wake.post();
        }
        if closes_after_answer {
            self.close_listener_when_due(now);
        }
        let router = &self.router;
        self.client_ids.sweep(|request| router.is_open(request));
        if now >= self.statistics_at {
            self.statistics_at = now + STATISTICS_INTERVAL;
            self.log_statistics();
        }
    }

    fn expired(&self, now: Duration, closes_after_answer: bool) -> Expired {
        let mut expired = Expired::default();
        for (conn, connection) in &self.connections {
            match expiry(*conn, connection, &self.polling) {
                Expiry::Close(at) if now >= at => expired.close.push(*conn),
                Expiry::Silent(at) => {
                    let was_given_time = now >= connection.opened_at + NEW_CLIENT_GRACE;
                    if now >= at || closes_after_answer && was_given_time {
                        expired.idle.push(*conn);
                    }
                }
                Expiry::Idle(at) => {
                    // A host that shuts down keeps what it has: its clients get no other connection
                    // here.
                    let is_due = now >= at && self.draining_since.is_none();
                    if closes_after_answer || is_due {
                        expired.idle.push(*conn);
                    }
                }
                Expiry::Incomplete(at) if now >= at => expired.incomplete.push(*conn),
                Expiry::Malformed(at) if now >= at => expired.malformed.push(*conn),
                _ => {}
            }
        }
        expired
    }

    pub(super) fn log_statistics(&mut self) {
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        let second = (unix_ms() / 1000.0) as u64;
        let counters = self.router.counters();
        let classes = self.config.traffic_classes.iter();
        let names: Vec<String> = classes.map(|class| class.name.clone()).collect();
        let scheduler = self.router.scheduler();
        let line = self.statistics.line(second, counters, scheduler, &names);
        tracing::debug!("{line}");
    }
}
