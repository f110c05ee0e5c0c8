use super::*;
use std::io::Write;
use std::os::unix::net::UnixStream;

fn read(gate: &ReadGate, fd: RawFd) -> ReadOutcome {
    let budget = SharedBudget::new(1 << 20);
    let is_granted = budget
        .lock()
        .request_read(ConnId(1), PeerKind::Client, FIRST_READ_SIZE);
    assert!(is_granted);
    gate.read(ConnId(1), fd, &budget)
}

/// An idle connection is not closed while the socket holds bytes of the client, or while the owner has
/// not processed all bytes that were read: closing it would lose them. After the close, no bytes are
/// read.
#[test]
fn an_idle_connection_closes_only_when_nothing_was_sent_on_it() {
    struct Case {
        sends: bool,
        reads: bool,
        processes: bool,
        ends: bool,
    }
    let case = |sends, reads, processes, ends| Case {
        sends,
        reads,
        processes,
        ends,
    };
    for Case {
        sends,
        reads,
        processes,
        ends,
    } in [
        case(false, false, false, false),
        case(true, false, false, false),
        case(true, true, false, false),
        case(true, true, true, false),
        case(false, false, false, true),
    ] {
        let (host, mut client) = UnixStream::pair().unwrap();
        let fd = host.as_raw_fd();
        let gate = ReadGate::new();
        if sends {
            client.write_all(b"hello").unwrap();
        }
        if reads {
            assert_eq!(read(&gate, fd), ReadOutcome::Bytes { is_news: true });
            assert_eq!(gate.lock().inbox.len(), 5);
        }
        if processes {
            assert!(gate.take(9).is_some_and(|taken| taken.bytes == b"hello"));
        }
        if ends {
            client.shutdown(std::net::Shutdown::Both).unwrap();
        }
        let idle = sends == processes;
        assert_eq!(gate.is_quiet(fd), idle && !ends);
        assert_eq!(
            gate.close_unless_input(fd),
            idle,
            "{sends} {reads} {processes} {ends}"
        );
        if idle && !ends {
            client.write_all(b"late").unwrap();
            assert!(
                matches!(read(&gate, fd), ReadOutcome::End),
                "bytes sent after the close must not be read"
            );
        }
    }
}

/// Guards against an owner that is told of each piece that a peer sends, and against one that is not told
/// of bytes that were read after it had taken all.
#[test]
fn the_owner_is_told_once_of_bytes_that_it_has_not_taken() {
    let (host, mut client) = UnixStream::pair().unwrap();
    let fd = host.as_raw_fd();
    let gate = ReadGate::new();
    let mut receive = |bytes: &[u8]| {
        client.write_all(bytes).unwrap();
        read(&gate, fd)
    };
    let is_news = |is_news| ReadOutcome::Bytes { is_news };
    assert_eq!(receive(b"a"), is_news(true));
    assert_eq!(receive(b"bc"), is_news(false));
    assert!(gate.take(2).is_some_and(|taken| taken.bytes == b"ab"));
    assert_eq!(receive(b"d"), is_news(false));
    assert!(gate.take(2).is_some_and(|taken| taken.bytes == b"cd"));
    assert!(!gate.has_input());
    assert_eq!(receive(b"e"), is_news(true));
}
