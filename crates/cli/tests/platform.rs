//! `grebecleat platform` as a process on loopback, with a stub discovery service and scripted nodes.
//!
//! Assertions rest on what crossed the sockets: each node records every complete request.

mod rig;

use rig::live::*;
use rig::{answer, ms};
use serde_json::json;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::process::Command;
use std::thread::sleep;
use std::time::{Duration, Instant};

#[test]
fn a_request_and_its_response_are_forwarded_unchanged() {
    let (node, _list, live) = one_node(|_| respond_with(OK_RESPONSE));
    let mut stream = TcpStream::connect(live.address).unwrap();
    for n in 0..3 {
        stream
            .write_all(request("row", &format!("t{n}"), 0, 7, 2500).as_bytes())
            .unwrap();
        let (status, _, body) = answer(&mut stream).unwrap();
        assert_eq!((status, &body[..]), (200, &b"good"[..]));
    }
    let seen = received_requests(&node);
    assert_eq!(
        (seen.len(), *node.connections.lock().unwrap()),
        (3, 1),
        "one connection serves them in turn"
    );
    for (n, text) in seen.iter().enumerate() {
        assert!(
            text.starts_with("PUT /row/0000000000000007?q=1 HTTP/1.1\r\n")
                && text.ends_with("\r\n\r\nhi")
        );
        assert!(
            text.contains(&format!("X-Txn: t{n}\r\n"))
                && text.contains(&format!("Idempotency-Key: kt{n}\r\n"))
        );
        let left = text
            .split("X-Remaining-Ms: ")
            .nth(1)
            .unwrap()
            .split("\r\n")
            .next()
            .unwrap();
        assert!((1..=2500).contains(&left.parse::<u64>().unwrap()));
    }
}

/// An attempt that provably never ran may be retried or deferred in any traffic class. If it may have run,
/// a non-idempotent request must not be retried.
#[test]
fn a_non_idempotent_request_is_retried_only_after_proof_that_the_attempt_never_ran() {
    let stalled = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\ngood";
    let huge = "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\ngood";
    let both = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\ngood";
    let cases: [(&str, ScriptedResponse, &[u16], usize); 9] = [
        (
            "rejected, then completed",
            respond_with(REJECTED_RESPONSE),
            &[200],
            2,
        ),
        (
            "503 without its header",
            respond_with("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"),
            &[502],
            1,
        ),
        (
            "500",
            respond_with("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"),
            &[502],
            1,
        ),
        (
            "closes after it received the complete request",
            ScriptedResponse::SendAndClose(Vec::new()),
            &[502],
            1,
        ),
        (
            "noise",
            respond_with("~~~ no answer ~~~\r\n\r\n"),
            &[502],
            1,
        ),
        ("a truncated response", respond_with(stalled), &[502], 1),
        ("a response of 3 GB", respond_with(huge), &[502], 1),
        ("both lengths", respond_with(both), &[502], 1),
        (
            "no length",
            respond_with("HTTP/1.1 200 OK\r\n\r\ngood"),
            &[502],
            1,
        ),
    ];
    for (what, response, expected, attempts) in cases {
        let (node, _list, live) = one_node(move |n| {
            if n == 0 {
                response.clone()
            } else {
                respond_with(OK_RESPONSE)
            }
        });
        let status = live
            .status_of(&request("once", "t", 0, 7, 2500))
            .expect(what);
        assert!(expected.contains(&status), "{what}: {status}");
        assert_eq!(received_requests(&node).len(), attempts, "{what}");
        // The host still serves requests.
        assert_eq!(
            live.status_of(&request("once", "u", 0, 8, 2500)),
            Some(200),
            "{what}"
        );
    }
}

#[test]
fn a_complete_response_counts_whatever_precedes_and_follows_it() {
    let early =
        format!("HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n{OK_RESPONSE}");
    let chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\ngo\r\n2\r\nod\r\n0\r\n\r\n"
            .to_string();
    let unread = "HTTP/1.1 200 OK\r\nX-Iops-Used: much\r\nX-Rho: \r\nContent-Length: 4\r\n\r\ngood"
        .to_string();
    let cases = [
        early,
        format!("{OK_RESPONSE}{OK_RESPONSE}"),
        format!("{OK_RESPONSE}~~~"),
        chunked,
        unread,
    ];
    for text in cases {
        let response = text.clone();
        let (_node, _list, live) = one_node(move |_| respond_with(&response));
        for n in 0..3 {
            let mut stream = TcpStream::connect(live.address).unwrap();
            stream
                .write_all(request("once", &format!("t{n}"), 0, n, 2500).as_bytes())
                .unwrap();
            let (status, _, body) = answer(&mut stream).expect(&text);
            assert_eq!((status, &body[..]), (200, &b"good"[..]), "{text}");
        }
    }
}

/// The platform's pages state a maximum of 64 KiB, but nodes have sent three times that.
#[test]
fn a_large_response_is_forwarded_completely_and_its_connection_stays_open() {
    let data: String = (0..200_000)
        .map(|n| char::from(b'a' + (n % 23) as u8))
        .collect();
    let text = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{data}",
        data.len()
    );
    let (node, _list, live) = one_node(move |_| respond_with(&text));
    for n in 0..4 {
        let mut stream = TcpStream::connect(live.address).unwrap();
        stream
            .write_all(request("read", &format!("t{n}"), 0, n, 2500).as_bytes())
            .unwrap();
        sleep(ms(50)); // more data waits than the socket buffer holds
        let (status, _, body) = answer(&mut stream).unwrap();
        assert!(
            status == 200 && body == data.as_bytes(),
            "{status}, {} bytes",
            body.len()
        );
    }
    assert_eq!(*node.connections.lock().unwrap(), 1);
}

#[test]
fn a_shed_request_is_answered_with_retry_after() {
    // No node holds shard 5.
    let (node, _list, live) = one_node(|_| respond_with(OK_RESPONSE));
    let mut stream = TcpStream::connect(live.address).unwrap();
    let began = Instant::now();
    stream
        .write_all(request("once", "t", 5, 7, 2500).as_bytes())
        .unwrap();
    let (status, head, _) = answer(&mut stream).unwrap();
    assert!(
        status == 503 && head.contains("Retry-After: 0.500"),
        "{status} {head}"
    );
    assert!(
        began.elapsed() < ms(2000),
        "rejected only near its deadline"
    );
    assert_eq!(received_requests(&node), Vec::<String>::new());
}

#[test]
fn a_malformed_request_gets_a_client_error_and_reaches_no_node() {
    let (node, _list, live) = one_node(|_| respond_with(OK_RESPONSE));
    let good = request("once", "t", 0, 7, 2500);
    let change = |from: &str, to: &str| good.replacen(from, to, 1);
    let cases = [
        "noise without any sense\r\n\r\n".to_string(),
        format!("GET /{} HTTP/1.1\r\n\r\n", "x".repeat(20_000)),
        change("Content-Length: 2", "Content-Length: 60000000"),
        change(
            "Content-Length: 2",
            "Content-Length: 2\r\nTransfer-Encoding: chunked",
        ),
        change("Content-Length: 2", "Content-Length: -2"),
        change(
            "Content-Length: 2",
            "Content-Length: 2\r\nContent-Length: 40",
        ),
        change("/once/", "/never/"),
        change("gold", "lead"),
        change("2500", "soon"),
        change("X-Txn: t\r\n", ""),
    ];
    for text in &cases {
        let status = live.status_of(text).unwrap_or(400);
        assert!(
            (400..500).contains(&status) && status != 429,
            "{status}: {:.80}",
            text
        );
    }
    // After half a request, or none at all, the host must send an error or close within three seconds.
    let began = Instant::now();
    let mut half = TcpStream::connect(live.address).unwrap();
    half.write_all(&good.as_bytes()[..60]).unwrap();
    let mut silent = TcpStream::connect(live.address).unwrap();
    half.set_read_timeout(Some(Duration::from_secs(8))).unwrap();
    silent
        .set_read_timeout(Some(Duration::from_secs(8)))
        .unwrap();
    assert_eq!(answer(&mut half).map(|a| a.0), Some(408));
    assert_eq!(silent.read(&mut [0; 8]).unwrap_or(0), 0);
    assert!(began.elapsed() < Duration::from_secs(8));
    assert_eq!(received_requests(&node), Vec::<String>::new());
    assert_eq!(live.status_of(&good), Some(200));
}

#[test]
fn an_id_of_an_open_request_is_rejected_and_the_open_request_continues() {
    let (node, _list, live) =
        one_node(|_| ScriptedResponse::SendAfter(ms(400), OK_RESPONSE.into()));
    let text = request("once", "same", 0, 7, 2500);
    let mut first = TcpStream::connect(live.address).unwrap();
    first.write_all(text.as_bytes()).unwrap();
    sleep(ms(100));
    assert_eq!(live.status_of(&text), Some(409));
    assert_eq!(answer(&mut first).map(|a| a.0), Some(200));
    assert_eq!(received_requests(&node).len(), 1);
}

#[test]
fn requests_of_one_key_run_one_at_a_time() {
    let (node, _list, live) = one_node(|_| ScriptedResponse::SendAfter(ms(60), OK_RESPONSE.into()));
    let mut streams: Vec<TcpStream> = (0..4)
        .map(|_| TcpStream::connect(live.address).unwrap())
        .collect();
    for (n, s) in streams.iter_mut().enumerate() {
        s.write_all(request("row", &format!("t{n}"), 0, 7, 2500).as_bytes())
            .unwrap();
        sleep(ms(5));
    }
    let statuses: Vec<_> = streams.iter_mut().map(|s| answer(s).map(|a| a.0)).collect();
    assert_eq!(statuses, [Some(200); 4]);
    assert_eq!(
        *node.connections.lock().unwrap(),
        1,
        "attempts ran in parallel"
    );
    let ids: Vec<bool> = received_requests(&node)
        .iter()
        .zip(0..)
        .map(|(s, n)| s.contains(&format!("X-Txn: t{n}\r\n")))
        .collect();
    assert_eq!(ids, [true; 4], "in the order they came");
}

#[test]
fn a_drained_node_gets_no_new_attempt_and_a_reload_moves_to_another_discovery() {
    let (old, list, live) = one_node(|_| respond_with(OK_RESPONSE));
    assert_eq!(live.status_of(&request("once", "a", 0, 1, 2500)), Some(200));
    let new = node(|_| respond_with(OK_RESPONSE));
    // The complete list no longer contains the node, and has another one in its place.
    list.publish(json!([target("s-2", &new, 0, "ready")]));
    sleep(ms(700));
    assert_eq!(live.status_of(&request("once", "b", 0, 2, 2500)), Some(200));
    assert_eq!(
        (received_requests(&old).len(), received_requests(&new).len()),
        (1, 1)
    );
    // An invalid file changes nothing.
    std::fs::write(&live.config, "{ \"name\": ").unwrap();
    live.signal("-HUP");
    sleep(ms(200));
    assert_eq!(live.status_of(&request("once", "c", 0, 3, 2500)), Some(200));
    let third = node(|_| respond_with(OK_RESPONSE));
    let other = start_discovery(json!([
        target("s-2", &new, 0, "draining"),
        target("s-3", &third, 0, "ready")
    ]));
    write_config(
        &live.config,
        "n1",
        live.address,
        other.address,
        live.sockets,
        settings(),
    );
    live.signal("-HUP");
    sleep(ms(900));
    assert_eq!(
        other.calls.lock().unwrap()[0],
        "/registry/instances",
        "the complete list of the new service"
    );
    assert_eq!(live.status_of(&request("once", "d", 0, 4, 2500)), Some(200));
    assert_eq!(
        (
            received_requests(&new).len(),
            received_requests(&third).len()
        ),
        (2, 1)
    );
}

#[test]
fn after_sigterm_the_host_continues_to_serve_answers_open_requests_and_ends() {
    let (_node, _list, mut live) =
        one_node(|_| ScriptedResponse::SendAfter(ms(900), OK_RESPONSE.into()));
    let mut open = TcpStream::connect(live.address).unwrap();
    open.write_all(request("once", "a", 0, 1, 2500).as_bytes())
        .unwrap();
    sleep(ms(50));
    live.signal("-TERM");
    let signalled_at = Instant::now();
    sleep(ms(200));
    let mut late = TcpStream::connect(live.address).expect("new connections are still accepted");
    late.write_all(request("once", "b", 0, 2, 2500).as_bytes())
        .unwrap();
    assert_eq!(answer(&mut open).map(|a| a.0), Some(200));
    assert_eq!(answer(&mut late).map(|a| a.0), Some(200));
    // Clients may keep using their open connections until shortly before the host may be killed: 3 s and
    // 0.7 s after the signal.
    sleep(ms(2400).saturating_sub(signalled_at.elapsed()));
    open.write_all(request("once", "c", 0, 3, 2500).as_bytes())
        .unwrap();
    let (status, head, _) = answer(&mut open).unwrap();
    assert!(
        status == 200 && head.contains("Connection: close"),
        "{head}"
    );
    assert!(signalled_at.elapsed() < ms(3700));
    assert!(live.wait_for_exit());
}

#[test]
fn silent_clients_do_not_block_others() {
    let node = node(|_| respond_with(OK_RESPONSE));
    let list = start_discovery(json!([target("s-1", &node, 0, "ready")]));
    let live = HostProcess::start(&list, 64);
    let silent: Vec<TcpStream> = (0..200)
        .filter_map(|_| TcpStream::connect(live.address).ok())
        .collect();
    for n in 0..5 {
        assert_eq!(
            live.status_of(&request("once", &format!("t{n}"), 0, n, 2500)),
            Some(200)
        );
    }
    let fds = std::fs::read_dir(format!("/proc/{}/fd", live.child.id()))
        .unwrap()
        .count();
    assert!(fds <= 64, "{fds} descriptors");
    silent.iter().for_each(|s| _ = s.shutdown(Shutdown::Both));
}

/// Clients that send one request and keep the connection must not block others from connecting.
#[test]
fn of_many_clients_that_stay_the_most_recent_are_retained() {
    let node = node(|_| respond_with(OK_RESPONSE));
    let list = start_discovery(json!([target("s-1", &node, 0, "ready")]));
    let live = HostProcess::start(&list, 100);
    let mut stay: Vec<TcpStream> = (0..30)
        .map(|n| {
            let mut stream = TcpStream::connect(live.address).unwrap();
            stream
                .write_all(request("read", &format!("t{n}"), 0, n, 2500).as_bytes())
                .unwrap();
            assert_eq!(answer(&mut stream).map(|a| a.0), Some(200));
            stream
        })
        .collect();
    sleep(ms(300));
    let open = |s: &mut TcpStream| {
        s.set_read_timeout(Some(ms(1))).unwrap();
        !matches!(s.read(&mut [0; 8]), Ok(0))
    };
    let open: Vec<bool> = stay.iter_mut().map(open).collect();
    let wanted: Vec<bool> = (0..30).map(|n| n >= 10).collect();
    assert_eq!(open, wanted, "a fifth of 100");
}

#[test]
fn a_faulty_start_says_where_the_fault_is_and_ends_with_2() {
    let program = env!("CARGO_BIN_EXE_grebecleat");
    let path = std::env::temp_dir().join(format!("grebecleat-bad-{}.json", std::process::id()));
    let cases: BTreeMap<&str, &str> = [
        ("{", "is no JSON"),
        ("{\"name\": 3}", "name: expected a text, found 3"),
        (
            "{\"name\": \"a\", \"listen\": \"x\"}",
            "listen: expected an address and port, found x",
        ),
    ]
    .into();
    for (text, told) in cases {
        std::fs::write(&path, text).unwrap();
        let out = Command::new(program)
            .arg("platform")
            .env("LB_CONFIG", &path)
            .output()
            .unwrap();
        let said = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(
            out.status.code() == Some(2) && said.contains(told),
            "{said}"
        );
        assert!(
            said.contains(&path.display().to_string()) && said.trim().lines().count() == 1,
            "{said}"
        );
    }
    let out = Command::new(program)
        .arg("platform")
        .env_remove("LB_CONFIG")
        .output()
        .unwrap();
    assert_eq!(out.status.code(), Some(2));
    let _ = std::fs::remove_file(path);
}

/// If a host pinned itself to one processor, all hosts on the machine would wait for whatever keeps that
/// processor busy.
#[test]
fn no_thread_is_restricted_to_fewer_processors_than_the_process() {
    let (_node, _list, live) = one_node(|_| respond_with(OK_RESPONSE));
    let allowed = |path: std::path::PathBuf| {
        let status = std::fs::read_to_string(path.join("status")).unwrap();
        status
            .lines()
            .find(|l| l.starts_with("Cpus_allowed:"))
            .unwrap()
            .to_string()
    };
    let whole = allowed("/proc/self".into());
    let tasks = std::fs::read_dir(format!("/proc/{}/task", live.child.id())).unwrap();
    let all: Vec<String> = tasks.map(|t| allowed(t.unwrap().path())).collect();
    assert!(
        all.len() >= 3 && all.iter().all(|a| *a == whole),
        "{whole}, threads: {all:?}"
    );
}
