//! iSCSI over TCP through the whole program, from initiator over portal and scheduler to the nodes, also
//! after the host is killed.

mod process;

use bytes::Bytes;
use grebecleat_iscsi::pdu::{self, Digests, Header, Opcode, Pdu};
use grebecleat_testbed::initiator::{cdb16, Initiator, LoginParameters};
use grebecleat_testbed::net::{self, PeerConnection, PeerEvent};
use grebecleat_testbed::versions::Versions;
use grebecleat_wire::clock;
use grebecleat_wire::pb::{self, frame::Body};
use process::Started;
use std::collections::BTreeMap;
use std::fs;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::mpsc;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_grebecleat");
const NAME: &str = "iqn.2026-12.org.example:bookings";

fn start(args: &[&str]) -> Started {
    process::start(Command::new(PROGRAM).args(args), Stdio::null())
}

/// Last part of the next portal's IP address.
static NEXT: AtomicU8 = AtomicU8::new(1);

/// A site of three nodes, with a portal on an IP address of its own.
struct Site {
    dir: PathBuf,
    script: String,
    portal: SocketAddr,
    list: Started,
    _nodes: Option<Started>,
}

impl Site {
    fn new(name: &str) -> Self {
        Site::with(name, true)
    }

    /// Starts a site. If `nodes` is false, the test acts as the nodes.
    fn with(name: &str, nodes: bool) -> Self {
        let dir =
            std::env::temp_dir().join(format!("grebecleat-iscsi-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(&dir).unwrap();
        // On the address that all dial from, somebody's outgoing connection may have the port by
        // then.
        let own = NEXT.fetch_add(1, Ordering::SeqCst);
        let own = Ipv4Addr::new(127, 10, (std::process::id() % 250) as u8, own);
        let portal = TcpListener::bind((own, 0)).unwrap().local_addr().unwrap();
        let text = format!(
            r#"
zone(name = "a")
stream_type(name = "read", slo = s(1), expiry = s(3), repeat = "repeatable", unit_work = ms(1))
stream_type(name = "write", slo = s(1), expiry = s(3), repeat = "repeatable", ordered = True, write = True,
            unit_work = ms(1))
plan(name = "p", rate = 10000, reservation = 10000)
host(name = "h")
for i in range(3):
    node(id = i + 1, zone = "a", cores = 4)
volume(id = 100, plan = "p", blocks = 65536)
volume(id = 101, plan = "p", blocks = 65536)
node_list(lag = ms(10))
units(mean = 2, largest = 8)
portal(listen = "{portal}", read = "read", write = "write", large_read = "read")
target(name = "{NAME}", volumes = [100, 101], chap_name = "alice", chap_secret = "a secret of sixteen")
"#
        );
        let script = dir.join("site.star");
        fs::write(&script, text).unwrap();
        let script = script.to_str().unwrap().to_string();
        let list = start(&["discovery-service", &script, "--listen", "127.0.0.1:0"]);
        let _nodes = nodes.then(|| start(&["node", &script, "--list", &list.1]));
        Site {
            dir,
            script,
            portal,
            list,
            _nodes,
        }
    }

    fn host(&self) -> Started {
        let (places, trace) = (self.dir.join("places"), self.dir.join("h.trace"));
        let path = |p: &Path| p.to_str().unwrap().to_string();
        let args = [
            "run",
            &self.script,
            "--list",
            &self.list.1,
            "--listen",
            "127.0.0.1:0",
        ];
        start(
            &[
                &args[..],
                &["--store", &path(&places), "--trace", &path(&trace)],
            ]
            .concat(),
        )
    }

    fn initiator(&self, isid: u8, digests: bool) -> Initiator {
        let chap = Some(("alice".to_string(), "a secret of sixteen".to_string()));
        let parameters = LoginParameters {
            initiator: "iqn.client".into(),
            target: NAME.into(),
            isid,
            digests,
            chap,
        };
        let mut i = Initiator::login(self.portal, &parameters).expect("login");
        for lun in 0..2 {
            assert_eq!(
                i.command(lun, &[0], &[], 0).unwrap().sense.0,
                6,
                "the unit came up"
            );
        }
        i
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.dir);
    }
}

fn pattern(seed: u32, blocks: usize) -> Vec<u8> {
    (0..blocks * 512)
        .map(|i| (i as u32 / 64).wrapping_mul(31).wrapping_add(seed) as u8)
        .collect()
}

/// Writes, and repeats the command while its status is BUSY.
fn write(i: &mut Initiator, lun: u64, lba: u64, data: &[u8]) {
    for _ in 0..200 {
        match i.write(lun, lba, data).unwrap() {
            a if a.status == 0 => return,
            a => assert_eq!(a.status, 8, "{a:?}"),
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    panic!("never written");
}

fn read(i: &mut Initiator, lun: u64, lba: u64, blocks: u32) -> Vec<u8> {
    for _ in 0..200 {
        match i.read(lun, lba, blocks).unwrap() {
            a if a.status == 0 => return a.data,
            a => assert_eq!(a.status, 8, "{a:?}"),
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    panic!("never read");
}

#[test]
fn acknowledged_writes_are_read_back_after_the_host_was_killed() {
    let site = Site::new("restart");
    let host = site.host();
    let writes: Vec<(u64, u64, Vec<u8>)> = (0..24)
        .map(|n| {
            (
                u64::from(n) % 2,
                u64::from(n) * 300,
                pattern(n, 1 + n as usize * 16),
            )
        })
        .collect();
    let mut i = site.initiator(1, true);
    assert_eq!(
        i.command(0, &[0x25], &[], 8).unwrap().data,
        [0, 0, 0xff, 0xff, 0, 0, 2, 0]
    );
    assert_eq!(
        i.command(5, &[0x25], &[], 8).unwrap().sense,
        (5, 0x25, 0),
        "no such unit"
    );
    for (lun, lba, data) in &writes {
        write(&mut i, *lun, *lba, data);
    }
    for (lun, lba, data) in &writes {
        assert!(
            read(&mut i, *lun, *lba, (data.len() / 512) as u32) == *data,
            "before"
        );
    }
    drop(host); // SIGKILL
    let _host = site.host();
    let mut i = site.initiator(1, false);
    for (lun, lba, data) in &writes {
        assert!(
            read(&mut i, *lun, *lba, (data.len() / 512) as u32) == *data,
            "after"
        );
    }
    assert_eq!(
        read(&mut i, 0, 60_000, 4),
        vec![0; 2048],
        "nobody wrote there"
    );
    assert_eq!(i.unexpected_responses, 0);
}

#[test]
fn each_of_many_outstanding_commands_on_several_sessions_has_one_response() {
    let site = Site::new("many");
    let _host = site.host();
    std::thread::scope(|s| {
        for n in 0..4u8 {
            let site = &site;
            s.spawn(move || {
                let mut i = site.initiator(n, n % 2 == 0);
                let base = u64::from(n) * 8000;
                let (mut open, mut answered, mut good) = (Vec::new(), 0, 0);
                for k in 0..200u64 {
                    let data = pattern(k as u32, 8);
                    open.push(
                        i.submit(0, &cdb16(0x8a, base + k * 8, 8), &data, 0)
                            .unwrap(),
                    );
                    while open.len() > 16 {
                        let (itt, answer) = i.any().unwrap();
                        open.retain(|o| *o != itt);
                        answered += 1;
                        good += u32::from(answer.status == 0);
                    }
                }
                while !open.is_empty() {
                    let (itt, answer) = i.any().unwrap();
                    open.retain(|o| *o != itt);
                    answered += 1;
                    good += u32::from(answer.status == 0);
                }
                assert_eq!((answered, i.unexpected_responses), (200, 0));
                assert!(good > 100, "{good} of 200 good");
            });
        }
    });
}

#[test]
fn an_initiator_that_fails_authentication_is_rejected() {
    let site = Site::new("chap");
    let _host = site.host();
    let parameters = |chap: Option<(&str, &str)>| LoginParameters {
        initiator: "iqn.client".into(),
        target: NAME.into(),
        isid: 1,
        digests: false,
        chap: chap.map(|(n, s)| (n.to_string(), s.to_string())),
    };
    for chap in [
        None,
        Some(("alice", "the wrong secret")),
        Some(("bob", "a secret of sixteen")),
    ] {
        let refused = Initiator::login(site.portal, &parameters(chap))
            .err()
            .expect("refused")
            .to_string();
        assert!(refused.contains("0201"), "{refused}");
    }
    site.initiator(1, true);
}

/// A node that holds back the write that contains a certain byte, until the test tells it to execute it.
struct SlowNode {
    heard: mpsc::Receiver<PeerEvent>,
    lines: BTreeMap<u64, PeerConnection>,
    kept: BTreeMap<(u64, u64), (Vec<u8>, Versions)>,
    held: Vec<pb::Attempt>,
}

const KEPT_BACK: u8 = 0xee;

impl SlowNode {
    fn new(list: &str) -> Self {
        let (to, heard) = mpsc::channel();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let me = net::hello(pb::Role::Node, "node-1", 1);
        net::listen(
            listener,
            1,
            me.clone(),
            Default::default(),
            Default::default(),
            to.clone(),
        );
        net::dial(list.parse().unwrap(), 0, me, Default::default(), to).unwrap();
        let PeerEvent::Connected { connection, .. } = heard.recv().unwrap() else {
            panic!("the list greets")
        };
        let state = pb::NodeState::Ready.into();
        let entry = Some(pb::Endpoint {
            node: 1,
            shard: 1,
            state,
            address,
            start: 1,
            ..Default::default()
        });
        connection.send(Body::AnnounceEndpoint(pb::AnnounceEndpoint {
            endpoint: entry,
        }));
        SlowNode {
            heard,
            lines: BTreeMap::from([(0, connection)]),
            kept: BTreeMap::new(),
            held: Vec::new(),
        }
    }

    /// Serves as a node for a time, or until it holds back this many writes.
    fn work(&mut self, span: Duration, until_held: usize) {
        let end = clock::now() + span;
        while self.held.len() < until_held {
            match self.heard.recv_timeout(end.saturating_sub(clock::now())) {
                Ok(PeerEvent::Connected {
                    conn, connection, ..
                }) => drop(self.lines.insert(conn, connection)),
                Ok(PeerEvent::Closed { conn, .. }) => drop(self.lines.remove(&conn)),
                Ok(PeerEvent::Frame {
                    conn,
                    body: Body::Attempt(attempt),
                    ..
                }) => {
                    if attempt.data.first() == Some(&KEPT_BACK) {
                        self.held.push(attempt);
                        continue;
                    }
                    let (data, superseded) = self.carry_out(&attempt);
                    let result = pb::Result::Ok.into();
                    let answer = pb::AttemptResponse {
                        attempt: attempt.attempt,
                        result,
                        data,
                        superseded,
                        ..Default::default()
                    };
                    self.lines
                        .get(&conn)
                        .into_iter()
                        .for_each(|l| l.send(Body::AttemptResponse(answer.clone())));
                }
                Ok(_) => {}
                Err(_) => return,
            }
        }
    }

    fn carry_out(&mut self, attempt: &pb::Attempt) -> (Bytes, Option<u64>) {
        let (bytes, versions) = self
            .kept
            .entry((attempt.volume, attempt.extent))
            .or_default();
        let (at, end) = (
            attempt.offset.unwrap_or(0),
            attempt.offset.unwrap_or(0) + attempt.length,
        );
        bytes.resize(bytes.len().max(end as usize), 0);
        if !attempt.write {
            return (
                Bytes::copy_from_slice(&bytes[at as usize..end as usize]),
                None,
            );
        }
        let (parts, newer) =
            versions.write(at, end, attempt.version.expect("a write has a version"));
        for (from, to) in parts {
            let data = &attempt.data[(from - at) as usize..(to - at) as usize];
            bytes[from as usize..to as usize].copy_from_slice(data);
        }
        (Bytes::new(), newer)
    }

    /// Serves as a node until the given function returns.
    fn serve<T: Send>(&mut self, other: impl FnOnce() -> T + Send) -> T {
        std::thread::scope(|s| {
            let other = s.spawn(other);
            while !other.is_finished() {
                self.work(Duration::from_millis(5), usize::MAX);
            }
            other.join().unwrap()
        })
    }
}

/// One attempt is delayed. Meanwhile its command is aborted or its host killed, and newer writes of the same
/// blocks are acknowledged. Then the delayed attempt runs.
#[test]
fn an_attempt_that_runs_late_never_overwrites_a_newer_acknowledged_write() {
    let site = Site::with("late", false);
    let mut node = SlowNode::new(&site.list.1);
    let host = site.host();
    let block = |v: u8| vec![v; 1024];
    let mut i = node.serve(|| {
        let mut i = site.initiator(1, false);
        write(&mut i, 0, 8, &block(1));
        i
    });
    // The initiator aborts the command, and then writes newer data.
    let old = i
        .submit(0, &cdb16(0x8a, 8, 2), &block(KEPT_BACK), 0)
        .unwrap();
    i.flush().unwrap();
    node.work(Duration::from_secs(5), 1);
    assert_eq!(node.held.len(), 1, "the node holds the attempt");
    let mut i = node.serve(|| {
        assert!(i.abort(old).unwrap(), "the command was already answered");
        write(&mut i, 0, 8, &block(2));
        i
    });
    let late = node.held.remove(0);
    assert!(
        node.carry_out(&late).1.is_some(),
        "it finds something newer"
    );
    let mut i = node.serve(|| {
        assert!(read(&mut i, 0, 8, 2) == block(2), "the late write shows");
        i
    });
    // The host is killed while the attempt is at the node. After its restart it knows nothing of it.
    i.submit(0, &cdb16(0x8a, 8, 2), &block(KEPT_BACK), 0)
        .unwrap();
    i.flush().unwrap();
    node.work(Duration::from_secs(5), 1);
    assert_eq!(node.held.len(), 1);
    drop(host);
    let _host = site.host();
    let late = node.held.remove(0);
    node.serve(|| {
        let mut i = site.initiator(1, false);
        write(&mut i, 0, 8, &block(3));
    });
    assert!(node.carry_out(&late).1.is_some());
    node.serve(|| assert!(read(&mut site.initiator(2, true), 0, 8, 2) == block(3)));
}

/// Sends bytes that are no PDU, wrong digests, excessive lengths and keys, and logins that never finish.
/// Each is rejected or its connection closed, and another session continues.
#[test]
fn initiators_that_violate_the_protocol_harm_no_other_session() {
    let site = Site::new("liars");
    let _host = site.host();
    let mut good = site.initiator(1, true);
    let data = pattern(3, 40);
    write(&mut good, 0, 100, &data);
    let login = |keys: &[u8]| {
        let h = Header::new(Opcode::LoginRequest)
            .set_immediate(true)
            .set_flags(0x87);
        let mut bytes = Vec::new();
        pdu::write(
            &Pdu::new(h.set_itt(1).set_cmd_sn(1), keys.to_vec()),
            Digests::default(),
            &mut bytes,
        );
        bytes
    };
    let endless: Vec<u8> = [b"X-org.example.long=".to_vec(), vec![b'a'; 64 << 10]].concat();
    let mut too_long = Header::new(Opcode::LoginRequest).0;
    too_long[5..8].copy_from_slice(&[0xff; 3]);
    let lies: [(&str, Vec<u8>); 6] = [
        (
            "no PDU at all",
            b"GET / HTTP/1.1\r\nHost: portal\r\n\r\n".repeat(4),
        ),
        ("a data segment of 16 MB", too_long.to_vec()),
        ("a key of 64 KiB", login(&endless)),
        ("text that is no key", login(&[0xff; 300])),
        ("a command before its login", {
            let mut bytes = Vec::new();
            let h = Header::new(Opcode::ScsiCommand).set_flags(0x80);
            pdu::write(&Pdu::new(h, vec![]), Digests::default(), &mut bytes);
            bytes
        }),
        (
            "noise",
            (0..9000u32)
                .map(|n| (n.wrapping_mul(2_654_435_761) >> 13) as u8)
                .collect(),
        ),
    ];
    let half_open: Vec<TcpStream> = (0..600)
        .map(|_| TcpStream::connect(site.portal).unwrap())
        .collect();
    for (what, bytes) in lies {
        let mut s = TcpStream::connect(site.portal).unwrap();
        s.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        let _ = s.write_all(&bytes);
        // The host may send a reason before it closes the connection.
        let mut said = Vec::new();
        let ended = s.read_to_end(&mut said);
        assert!(
            !matches!(&ended, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock),
            "{what}: not hung up on"
        );
        assert!(
            read(&mut good, 0, 100, 40) == data,
            "{what}: a session beside it"
        );
    }
    write(&mut good, 0, 100, &pattern(4, 40));
    drop(half_open);
    site.initiator(9, false);
    assert_eq!(good.unexpected_responses, 0);
}

/// An initiator that stays within its command window may leave all responses unread for a while.
#[test]
fn a_window_full_of_large_reads_does_not_close_the_session() {
    let site = Site::new("unread");
    let _host = site.host();
    let mut i = site.initiator(1, false);
    let mut open = 0;
    while open < 100 && i.may_send() {
        i.submit(0, &cdb16(0x88, 0, 1024), &[], 1024 * 512).unwrap();
        open += 1;
    }
    assert!(
        open > 40,
        "expected more than 40 commands in the window, found {open}"
    );
    i.flush().unwrap();
    std::thread::sleep(Duration::from_millis(700));
    for _ in 0..open {
        let (_, answer) = i.any().unwrap();
        assert_eq!((answer.status, answer.data.len()), (0, 1024 * 512));
    }
}

#[test]
fn a_short_scenario_over_iscsi_with_the_host_killed() {
    let dir = std::env::temp_dir().join(format!("grebecleat-iscsi-day-{}", std::process::id()));
    let _ = fs::remove_dir_all(&dir);
    fs::create_dir_all(&dir).unwrap();
    let script = dir.join("day.star");
    let text = r#"
zone(name = "a")
stream_type(name = "read", slo = ms(500), expiry = s(2), repeat = "repeatable", unit_work = ms(1))
stream_type(name = "write", slo = ms(500), expiry = s(2), repeat = "repeatable", ordered = True, write = True,
            unit_work = ms(1))
plan(name = "p", rate = 200, reservation = 200)
for name in ["h1", "h2"]:
    host(name = name)
for i in range(4):
    node(id = i + 1, zone = "a", cores = 3)
for i in range(2):
    volume(id = 100 + i, plan = "p", blocks = 65536, hosts = ["h1"])
volume(id = 300, plan = "p", hosts = ["h2"], asks = 0.2)
node_list(lag = ms(300))
rules(answer_margin = ms(150), cold_units = 40)
portal(listen = "127.0.0.1:3260", host = "h1", read = "read", write = "write", large_read = "read")
target(name = "iqn.2026-12.org.example:day", volumes = [100, 101])
rehearsal(seed = 3, length = s(6))
load_of(sessions = 3)
trouble(kind = "fast_errors", at = s(1), len = s(2), part = 0.3, size = 0.8)
trouble(kind = "answer_lost", at = s(2), len = s(1), part = 0.3, size = 0.4)
trouble(kind = "balancer_crash", at = s(3), len = ms(700), hosts = ["h1"])
"#;
    fs::write(&script, text).unwrap();
    let run = dir.join("run");
    let args = [
        "--log-level",
        "warn",
        "scenario",
        script.to_str().unwrap(),
        "--dir",
        run.to_str().unwrap(),
    ];
    let out = Command::new(PROGRAM).args(args).output().unwrap();
    let said = String::from_utf8_lossy(&out.stdout).into_owned();
    assert_eq!(
        out.status.code(),
        Some(0),
        "{said}{}",
        String::from_utf8_lossy(&out.stderr)
    );
    let lines: Vec<&str> = said.lines().rev().collect();
    assert!(
        lines[0].starts_with("rules broken: 0; transfers "),
        "{said}"
    );
    let counts: Vec<u64> = lines[1]
        .split(|c: char| !c.is_ascii_digit())
        .filter_map(|w| w.parse().ok())
        .collect();
    assert!(
        counts[0] > 100 && counts[..] == [counts[0], counts[0], 0, 0],
        "{said}"
    );
    assert!(
        said.contains(" wrong") && said.contains(", 0 wrong"),
        "{said}"
    );
    // The trace checker counts PDUs, so that a repeated command counts again, and verifies the order of each
    // block's history.
    let audit = lines
        .iter()
        .find(|l| l.starts_with("audit: commands "))
        .expect("counts in the output of the trace checker");
    assert!(
        audit.contains("missing 0, doubled 0;") && audit.ends_with(" 0 out of order, 0 undecided"),
        "{audit}"
    );
    let _ = fs::remove_dir_all(&dir);
}
