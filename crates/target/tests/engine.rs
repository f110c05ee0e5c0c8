//! The target between initiators and a host that the test plays: it keeps bytes by extent, answers in any
//! order, defers and abandons; and every read is checked against what was written.

use bytes::Bytes;
use grebecleat_iscsi::keys::format;
use grebecleat_iscsi::login::{Portal, Target};
use grebecleat_iscsi::pdu::{Header, Opcode, Pdu, NO_TAG};
use grebecleat_iscsi::scsi::Unit;
use grebecleat_target::blocks::RequestOutcome;
use grebecleat_target::engine::*;
use grebecleat_target::pressure::WindowLimits;
use grebecleat_target::versions::Versions;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

const NAME: &str = "iqn.2026-12.org.example:v";
const BLOCK: usize = 512;
const BUSY: RequestOutcome = RequestOutcome::Rejected {
    retry_after: None,
    may_still_apply: false,
};
const LOST: RequestOutcome = RequestOutcome::Failed {
    may_still_apply: true,
};
const REST: Duration = Duration::from_millis(300);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

struct Rig {
    e: Engine,
    now: Duration,
    /// Requests at the host without an answer.
    open: Vec<Request>,
    kept: HashMap<(u64, u32), Vec<u8>>,
    there: HashMap<(u64, u32), grebecleat_standin::versions::Versions>,
    ceiling: u64,
    next_shard: u32,
    stores: Vec<(RequestNumber, u64, u32)>,
    store_at_once: bool,
    pdus: Vec<(ConnNo, Pdu)>,
    closed: Vec<ConnNo>,
    sns: BTreeMap<ConnNo, u32>,
    /// The last MaxCmdSN that each was told.
    most: BTreeMap<ConnNo, u32>,
}

impl Rig {
    fn with(placed: BTreeMap<u64, u32>) -> Self {
        Rig::after(placed, 0)
    }

    /// A start after others, with the ceiling that they kept.
    fn after(placed: BTreeMap<u64, u32>, ceiling: u64) -> Self {
        let versions = Versions::new(ceiling, 1000);
        let target = |name: &str| Target {
            name: name.into(),
            ..Target::default()
        };
        let portal = Portal {
            targets: vec![target(NAME)],
            group: 1,
            ..Portal::default()
        };
        let unit = Unit {
            blocks: 4096,
            block_size: 512,
            id: 1,
            serial: "v".into(),
            max_blocks: 256,
            read_only: false,
        };
        let placed = placed.into_iter().collect();
        let volume = VolumeFacts {
            volume: 7,
            unit,
            extent_blocks: 16,
            placed,
        };
        let targets = vec![TargetFacts {
            name: NAME.into(),
            luns: vec![0],
        }];
        let window_limits = WindowLimits {
            initial: 64.0,
            maximum: 128.0,
            max_per_session: 64,
        };
        let mut n = 0u8;
        let challenges = Box::new(move || {
            n = n.wrapping_add(1);
            [n; 17]
        });
        let addresses = vec!["127.0.0.1:3260,1".to_string()];
        Rig {
            e: Engine::new(EngineConfig {
                portal,
                addresses,
                targets,
                volumes: vec![volume],
                window_limits,
                late_write_time: REST,
                versions,
                challenges,
            }),
            now: ms(1000),
            open: Vec::new(),
            kept: HashMap::new(),
            there: HashMap::new(),
            ceiling,
            next_shard: 0,
            stores: Vec::new(),
            store_at_once: true,
            pdus: Vec::new(),
            closed: Vec::new(),
            sns: BTreeMap::new(),
            most: BTreeMap::new(),
        }
    }

    fn new() -> Self {
        Rig::with(BTreeMap::new())
    }

    /// The node writes where nothing newer lies, and tells of what it found.
    fn node(&mut self, r: &Request, shard: u32) -> Option<u64> {
        let kept = self.kept.entry((r.extent, shard)).or_default();
        let to = (r.offset + r.length) as usize;
        kept.resize(kept.len().max(to), 0);
        let there = self.there.entry((r.extent, shard)).or_default();
        let (parts, newer) = there.write(
            r.offset,
            r.offset + r.length,
            r.version.expect("a write has one"),
        );
        for (from, end) in parts {
            let at = (from - r.offset) as usize..(end - r.offset) as usize;
            kept[from as usize..end as usize].copy_from_slice(&r.data[at]);
        }
        newer
    }

    fn feed(&mut self, input: Input) {
        let mut inputs = vec![input];
        while !inputs.is_empty() {
            let mut again = Vec::new();
            for out in self.e.step(self.now, inputs) {
                match out {
                    Output::Send { conn, pdu, .. } => {
                        self.most.insert(conn, pdu.header.word32());
                        self.pdus.push((conn, pdu));
                    }
                    Output::Close { conn } => self.closed.push(conn),
                    Output::Submit(r) => self.open.push(r),
                    Output::PersistPlacement {
                        no, extent, shard, ..
                    } if self.store_at_once => {
                        self.stores.push((no, extent, shard));
                        again.push(Input::PlacementPersisted { no });
                    }
                    Output::PersistPlacement {
                        no, extent, shard, ..
                    } => self.stores.push((no, extent, shard)),
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

    fn wait(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self
                .e
                .wake_at()
                .map_or(end, |at| {
                    at.clamp(self.now + ms(1), end.max(self.now + ms(1)))
                })
                .min(end);
            for out in self.e.step(self.now, []) {
                match out {
                    Output::Submit(r) => self.open.push(r),
                    Output::Send { conn, pdu, .. } => {
                        self.most.insert(conn, pdu.header.word32());
                        self.pdus.push((conn, pdu));
                    }
                    _ => {}
                }
            }
        }
    }

    fn login(&mut self, conn: u64, isid: u8) -> ConnNo {
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
            .map(|(k, v)| (k.to_string(), v.to_string()))
            .collect();
        let h = Header::new(Opcode::LoginRequest)
            .set_immediate(true)
            .set_flags(0x80 | 1 << 2 | 3);
        let h = h.set_isid([0, 0, 0, 0, 0, isid]).set_itt(1).set_cmd_sn(1);
        self.feed(Input::Pdu {
            conn,
            read: Ok(Pdu::new(h, format(&keys))),
        });
        let got = self.got(conn);
        assert_eq!(
            (got[0].header.opcode(), got[0].header.byte(36)),
            (Some(Opcode::LoginResponse), 0)
        );
        assert_ne!(got[0].header.tsih(), 0);
        self.sns.insert(conn, 1);
        // The first command of a session finds that the unit came up.
        self.command(conn, 999, &[0], 0, 0, &[]);
        assert_eq!(self.got(conn)[0].header.byte(3), 2);
        conn
    }

    fn got(&mut self, conn: ConnNo) -> Vec<Pdu> {
        let (own, rest) = std::mem::take(&mut self.pdus)
            .into_iter()
            .partition(|(c, _)| *c == conn);
        self.pdus = rest;
        let own: Vec<(ConnNo, Pdu)> = own;
        own.into_iter().map(|(_, p)| p).collect()
    }

    fn command(&mut self, conn: ConnNo, itt: u32, cdb: &[u8], flags: u8, length: u32, data: &[u8]) {
        let mut block = [0; 16];
        block[..cdb.len()].copy_from_slice(cdb);
        let sn = self.sns[&conn];
        self.sns.insert(conn, sn.wrapping_add(1));
        let h = Header::new(Opcode::ScsiCommand)
            .set_flags(0x80 | flags)
            .set_itt(itt)
            .set_ttt(length);
        let h = h.set_cmd_sn(sn).set_exp_stat_sn(1).set_cdb(block);
        self.feed(Input::Pdu {
            conn,
            read: Ok(Pdu::new(h, data.to_vec())),
        });
    }

    fn read(&mut self, conn: ConnNo, itt: u32, lba: u32, blocks: u16) {
        let [a, b, c, d] = lba.to_be_bytes();
        let [x, y] = blocks.to_be_bytes();
        self.command(
            conn,
            itt,
            &[0x28, 0, a, b, c, d, 0, x, y],
            0x40,
            u32::from(blocks) * 512,
            &[],
        );
    }

    fn write(&mut self, conn: ConnNo, itt: u32, lba: u32, data: &[u8]) {
        let [a, b, c, d] = lba.to_be_bytes();
        let [x, y] = ((data.len() / BLOCK) as u16).to_be_bytes();
        self.command(
            conn,
            itt,
            &[0x2a, 0, a, b, c, d, 0, x, y],
            0x20,
            data.len() as u32,
            data,
        );
    }

    /// The host carries out one open request, or does not.
    fn host(&mut self, at: usize, answer: Option<RequestOutcome>) {
        let r = self.open.remove(at);
        let no = r.no;
        if let Some(answer) = answer {
            return self.feed(Input::RequestFinished {
                no,
                outcome: answer,
                shard: None,
            });
        }
        let shard = r.shard.unwrap_or_else(|| {
            self.next_shard += 1;
            self.next_shard
        });
        let answer = match r.write {
            true => self.node(&r, shard).map_or(
                RequestOutcome::Completed(Bytes::new()),
                RequestOutcome::Superseded,
            ),
            false => {
                let kept = self.kept.entry((r.extent, shard)).or_default();
                let to = ((r.offset + r.length) as usize).min(kept.len());
                RequestOutcome::Completed(Bytes::copy_from_slice(
                    kept.get(r.offset as usize..to).unwrap_or_default(),
                ))
            }
        };
        self.feed(Input::RequestFinished {
            no,
            outcome: answer,
            shard: Some(shard),
        });
    }

    fn host_all(&mut self) {
        while !self.open.is_empty() {
            self.host(0, None);
        }
    }

    /// The status of the one command that was answered, and its data.
    fn one(&mut self, conn: ConnNo) -> (u8, Vec<u8>) {
        let got = self.got(conn);
        let answers: Vec<&Pdu> = got
            .iter()
            .filter(|p| {
                p.header.opcode() == Some(Opcode::ScsiResponse) || p.header.flags() & 1 != 0
            })
            .collect();
        assert_eq!(answers.len(), 1, "{got:?}");
        let data = got
            .iter()
            .filter(|p| p.header.opcode() == Some(Opcode::DataIn))
            .flat_map(|p| p.data.to_vec());
        (answers[0].header.byte(3), data.collect())
    }
}

fn fill(n: u8, blocks: usize) -> Vec<u8> {
    vec![n; blocks * BLOCK]
}

#[test]
fn what_is_written_is_read_back_over_extents_and_after_a_restart() {
    let mut r = Rig::new();
    let c = r.login(1, 1);
    let data: Vec<u8> = (0..40 * BLOCK).map(|i| (i / 100) as u8).collect();
    r.write(c, 7, 10, &data);
    assert_eq!(r.open.len(), 4, "blocks 10 to 50 touch four extents of 16");
    r.host_all();
    assert_eq!(r.one(c).0, 0);
    r.read(c, 8, 10, 40);
    r.host_all();
    assert_eq!(r.one(c), (0, data.clone()));
    // Beside it nobody has written: zeroes, in the same extents and in others.
    r.read(c, 9, 5, 5);
    r.host_all();
    assert_eq!(r.one(c), (0, fill(0, 5)));
    r.read(c, 10, 2000, 3);
    assert!(r.open.is_empty(), "of what lies nowhere nobody is asked");
    assert_eq!(r.one(c), (0, fill(0, 3)));
    // The program starts again with the places that were kept.
    let mut again = Rig::with(
        r.stores
            .iter()
            .map(|(_, extent, shard)| (*extent, *shard))
            .collect(),
    );
    again.kept = r.kept;
    let c = again.login(1, 1);
    again.read(c, 8, 10, 40); // reads need not wait
    again.host_all();
    assert_eq!(again.one(c), (0, data));
}

#[test]
fn good_follows_only_once_the_place_is_kept_and_one_request_places_an_extent() {
    let mut r = Rig::new();
    r.store_at_once = false;
    let c = r.login(1, 1);
    r.write(c, 7, 0, &fill(1, 2));
    r.write(c, 8, 4, &fill(2, 2)); // the same extent, other blocks
    assert_eq!(r.open.len(), 1);
    r.host(0, None);
    assert!(r.got(c).is_empty() && r.open.is_empty() && r.stores.len() == 1);
    let (no, _, shard) = r.stores[0];
    r.feed(Input::PlacementPersisted { no });
    assert_eq!(
        (r.one(c).0, r.open.len(), r.open[0].shard),
        (0, 1, Some(shard))
    );
    r.host(0, None);
    assert_eq!((r.one(c).0, r.stores.len()), (0, 1));
    // Where the first is turned away, the next one places it.
    r.write(c, 9, 100, &fill(1, 1));
    r.write(c, 10, 102, &fill(1, 1));
    r.host(0, Some(BUSY));
    assert_eq!((r.one(c).0, r.open.len(), r.open[0].shard), (8, 1, None));
}

#[test]
fn deferred_is_busy_and_abandoned_an_unknown_outcome() {
    let later = RequestOutcome::Rejected {
        retry_after: Some(ms(250)),
        may_still_apply: false,
    };
    let cases = [(later, 8, 3), (BUSY, 8, 0), (LOST, 2, 0)];
    for (answer, status, steps) in cases {
        let mut r = Rig::new();
        let c = r.login(1, 1);
        r.write(c, 7, 10, &fill(1, 10));
        r.host(0, Some(answer));
        assert!(r.got(c).is_empty(), "the other part is under way");
        r.host(0, None);
        let got = r.got(c);
        let h = got[0].header;
        assert_eq!(
            (h.byte(3), h.byte(8), h.byte(9), r.e.open()),
            (status, 0, steps, (0, 0))
        );
    }
}

/// The old attempt runs after the newer write was GOOD, by any delay: it changes nothing. Reads of its blocks
/// wait as long as it could be seen, and a newer write ends that wait.
#[test]
fn a_late_write_never_overwrites_a_newer_one_and_is_not_seen_between_two_reads() {
    let mut r = Rig::new();
    let c = r.login(1, 1);
    r.write(c, 6, 0, &fill(9, 4));
    r.host_all();
    r.one(c);
    r.write(c, 7, 0, &fill(1, 2));
    let late = r.open[0].clone();
    r.host(0, Some(LOST));
    assert_eq!(r.one(c).0, 2);
    r.read(c, 8, 1, 1);
    assert!(r.open.is_empty(), "the old leg may still run");
    r.wait(REST - ms(1));
    assert!(r.open.is_empty());
    r.wait(ms(2));
    r.host_all();
    assert_eq!(r.one(c), (0, fill(9, 1)));
    // Again; now the client comes with newer data at once.
    r.write(c, 9, 0, &fill(2, 2));
    let second = r.open[0].clone();
    r.host(0, Some(LOST));
    r.one(c);
    r.read(c, 10, 0, 4);
    r.write(c, 11, 0, &fill(3, 2));
    assert!(
        r.open.is_empty(),
        "the write is behind the read, which rests"
    );
    r.wait(REST + ms(1));
    r.host_all();
    assert_eq!(r.got(c).len(), 2);
    r.write(c, 12, 0, &fill(4, 2));
    r.host(0, Some(LOST));
    r.got(c);
    r.write(c, 13, 0, &fill(5, 2));
    r.read(c, 14, 0, 4);
    assert_eq!(
        (r.open.len(), r.open[0].write),
        (1, true),
        "the newer write goes at once"
    );
    r.host_all();
    let got = r.got(c);
    assert_eq!(
        got.len(),
        2,
        "and the read behind it rests no longer: nothing older can be seen"
    );
    // Both old attempts run after all.
    let shard = late.shard.expect("written before");
    assert!(r.node(&late, shard).is_some() && r.node(&second, shard).is_some());
    r.read(c, 15, 0, 4);
    r.host_all();
    assert_eq!(r.one(c), (0, [fill(5, 2), fill(9, 2)].concat()));
}

#[test]
fn after_a_restart_a_late_attempt_of_the_earlier_start_cannot_overwrite_and_nobody_waits() {
    let mut r = Rig::new();
    let c = r.login(1, 1);
    r.write(c, 6, 0, &fill(9, 1));
    r.host_all();
    r.write(c, 7, 0, &fill(1, 1));
    let late = r.open[0].clone(); // queued at its node when the host is killed
    let placed = r
        .stores
        .iter()
        .map(|(_, extent, shard)| (*extent, *shard))
        .collect();
    let mut again = Rig::after(placed, r.ceiling);
    (again.kept, again.there) = (r.kept, r.there);
    let c = again.login(1, 1);
    again.write(c, 8, 0, &fill(2, 1));
    again.host_all();
    assert_eq!(again.one(c).0, 0);
    assert!(again
        .node(&late, late.shard.expect("written before"))
        .is_some());
    again.read(c, 10, 0, 1);
    again.host_all();
    assert_eq!(again.one(c), (0, fill(2, 1)));
}

/// Another host, whose clock is ahead, has written here: the write learns of it and goes again above.
#[test]
fn a_write_that_finds_a_newer_version_goes_again_above_it() {
    let mut r = Rig::new();
    let c = r.login(1, 1);
    r.write(c, 6, 0, &fill(9, 2));
    let mut foreign = r.open[0].clone();
    r.host_all();
    r.one(c);
    (foreign.version, foreign.data) = (Some(1 << 50), fill(7, 2).into());
    let shard = r.stores[0].2;
    assert_eq!(r.node(&foreign, shard), None);
    r.write(c, 7, 0, &fill(1, 1));
    let first = r.open[0].no;
    r.host(0, None);
    assert!(r.got(c).is_empty() && r.open.len() == 1 && r.open[0].no != first);
    assert_eq!(r.open[0].version, Some((1 << 50) + 1));
    r.host_all();
    assert_eq!(r.one(c).0, 0);
    r.read(c, 8, 0, 2);
    r.host_all();
    assert_eq!(r.one(c), (0, [fill(1, 1), fill(7, 1)].concat()));
    // One that can be no version is not believed, and the client is told that nobody knows.
    (foreign.version, foreign.data) = (Some(u64::MAX), fill(8, 2).into());
    r.node(&foreign, shard);
    r.write(c, 9, 0, &fill(2, 1));
    r.host_all();
    assert_eq!((r.one(c).0, r.e.open()), (2, (0, 0)));
}

#[test]
fn without_a_store_what_waits_is_answered_and_what_lies_somewhere_goes_on() {
    let mut r = Rig::new();
    r.store_at_once = false;
    let c = r.login(1, 1);
    r.write(c, 6, 0, &fill(1, 1));
    r.host(0, None);
    let (no, ..) = r.stores[0];
    r.feed(Input::PlacementPersisted { no });
    assert_eq!(r.one(c).0, 0);
    r.write(c, 7, 32, &fill(2, 1));
    r.host(0, None);
    assert!(r.got(c).is_empty(), "its place is being kept");
    r.feed(Input::StoreFailed);
    let got = r.got(c);
    assert_eq!(
        (got[0].header.byte(3), got[0].data[4], got[0].data[14]),
        (2, 3, 0x0c),
        "write error"
    );
    r.write(c, 8, 64, &fill(3, 1));
    assert_eq!((r.one(c).0, r.open.len()), (2, 0), "nowhere to be kept");
    r.write(c, 9, 0, &fill(4, 1));
    r.host_all();
    assert_eq!(r.one(c).0, 0);
    r.read(c, 10, 0, 1);
    r.host_all();
    assert_eq!((r.one(c), r.e.open()), ((0, fill(4, 1)), (0, 0)));
}

/// A window that stays as large is granted again as it is used up, though no command is under way.
#[test]
fn a_session_that_sends_one_command_after_another_never_runs_out_of_window() {
    let mut r = Rig::new();
    let c = r.login(1, 1);
    for n in 0..300u32 {
        assert!(r.sns[&c] <= r.most[&c], "the window closed at command {n}");
        match n % 3 {
            0 => r.command(c, 10 + n, &[0], 0, 0, &[]),
            1 => r.read(c, 10 + n, 5, 1),
            _ => r.write(c, 10 + n, 5, &fill(1, 1)),
        }
        r.host_all();
        assert_eq!(r.one(c).0, 0);
    }
}

#[test]
fn unmap_takes_the_one_range_that_the_limits_tell_of() {
    let mut r = Rig::new();
    let c = r.login(1, 1);
    r.write(c, 6, 0, &fill(9, 4));
    r.host_all();
    r.one(c);
    let unmap = |r: &mut Rig, itt, ranges: &[(u64, u32)]| {
        let n = 16 * ranges.len() as u16;
        let mut list = [(n + 6).to_be_bytes(), n.to_be_bytes(), [0; 2], [0; 2]].concat();
        for (lba, blocks) in ranges {
            list.extend(lba.to_be_bytes());
            list.extend(blocks.to_be_bytes());
            list.extend([0; 4]);
        }
        let [a, b] = (list.len() as u16).to_be_bytes();
        r.command(
            c,
            itt,
            &[0x42, 0, 0, 0, 0, 0, 0, a, b],
            0x20,
            list.len() as u32,
            &list,
        );
        r.host_all();
        r.one(c).0
    };
    assert_eq!(
        (
            unmap(&mut r, 7, &[(1, 2)]),
            unmap(&mut r, 8, &[(0, 1), (3, 1)])
        ),
        (0, 2)
    );
    r.read(c, 9, 0, 4);
    r.host_all();
    assert_eq!(r.one(c), (0, [fill(9, 1), fill(0, 2), fill(9, 1)].concat()));
}

#[test]
fn an_abort_and_a_reinstated_session_wait_for_what_is_under_way() {
    let mut r = Rig::new();
    let c = r.login(1, 1);
    r.write(c, 7, 0, &fill(1, 1));
    r.write(c, 8, 0, &fill(2, 1)); // waits behind it
    let manage = |r: &mut Rig, itt, tag| {
        let h = Header::new(Opcode::TaskManagement)
            .set_immediate(true)
            .set_flags(0x81)
            .set_itt(itt)
            .set_ttt(tag);
        let h = h.set_cmd_sn(r.sns[&c]).set_exp_stat_sn(1);
        r.feed(Input::Pdu {
            conn: c,
            read: Ok(Pdu::new(h, Bytes::new())),
        });
    };
    manage(&mut r, 50, 8);
    assert_eq!(r.got(c).len(), 1, "it had not begun");
    manage(&mut r, 51, 7);
    assert!(r.got(c).is_empty(), "its transfer is at the host");
    r.host(0, None);
    let got = r.got(c);
    assert_eq!(
        (got.len(), got[0].header.opcode(), got[0].header.byte(2)),
        (1, Some(Opcode::TaskManagementResponse), 0)
    );
    // The same initiator port logs in again while a write is under way: the old session is gone, its write is
    // not answered, and the repeat in the new session goes behind it.
    r.write(c, 9, 3, &fill(5, 1));
    let again = r.login(2, 1);
    assert_eq!(r.closed, [c]);
    r.write(again, 9, 3, &fill(6, 1));
    assert_eq!(r.open.len(), 1);
    r.host(0, None);
    assert!(r.got(c).is_empty() && r.open.len() == 1);
    r.host(0, None);
    assert_eq!((r.one(again).0, r.e.open()), (0, (0, 0)));
    // Another port of the same initiator is another session.
    let other = r.login(3, 2);
    r.read(other, 5, 3, 1);
    r.host_all();
    assert_eq!(r.one(other), (0, fill(6, 1)));
    assert_eq!(r.closed, [c]);
}

#[test]
fn a_reset_ends_the_others_commands_and_tells_them() {
    let mut r = Rig::new();
    let (a, b) = (r.login(1, 1), r.login(2, 2));
    r.write(a, 7, 0, &fill(1, 1));
    let h = Header::new(Opcode::TaskManagement)
        .set_immediate(true)
        .set_flags(0x85)
        .set_itt(50)
        .set_cmd_sn(2)
        .set_exp_stat_sn(1);
    r.feed(Input::Pdu {
        conn: b,
        read: Ok(Pdu::new(h, Bytes::new())),
    });
    assert_eq!(r.got(b).len(), 1);
    r.host_all();
    assert!(r.got(a).is_empty(), "aborted by another: no answer");
    r.read(a, 8, 0, 1);
    let got = r.got(a);
    assert_eq!(
        (got[0].header.byte(3), got[0].data[4], got[0].data[14]),
        (2, 6, 0x29),
        "but told of the reset"
    );
}

#[test]
fn compare_and_write_verify_and_reservations() {
    let mut r = Rig::new();
    let (a, b) = (r.login(1, 1), r.login(2, 2));
    r.write(a, 1, 0, &fill(1, 1));
    r.host_all();
    r.one(a);
    let compare = |r: &mut Rig, itt, with: u8, then: u8| {
        let mut cdb = [0; 16];
        (cdb[0], cdb[13]) = (0x89, 1);
        r.command(
            a,
            itt,
            &cdb,
            0x20,
            1024,
            &[fill(with, 1), fill(then, 1)].concat(),
        );
        r.host_all();
        r.one(a).0
    };
    assert_eq!((compare(&mut r, 2, 9, 2), compare(&mut r, 3, 1, 2)), (2, 0));
    r.command(
        a,
        4,
        &[0x2f, 2, 0, 0, 0, 0, 0, 0, 1],
        0x20,
        512,
        &fill(2, 1),
    );
    r.host_all();
    assert_eq!(r.one(a).0, 0);
    // b registers and reserves; a may read and not write.
    let reserve = |r: &mut Rig, itt, action, kind, key: u64, service: u64| {
        let list = [&key.to_be_bytes()[..], &service.to_be_bytes(), &[0; 8]].concat();
        r.command(
            b,
            itt,
            &[0x5f, action, kind, 0, 0, 0, 0, 0, 24],
            0x20,
            24,
            &list,
        );
        r.one(b).0
    };
    assert_eq!(
        (
            reserve(&mut r, 1, 0, 0, 0, 5),
            reserve(&mut r, 2, 1, 1, 5, 0)
        ),
        (0, 0)
    );
    r.write(a, 5, 0, &fill(3, 1));
    assert_eq!((r.one(a).0, r.open.len()), (0x18, 0));
    r.read(a, 6, 0, 1);
    r.host_all();
    assert_eq!(r.one(a), (0, fill(2, 1)));
}

#[test]
fn half_open_logins_are_bounded_and_end_in_time() {
    let mut r = Rig::new();
    let c = r.login(100_000, 1);
    (0..5000).for_each(|n| r.feed(Input::ConnectionOpened { conn: ConnNo(n) }));
    assert!(r.closed.len() >= 4700, "{} closed", r.closed.len());
    r.read(c, 8, 2000, 1);
    assert_eq!(r.one(c).0, 0, "who is in is not harmed");
    r.now += Duration::from_secs(16);
    r.feed(Input::ConnectionClosed { conn: ConnNo(0) });
    assert_eq!(r.closed.len(), 5000);
    // Something else than a login.
    r.feed(Input::ConnectionOpened { conn: ConnNo(7000) });
    let nop = Header::new(Opcode::NopOut).set_itt(3).set_ttt(NO_TAG);
    r.feed(Input::Pdu {
        conn: ConnNo(7000),
        read: Ok(Pdu::new(nop, Bytes::new())),
    });
    assert_eq!(r.closed.last(), Some(&ConnNo(7000)));
}

/// Many sessions, overlapping reads and writes, a host that answers in any order, defers and abandons: every
/// command gets one answer, and every block that is read holds what the last write that was GOOD put there,
/// or what one put there since of which nobody told the outcome.
#[test]
fn every_read_is_checked_against_the_history_of_writes() {
    let (mut checked, mut busy) = (0, 0);
    for seed in 0..60 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut r = Rig::new();
        let conns: Vec<ConnNo> = (0..3).map(|i| r.login(i, i as u8)).collect();
        // For each block what may be there; commands under way in the order they came.
        let mut may: Vec<Vec<u8>> = vec![vec![0]; 64];
        let mut under: BTreeMap<(ConnNo, u32), (usize, usize, Option<u8>)> = BTreeMap::new();
        let (mut itt, mut value, mut late) = (1000u32, 0u8, Vec::<Request>::new());
        for step in 0..400 {
            if step < 320 && rng.random_range(0..3) == 0 && under.len() < 20 {
                let c = conns[rng.random_range(0..3)];
                // A closed window: the initiator waits.
                if r.sns[&c] > r.most[&c] {
                    continue;
                }
                let lba = rng.random_range(0..60);
                let blocks = rng.random_range(1..=(64 - lba).min(24));
                itt += 1;
                if rng.random() {
                    value = value % 250 + 1;
                    under.insert((c, itt), (lba, blocks, Some(value)));
                    r.write(c, itt, lba as u32, &fill(value, blocks));
                } else {
                    under.insert((c, itt), (lba, blocks, None));
                    r.read(c, itt, lba as u32, blocks as u16);
                }
            } else if !r.open.is_empty() {
                let at = rng.random_range(0..r.open.len());
                let answer = match rng.random_range(0..12) {
                    0 => Some(RequestOutcome::Rejected {
                        retry_after: Some(ms(50)),
                        may_still_apply: rng.random(),
                    }),
                    1 => Some(RequestOutcome::Failed {
                        may_still_apply: rng.random(),
                    }),
                    _ => None,
                };
                // What was not done may have been carried out, and what is may_still_apply may be at any later time.
                let may_still_apply = match answer {
                    Some(RequestOutcome::Rejected {
                        may_still_apply, ..
                    }) => Some(may_still_apply),
                    Some(RequestOutcome::Failed { may_still_apply }) => {
                        Some(may_still_apply || rng.random())
                    }
                    _ => None,
                };
                let q = r.open[at].clone();
                match (may_still_apply, q.shard) {
                    (Some(true), Some(shard)) if q.write && rng.random() => drop(r.node(&q, shard)),
                    (Some(true), Some(_))
                        if q.write && matches!(answer, Some(RequestOutcome::Failed { .. })) =>
                    {
                        late.push(q);
                    }
                    _ => {}
                }
                r.host(at, answer);
            } else if rng.random() && !late.is_empty() {
                let q = late.swap_remove(rng.random_range(0..late.len()));
                r.node(&q, q.shard.expect("only such were kept"));
            } else {
                r.wait(ms(rng.random_range(1..200)));
            }
            let mut reads: HashMap<(ConnNo, u32), Vec<u8>> = HashMap::new();
            for (c, p) in std::mem::take(&mut r.pdus) {
                let key = (c, p.header.itt());
                if p.header.opcode() == Some(Opcode::DataIn) {
                    reads.entry(key).or_default().extend(&p.data[..]);
                }
                let ends =
                    p.header.opcode() == Some(Opcode::ScsiResponse) || p.header.flags() & 1 != 0;
                if !ends {
                    continue;
                }
                let (lba, blocks, wrote) = under.remove(&key).expect("one answer for each command");
                let good = p.header.byte(3) == 0;
                busy += u32::from(!good);
                for b in 0..blocks {
                    match wrote {
                        Some(v) if good => may[lba + b] = vec![v],
                        Some(v) => may[lba + b].push(v),
                        None if good => {
                            let seen = reads[&key][b * BLOCK];
                            assert!(
                                may[lba + b].contains(&seen),
                                "seed {seed}: block {} holds {seen}",
                                lba + b
                            );
                            checked += 1;
                        }
                        None => {}
                    }
                }
            }
        }
        for _ in 0..2000 {
            match r.open.is_empty() {
                true => r.wait(REST),
                false => r.host(0, None),
            }
            r.pdus.drain(..).for_each(|(c, p)| {
                if p.header.opcode() == Some(Opcode::ScsiResponse) || p.header.flags() & 1 != 0 {
                    under
                        .remove(&(c, p.header.itt()))
                        .expect("one answer for each command");
                }
            });
            if under.is_empty() {
                break;
            }
        }
        assert!(under.is_empty(), "seed {seed}: {under:?}");
        assert_eq!(r.e.open(), (0, 0), "seed {seed}");
    }
    assert!(
        checked > 5000 && busy > 100,
        "{checked} blocks checked, {busy} not good"
    );
}
