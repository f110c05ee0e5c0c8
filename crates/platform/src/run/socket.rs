//! Queries the operating system about a socket, by its file descriptor. No query blocks or consumes
//! bytes.
//!
//! Each caller owns the descriptor that it passes, so the descriptor cannot belong to another socket
//! during the query.

use std::io;
use std::os::fd::RawFd;
use std::time::Duration;

/// The unread input of a socket.
#[derive(Debug, PartialEq)]
pub(super) enum PendingInput {
    Nothing,
    Bytes,
    /// The peer has ended the connection, or the connection has failed.
    End,
}

/// Returns the unread input of a socket.
pub(super) fn pending_input(fd: RawFd) -> PendingInput {
    let mut one = 0u8;
    // SAFETY: the pointer is of one live byte; the caller owns the descriptor.
    let received = unsafe {
        libc::recv(
            fd,
            (&raw mut one).cast(),
            1,
            libc::MSG_PEEK | libc::MSG_DONTWAIT,
        )
    };
    match received {
        1.. => PendingInput::Bytes,
        0 => PendingInput::End,
        _ if io::Error::last_os_error().kind() == io::ErrorKind::WouldBlock => {
            PendingInput::Nothing
        }
        _ => PendingInput::End,
    }
}

/// Returns whether the peer has ended the connection, even if there are unread bytes before the end.
pub(super) fn peer_has_closed(fd: RawFd) -> bool {
    match pending_input(fd) {
        PendingInput::Nothing => false,
        PendingInput::End => true,
        PendingInput::Bytes => poll_now(fd, libc::POLLRDHUP) & libc::POLLRDHUP != 0,
    }
}

/// Returns whether a connection is in a listening socket's queue.
pub(super) fn has_connection_queued(listener: RawFd) -> bool {
    poll_now(listener, libc::POLLIN) != 0
}

/// Returns those of the given events, and of the error events, that a socket has, or zero if none.
fn poll_now(fd: RawFd, events: libc::c_short) -> libc::c_short {
    let mut polled = libc::pollfd {
        fd,
        events,
        revents: 0,
    };
    // SAFETY: the pointer is of one live record.
    let ready = unsafe { libc::poll(&raw mut polled, 1, 0) };
    if ready > 0 {
        polled.revents
    } else {
        0
    }
}

/// Returns the time since bytes were last received on a connection, which includes its time in the
/// listener's queue. If no bytes were ever received, returns the time since the connection was
/// established. Returns zero if the operating system does not report it.
pub(super) fn time_since_last_receive(fd: RawFd) -> Duration {
    // SAFETY: all zero is a value of this plain struct.
    let mut info: libc::tcp_info = unsafe { std::mem::zeroed() };
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the pointers are of live values, and the length is the size of `info`; the caller owns
    // the descriptor.
    let failed = unsafe {
        libc::getsockopt(
            fd,
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            (&raw mut info).cast(),
            &raw mut length,
        )
    };
    if failed != 0 {
        return Duration::ZERO;
    }
    Duration::from_millis(u64::from(info.tcpi_last_data_recv))
}
