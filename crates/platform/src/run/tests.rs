use super::*;
use grebecleat_host::outbox::LegNo;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;

const TAKE: &str = "GET /read/7f3a9c21e0b4d655 HTTP/1.1\r\nX-Txn: 9b\r\nX-Qos-Policy: basic\r\n\
    X-Remaining-Ms: 480\r\nX-Placement: volume=00000003b4d60021,units=2,shard=5,hosts=3\r\n\r\n";

/// A host that nobody runs: it hears what the test says, one thing after the other.
fn host() -> Host {
    let text = crate::config::tests::whole().to_string();
    let config = Config::read("c.json".as_ref(), text.as_bytes()).unwrap();
    let bell = Semphore::new(0);
    let room = Room { live: AtomicUsize::new(0), most: 9, bell, ended: AtomicBool::new(false) };
    Host::new(Options { config, file: None }, Arc::new(room), -1, mpsc::channel().0)
}

/// Its transfer has been read, and its end has yet to be heard.
#[test]
fn a_first_transfer_whose_client_has_left_is_not_taken() {
    for left in [false, true] {
        let (mut host, (ours, theirs)) = (host(), UnixStream::pair().unwrap());
        let (conn, gate) = (ConnId(ACCEPTED + 1), Gate::new());
        host.hear(Note::Accepted { conn, fd: ours.as_raw_fd(), gate: gate.clone() });
        gate.lock().ahead = TAKE.len();
        if left {
            theirs.shutdown(std::net::Shutdown::Both).unwrap();
        }
        host.hear(Note::Read { conn, at: clock::now(), bytes: TAKE.into() });
        let takes = host.inputs.iter().filter(|i| matches!(i, Input::ClientFrames { .. })).count();
        assert_eq!((takes, host.conns.contains_key(&conn)), (usize::from(!left), !left));
    }
}

/// Decided while its client waited; by the time that its connection is up the client has left, and the owner
/// has yet to hear of it, behind whatever else it has to hear.
#[test]
fn no_leg_is_written_once_its_client_has_left() {
    type Case = (&'static str, fn(&mut UnixStream), bool);
    let cases: [Case; 4] = [
        ("it waits", |_| (), true),
        ("it has said more", |s| s.write_all(b"GET /read/").unwrap(), true),
        ("it has left", |s| s.shutdown(std::net::Shutdown::Both).unwrap(), false),
        (
            "it has said more and left",
            |s| {
                s.write_all(b"GET /read/").unwrap();
                s.shutdown(std::net::Shutdown::Write).unwrap();
            },
            false,
        ),
    ];
    for (what, does, written) in cases {
        let (mut host, (ours, mut client)) = (host(), UnixStream::pair().unwrap());
        let node = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let entry = pb::Entry {
            node: 1,
            cell: 5,
            state: pb::NodeState::Ready.into(),
            address: node.local_addr().unwrap().to_string(),
            ..pb::Entry::default()
        };
        let list = pb::List { kind: pb::ListKind::Whole.into(), entries: vec![entry], ..pb::List::default() };
        host.inputs.push(Input::Remembered { list });
        let conn = ConnId(ACCEPTED + 1);
        host.hear(Note::Accepted { conn, fd: ours.as_raw_fd(), gate: Gate::new() });
        let gate = host.conns[&conn].gate.clone();
        gate.lock().ahead = TAKE.len();
        host.hear(Note::Read { conn, at: clock::now(), bytes: TAKE.into() });
        host.step();
        assert_eq!(host.dials.len(), 1, "{what}");
        let (mut came, _) = node.accept().unwrap();
        does(&mut client);
        while !host.dials.is_empty() {
            host.look_at_dials();
        }
        (0..3).for_each(|_| host.step());
        came.set_nonblocking(true).unwrap();
        assert_eq!(came.read(&mut [0; 64]).is_ok_and(|n| n > 0), written, "{what}");
        assert_eq!(host.desk.held().0, usize::from(written), "{what}: the transfer is nobody's");
    }
}

/// What a node says or ends before a leg is written is seen, though its reader has not brought it yet.
#[test]
fn no_leg_is_written_to_a_connection_whose_node_has_something_to_say() {
    type Case = (&'static str, fn(&mut UnixStream), bool);
    let cases: [Case; 3] = [
        ("nothing", |_| (), true),
        ("a second answer", |s| s.write_all(b"HTTP/1.1 200 OK\r\n").unwrap(), false),
        ("its end", |s| s.shutdown(std::net::Shutdown::Write).unwrap(), false),
    ];
    for (what, says, written) in cases {
        let (mut host, (ours, mut node)) = (host(), UnixStream::pair().unwrap());
        let (conn, now) = (ConnId(7), clock::now());
        let outbox = host.add(conn, Role::Node(Doing::Nothing), ours.as_raw_fd(), Gate::new(), now);
        says(&mut node);
        let leg = frame(Body::Leg(pb::Leg { leg: 1, ..pb::Leg::default() }), now);
        outbox.put_leg(LegNo(1), leg, now, now + ms(900));
        host.flush_all();
        node.set_nonblocking(true).unwrap();
        // It stays in the outbox, where the desk takes it back.
        assert_eq!(
            (node.read(&mut [0; 64]).is_ok_and(|n| n > 0), outbox.is_held(LegNo(1))),
            (written, !written),
            "{what}"
        );
        assert_eq!(host.conns.contains_key(&conn), written, "{what}");
    }
}

/// What a client has sent is never dropped with its idle connection: neither what waits in the socket nor
/// what its reader has taken and its owner has yet to hear. After the close nothing is taken any more.
#[test]
fn an_idle_connection_closes_only_when_nothing_was_said_on_it() {
    let mut buffer = [0; ONE_READ];
    for (says, reads, hears, ends) in [
        (false, false, false, false),
        (true, false, false, false),
        (true, true, false, false),
        (true, true, true, false),
        (false, false, false, true),
    ] {
        let (host, mut client) = UnixStream::pair().unwrap();
        let (fd, gate) = (host.as_raw_fd(), Gate::new());
        if says {
            client.write_all(b"hello").unwrap();
        }
        if reads {
            assert!(matches!(gate.read(fd, &mut buffer), Got::Bytes(b) if b == b"hello"));
        }
        if hears {
            gate.consumed(5);
        }
        if ends {
            client.shutdown(std::net::Shutdown::Both).unwrap();
        }
        let idle = says == hears;
        assert_eq!(gate.is_quiet(fd), idle && !ends);
        assert_eq!(gate.close_unless_asked(fd), idle, "{says} {reads} {hears} {ends}");
        if idle && !ends {
            client.write_all(b"late").unwrap();
            assert!(matches!(gate.read(fd, &mut buffer), Got::End), "it crosses the close, unread");
        }
    }
}
