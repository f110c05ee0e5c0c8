//! Peers that misbehave on real sockets, each beside a client that must not notice.

use bytes::Bytes;
use grebecleat_host::server::{run, Handle, Options};
use grebecleat_settings::Settings;
use grebecleat_testbed::net::hello;
use grebecleat_testbed::serve::{self, Stage};
use grebecleat_wire::pb::{self, frame::Body, Outcome};
use grebecleat_wire::trace::Tracer;
use grebecleat_wire::{clock, frame};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{mpsc, Arc};
use std::time::Duration;

const SETTINGS: &str = r#"
zone(name = "a")
stream_type(name = "read", slo = ms(500), expiry = s(2), repeat = "repeatable", unit_work = ms(1))
stream_type(name = "write", slo = ms(500), expiry = s(2), repeat = "repeatable", write = True,
            unit_work = ms(1))
plan(name = "p", rate = 100000, reservation = 100000)
host(name = "h")
node(id = 1, zone = "a", cores = 4)
node(id = 2, zone = "a", cores = 4)
volume(id = 5, plan = "p")
node_list(lag = ms(10))
rules(answer_margin = ms(100))
bounds(patience = ms(400), most_unread = 262144)
"#;

fn peer_settings() -> Arc<Settings> {
    Arc::new(Settings::read("sockets.star".as_ref(), SETTINGS.into()).expect("good settings"))
}

/// A list, node 1 and a host; node 2 is the caller's to play. Answers where the list and the host
/// listen.
fn start() -> (SocketAddr, SocketAddr, Handle) {
    let settings = peer_settings();
    let stage = Stage {
        settings: settings.clone(),
        t0: clock::now(),
        tracer: Tracer::default(),
    };
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let list = listener.local_addr().unwrap();
    let lists = stage.clone();
    std::thread::spawn(move || serve::list(&lists, listener));
    let (ready, is_ready) = mpsc::channel();
    std::thread::spawn(move || serve::nodes(&stage, &[1], list, |n| ready.send(n).unwrap()));
    assert_eq!(is_ready.recv_timeout(Duration::from_secs(5)), Ok(1));
    let (up, is_up) = mpsc::channel();
    let options = Options {
        settings,
        host: 0,
        listen: ([127, 0, 0, 1], 0).into(),
        list,
        state: None,
        peers: Vec::new(),
        incarnation: 1,
        tracer: Tracer::default(),
        remember: None,
        seed: 3,
        workers: 2,
    };
    std::thread::spawn(move || run(options, |at, handle| up.send((at, handle)).unwrap()));
    let (host, handle) = is_up.recv_timeout(Duration::from_secs(5)).unwrap();
    // Until the list is known, everything is deferred.
    let mut c = Client::new(host);
    let known = (0..200).any(|_| {
        std::thread::sleep(Duration::from_millis(20));
        c.read(1) == Outcome::Completed
    });
    assert!(known, "the host never learnt of its node");
    (list, host, handle)
}

/// A client that waits for each answer.
struct Client {
    stream: TcpStream,
    reader: frame::Reader,
    next: u64,
}

impl Client {
    fn new(host: SocketAddr) -> Self {
        let stream = TcpStream::connect(host).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(5)))
            .unwrap();
        let mut c = Client {
            stream,
            reader: frame::Reader::new(1 << 20),
            next: 0,
        };
        c.put(Body::Hello(hello(pb::Role::Client, "c", 1)));
        assert!(matches!(c.get(), Body::Hello(_)));
        c
    }

    fn put(&mut self, body: Body) {
        let sent_us = clock::micros(clock::now());
        let mut bytes = Vec::new();
        frame::write(
            &pb::Frame {
                sent_us,
                body: Some(body),
            },
            &mut bytes,
        );
        self.stream.write_all(&bytes).unwrap();
    }

    fn get(&mut self) -> Body {
        loop {
            if let Some(f) = self.reader.next::<pb::Frame>().unwrap() {
                return f.body.unwrap();
            }
            assert!(
                self.reader.fill(&mut self.stream).unwrap() > 0,
                "the host hung up"
            );
        }
    }

    fn take(&mut self, shard: u32, write: bool, data: Bytes) -> Bytes {
        self.next += 1;
        let id = Bytes::from(format!(
            "{:036}",
            self.next + (u64::from(self.stream.local_addr().unwrap().port()) << 32)
        ));
        let take = pb::SubmitRequest {
            id: id.clone(),
            piece: id.clone(),
            traffic_class: u32::from(write),
            volume: 5,
            shard: Some(shard),
            units: 1.0,
            left_us: 2_000_000,
            extent: 7,
            length: 64 << 10,
            write,
            data,
            ..Default::default()
        };
        self.put(Body::SubmitRequest(take));
        id
    }

    fn read(&mut self, shard: u32) -> Outcome {
        let id = self.take(shard, false, Bytes::new());
        self.answer(&id).outcome()
    }

    fn answer(&mut self, id: &Bytes) -> pb::Response {
        loop {
            if let Body::Response(f) = self.get() {
                assert_eq!(f.id, id, "an answer to something else");
                return f;
            }
        }
    }
}

/// What a peer is left with once the host has hung up on it; nothing may be read before that but a
/// greeting.
fn hung_up(mut s: TcpStream) {
    s.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let mut bytes = Vec::new();
    let ended = s.read_to_end(&mut bytes);
    assert!(ended.is_ok() || ended.is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionReset));
}

#[test]
fn peers_that_break_the_wire_are_hung_up_on_and_others_go_on() {
    let (_, host, _) = start();
    let mut good = Client::new(host);
    let mut greeting = Vec::new();
    let body = Some(Body::Hello(hello(pb::Role::Client, "bad", 1)));
    frame::write(&pb::Frame { sent_us: 1, body }, &mut greeting);
    let mut wrong_version = Vec::new();
    let them = pb::Hello {
        version: 99,
        ..hello(pb::Role::Client, "bad", 1)
    };
    frame::write(
        &pb::Frame {
            sent_us: 1,
            body: Some(Body::Hello(them)),
        },
        &mut wrong_version,
    );
    let with = |more: &[u8]| [&greeting[..], more].concat();
    let mut broken = greeting.clone();
    *broken.last_mut().unwrap() ^= 1;
    let cases: [(&str, Vec<u8>); 8] = [
        ("silence", Vec::new()),
        ("garbage", vec![0x5a; 4096]),
        ("wrong version", wrong_version),
        ("wrong checksum", broken),
        ("4 GiB by its header", with(&[0xff; 8])),
        ("half a frame, then silence", with(&greeting[..10])),
        (
            "a frame that holds no message",
            with(&[1, 0, 0, 0, 0, 0, 0, 0, 9]),
        ),
        ("a message that clients do not send", with(&greeting)),
    ];
    for (what, bytes) in cases {
        let mut bad = TcpStream::connect(host).unwrap();
        bad.write_all(&bytes).unwrap();
        assert_eq!(good.read(1), Outcome::Completed, "beside {what}");
        hung_up(bad);
        assert_eq!(good.read(1), Outcome::Completed, "after {what}");
    }
}

#[test]
fn a_client_that_never_reads_its_answers_harms_nobody() {
    let (_, host, _) = start();
    let mut good = Client::new(host);
    let id = good.take(1, true, Bytes::from(vec![7; 64 << 10]));
    assert_eq!(good.answer(&id).outcome(), Outcome::Completed);
    let mut deaf = Client::new(host);
    deaf.stream
        .set_write_timeout(Some(Duration::from_millis(200)))
        .unwrap();
    // Far more answers than the bound and both sockets hold.
    for _ in 0..400 {
        deaf.next += 1;
        let id = Bytes::from(format!("{:036}", deaf.next + (1 << 60)));
        let take = pb::SubmitRequest {
            id: id.clone(),
            piece: id,
            volume: 5,
            shard: Some(1),
            units: 1.0,
            left_us: 2_000_000,
            extent: 7,
            length: 64 << 10,
            ..Default::default()
        };
        let mut bytes = Vec::new();
        let sent_us = clock::micros(clock::now());
        frame::write(
            &pb::Frame {
                sent_us,
                body: Some(Body::SubmitRequest(take)),
            },
            &mut bytes,
        );
        if deaf.stream.write_all(&bytes).is_err() {
            break;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    for _ in 0..20 {
        assert_eq!(good.read(1), Outcome::Completed);
    }
    hung_up(deaf.stream);
}

/// Announces a node 2 of ours to the list.
fn announce(list: SocketAddr, address: SocketAddr) -> TcpStream {
    let mut s = TcpStream::connect(list).unwrap();
    let entry = pb::Endpoint {
        node: 2,
        shard: 2,
        state: pb::NodeState::Ready.into(),
        address: address.to_string(),
        start: 1,
        ..Default::default()
    };
    let mut bytes = Vec::new();
    let hello = Body::Hello(hello(pb::Role::Node, "node-2", 1));
    for body in [
        hello,
        Body::AnnounceEndpoint(pb::AnnounceEndpoint {
            endpoint: Some(entry),
        }),
    ] {
        frame::write(
            &pb::Frame {
                sent_us: 1,
                body: Some(body),
            },
            &mut bytes,
        );
    }
    s.write_all(&bytes).unwrap();
    s
}

#[test]
fn a_node_that_accepts_and_never_reads_or_never_greets_stalls_nobody() {
    for greets in [true, false] {
        let (list, host, _) = start();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let _at_list = announce(list, listener.local_addr().unwrap());
        std::thread::spawn(move || {
            let mut kept = Vec::new();
            for mut s in listener.incoming().flatten() {
                if greets {
                    let mut bytes = Vec::new();
                    let body = Some(Body::Hello(hello(pb::Role::Node, "node-2", 1)));
                    frame::write(&pb::Frame { sent_us: 1, body }, &mut bytes);
                    let _ = s.write_all(&bytes);
                }
                kept.push(s);
            }
        });
        std::thread::sleep(Duration::from_millis(200));
        let (mut good, mut stuck) = (Client::new(host), Client::new(host));
        let big = Bytes::from(vec![1; 512 << 10]);
        let ids: Vec<Bytes> = (0..12).map(|_| stuck.take(2, true, big.clone())).collect();
        for _ in 0..30 {
            assert_eq!(good.read(1), Outcome::Completed, "greets: {greets}");
        }
        // Every request to it has its one answer, whatever lay in which buffer.
        let mut answered: Vec<Bytes> = ids
            .iter()
            .map(|_| match stuck.get() {
                Body::Response(f) => {
                    assert_ne!(f.outcome(), Outcome::Completed);
                    f.id
                }
                other => panic!("{other:?}"),
            })
            .collect();
        answered.sort();
        assert_eq!(answered, ids);
    }
}

#[test]
fn answers_nobody_waits_for_are_dropped() {
    let (list, host, _) = start();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let _at_list = announce(list, listener.local_addr().unwrap());
    // A node that answers each attempt three times, and attempts that were never sent.
    std::thread::spawn(move || {
        for mut s in listener.incoming().flatten() {
            let mut reader = frame::Reader::new(1 << 20);
            let mut out = Vec::new();
            let me = Body::Hello(hello(pb::Role::Node, "node-2", 1));
            frame::write(
                &pb::Frame {
                    sent_us: 1,
                    body: Some(me),
                },
                &mut out,
            );
            while s.write_all(&out).is_ok() && reader.fill(&mut s).is_ok_and(|n| n > 0) {
                out.clear();
                while let Ok(Some(f)) = reader.next::<pb::Frame>() {
                    let Some(Body::Attempt(l)) = f.body else {
                        continue;
                    };
                    for attempt in [l.attempt, l.attempt, l.attempt + 1000, l.attempt] {
                        let a = pb::AttemptResponse {
                            attempt,
                            result: pb::Result::Ok.into(),
                            ..Default::default()
                        };
                        frame::write(
                            &pb::Frame {
                                sent_us: 1,
                                body: Some(Body::AttemptResponse(a)),
                            },
                            &mut out,
                        );
                    }
                }
            }
        }
    });
    std::thread::sleep(Duration::from_millis(200));
    let mut c = Client::new(host);
    for _ in 0..50 {
        assert_eq!(c.read(2), Outcome::Completed);
        assert_eq!(c.read(1), Outcome::Completed);
    }
}
