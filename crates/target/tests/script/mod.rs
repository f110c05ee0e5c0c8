//! Bytes as a script of whole sessions: logins, commands, data, malformed PDUs, task management, losses and the
//! host's answers, in any order. For the seeded run beside it and for `cargo fuzz`.

use bytes::Bytes;
use grebecleat_iscsi::keys::format;
use grebecleat_iscsi::login::{Portal, Target};
use grebecleat_iscsi::pdu::{Fault, Header, Opcode, Pdu, NO_TAG};
use grebecleat_iscsi::scsi::Unit;
use grebecleat_target::blocks::RequestOutcome;
use grebecleat_target::engine::*;
use grebecleat_target::pressure::WindowLimits;
use grebecleat_target::versions::Versions;
use std::collections::BTreeMap;
use std::time::Duration;

const NAME: &str = "iqn.2026-12.org.example:v";
const REST: Duration = Duration::from_millis(300);
const CONNS: u64 = 4;
/// Steps of one script: a long one is cut.
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

struct Stage {
    e: Engine,
    now: Duration,
    open: Vec<Request>,
    taken: u64,
    /// The next CmdSN of each connection's session, and the request tag that it was asked with last.
    next: BTreeMap<ConnNo, (u32, u32)>,
    /// Commands sent and statuses seen, by connection and tag.
    sent: BTreeMap<(ConnNo, u32), (u64, u64)>,
}

impl Stage {
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
        let volume = |id| VolumeFacts {
            volume: id,
            unit: unit(id),
            extent_blocks: 16,
            placed: [(3, 1)].into_iter().collect(),
        };
        let facts = vec![TargetFacts {
            name: NAME.into(),
            luns: vec![0, 1],
        }];
        let window_limits = WindowLimits {
            initial: 4.0,
            maximum: 16.0,
            max_per_session: 8,
        };
        let e = Engine::new(EngineConfig {
            portal,
            addresses: vec![],
            targets: facts,
            volumes: vec![volume(1), volume(2)],
            window_limits,
            late_write_time: REST,
            versions: Versions::new(0, 1),
            challenges: Box::new(|| [7; CHALLENGE_BYTES]),
        });
        let (next, sent) = (BTreeMap::new(), BTreeMap::new());
        Stage {
            e,
            now: REST,
            open: Vec::new(),
            taken: 0,
            next,
            sent,
        }
    }

    fn feed(&mut self, input: Input) {
        let mut inputs = vec![input];
        while !inputs.is_empty() {
            let mut again = Vec::new();
            for output in self.e.step(self.now, inputs) {
                match output {
                    Output::Submit(r) => {
                        assert!(r.no.0 > self.taken, "a transfer's number came twice");
                        assert!(
                            r.write == r.version.is_some()
                                && (!r.write || r.data.len() == r.length as usize)
                        );
                        self.taken = r.no.0;
                        self.open.push(r);
                    }
                    Output::PersistPlacement { no, .. } => {
                        again.push(Input::PlacementPersisted { no })
                    }
                    Output::PersistCeiling { ceiling } => {
                        again.push(Input::CeilingPersisted { ceiling })
                    }
                    Output::Send { conn, pdu, .. } => self.sees(conn, &pdu),
                    _ => {}
                }
            }
            inputs = again;
        }
        assert!(
            self.e.wake_at().is_none_or(|at| at > self.now),
            "what is due was done"
        );
    }

    fn sees(&mut self, conn: ConnNo, pdu: &Pdu) {
        let h = pdu.header;
        let status = match h.opcode() {
            Some(Opcode::ScsiResponse) => true,
            Some(Opcode::DataIn) => h.flags() & 1 != 0,
            Some(Opcode::R2t) => {
                self.next.entry(conn).or_default().1 = h.ttt();
                false
            }
            _ => false,
        };
        if status {
            let (sent, seen) = self.sent.entry((conn, h.itt())).or_default();
            *seen += 1;
            assert!(*seen <= *sent, "a status to no command: {h:?}");
        }
    }

    fn pdu(&mut self, conn: ConnNo, h: Header, data: Bytes) {
        if h.opcode() == Some(Opcode::ScsiCommand) {
            self.sent.entry((conn, h.itt())).or_default().0 += 1;
        }
        self.feed(Input::Pdu {
            conn,
            read: Ok(Pdu::new(h, data)),
        });
    }

    fn login(&mut self, conn: ConnNo, isid: u8) {
        self.feed(Input::ConnectionClosed { conn });
        self.sent.retain(|(c, _), _| *c != conn);
        self.feed(Input::ConnectionOpened { conn });
        let keys = [
            ("InitiatorName", "iqn.i"),
            ("TargetName", NAME),
            ("InitialR2T", "No"),
            ("FirstBurstLength", "4096"),
        ];
        let keys: Vec<(String, String)> = keys
            .iter()
            .map(|(k, v)| (k.to_string(), v.to_string()))
            .collect();
        let h = Header::new(Opcode::LoginRequest)
            .set_immediate(true)
            .set_flags(0x87);
        self.pdu(
            conn,
            h.set_isid([0, 0, 0, 0, 0, isid]).set_itt(1).set_cmd_sn(1),
            format(&keys).into(),
        );
        self.next.insert(conn, (1, 0));
    }

    /// One step by the script; every number it draws is small, so that what it names often exists.
    fn step(&mut self, s: &mut Script) {
        let what = s.byte();
        let conn = ConnNo(u64::from(s.byte()) % CONNS);
        let (itt, sn) = (
            u32::from(s.byte() % 8),
            self.next.get(&conn).map_or(1, |n| n.0),
        );
        let numbered = |h: Header, by: u32| {
            h.set_itt(itt)
                .set_cmd_sn(sn.wrapping_add(by))
                .set_exp_stat_sn(1)
        };
        match what % 14 {
            0 => {
                let isid = s.byte() % 3;
                self.login(conn, isid);
            }
            1..=4 => {
                let (writes, lba, blocks, lun) =
                    (what & 16 != 0, s.byte(), s.byte() % 40, s.byte() & 1);
                let code = match (what & 32 != 0, writes) {
                    (true, _) => s.byte(),
                    (false, true) => 0x8a,
                    (false, false) => 0x88,
                };
                let mut cdb = [0; 16];
                (cdb[0], cdb[9], cdb[13]) = (code, lba, blocks);
                let flags = if writes { 0x20 } else { 0x40 } | s.byte() & 0x80;
                let length = u32::from(blocks) * 512;
                let now = if writes {
                    length.min(u32::from(s.byte()) * 64)
                } else {
                    0
                };
                let h = Header::new(Opcode::ScsiCommand)
                    .set_flags(flags)
                    .set_lun(u64::from(lun) << 48);
                let by = u32::from(s.byte() % 16 / 14);
                let h = numbered(h, by).set_ttt(length).set_cdb(cdb);
                self.next.entry(conn).or_default().0 = sn.wrapping_add(1);
                self.pdu(conn, h, vec![s.byte(); now as usize].into());
            }
            5 => {
                let (offset, length) = (u32::from(s.byte()) * 64, usize::from(s.byte()) * 32);
                let ttt = if s.byte() & 1 == 0 {
                    NO_TAG
                } else {
                    self.next.get(&conn).map_or(0, |n| n.1)
                };
                let h = Header::new(Opcode::DataOut)
                    .set_flags(s.byte() & 0x80)
                    .set_itt(itt)
                    .set_ttt(ttt);
                let h = h
                    .set_exp_stat_sn(1)
                    .set_word36(u32::from(s.byte() % 3))
                    .set_word40(offset);
                self.pdu(conn, h, vec![what; length].into());
            }
            6..=8 if !self.open.is_empty() => {
                let r = self.open.remove(usize::from(s.byte()) % self.open.len());
                let may_still_apply = s.byte() & 1 == 0;
                let answer = match s.byte() % 8 {
                    0 => RequestOutcome::Rejected {
                        retry_after: None,
                        may_still_apply,
                    },
                    1 => RequestOutcome::Failed { may_still_apply },
                    2 if r.write => {
                        RequestOutcome::Superseded(u64::from(s.byte()) << (s.byte() % 57))
                    }
                    _ if r.write => RequestOutcome::Completed(Bytes::new()),
                    _ => RequestOutcome::Completed(
                        vec![what; r.length as usize - usize::from(s.byte()) % 9].into(),
                    ),
                };
                let shard = r.shard.or(Some(2));
                self.feed(Input::RequestFinished {
                    no: r.no,
                    outcome: answer,
                    shard,
                });
            }
            9 => {
                let h = Header::new(Opcode::TaskManagement).set_immediate(s.byte() & 1 == 0);
                let h = numbered(h, 0)
                    .set_flags(0x80 | (s.byte() % 9))
                    .set_itt(itt + 100)
                    .set_ttt(u32::from(s.byte() % 8));
                self.pdu(conn, h, Bytes::new());
            }
            10 => self.now += Duration::from_millis(u64::from(s.byte()) * 4),
            11 => match s.byte() % 5 {
                0 => self.feed(Input::ConnectionClosed { conn }),
                1 => {
                    let h = Header::new(Opcode::LogoutRequest)
                        .set_immediate(true)
                        .set_flags(0x80 | (s.byte() % 3));
                    self.pdu(conn, numbered(h, 0), Bytes::new());
                }
                2 => self.feed(Input::StoreFailed),
                _ => self.feed(Input::ConnectionOpened {
                    conn: ConnNo(CONNS + u64::from(s.byte() % 8)),
                }),
            },
            12 => {
                let h = Header(s.take::<48>()).set_itt(itt);
                let read = if s.byte() & 1 == 0 {
                    Fault::DataDigest(h)
                } else {
                    Fault::HeaderDigest
                };
                self.feed(Input::Pdu {
                    conn,
                    read: Err(read),
                });
            }
            _ => {
                let opcode = Opcode::ALL[usize::from(s.byte()) % Opcode::ALL.len()];
                let h = Header(s.take::<48>()).set_byte(0, opcode as u8 | s.byte() & 0x40);
                let length = usize::from(s.byte());
                self.pdu(
                    conn,
                    numbered(h, 0),
                    s.0.iter().copied().take(length).collect(),
                );
            }
        }
    }
}

/// Plays a script and then lets everything end: each command had at most one status, and nothing stays behind.
pub fn play(bytes: &[u8]) {
    let (mut stage, mut script) = (Stage::new(), Script(bytes));
    (0..CONNS).for_each(|c| stage.login(ConnNo(c), c as u8));
    for _ in 0..MAX_STEPS {
        if script.0.is_empty() {
            break;
        }
        stage.step(&mut script);
    }
    (0..256).for_each(|c| stage.feed(Input::ConnectionClosed { conn: ConnNo(c) }));
    while let Some(r) = stage.open.pop() {
        stage.feed(Input::RequestFinished {
            no: r.no,
            outcome: RequestOutcome::Failed {
                may_still_apply: false,
            },
            shard: r.shard,
        });
        if stage.open.is_empty() {
            stage.now += REST * 2;
            stage.feed(Input::ConnectionOpened { conn: ConnNo(1000) });
        }
    }
    stage.now += REST * 2;
    stage.feed(Input::ConnectionClosed { conn: ConnNo(1000) });
    assert!(stage.open.is_empty());
    assert_eq!(stage.e.open(), (0, 0), "something stays behind");
}
