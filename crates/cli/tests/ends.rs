//! Races at the end of something while a response is still outstanding: clients disconnect, connections
//! close, the discovery service moves or stops responding, the process shuts down.
//!
//! No sleep decides an order: the test's own node, discovery service or client holds a message back until
//! the other event has been observed. The host has noticed that a client disconnected when it closes its
//! own side of that connection.

mod rig;

use grebecleat_platform::http::MessageReader;
use rig::answer;
use rig::live::*;
use serde_json::json;
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).unwrap();
}

/// Disconnects a client, and waits until the host has noticed.
fn disconnect(mut stream: TcpStream) {
    stream.shutdown(Shutdown::Write).unwrap();
    assert_eq!(
        stream.read(&mut [0; 8]).unwrap_or(0),
        0,
        "the host sent a response"
    );
}

/// Starts a host with one node, whose responses the test sends.
fn one_manual_node() -> (ManualServer, StubDiscovery, HostProcess) {
    let node = ManualServer::start();
    let list = start_discovery(json!([target_at("s-1", node.address, 0, "ready")]));
    let live = HostProcess::start(&list, 256);
    (node, list, live)
}

/// Starts a host with one node whose receive buffer is small, so that large requests block until it reads.
fn one_slow_reader() -> (TcpListener, StubDiscovery, HostProcess) {
    let node = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    node.set_recv_buffer_size(4096).unwrap();
    node.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into())
        .unwrap();
    node.listen(8).unwrap();
    let node: TcpListener = node.into();
    let list = start_discovery(json!([target_at(
        "s-1",
        node.local_addr().unwrap(),
        0,
        "ready"
    )]));
    let live = HostProcess::start(&list, 256);
    (node, list, live)
}

/// Returns a non-idempotent request that is larger than the receive buffer of such a node.
fn large_request(id: &str) -> String {
    let small = request("once", id, 0, 7, 2900);
    let head = small.replace("Content-Length: 2", "Content-Length: 60000");
    head.replace("\r\n\r\nhi", "\r\n\r\n") + &"x".repeat(60_000)
}

fn id_of(text: &str) -> &str {
    text.split("X-Txn: ")
        .nth(1)
        .unwrap()
        .split("\r\n")
        .next()
        .unwrap()
}

// Clients

/// The node's receive buffer is so small that the host still holds a part of the attempt.
#[test]
fn a_partially_written_attempt_is_never_completed_after_its_client_left() {
    let (node, _list, live) = one_slow_reader();
    let mut client = live.connect();
    send(&mut client, &large_request("t"));
    let (mut connection, _) = node.accept().unwrap();
    assert_eq!(connection.peek(&mut [0; 1]).unwrap(), 1);
    disconnect(client);
    // The node reads the rest only now.
    connection.set_read_timeout(Some(ms(10_000))).unwrap();
    let mut buffered = Vec::new();
    let ended = connection.read_to_end(&mut buffered);
    let mut received = MessageReader::for_requests();
    received.push(&buffered);
    assert!(
        matches!(received.read_request(), Ok(None)),
        "received a complete request of {} bytes",
        buffered.len()
    );
    assert!(ended.is_ok() || ended.unwrap_err().kind() == std::io::ErrorKind::ConnectionReset);
    assert_eq!(
        live.status_of(&request("once", "u", 5, 7, 2900)),
        Some(503),
        "the host still serves requests"
    );
}

/// An attempt that the node has not received completely has not run. A response on its connection
/// belongs to another request, and the attempt is sent again on a new connection.
#[test]
fn a_response_to_an_incomplete_attempt_is_not_its_response() {
    for (said, status) in [
        ("200 OK", 200),
        ("500 No", 200),
        ("503 No\r\nX-Turned-Away: 1", 200),
    ] {
        let (node, _list, live) = one_slow_reader();
        let mut client = live.connect();
        send(&mut client, &large_request("t"));
        let (mut first, _) = node.accept().unwrap();
        assert_eq!(first.peek(&mut [0; 1]).unwrap(), 1);
        send(
            &mut first,
            &format!("HTTP/1.1 {said}\r\nContent-Length: 5\r\n\r\nearly"),
        );
        // Either the attempt is sent again on another connection, or its client received that response.
        client.set_nonblocking(true).unwrap();
        node.set_nonblocking(true).unwrap();
        let mut second = loop {
            match node.accept() {
                Ok((second, _)) => break second,
                Err(_) => assert!(
                    client.peek(&mut [0; 1]).is_err(),
                    "{said}: the client received the response"
                ),
            }
            std::thread::yield_now();
        };
        client.set_nonblocking(false).unwrap();
        second.set_nonblocking(false).unwrap();
        let mut buffered = Vec::new();
        let text = rig::next_exchange(&mut second, &mut buffered).expect("a complete request");
        assert_eq!(id_of(&text), "t");
        send(&mut second, OK_RESPONSE);
        let (received, _, body) = answer(&mut client).unwrap();
        assert_eq!((received, &body[..]), (status, &b"good"[..]), "{said}");
    }
}

/// The connections wait in the listener's queue while the host is stopped, and are closed by the client
/// before the host accepts them.
#[test]
fn a_request_of_a_client_that_left_before_accept_is_not_forwarded() {
    let (node, _list, live) = one_node(|_| respond_with(OK_RESPONSE));
    live.signal("-STOP");
    for n in 0..60 {
        send(
            &mut live.connect(),
            &request("once", &format!("left-{n}"), 0, n, 2900),
        );
    }
    live.signal("-CONT");
    for n in 0..5 {
        assert_eq!(
            live.status_of(&request("once", &format!("stays-{n}"), 0, 99, 2900)),
            Some(200)
        );
    }
    let left: Vec<String> = received_requests(&node)
        .iter()
        .map(|t| id_of(t).to_string())
        .filter(|i| i.contains("left"))
        .collect();
    assert_eq!(left, Vec::<String>::new());
}

#[test]
fn the_request_id_of_a_client_that_left_stays_reserved_while_its_attempt_is_outstanding() {
    let (node, _list, live) = one_manual_node();
    let text = request("once", "same", 0, 7, 2900);
    let mut client = live.connect();
    send(&mut client, &text);
    let mut attempt = node.next();
    disconnect(client);
    assert_eq!(live.status_of(&text), Some(409));
    attempt.respond("late");
    // Once the attempt has ended, the id can be used again.
    let mut again = live.connect();
    let until = Instant::now() + ms(10_000);
    loop {
        send(&mut again, &text);
        match node_or_answer(&node, &mut again) {
            Ok(mut attempt) => {
                assert_eq!(id_of(&attempt.text), "same");
                attempt.respond("good");
                assert_eq!(
                    answer(&mut again).map(|a| (a.0, a.2)),
                    Some((200, b"good".to_vec()))
                );
                break;
            }
            Err(status) => assert_eq!((status, Instant::now() < until), (409, true)),
        }
        again = live.connect();
    }
}

/// Returns whichever comes first: the attempt at the node, or the status of the host's own response.
fn node_or_answer(node: &ManualServer, client: &mut TcpStream) -> Result<HeldRequest, u16> {
    client.set_nonblocking(true).unwrap();
    let first = loop {
        if let Some(attempt) = node.try_next() {
            break Ok(attempt);
        }
        if client.peek(&mut [0; 1]).is_ok() {
            break Err(());
        }
        std::thread::yield_now();
    };
    client.set_nonblocking(false).unwrap();
    first.map_err(|()| answer(client).unwrap().0)
}

// Responses

/// The host is stopped while the duplicate response and the next request arrive. Whichever it reads
/// first, the duplicate must not become the response to the next request.
#[test]
fn a_duplicate_response_is_never_taken_for_the_next_attempts() {
    let (node, _list, live) = one_manual_node();
    let mut client = live.connect();
    for n in 0..20 {
        let (first, next) = (format!("first-{n}"), format!("next-{n}"));
        send(&mut client, &request("once", &first, 0, n, 2900));
        let mut attempt = node.next();
        attempt.respond(&first);
        assert_eq!(answer(&mut client).unwrap().2, first.as_bytes());
        let before = attempt.conn;
        live.signal("-STOP");
        attempt.respond(&first);
        send(&mut client, &request("once", &next, 0, n, 2900));
        live.signal("-CONT");
        let mut attempt = node.next();
        assert_ne!(attempt.conn, before);
        assert_eq!(id_of(&attempt.text), next);
        attempt.respond(&next);
        assert_eq!(answer(&mut client).unwrap().2, next.as_bytes());
    }
}

/// A response that never completes is abandoned at the deadline of its request. Since the attempt may
/// have run, the client gets status 502.
#[test]
fn a_response_that_trickles_forever_ends_at_the_requests_deadline() {
    let node = ManualServer::start();
    let list = start_discovery(json!([target_at("s-1", node.address, 0, "ready")]));
    let mut live = HostProcess::spawn(list.address, 256, settings_with_deadline(500));
    live.wait_until_ready();
    for head in [
        "HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n",
        "HTTP/1.1 200 OK\r\nA: ",
    ] {
        let mut client = live.connect();
        send(&mut client, &request("once", "t", 0, 7, 450));
        let mut attempt = node.next();
        let trickle = std::thread::spawn(move || {
            attempt.send_raw(head);
            // Continues far beyond the deadline, unless the host closes the connection.
            (0..2000).any(|_| {
                std::thread::sleep(ms(10));
                attempt.stream.write_all(b"x").is_err()
            })
        });
        assert_eq!(answer(&mut client).map(|a| a.0), Some(502), "{head}");
        assert!(trickle.join().unwrap(), "the host closes the connection");
    }
}

// The discovery service

/// Changes from the former discovery service apply until the new one has responded; from then on only
/// those of the new one do.
#[test]
fn a_moved_discovery_is_read_at_both_addresses_until_the_new_one_responds() {
    let (first, second) = (
        node(|_| respond_with(OK_RESPONSE)),
        node(|_| respond_with(OK_RESPONSE)),
    );
    let (old, new) = (ManualServer::start(), ManualServer::start());
    let mut live = HostProcess::spawn(old.address, 256, settings());
    old.next()
        .respond_with_list(1, true, json!([target("s-1", &first, 0, "ready")]));
    let mut watch = old.next();
    live.wait_until_ready();
    write_config(
        &live.config,
        "n1",
        live.address,
        new.address,
        live.sockets,
        settings(),
    );
    live.signal("-HUP");
    let mut call = new.next();
    // The new service has been called, and has not responded yet.
    watch.respond_with_list(
        2,
        false,
        json!([
            target("s-1", &first, 0, "draining"),
            target("s-2", &second, 0, "ready")
        ]),
    );
    let watch = old.next();
    assert!(
        watch.text.contains("since=2"),
        "the host has applied revision 2: {}",
        watch.text
    );
    assert_eq!(live.status_of(&request("once", "a", 0, 1, 2900)), Some(200));
    assert_eq!(
        (
            received_requests(&first).len(),
            received_requests(&second).len()
        ),
        (0, 1)
    );
    // The new service has revisions of its own, and this one is lower.
    call.respond_with_list(
        1,
        true,
        json!([
            target("s-1", &first, 0, "ready"),
            target("s-2", &second, 0, "gone")
        ]),
    );
    assert!(new.next().text.contains("since=1"));
    let mut former = watch.stream;
    assert_eq!(
        former.read(&mut [0; 8]).unwrap_or(0),
        0,
        "the host disconnects from the former service"
    );
    assert_eq!(live.status_of(&request("once", "b", 0, 2, 2900)), Some(200));
    assert_eq!(
        (
            received_requests(&first).len(),
            received_requests(&second).len()
        ),
        (1, 1)
    );
}

/// However a watch ends, the next call requests the changes since the last response, or the complete list
/// if discovery has lost its revisions; the response is applied.
#[test]
fn a_watch_that_ends_in_any_way_is_followed_by_a_call_for_all_missed_changes() {
    type Case = (&'static str, fn(&mut HeldRequest), bool);
    let cases: [Case; 5] = [
        ("reset", |w| w.close(), true),
        ("never answered", |_| (), true),
        (
            "turned away",
            |w| w.send_raw("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"),
            true,
        ),
        (
            "half an answer",
            |w| {
                w.send_raw("HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{\"rev\":9,\"all\":tr");
                w.close();
            },
            true,
        ),
        (
            "a revision that runs backwards",
            |w| w.respond_with_list(1, false, json!([])),
            false,
        ),
    ];
    let (first, second) = (
        node(|_| respond_with(OK_RESPONSE)),
        node(|_| respond_with(OK_RESPONSE)),
    );
    let list = ManualServer::start();
    let mut live = HostProcess::spawn(list.address, 256, settings());
    list.next()
        .respond_with_list(1, true, json!([target("s-1", &first, 0, "ready")]));
    let mut watch = list.next();
    live.wait_until_ready();
    let mut known = 1;
    for (n, (what, end, dials)) in (2..).zip(cases) {
        let states = if n % 2 == 0 {
            ["draining", "ready"]
        } else {
            ["ready", "draining"]
        };
        end(&mut watch);
        let mut call = list.next();
        // If a new connection is dialled, the revision that the host has is still valid.
        let since = dials.then(|| format!("?since={known}&timeout_ms=0 "));
        let query = call.text.find('?').map(|at| &call.text[at..]);
        assert_eq!(query.is_some(), since.is_some(), "{what}: {}", call.text);
        assert!(
            query
                .unwrap_or_default()
                .starts_with(&since.unwrap_or_default()),
            "{what}: {}",
            call.text
        );
        assert_eq!(call.conn != watch.conn, dials, "{what}");
        call.respond_with_list(
            n * 10,
            true,
            json!([
                target("s-1", &first, 0, states[0]),
                target("s-2", &second, 0, states[1])
            ]),
        );
        known = n * 10;
        watch = list.next();
        assert!(
            watch.text.contains(&format!("since={}", n * 10)),
            "{what}: {}",
            watch.text
        );
        let before = (
            received_requests(&first).len(),
            received_requests(&second).len(),
        );
        assert_eq!(
            live.status_of(&request("once", &format!("t{n}"), 0, n, 2900)),
            Some(200),
            "{what}"
        );
        let now = (
            received_requests(&first).len(),
            received_requests(&second).len(),
        );
        let to_second = usize::from(states[1] == "ready");
        assert_eq!(
            now,
            (before.0 + 1 - to_second, before.1 + to_second),
            "{what}"
        );
    }
}

/// The worst case within the term: a call is outstanding when the list changes, and gets no response; the
/// next call fails as late as possible; the third gets its response as late as allowed. With the seed in
/// use, the host's back-off after both failures is long.
#[test]
fn a_draining_node_gets_no_attempt_after_the_term_whatever_calls_fail() {
    type Case = (
        &'static str,
        &'static str,
        fn(&mut HeldRequest, &ManualServer),
    );
    let cases: [Case; 5] = [
        ("never answered", "on_request", |_, _| ()),
        ("refused late", "on_request", |call, _| {
            std::thread::sleep(ms(800));
            call.send_raw("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
        }),
        ("half an answer", "on_request", |call, _| {
            call.send_raw("HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{")
        }),
        ("never answered, pushed", "pushed", |_, _| ()),
        // The discovery service has moved, and the next call goes to the other one.
        ("moved", "on_request", |_, other| drop(other.next())),
    ];
    std::thread::scope(|s| {
        for (what, mode, fails) in cases {
            s.spawn(move || assert_drains_in_time(what, mode, fails));
        }
    });
}

/// Seed with which the back-off after both failures is 2.2 s.
const LONG_WAITS: &str = "347";

/// Time after which a change counts as announced, plus the settings' drain grace for attempts in transit.
const TERM: Duration = ms(6000 + 250);

fn assert_drains_in_time(what: &str, mode: &str, fails: fn(&mut HeldRequest, &ManualServer)) {
    let (first, second) = (
        node(|_| respond_with(OK_RESPONSE)),
        node(|_| respond_with(OK_RESPONSE)),
    );
    let entries = |states: [&str; 2]| {
        json!([
            target("s-1", &first, 0, states[0]),
            target("s-2", &second, 0, states[1])
        ])
    };
    let (list, other) = (ManualServer::start(), ManualServer::start());
    let mut with = settings();
    with["registry-mode"] = json!(mode);
    let mut live =
        HostProcess::spawn_with(list.address, 256, with.clone(), json!({"seed": LONG_WAITS}));
    list.next()
        .respond_with_list(1, true, entries(["ready", "draining"]));
    let watch = list.next();
    live.wait_until_ready();
    watch.close();
    list.next()
        .send_raw("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
    let lost = list.next();
    // The call arrived before this moment, so the host has slightly less time than the term.
    let changed_at = Instant::now();
    let (live, entries) = (&live, &entries);
    std::thread::scope(|s| {
        s.spawn(move || {
            let moved = what == "moved";
            if moved {
                std::thread::sleep(ms(800));
                write_config(
                    &live.config,
                    "n1",
                    live.address,
                    other.address,
                    live.sockets,
                    with,
                );
                live.signal("-HUP");
                fails(
                    &mut HeldRequest {
                        text: String::new(),
                        conn: 0,
                        stream: lost.stream.try_clone().unwrap(),
                    },
                    &other,
                );
            } else {
                fails(&mut list.next(), &other);
            }
            let mut third = if moved { other.next() } else { list.next() };
            // If this fails, the back-off draws other delays than before, and another seed has to be found.
            assert!(
                moved || changed_at.elapsed() > ms(4300),
                "{what}: the calls failed earlier than in the worst case"
            );
            std::thread::sleep(ms(700));
            third.respond_with_list(2, true, entries(["draining", "ready"]));
        });
        std::thread::sleep(TERM.saturating_sub(changed_at.elapsed()));
        for n in 0..40 {
            // A rejected request reaches no node, so the status does not matter here.
            let _ = live.status_of(&request("once", &format!("t{n}"), 0, n, 2900));
            std::thread::sleep(ms(20));
        }
    });
    assert_eq!(
        received_requests(&first).len(),
        0,
        "{what}: the draining node received attempts"
    );
    assert!(
        !received_requests(&second).is_empty(),
        "{what}: the other node received no attempts"
    );
}

#[test]
fn a_configuration_that_is_torn_gone_or_another_hosts_changes_nothing_and_is_logged_once() {
    let (node, _list, live) = one_node(|_| respond_with(OK_RESPONSE));
    let elsewhere = ManualServer::start();
    let assert_rejected = |n: usize| {
        live.signal("-HUP");
        live.wait_for_log("configuration rejected", n);
        assert_eq!(
            live.status_of(&request("once", &format!("t{n}"), 0, 7, 2900)),
            Some(200)
        );
    };
    write_config(
        &live.config,
        "n2",
        live.address,
        elsewhere.address,
        live.sockets,
        settings(),
    );
    assert_rejected(1);
    write_config(
        &live.config,
        "n1",
        live.address,
        elsewhere.address,
        live.sockets,
        settings(),
    );
    let whole = std::fs::read(&live.config).unwrap();
    std::fs::write(&live.config, &whole[..whole.len() / 2]).unwrap();
    assert_rejected(2);
    let mut faulty = settings();
    faulty["profiles"][1]["deadline-ms"] = json!("soon");
    write_config(
        &live.config,
        "n1",
        live.address,
        elsewhere.address,
        live.sockets,
        faulty,
    );
    assert_rejected(3);
    std::fs::remove_file(&live.config).unwrap();
    assert_rejected(4);
    assert_eq!(
        (
            elsewhere.try_next().is_none(),
            received_requests(&node).len()
        ),
        (true, 4)
    );
    let log = std::fs::read_to_string(&live.log).unwrap();
    assert_eq!(log.matches("configuration rejected").count(), 4, "{log}");
}

// Shutdown

/// The host closes idle connections at shutdown. A client whose request crossed the close connects again
/// and is served. Further signals change nothing.
#[test]
fn a_client_that_reconnects_after_an_idle_close_is_answered() {
    let node = node(|_| respond_with(OK_RESPONSE));
    let list = start_discovery(json!([target("s-1", &node, 0, "ready")]));
    // The host listens until 0.2 s before it may be killed, which is 0.6 and 0.7 s after the signal. If
    // the machine is so busy that all clients reconnect later than that, the test tries again.
    let is_reconnected = (0..5).any(|_| {
        let mut live = HostProcess::spawn(list.address, 256, settings_with_deadline(600));
        live.wait_until_ready();
        let mut idle: Vec<TcpStream> = (0..8).map(|_| live.connect()).collect();
        for (n, stream) in idle.iter_mut().enumerate() {
            send(stream, &request("read", &format!("t{n}"), 0, n as u64, 500));
            assert_eq!(answer(stream).map(|a| a.0), Some(200));
        }
        let signalled_at = Instant::now();
        ["-TERM", "-TERM", "-HUP"]
            .iter()
            .for_each(|s| live.signal(s));
        let mut reconnected = 0;
        for (n, mut stream) in idle.into_iter().enumerate() {
            assert_eq!(
                stream.read(&mut [0; 8]).unwrap_or(0),
                0,
                "the host closes the connection"
            );
            let again = TcpStream::connect(live.address).ok();
            let sent = again.and_then(|mut s| {
                s.write_all(request("read", &format!("u{n}"), 0, n as u64, 500).as_bytes())
                    .ok()?;
                Some(s)
            });
            if signalled_at.elapsed() < ms(1050) {
                let (_, head, _) = sent.and_then(|mut s| answer(&mut s)).expect("a response");
                assert!(head.contains("Connection: close"), "{head}");
                reconnected += 1;
            }
        }
        assert!(live.wait_for_exit());
        reconnected > 0
    });
    assert!(is_reconnected);
}

/// With deadlines far below 0.3 s, the host would stop accepting requests before clients stop connecting.
#[test]
fn with_short_deadlines_new_connections_are_served_for_as_long_as_they_come() {
    let node = node(|_| respond_with(OK_RESPONSE));
    let list = start_discovery(json!([target("s-1", &node, 0, "ready")]));
    let mut live = HostProcess::spawn(list.address, 256, settings_with_deadline(80));
    live.wait_until_ready();
    live.signal("-TERM");
    let signalled_at = Instant::now();
    let mut n = 0;
    while signalled_at.elapsed() < ms(400) {
        n += 1;
        let status = live.status_of(&request("read", &format!("t{n}"), 0, n, 80));
        assert!(
            status.is_some(),
            "request {n} got no response, {:?} after the signal",
            signalled_at.elapsed()
        );
    }
    assert!(live.wait_for_exit());
}

/// All pipelined requests that the host has read get responses, although responses already close their
/// connections by then.
#[test]
fn pipelined_requests_are_answered_before_the_shutdown() {
    let (node, _list, mut live) = one_manual_node();
    let mut idle = live.connect();
    let mut ask = |n: u64| {
        send(&mut idle, &request("read", &format!("a{n}"), 0, 1, 2900));
        node.next().respond("good");
        assert_eq!(answer(&mut idle).map(|a| a.0), Some(200));
    };
    ask(0);
    live.signal("-TERM");
    let signalled_at = Instant::now();
    // Late enough that the next request is still outstanding when connections start to be closed.
    (1..)
        .take_while(|_| signalled_at.elapsed() < ms(2400))
        .for_each(ask);
    let mut client = live.connect();
    let all: Vec<String> = (0..3)
        .map(|n| request("read", &format!("t{n}"), 0, 7 + n, 2900))
        .collect();
    send(&mut client, &all.concat());
    let mut attempt = node.next();
    // Once idle connections are closed, responses close their connections too.
    assert_eq!(idle.read(&mut [0; 8]).unwrap_or(0), 0);
    attempt.respond("good");
    std::thread::spawn(move || while node.respond_to_next() {});
    for n in 0..3 {
        let (_, head, _) = answer(&mut client).expect("each request gets a response");
        assert_eq!(head.contains("Connection: close"), n == 2, "{n}: {head}");
    }
    assert!(live.wait_for_exit());
}
