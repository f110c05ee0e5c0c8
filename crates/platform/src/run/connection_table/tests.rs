use super::*;
use crate::http::OutgoingMessage;
use bytes::Bytes;
use std::os::fd::AsRawFd;
use std::os::unix::net::UnixStream;

/// More than a socket accepts.
const LARGE_BODY_BYTES: usize = 4 << 20;

/// Guards against clients that do not read and whose sockets are written at every step.
#[test]
fn a_socket_that_accepts_no_bytes_is_written_again_at_intervals() {
    let (ours, _theirs) = UnixStream::pair().unwrap();
    let conn = ConnId(1);
    let mut connections = ConnectionTable::default();
    let role = Role::Client(ClientState::new(Duration::ZERO));
    connections.add(
        conn,
        role,
        ours.as_raw_fd(),
        ReadGate::new(),
        Duration::ZERO,
    );
    let connection = connections.get_mut(conn).unwrap();
    connection.write_queue.push(OutgoingMessage {
        head: Vec::new(),
        body: Bytes::from(vec![0; LARGE_BODY_BYTES]),
    });
    let now = Duration::from_secs(1);
    assert!(connections.take_writable(now).is_empty());
    assert_eq!(connections.retry_at(), None);
    assert_eq!(connections.write(conn), WriteOutcome::Blocked);
    assert_eq!(connections.retry_at(), Some(now + RETRY_INTERVAL));
    let just_before = now + RETRY_INTERVAL - Duration::from_nanos(1);
    assert!(connections.take_writable(just_before).is_empty());
    assert_eq!(connections.take_writable(now + RETRY_INTERVAL), [conn]);
}
