//! The reader coroutine of each connection, and the gate between it and the owner.
//!
//! A reader takes bytes off its socket and sends them to the owner as [`OwnerEvent`]s. State:
//! [`ReadGate`], how far the reader is ahead of the owner. Bounds: [`MAX_AHEAD`] bytes and one
//! read; past that it waits.

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

/// Bytes of one read.
const READ_SIZE: usize = 4 << 10;
/// Bytes that are read beyond a first full read, without waiting.
const EXTRA_READ_SIZE: usize = 60 << 10;
/// Bytes of one connection that its reader may be ahead of the owner.
const MAX_AHEAD: usize = 96 << 10;

/// What the coroutines and signals report to the owner.
pub(super) enum OwnerEvent {
    /// The listener has accepted a client.
    Accepted {
        conn: ConnId,
        fd: RawFd,
        gate: Arc<ReadGate>,
    },
    /// Bytes of a peer.
    Read {
        conn: ConnId,
        at: Duration,
        bytes: Vec<u8>,
    },
    /// A reader has ended. The stream comes along, so that its number stays its own until the owner
    /// has dropped it.
    Ended { conn: ConnId, stream: TcpStream },
    /// The listener waits for a free slot.
    SlotsExhausted,
    /// A signal to this process, by number.
    Signal(i32),
}

/// Between a connection's reader and the owner: how far ahead the reader is. The reader takes bytes
/// off the socket under this lock alone, so that the owner can close a connection of which it knows
/// that nothing was read and not processed: what is still in the socket then crosses the close, as
/// the platform allows, and what has been read is answered.
pub(super) struct ReadGate {
    state: Mutex<ReadState>,
    wake: Semphore,
}

#[derive(Default)]
pub(super) struct ReadState {
    /// Bytes read that the owner has not processed.
    pub(super) ahead: usize,
    closed: bool,
}

/// What one read brought.
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
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn read(&self, fd: RawFd, buffer: &mut [u8; READ_SIZE]) -> ReadOutcome {
        let mut state = self.lock();
        if state.closed {
            return ReadOutcome::End;
        }
        // SAFETY: the pointer and the length are of one live slice; the caller owns the number.
        let received = unsafe {
            libc::recv(
                fd,
                buffer.as_mut_ptr().cast(),
                READ_SIZE,
                libc::MSG_DONTWAIT,
            )
        };
        match usize::try_from(received) {
            Ok(0) => ReadOutcome::End,
            Ok(received) => {
                let mut bytes = buffer[..received].to_vec();
                if received == READ_SIZE {
                    // Where much comes, many small events would cost more than reading it.
                    read_more(fd, &mut bytes);
                }
                state.ahead += bytes.len();
                ReadOutcome::Bytes(bytes)
            }
            Err(_) => match io::Error::last_os_error().kind() {
                io::ErrorKind::WouldBlock => ReadOutcome::WouldBlock,
                // To wait now would be to wait for an event that has been reported already.
                io::ErrorKind::Interrupted => {
                    drop(state);
                    self.read(fd, buffer)
                }
                _ => ReadOutcome::End,
            },
        }
    }

    /// The owner has taken in so many bytes.
    pub(super) fn consumed(&self, bytes: usize) {
        let mut state = self.lock();
        let before = state.ahead;
        state.ahead -= bytes;
        if before > MAX_AHEAD && state.ahead <= MAX_AHEAD {
            drop(state);
            self.wake.post();
        }
    }

    /// Nothing has been read that the owner has not processed, and nothing waits in the socket: its
    /// end included.
    pub(super) fn is_quiet(&self, fd: RawFd) -> bool {
        self.lock().ahead == 0 && pending_input(fd) == PendingInput::Nothing
    }

    /// Nothing is read any more.
    pub(super) fn close(&self) {
        self.lock().closed = true;
        self.wake.post();
    }

    /// Closes it unless something of its peer's would be lost by that; whether it is closed.
    pub(super) fn close_unless_input(&self, fd: RawFd) -> bool {
        let mut state = self.lock();
        state.closed |= state.ahead == 0 && pending_input(fd) != PendingInput::Bytes;
        if state.closed {
            drop(state);
            self.wake.post();
            return true;
        }
        false
    }

    fn wait_for_owner(&self) {
        let must_wait = |state: MutexGuard<ReadState>| state.ahead > MAX_AHEAD && !state.closed;
        while must_wait(self.lock()) {
            self.wake.wait();
        }
    }
}

/// An end or a fault is left for the next read to find.
fn read_more(fd: RawFd, bytes: &mut Vec<u8>) {
    let before = bytes.len();
    bytes.resize(before + EXTRA_READ_SIZE, 0);
    let rest = &mut bytes[before..];
    // SAFETY: the pointer and the length are of one live slice; the caller owns the number.
    let received =
        unsafe { libc::recv(fd, rest.as_mut_ptr().cast(), rest.len(), libc::MSG_DONTWAIT) };
    bytes.truncate(before + usize::try_from(received).unwrap_or(0));
    bytes.shrink_to_fit();
}

fn read_until_end(stream: TcpStream, conn: ConnId, gate: &ReadGate, to_owner: &Sender<OwnerEvent>) {
    let mut buffer = [0; READ_SIZE];
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
                if to_owner.send(read).is_err() {
                    break;
                }
                gate.wait_for_owner();
            }
        }
    }
    let _ = to_owner.send(OwnerEvent::Ended { conn, stream });
}

/// Starts the coroutine that reads a connection until its end.
pub(super) fn start_reader(
    stream: TcpStream,
    conn: ConnId,
    gate: Arc<ReadGate>,
    to_owner: Sender<OwnerEvent>,
) {
    go!(move || read_until_end(stream, conn, &gate, &to_owner));
}

#[cfg(test)]
mod tests;
