use super::*;
use crate::run::connection_table::ConnectionTable;
use crate::run::reader::ReadGate;
use grebecleat_host::router::ConnId;
use std::os::fd::AsRawFd;
use std::os::unix::net::UnixStream;

const REQUEST: &[u8] = b"GET /read/1 HTTP/1.1\r\nX-Txn: 9b\r\n\r\n";
const LAST_REQUEST: &[u8] = b"GET /read/1 HTTP/1.1\r\nConnection: close\r\n\r\n";

/// Returns a connection whose first request is open, with these bytes behind it.
fn with_pipelined(connections: &mut ConnectionTable, fd: i32, pipelined: &[u8]) -> ConnId {
    let conn = ConnId(1);
    let mut client = ClientState::new(Duration::ZERO);
    client.has_sent = true;
    client.exchange = Some(ClientExchange {
        client_id: "9a".into(),
        request_id: Bytes::new(),
        keep_alive: true,
        bytes: 0,
    });
    connections.add(
        conn,
        Role::Client(client),
        fd,
        ReadGate::new(),
        Duration::ZERO,
    );
    let connection = connections.get_mut(conn).unwrap();
    connection.reader.push(pipelined);
    conn
}

fn unwritten(connection: &mut Connection) -> String {
    let mut text = Vec::new();
    while let Some(next) = connection.write_queue.next() {
        let length = next.len();
        text.extend_from_slice(next);
        connection.write_queue.advance(length);
    }
    String::from_utf8(text).unwrap()
}

fn statuses(text: &str) -> Vec<&str> {
    let heads = text.split("HTTP/1.1 ").skip(1);
    heads.map(|head| &head[..3]).collect()
}

/// Guards against requests that are dropped to free memory and get no response: the open one gets its
/// own, and each of the others a rejection, the last of which ends the connection.
#[test]
fn each_pipelined_request_that_is_dropped_for_memory_gets_a_rejection() {
    let cases: [(&[&[u8]], usize); 4] = [
        (&[REQUEST], 1),
        (&[REQUEST, REQUEST, &REQUEST[..9]], 3),
        (&[REQUEST, LAST_REQUEST, REQUEST], 2),
        (&[b"\0\0\0", REQUEST], 1),
    ];
    for (pipelined, rejections) in cases {
        let (ours, _theirs) = UnixStream::pair().unwrap();
        let mut connections = ConnectionTable::default();
        let conn = with_pipelined(&mut connections, ours.as_raw_fd(), &pipelined.concat());
        let connection = connections.get_mut(conn).unwrap();
        assert!(drop_pipelined(connection));
        assert_eq!(connection.held_bytes().pipelined, 0);
        let response = pb::Response {
            outcome: pb::Outcome::Completed.into(),
            data: Bytes::from_static(b"hi"),
            ..pb::Response::default()
        };
        let finished = finish_exchange(connection, &response, false, Duration::ZERO).unwrap();
        assert!(!finished.has_next);
        let text = unwritten(connection);
        let mut expected = vec!["200"];
        expected.resize(1 + rejections, "503");
        assert_eq!(statuses(&text), expected, "{pipelined:?}");
        assert_eq!(text.matches("Connection: close").count(), 1, "{text}");
        let last = text.rsplit("HTTP/1.1 ").next().unwrap();
        assert!(last.contains("Connection: close"), "{text}");
    }
}

/// Guards against losing requests whose number is not known: bytes that were read and not processed.
#[test]
fn pipelined_requests_are_kept_while_bytes_behind_them_are_not_processed() {
    let (ours, _theirs) = UnixStream::pair().unwrap();
    let mut connections = ConnectionTable::default();
    let conn = with_pipelined(&mut connections, ours.as_raw_fd(), REQUEST);
    let connection = connections.get_mut(conn).unwrap();
    connection
        .gate
        .lock()
        .inbox
        .push(Duration::ZERO, vec![b'G'], 0);
    assert!(!drop_pipelined(connection));
    assert_eq!(connection.reader.len(), REQUEST.len());
    assert!(connection.reader.read_request().unwrap().is_some());
    assert!(connection.gate.take(1).is_some());
    assert!(drop_pipelined(connection));
}
