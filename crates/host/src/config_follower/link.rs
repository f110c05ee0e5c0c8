//! The connection to the state service. Decides when to dial it again, and assembles responses that
//! arrive in parts.
//!
//! Used by [`super::ConfigFollower`]. Memory: one response that is being assembled, of at most
//! [`MAX_RECORDS`] records.

use super::StateServiceError;
use crate::outbox::Outbox;
use crate::router::ConnId;
use grebecleat_wire::pb::{self, frame::Body};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;
use std::time::Duration;

/// The delay after the first dial without a complete response, doubled for each further one. After a
/// short outage, a longer delay leaves the host without updates for longer; a shorter one loads a
/// service that is restarting.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// The longest delay before another dial, without its jitter. A host may notice this much later
/// that the service is available again.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// The largest number of doublings of the delay. The bound prevents an overflow.
const MAX_DOUBLINGS: u32 = 8;
/// The time after which a dial that has reported neither success nor failure is abandoned. A longer
/// time leaves the host without its service for longer; a shorter one abandons dials that would
/// succeed.
const DIAL_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest number of records in one response. A service that sends more is disconnected, because
/// the response would exhaust the host's memory.
const MAX_RECORDS: usize = 20_000_000;

/// The connection to the state service, and the backoff of its dials.
pub(super) struct StateServiceLink {
    /// `None` if the link is neither connected nor being dialled.
    conn: Option<ConnId>,
    /// `None` if the link is not connected.
    outbox: Option<Arc<Outbox>>,
    /// When the last dial started.
    dialled_at: Duration,
    /// When the next dial may start.
    next_dial_at: Duration,
    /// Dials since the last complete response.
    failed_dials: u32,
    /// A response of which some parts have arrived.
    partial: Option<pb::ConfigUpdate>,
    rng: Pcg64Mcg,
}

impl StateServiceLink {
    /// Returns a link that is due to be dialled. `seed` is the seed of its jitter.
    pub(super) fn new(seed: u64) -> Self {
        StateServiceLink {
            conn: None,
            outbox: None,
            dialled_at: Duration::ZERO,
            next_dial_at: Duration::ZERO,
            failed_dials: 0,
            partial: None,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Returns whether this is the connection, or the dial, to the service.
    pub(super) fn is_current(&self, conn: ConnId) -> bool {
        self.conn == Some(conn)
    }

    /// Returns whether there is a connection.
    pub(super) fn is_up(&self) -> bool {
        self.outbox.is_some()
    }

    /// Sends a message, if there is a connection.
    pub(super) fn put(&self, body: Body) {
        if let Some(outbox) = &self.outbox {
            outbox.put(pb::Frame {
                sent_us: 0,
                body: Some(body),
            });
        }
    }

    /// Records that a dial has succeeded, and returns whether it was the current one. A connection
    /// from another dial is closed.
    pub(super) fn connected(&mut self, conn: ConnId, outbox: Arc<Outbox>) -> bool {
        if !self.is_current(conn) {
            outbox.close();
            return false;
        }
        self.outbox = Some(outbox);
        true
    }

    /// Records that the connection has ended, or that the dial has failed, and returns whether it
    /// was the current one. The next dial starts after the backoff.
    pub(super) fn disconnected(&mut self, conn: ConnId, now: Duration) -> bool {
        if !self.is_current(conn) {
            return false;
        }
        if let Some(outbox) = self.outbox.take() {
            outbox.close();
        }
        self.conn = None;
        self.partial = None;
        let backoff = FIRST_BACKOFF * 2u32.pow(self.failed_dials.min(MAX_DOUBLINGS));
        // When the service ends, all hosts lose their connections at the same time. Without jitter they
        // would also dial it again at the same time.
        let jitter = 0.5 + self.rng.random::<f64>();
        self.next_dial_at = now + backoff.min(MAX_BACKOFF).mul_f64(jitter);
        self.failed_dials += 1;
        true
    }

    /// Resets the backoff after a complete response. A connection alone does not reset it, because a
    /// service with too many callers may accept a connection and close it without a response.
    pub(super) fn response_received(&mut self) {
        self.failed_dials = 0;
    }

    /// Adds a part of a response to the parts that have arrived before. Returns the response once
    /// it is complete.
    pub(super) fn assemble(
        &mut self,
        part: pb::ConfigUpdate,
    ) -> Result<Option<pb::ConfigUpdate>, StateServiceError> {
        let more = part.more;
        let response = match self.partial.take() {
            Some(mut partial) if partial.call == part.call => {
                partial.state.extend(part.state);
                partial.revisions.extend(part.revisions);
                partial
            }
            _ => part,
        };
        if response.state.len() + response.revisions.len() > MAX_RECORDS {
            return Err(StateServiceError::TooLarge);
        }
        if more {
            self.partial = Some(response);
            return Ok(None);
        }
        Ok(Some(response))
    }

    /// Returns when the link is to be dialled, or its current dial to be abandoned.
    pub(super) fn wake_at(&self) -> Option<Duration> {
        match (self.conn, &self.outbox) {
            (None, _) => Some(self.next_dial_at),
            (Some(_), None) => Some(self.dialled_at + DIAL_TIMEOUT),
            (Some(_), Some(_)) => None,
        }
    }

    /// Returns the current dial if it has exceeded its time-out.
    pub(super) fn overdue_dial(&self, now: Duration) -> Option<ConnId> {
        let dial = self.conn.filter(|_| self.outbox.is_none());
        dial.filter(|_| now >= self.dialled_at + DIAL_TIMEOUT)
    }

    /// Starts a dial if one is due, and returns its connection.
    pub(super) fn dial(
        &mut self,
        now: Duration,
        next_number: impl FnOnce() -> u64,
    ) -> Option<ConnId> {
        if self.conn.is_some() || now < self.next_dial_at {
            return None;
        }
        let conn = ConnId(next_number());
        self.conn = Some(conn);
        self.dialled_at = now;
        Some(conn)
    }
}
