//! The reader coroutine of each connection, and the flow control between it and the owner.
//!
//! A reader receives bytes from its socket and sends them to the owner as [`OwnerEvent`]s. The
//! [`ReadGate`] counts the bytes that the reader has read and the owner has not processed. If they
//! exceed [`MAX_UNPROCESSED_BYTES`] after a read, the reader waits.

use super::socket::{pending_input, PendingInput};
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
use std::time::Duration;

/// Maximum number of bytes of a first read. A larger value takes more of the coroutine's stack; a
/// smaller one costs more reads.
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
    /// A peer has sent bytes.
    Read {
        conn: ConnId,
        at: Duration,
        bytes: Vec<u8>,
    },
    /// A reader has ended. The event carries the stream, so that the operating system cannot reuse its
    /// descriptor before the owner has dropped it.
    Ended { conn: ConnId, stream: TcpStream },
    /// The listener waits for a free slot.
    SlotsExhausted,
    /// This process has received a signal, given by its number.
    Signal(i32),
}

/// The flow control that a connection's reader and the owner share: it counts the bytes that were read
/// and not processed. The reader receives bytes from the socket only under its lock. The owner can
/// therefore close a connection knowing that every byte that was read is processed and gets its
/// response. Bytes that reach the socket during the close are lost, which the platform allows.
pub(super) struct ReadGate {
    state: Mutex<ReadState>,
    wake: Semphore,
}

#[derive(Default)]
pub(super) struct ReadState {
    /// Number of bytes that were read and that the owner has not processed yet.
    pub(super) unprocessed: usize,
    closed: bool,
}

/// The result of one read.
enum ReadOutcome {
    Bytes(Vec<u8>),
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

    fn read(&self, fd: RawFd, buffer: &mut [u8; FIRST_READ_SIZE]) -> ReadOutcome {
        let mut state = self.lock();
        if state.closed {
            return ReadOutcome::End;
        }
        // SAFETY: the pointer and the length are of one live slice; the caller owns the descriptor.
        let received = unsafe {
            libc::recv(
                fd,
                buffer.as_mut_ptr().cast(),
                FIRST_READ_SIZE,
                libc::MSG_DONTWAIT,
            )
        };
        match usize::try_from(received) {
            Ok(0) => ReadOutcome::End,
            Ok(received) => {
                let mut bytes = buffer[..received].to_vec();
                if received == FIRST_READ_SIZE {
                    // Reading the rest of a large message at once costs less than many small events.
                    read_more(fd, &mut bytes);
                }
                state.unprocessed += bytes.len();
                ReadOutcome::Bytes(bytes)
            }
            Err(_) => match io::Error::last_os_error().kind() {
                io::ErrorKind::WouldBlock => ReadOutcome::WouldBlock,
                // Waiting now could block forever, since the system has already reported the event.
                io::ErrorKind::Interrupted => {
                    drop(state);
                    self.read(fd, buffer)
                }
                _ => ReadOutcome::End,
            },
        }
    }

    /// Records that the owner has processed this number of bytes, and wakes the reader if it may go on.
    pub(super) fn consumed(&self, bytes: usize) {
        let mut state = self.lock();
        let before = state.unprocessed;
        state.unprocessed -= bytes;
        if before > MAX_UNPROCESSED_BYTES && state.unprocessed <= MAX_UNPROCESSED_BYTES {
            drop(state);
            self.wake.post();
        }
    }

    /// Returns whether the owner has processed every byte that was read, and the socket holds neither
    /// bytes nor the end of the connection.
    pub(super) fn is_quiet(&self, fd: RawFd) -> bool {
        self.lock().unprocessed == 0 && pending_input(fd) == PendingInput::Nothing
    }

    /// Closes the gate, after which the reader reads no more bytes.
    pub(super) fn close(&self) {
        self.lock().closed = true;
        self.wake.post();
    }

    /// Closes the gate unless that would lose bytes of the peer. Returns whether it is closed.
    pub(super) fn close_unless_input(&self, fd: RawFd) -> bool {
        let mut state = self.lock();
        state.closed |= state.unprocessed == 0 && pending_input(fd) != PendingInput::Bytes;
        if state.closed {
            drop(state);
            self.wake.post();
            return true;
        }
        false
    }

    fn wait_for_owner(&self) {
        let must_wait = |state: MutexGuard<ReadState>| {
            state.unprocessed > MAX_UNPROCESSED_BYTES && !state.closed
        };
        while must_wait(self.lock()) {
            self.wake.wait();
        }
    }
}

/// Reads the bytes that are in the socket now. The next read detects an end or an error.
fn read_more(fd: RawFd, bytes: &mut Vec<u8>) {
    let before = bytes.len();
    bytes.resize(before + EXTRA_READ_SIZE, 0);
    let rest = &mut bytes[before..];
    // SAFETY: the pointer and the length are of one live slice; the caller owns the descriptor.
    let received =
        unsafe { libc::recv(fd, rest.as_mut_ptr().cast(), rest.len(), libc::MSG_DONTWAIT) };
    bytes.truncate(before + usize::try_from(received).unwrap_or(0));
    bytes.shrink_to_fit();
}

fn read_until_end(
    stream: TcpStream,
    conn: ConnId,
    gate: &ReadGate,
    event_sender: &Sender<OwnerEvent>,
) {
    let mut buffer = [0; FIRST_READ_SIZE];
    loop {
        match gate.read(stream.as_raw_fd(), &mut buffer) {
            ReadOutcome::WouldBlock => _ = stream.wait_io(),
            ReadOutcome::End => break,
            ReadOutcome::Bytes(bytes) => {
                let read = OwnerEvent::Read {
                    conn,
                    at: clock::now(),
                    bytes,
                };
                if event_sender.send(read).is_err() {
                    break;
                }
                gate.wait_for_owner();
            }
        }
    }
    let _ = event_sender.send(OwnerEvent::Ended { conn, stream });
}

/// Starts the coroutine that reads a connection until its end.
pub(super) fn start_reader(
    stream: TcpStream,
    conn: ConnId,
    gate: Arc<ReadGate>,
    event_sender: Sender<OwnerEvent>,
) {
    go!(move || read_until_end(stream, conn, &gate, &event_sender));
}

#[cfg(test)]
mod tests;
