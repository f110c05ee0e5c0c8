//! Long polling: implements the client's watch over a protocol in which discovery responds to one call at a
//! time.
//!
//! [`LongPolling`] is a state machine without I/O and without a clock: the owner thread of the platform's host
//! calls [`LongPolling::step`] with one event, and performs the actions that it returns. Its state is the
//! [`CallSequence`] of each connection, the address of discovery, and the revision from which the next
//! connection resumes.
//!
//! Its memory is bounded by the number of connections to discovery, of which [`crate::DiscoveryClient`] opens
//! only a few.

use crate::calls::{Call, CallSequence, Event as CallEvent, OutstandingCall};
use crate::poll_deadline::EXTENDED_CALL_TIMEOUT;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest time after the last response within which a new connection continues the watch. The value is less
/// than the platform allows, because the call takes some time to arrive. With a larger value, the host would
/// treat a watch as still open that discovery has already ended; a smaller value costs discovery another call.
const MAX_CONTINUATION_GAP: Duration = Duration::from_millis(150);

/// Identifies one connection to discovery. The caller numbers its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PollConn(pub u64);

/// Properties of a response from discovery that was received in full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Response {
    /// Revision of the list in the response.
    pub revision: u64,
    /// Whether the response is the complete list.
    pub is_complete: bool,
    /// Whether every entry of the response could be parsed.
    pub is_well_formed: bool,
    /// Whether the response has no entries.
    pub is_empty: bool,
    /// Whether another call may follow on the connection.
    pub keep_alive: bool,
}

/// An input of [`LongPolling::step`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The host has loaded the list that it stored before its restart.
    Cached {
        /// Revision of that list.
        revision: u64,
        /// Whether every entry of the list could be parsed.
        is_well_formed: bool,
    },
    /// The address of discovery has changed.
    Moved {
        /// The new address.
        address: SocketAddr,
    },
    /// A connection to the current address is open.
    Connected {
        /// The connection.
        conn: PollConn,
    },
    /// The client starts or stops to watch for changes on a connection.
    Watch {
        /// The connection.
        conn: PollConn,
        /// Whether the client watches from now on.
        on: bool,
    },
    /// The client requests the complete list once.
    Fetch {
        /// The connection.
        conn: PollConn,
    },
    /// Discovery has responded.
    Answered {
        /// The connection.
        conn: PollConn,
        /// The response.
        response: Response,
    },
    /// Discovery has refused the call because it has too many callers. The caller of `step` closes the
    /// connection.
    Refused {
        /// The connection.
        conn: PollConn,
    },
    /// A connection has been closed.
    Closed {
        /// The connection.
        conn: PollConn,
    },
    /// Calls may have become overdue.
    CheckTimeouts,
}

/// An output of [`LongPolling::step`]. The caller performs the actions in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send a call.
    Call {
        /// The connection.
        conn: PollConn,
        /// The call.
        call: Call,
    },
    /// Report to the client that the outstanding call is overdue. The connection stays open.
    ReportOverdue {
        /// The connection.
        conn: PollConn,
    },
    /// Report to the client that discovery has refused the call.
    ReportRefused {
        /// The connection.
        conn: PollConn,
        /// How long the call had been queued at discovery.
        waited: Duration,
        /// Whether the call continued an open watch.
        up_to_date: bool,
    },
    /// Close the connection, and report to the client that it has ended after a response.
    End {
        /// The connection.
        conn: PollConn,
    },
    /// Close the connection, and report to the client that it was lost.
    Drop {
        /// The connection.
        conn: PollConn,
    },
}

/// The revision of the endpoint list that this host has completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct KnownRevision {
    revision: u64,
    /// Address of the discovery server that numbers the revision. Another server may use other numbers.
    address: SocketAddr,
    /// When the revision was received; `None` if it comes from the stored list.
    received_at: Option<Duration>,
}

/// The calls on one connection, and the address to which it leads.
#[derive(Debug)]
struct PolledConnection {
    calls: CallSequence,
    address: SocketAddr,
}

/// Decides the calls on each connection to discovery, one call at a time.
#[derive(Debug)]
pub struct LongPolling {
    address: SocketAddr,
    poll_interval: Duration,
    /// `None` if there is no endpoint list, or part of it could not be parsed.
    known: Option<KnownRevision>,
    connections: BTreeMap<PollConn, PolledConnection>,
}

impl LongPolling {
    /// Returns the state without connections. `address` is the address of discovery; `poll_interval` is the
    /// time between two polls that the settings require.
    pub fn new(address: SocketAddr, poll_interval: Duration) -> Self {
        LongPolling {
            address,
            poll_interval,
            known: None,
            connections: BTreeMap::new(),
        }
    }

    /// Returns the address of discovery.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the outstanding call of a connection, if any.
    pub fn outstanding(&self, conn: PollConn) -> Option<OutstandingCall> {
        self.connections.get(&conn)?.calls.outstanding()
    }

    /// Takes an event and returns the actions to perform, in order.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let action = match event {
            Event::Cached {
                revision,
                is_well_formed,
            } => {
                self.known = is_well_formed.then_some(KnownRevision {
                    revision,
                    address: self.address,
                    received_at: None,
                });
                None
            }
            Event::Moved { address } => {
                self.address = address;
                None
            }
            Event::Connected { conn } => {
                self.connected(now, conn);
                None
            }
            Event::Watch { conn, on } => self.next_call(now, conn, CallEvent::Watch { on }),
            Event::Fetch { conn } => self.next_call(now, conn, CallEvent::Fetch),
            Event::Answered { conn, response } => self.answered(now, conn, response),
            Event::Refused { conn } => self.refused(now, conn),
            Event::Closed { conn } => {
                self.connections.remove(&conn);
                None
            }
            Event::CheckTimeouts => return self.report_overdue(now),
        };
        action.into_iter().collect()
    }

    fn connected(&mut self, now: Duration, conn: PollConn) {
        let known = self.known.filter(|known| known.address == self.address);
        let received_at = known.and_then(|known| known.received_at);
        let continues = received_at.is_some_and(|at| now < at + MAX_CONTINUATION_GAP);
        let revision = known.map(|known| known.revision);
        let connection = PolledConnection {
            // The client applies its own timeout to the first call, which may be shorter.
            calls: CallSequence::new(EXTENDED_CALL_TIMEOUT, revision, continues),
            address: self.address,
        };
        self.connections.insert(conn, connection);
    }

    fn next_call(&mut self, now: Duration, conn: PollConn, event: CallEvent) -> Option<Action> {
        let connection = self.connections.get_mut(&conn)?;
        let call = connection.calls.step(now, self.poll_interval, event)?;
        Some(Action::Call { conn, call })
    }

    fn answered(&mut self, now: Duration, conn: PollConn, response: Response) -> Option<Action> {
        let connection = self.connections.get(&conn)?;
        let outstanding = connection.calls.outstanding()?;
        let received = response.is_well_formed.then_some(KnownRevision {
            revision: response.revision,
            address: connection.address,
            received_at: Some(now),
        });
        self.known = received.filter(|received| !self.is_stale_delta(received, &response));
        if response.keep_alive {
            let revision = response.revision;
            return self.next_call(now, conn, CallEvent::Answered { revision });
        }
        // Discovery had no change and did not hold the call, like a server that is about to stop or does not
        // support watches. If the next call followed at once, the host would call in a busy loop, so the
        // connection counts as lost and the backoff applies.
        if response.is_empty && outstanding.ends_early(now) {
            return Some(Action::Drop { conn });
        }
        Some(Action::End { conn })
    }

    /// Returns whether discovery has sent changes with an older revision than it had sent before. It has then
    /// lost its state, and only a complete list contains the changes since then.
    fn is_stale_delta(&self, received: &KnownRevision, response: &Response) -> bool {
        let is_older = self.known.is_some_and(|known| {
            known.address == received.address && received.revision < known.revision
        });
        is_older && !response.is_complete
    }

    fn refused(&self, now: Duration, conn: PollConn) -> Option<Action> {
        let outstanding = self.outstanding(conn)?;
        Some(Action::ReportRefused {
            conn,
            waited: outstanding.queueing_time(now),
            up_to_date: outstanding.continues_watch,
        })
    }

    fn report_overdue(&mut self, now: Duration) -> Vec<Action> {
        let mut reports = Vec::new();
        for (conn, connection) in &mut self.connections {
            if connection.calls.report_overdue(now) {
                reports.push(Action::ReportOverdue { conn: *conn });
            }
        }
        reports
    }
}
