//! Non-blocking dials to nodes and to discovery.
//!
//! The owner holds the [`Dialer`]: the pending dials, the dials that wait for a file descriptor, and
//! the connections to nodes that have a descriptor, whose number is limited.

use super::connection::DialTarget;
use grebecleat_host::router::ConnId;
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::{BTreeSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::time::Duration;

/// Size in bytes of the kernel's send buffer of a connection to a node. Bytes in that buffer are sent
/// even if their client has left meanwhile; bytes in this process's buffers can still be discarded. A
/// larger buffer sends more requests of clients that have left; with a smaller one, large requests
/// take more writes.
const NODE_SEND_BUFFER: usize = 16 << 10;

/// A dial that has neither succeeded nor failed yet.
struct PendingDial {
    conn: ConnId,
    socket: Socket,
    /// When the dial fails.
    deadline: Duration,
    target: DialTarget,
}

/// A dial to a node that waits for a file descriptor.
struct QueuedDial {
    conn: ConnId,
    address: SocketAddr,
    /// When the dial fails.
    deadline: Duration,
}

/// The outcome of a dial.
pub(super) struct DialOutcome {
    pub(super) conn: ConnId,
    pub(super) target: DialTarget,
    /// The connected socket, or `None` if the dial has failed.
    pub(super) socket: Option<Socket>,
}

impl DialOutcome {
    fn failed(conn: ConnId, target: DialTarget) -> Self {
        DialOutcome {
            conn,
            target,
            socket: None,
        }
    }
}

/// Dials nodes and discovery.
///
/// The router stops counting a connection to a node when it closes the connection, and the descriptor
/// becomes free a little later. If many connections ended together and were replaced at once, their
/// dials could therefore exhaust the descriptors, with none left for discovery or clients. So a dial
/// beyond the limit on the nodes' descriptors waits until one becomes free, at most for the timeout of
/// the dial. The cost is that an attempt may wait for a queued dial; it is revoked like an attempt
/// that waits for a slow dial.
///
/// Discovery has at most one open connection, one to its previous address and one dial. Descriptors
/// are reserved for these, so its dial starts as soon as the scheduler requests it.
pub(super) struct Dialer {
    timeout: Duration,
    /// Maximum number of descriptors for connections to nodes.
    max_node_descriptors: usize,
    pending: Vec<PendingDial>,
    queued: VecDeque<QueuedDial>,
    /// Connections to nodes that have a descriptor: those being dialed, those open, and those closed
    /// whose reader has not ended yet.
    node_descriptors: BTreeSet<ConnId>,
}

impl Dialer {
    pub(super) fn new(timeout: Duration, max_node_descriptors: usize) -> Self {
        Dialer {
            timeout,
            max_node_descriptors,
            pending: Vec::new(),
            queued: VecDeque::new(),
            node_descriptors: BTreeSet::new(),
        }
    }

    /// Returns whether no dial is pending or queued.
    pub(super) fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.queued.is_empty()
    }

    /// Starts a dial, or queues it. Returns its outcome if it fails immediately.
    pub(super) fn dial(
        &mut self,
        now: Duration,
        conn: ConnId,
        address: SocketAddr,
        target: DialTarget,
    ) -> Option<DialOutcome> {
        let deadline = now + self.timeout;
        if target == DialTarget::Discovery {
            // A new dial replaces the pending one, so frequent address changes leave no dials behind.
            self.pending
                .retain(|dial| dial.target != DialTarget::Discovery);
        } else if self.node_descriptors.len() >= self.max_node_descriptors {
            self.queued.push_back(QueuedDial {
                conn,
                address,
                deadline,
            });
            return None;
        }
        self.connect(conn, address, target, deadline)
    }

    /// Starts queued dials for which a descriptor is free, and returns the outcomes of the dials that
    /// have ended.
    pub(super) fn check(&mut self, now: Duration) -> Vec<DialOutcome> {
        let mut outcomes = Vec::new();
        self.start_queued(now, &mut outcomes);
        if self.pending.is_empty() {
            return outcomes;
        }
        let ready = poll_dials(&self.pending);
        let dials = std::mem::take(&mut self.pending);
        for (dial, is_ready) in dials.into_iter().zip(ready) {
            let PendingDial { conn, target, .. } = dial;
            if !is_ready && now < dial.deadline {
                self.pending.push(dial);
            } else if is_ready && is_connected(&dial.socket) {
                outcomes.push(DialOutcome {
                    conn,
                    target,
                    socket: Some(dial.socket),
                });
            } else {
                self.node_descriptors.remove(&conn);
                outcomes.push(DialOutcome::failed(conn, target));
            }
        }
        outcomes
    }

    /// Records that the socket of a connection is closed.
    pub(super) fn descriptor_freed(&mut self, conn: ConnId) {
        self.node_descriptors.remove(&conn);
    }

    /// Starts a dial without blocking. Returns an outcome only if the dial fails to start;
    /// [`Dialer::check`] returns the others. A dial on this machine or to a near one has ended by the
    /// first check; any other dial is checked again.
    fn connect(
        &mut self,
        conn: ConnId,
        address: SocketAddr,
        target: DialTarget,
        deadline: Duration,
    ) -> Option<DialOutcome> {
        let socket = match begin_dial(address, target) {
            Ok(socket) => socket,
            Err(error) => {
                tracing::debug!(conn = conn.0, %address, %error, "dial failed to start");
                return Some(DialOutcome::failed(conn, target));
            }
        };
        if target == DialTarget::Node {
            self.node_descriptors.insert(conn);
        }
        self.pending.push(PendingDial {
            conn,
            socket,
            deadline,
            target,
        });
        None
    }

    fn start_queued(&mut self, now: Duration, outcomes: &mut Vec<DialOutcome>) {
        while let Some(dial) = self.queued.front().filter(|dial| now >= dial.deadline) {
            outcomes.push(DialOutcome::failed(dial.conn, DialTarget::Node));
            self.queued.pop_front();
        }
        while self.node_descriptors.len() < self.max_node_descriptors {
            let Some(dial) = self.queued.pop_front() else {
                return;
            };
            let failed = self.connect(dial.conn, dial.address, DialTarget::Node, dial.deadline);
            outcomes.extend(failed);
        }
    }
}

#[cfg(test)]
impl Dialer {
    /// Number of pending dials.
    pub(super) fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Number of dials that wait for a file descriptor.
    pub(super) fn queued_count(&self) -> usize {
        self.queued.len()
    }

    /// Connection numbers of the pending dials to discovery.
    pub(super) fn discovery_dials(&self) -> Vec<u64> {
        let dials = self.pending.iter();
        dials
            .filter(|dial| dial.target == DialTarget::Discovery)
            .map(|dial| dial.conn.0)
            .collect()
    }

    /// Sets when the queued dials fail.
    pub(super) fn set_queued_deadlines(&mut self, deadline: Duration) {
        for dial in &mut self.queued {
            dial.deadline = deadline;
        }
    }
}

fn begin_dial(address: SocketAddr, target: DialTarget) -> io::Result<Socket> {
    let domain = if address.is_ipv4() {
        Domain::IPV4
    } else {
        Domain::IPV6
    };
    let socket = Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_nodelay(true)?;
    if target == DialTarget::Node {
        // If the kernel rejects this size, its default applies.
        let _ = socket.set_send_buffer_size(NODE_SEND_BUFFER);
    }
    match socket.connect(&address.into()) {
        Err(error) if error.raw_os_error() != Some(libc::EINPROGRESS) => Err(error),
        _ => Ok(socket),
    }
}

/// Returns, for each dial in order, whether it has succeeded or failed.
fn poll_dials(dials: &[PendingDial]) -> Vec<bool> {
    let mut polled = Vec::with_capacity(dials.len());
    for dial in dials {
        polled.push(libc::pollfd {
            fd: dial.socket.as_raw_fd(),
            events: libc::POLLOUT,
            revents: 0,
        });
    }
    // SAFETY: the pointer and the length are of one live vector.
    unsafe { libc::poll(polled.as_mut_ptr(), polled.len() as libc::nfds_t, 0) };
    polled.iter().map(|polled| polled.revents != 0).collect()
}

fn is_connected(socket: &Socket) -> bool {
    matches!(socket.take_error(), Ok(None)) && socket.peer_addr().is_ok()
}
