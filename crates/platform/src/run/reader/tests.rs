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
            let outcome = read(&gate, fd);
            assert!(matches!(outcome, ReadOutcome::Bytes { bytes, .. } if bytes == b"hello"));
        }
        if processes {
            gate.consumed(5);
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
