//! The check of iSCSI commands accepts correct PDUs of a portal, and finds each fault in altered
//! ones.

use grebecleat_settings::Settings;
use grebecleat_trace_checker::{commands::Commands, TraceSet};
use grebecleat_wire::pb::{self, marked::What, record::Kind, Record};
use grebecleat_wire::trace::block_sum;

const SETTINGS: &str = r#"
zone(name = "a")
stream_type(name = "read", slo = ms(200), expiry = s(2), repeat = "repeatable")
stream_type(name = "write", slo = ms(200), expiry = s(2), repeat = "repeatable", write = True)
plan(name = "p", rate = 10)
host(name = "h")
node(id = 1, zone = "a")
volume(id = 5, plan = "p", blocks = 4096)
portal(listen = "127.0.0.1:3260", host = "h", read = "read", write = "write", large_read = "read")
target(name = "iqn.2026-12.org.example:t", volumes = [5])
"#;

/// The records of a host with a portal, and of the clients; times are milliseconds.
struct Trace {
    host: Vec<Record>,
    clients: Vec<Record>,
}

impl Trace {
    /// Returns the trace of a session on connection 1 that has logged in.
    fn new() -> Self {
        let first_record = |role: pb::Role, name: &str| {
            let hello = pb::Hello {
                role: role.into(),
                name: name.into(),
                ..Default::default()
            };
            vec![Record {
                at_ns: 1,
                kind: Kind::Process.into(),
                process: Some(hello),
                ..Default::default()
            }]
        };
        let mut trace = Trace {
            host: first_record(pb::Role::Host, "h"),
            clients: first_record(pb::Role::Client, "clients"),
        };
        trace.login(1);
        trace
    }

    fn login(&mut self, conn: u64) {
        let target = "iqn.2026-12.org.example:t".into();
        self.put(
            0,
            Kind::PduIn,
            conn,
            pb::Pdu {
                header: vec![0x43; 48].into(),
                target,
                ..Default::default()
            },
        );
    }

    fn put(&mut self, at: u64, kind: Kind, conn: u64, pdu: pb::Pdu) {
        let at_ns = at * 1_000_000 + 2;
        self.host.push(Record {
            at_ns,
            kind: kind.into(),
            conn,
            pdu: Some(pdu),
            ..Default::default()
        });
    }

    fn pdu(&mut self, at: u64, kind: Kind, bytes: &[(usize, &[u8])], itt: u32, values: &[u8]) {
        let mut header = [0; 48];
        header[16..20].copy_from_slice(&itt.to_be_bytes());
        bytes
            .iter()
            .for_each(|(at, b)| header[*at..*at + b.len()].copy_from_slice(b));
        let blocks = values.iter().map(|v| block_sum(&[*v; 512])).collect();
        let (header, data_len) = (header.to_vec().into(), 512 * values.len() as u32);
        self.put(
            at,
            kind,
            1,
            pb::Pdu {
                header,
                blocks,
                data_len,
                ..Default::default()
            },
        );
    }

    /// Adds a WRITE (10) at block 8, with the first value as immediate data and the others in a
    /// Data-Out PDU.
    fn write(&mut self, at: u64, itt: u32, values: &[u8]) {
        let cdb = [0x2a, 0, 0, 0, 0, 8, 0, 0, values.len() as u8];
        self.pdu(at, Kind::PduIn, &[(0, &[1]), (32, &cdb)], itt, &values[..1]);
        if values.len() > 1 {
            self.pdu(
                at,
                Kind::PduIn,
                &[(0, &[5]), (40, &512u32.to_be_bytes())],
                itt,
                &values[1..],
            );
        }
    }

    /// Adds a READ (10) at block 8, with its data and status in one Data-In PDU.
    fn read(&mut self, at: u64, until: u64, itt: u32, values: &[u8]) {
        let cdb = [0x28, 0, 0, 0, 0, 8, 0, 0, values.len() as u8];
        self.pdu(at, Kind::PduIn, &[(0, &[1]), (32, &cdb)], itt, &[]);
        self.pdu(until, Kind::PduOut, &[(0, &[0x25, 0x81])], itt, values);
    }

    fn status(&mut self, at: u64, itt: u32, status: u8) {
        self.pdu(at, Kind::PduOut, &[(0, &[0x21, 0x80, 0, status])], itt, &[]);
    }

    fn closed(&mut self, at: u64) {
        let at_ns = at * 1_000_000;
        self.host.push(Record {
            at_ns,
            kind: Kind::LineClosed.into(),
            conn: 1,
            ..Default::default()
        });
    }

    fn check(self) -> Commands {
        let mut traces = TraceSet::default();
        traces.add(self.host);
        traces.add(self.clients);
        traces
            .check(&Settings::read("t.star".as_ref(), SETTINGS.into()).unwrap())
            .unwrap()
            .commands
    }
}

fn counts(commands: &Commands) -> [u64; 5] {
    [
        commands.received,
        commands.answered,
        commands.ended,
        commands.missing,
        commands.duplicates,
    ]
}

#[test]
fn a_correct_run_has_no_fault() {
    let mut trace = Trace::new();
    trace.read(1, 2, 1, &[0, 0, 0]);
    trace.write(3, 2, &[7, 8]);
    trace.status(5, 2, 0);
    trace.read(6, 7, 2, &[7, 8, 0]); // a task tag may be used again after the response
    trace.write(8, 3, &[9]);
    trace.write(8, 3, &[9]); // the same task tag while open: a retry of the command
    trace.status(9, 3, 8); // BUSY: the write may take effect or not
    trace.read(10, 11, 4, &[7, 8, 0]);
    trace.read(12, 13, 5, &[9, 8, 0]);
    let commands = trace.check();
    assert_eq!(
        (counts(&commands), commands.blocks, commands.faults.len()),
        ([6, 6, 0, 0, 0], 3, 0),
        "{:?}",
        commands.faults
    );
}

#[test]
fn a_command_without_a_response_is_missing_unless_excused() {
    // The command is open at the end of the trace, or its connection is closed, it is aborted, its
    // host is killed after it, or an earlier process of the host was killed before it.
    for (reason, ended) in [
        ("", false),
        ("closed", true),
        ("aborted", true),
        ("killed", true),
        ("killed before", false),
    ] {
        let mut trace = Trace::new();
        trace.write(5, 1, &[7]);
        match reason {
            "closed" => trace.closed(6),
            "aborted" => trace.pdu(
                6,
                Kind::PduIn,
                &[(0, &[2, 0x81]), (20, &1u32.to_be_bytes())],
                9,
                &[],
            ),
            "killed" | "killed before" => {
                let mark = pb::Marked {
                    what: What::Killed.into(),
                    name: "h".into(),
                    ..Default::default()
                };
                let at_ns = if reason == "killed" { 6_000_000 } else { 0 };
                let record = Record {
                    at_ns,
                    kind: Kind::Mark.into(),
                    mark: Some(mark),
                    ..Default::default()
                };
                trace.clients.push(record);
            }
            _ => {}
        }
        let commands = trace.check();
        let expected = if ended {
            [1, 0, 1, 0, 0]
        } else {
            [1, 0, 0, 1, 0]
        };
        assert_eq!(
            (counts(&commands), commands.is_correct()),
            (expected, ended),
            "{reason}"
        );
    }
}

#[test]
fn a_duplicate_response_and_a_late_write_are_found() {
    let mut trace = Trace::new();
    trace.write(1, 1, &[7]);
    trace.status(2, 1, 0);
    trace.status(3, 1, 0);
    assert_eq!(counts(&trace.check()), [1, 1, 0, 0, 1]);
    let mut trace = Trace::new();
    trace.write(1, 1, &[7]);
    trace.status(2, 1, 2); // CHECK CONDITION: the write may take effect or not
    trace.write(3, 2, &[8]);
    trace.status(4, 2, 0);
    trace.read(5, 6, 3, &[8]);
    trace.read(7, 8, 4, &[7]); // correct: the first write may take effect as late as this
    let mut bad = Trace {
        host: trace.host.clone(),
        clients: trace.clients.clone(),
    };
    assert!(trace.check().is_correct());
    bad.read(9, 10, 5, &[8]);
    let commands = bad.check();
    assert_eq!((commands.is_correct(), commands.faults.len()), (false, 1));
    assert!(
        commands.faults[0].starts_with("volume 5 block 8: no order"),
        "{}",
        commands.faults[0]
    );
}
