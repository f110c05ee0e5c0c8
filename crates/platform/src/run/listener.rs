//! The coroutine that accepts clients, as many as have a descriptor.
//!
//! State shared with the owner: [`ClientSlots`]. Where none is free it reports so and waits until
//! the owner wakes it; clients then wait in the listener's queue.

use super::reader::{start_reader, OwnerEvent, ReadGate};
use grebecleat_host::router::ConnId;
use may::net::TcpListener;
use may::sync::Semphore;
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::Sender;

/// Connections up to this number are the router's own; those above it are accepted ones.
pub(super) const LAST_DIALED_CONN: u64 = 1 << 48;

/// Between the listener and the owner: how many client connections there are.
pub(super) struct ClientSlots {
    /// Accepted connections whose socket is not closed yet.
    pub(super) used: AtomicUsize,
    /// The most of them.
    pub(super) limit: usize,
    /// Wakes a listener that waits for a slot.
    pub(super) wake: Semphore,
    /// The listener ends.
    pub(super) stopped: AtomicBool,
}

impl ClientSlots {
    pub(super) fn new(limit: usize) -> Self {
        ClientSlots {
            used: AtomicUsize::new(0),
            limit,
            wake: Semphore::new(0),
            stopped: AtomicBool::new(false),
        }
    }
}

/// Accepts clients until the slots are stopped.
pub(super) fn accept(listener: &TcpListener, slots: &ClientSlots, to_owner: &Sender<OwnerEvent>) {
    let mut last = LAST_DIALED_CONN;
    while !slots.stopped.load(Ordering::Acquire) {
        if slots.used.load(Ordering::Acquire) >= slots.limit {
            let _ = to_owner.send(OwnerEvent::SlotsExhausted);
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
                if to_owner.send(accepted).is_err() {
                    return;
                }
                start_reader(stream, conn, gate, to_owner.clone());
            }
            // Out of descriptors, or the client is gone already: the owner's next sweep wakes us.
            Err(_) => {
                let _ = to_owner.send(OwnerEvent::SlotsExhausted);
                slots.wake.wait();
            }
        }
    }
}
