//! The coroutine that accepts clients while a slot is free, and the owner's handle on it.
//!
//! The coroutine and the owner share [`ClientSlots`]. If no slot is free, the coroutine reports it and
//! waits until the owner wakes it; meanwhile, clients wait in the listening socket's queue.

use super::reader::{OwnerEvent, ReadGate, Reader};
use super::shared_budget::SharedBudget;
use super::socket::has_connection_queued;
use grebecleat_host::memory_budget::PeerKind;
use grebecleat_host::router::ConnId;
use may::net::TcpListener;
use may::sync::Semphore;
use std::os::fd::{AsRawFd, RawFd};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::Sender;
use std::sync::Arc;

/// Connections up to this number are dialed by the router; connections above it are accepted. With a
/// smaller value, a host that runs for long could use the same number for both kinds.
pub(super) const LAST_DIALED_CONN: u64 = 1 << 48;

/// The slots for client connections, which the listener and the owner share.
pub(super) struct ClientSlots {
    /// Number of accepted connections whose socket is not closed yet.
    used: AtomicUsize,
    /// Maximum number of such connections.
    limit: usize,
    /// Wakes a listener that waits for a slot.
    wake: Semphore,
    /// Whether the listener must end.
    is_stopped: AtomicBool,
}

impl ClientSlots {
    pub(super) fn new(limit: usize) -> Self {
        ClientSlots {
            used: AtomicUsize::new(0),
            limit,
            wake: Semphore::new(0),
            is_stopped: AtomicBool::new(false),
        }
    }
}

/// The owner's handle on the listener.
pub(super) struct ListenerHandle {
    slots: Arc<ClientSlots>,
    fd: RawFd,
    /// Whether the listener waits for a slot.
    is_waiting: bool,
}

impl ListenerHandle {
    /// `fd` is the listening socket, which its coroutine keeps open until [`ListenerHandle::close`].
    pub(super) fn new(slots: Arc<ClientSlots>, fd: RawFd) -> Self {
        ListenerHandle {
            slots,
            fd,
            is_waiting: false,
        }
    }

    /// Returns the maximum number of client connections.
    pub(super) fn limit(&self) -> usize {
        self.slots.limit
    }

    /// Returns whether the listener waits for a slot.
    pub(super) fn is_waiting(&self) -> bool {
        self.is_waiting
    }

    /// Records that the listener waits for a slot.
    pub(super) fn slots_exhausted(&mut self) {
        self.is_waiting = true;
    }

    /// Frees the slot of a client whose socket is closed, and wakes a listener that waits for it.
    pub(super) fn slot_freed(&mut self) {
        self.slots.used.fetch_sub(1, Ordering::AcqRel);
        if std::mem::take(&mut self.is_waiting) {
            self.wake();
        }
    }

    /// Wakes the listener.
    pub(super) fn wake(&self) {
        self.slots.wake.post();
    }

    /// Returns whether a client waits in the listening socket's queue.
    pub(super) fn has_connection_queued(&self) -> bool {
        has_connection_queued(self.fd)
    }

    /// Closes the listener.
    pub(super) fn close(&self) {
        self.slots.is_stopped.store(true, Ordering::Release);
        // SAFETY: the coroutine keeps the socket open until it sees `is_stopped`.
        unsafe { libc::shutdown(self.fd, libc::SHUT_RDWR) };
        self.wake();
    }
}

/// Accepts clients until the slots are stopped.
pub(super) fn accept(
    listener: &TcpListener,
    slots: &ClientSlots,
    budget: &SharedBudget,
    event_sender: &Sender<OwnerEvent>,
) {
    let mut last = LAST_DIALED_CONN;
    while !slots.is_stopped.load(Ordering::Acquire) {
        if slots.used.load(Ordering::Acquire) >= slots.limit {
            let _ = event_sender.send(OwnerEvent::SlotsExhausted);
            slots.wake.wait();
            continue;
        }
        match listener.accept() {
            Ok((stream, _)) => {
                slots.used.fetch_add(1, Ordering::AcqRel);
                let _ = stream.set_nodelay(true);
                last += 1;
                let conn = ConnId(last);
                let gate = ReadGate::new();
                let accepted = OwnerEvent::Accepted {
                    conn,
                    fd: stream.as_raw_fd(),
                    gate: gate.clone(),
                };
                if event_sender.send(accepted).is_err() {
                    return;
                }
                let reader = Reader {
                    conn,
                    peer: PeerKind::Client,
                    gate,
                    budget: budget.clone(),
                    event_sender: event_sender.clone(),
                };
                reader.start(stream);
            }
            // No descriptor is free, or the client has left already. The owner's next sweep wakes this
            // coroutine.
            Err(_) => {
                let _ = event_sender.send(OwnerEvent::SlotsExhausted);
                slots.wake.wait();
            }
        }
    }
}
