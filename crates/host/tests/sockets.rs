//! Tests of peers that violate the protocol on real sockets, while another client is served and must not be
//! affected.

use bytes::Bytes;
use grebecleat_host::server::{run, Handle, Options};
use grebecleat_settings::Settings;
use grebecleat_testbed::net::hello;
use grebecleat_testbed::serve::{self, ScriptContext};
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
    Arc::new(
        Settings::read("sockets.star".as_ref(), SETTINGS.into()).expect("the settings are valid"),
    )
}

/// Starts discovery, node 1 and a host; the tests take the role of node 2. Returns the addresses of
/// discovery and of the host, and the handle of the host.
fn start() -> (SocketAddr, SocketAddr, Handle) {
    let settings = peer_settings();
    let context = ScriptContext {
        settings: settings.clone(),
        t0: clock::now(),
        tracer: Tracer::default(),
    };
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let list = listener.local_addr().unwrap();
    let lists = context.clone();
    std::thread::spawn(move || serve::run_discovery_service(&lists, listener));
    let (ready, is_ready) = mpsc::channel();
    std::thread::spawn(move || serve::run_nodes(&context, &[1], list, |n| ready.send(n).unwrap()));
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
    // Until the host has an endpoint list, it rejects every request.
    let mut client = Client::new(host);
    let known = (0..200).any(|_| {
        std::thread::sleep(Duration::from_millis(20));
        client.read(1) == Outcome::Completed
    });
    assert!(
        known,
        "the host completed no read by node 1 within 200 tries"
    );
    (list, host, handle)
}

/// Returns the bytes of a frame with this message.
fn encoded(body: Body) -> Vec<u8> {
    let frame = pb::Frame {
        sent_us: clock::micros(clock::now()),
        body: Some(body),
    };
    let mut bytes = Vec::new();
    frame::write(&frame, &mut bytes);
    bytes
}

fn read_request(id: Bytes, shard: u32) -> pb::SubmitRequest {
    pb::SubmitRequest {
        id: id.clone(),
        piece: id,
        volume: 5,
        shard: Some(shard),
        units: 1.0,
        left_us: 2_000_000,
        extent: 7,
        length: 64 << 10,
        ..Default::default()
    }
}

/// A client that waits for each response.
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
        let mut client = Client {
            stream,
            reader: frame::Reader::new(1 << 20),
            next: 0,
        };
        client.put(Body::Hello(hello(pb::Role::Client, "c", 1)));
        assert!(matches!(client.get(), Body::Hello(_)));
        client
    }

    fn put(&mut self, body: Body) {
        self.stream.write_all(&encoded(body)).unwrap();
    }

    fn get(&mut self) -> Body {
        loop {
            if let Some(frame) = self.reader.next::<pb::Frame>().unwrap() {
                return frame.body.unwrap();
            }
            let read = self.reader.fill(&mut self.stream).unwrap();
            assert!(read > 0, "the host closed the connection");
        }
    }

    fn submit(&mut self, shard: u32, write: bool, data: Bytes) -> Bytes {
        self.next += 1;
        let id = Bytes::from(format!(
            "{:036}",
            self.next + (u64::from(self.stream.local_addr().unwrap().port()) << 32)
        ));
        self.put(Body::SubmitRequest(pb::SubmitRequest {
            traffic_class: u32::from(write),
            write,
            data,
            ..read_request(id.clone(), shard)
        }));
        id
    }

    fn read(&mut self, shard: u32) -> Outcome {
        let id = self.submit(shard, false, Bytes::new());
        self.response(&id).outcome()
    }

    fn response(&mut self, id: &Bytes) -> pb::Response {
        loop {
            if let Body::Response(response) = self.get() {
                assert_eq!(response.id, id, "a response to another request");
                return response;
            }
        }
    }
}

/// Checks that the host closes the connection.
fn assert_closed(mut stream: TcpStream) {
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    let mut bytes = Vec::new();
    let ended = stream.read_to_end(&mut bytes);
    assert!(ended.is_ok() || ended.is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionReset));
}

#[test]
fn a_peer_that_violates_the_protocol_is_disconnected_and_others_are_served() {
    let (_, host, _) = start();
    let mut good = Client::new(host);
    let greeting = encoded(Body::Hello(hello(pb::Role::Client, "bad", 1)));
    let wrong_version = encoded(Body::Hello(pb::Hello {
        version: 99,
        ..hello(pb::Role::Client, "bad", 1)
    }));
    let with = |more: &[u8]| [&greeting[..], more].concat();
    let mut broken = greeting.clone();
    *broken.last_mut().unwrap() ^= 1;
    let cases: [(&str, Vec<u8>); 8] = [
        ("silence", Vec::new()),
        ("garbage", vec![0x5a; 4096]),
        ("wrong version", wrong_version),
        ("wrong checksum", broken),
        ("a header that announces 4 GiB", with(&[0xff; 8])),
        ("half a frame, then silence", with(&greeting[..10])),
        (
            "a frame that holds no message",
            with(&[1, 0, 0, 0, 0, 0, 0, 0, 9]),
        ),
        ("a message that clients do not send", with(&greeting)),
    ];
    for (case, bytes) in cases {
        let mut bad = TcpStream::connect(host).unwrap();
        bad.write_all(&bytes).unwrap();
        assert_eq!(good.read(1), Outcome::Completed, "beside {case}");
        assert_closed(bad);
        assert_eq!(good.read(1), Outcome::Completed, "after {case}");
    }
}

#[test]
fn a_client_that_never_reads_delays_nobody() {
    let (_, host, _) = start();
    let mut good = Client::new(host);
    let id = good.submit(1, true, Bytes::from(vec![7; 64 << 10]));
    assert_eq!(good.response(&id).outcome(), Outcome::Completed);
    let mut not_reading = Client::new(host);
    not_reading
        .stream
        .set_write_timeout(Some(Duration::from_millis(200)))
        .unwrap();
    // The responses exceed by far the bound and the buffers of both sockets.
    for _ in 0..400 {
        not_reading.next += 1;
        let id = Bytes::from(format!("{:036}", not_reading.next + (1 << 60)));
        let bytes = encoded(Body::SubmitRequest(read_request(id, 1)));
        if not_reading.stream.write_all(&bytes).is_err() {
            break;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    for _ in 0..20 {
        assert_eq!(good.read(1), Outcome::Completed);
    }
    assert_closed(not_reading.stream);
}

/// Announces node 2 to discovery.
fn announce(list: SocketAddr, address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(list).unwrap();
    let endpoint = pb::Endpoint {
        node: 2,
        shard: 2,
        state: pb::NodeState::Ready.into(),
        address: address.to_string(),
        start: 1,
        ..Default::default()
    };
    let greeting = encoded(Body::Hello(hello(pb::Role::Node, "node-2", 1)));
    let endpoint = Some(endpoint);
    let announcement = encoded(Body::AnnounceEndpoint(pb::AnnounceEndpoint { endpoint }));
    stream
        .write_all(&[greeting, announcement].concat())
        .unwrap();
    stream
}

#[test]
fn a_node_that_never_reads_or_never_greets_delays_nobody() {
    for greets in [true, false] {
        let (list, host, _) = start();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let _at_list = announce(list, listener.local_addr().unwrap());
        std::thread::spawn(move || {
            let mut open = Vec::new();
            for mut stream in listener.incoming().flatten() {
                if greets {
                    let greeting = Body::Hello(hello(pb::Role::Node, "node-2", 1));
                    let _ = stream.write_all(&encoded(greeting));
                }
                open.push(stream);
            }
        });
        std::thread::sleep(Duration::from_millis(200));
        let mut good = Client::new(host);
        let mut stuck = Client::new(host);
        let big = Bytes::from(vec![1; 512 << 10]);
        let ids: Vec<Bytes> = (0..12)
            .map(|_| stuck.submit(2, true, big.clone()))
            .collect();
        for _ in 0..30 {
            assert_eq!(good.read(1), Outcome::Completed, "greets: {greets}");
        }
        // Every request to node 2 has one response, whichever buffer its attempt was in.
        let mut answered: Vec<Bytes> = ids
            .iter()
            .map(|_| match stuck.get() {
                Body::Response(response) => {
                    assert_ne!(response.outcome(), Outcome::Completed);
                    response.id
                }
                other => panic!("{other:?}"),
            })
            .collect();
        answered.sort();
        assert_eq!(answered, ids);
    }
}

/// Returns three responses to an attempt, and one to an attempt that was never sent.
fn stray_responses_to(attempt: u64) -> Vec<u8> {
    let response = |attempt| {
        encoded(Body::AttemptResponse(pb::AttemptResponse {
            attempt,
            result: pb::Result::Ok.into(),
            ..Default::default()
        }))
    };
    [attempt, attempt, attempt + 1000, attempt]
        .map(response)
        .concat()
}

#[test]
fn stray_responses_are_dropped() {
    let (list, host, _) = start();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let _at_list = announce(list, listener.local_addr().unwrap());
    // Node 2 responds three times to each attempt, and once to an attempt that was never sent.
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut reader = frame::Reader::new(1 << 20);
            let mut bytes = encoded(Body::Hello(hello(pb::Role::Node, "node-2", 1)));
            while stream.write_all(&bytes).is_ok() && reader.fill(&mut stream).is_ok_and(|n| n > 0)
            {
                bytes.clear();
                while let Ok(Some(frame)) = reader.next::<pb::Frame>() {
                    if let Some(Body::Attempt(attempt)) = frame.body {
                        bytes.extend(stray_responses_to(attempt.attempt));
                    }
                }
            }
        }
    });
    std::thread::sleep(Duration::from_millis(200));
    let mut client = Client::new(host);
    for _ in 0..50 {
        assert_eq!(client.read(2), Outcome::Completed);
        assert_eq!(client.read(1), Outcome::Completed);
    }
}
