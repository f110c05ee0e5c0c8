//! The reader coroutine of each connection, and the flow control between it and the owner.
//!
//! A reader receives bytes from its socket and adds them to its connection's [`Inbox`], from which the
//! owner takes them. It announces them with one [`OwnerEvent`], and with no other until the owner has
//! taken all bytes. If the inbox holds more than [`MAX_UNPROCESSED_BYTES`] after a read, the reader waits.
//! It also waits for the memory of a read, which it reserves in the process's memory budget.

use super::inbox::{Inbox, TakenBytes};
use super::shared_budget::SharedBudget;
use super::socket::{pending_input, PendingInput};
use grebecleat_host::memory_budget::PeerKind;
use grebecleat_host::router::ConnId;
use grebecleat_wire::clock;
use may::go;
use may::io::WaitIo;
use may::net::TcpStream;
use may::sync::Semphore;
use std::io;
use std::os::fd::{AsRawFd, RawFd};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, MutexGuard};

/// Maximum number of bytes of a first read. A larger value reserves more memory for each read; a smaller
/// one costs more reads.
const FIRST_READ_SIZE: usize = 4 << 10;
/// Maximum number of bytes of the second read, which follows a full first read without waiting. A
/// larger value takes more memory for each event; a smaller one costs more events.
const EXTRA_READ_SIZE: usize = 60 << 10;
/// Maximum number of unprocessed bytes with which a reader continues to read. A larger value takes more
/// memory; a smaller one makes readers of large messages wait.
const MAX_UNPROCESSED_BYTES: usize = 96 << 10;

/// An event that the coroutines and the signal thread report to the owner.
pub(super) enum OwnerEvent {
    /// The listener has accepted a client.
    Accepted {
        conn: ConnId,
        fd: RawFd,
        gate: Arc<ReadGate>,
    },
    /// The inbox of a connection holds bytes.
    Readable { conn: ConnId },
    /// A reader waits for memory.
    ReadWaits,
    /// A reader has ended. The event carries the stream, so that the operating system cannot reuse its
    /// descriptor before the owner has dropped it.
    Ended { conn: ConnId, stream: TcpStream },
    /// The listener waits for a free slot.
    SlotsExhausted,
    /// This process has received a signal, given by its number.
    Signal(i32),
}

/// The inbox and the flow control that a connection's reader and the owner share. The reader receives bytes from the socket only under its lock. The owner can
/// therefore close a connection knowing that every byte that was read has been taken and gets its
/// response. Bytes that reach the socket during the close are lost, which the platform allows.
pub(super) struct ReadGate {
    state: Mutex<ReadState>,
    wake: Semphore,
}

#[derive(Default)]
pub(super) struct ReadState {
    /// The bytes that were read and that the owner has not taken.
    pub(super) inbox: Inbox,
    /// Whether the owner knows that the inbox holds bytes.
    is_announced: bool,
    closed: bool,
    /// Whether the reader must not read although the connection is open.
    paused: bool,
    /// Whether the reader waits for memory, or has been granted it and has not read yet.
    awaits_memory: bool,
    /// Whether memory was granted to the waiting reader.
    granted: bool,
}

impl ReadState {
    /// Receives once, and a second time if the buffer was filled and more memory is free. `reserved` is
    /// the number of bytes that are reserved for it.
    fn receive(
        &mut self,
        fd: RawFd,
        budget: &SharedBudget,
        reserved: &mut usize,
    ) -> io::Result<Received> {
        if self.closed {
            return Ok(Received::End);
        }
        if self.paused {
            return Ok(Received::Paused);
        }
        // The buffer is not on the stack, which would keep its pages for as long as the connection is open.
        let mut bytes = vec![0; FIRST_READ_SIZE];
        let received = receive_now(fd, &mut bytes)?;
        if received == 0 {
            return Ok(Received::End);
        }
        bytes.truncate(received);
        bytes.shrink_to_fit();
        if received == FIRST_READ_SIZE && budget.lock().extend_read(EXTRA_READ_SIZE) {
            *reserved += EXTRA_READ_SIZE;
            // Reading the rest of a large message at once costs less than many small events.
            read_more(fd, &mut bytes);
        }
        Ok(Received::Bytes(bytes))
    }
}

/// What one read has received.
enum Received {
    Bytes(Vec<u8>),
    Paused,
    End,
}

/// The result of one read.
#[derive(Debug, PartialEq, Eq)]
enum ReadOutcome {
    /// The inbox has more bytes.
    Bytes {
        /// Whether the owner must be told.
        is_news: bool,
    },
    Paused,
    WouldBlock,
    End,
}

impl ReadGate {
    pub(super) fn new() -> Arc<Self> {
        Arc::new(ReadGate {
            state: Mutex::default(),
            wake: Semphore::new(0),
        })
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, ReadState> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }

    /// Reads once; [`FIRST_READ_SIZE`] bytes of the budget are reserved for it.
    fn read(&self, conn: ConnId, fd: RawFd, budget: &SharedBudget) -> ReadOutcome {
        let mut state = self.lock();
        let mut reserved = FIRST_READ_SIZE;
        let received = loop {
            match state.receive(fd, budget, &mut reserved) {
                // Waiting now could block forever, since the system has already reported the event.
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                result => break result,
            }
        };
        let count = match &received {
            Ok(Received::Bytes(bytes)) => bytes.len(),
            _ => 0,
        };
        let charged = budget.lock().finish_read(conn, reserved, count);
        state.awaits_memory = false;
        match received {
            Ok(Received::Bytes(bytes)) => {
                state.inbox.push(clock::now(), bytes, charged);
                let was_announced = std::mem::replace(&mut state.is_announced, true);
                ReadOutcome::Bytes {
                    is_news: !was_announced,
                }
            }
            Ok(Received::Paused) => ReadOutcome::Paused,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => ReadOutcome::WouldBlock,
            Ok(Received::End) | Err(_) => ReadOutcome::End,
        }
    }

    /// Takes at most `max` bytes of the inbox that were read together, and wakes the reader if it may go
    /// on. Returns `None` if the inbox is empty; the reader then announces the next bytes.
    pub(super) fn take(&self, max: usize) -> Option<TakenBytes> {
        let mut state = self.lock();
        let before = state.inbox.len();
        let taken = state.inbox.take(max);
        state.is_announced = !state.inbox.is_empty();
        if before > MAX_UNPROCESSED_BYTES && state.inbox.len() <= MAX_UNPROCESSED_BYTES {
            drop(state);
            self.wake.post();
        }
        taken
    }

    /// Returns whether the inbox holds bytes.
    pub(super) fn has_input(&self) -> bool {
        !self.lock().inbox.is_empty()
    }

    /// Returns whether the owner has taken every byte that was read, and the socket holds neither bytes
    /// nor the end of the connection.
    pub(super) fn is_quiet(&self, fd: RawFd) -> bool {
        self.lock().inbox.is_empty() && pending_input(fd) == PendingInput::Nothing
    }

    /// Closes the gate, after which the reader reads no more bytes, and drops the inbox. Returns the number
    /// of bytes of the memory budget that the inbox has charged.
    pub(super) fn close(&self) -> usize {
        let mut state = self.lock();
        state.closed = true;
        let charged = state.inbox.clear();
        drop(state);
        self.wake.post();
        charged
    }

    /// Closes the gate unless that would lose bytes of the peer. Returns whether it is closed.
    pub(super) fn close_unless_input(&self, fd: RawFd) -> bool {
        let mut state = self.lock();
        state.closed |= state.inbox.is_empty() && pending_input(fd) != PendingInput::Bytes;
        if state.closed {
            drop(state);
            self.wake.post();
            return true;
        }
        false
    }

    /// Makes the reader wait, unless bytes were read that the owner has not taken. Returns whether it
    /// waits.
    pub(super) fn pause_if_processed(&self) -> bool {
        let mut state = self.lock();
        state.paused = state.inbox.is_empty();
        state.paused
    }

    /// Lets a paused reader go on.
    pub(super) fn resume(&self) {
        self.lock().paused = false;
        self.wake.post();
    }

    /// Lets a reader that waits for memory go on. The memory of its read is reserved.
    pub(super) fn grant_memory(&self) {
        self.lock().granted = true;
        self.wake.post();
    }

    /// Returns whether bytes may be in the socket that the reader could not read for lack of memory, or
    /// bytes were read that the owner has not taken.
    pub(super) fn is_behind(&self) -> bool {
        let state = self.lock();
        state.awaits_memory || !state.inbox.is_empty()
    }

    fn expect_memory(&self) {
        self.lock().awaits_memory = true;
    }

    /// Waits until memory is granted. Returns `false` if the connection is closed first.
    fn wait_for_memory(&self) -> bool {
        loop {
            let mut state = self.lock();
            if std::mem::take(&mut state.granted) {
                return true;
            }
            if state.closed {
                return false;
            }
            drop(state);
            self.wake.wait();
        }
    }

    fn wait_for_owner(&self) {
        let must_wait = |state: MutexGuard<ReadState>| {
            let may_read = !state.paused && state.inbox.len() <= MAX_UNPROCESSED_BYTES;
            !may_read && !state.closed
        };
        while must_wait(self.lock()) {
            self.wake.wait();
        }
    }
}

#[cfg(test)]
impl ReadGate {
    /// Returns whether memory was granted to the waiting reader.
    pub(super) fn has_grant(&self) -> bool {
        self.lock().granted
    }
}

/// Reads the bytes that are in the socket now. The next read detects an end or an error.
fn read_more(fd: RawFd, bytes: &mut Vec<u8>) {
    let before = bytes.len();
    bytes.resize(before + EXTRA_READ_SIZE, 0);
    let received = receive_now(fd, &mut bytes[before..]).unwrap_or(0);
    bytes.truncate(before + received);
    bytes.shrink_to_fit();
}

fn receive_now(fd: RawFd, buffer: &mut [u8]) -> io::Result<usize> {
    // SAFETY: the pointer and the length are of one live slice; the caller owns the descriptor.
    let received = unsafe {
        libc::recv(
            fd,
            buffer.as_mut_ptr().cast(),
            buffer.len(),
            libc::MSG_DONTWAIT,
        )
    };
    usize::try_from(received).map_err(|_| io::Error::last_os_error())
}

/// One connection's reader.
pub(super) struct Reader {
    pub(super) conn: ConnId,
    pub(super) peer: PeerKind,
    pub(super) gate: Arc<ReadGate>,
    pub(super) budget: SharedBudget,
    pub(super) event_sender: Sender<OwnerEvent>,
}

impl Reader {
    /// Starts the coroutine that reads a connection until its end.
    pub(super) fn start(self, stream: TcpStream) {
        go!(move || self.read_until_end(stream));
    }

    fn read_until_end(self, stream: TcpStream) {
        loop {
            self.gate.wait_for_owner();
            if !self.reserve_read() {
                break;
            }
            match self.gate.read(self.conn, stream.as_raw_fd(), &self.budget) {
                ReadOutcome::Paused => {}
                ReadOutcome::WouldBlock => _ = stream.wait_io(),
                ReadOutcome::End => break,
                ReadOutcome::Bytes { is_news: false } => {}
                ReadOutcome::Bytes { is_news: true } => {
                    let readable = OwnerEvent::Readable { conn: self.conn };
                    if self.event_sender.send(readable).is_err() {
                        break;
                    }
                }
            }
        }
        let conn = self.conn;
        let _ = self.event_sender.send(OwnerEvent::Ended { conn, stream });
    }

    /// Reserves the memory of a first read, and waits for it if necessary. Returns `false` if the
    /// connection is closed meanwhile.
    fn reserve_read(&self) -> bool {
        self.gate.expect_memory();
        let mut budget = self.budget.lock();
        let is_granted = budget.request_read(self.conn, self.peer, FIRST_READ_SIZE);
        drop(budget);
        if is_granted {
            return true;
        }
        // Wakes the owner, which grants the read once memory is free.
        let _ = self.event_sender.send(OwnerEvent::ReadWaits);
        self.gate.wait_for_memory()
    }
}

#[cfg(test)]
mod tests;
