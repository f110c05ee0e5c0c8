use super::*;
use grebecleat_host::outbox::AttemptId;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;

const TAKE: &str = "GET /read/7f3a9c21e0b4d655 HTTP/1.1\r\nX-Txn: 9b\r\nX-Qos-Policy: basic\r\n\
    X-Remaining-Ms: 480\r\nX-Placement: volume=00000003b4d60021,units=2,shard=5,hosts=3\r\n\r\n";

/// A host that nobody runs: it hears what the test says, one thing after the other.
fn host() -> Host {
    host_of(256, mpsc::channel().0)
}

fn host_of(sockets: usize, to_owner: Sender<Note>) -> Host {
    let mut text = crate::config::tests::whole();
    text["limits"]["sockets"] = sockets.into();
    let config = Config::read("c.json".as_ref(), text.to_string().as_bytes()).unwrap();
    let bell = Semphore::new(0);
    let room = Room {
        live: AtomicUsize::new(0),
        most: 9,
        bell,
        ended: AtomicBool::new(false),
    };
    Host::new(Options { config, file: None }, Arc::new(room), -1, to_owner)
}

fn client(host: &mut Host, n: u64) -> (ConnId, UnixStream, UnixStream) {
    let (ours, theirs) = UnixStream::pair().unwrap();
    let conn = ConnId(ACCEPTED + n);
    host.hear(Note::Accepted {
        conn,
        fd: ours.as_raw_fd(),
        gate: Gate::new(),
    });
    (conn, ours, theirs)
}

fn of_client(host: &mut Host, conn: ConnId) -> &mut Client {
    match &mut host.conns.get_mut(&conn).unwrap().role {
        Role::Client(client) => client,
        _ => panic!("a client"),
    }
}

/// A connection whose end the owner has yet to hear of holds its descriptor, and so does a dial that nobody
/// wants any more: those beyond the nodes' part wait, and the list's does not.
#[test]
fn dials_to_nodes_beyond_their_part_wait_and_the_lists_goes_at_once() {
    let (to_owner, notes) = mpsc::channel();
    let mut host = host_of(48, to_owner);
    let (most, more) = (host.config.descriptors.nodes, 4);
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    host.discovery = address;
    let dial = |host: &mut Host, n: u64| {
        let (conn, node) = (ConnId(n), grebecleat::interface::NodeId(0));
        host.carry_out(Output::Dial {
            conn,
            node,
            address,
        });
    };
    (0..(most + more) as u64).for_each(|n| dial(&mut host, n));
    host.carry_out(Output::DialDiscovery { conn: ConnId(90) });
    host.carry_out(Output::DialDiscovery { conn: ConnId(91) });
    let lists = |host: &Host| {
        host.dials
            .iter()
            .filter(|d| d.list)
            .map(|d| d.conn.0)
            .collect::<Vec<_>>()
    };
    assert_eq!(
        (host.dials.len(), lists(&host), host.held.len()),
        (most + 1, vec![91], more)
    );
    // However slow this machine is.
    host.held.iter_mut().for_each(|h| h.until = Duration::MAX);
    while !host.dials.is_empty() {
        host.look_at_dials();
    }
    let up = |host: &Host| {
        host.conns
            .values()
            .filter(|c| matches!(c.role, Role::Node(_)))
            .count()
    };
    assert_eq!((up(&host), host.held.len()), (most, more));
    // Closed, and not yet let go of.
    host.close(ConnId(0));
    host.close(ConnId(1));
    host.look_at_dials();
    assert_eq!(
        (up(&host), host.dials.len(), host.held.len()),
        (most - 2, 0, more)
    );
    for n in 1..=2 {
        host.hear(notes.recv_timeout(ms(10_000)).unwrap());
        host.look_at_dials();
        assert_eq!(host.held.len(), more - n);
    }
    // What finds no descriptor within the time of its dial has failed as one.
    host.held.iter_mut().for_each(|h| h.until = Duration::ZERO);
    host.inputs.clear();
    host.look_at_dials();
    let gone: Vec<u64> = host
        .inputs
        .iter()
        .filter_map(|i| match i {
            Input::NodeGone { conn } => Some(conn.0),
            _ => None,
        })
        .collect();
    assert_eq!(
        (gone, host.held.len()),
        (vec![most as u64 + 2, most as u64 + 3], 0)
    );
}

/// Who has an answer that is not written whole keeps his connection, where room is made and where few are
/// kept: closed then, the rest would be lost.
#[test]
fn no_connection_is_closed_for_room_under_an_answer() {
    type Case = (&'static str, fn(&mut Client), fn(&mut Host));
    let cases: [Case; 4] = [
        ("an answer, for room", |_| (), Host::make_room),
        (
            "the last answer, for room",
            |c| c.discard = Some((Duration::MAX, 9)),
            Host::make_room,
        ),
        (
            "idle for long, for room",
            |c| c.since = Duration::ZERO,
            Host::make_room,
        ),
        ("an answer, to keep few", |_| (), Host::keep_few),
    ];
    for (what, state, closes) in cases {
        for written in [false, true] {
            let mut host = host();
            host.config.descriptors.kept = 0;
            let (conn, _ours, _theirs) = client(&mut host, 1);
            of_client(&mut host, conn).spoke = true;
            state(of_client(&mut host, conn));
            let c = host.conns.get_mut(&conn).unwrap();
            (c.outward, c.written) = (vec![0; 2], 1 + usize::from(written));
            closes(&mut host);
            assert_eq!(
                host.conns.contains_key(&conn),
                !written,
                "{what}, written whole: {written}"
            );
        }
    }
}

/// Told to end, it keeps as many of those that have asked as it ever may, and closes the others for those
/// who come: the one idle the longest first.
#[test]
fn a_host_that_was_told_to_end_makes_room_down_to_those_that_it_may_keep() {
    for (ending, kept, left) in [
        (false, 2, vec![]),
        (true, 2, vec![3, 4]),
        (true, 9, vec![1, 2, 3, 4]),
    ] {
        let mut host = host();
        host.config.descriptors.kept = kept;
        host.draining = ending.then(clock::now);
        let all: Vec<_> = (1..=4).map(|n| client(&mut host, n)).collect();
        for (n, (conn, ..)) in (1..).zip(&all) {
            let client = of_client(&mut host, *conn);
            (client.spoke, client.since) = (true, clock::now() + ms(n));
        }
        (0..9).for_each(|_| host.make_room());
        let open: Vec<u64> = host.conns.keys().map(|c| c.0 - ACCEPTED).collect();
        assert_eq!(open, left, "ending: {ending}, may keep {kept}");
    }
}

/// One that waited in the listener's queue for long, and has said nothing there, makes room as soon as it is
/// accepted; one that has just come, or has said something by then, does not.
#[test]
fn who_was_silent_in_the_queue_is_not_taken_for_one_that_has_just_come() {
    for (waits, speaks, stays) in [
        (true, false, false),
        (true, true, true),
        (false, false, true),
    ] {
        let mut host = host();
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let mut theirs = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        if waits {
            std::thread::sleep(YOUNG * 2);
        }
        if speaks {
            theirs.write_all(b"GET ").unwrap();
        }
        let (ours, _) = listener.accept().unwrap();
        let conn = ConnId(ACCEPTED + 1);
        host.hear(Note::Accepted {
            conn,
            fd: ours.as_raw_fd(),
            gate: Gate::new(),
        });
        host.make_room();
        assert_eq!(
            host.conns.contains_key(&conn),
            stays,
            "waits: {waits}, speaks: {speaks}"
        );
    }
}

/// Its request has been read, and its end has yet to be heard.
#[test]
fn a_first_request_whose_client_has_left_is_not_taken() {
    for left in [false, true] {
        let (mut host, (ours, theirs)) = (host(), UnixStream::pair().unwrap());
        let (conn, gate) = (ConnId(ACCEPTED + 1), Gate::new());
        host.hear(Note::Accepted {
            conn,
            fd: ours.as_raw_fd(),
            gate: gate.clone(),
        });
        gate.lock().ahead = TAKE.len();
        if left {
            theirs.shutdown(std::net::Shutdown::Both).unwrap();
        }
        host.hear(Note::Read {
            conn,
            at: clock::now(),
            bytes: TAKE.into(),
        });
        let takes = host
            .inputs
            .iter()
            .filter(|i| matches!(i, Input::ClientFrames { .. }))
            .count();
        assert_eq!(
            (takes, host.conns.contains_key(&conn)),
            (usize::from(!left), !left)
        );
    }
}

/// Decided while its client waited; by the time that its connection is up the client has left, and the owner
/// has yet to hear of it, behind whatever else it has to hear.
#[test]
fn no_attempt_is_written_once_its_client_has_left() {
    type Case = (&'static str, fn(&mut UnixStream), bool);
    let cases: [Case; 4] = [
        ("it waits", |_| (), true),
        (
            "it has said more",
            |s| s.write_all(b"GET /read/").unwrap(),
            true,
        ),
        (
            "it has left",
            |s| s.shutdown(std::net::Shutdown::Both).unwrap(),
            false,
        ),
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
        let entry = pb::Endpoint {
            node: 1,
            shard: 5,
            state: pb::NodeState::Ready.into(),
            address: node.local_addr().unwrap().to_string(),
            ..pb::Endpoint::default()
        };
        let list = pb::EndpointUpdate {
            kind: pb::EndpointUpdateKind::Snapshot.into(),
            endpoints: vec![entry],
            ..pb::EndpointUpdate::default()
        };
        host.inputs.push(Input::CachedEndpoints { list });
        let conn = ConnId(ACCEPTED + 1);
        host.hear(Note::Accepted {
            conn,
            fd: ours.as_raw_fd(),
            gate: Gate::new(),
        });
        let gate = host.conns[&conn].gate.clone();
        gate.lock().ahead = TAKE.len();
        host.hear(Note::Read {
            conn,
            at: clock::now(),
            bytes: TAKE.into(),
        });
        host.step();
        assert_eq!(host.dials.len(), 1, "{what}");
        let (mut came, _) = node.accept().unwrap();
        does(&mut client);
        while !host.dials.is_empty() {
            host.look_at_dials();
        }
        (0..3).for_each(|_| host.step());
        came.set_nonblocking(true).unwrap();
        assert_eq!(
            came.read(&mut [0; 64]).is_ok_and(|n| n > 0),
            written,
            "{what}"
        );
        assert_eq!(
            host.router.open_work().requests,
            usize::from(written),
            "{what}: the transfer is nobody's"
        );
    }
}

/// What a node says or ends before an attempt is written is seen, though its reader has not brought it yet.
#[test]
fn no_attempt_is_written_to_a_connection_whose_node_has_something_to_say() {
    type Case = (&'static str, fn(&mut UnixStream), bool);
    let cases: [Case; 3] = [
        ("nothing", |_| (), true),
        (
            "a second answer",
            |s| s.write_all(b"HTTP/1.1 200 OK\r\n").unwrap(),
            false,
        ),
        (
            "its end",
            |s| s.shutdown(std::net::Shutdown::Write).unwrap(),
            false,
        ),
    ];
    for (what, says, written) in cases {
        let (mut host, (ours, mut node)) = (host(), UnixStream::pair().unwrap());
        let (conn, now) = (ConnId(7), clock::now());
        let outbox = host.add(
            conn,
            Role::Node(Doing::Nothing),
            ours.as_raw_fd(),
            Gate::new(),
            now,
        );
        says(&mut node);
        let attempt = frame(
            Body::Attempt(pb::Attempt {
                attempt: 1,
                ..pb::Attempt::default()
            }),
            now,
        );
        outbox.put_attempt(AttemptId(1), attempt, now, now + ms(900));
        host.flush_all();
        node.set_nonblocking(true).unwrap();
        // It stays in the outbox, where the desk takes it back.
        assert_eq!(
            (
                node.read(&mut [0; 64]).is_ok_and(|n| n > 0),
                outbox.is_queued(AttemptId(1))
            ),
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
        assert_eq!(
            gate.close_unless_asked(fd),
            idle,
            "{says} {reads} {hears} {ends}"
        );
        if idle && !ends {
            client.write_all(b"late").unwrap();
            assert!(
                matches!(gate.read(fd, &mut buffer), Got::End),
                "it crosses the close, unread"
            );
        }
    }
}
