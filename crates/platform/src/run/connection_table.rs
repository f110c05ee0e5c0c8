//! The open connections, and the pending writes and closes of their sockets.
//!
//! The owner holds the [`ConnectionTable`]: every open connection, the closed connections whose readers
//! have not ended yet, the connections whose outboxes have changed, and the connections whose sockets
//! did not accept all bytes. The limits on file descriptors bound its size.

use super::connection::{ClientState, CloseReason, Connection, Role};
use super::reader::ReadGate;
use super::write_queue::WriteQueue;
use grebecleat_host::outbox::Outbox;
use grebecleat_host::router::ConnId;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::os::fd::RawFd;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tracing::debug;

/// Interval at which sockets that did not accept all bytes are written again, and pending dials checked. A
/// larger value delays attempts and responses to slow readers; a smaller one costs CPU time.
pub(super) const RETRY_INTERVAL: Duration = Duration::from_millis(2);

/// The result of writing a connection's write queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteOutcome {
    /// The socket has accepted all bytes.
    Complete,
    /// The socket accepts no more bytes now, or the connection is closed.
    Blocked,
    /// The socket has an error and accepts no more bytes.
    Failed,
}

/// The open connections.
#[derive(Default)]
pub(super) struct ConnectionTable {
    open: BTreeMap<ConnId, Connection>,
    /// Connections closed by this process whose readers have not ended yet.
    closing: BTreeSet<ConnId>,
    /// Connections whose outboxes have changed.
    changed_outboxes: Arc<Mutex<Vec<ConnId>>>,
    /// Connections whose sockets did not accept all bytes.
    blocked: BTreeSet<ConnId>,
    /// When those connections are to be written again.
    retry_at: Duration,
}

impl ConnectionTable {
    /// Adds a connection and returns its outbox.
    pub(super) fn add(
        &mut self,
        conn: ConnId,
        role: Role,
        fd: RawFd,
        gate: Arc<ReadGate>,
        now: Duration,
    ) -> Arc<Outbox> {
        let changed = self.changed_outboxes.clone();
        let notify = move || {
            let mut changed = changed.lock().unwrap_or_else(|error| error.into_inner());
            changed.push(conn);
        };
        // The second callback, for a close, does nothing: closing calls `notify` as well, and no
        // coroutine blocks on the socket.
        let outbox = Arc::new(Outbox::new(notify, || ()));
        let connection = Connection {
            reader: role.message_reader(),
            role,
            fd,
            gate,
            outbox: outbox.clone(),
            write_queue: WriteQueue::default(),
            opened_at: now,
            last_read_at: now,
        };
        self.open.insert(conn, connection);
        outbox
    }

    /// Returns an open connection.
    pub(super) fn get(&self, conn: ConnId) -> Option<&Connection> {
        self.open.get(&conn)
    }

    /// Returns an open connection.
    pub(super) fn get_mut(&mut self, conn: ConnId) -> Option<&mut Connection> {
        self.open.get_mut(&conn)
    }

    /// Returns the open connections in the order of their numbers.
    pub(super) fn iter(&self) -> impl Iterator<Item = (ConnId, &Connection)> {
        self.open
            .iter()
            .map(|(conn, connection)| (*conn, connection))
    }

    /// Closes a connection, if it is open, and returns it. Its reader then ends, which frees the
    /// descriptor.
    pub(super) fn close(
        &mut self,
        conn: ConnId,
        reason: CloseReason,
        now: Duration,
    ) -> Option<Connection> {
        let connection = self.open.remove(&conn)?;
        let peer = connection.role.name();
        let open_ms = now.saturating_sub(connection.opened_at).as_millis();
        debug!(conn = conn.0, peer, ?reason, open_ms, "connection closed");
        self.blocked.remove(&conn);
        // SAFETY: the descriptor belongs to this connection until `OwnerEvent::Ended` has returned the
        // stream.
        unsafe { libc::shutdown(connection.fd, libc::SHUT_RDWR) };
        self.closing.insert(conn);
        Some(connection)
    }

    /// Records that the reader of a connection has ended; returns whether this process had closed
    /// the connection.
    pub(super) fn reader_ended(&mut self, conn: ConnId) -> bool {
        self.closing.remove(&conn)
    }

    /// Returns when sockets that did not accept all bytes are to be written again, or `None` if there are
    /// none.
    pub(super) fn retry_at(&self) -> Option<Duration> {
        (!self.blocked.is_empty()).then_some(self.retry_at)
    }

    /// Returns the connections that may have something to write: those with a changed outbox, then, at
    /// intervals, those with a socket that did not accept all bytes. Writing the latter at each step would
    /// let clients that do not read take the owner's time.
    pub(super) fn take_writable(&mut self, now: Duration) -> Vec<ConnId> {
        let mut changed = self
            .changed_outboxes
            .lock()
            .unwrap_or_else(|error| error.into_inner());
        let mut writable = std::mem::take(&mut *changed);
        if now >= self.retry_at {
            writable.extend(std::mem::take(&mut self.blocked));
            self.retry_at = now + RETRY_INTERVAL;
        }
        writable
    }

    /// Writes the write queue of a connection without blocking.
    pub(super) fn write(&mut self, conn: ConnId) -> WriteOutcome {
        let Some(connection) = self.open.get_mut(&conn) else {
            return WriteOutcome::Blocked;
        };
        let had_unwritten = connection.has_unwritten();
        while let Some(rest) = connection.write_queue.next() {
            let flags = libc::MSG_DONTWAIT | libc::MSG_NOSIGNAL;
            // SAFETY: the pointer and the length are of one live slice; the connection is open, so the
            // descriptor is its own.
            let sent =
                unsafe { libc::send(connection.fd, rest.as_ptr().cast(), rest.len(), flags) };
            if let Ok(sent) = usize::try_from(sent) {
                connection.write_queue.advance(sent);
                continue;
            }
            match io::Error::last_os_error().kind() {
                io::ErrorKind::Interrupted => {}
                io::ErrorKind::WouldBlock => {
                    self.blocked.insert(conn);
                    return WriteOutcome::Blocked;
                }
                _ => return WriteOutcome::Failed,
            }
        }
        if had_unwritten {
            if let Role::Client(ClientState {
                discard: Some(_), ..
            }) = connection.role
            {
                // SAFETY: the connection is open, so the descriptor is its own.
                unsafe { libc::shutdown(connection.fd, libc::SHUT_WR) };
            }
        }
        connection.outbox.batch_written();
        WriteOutcome::Complete
    }
}

#[cfg(test)]
mod tests;
