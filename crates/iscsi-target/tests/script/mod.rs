//! Interprets bytes as a script of sessions: logins, commands, data, malformed PDUs, task
//! management, connection losses and host responses, in any order. Used by the seeded test `noise`
//! and by `cargo fuzz`.

use bytes::Bytes;
use grebecleat_iscsi::keys::format;
use grebecleat_iscsi::login::{Portal, Target};
use grebecleat_iscsi::pdu::{Header, Opcode, Pdu, PduError, NO_TAG};
use grebecleat_iscsi::scsi::Unit;
use grebecleat_iscsi_target::blocks::RequestOutcome;
use grebecleat_iscsi_target::engine::*;
use grebecleat_iscsi_target::pressure::WindowLimits;
use grebecleat_iscsi_target::versions::Versions;
use std::collections::BTreeMap;
use std::time::Duration;

const NAME: &str = "iqn.2026-12.org.example:v";
const LATE_WRITE_TIME: Duration = Duration::from_millis(300);
const CONNS: u64 = 4;
/// Maximum steps of a script; the rest is ignored.
const MAX_STEPS: usize = 3000;

struct Script<'a>(&'a [u8]);

impl Script<'_> {
    fn byte(&mut self) -> u8 {
        let (first, rest) = self.0.split_first().unwrap_or((&0, &[]));
        self.0 = rest;
        *first
    }

    fn take<const N: usize>(&mut self) -> [u8; N] {
        std::array::from_fn(|_| self.byte())
    }
}

/// Numbers for the next PDUs of a connection.
#[derive(Default)]
struct NextTags {
    cmd_sn: u32,
    /// The target transfer tag of the last R2T.
    ttt: u32,
}

/// Commands sent and statuses seen for one task tag.
#[derive(Default)]
struct Counts {
    sent: u64,
    seen: u64,
}

/// Values that every step draws first.
#[derive(Clone, Copy)]
struct Drawn {
    action: u8,
    conn: ConnNo,
    itt: u32,
    cmd_sn: u32,
}

impl Drawn {
    fn number(self, header: Header, ahead: u32) -> Header {
        header
            .set_itt(self.itt)
            .set_cmd_sn(self.cmd_sn.wrapping_add(ahead))
            .set_exp_stat_sn(1)
    }
}

/// The engine, a host that keeps requests open, and initiators driven by a script.
struct Simulation {
    engine: Engine,
    now: Duration,
    /// Requests submitted to the host and not yet answered.
    open: Vec<Request>,
    last_request: u64,
    next: BTreeMap<ConnNo, NextTags>,
    /// Counts by connection and initiator task tag.
    counts: BTreeMap<(ConnNo, u32), Counts>,
}

impl Simulation {
    fn new() -> Self {
        let target = Target {
            name: NAME.into(),
            ..Target::default()
        };
        let portal = Portal {
            targets: vec![target],
            group: 1,
            ..Portal::default()
        };
        let unit = |id| Unit {
            blocks: 256,
            block_size: 512,
            id,
            serial: "v".into(),
            max_blocks: 64,
            read_only: id == 2,
        };
        let volume = |id| VolumeDescription {
            volume: id,
            unit: unit(id),
            extent_blocks: 16,
            placed: [(3, 1)].into_iter().collect(),
        };
        let facts = vec![TargetDescription {
            name: NAME.into(),
            luns: vec![0, 1],
        }];
        let window_limits = WindowLimits {
            initial: 4.0,
            maximum: 16.0,
            max_per_session: 8,
        };
        let engine = Engine::new(EngineConfig {
            portal,
            addresses: vec![],
            targets: facts,
            volumes: vec![volume(1), volume(2)],
            window_limits,
            late_write_time: LATE_WRITE_TIME,
            versions: Versions::new(0, 1),
            challenges: Box::new(|| [7; CHALLENGE_BYTES]),
        });
        Simulation {
            engine,
            now: LATE_WRITE_TIME,
            open: Vec::new(),
            last_request: 0,
            next: BTreeMap::new(),
            counts: BTreeMap::new(),
        }
    }

    fn feed(&mut self, input: Input) {
        let mut inputs = vec![input];
        while !inputs.is_empty() {
            let mut again = Vec::new();
            for output in self.engine.step(self.now, inputs) {
                match output {
                    Output::Submit(request) => {
                        assert!(
                            request.no.0 > self.last_request,
                            "request numbers do not ascend"
                        );
                        assert!(
                            request.write == request.version.is_some()
                                && (!request.write
                                    || request.data.len() == request.length as usize)
                        );
                        self.last_request = request.no.0;
                        self.open.push(request);
                    }
                    Output::PersistPlacement { no, .. } => {
                        again.push(Input::PlacementPersisted { no })
                    }
                    Output::PersistCeiling { ceiling } => {
                        again.push(Input::CeilingPersisted { ceiling })
                    }
                    Output::Send { conn, pdu, .. } => self.receive(conn, &pdu),
                    _ => {}
                }
            }
            inputs = again;
        }
        assert!(
            self.engine.wake_at().is_none_or(|at| at > self.now),
            "no deadline is left in the past"
        );
    }

    fn receive(&mut self, conn: ConnNo, pdu: &Pdu) {
        let header = pdu.header;
        let status = match header.opcode() {
            Some(Opcode::ScsiResponse) => true,
            Some(Opcode::DataIn) => header.flags() & 1 != 0,
            Some(Opcode::R2t) => {
                self.next.entry(conn).or_default().ttt = header.ttt();
                false
            }
            _ => false,
        };
        if status {
            let counts = self.counts.entry((conn, header.itt())).or_default();
            counts.seen += 1;
            assert!(
                counts.seen <= counts.sent,
                "received a status without an open command: {header:?}"
            );
        }
    }

    fn pdu(&mut self, conn: ConnNo, header: Header, data: Bytes) {
        if header.opcode() == Some(Opcode::ScsiCommand) {
            self.counts.entry((conn, header.itt())).or_default().sent += 1;
        }
        self.feed(Input::Pdu {
            conn,
            read: Ok(Pdu::new(header, data)),
        });
    }

    fn login(&mut self, conn: ConnNo, isid: u8) {
        self.feed(Input::ConnectionClosed { conn });
        self.counts.retain(|(other, _), _| *other != conn);
        self.feed(Input::ConnectionOpened { conn });
        let keys = [
            ("InitiatorName", "iqn.i"),
            ("TargetName", NAME),
            ("InitialR2T", "No"),
            ("FirstBurstLength", "4096"),
        ];
        let keys: Vec<(String, String)> = keys
            .iter()
            .map(|(key, value)| (key.to_string(), value.to_string()))
            .collect();
        let header = Header::new(Opcode::LoginRequest)
            .set_immediate(true)
            .set_flags(0x87);
        self.pdu(
            conn,
            header
                .set_isid([0, 0, 0, 0, 0, isid])
                .set_itt(1)
                .set_cmd_sn(1),
            format(&keys).into(),
        );
        self.next.insert(conn, NextTags { cmd_sn: 1, ttt: 0 });
    }

    /// Performs one step of the script. Drawn numbers are small, so that they often refer to
    /// something that exists.
    /// Bytes are drawn in a fixed order, since stored scripts depend on it.
    fn step(&mut self, script: &mut Script) {
        let action = script.byte();
        let conn = ConnNo(u64::from(script.byte()) % CONNS);
        let itt = u32::from(script.byte() % 8);
        let cmd_sn = self.next.get(&conn).map_or(1, |next| next.cmd_sn);
        let drawn = Drawn {
            action,
            conn,
            itt,
            cmd_sn,
        };
        match action % 14 {
            0 => {
                let isid = script.byte() % 3;
                self.login(conn, isid);
            }
            1..=4 => self.scsi_command(script, drawn),
            5 => self.data_out(script, drawn),
            6..=8 if !self.open.is_empty() => self.answer_request(script, action),
            9 => self.task_management(script, drawn),
            10 => self.now += Duration::from_millis(u64::from(script.byte()) * 4),
            11 => self.loss_or_new_connection(script, drawn),
            12 => self.malformed_pdu(script, drawn),
            _ => self.random_pdu(script, drawn),
        }
    }

    fn scsi_command(&mut self, script: &mut Script, drawn: Drawn) {
        let writes = drawn.action & 16 != 0;
        let lba = script.byte();
        let blocks = script.byte() % 40;
        let lun = script.byte() & 1;
        let code = match (drawn.action & 32 != 0, writes) {
            (true, _) => script.byte(),
            (false, true) => 0x8a,
            (false, false) => 0x88,
        };
        let mut cdb = [0; 16];
        cdb[0] = code;
        cdb[9] = lba;
        cdb[13] = blocks;
        let direction = if writes { 0x20 } else { 0x40 };
        let flags = direction | script.byte() & 0x80;
        let length = u32::from(blocks) * 512;
        let immediate = if writes {
            length.min(u32::from(script.byte()) * 64)
        } else {
            0
        };
        let header = Header::new(Opcode::ScsiCommand)
            .set_flags(flags)
            .set_lun(u64::from(lun) << 48);
        let ahead = u32::from(script.byte() % 16 / 14);
        let header = drawn.number(header, ahead).set_ttt(length).set_cdb(cdb);
        self.next.entry(drawn.conn).or_default().cmd_sn = drawn.cmd_sn.wrapping_add(1);
        let data = vec![script.byte(); immediate as usize];
        self.pdu(drawn.conn, header, data.into());
    }

    fn data_out(&mut self, script: &mut Script, drawn: Drawn) {
        let offset = u32::from(script.byte()) * 64;
        let length = usize::from(script.byte()) * 32;
        let ttt = if script.byte() & 1 == 0 {
            NO_TAG
        } else {
            self.next.get(&drawn.conn).map_or(0, |next| next.ttt)
        };
        let header = Header::new(Opcode::DataOut)
            .set_flags(script.byte() & 0x80)
            .set_itt(drawn.itt)
            .set_ttt(ttt)
            .set_exp_stat_sn(1)
            .set_word36(u32::from(script.byte() % 3))
            .set_word40(offset);
        self.pdu(drawn.conn, header, vec![drawn.action; length].into());
    }

    fn answer_request(&mut self, script: &mut Script, fill: u8) {
        let at = usize::from(script.byte()) % self.open.len();
        let request = self.open.remove(at);
        let may_still_apply = script.byte() & 1 == 0;
        let outcome = match script.byte() % 8 {
            0 => RequestOutcome::Rejected {
                retry_after: None,
                may_still_apply,
            },
            1 => RequestOutcome::Failed { may_still_apply },
            2 if request.write => {
                RequestOutcome::Superseded(u64::from(script.byte()) << (script.byte() % 57))
            }
            _ if request.write => RequestOutcome::Completed(Bytes::new()),
            _ => {
                let missing = usize::from(script.byte()) % 9;
                let data = vec![fill; request.length as usize - missing];
                RequestOutcome::Completed(data.into())
            }
        };
        self.feed(Input::RequestFinished {
            no: request.no,
            outcome,
            shard: request.shard.or(Some(2)),
        });
    }

    fn task_management(&mut self, script: &mut Script, drawn: Drawn) {
        let header = Header::new(Opcode::TaskManagement).set_immediate(script.byte() & 1 == 0);
        let header = drawn
            .number(header, 0)
            .set_flags(0x80 | (script.byte() % 9))
            .set_itt(drawn.itt + 100)
            .set_ttt(u32::from(script.byte() % 8));
        self.pdu(drawn.conn, header, Bytes::new());
    }

    /// Closes or logs out a connection, fails the store, or opens another connection.
    fn loss_or_new_connection(&mut self, script: &mut Script, drawn: Drawn) {
        match script.byte() % 5 {
            0 => self.feed(Input::ConnectionClosed { conn: drawn.conn }),
            1 => {
                let header = Header::new(Opcode::LogoutRequest)
                    .set_immediate(true)
                    .set_flags(0x80 | (script.byte() % 3));
                self.pdu(drawn.conn, drawn.number(header, 0), Bytes::new());
            }
            2 => self.feed(Input::StoreFailed),
            _ => self.feed(Input::ConnectionOpened {
                conn: ConnNo(CONNS + u64::from(script.byte() % 8)),
            }),
        }
    }

    fn malformed_pdu(&mut self, script: &mut Script, drawn: Drawn) {
        let header = Header(script.take::<48>()).set_itt(drawn.itt);
        let fault = if script.byte() & 1 == 0 {
            PduError::DataDigest(header)
        } else {
            PduError::HeaderDigest
        };
        self.feed(Input::Pdu {
            conn: drawn.conn,
            read: Err(fault),
        });
    }

    fn random_pdu(&mut self, script: &mut Script, drawn: Drawn) {
        let opcode = Opcode::ALL[usize::from(script.byte()) % Opcode::ALL.len()];
        let header = Header(script.take::<48>());
        let header = header.set_byte(0, opcode as u8 | script.byte() & 0x40);
        let length = usize::from(script.byte());
        let data = script.0.iter().copied().take(length).collect();
        self.pdu(drawn.conn, drawn.number(header, 0), data);
    }
}

/// Plays a script and then ends all requests and connections: each command got at most one status,
/// and no state is left.
pub fn play(bytes: &[u8]) {
    let mut simulation = Simulation::new();
    let mut script = Script(bytes);
    for conn in 0..CONNS {
        simulation.login(ConnNo(conn), conn as u8);
    }
    for _ in 0..MAX_STEPS {
        if script.0.is_empty() {
            break;
        }
        simulation.step(&mut script);
    }
    for conn in 0..256 {
        simulation.feed(Input::ConnectionClosed { conn: ConnNo(conn) });
    }
    while let Some(request) = simulation.open.pop() {
        simulation.feed(Input::RequestFinished {
            no: request.no,
            outcome: RequestOutcome::Failed {
                may_still_apply: false,
            },
            shard: request.shard,
        });
        if simulation.open.is_empty() {
            simulation.now += LATE_WRITE_TIME * 2;
            simulation.feed(Input::ConnectionOpened { conn: ConnNo(1000) });
        }
    }
    simulation.now += LATE_WRITE_TIME * 2;
    simulation.feed(Input::ConnectionClosed { conn: ConnNo(1000) });
    assert!(simulation.open.is_empty());
    assert_eq!(
        simulation.engine.open(),
        (0, 0),
        "commands or requests are left open"
    );
}
