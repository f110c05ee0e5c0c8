//! Long polling: carries the client's watch over a protocol in which discovery responds to one call
//! at a time.
//!
//! State machine: [`LongPolling::step`] takes one event and returns the actions to perform. No I/O
//! and no clock. The platform's owner calls it. State: the [`CallSequence`] of each connection, the
//! address of discovery, and the revision from which the next connection resumes.
//!
//! Bounds: one record for each connection to discovery, of which [`crate::DiscoveryClient`] has few.

use crate::calls::{Call, CallSequence, Event as CallEvent, OutstandingCall};
use crate::poll_deadline::PATIENT_CALL_TIMEOUT;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The next connection continues a watch if it begins within this time after the last response. The
/// value is less than the platform allows, because the call needs time on its way. A larger value
/// takes a lost watch for one that is still open; a smaller one costs discovery another call.
const CONTINUES_WITHIN: Duration = Duration::from_millis(150);

/// Identifies one connection to discovery. The caller numbers its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PollConn(pub u64);

/// A complete response of discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Response {
    /// Revision of the list in the response.
    pub revision: u64,
    /// Whether the response is the complete list.
    pub is_complete: bool,
    /// Whether every entry of the response could be read.
    pub is_well_formed: bool,
    /// Whether the response has no entries.
    pub is_empty: bool,
    /// Whether another call may follow on the connection.
    pub keep_alive: bool,
}

/// An input of [`LongPolling::step`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The host has read the list from before its start.
    Cached {
        /// Revision of that list.
        revision: u64,
        /// Whether every entry of the list could be read.
        is_well_formed: bool,
    },
    /// Discovery is at another address from now on.
    Moved {
        /// The address.
        address: SocketAddr,
    },
    /// A connection to the current address is open.
    Connected {
        /// The connection.
        conn: PollConn,
    },
    /// The client requests changes on a connection, or no longer.
    Watch {
        /// The connection.
        conn: PollConn,
        /// Whether it requests them.
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
    /// Discovery has responded that it has too many callers. The caller closes the connection.
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
    /// Close the connection and report to the client that it has ended with its response.
    End {
        /// The connection.
        conn: PollConn,
    },
    /// Close the connection and report to the client that it is lost.
    Drop {
        /// The connection.
        conn: PollConn,
    },
}

/// The revision of the endpoint list that this host has and of which it missed nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct KnownRevision {
    revision: u64,
    /// Address of the discovery that counts the revision. Another discovery may count differently.
    address: SocketAddr,
    /// When discovery sent it; None: before the start.
    received_at: Option<Duration>,
}

/// The calls on one connection, and the address to which it leads.
#[derive(Debug)]
struct PolledConnection {
    calls: CallSequence,
    address: SocketAddr,
}

/// Calls discovery on each of its connections, one call after the other.
#[derive(Debug)]
pub struct LongPolling {
    address: SocketAddr,
    poll_interval: Duration,
    /// None: there is no endpoint list, or part of it could not be read.
    known: Option<KnownRevision>,
    connections: BTreeMap<PollConn, PolledConnection>,
}

impl LongPolling {
    /// `address`: of discovery; `poll_interval`: how often the settings require a poll.
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
        let continues = received_at.is_some_and(|at| now < at + CONTINUES_WITHIN);
        let revision = known.map(|known| known.revision);
        let connection = PolledConnection {
            // The client, which knows how long the call may take, ends it sooner.
            calls: CallSequence::new(PATIENT_CALL_TIMEOUT, revision, continues),
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
        self.known = received.filter(|received| !self.went_back(received, &response));
        if response.keep_alive {
            let revision = response.revision;
            return self.next_call(now, conn, CallEvent::Answered { revision });
        }
        // Discovery has nothing new and did not wait for it, like a discovery that is about to end
        // or that has no watches. A call that follows at once would make the host call without a
        // pause.
        if response.is_empty && outstanding.ends_early(now) {
            return Some(Action::Drop { conn });
        }
        Some(Action::End { conn })
    }

    /// Returns whether discovery has sent changes of an older revision than it had sent before. It
    /// has lost its own revisions, and only a complete list contains the changes since then.
    fn went_back(&self, received: &KnownRevision, response: &Response) -> bool {
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
