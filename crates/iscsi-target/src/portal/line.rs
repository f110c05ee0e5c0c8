//! The outgoing side of one connection: a queue of PDUs between the owner's thread and the writing
//! coroutine.
//!
//! The owner puts PDUs in, the writer takes all of them at once. Bounded by `max_unsent`: an
//! initiator that leaves more unread is disconnected.

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

/// What is to be written.
#[derive(Default)]
struct Unsent {
    pdus: VecDeque<OutgoingPdu>,
    /// Bytes of PDUs put in since the writer last took them.
    bytes: usize,
    /// The connection ends behind it.
    last: bool,
}

/// What the writer takes in one turn.
pub(super) struct Batch {
    pub pdus: VecDeque<OutgoingPdu>,
    /// The connection ends behind it.
    pub last: bool,
}

/// What a connection's reader expects of the next PDU.
#[derive(Clone, Copy)]
pub(super) struct ReaderLimits {
    pub digests: Digests,
    /// Longest data segment, in bytes.
    pub max_data: usize,
}

/// The way out of one connection, and what its reader expects.
pub(super) struct Line {
    unsent: Mutex<Unsent>,
    /// Set from a wake-up until the writer looks: one post of the semaphore is enough for all
    /// between.
    woken: AtomicBool,
    wake_up: Semphore,
    /// The socket; none once it is closed.
    fd: Mutex<Option<i32>>,
    /// PDU bytes that it may leave unread: what all commands that it may have open can read. Less
    /// would disconnect an initiator that only uses its window.
    max_unsent: usize,
    reader: Mutex<ReaderLimits>,
}

/// A panic of another holder leaves each of these whole: they are changed in single steps.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl Line {
    pub fn new(fd: i32, max_unsent: usize, reader: ReaderLimits) -> Self {
        Line {
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

    /// Puts a PDU in; whether what the initiator leaves unread is within the bound.
    pub fn put(&self, pdu: Pdu, digests: Digests) -> bool {
        let mut unsent = lock(&self.unsent);
        unsent.bytes += pdu.data.len() + pdu::BHS;
        unsent.pdus.push_back(OutgoingPdu { pdu, digests });
        let fits = unsent.bytes <= self.max_unsent;
        drop(unsent);
        self.wake_writer();
        fits
    }

    /// Ends the connection once what lies here is written.
    pub fn finish(&self) {
        lock(&self.unsent).last = true;
        self.wake_writer();
    }

    /// Ends the connection at once.
    pub fn hang_up(&self) {
        self.finish();
        if let Some(fd) = *lock(&self.fd) {
            // SAFETY: the writer takes the number away, under this lock, before its socket closes.
            unsafe { libc::shutdown(fd, libc::SHUT_RDWR) };
        }
    }

    /// For the writer: all that is to be written. A wake-up after this call is for what comes
    /// later.
    pub fn take(&self) -> Batch {
        self.woken.store(false, Ordering::Release);
        let mut unsent = lock(&self.unsent);
        unsent.bytes = 0;
        Batch {
            pdus: std::mem::take(&mut unsent.pdus),
            last: unsent.last,
        }
    }

    /// For the writer: waits for a wake-up.
    pub fn wait(&self) {
        self.wake_up.wait();
    }

    /// For the writer: its socket is about to close.
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
