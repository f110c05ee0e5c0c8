//! Dials to nodes and to discovery, without waiting.
//!
//! State: the dials whose outcome is not known, those that wait for a descriptor, and which
//! connections to nodes have one. Bound: the nodes' part of the descriptors.

use super::Owner;
use crate::run::connection::{DialTarget, NodeExchange, PendingDial, QueuedDial, Role};
use crate::run::reader::{start_reader, ReadGate};
use grebecleat_discovery::long_polling::{Event as PollingEvent, PollConn};
use grebecleat_host::router::{ConnId, Input};
use grebecleat_wire::clock;
use may::net::TcpStream;
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsRawFd, FromRawFd, IntoRawFd};
use std::time::Duration;

/// Bytes to a node that the system may take before the node reads them. What is there can't be
/// taken back when a client leaves, and goes out whenever the node reads again; what is here can.
/// Harm: a large request takes several writes.
const NODE_SEND_BUFFER: usize = 16 << 10;

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
        // Where that is not to be had, the system's own size does.
        let _ = socket.set_send_buffer_size(NODE_SEND_BUFFER);
    }
    match socket.connect(&address.into()) {
        Err(error) if error.raw_os_error() != Some(libc::EINPROGRESS) => Err(error),
        _ => Ok(socket),
    }
}

/// Whether each dial's socket has news, in order.
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

impl Owner {
    /// The router stops counting a connection when it gives it up, and its descriptor is free a
    /// little later: many that end together, with as many dials in their place, would take the
    /// descriptors of all others, and discovery or a client would find none. So what is beyond the
    /// nodes' part waits for the first that is closed, within the time of its dial. Discovery's own
    /// are at most one that is up, one from before a move and one dial, for which descriptors are
    /// set aside: it is dialled as soon as the decisions ask. Harm: an attempt may wait for a dial
    /// that is queued; it is swept as behind a slow one.
    pub(super) fn dial(&mut self, conn: ConnId, address: SocketAddr, target: DialTarget) {
        let deadline = clock::now() + self.config.settings.bounds.dial_timeout;
        if target == DialTarget::Discovery {
            // Only the last is waited for: discovery that moves often leaves no dials behind.
            self.pending_dials
                .retain(|dial| dial.target != DialTarget::Discovery);
        } else if self.node_descriptors.len() >= self.config.descriptors.nodes {
            self.queued_dials.push_back(QueuedDial {
                conn,
                address,
                deadline,
            });
            return;
        }
        self.connect(conn, address, target, deadline);
    }

    /// Without waiting: on this machine and near it a connection is up or refused at once, and what
    /// is neither is looked at again.
    fn connect(
        &mut self,
        conn: ConnId,
        address: SocketAddr,
        target: DialTarget,
        deadline: Duration,
    ) {
        match begin_dial(address, target) {
            Ok(socket) => {
                if target == DialTarget::Node {
                    self.node_descriptors.insert(conn);
                }
                self.pending_dials.push(PendingDial {
                    conn,
                    socket,
                    deadline,
                    target,
                });
            }
            Err(error) => {
                tracing::debug!(%address, "cannot dial: {error}");
                self.inputs.push(target.gone(conn));
            }
        }
    }

    fn start_queued_dials(&mut self) {
        let now = clock::now();
        while let Some(dial) = self.queued_dials.front() {
            if now < dial.deadline {
                break;
            }
            self.inputs.push(Input::NodeGone { conn: dial.conn });
            self.queued_dials.pop_front();
        }
        while self.node_descriptors.len() < self.config.descriptors.nodes {
            let Some(dial) = self.queued_dials.pop_front() else {
                return;
            };
            self.connect(dial.conn, dial.address, DialTarget::Node, dial.deadline);
        }
    }

    /// Starts what has a descriptor by now, and takes in the outcomes of what was started.
    pub(super) fn check_dials(&mut self) {
        self.start_queued_dials();
        if self.pending_dials.is_empty() {
            return;
        }
        let ready = poll_dials(&self.pending_dials);
        let now = clock::now();
        let dials = std::mem::take(&mut self.pending_dials);
        for (dial, is_ready) in dials.into_iter().zip(ready) {
            if !is_ready && now < dial.deadline {
                self.pending_dials.push(dial);
            } else if is_ready && is_connected(&dial.socket) {
                self.dial_succeeded(dial, now);
            } else {
                self.node_descriptors.remove(&dial.conn);
                self.inputs.push(dial.target.gone(dial.conn));
            }
        }
    }

    fn dial_succeeded(&mut self, dial: PendingDial, now: Duration) {
        let conn = dial.conn;
        // SAFETY: the number has just been given up by its only owner.
        let stream = unsafe { TcpStream::from_raw_fd(dial.socket.into_raw_fd()) };
        let gate = ReadGate::new();
        let role = match dial.target {
            DialTarget::Node => Role::Node(NodeExchange::Idle),
            DialTarget::Discovery => {
                let conn = PollConn(conn.0);
                self.step_polling(PollingEvent::Connected { conn });
                Role::Discovery
            }
        };
        let outbox = self.add_connection(conn, role, stream.as_raw_fd(), gate.clone(), now);
        start_reader(stream, conn, gate, self.to_owner.clone());
        self.inputs.push(dial.target.up(conn, outbox));
    }
}
