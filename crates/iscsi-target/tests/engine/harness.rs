//! Test harness for the engine: simulated initiators and a simulated host that stores bytes by
//! extent, answers in any order, rejects and fails requests.

use bytes::Bytes;
use grebecleat_iscsi::keys::format;
use grebecleat_iscsi::login::{Portal, Target};
use grebecleat_iscsi::pdu::{Header, Opcode, Pdu};
use grebecleat_iscsi::scsi::Unit;
use grebecleat_iscsi_target::blocks::RequestOutcome;
use grebecleat_iscsi_target::engine::*;
use grebecleat_iscsi_target::pressure::WindowLimits;
use grebecleat_iscsi_target::versions::Versions;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

const NAME: &str = "iqn.2026-12.org.example:v";
pub const BLOCK: usize = 512;
pub const REJECTED: RequestOutcome = RequestOutcome::Rejected {
    retry_after: None,
    may_still_apply: false,
};
pub const FAILED: RequestOutcome = RequestOutcome::Failed {
    may_still_apply: true,
};
pub const LATE_WRITE_TIME: Duration = Duration::from_millis(300);

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub struct Harness {
    pub engine: Engine,
    pub now: Duration,
    /// Requests submitted to the host that have no outcome yet.
    pub open: Vec<Request>,
    /// Bytes of each extent and shard, as stored by the node.
    pub stored: HashMap<(u64, u32), Vec<u8>>,
    /// Versions of those bytes.
    pub node_versions: HashMap<(u64, u32), grebecleat_testbed::versions::Versions>,
    /// The last ceiling that was persisted.
    pub ceiling: u64,
    next_shard: u32,
    /// Placements that the engine asked to persist.
    pub placements: Vec<Placement>,
    /// Whether placements are acknowledged at once.
    pub acknowledge_placements: bool,
    /// PDUs sent to initiators and not yet read by the test.
    pub pdus: Vec<(ConnNo, Pdu)>,
    pub closed: Vec<ConnNo>,
    /// The next CmdSN of each connection.
    pub cmd_sns: BTreeMap<ConnNo, u32>,
    /// The last MaxCmdSN received on each connection.
    pub max_cmd_sns: BTreeMap<ConnNo, u32>,
}

/// The placement of an extent that the engine asked to persist.
#[derive(Clone, Copy)]
pub struct Placement {
    pub no: RequestNumber,
    pub extent: u64,
    pub shard: u32,
}

/// One target with one volume of 4096 blocks, in extents of 16.
fn config(placed: BTreeMap<u64, u32>, ceiling: u64) -> EngineConfig {
    let target = Target {
        name: NAME.into(),
        ..Target::default()
    };
    let unit = Unit {
        blocks: 4096,
        block_size: BLOCK as u32,
        id: 1,
        serial: "v".into(),
        max_blocks: 256,
        read_only: false,
    };
    let volume = VolumeDescription {
        volume: 7,
        unit,
        extent_blocks: 16,
        placed: placed.into_iter().collect(),
    };
    let mut challenge = 0u8;
    EngineConfig {
        portal: Portal {
            targets: vec![target],
            group: 1,
            ..Portal::default()
        },
        addresses: vec!["127.0.0.1:3260,1".to_string()],
        targets: vec![TargetDescription {
            name: NAME.into(),
            luns: vec![0],
        }],
        volumes: vec![volume],
        window_limits: WindowLimits {
            initial: 64.0,
            maximum: 128.0,
            max_per_session: 64,
        },
        late_write_time: LATE_WRITE_TIME,
        versions: Versions::new(ceiling, 1000),
        challenges: Box::new(move || {
            challenge = challenge.wrapping_add(1);
            [challenge; CHALLENGE_BYTES]
        }),
    }
}

/// READ(10) or WRITE(10).
fn cdb(code: u8, lba: u32, blocks: u16) -> [u8; 10] {
    let mut cdb = [0; 10];
    cdb[0] = code;
    cdb[2..6].copy_from_slice(&lba.to_be_bytes());
    cdb[7..9].copy_from_slice(&blocks.to_be_bytes());
    cdb
}

/// Whether a PDU carries the status of a command.
pub fn is_status(pdu: &Pdu) -> bool {
    pdu.header.opcode() == Some(Opcode::ScsiResponse) || pdu.header.flags() & 1 != 0
}

impl Harness {
    pub fn with(placed: BTreeMap<u64, u32>) -> Self {
        Harness::after(placed, 0)
    }

    /// An engine after a restart, with the ceiling persisted by earlier runs.
    pub fn after(placed: BTreeMap<u64, u32>, ceiling: u64) -> Self {
        Harness {
            engine: Engine::new(config(placed, ceiling)),
            now: ms(1000),
            open: Vec::new(),
            stored: HashMap::new(),
            node_versions: HashMap::new(),
            ceiling,
            next_shard: 0,
            placements: Vec::new(),
            acknowledge_placements: true,
            pdus: Vec::new(),
            closed: Vec::new(),
            cmd_sns: BTreeMap::new(),
            max_cmd_sns: BTreeMap::new(),
        }
    }

    pub fn new() -> Self {
        Harness::with(BTreeMap::new())
    }

    /// Applies a write at the node to blocks without a newer version, and returns the newest
    /// version found.
    pub fn node(&mut self, request: &Request, shard: u32) -> Option<u64> {
        let stored = self.stored.entry((request.extent, shard)).or_default();
        let to = (request.offset + request.length) as usize;
        stored.resize(stored.len().max(to), 0);
        let versions = self
            .node_versions
            .entry((request.extent, shard))
            .or_default();
        let (parts, newer) = versions.write(
            request.offset,
            request.offset + request.length,
            request.version.expect("a write carries a version"),
        );
        for (from, end) in parts {
            let at = (from - request.offset) as usize..(end - request.offset) as usize;
            stored[from as usize..end as usize].copy_from_slice(&request.data[at]);
        }
        newer
    }

    pub fn feed(&mut self, input: Input) {
        let mut inputs = vec![input];
        while !inputs.is_empty() {
            let mut again = Vec::new();
            for output in self.engine.step(self.now, inputs) {
                match output {
                    Output::Send { conn, pdu, .. } => {
                        self.max_cmd_sns.insert(conn, pdu.header.word32());
                        self.pdus.push((conn, pdu));
                    }
                    Output::Close { conn } => self.closed.push(conn),
                    Output::Submit(request) => self.open.push(request),
                    Output::PersistPlacement {
                        no, extent, shard, ..
                    } => {
                        self.placements.push(Placement { no, extent, shard });
                        if self.acknowledge_placements {
                            again.push(Input::PlacementPersisted { no });
                        }
                    }
                    Output::PersistCeiling { ceiling } => {
                        self.ceiling = ceiling;
                        again.push(Input::CeilingPersisted { ceiling });
                    }
                    Output::SetReader { .. } | Output::Log { .. } => {}
                }
            }
            inputs = again;
        }
    }

    pub fn wait(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self
                .engine
                .wake_at()
                .map_or(end, |at| {
                    at.clamp(self.now + ms(1), end.max(self.now + ms(1)))
                })
                .min(end);
            for output in self.engine.step(self.now, []) {
                match output {
                    Output::Submit(request) => self.open.push(request),
                    Output::Send { conn, pdu, .. } => {
                        self.max_cmd_sns.insert(conn, pdu.header.word32());
                        self.pdus.push((conn, pdu));
                    }
                    _ => {}
                }
            }
        }
    }

    pub fn login(&mut self, conn: u64, isid: u8) -> ConnNo {
        let conn = ConnNo(conn);
        self.feed(Input::ConnectionOpened { conn });
        let keys = [
            ("InitiatorName", "iqn.i"),
            ("TargetName", NAME),
            ("InitialR2T", "No"),
            ("MaxBurstLength", "262144"),
            ("FirstBurstLength", "262144"),
            ("MaxRecvDataSegmentLength", "262144"),
            ("iSCSIProtocolLevel", "2"),
        ];
        let keys: Vec<(String, String)> = keys
            .iter()
            .map(|(key, value)| (key.to_string(), value.to_string()))
            .collect();
        let header = Header::new(Opcode::LoginRequest)
            .set_immediate(true)
            .set_flags(0x80 | 1 << 2 | 3);
        let header = header
            .set_isid([0, 0, 0, 0, 0, isid])
            .set_itt(1)
            .set_cmd_sn(1);
        self.feed(Input::Pdu {
            conn,
            read: Ok(Pdu::new(header, format(&keys))),
        });
        let received = self.received(conn);
        assert_eq!(
            (received[0].header.opcode(), received[0].header.byte(36)),
            (Some(Opcode::LoginResponse), 0)
        );
        assert_ne!(received[0].header.tsih(), 0);
        self.cmd_sns.insert(conn, 1);
        // The first command of a session reports the power-on unit attention.
        self.command(conn, 999, &[0], 0, 0, &[]);
        assert_eq!(self.received(conn)[0].header.byte(3), 2);
        conn
    }

    pub fn received(&mut self, conn: ConnNo) -> Vec<Pdu> {
        let (own, rest) = std::mem::take(&mut self.pdus)
            .into_iter()
            .partition(|(to, _)| *to == conn);
        self.pdus = rest;
        let own: Vec<(ConnNo, Pdu)> = own;
        own.into_iter().map(|(_, pdu)| pdu).collect()
    }

    pub fn command(
        &mut self,
        conn: ConnNo,
        itt: u32,
        cdb: &[u8],
        flags: u8,
        length: u32,
        data: &[u8],
    ) {
        let mut block = [0; 16];
        block[..cdb.len()].copy_from_slice(cdb);
        let cmd_sn = self.cmd_sns[&conn];
        self.cmd_sns.insert(conn, cmd_sn.wrapping_add(1));
        let header = Header::new(Opcode::ScsiCommand)
            .set_flags(0x80 | flags)
            .set_itt(itt)
            .set_ttt(length);
        let header = header.set_cmd_sn(cmd_sn).set_exp_stat_sn(1).set_cdb(block);
        self.feed(Input::Pdu {
            conn,
            read: Ok(Pdu::new(header, data.to_vec())),
        });
    }

    pub fn read(&mut self, conn: ConnNo, itt: u32, lba: u32, blocks: u16) {
        let cdb = cdb(0x28, lba, blocks);
        self.command(conn, itt, &cdb, 0x40, u32::from(blocks) * 512, &[]);
    }

    pub fn write(&mut self, conn: ConnNo, itt: u32, lba: u32, data: &[u8]) {
        let cdb = cdb(0x2a, lba, (data.len() / BLOCK) as u16);
        self.command(conn, itt, &cdb, 0x20, data.len() as u32, data);
    }

    /// Answers an open request with the given outcome, or executes it if there is none.
    pub fn answer(&mut self, at: usize, outcome: Option<RequestOutcome>) {
        let request = self.open.remove(at);
        let no = request.no;
        if let Some(outcome) = outcome {
            return self.feed(Input::RequestFinished {
                no,
                outcome,
                shard: None,
            });
        }
        let shard = request.shard.unwrap_or_else(|| {
            self.next_shard += 1;
            self.next_shard
        });
        let outcome = match request.write {
            true => self.node(&request, shard).map_or(
                RequestOutcome::Completed(Bytes::new()),
                RequestOutcome::Superseded,
            ),
            false => {
                let stored = self.stored.entry((request.extent, shard)).or_default();
                let to = ((request.offset + request.length) as usize).min(stored.len());
                RequestOutcome::Completed(Bytes::copy_from_slice(
                    stored.get(request.offset as usize..to).unwrap_or_default(),
                ))
            }
        };
        self.feed(Input::RequestFinished {
            no,
            outcome,
            shard: Some(shard),
        });
    }

    pub fn complete_all(&mut self) {
        while !self.open.is_empty() {
            self.answer(0, None);
        }
    }

    /// Returns the status and the data of the only command that was answered.
    pub fn status(&mut self, conn: ConnNo) -> (u8, Vec<u8>) {
        let received = self.received(conn);
        let answers: Vec<&Pdu> = received.iter().filter(|pdu| is_status(pdu)).collect();
        assert_eq!(answers.len(), 1, "{received:?}");
        let data = received
            .iter()
            .filter(|pdu| pdu.header.opcode() == Some(Opcode::DataIn))
            .flat_map(|pdu| pdu.data.to_vec());
        (answers[0].header.byte(3), data.collect())
    }
}

pub fn fill(value: u8, blocks: usize) -> Vec<u8> {
    vec![value; blocks * BLOCK]
}
