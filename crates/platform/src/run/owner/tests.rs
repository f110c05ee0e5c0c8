use super::*;
use crate::http::OutgoingMessage;
use crate::run::connection::{ClientState, Discard};
use crate::run::listener::ClientSlots;
use crate::run::sweep::NEW_CLIENT_GRACE_PERIOD;
use bytes::Bytes;
use grebecleat_host::memory_budget::PeerKind;
use grebecleat_host::outbox::AttemptId;
use grebecleat_scheduler::api::NodeId;
use std::io::{Read, Write};
use std::os::fd::RawFd;
use std::os::unix::net::UnixStream;
use std::sync::{mpsc, Arc};

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const REQUEST: &str = "GET /read/7f3a9c21e0b4d655 HTTP/1.1\r\nX-Txn: 9b\r\nX-Qos-Policy: basic\r\n\
    X-Remaining-Ms: 480\r\nX-Placement: volume=00000003b4d60021,units=2,shard=5,hosts=3\r\n\r\n";

/// Returns an owner whose event loop does not run; the test passes it one event after the other.
fn owner() -> Owner {
    owner_with_sockets(256, mpsc::channel().0)
}

fn owner_with_sockets(sockets: usize, event_sender: Sender<OwnerEvent>) -> Owner {
    let mut text = crate::config::tests::complete();
    text["limits"]["sockets"] = sockets.into();
    let config = Config::read("c.json".as_ref(), text.to_string().as_bytes()).unwrap();
    let listener = ListenerHandle::new(Arc::new(ClientSlots::new(9)), -1);
    let budget = SharedBudget::new(config.memory.budget);
    Owner::new(config, None, listener, budget, event_sender)
}

/// Accepts a client on the socket `fd`, as the listener does.
fn accept(owner: &mut Owner, number: u64, fd: RawFd) -> ConnId {
    let conn = ConnId(LAST_DIALED_CONN + number);
    let gate = ReadGate::new();
    owner.handle_event(OwnerEvent::Accepted { conn, fd, gate });
    conn
}

fn client(owner: &mut Owner, number: u64) -> (ConnId, UnixStream, UnixStream) {
    let (ours, theirs) = UnixStream::pair().unwrap();
    let conn = accept(owner, number, ours.as_raw_fd());
    (conn, ours, theirs)
}

/// Returns a client whose reader has read the first request.
fn client_with_request(owner: &mut Owner) -> (ConnId, UnixStream, UnixStream) {
    let (conn, ours, theirs) = client(owner, 1);
    receive(owner, conn, clock::now(), REQUEST.as_bytes());
    (conn, ours, theirs)
}

/// Adds bytes to a connection's inbox, as its reader does.
fn receive(owner: &Owner, conn: ConnId, at: Duration, bytes: &[u8]) {
    let gate = &owner.connections.get(conn).unwrap().gate;
    gate.lock().inbox.push(at, bytes.to_vec(), 0);
}

fn deliver_request(owner: &mut Owner, conn: ConnId) {
    owner.handle_event(OwnerEvent::Readable { conn });
    owner.take_turns(Eligible::All, Duration::MAX);
}

fn client_state(owner: &mut Owner, conn: ConnId) -> &mut ClientState {
    match &mut owner.connections.get_mut(conn).unwrap().role {
        Role::Client(client) => client,
        _ => panic!("expected the connection of a client"),
    }
}

fn nodes_up(owner: &Owner) -> usize {
    let connections = owner.connections.iter();
    connections
        .filter(|(_, connection)| matches!(connection.role, Role::Node(_)))
        .count()
}

/// Checks the pending dials until all have ended.
fn complete_dials(owner: &mut Owner) {
    while owner.dialer.pending_count() > 0 {
        owner.check_dials();
    }
}

/// A closed connection keeps its descriptor until its reader has ended. Dials to nodes beyond the limit
/// wait for a descriptor, but the dial to discovery does not.
#[test]
fn dials_to_nodes_wait_for_a_descriptor_and_the_one_to_discovery_does_not() {
    let (event_sender, events) = mpsc::channel();
    let mut owner = owner_with_sockets(48, event_sender);
    let max_node_connections = owner.config.descriptors.nodes;
    let extra_dials = 4;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    owner.step_discovery(PollingEvent::Moved { address });
    for number in 0..(max_node_connections + extra_dials) as u64 {
        owner.perform(Output::Dial {
            conn: ConnId(number),
            node: NodeId(0),
            address,
        });
    }
    owner.perform(Output::DialDiscovery { conn: ConnId(90) });
    owner.perform(Output::DialDiscovery { conn: ConnId(91) });
    assert_eq!(
        (
            owner.dialer.pending_count(),
            owner.dialer.discovery_dials(),
            owner.dialer.queued_count()
        ),
        (max_node_connections + 1, vec![91], extra_dials)
    );
    // The queued dials must not time out on a slow machine.
    owner.dialer.set_queued_deadlines(Duration::MAX);
    complete_dials(&mut owner);
    assert_eq!(
        (nodes_up(&owner), owner.dialer.queued_count()),
        (max_node_connections, extra_dials)
    );
    // The connections are closed, but their descriptors are not free yet.
    owner.close(ConnId(0), CloseReason::PeerClosed);
    owner.close(ConnId(1), CloseReason::PeerClosed);
    owner.check_dials();
    assert_eq!(
        (
            nodes_up(&owner),
            owner.dialer.pending_count(),
            owner.dialer.queued_count()
        ),
        (max_node_connections - 2, 0, extra_dials)
    );
    for freed in 1..=2 {
        owner.handle_event(events.recv_timeout(ms(10_000)).unwrap());
        owner.check_dials();
        assert_eq!(owner.dialer.queued_count(), extra_dials - freed);
    }
    // A dial that finds no descriptor within its timeout fails.
    owner.dialer.set_queued_deadlines(Duration::ZERO);
    owner.inputs.clear();
    owner.check_dials();
    assert_eq!(
        (nodes_gone(&owner), owner.dialer.queued_count()),
        (
            vec![
                max_node_connections as u64 + 2,
                max_node_connections as u64 + 3
            ],
            0
        )
    );
}

/// Returns the connections to nodes whose loss the owner reports to the router.
fn nodes_gone(owner: &Owner) -> Vec<u64> {
    let gone = owner.inputs.iter().filter_map(|input| match input {
        Input::NodeGone { conn } => Some(conn.0),
        _ => None,
    });
    gone.collect()
}

/// A client whose response is not written completely keeps its connection, both when slots are freed
/// and when idle clients are limited: closing it would lose the rest of the response.
#[test]
fn no_connection_is_closed_for_a_slot_before_its_response_is_written() {
    type Case = (&'static str, fn(&mut ClientState), fn(&mut Owner));
    let cases: [Case; 4] = [
        (
            "a response, to free a slot",
            |_| (),
            Owner::free_client_slots,
        ),
        (
            "the last response, to free a slot",
            |client| {
                client.discard = Some(Discard {
                    until: Duration::MAX,
                    bytes_left: 9,
                })
            },
            Owner::free_client_slots,
        ),
        (
            "idle for long, to free a slot",
            |client| client.phase_began_at = Duration::ZERO,
            Owner::free_client_slots,
        ),
        (
            "a response, to limit idle clients",
            |_| (),
            Owner::limit_idle_clients,
        ),
    ];
    for (what, prepare, close_some) in cases {
        for written in [false, true] {
            let mut owner = owner();
            owner.config.descriptors.idle_clients = 0;
            let (conn, _ours, _theirs) = client(&mut owner, 1);
            client_state(&mut owner, conn).has_sent = true;
            prepare(client_state(&mut owner, conn));
            let connection = owner.connections.get_mut(conn).unwrap();
            connection.write_queue.push(OutgoingMessage {
                head: vec![0; 2],
                body: Bytes::new(),
            });
            connection.write_queue.advance(1 + usize::from(written));
            close_some(&mut owner);
            assert_eq!(
                owner.connections.get(conn).is_some(),
                !written,
                "{what}, written completely: {written}"
            );
        }
    }
}

/// During a shutdown, the host keeps clients that have sent requests up to the usual limit, and closes
/// the others to free slots, the client idle the longest first.
#[test]
fn a_shutdown_evicts_only_idle_clients_above_the_limit() {
    for (draining, idle_clients, left) in [
        (false, 2, vec![]),
        (true, 2, vec![3, 4]),
        (true, 9, vec![1, 2, 3, 4]),
    ] {
        let mut owner = owner();
        owner.config.descriptors.idle_clients = idle_clients;
        if draining {
            owner.shutdown.request(clock::now());
        }
        let all: Vec<_> = (1..=4).map(|number| client(&mut owner, number)).collect();
        for (number, (conn, ..)) in (1..).zip(&all) {
            let client = client_state(&mut owner, *conn);
            client.has_sent = true;
            client.phase_began_at = clock::now() + ms(number);
        }
        for _ in 0..9 {
            owner.free_client_slots();
        }
        let open = owner.connections.iter();
        let open: Vec<u64> = open.map(|(conn, _)| conn.0 - LAST_DIALED_CONN).collect();
        assert_eq!(open, left, "draining: {draining}, may keep {idle_clients}");
    }
}

/// A client that was silent in the listener's queue for long is closed as soon as it is accepted, if
/// slots are needed. A client that has just connected, or has sent something, is not.
#[test]
fn a_client_that_was_silent_in_the_queue_is_not_treated_as_a_new_one() {
    for (waits, sends, stays) in [
        (true, false, false),
        (true, true, true),
        (false, false, true),
    ] {
        let mut owner = owner();
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let mut theirs = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        if waits {
            std::thread::sleep(NEW_CLIENT_GRACE_PERIOD * 2);
        }
        if sends {
            theirs.write_all(b"GET ").unwrap();
        }
        let (ours, _) = listener.accept().unwrap();
        let conn = accept(&mut owner, 1, ours.as_raw_fd());
        owner.free_client_slots();
        assert_eq!(
            owner.connections.get(conn).is_some(),
            stays,
            "waits: {waits}, sends: {sends}"
        );
    }
}

/// The client closes its connection after its request was read. The owner processes the request before
/// the end of the connection.
#[test]
fn a_first_request_whose_client_has_left_is_not_submitted() {
    for has_left in [false, true] {
        let mut owner = owner();
        let (conn, _ours, theirs) = client_with_request(&mut owner);
        if has_left {
            theirs.shutdown(std::net::Shutdown::Both).unwrap();
        }
        deliver_request(&mut owner, conn);
        let inputs = owner.inputs.iter();
        let submitted = inputs
            .filter(|input| matches!(input, Input::ClientFrames { .. }))
            .count();
        assert_eq!(
            (submitted, owner.connections.get(conn).is_some()),
            (usize::from(!has_left), !has_left)
        );
    }
}

/// Returns an endpoint list of one node with the given address.
fn one_endpoint(address: SocketAddr) -> pb::EndpointUpdate {
    let endpoint = pb::Endpoint {
        node: 1,
        shard: 5,
        state: pb::NodeState::Ready.into(),
        address: address.to_string(),
        ..pb::Endpoint::default()
    };
    pb::EndpointUpdate {
        kind: pb::EndpointUpdateKind::Snapshot.into(),
        endpoints: vec![endpoint],
        ..pb::EndpointUpdate::default()
    }
}

/// The scheduler decides on the attempt while its client waits. The client leaves before the dial to
/// the node has ended, and the owner has not processed the end of the client's connection.
#[test]
fn no_attempt_is_written_once_its_client_has_left() {
    type Case = (&'static str, fn(&mut UnixStream), bool);
    let cases: [Case; 4] = [
        ("it waits", |_| (), true),
        (
            "it has sent more",
            |client| client.write_all(b"GET /read/").unwrap(),
            true,
        ),
        (
            "it has left",
            |client| client.shutdown(std::net::Shutdown::Both).unwrap(),
            false,
        ),
        (
            "it has sent more and left",
            |client| {
                client.write_all(b"GET /read/").unwrap();
                client.shutdown(std::net::Shutdown::Write).unwrap();
            },
            false,
        ),
    ];
    for (what, act, written) in cases {
        let mut owner = owner();
        let node = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let list = one_endpoint(node.local_addr().unwrap());
        owner.inputs.push(Input::CachedEndpoints { list });
        let (conn, _ours, mut client) = client_with_request(&mut owner);
        deliver_request(&mut owner, conn);
        owner.step();
        assert_eq!(owner.dialer.pending_count(), 1, "{what}");
        let (mut accepted, _) = node.accept().unwrap();
        act(&mut client);
        complete_dials(&mut owner);
        for _ in 0..3 {
            owner.step();
        }
        accepted.set_nonblocking(true).unwrap();
        assert_eq!(
            accepted.read(&mut [0; 64]).is_ok_and(|read| read > 0),
            written,
            "{what}"
        );
        assert_eq!(
            owner.router.open_work().requests,
            usize::from(written),
            "{what}: a request is open only if its client waits"
        );
    }
}

/// Before it writes an attempt, the owner detects bytes or an end of the connection that the node has
/// sent, even if the reader has not reported them yet.
#[test]
fn no_attempt_is_written_to_a_connection_on_which_its_node_has_sent_or_ended() {
    type Case = (&'static str, fn(&mut UnixStream), bool);
    let cases: [Case; 3] = [
        ("nothing", |_| (), true),
        (
            "a second response",
            |node| node.write_all(b"HTTP/1.1 200 OK\r\n").unwrap(),
            false,
        ),
        (
            "its end",
            |node| node.shutdown(std::net::Shutdown::Write).unwrap(),
            false,
        ),
    ];
    for (what, act, written) in cases {
        let mut owner = owner();
        let (ours, mut node) = UnixStream::pair().unwrap();
        let conn = ConnId(7);
        let now = clock::now();
        let role = Role::Node(NodeExchange::Idle);
        let outbox = owner
            .connections
            .add(conn, role, ours.as_raw_fd(), ReadGate::new(), now);
        act(&mut node);
        let attempt = Body::Attempt(pb::Attempt {
            attempt: 1,
            ..pb::Attempt::default()
        });
        outbox.put_attempt(AttemptId(1), frame(attempt, now), now, now + ms(900));
        owner.flush_all();
        node.set_nonblocking(true).unwrap();
        // The attempt stays in the outbox, from which the router can revoke it.
        assert_eq!(
            (
                node.read(&mut [0; 64]).is_ok_and(|read| read > 0),
                outbox.is_queued(AttemptId(1))
            ),
            (written, !written),
            "{what}"
        );
        assert_eq!(owner.connections.get(conn).is_some(), written, "{what}");
    }
}

/// A node whose reader waits for memory is not silent: its response is not taken for malformed.
#[test]
fn a_response_that_waits_for_memory_is_not_treated_as_stalled() {
    let mut owner = owner();
    let (ours, _theirs) = UnixStream::pair().unwrap();
    let conn = ConnId(7);
    let role = Role::Node(NodeExchange::Attempt(1));
    let gate = ReadGate::new();
    owner
        .connections
        .add(conn, role, ours.as_raw_fd(), gate.clone(), Duration::ZERO);
    let connection = owner.connections.get_mut(conn).unwrap();
    connection.reader.push(b"HTTP/1.1 200 OK\r\n");
    let phase = ShutdownPhase {
        is_requested: false,
        closes_after_response: false,
    };
    let stalled = |owner: &Owner| {
        let expired = Expired::find(&owner.connections, &owner.discovery, ms(10_000), phase);
        expired.malformed
    };
    receive(&owner, conn, clock::now(), b"C");
    assert_eq!(stalled(&owner), []);
    assert!(gate.take(1).is_some());
    assert_eq!(stalled(&owner), [conn]);
}

/// Returns the connections whose requests the owner has passed to the router since the last step.
fn submitted(owner: &Owner) -> Vec<ConnId> {
    let inputs = owner.inputs.iter();
    let submitted = inputs.filter_map(|input| match input {
        Input::ClientFrames { conn, .. } => Some(*conn),
        _ => None,
    });
    submitted.collect()
}

/// Returns clients that have sent a large part of a body in chunks of one byte.
fn clients_with_much_input(owner: &mut Owner, count: u64) -> Vec<(ConnId, UnixStream, UnixStream)> {
    let head = "PUT /row/7f3a9c21e0b4d655 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    let input = format!("{head}{}", "1\r\nb\r\n".repeat(9_000));
    let clients: Vec<_> = (0..count).map(|n| client(owner, 100 + n)).collect();
    for (conn, ..) in &clients {
        receive(owner, *conn, clock::now(), input.as_bytes());
        owner.handle_event(OwnerEvent::Readable { conn: *conn });
    }
    clients
}

fn with_input(owner: &Owner, clients: &[(ConnId, UnixStream, UnixStream)]) -> usize {
    let gates = clients.iter().filter(|(conn, ..)| {
        let connection = owner.connections.get(*conn);
        connection.is_some_and(|connection| connection.gate.has_input())
    });
    gates.count()
}

/// Guards against requests that wait behind all that other connections have sent before them.
#[test]
fn a_request_waits_for_one_turn_of_each_other_connection() {
    let mut owner = owner();
    let others = clients_with_much_input(&mut owner, 10);
    let (conn, _ours, _theirs) = client_with_request(&mut owner);
    deliver_request(&mut owner, conn);
    assert_eq!(submitted(&owner), [conn]);
    assert_eq!(with_input(&owner, &others), others.len());
    while !owner.schedule.is_empty() {
        owner.take_turns(Eligible::All, Duration::MAX);
    }
    assert_eq!(
        with_input(&owner, &others),
        0,
        "the others get theirs as well"
    );
}

/// Guards against timers that wait until all input is handled.
#[test]
fn a_deadline_that_is_due_goes_ahead_of_input() {
    for (deadline, handled) in [(Duration::ZERO, 1), (Duration::MAX, 4)] {
        let mut owner = owner();
        let clients: Vec<_> = (1..=4).map(|number| client(&mut owner, number)).collect();
        for (conn, ..) in &clients {
            receive(&owner, *conn, clock::now(), &REQUEST.as_bytes()[..20]);
            owner.handle_event(OwnerEvent::Readable { conn: *conn });
        }
        owner.take_turns(Eligible::All, deadline);
        assert_eq!(with_input(&owner, &clients), 4 - handled, "{deadline:?}");
    }
}

/// Guards against nodes that count as silent and requests that count as late because of a pause of this
/// process: what has arrived meanwhile is handled before the timers.
#[test]
fn the_input_that_arrived_during_a_pause_is_handled_at_once() {
    let (event_sender, events) = mpsc::channel();
    let mut owner = owner_with_sockets(256, event_sender.clone());
    let clients: Vec<_> = (1..=60).map(|number| client(&mut owner, number)).collect();
    for (conn, ..) in &clients {
        receive(&owner, *conn, clock::now(), &REQUEST.as_bytes()[..20]);
        receive(&owner, *conn, clock::now(), &[b'x'; 5000]);
        event_sender
            .send(OwnerEvent::Readable { conn: *conn })
            .unwrap();
    }
    owner.catch_up(&events);
    assert_eq!(with_input(&owner, &clients), 0);
}

/// Guards against a 408 for a request whose last bytes have arrived in time and are not processed.
#[test]
fn a_request_that_was_complete_in_time_is_not_rejected_as_incomplete() {
    let phase = ShutdownPhase {
        is_requested: false,
        closes_after_response: false,
    };
    let accepted_at = clock::now();
    let timeout = accepted_at + ms(2500);
    let (head, rest) = REQUEST.split_at(30);
    type Case = (
        &'static str,
        fn(&Owner, ConnId, &mut UnixStream, &str),
        bool,
        bool,
    );
    let cases: [Case; 3] = [
        ("nothing more has arrived", |_, _, _, _| (), true, true),
        (
            "the rest is in the inbox",
            |owner, conn, _, rest| receive(owner, conn, clock::now(), rest.as_bytes()),
            false,
            true,
        ),
        (
            "the rest is in the socket",
            |_, _, client, rest| client.write_all(rest.as_bytes()).unwrap(),
            false,
            true,
        ),
    ];
    for (what, act, at_timeout, later) in cases {
        let mut owner = owner();
        let (conn, _ours, mut theirs) = client(&mut owner, 1);
        receive(&owner, conn, clock::now(), head.as_bytes());
        deliver_request(&mut owner, conn);
        act(&owner, conn, &mut theirs, rest);
        let is_incomplete = |now| {
            let expired = Expired::find(&owner.connections, &owner.discovery, now, phase);
            expired.incomplete == [conn]
        };
        assert_eq!(is_incomplete(timeout), at_timeout, "{what}");
        assert_eq!(is_incomplete(timeout + ms(1000)), later, "{what}");
    }
}

/// Guards against responses that are lost because their connection ended behind them.
#[test]
fn the_input_of_a_connection_is_handled_before_its_end() {
    let mut owner = owner();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let conn = accept(&mut owner, 1, stream.as_raw_fd());
    receive(&owner, conn, clock::now(), REQUEST.as_bytes());
    owner.handle_event(OwnerEvent::Readable { conn });
    owner.handle_event(OwnerEvent::Ended { conn, stream });
    owner.finish_ended();
    assert!(owner.connections.get(conn).is_some());
    owner.take_turns(Eligible::All, Duration::MAX);
    owner.finish_ended();
    assert_eq!(submitted(&owner), [conn]);
    assert!(owner.connections.get(conn).is_none());
}

/// Guards against memory that stays reserved for bytes of a connection that was closed before they were
/// handled.
#[test]
fn the_input_of_a_closed_connection_does_not_count() {
    let mut owner = owner();
    let (conn, _ours, _theirs) = client(&mut owner, 1);
    let charged = {
        let mut budget = owner.budget.lock();
        assert!(budget.request_read(conn, PeerKind::Client, 100));
        budget.finish_read(conn, 100, 50)
    };
    let gate = owner.connections.get(conn).unwrap().gate.clone();
    gate.lock().inbox.push(clock::now(), vec![0; 50], charged);
    owner.connection_lost(conn, CloseReason::TimedOut);
    assert_eq!(owner.budget.lock().read_ahead(), 0);
}

/// Guards against a reader that waits for ever, and a client that gets no response: the memory for its read
/// became free before the owner had handled the event that its client was accepted.
#[test]
fn memory_is_granted_to_a_reader_whose_client_is_not_accepted_yet() {
    let mut owner = owner();
    let (_other, _other_ours, _other_theirs) = client(&mut owner, 1);
    let conn = ConnId(LAST_DIALED_CONN + 2);
    let gate = ReadGate::new();
    let limit = owner.budget.lock().limit();
    {
        let mut budget = owner.budget.lock();
        assert!(budget.request_read(ConnId(7), PeerKind::Discovery, limit));
        assert!(!budget.request_read(conn, PeerKind::Client, 100));
        budget.finish_read(ConnId(7), limit, 0);
    }
    owner.grant_reads();
    let (ours, _theirs) = UnixStream::pair().unwrap();
    let fd = ours.as_raw_fd();
    owner.handle_event(OwnerEvent::Accepted {
        conn,
        fd,
        gate: gate.clone(),
    });
    owner.grant_reads();
    assert!(gate.has_grant());
}
