//! Send queue of one connection: PDUs passed from the owner's thread to the writing coroutine.
//!
//! The owner adds PDUs, and the writer takes all of them at once. The queue is bounded by
//! `max_unsent`: an initiator that leaves more unread is disconnected.

use grebecleat_iscsi::pdu::{self, Digests, Pdu};
use may::sync::Semphore;
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};

/// A PDU and the digests to send it with.
pub(super) struct OutgoingPdu {
    pub pdu: Pdu,
    pub digests: Digests,
}

/// PDUs waiting to be written.
#[derive(Default)]
struct Unsent {
    pdus: VecDeque<OutgoingPdu>,
    /// Bytes of the PDUs added since the writer last took them.
    bytes: usize,
    /// The connection ends behind it.
    last: bool,
}

/// PDUs that the writer takes at once.
pub(super) struct Batch {
    pub pdus: VecDeque<OutgoingPdu>,
    /// The connection ends behind it.
    pub last: bool,
}

/// Parameters by which a connection's reader parses the next PDU.
#[derive(Clone, Copy)]
pub(super) struct ReaderLimits {
    pub digests: Digests,
    /// Longest data segment, in bytes.
    pub max_data: usize,
}

/// Send queue of one connection, and the limits for its reader.
pub(super) struct SendQueue {
    unsent: Mutex<Unsent>,
    /// Set from a wake-up until the writer takes the queue, so that the semaphore is posted only
    /// once in between.
    woken: AtomicBool,
    wake_up: Semphore,
    /// File descriptor of the socket; `None` once it is closed.
    fd: Mutex<Option<i32>>,
    /// Maximum bytes of PDUs that the initiator may leave unread: what all commands that it may
    /// have open can read. A lower limit would disconnect an initiator that only uses its window.
    max_unsent: usize,
    reader: Mutex<ReaderLimits>,
}

/// Locks a mutex even if it is poisoned: each value is changed in a single step, so a panic leaves
/// it consistent.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl SendQueue {
    pub fn new(fd: i32, max_unsent: usize, reader: ReaderLimits) -> Self {
        SendQueue {
            unsent: Mutex::default(),
            woken: AtomicBool::new(false),
            wake_up: Semphore::new(0),
            fd: Mutex::new(Some(fd)),
            max_unsent,
            reader: Mutex::new(reader),
        }
    }

    fn wake_writer(&self) {
        if !self.woken.swap(true, Ordering::AcqRel) {
            self.wake_up.post();
        }
    }

    /// Adds a PDU; returns whether the unsent bytes are within the limit.
    pub fn put(&self, pdu: Pdu, digests: Digests) -> bool {
        let mut unsent = lock(&self.unsent);
        unsent.bytes += pdu.data.len() + pdu::BHS;
        unsent.pdus.push_back(OutgoingPdu { pdu, digests });
        let fits = unsent.bytes <= self.max_unsent;
        drop(unsent);
        self.wake_writer();
        fits
    }

    /// Closes the connection once the queued PDUs are written.
    pub fn finish(&self) {
        lock(&self.unsent).last = true;
        self.wake_writer();
    }

    /// Closes the connection at once.
    pub fn disconnect(&self) {
        self.finish();
        if let Some(fd) = *lock(&self.fd) {
            // SAFETY: the writer clears the descriptor, under this lock, before its socket closes,
            // so it is still open here.
            unsafe { libc::shutdown(fd, libc::SHUT_RDWR) };
        }
    }

    /// Called by the writer: takes all queued PDUs. A wake-up after this call announces later ones.
    pub fn take(&self) -> Batch {
        self.woken.store(false, Ordering::Release);
        let mut unsent = lock(&self.unsent);
        unsent.bytes = 0;
        Batch {
            pdus: std::mem::take(&mut unsent.pdus),
            last: unsent.last,
        }
    }

    /// Called by the writer: waits for a wake-up.
    pub fn wait(&self) {
        self.wake_up.wait();
    }

    /// Called by the writer before its socket closes.
    pub fn forget_socket(&self) {
        *lock(&self.fd) = None;
    }

    pub fn set_reader(&self, limits: ReaderLimits) {
        *lock(&self.reader) = limits;
    }

    pub fn reader(&self) -> ReaderLimits {
        *lock(&self.reader)
    }
}
